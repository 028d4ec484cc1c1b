//! Which runs of the other hosts are over for certain.
//!
//! A host has one run at a time, but messages may arrive late, and records of a run may be read before it is heard. So another
//! run of a host proves that a run is over only if it has answered a question that was sent after the run had existed. See
//! docs/design/platform.md, "No such turn exists".

use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use tokio::time::Instant;

use crate::entry::budget_ledger::is_writer_of;

/// The run of a host that has answered last.
#[derive(Clone, Debug)]
struct LiveRun {
    writer: Arc<str>,
    /// When the last question was sent that the run has answered.
    alive_at: Instant,
}

/// What this host knows of the order of other hosts' runs.
#[derive(Debug, Default)]
pub(crate) struct RunLives {
    /// When this host first knew of each run, by a message or by its records.
    known_since: HashMap<Arc<str>, Instant>,
    /// Latest time at which each run can have started, by its messages.
    started_by: HashMap<Arc<str>, Instant>,
    /// By host.
    live: HashMap<Arc<str>, LiveRun>,
}

impl RunLives {
    /// Notices that a run has existed at `now` or before.
    pub(crate) fn note_run(&mut self, writer: &str, now: Instant) {
        if !self.known_since.contains_key(writer) {
            self.known_since.insert(writer.into(), now);
        }
    }

    /// Records a message of a run, by which it has started at `started_by` or before.
    pub(crate) fn record_message(&mut self, writer: &Arc<str>, now: Instant, started_by: Instant) {
        self.note_run(writer, now);
        let earliest = self.started_by.entry(Arc::clone(writer)).or_insert(started_by);
        *earliest = started_by.min(*earliest);
    }

    /// Records that a run has answered a question which was sent at `asked_at`.
    pub(crate) fn record_answer(&mut self, host: &Arc<str>, writer: &Arc<str>, asked_at: Instant) {
        self.record_message(writer, Instant::now(), asked_at);

        if self.live.get(host).is_none_or(|live| live.alive_at < asked_at) {
            let live = LiveRun { writer: Arc::clone(writer), alive_at: asked_at };
            self.live.insert(Arc::clone(host), live);
        }
    }

    /// Latest time at which a run can have ended; `None` unless it is over for certain.
    pub(crate) fn end(&self, writer: &str) -> Option<Instant> {
        let known_since = *self.known_since.get(writer)?;
        let (_, live) = self.live.iter().find(|(host, _)| is_writer_of(host, writer))?;
        let is_over = *live.writer != *writer && live.alive_at > known_since;
        let started_by = self.started_by.get(&live.writer);
        is_over.then(|| started_by.map_or(live.alive_at, |it| live.alive_at.min(*it)))
    }

    /// Forgets the runs that are not needed, but for those that have answered last.
    pub(crate) fn retain(&mut self, needed: &HashSet<Arc<str>>) {
        let live: HashSet<&Arc<str>> = self.live.values().map(|it| &it.writer).collect();
        let is_needed = |writer: &Arc<str>| needed.contains(writer) || live.contains(writer);
        self.known_since.retain(|writer, _| is_needed(writer));
        self.started_by.retain(|writer, _| is_needed(writer));
    }
}
