//! Reads what hosts that do not respond have recorded, to count their spends. See docs/design/platform.md, "Budgets".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use futures_util::future::join_all;
use tokio::time::Instant;

use crate::entry::{
    budget_ledger::SpendRecord,
    mesh_queries::RecentSpendsAnswer,
    turn_locator::{SegmentPosition, TurnLocator},
};

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
                hosts:? = hosts, pages, took_ms = started.elapsed().as_millis() as u64;
                "read the records of unresponsive hosts"
            );
            last_listings.extend(hosts.into_iter().map(|host| (host, started)));
            true
        });
        listing.await.unwrap_or(false)
    }

    /// Gets the spends in open segments without reading their batches, which also hold the content of turns: from the runs
    /// that write them, or from an earlier reading if the run is over. Returns the segments that have to be read.
    pub(super) async fn query_open_segments(
        &self,
        segments: HashMap<Arc<str>, SegmentPosition>,
        unresponsive_hosts: &[Arc<str>],
    ) -> Vec<(Arc<str>, SegmentPosition)> {
        self.ended_runs.lock().retain(|writer, _| segments.contains_key(writer));
        let queries = segments.into_iter().map(|(writer, position)| async move {
            let spends = self.spends_of_run(&writer, position).await;
            let Some(spends) = spends else {
                return Some((writer, position));
            };
            self.ledger.lock().merge_recorded(&writer, &spends, unresponsive_hosts);
            None
        });
        join_all(queries).await.into_iter().flatten().collect()
    }

    /// Runs that are known to be over.
    pub(super) fn known_ended_runs(&self) -> HashSet<Arc<str>> {
        self.ended_runs.lock().keys().cloned().collect()
    }

    /// Returns the spends of a run's open segment, if they can be known without reading it.
    async fn spends_of_run(
        &self,
        writer: &Arc<str>,
        position: SegmentPosition,
    ) -> Option<Vec<SpendRecord>> {
        let ended = self.ended_runs.lock().get(writer).cloned();

        if let Some(spends) = ended {
            return spends;
        }

        match self.mesh.query_recent_spends(writer, position.sequence).await {
            RecentSpendsAnswer::Spends(spends) => Some(spends),
            RecentSpendsAnswer::RunIsOver => {
                log::info!(writer:% = writer; "a run that has recorded turns is over");
                self.ended_runs.lock().insert(Arc::clone(writer), None);
                None
            }
            RecentSpendsAnswer::Unknown => None,
        }
    }

    /// Keeps the spends of an open segment that was read, if its run was known to be over before the indexes were listed: the
    /// listing then has all its indexes, and it records nothing more.
    pub(super) fn keep_ended_run(
        &self,
        writer: &Arc<str>,
        spends: Vec<SpendRecord>,
        was_over: bool,
    ) {
        if was_over && let Some(kept) = self.ended_runs.lock().get_mut(writer) {
            *kept = Some(spends);
        }
    }
}
