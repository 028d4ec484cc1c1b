//! What hosts say to each other. Every exchange is a stream of these, each in a frame of `frame_codec.rs`.

use std::{net::SocketAddr, sync::Arc};

use serde::{Deserialize, Serialize};

use crate::{
    CellId, CellReport, CellRequest, ConfigEntry, CrashNote, HostName, MemberRumor, ProgramEvent,
    ProgramId, ProgramRequest, ShardId, UpstreamName,
    entry::{
        batch_index::IndexedBatch,
        budget_ledger::{SpendNote, WriterSpends},
        turn_history::HistoryTurn,
    },
};

/// One message. The first of a stream says what the exchange is about.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerMessage {
    /// Membership: are you there? Answered by [`PeerMessage::Ack`].
    Ping {
        from: HostName,
        config_number: u64,
        rumors: Vec<MemberRumor>,
    },
    /// Membership: is that host there? Answered by `Ack` or [`PeerMessage::NoAck`].
    PingOther {
        other: HostName,
    },
    Ack {
        config_number: u64,
        rumors: Vec<MemberRumor>,
    },
    NoAck,
    /// Membership: tell all you know. Answered by [`PeerMessage::Members`].
    Sync {
        rumors: Vec<MemberRumor>,
    },
    Members {
        config_number: u64,
        rumors: Vec<MemberRumor>,
    },

    /// Configuration: entries to pass on to the part of the tree below `position`.
    ConfigPush {
        entries: Vec<ConfigEntry>,
        tree: Vec<HostName>,
        position: u32,
    },
    /// Configuration: what comes after a number? Answered by [`PeerMessage::ConfigEntries`].
    ConfigPull {
        after: u64,
    },
    ConfigEntries {
        entries: Vec<ConfigEntry>,
    },

    /// Programs: a request for the owner of a program, answered by a stream of events.
    Program(ProgramRequest),
    Event(ProgramEvent),

    /// Dispatch: a request for a place. Answered by `Granted`, `Declined` or `NotDispatcher`.
    Dispatch {
        cell: CellId,
        request: CellRequest,
    },
    Granted {
        upstream: UpstreamName,
    },
    Declined {
        refusal: CellRefusal,
    },
    /// The peer does not, or no longer, dispatch for this cell.
    NotDispatcher,
    /// Dispatch: how a granted request ended.
    Report(CellReport),
    /// Dispatch: programs have ended, and their prefixes are worth nothing.
    ProgramsEnded {
        cell: CellId,
        programs: Vec<ProgramId>,
    },

    /// Engine memory: which of these programs do not live? Answered by [`PeerMessage::Ended`].
    EndedQuery {
        programs: Vec<ProgramId>,
    },
    Ended {
        programs: Vec<ProgramId>,
    },

    /// Ownership: do you hold a shard, or may you be about to? Answered by [`PeerMessage::Holder`].
    HolderQuery {
        shard: ShardId,
    },
    Holder {
        may_hold: bool,
        hosts: Vec<HostName>,
    },

    /// Dispatch: a cell has found out about requests that crash upstreams.
    CrashesNoted {
        cell: CellId,
        notes: Vec<CrashNote>,
    },

    /// Entry: newest totals of what programs have spent through a host. Answered by [`PeerMessage::Done`].
    SpendsNoted {
        /// The sender, which the receiver may not have found in the store's list yet.
        host: Arc<str>,
        address: SocketAddr,
        region: Arc<str>,
        writer: Arc<str>,
        /// Grows with each message of a writer, so that an older one that comes late is not taken.
        sequence: u64,
        /// Whether the sender is about to stop, so that its clients come in through other hosts.
        is_draining: bool,
        notes: Vec<SpendNote>,
    },
    /// Entry: this is what a program has spent or reserved through the asker; what has it through you? Answered by
    /// [`PeerMessage::Spend`].
    SpendQuery {
        writer: Arc<str>,
        sequence: u64,
        note: SpendNote,
    },
    Spend {
        writer: Arc<str>,
        sequence: u64,
        note: SpendNote,
    },
    /// Entry: record these turns and spends in the store for me. Answered by `Done` once they are durable, or by `NoAck`
    /// if this host can't reach the store either.
    Record {
        writer: Arc<str>,
        turns: Vec<HistoryTurn>,
        notes: Vec<SpendNote>,
    },
    /// Entry: requests that are suspected of crashing upstreams.
    RequestCrashesNoted {
        notes: Vec<CrashNote>,
    },
    /// Entry: what do you know of recorded turns and spends? Answered by [`PeerMessage::Knowledge`], or by `NoAck` from a
    /// host that has not read the records itself yet.
    KnowledgeQuery,
    Knowledge {
        spends: Vec<WriterSpends>,
        batches: Vec<IndexedBatch>,
    },
    /// Entry: do you know this turn? Answered by [`PeerMessage::Turns`].
    TurnQuery {
        turn: Arc<str>,
    },
    /// Entry: the turn that was asked for and those before it, or none.
    Turns {
        turns: Vec<HistoryTurn>,
    },

    /// The exchange is refused.
    Refused {
        reason: Arc<str>,
    },
    Done,
}

impl PeerMessage {
    /// Tells whether the message is control traffic, which has a budget for each host.
    pub(crate) fn is_control(&self) -> bool {
        !matches!(
            self,
            Self::Program(_)
                | Self::Event(_)
                | Self::Dispatch { .. }
                | Self::Granted { .. }
                | Self::Declined { .. }
                | Self::Report(_)
                | Self::Record { .. }
                | Self::SpendQuery { .. }
                | Self::Spend { .. }
                | Self::KnowledgeQuery
                | Self::Knowledge { .. }
                | Self::TurnQuery { .. }
                | Self::Turns { .. }
        )
    }
}

/// Why a cell gave no place.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CellRefusal {
    pub(crate) reason: crate::RefusalReason,
    pub(crate) retry_after_ms: u64,
}
