//! Records that don't fit the state they are applied to.

use derive_more::Display;

use crate::ProgramId;

/// A record that breaks an invariant of the shard. The owner checks before it logs, so one in a log is a defect.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum StateError {
    #[display("program {program} stands twice")]
    Duplicate { program: ProgramId },
    #[display("program {program} has ended")]
    Ended { program: ProgramId },
    #[display("program {program} has no entry {number} that fits")]
    Number { program: ProgramId, number: u32 },
    #[display("program {program} spends {tokens} tokens beyond what is reserved")]
    Overspent { program: ProgramId, tokens: u64 },
    #[display("program {program} reserves beyond its budget")]
    Reservation { program: ProgramId },
    #[display("program {program} is not of this shard")]
    UnknownProgram { program: ProgramId },
}
