//! Coordination of one program's requests on its owner.

use std::{
    collections::{BTreeMap, btree_map::Entry},
    sync::Arc,
};

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
    /// Waiters that have a place.
    waiters: u32,
    /// Requests that may still run, by number, the waiters and the joined repeats included. Those without a place don't
    /// wait unless they join, so there are at most as many numbers as places and one more.
    candidates: BTreeMap<u32, u32>,
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

    /// Tells whether a request under the number runs, or may still run after its wait.
    pub(crate) fn has_number(&self, number: u32) -> bool {
        let state = self.state.lock();
        let is_running = state.running.as_ref().is_some_and(|running| running.number == number);
        is_running || state.candidates.contains_key(&number)
    }

    /// Wakes all waiters, so that they check the program's state again.
    pub(crate) fn wake_waiters(&self) {
        self.changed.notify_waiters();
    }

    /// Adds a request that may wait for changes, unless too many do.
    pub(crate) fn add_waiter(&self, number: u32) -> SlotWaiter<'_> {
        let mut state = self.state.lock();
        let has_place = state.waiters < WAITER_LIMIT;
        state.waiters += u32::from(has_place);
        *state.candidates.entry(number).or_default() += 1;
        SlotWaiter { slot: self, number, has_place }
    }
}

/// A request that is not admitted yet. Dropping it frees its place, also if the task is cancelled.
#[derive(Debug)]
pub(crate) struct SlotWaiter<'a> {
    slot: &'a ProgramSlot,
    number: u32,
    has_place: bool,
}

impl SlotWaiter<'_> {
    /// Returns a future that completes at the next change after this call, or `None` without a place to wait.
    pub(crate) fn changed(&self) -> Option<tokio::sync::futures::Notified<'_>> {
        self.has_place.then(|| self.slot.changed.notified())
    }
}

impl Drop for SlotWaiter<'_> {
    fn drop(&mut self) {
        let mut state = self.slot.state.lock();
        state.waiters -= u32::from(self.has_place);

        if let Entry::Occupied(mut count) = state.candidates.entry(self.number) {
            *count.get_mut() -= 1;

            if *count.get() == 0 {
                count.remove();
            }
        }
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
