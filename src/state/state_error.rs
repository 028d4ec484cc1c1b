//! Errors of records that don't fit the state that they are applied to.

use derive_more::Display;

use crate::ProgramId;

/// Invariant of a shard that a record would break. The owner checks records before it logs them, so one in a log that
/// does not fit is a defect.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum StateError {
    #[display("program {program} already exists")]
    Duplicate { program: ProgramId },
    #[display("program {program} has ended")]
    Ended { program: ProgramId },
    /// The number is not the next one, or the call under it is not open.
    #[display("number {number} does not fit the history of program {program}")]
    UnexpectedNumber { program: ProgramId, number: u32 },
    #[display("program {program} spends {tokens} tokens, more than it has reserved")]
    Overspent { program: ProgramId, tokens: u64 },
    /// The reservation for the program or a child exceeds the budget, or is below the one before.
    #[display("a reservation does not fit the budget of program {program}")]
    InvalidReservation { program: ProgramId },
    #[display("program {program} does not exist in this shard")]
    UnknownProgram { program: ProgramId },
}
