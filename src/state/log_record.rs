//! Facts that a shard's log holds.

use serde::{Deserialize, Serialize};

use crate::{CallRecord, CallState, EndReason, HostName, ProgramId, ProgramTerms, TurnRecord};

/// One fact. The state of a shard is what follows from its records in order; see docs/design/shard-log.md.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) enum LogRecord {
    /// The program may spend up to `chunk_limit` tokens in all, its own turns alone.
    BudgetReserved {
        program: ProgramId,
        chunk_limit: u64,
    },
    /// A call has its result, or is known to have none.
    CallSettled {
        program: ProgramId,
        number: u32,
        state: CallState,
        at_ms: u64,
    },
    /// A call is about to be sent.
    CallIntended {
        program: ProgramId,
        number: u32,
        call: CallRecord,
    },
    /// An intended call was never sent, and its number is free again.
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
    /// An ended program's time of retention is over.
    ProgramForgotten {
        program: ProgramId,
    },
    /// A host took the shard.
    ShardClaimed {
        host: HostName,
        epoch: u64,
    },
    /// The owner has nothing in flight and gives the shard up.
    ShardReleased,
    /// A try that gave no answer took tokens, or may have.
    TokensSpent {
        program: ProgramId,
        tokens: u64,
    },
    TurnFinished {
        program: ProgramId,
        number: u32,
        turn: TurnRecord,
    },
    /// A turn of an earlier owner that was never logged, given back by the caller's receipt.
    TurnRestored {
        program: ProgramId,
        number: u32,
        turn: TurnRecord,
    },
}
