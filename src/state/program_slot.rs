//! Coordination of one program's requests on its owner.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::ProgramAnswer;

/// Most requests that may wait for earlier numbers of the same program.
const WAITER_LIMIT: u32 = 8;

/// The request that runs, and the receiver of its answer.
#[derive(Clone, Debug)]
struct RunningRequest {
    number: u32,
    fingerprint: u64,
    answer: watch::Receiver<Option<ProgramAnswer>>,
}

#[derive(Debug, Default)]
struct SlotState {
    running: Option<RunningRequest>,
    waiters: u32,
}

/// Result of entering a slot with a request.
#[derive(Debug)]
pub(crate) enum SlotEntry {
    /// The request may run. The guard publishes its answer.
    Entered(SlotGuard),
    /// The same request runs already; the receiver gets its answer.
    Joined(watch::Receiver<Option<ProgramAnswer>>),
    /// A request with another content runs under this number.
    Mismatch,
    /// A request under another number runs.
    Occupied,
}

/// Runs one number of a program at a time. Repeats of the running request join it, and other requests wait.
#[derive(Debug, Default)]
pub(crate) struct ProgramSlot {
    state: Mutex<SlotState>,
    changed: Notify,
}

impl ProgramSlot {
    /// Enters the slot if no request runs in it, or joins the same request.
    pub(crate) fn enter(self: &Arc<Self>, number: u32, fingerprint: u64) -> SlotEntry {
        let mut state = self.state.lock();

        match &state.running {
            Some(running) if running.number != number => SlotEntry::Occupied,
            Some(running) if running.fingerprint != fingerprint => SlotEntry::Mismatch,
            Some(running) => SlotEntry::Joined(running.answer.clone()),
            None => {
                let (sender, answer) = watch::channel(None);
                state.running = Some(RunningRequest { number, fingerprint, answer });
                SlotEntry::Entered(SlotGuard { slot: Arc::clone(self), answer: sender })
            }
        }
    }

    /// Joins the same request if it runs.
    pub(crate) fn join(
        &self,
        number: u32,
        fingerprint: u64,
    ) -> Option<watch::Receiver<Option<ProgramAnswer>>> {
        let state = self.state.lock();
        let running = state.running.as_ref()?;
        let is_same = running.number == number && running.fingerprint == fingerprint;
        is_same.then(|| running.answer.clone())
    }

    pub(crate) fn is_running(&self) -> bool {
        self.state.lock().running.is_some()
    }

    pub(crate) fn is_running_number(&self, number: u32) -> bool {
        self.state.lock().running.as_ref().is_some_and(|running| running.number == number)
    }

    /// Wakes all waiters, so that they check the program's state again.
    pub(crate) fn wake_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Adds a waiter for changes, unless there are too many.
    pub(crate) fn add_waiter(&self) -> Option<SlotWaiter<'_>> {
        let mut state = self.state.lock();

        if state.waiters >= WAITER_LIMIT {
            return None;
        }

        state.waiters += 1;
        Some(SlotWaiter { slot: self })
    }
}

/// A waiter of a slot. Dropping it removes it from the count.
#[derive(Debug)]
pub(crate) struct SlotWaiter<'a> {
    slot: &'a ProgramSlot,
}

impl SlotWaiter<'_> {
    /// Returns a future that completes at the next change after this call.
    pub(crate) fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.slot.changed.notified()
    }
}

impl Drop for SlotWaiter<'_> {
    fn drop(&mut self) {
        self.slot.state.lock().waiters -= 1;
    }
}

/// The right to run one number. Dropping it frees the slot, also if the task is cancelled.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    slot: Arc<ProgramSlot>,
    answer: watch::Sender<Option<ProgramAnswer>>,
}

impl SlotGuard {
    /// Publishes the answer to all requests that joined, and frees the slot.
    pub(crate) fn finish(self, answer: &ProgramAnswer) {
        self.answer.send_replace(Some(answer.clone()));
    }
}

impl Drop for SlotGuard {
    fn drop(&mut self) {
        self.slot.state.lock().running = None;
        self.slot.changed.notify_waiters();
    }
}
