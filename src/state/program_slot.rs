//! Where the requests of one program meet on its owner.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::sync::{Notify, watch};

use crate::ProgramAnswer;

/// Requests that may wait for earlier numbers of the same program.
const WAITER_LIMIT: u32 = 8;

/// A request that runs, and where its answer will be.
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

/// What a request under a number may do.
#[derive(Debug)]
pub(crate) enum SlotEntry {
    /// It runs, and says its answer here.
    Entered(SlotGuard),
    /// The same request runs already.
    Joined(watch::Receiver<Option<ProgramAnswer>>),
    /// Another request runs under this number.
    Mismatch,
    /// Another number runs.
    Occupied,
}

/// One number of a program runs at a time; repeats of it join it, and others wait.
#[derive(Debug, Default)]
pub(crate) struct ProgramSlot {
    state: Mutex<SlotState>,
    changed: Notify,
}

impl ProgramSlot {
    /// Enters the slot, if nobody is in it.
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

    pub(crate) fn is_running(&self) -> bool {
        self.state.lock().running.is_some()
    }

    /// Lets all that wait look again.
    pub(crate) fn wake_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Joins those that wait for a change, unless too many do.
    pub(crate) fn add_waiter(&self) -> Option<SlotWaiter<'_>> {
        let mut state = self.state.lock();

        if state.waiters >= WAITER_LIMIT {
            return None;
        }

        state.waiters += 1;
        Some(SlotWaiter { slot: self })
    }
}

/// A place among those that wait, given back when it is dropped.
#[derive(Debug)]
pub(crate) struct SlotWaiter<'a> {
    slot: &'a ProgramSlot,
}

impl SlotWaiter<'_> {
    /// Gives a future that is ready at the next change after this call.
    pub(crate) fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.slot.changed.notified()
    }
}

impl Drop for SlotWaiter<'_> {
    fn drop(&mut self) {
        self.slot.state.lock().waiters -= 1;
    }
}

/// The right to run one number. It is given back when it is dropped, also by a task that ends early.
#[derive(Debug)]
pub(crate) struct SlotGuard {
    slot: Arc<ProgramSlot>,
    answer: watch::Sender<Option<ProgramAnswer>>,
}

impl SlotGuard {
    /// Says the answer to all that joined, and leaves the slot.
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
