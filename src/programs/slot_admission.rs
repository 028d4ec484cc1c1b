//! Admits the numbered requests of a program in order and one at a time, and tells a repeat from another request
//! under the same number.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    OwnedProgram, Problem, ProblemKind, ProgramAdmission, ProgramAnswer, ProgramEntry, SlotEntry,
    SlotGuard,
};

/// How long a request waits for earlier numbers and for other running requests of the program. A repeat of a
/// running request waits for its answer without this bound.
pub(crate) const ADMISSION_TIMEOUT: Duration = Duration::from_secs(20);

/// How an admitted request gets its answer.
#[derive(Debug)]
pub(crate) enum SlotAdmission {
    /// Run it: its number is next, and no other request of the program runs.
    Run(SlotGuard),
    /// Return this answer: the same request was running and has ended with it.
    Answered(ProgramAnswer),
    /// Answer from this entry: the number is settled already.
    Settled(ProgramEntry),
}

impl OwnedProgram {
    /// Waits until the number is next and no other request of the program runs, or until its answer is available.
    /// Fails if the program has ended or moves to another host, the number doesn't become next in time, or another
    /// request was made under it.
    pub(crate) async fn admit(
        &self,
        number: u32,
        fingerprint: u64,
    ) -> Result<SlotAdmission, Problem> {
        let slot = self.owner.slot(self.id);
        let waiter = slot.add_waiter(number);
        let deadline = Instant::now() + ADMISSION_TIMEOUT;

        loop {
            // Created before the state is read, so that no change in between is missed.
            let changed = waiter.changed();

            match self.read(|program| program.admit(number, fingerprint))? {
                ProgramAdmission::Settled => return self.settled_entry(number),
                ProgramAdmission::Next => match slot.enter(number, fingerprint) {
                    SlotEntry::Entered(guard) => {
                        if let Some(guard) = self.recheck_number(guard, number, fingerprint)? {
                            return Ok(SlotAdmission::Run(guard));
                        }
                        continue;
                    }
                    SlotEntry::Joined(answer) => match wait_for_answer(answer).await {
                        Some(answer) => return Ok(SlotAdmission::Answered(answer)),
                        None => continue,
                    },
                    SlotEntry::Mismatch => return Err(mismatch_problem(number)),
                    SlotEntry::Occupied => (),
                },
                // The intent of the call is logged. If its request still runs here, share its answer.
                ProgramAdmission::Open => {
                    if let Some(answer) = slot.join(number, fingerprint)
                        && let Some(answer) = wait_for_answer(answer).await
                    {
                        return Ok(SlotAdmission::Answered(answer));
                    }
                }
                ProgramAdmission::Early => (),
                ProgramAdmission::Ended(reason) => {
                    let detail = format!("program {} has ended: {reason}", self.id);
                    return Err(Problem::not_run(ProblemKind::ProgramEnded, detail));
                }
                ProgramAdmission::Mismatch => return Err(mismatch_problem(number)),
                ProgramAdmission::OutOfRange => return Err(self.out_of_range_problem(number)),
            }

            if self.owner.is_leaving() {
                return Err(self.moving_problem());
            }

            let has_changed = match changed {
                Some(changed) => timeout_at(deadline, changed).await.is_ok(),
                // Too many requests of the program wait already.
                None => false,
            };

            if !has_changed {
                return Err(self.out_of_range_problem(number).retry_after(1));
            }
        }
    }

    /// Checks the number again, since the state may have changed before the slot was entered. Returns the guard if the
    /// number is still next; else the guard is dropped, which frees the slot.
    fn recheck_number(
        &self,
        guard: SlotGuard,
        number: u32,
        fingerprint: u64,
    ) -> Result<Option<SlotGuard>, Problem> {
        let admission = self.read(|program| program.admit(number, fingerprint))?;
        Ok((admission == ProgramAdmission::Next).then_some(guard))
    }

    fn settled_entry(&self, number: u32) -> Result<SlotAdmission, Problem> {
        let entry = self.read(|program| program.entry(number).cloned())?;
        entry.map(SlotAdmission::Settled).ok_or_else(|| self.out_of_range_problem(number))
    }

    fn moving_problem(&self) -> Problem {
        let detail = format!("program {} is moving to another host", self.id);
        Problem::unknown(ProblemKind::OwnerUnreachable, detail).retry_after(1)
    }

    fn out_of_range_problem(&self, number: u32) -> Problem {
        let next = self.read(crate::Program::next_number).unwrap_or(0);
        let detail = format!("the next number of program {} is {next}, not {number}", self.id);
        Problem::not_run(ProblemKind::NumberOutOfRange, detail)
    }
}

fn mismatch_problem(number: u32) -> Problem {
    let detail = format!("number {number} was used for a request with another content");
    Problem::failed(ProblemKind::NumberMismatch, detail)
}

/// Waits for the answer of a running request. Returns nothing if its task ends without one.
async fn wait_for_answer(
    mut answer: watch::Receiver<Option<ProgramAnswer>>,
) -> Option<ProgramAnswer> {
    answer.wait_for(Option::is_some).await.ok()?.clone()
}
