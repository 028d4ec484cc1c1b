//! Reads what hosts that do not respond have recorded, to count their spends. See docs/design/platform.md, "Budgets".

use std::{collections::HashMap, sync::Arc};

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::entry::{
    index_catalog::SegmentPosition,
    turn_locator::{ReadingScope, TurnLocator},
};

impl TurnLocator {
    /// Reads what was recorded, unless an earlier reading may be reused by a caller that came at `asked_at` and needs all that was
    /// recorded before `needed`. Returns false if the records can't be read. One reading at a time serves all callers, and
    /// goes on if they stop waiting, as later callers need it too.
    pub(crate) async fn read_spends(
        self: &Arc<Self>,
        asked_at: Instant,
        needed: Option<Instant>,
    ) -> bool {
        let guard = Arc::clone(&self.reading).lock_owned().await;

        {
            let readings = self.readings.lock();
            let since = needed.max(Some(readings.reused_since(asked_at)));
            if since.is_some_and(|it| readings.covers(it)) {
                return true;
            }
        }

        let locator = Arc::clone(self);
        let reading = tokio::spawn(async move {
            let started = Instant::now();
            let result = locator.read_records(ReadingScope::Spends).await;
            drop(guard);

            match result {
                Ok(summary) => {
                    log::info!(pages = summary.pages, took_ms = started.elapsed().as_millis() as u64; "read the recorded spends");
                    true
                }
                Err(error) => {
                    log::warn!("the recorded spends can't be read: {error}");
                    false
                }
            }
        });
        reading.await.unwrap_or(false)
    }

    /// The open segments that have to be read, as their runs were not over when they were read last. A run is over only once
    /// a later one of its host has proved it: a host without a registry entry may have been cut off, and records again as soon
    /// as it reaches the store.
    pub(super) fn uncovered_segments(
        &self,
        segments: HashMap<Arc<str>, SegmentPosition>,
    ) -> HashMap<Arc<str>, SegmentPosition> {
        segments.into_iter().filter(|(writer, _)| !self.is_covered(writer)).collect()
    }

    /// Whether a run is over, and its open segment was read after its end.
    fn is_covered(&self, writer: &Arc<str>) -> bool {
        let end = self.mesh.proved_run_end(writer);
        end.is_some_and(|it| self.readings.lock().covers_segment(writer, it))
    }

    /// Asks the runs that write the open segments for the spends in them, since the batches also hold the content of turns.
    /// Returns the segments of those that do not answer. Where another run of the host is heard, it is asked for a proof that the
    /// earlier one is over, so that its segment need not be read each time.
    pub(super) async fn query_open_segments(
        &self,
        segments: HashMap<Arc<str>, SegmentPosition>,
    ) -> HashMap<Arc<str>, SegmentPosition> {
        let queries = segments.into_iter().map(|(writer, position)| async move {
            if let Some(spends) = self.mesh.query_recent_spends(&writer, position.sequence).await {
                self.ledger.lock().merge_recorded(&writer, &spends);
                return None;
            }

            self.mesh.prove_run_end(&writer).await;
            (!self.is_covered(&writer)).then_some((writer, position))
        });
        join_all(queries).await.into_iter().flatten().collect()
    }
}
