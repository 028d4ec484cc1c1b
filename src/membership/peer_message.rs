//! Messages between hosts. Every exchange is a stream of them, each in a frame of `frame_codec.rs`.

use std::{net::SocketAddr, sync::Arc};

use bytes::Bytes;
use serde::{Deserialize, Serialize};

use crate::{
    CellId, CellReport, CellRequest, ConfigEntry, CrashNote, HostName, MemberRumor, ProgramEvent,
    ProgramId, ProgramRequest, ShardId, UpstreamName,
    entry::{
        EntryRefusal, RouteLimits,
        batch_index::IndexedBatch,
        budget_ledger::{SpendNote, SpendRecord, WriterSpends},
        dispatching::{
            placement_denial::PlacementDenial, placement_end::PlacementEnd,
            placement_grant::PlacementGrant, placement_query::PlacementQuery,
        },
        host_reach::LostServices,
        quotas::{QuotaAnswer, QuotaReport},
        record_readings::ReadingAges,
        segment_reader::SegmentSummary,
        stream_versions::{BegunStream, StreamOrigin},
        turn_history::HistoryTurn,
        upstream_departures::UpstreamDeparture,
        upstream_limits::LimitNote,
    },
    gateway::{DeclineReason, ForwardedHead, ForwardedRequest, SchedulerEntry},
};

