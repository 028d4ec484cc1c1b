//! Records finished turns, with those turns of their chains whose records would end before them.
//!
//! See docs/design/platform.md, "Retention".

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::{
    sync::oneshot,
    time::{Duration, Instant},
};

use crate::entry::{
    turn_history::{HistoryTurn, TurnHistory},
    turn_journal::TurnJournal,
};

/// Records turns and keeps them in memory.
#[derive(Clone, Debug)]
pub(crate) struct ChainRecorder {
    pub(crate) journal: Arc<TurnJournal>,
    pub(crate) history: Arc<Mutex<TurnHistory>>,
}

impl ChainRecorder {
    /// Queues a finished turn for the journal, after the turns of its chain whose records may end within `retention`. The
    /// journal records in order, so the receiver is notified once all of them are durable.
    pub(crate) fn record(
        &self,
        chain: &[Arc<HistoryTurn>],
        turn: &Arc<HistoryTurn>,
        retention: Duration,
    ) -> oneshot::Receiver<()> {
        let now = Instant::now();
        let refresh_before = self.journal.retention().refresh_before(retention, now);
        // Held until all are queued: a turn that continues the same chain takes them for recorded from then on.
        let mut history = self.history.lock();
        let stale_turns = history.take_stale(chain, refresh_before, now);

        if !stale_turns.is_empty() {
            log::info!(
                turn:% = turn.id, chain = chain.len(), rewritten = stale_turns.len();
                "recording turns of a chain again, as their records may end before the turn's"
            );
        }

        stale_turns.into_iter().for_each(|turn| drop(self.journal.append(turn)));
        self.journal.append(Arc::clone(turn))
    }

    /// Keeps a turn in memory that was queued at `queued_at` and is durable now.
    pub(crate) fn keep(&self, turn: Arc<HistoryTurn>, retention: Duration, queued_at: Instant) {
        self.history.lock().insert_recorded(turn, retention, queued_at);
    }
}
