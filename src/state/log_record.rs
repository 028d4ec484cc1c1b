//! Records of a shard's log.

use serde::{Deserialize, Serialize};

use crate::{CallRecord, CallState, EndReason, HostName, ProgramId, ProgramTerms, TurnRecord};

/// One change to a shard. Applied in order, the records of its log give the shard's state; see
/// docs/design/shard-log.md.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum LogRecord {
    /// The program may spend up to `chunk_limit` tokens in total. The budgets of its open children are reserved
    /// separately.
    BudgetReserved {
        program: ProgramId,
        chunk_limit: u64,
    },
    /// A call has its result, or it can't be determined whether it ran.
    CallSettled {
        program: ProgramId,
        number: u32,
        state: CallState,
        at_ms: u64,
    },
    /// A call is about to be sent. One that may be sent more than once is logged together with its result.
    CallIntended {
        program: ProgramId,
        number: u32,
        call: CallRecord,
    },
    /// An intended call was not sent, and its number is free again.
    CallWithdrawn {
        program: ProgramId,
        number: u32,
    },
    ProgramCreated {
        terms: ProgramTerms,
    },
    ProgramEnded {
        program: ProgramId,
        reason: EndReason,
        at_ms: u64,
    },
    /// The retention time of an ended program is over, and the program is deleted.
    ProgramForgotten {
        program: ProgramId,
    },
    /// A host has claimed the shard.
    ShardClaimed {
        host: HostName,
        epoch: u64,
    },
    /// The owner has nothing in flight and gives up the shard.
    ShardReleased,
    /// An attempt without an answer took these tokens, or may have.
    TokensSpent {
        program: ProgramId,
        tokens: u64,
    },
    TurnFinished {
        program: ProgramId,
        number: u32,
        turn: TurnRecord,
    },
    /// A turn that an earlier owner could not log, restored from the caller's receipt.
    TurnRestored {
        program: ProgramId,
        number: u32,
        turn: TurnRecord,
    },
}
