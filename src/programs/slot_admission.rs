//! Entry of a numbered request into its program: in order, once, with repeats told from other requests.

use std::time::Duration;

use tokio::{
    sync::watch,
    time::{Instant, timeout_at},
};

use crate::{
    OwnedProgram, Problem, ProblemKind, ProgramAdmission, ProgramAnswer, ProgramEntry, SlotEntry,
    SlotGuard,
};

/// Time that a request waits for earlier numbers.
const EARLY_PATIENCE: Duration = Duration::from_secs(20);

/// What an admitted request may do.
#[derive(Debug)]
pub(crate) enum SlotAdmission {
    /// It is the next one, and nobody else runs.
    Run(SlotGuard),
    /// The same request has just run; this is its answer.
    Answered(ProgramAnswer),
    /// The number has its entry.
    Settled(ProgramEntry),
}

impl OwnedProgram {
    /// Waits until the number is the next one and nobody runs, or its answer is there.
    pub(crate) async fn admit(
        &self,
        number: u32,
        fingerprint: u64,
    ) -> Result<SlotAdmission, Problem> {
        let slot = self.owner.slot(self.id);
        let waiter = slot.wait();
        let deadline = Instant::now() + EARLY_PATIENCE;

        loop {
            let changed = waiter.as_ref().map(|it| it.changed());

            match self.read(|program| program.admit(number, fingerprint))? {
                ProgramAdmission::Settled => return self.settled(number),
                ProgramAdmission::Next => match slot.enter(number, fingerprint) {
                    SlotEntry::Entered(guard) => {
                        if let Some(guard) = self.check_entered(guard, number, fingerprint)? {
                            return Ok(SlotAdmission::Run(guard));
                        }
                        continue;
                    }
                    SlotEntry::Joined(answer) => match joined(answer).await {
                        Some(answer) => return Ok(SlotAdmission::Answered(answer)),
                        None => continue,
                    },
                    SlotEntry::Mismatch => return Err(mismatch(number)),
                    SlotEntry::Occupied => (),
                },
                // The entry of a call that runs; its request is in the slot.
                ProgramAdmission::Open => {
                    if let SlotEntry::Joined(answer) = slot.enter(number, fingerprint)
                        && let Some(answer) = joined(answer).await
                    {
                        return Ok(SlotAdmission::Answered(answer));
                    }
                }
                ProgramAdmission::Early => (),
                ProgramAdmission::Ended(reason) => {
                    let detail = format!("program {} has ended: {reason}", self.id);
                    return Err(Problem::not_run(ProblemKind::ProgramEnded, detail));
                }
                ProgramAdmission::Mismatch => return Err(mismatch(number)),
                ProgramAdmission::OutOfRange => return Err(self.out_of_range(number)),
            }

            if self.owner.is_leaving() {
                return Err(self.moved());
            }

            let is_changed = match changed {
                Some(changed) => timeout_at(deadline, changed).await.is_ok(),
                None => false,
            };

            if !is_changed {
                return Err(self.out_of_range(number).retry_after(1));
            }
        }
    }

    /// The state may have changed between the look and the entry.
    fn check_entered(
        &self,
        guard: SlotGuard,
        number: u32,
        fingerprint: u64,
    ) -> Result<Option<SlotGuard>, Problem> {
        let admission = self.read(|program| program.admit(number, fingerprint))?;
        Ok((admission == ProgramAdmission::Next).then_some(guard))
    }

    fn settled(&self, number: u32) -> Result<SlotAdmission, Problem> {
        let entry = self.read(|program| program.entry(number).cloned())?;
        entry.map(SlotAdmission::Settled).ok_or_else(|| self.out_of_range(number))
    }

    fn moved(&self) -> Problem {
        let detail = format!("program {} is moving to another host", self.id);
        Problem::unknown(ProblemKind::OwnerUnreachable, detail).retry_after(1)
    }

    fn out_of_range(&self, number: u32) -> Problem {
        let next = self.read(crate::Program::next_number).unwrap_or(0);
        let detail = format!("the next number of program {} is {next}, not {number}", self.id);
        Problem::not_run(ProblemKind::NumberOutOfRange, detail)
    }
}

fn mismatch(number: u32) -> Problem {
    let detail = format!("number {number} was used for a request with another content");
    Problem::failed(ProblemKind::NumberMismatch, detail)
}

/// Waits for the answer of a request that runs; none comes where its task ends early.
async fn joined(mut answer: watch::Receiver<Option<ProgramAnswer>>) -> Option<ProgramAnswer> {
    answer.wait_for(Option::is_some).await.ok()?.clone()
}