/// One message. The first of a stream determines the kind of the exchange. The order of the variants is the wire
/// format.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub(crate) enum PeerMessage {
    /// Membership: probe of the receiver. The response is [`PeerMessage::Ack`].
    Ping {
        from: HostName,
        config_number: u64,
        rumors: Vec<MemberRumor>,
    },
    /// Membership: request to probe another host. The response is `Ack` if that host responded, else
    /// [`PeerMessage::NoAck`].
    PingOther {
        other: HostName,
    },
    /// Membership: response to a probe.
    Ack {
        config_number: u64,
        rumors: Vec<MemberRumor>,
    },
    /// The receiver could not do what was requested: probe the other host, or respond to a request of an entry host.
    NoAck,
    /// Membership: request of a starting host for all rumors. The response is [`PeerMessage::Members`].
    Sync {
        rumors: Vec<MemberRumor>,
    },
    /// Membership: all rumors of the sender.
    Members {
        config_number: u64,
        rumors: Vec<MemberRumor>,
    },

    /// Configuration: entries to apply and to forward to the hosts below `position` in the tree. The response is
    /// [`PeerMessage::Done`].
    ConfigPush {
        entries: Vec<ConfigEntry>,
        tree: Vec<HostName>,
        position: u32,
    },
    /// Configuration: request for the entries after a number. The response is [`PeerMessage::ConfigEntries`].
    ConfigPull {
        after: u64,
    },
    /// Configuration: entries in the order of their numbers.
    ConfigEntries {
        entries: Vec<ConfigEntry>,
    },

    /// Programs: request to the owner of a program. The response is a stream of [`PeerMessage::Event`].
    Program(ProgramRequest),
    /// Programs: event of a request. The last one of a stream is the answer.
    Event(ProgramEvent),

    /// Dispatch: request for a grant. The response is `Granted`, `Declined` or `NotDispatcher`.
    Dispatch {
        cell: CellId,
        request: CellRequest,
    },
    /// Dispatch: the request may run on this upstream. The requester sends a `Report` once it has ended.
    Granted {
        upstream: UpstreamName,
    },
    /// Dispatch: the cell refuses the request.
    Declined {
        refusal: CellRefusal,
    },
    /// Dispatch: the receiver is not, or no longer, the dispatcher of the cell.
    NotDispatcher,
    /// Dispatch: how a granted request ended. The response is `Done`.
    Report(CellReport),
    /// Dispatch: programs that have ended, so that the cell can drop their cached prefixes. The response is `Done`.
    ProgramsEnded {
        cell: CellId,
        programs: Vec<ProgramId>,
    },

    /// Engine memory: request for those of some programs that have ended or do not exist. The response is
    /// [`PeerMessage::Ended`].
    EndedQuery {
        programs: Vec<ProgramId>,
    },
    /// Engine memory: the programs that have ended or do not exist.
    Ended {
        programs: Vec<ProgramId>,
    },

    /// Ownership: query whether the receiver owns a shard, or is claiming or releasing it. The response is
    /// [`PeerMessage::Holder`].
    HolderQuery {
        shard: ShardId,
    },
    /// Ownership: response to a query about a shard.
    Holder {
        /// Whether the sender owns the shard, or is claiming or releasing it.
        may_hold: bool,
        /// All hosts in the sender's membership table, so that the receiver notices hosts that it has not queried.
        hosts: Vec<HostName>,
    },

    /// Dispatch: new crash counts of a cell's requests. The response is `Done`.
    CrashesNoted {
        cell: CellId,
        notes: Vec<CrashNote>,
    },

    /// Entry: current totals of the tokens that programs have spent through the sender, and what else the receiver has to
    /// know of its requests. The response is `Done`.
    SpendsNoted {
        /// Name of the sender, which the receiver may not have found in the host registry yet.
        host: Arc<str>,
        address: SocketAddr,
        region: Arc<str>,
        writer: Arc<str>,
        /// Increases with each message of a writer, so that the receiver ignores one that arrives after a newer one.
        sequence: u64,
        /// Age of the sender's run, in milliseconds. Earlier runs of its host have ended before.
        run_age_ms: u64,
        /// Whether the sender is about to stop, so that its clients will connect to other hosts.
        is_draining: bool,
        notes: Vec<SpendNote>,
        /// Streams that the sender has begun.
        streams: Vec<BegunStream>,
        /// Services of which the sender reaches no upstream.
        lost_services: LostServices,
    },
    /// Entry: what a program has spent or reserved through the sender, and a query for the same of the receiver. The
    /// response is [`PeerMessage::Spend`].
    SpendQuery {
        writer: Arc<str>,
        sequence: u64,
        note: SpendNote,
    },
    /// Entry: what a program has spent or reserved through the sender.
    Spend {
        writer: Arc<str>,
        sequence: u64,
        note: SpendNote,
    },
    /// Entry: request to record turns and spends in the store on behalf of the sender. The response is `Done` once they
    /// are durable, or `NoAck` if the receiver could not record them in time or can't reach the store either.
    Record {
        turns: Vec<HistoryTurn>,
        /// Totals of the sender, and of writers that have reported to it what they have not recorded.
        spends: Vec<SpendRecord>,
    },
    /// Entry: crash counts of requests that may have crashed upstreams. The response is `Done`.
    RequestCrashesNoted {
        notes: Vec<CrashNote>,
    },
    /// Entry: request for the recorded spends, the index of recorded turns, and the upstreams that leave. The response is
    /// [`PeerMessage::Knowledge`], or `NoAck` from a host that has not loaded the records itself yet.
    KnowledgeQuery,
    /// Entry: the recorded spends, the index of recorded turns, and all upstreams that leave or have left.
    Knowledge {
        spends: Vec<WriterSpends>,
        batches: Vec<IndexedBatch>,
        /// What the sender has read of the records.
        readings: ReadingAges,
        departures: Vec<UpstreamDeparture>,
    },
    /// Entry: request for a turn and those before it. The response is [`PeerMessage::Turns`].
    TurnQuery {
        turn: Arc<str>,
    },
    /// Entry: the requested turn and those before it, or none if the sender lacks any of them.
    Turns {
        turns: Vec<HistoryTurn>,
    },

    /// The receiver refuses the exchange, or can't decode its first message.
    Refused {
        reason: Arc<str>,
    },
    Done,

    /// Forwarding: a client's request that the receiver is asked to run. The response is `ForwardAccepted` or
    /// `ForwardDeclined`; nothing runs before the sender has confirmed the acceptance.
    ForwardOffer {
        /// The receiver must not use an older configuration than this.
        min_config_version: u64,
        request: Box<ForwardedRequest>,
    },
    /// Forwarding: the sender runs the request once it has received `ForwardConfirmed`.
    ForwardAccepted {
        /// Whether the request may run again elsewhere if the sender is lost.
        is_retryable: bool,
        config_version: u64,
    },
    /// Forwarding: the sender does not run the request.
    ForwardDeclined {
        reason: DeclineReason,
    },
    /// Forwarding: the accepted request is to run.
    ForwardConfirmed,
    /// Forwarding: the sender makes a further attempt to run the request, after `possible_runs` in which it may have run.
    ForwardRunsReported {
        possible_runs: u32,
    },
    /// Forwarding: an upstream's response, or its head, followed by `ForwardBytes` and, if it is complete, `ForwardEnd`.
    ForwardHead(ForwardedHead),
    /// Forwarding: the request has ended with a refusal by the sender.
    ForwardRefused {
        refusal: EntryRefusal,
        reason: Arc<str>,
    },
    /// Forwarding: bytes of whole events.
    ForwardBytes {
        bytes: Bytes,
    },
    /// Forwarding: the streamed response is complete.
    ForwardEnd,
    /// Roles: request of a gateway for the list of schedulers. The response is `Schedulers`.
    SchedulersQuery,
    /// Roles: the schedulers that the sender knows, with itself, and its configuration's version and limits.
    Schedulers {
        schedulers: Vec<SchedulerEntry>,
        config_version: u64,
        limits: RouteLimits,
    },
    /// Entry: upstreams that leave or have left. The response is `Done`.
    UpstreamsLeaving {
        departures: Vec<UpstreamDeparture>,
    },
    /// Entry: request for the software version that has begun a client's stream. The response is `StreamFound`.
    StreamQuery {
        /// Id of the attempt that has brought the stream's first event.
        request: Arc<str>,
    },
    /// Entry: what the sender knows of the version at which the stream has begun, if it knows the stream.
    StreamFound {
        origin: Option<StreamOrigin>,
    },
    /// Entry: request for the spends that a run has recorded in its segments after the one with the number `sequence`. The
    /// response is [`PeerMessage::RecentSpends`], or `NoAck` if that run is over or no longer has them all.
    RecentSpendsQuery {
        writer: Arc<str>,
        sequence: u64,
    },
    /// Entry: spends that the sender has recorded, for itself and for other writers.
    RecentSpends {
        spends: Vec<SpendRecord>,
    },
    /// Entry: limits of requests a second that upstreams have stated to the sender. The response is `Done`.
    UpstreamsLimited {
        limits: Vec<LimitNote>,
    },
    /// Entry: request for what the receiver's build can do. The response is [`PeerMessage::Features`], or `Refused` from a
    /// build that has none.
    FeaturesQuery,
    /// Entry: features of the sender's build, each with a value. The receiver ignores those that it doesn't know.
    Features {
        features: Vec<(Arc<str>, u64)>,
    },
    /// Entry: request to read the batches whose names begin with `prefix`, after the request has arrived. The response is
    /// [`PeerMessage::Segment`], or `NoAck` if the store can't be read.
    SegmentQuery {
        prefix: Arc<str>,
    },
    /// Entry: what the sender has read of a segment.
    Segment {
        summary: SegmentSummary,
    },
    /// Dispatching: request for a slot on an upstream. The response is `PlacementQueued` once or more while the request
    /// waits, then `PlacementGranted` or `PlacementRefused`; `Refused` from a build or a host that does not dispatch.
    PlacementQuery(Box<PlacementQuery>),
    /// Dispatching: the request waits for a slot.
    PlacementQueued,
    /// Dispatching: the sender holds a slot for the receiver while the stream is open.
    PlacementGranted(PlacementGrant),
    /// Dispatching: the sender grants no slot.
    PlacementRefused(PlacementDenial),
    /// Dispatching: the lease of the granted slot has ended.
    PlacementEnded(PlacementEnd),
    /// Entry: what the sender holds and needs of the teams whose quota owner the receiver is. The response is
    /// [`PeerMessage::QuotaGrants`], or `Refused` from a build that knows no quotas.
    QuotaReport {
        report: QuotaReport,
    },
    /// Entry: changes of the allowances of the teams that the report has named.
    QuotaGrants {
        answer: QuotaAnswer,
    },
}

