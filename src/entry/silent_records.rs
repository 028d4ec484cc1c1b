//! Reads what hosts that do not respond have recorded, to count their spends. See docs/design/platform.md, "Budgets".

use std::{collections::HashMap, sync::Arc};

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::entry::turn_locator::{SegmentPosition, TurnLocator};

impl TurnLocator {
    /// Reads the records again for the spends of unresponsive hosts, unless the last such reading for each of them was
    /// started at `since` or later. Returns false if they can't be read. A reading covers all peers that are silent when it
    /// starts, and goes on if the caller stops waiting, as later callers need it too: in a large fleet it takes longer than a
    /// turn can wait.
    pub(crate) async fn list_batches_of(
        self: &Arc<Self>,
        hosts: &[Arc<str>],
        since: Instant,
    ) -> bool {
        let mut last_listings = Arc::clone(&self.last_host_listings).lock_owned().await;
        let is_recent =
            |host| last_listings.get(host).is_some_and(|started: &Instant| *started >= since);

        if hosts.iter().all(is_recent) {
            return true;
        }

        let locator = Arc::clone(self);
        let hosts = self.mesh.silent_hosts_with(hosts);
        let listing = tokio::spawn(async move {
            let started = Instant::now();
            let pages = match locator.list_records(&hosts).await {
                Ok(pages) => pages,
                Err(error) => {
                    log::warn!(
                        "the records of {} unresponsive hosts can't be read: {error}",
                        hosts.len()
                    );
                    return false;
                }
            };

            log::info!(
                hosts = hosts.len(), pages, took_ms = started.elapsed().as_millis() as u64;
                "read the records of unresponsive hosts"
            );
            last_listings.extend(hosts.into_iter().map(|host| (host, started)));
            true
        });
        listing.await.unwrap_or(false)
    }

    /// Asks the runs that write the open segments for the spends in them, since the batches also hold the content of turns.
    /// Returns the segments of those that do not answer.
    pub(super) async fn query_open_segments(
        &self,
        segments: HashMap<Arc<str>, SegmentPosition>,
        unresponsive_hosts: &[Arc<str>],
    ) -> Vec<(Arc<str>, SegmentPosition)> {
        let queries = segments.into_iter().map(|(writer, position)| async move {
            let Some(spends) = self.mesh.query_recent_spends(&writer, position.sequence).await
            else {
                return Some((writer, position));
            };
            self.ledger.lock().merge_recorded(&writer, &spends, unresponsive_hosts);
            None
        });
        join_all(queries).await.into_iter().flatten().collect()
    }
}