impl PeerMessage {
    /// Whether the message is control traffic, for which each host has a budget in bytes, rather than part of a
    /// request.
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
                | Self::RecentSpendsQuery { .. }
                | Self::RecentSpends { .. }
                | Self::SegmentQuery { .. }
                | Self::Segment { .. }
                | Self::UpstreamsLimited { .. }
                | Self::FeaturesQuery
                | Self::Features { .. }
                | Self::StreamQuery { .. }
                | Self::StreamFound { .. }
                | Self::ForwardOffer { .. }
                | Self::ForwardAccepted { .. }
                | Self::ForwardDeclined { .. }
                | Self::ForwardConfirmed
                | Self::ForwardRunsReported { .. }
                | Self::ForwardHead(_)
                | Self::ForwardRefused { .. }
                | Self::ForwardBytes { .. }
                | Self::ForwardEnd
                | Self::PlacementQuery(_)
                | Self::PlacementQueued
                | Self::PlacementGranted(_)
                | Self::PlacementRefused(_)
                | Self::PlacementEnded(_)
        )
    }
}

/// Why a cell declined a request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct CellRefusal {
    pub(crate) reason: crate::RefusalReason,
    /// Time after which a retry may succeed, in milliseconds.
    pub(crate) retry_after_ms: u64,
}
