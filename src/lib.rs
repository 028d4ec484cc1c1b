//! Scheduler for agent programs that share model capacity. All code is in this library: `ragwortknotd`, the daemon of a
//! host, and `ragwortknot`, the command line for operators, only call it. See docs/ARCHITECTURE.md for the modules.

mod basics;
mod benches;
mod configuration;
mod dispatch;
pub mod entry;
pub mod gateway;
mod interface;
mod membership;
mod platform_calls;
mod process;
mod programs;
mod state;
mod upstreams;

#[cfg(test)]
mod tests;

pub use self::{
    benches::{quota_bench::LoadedQuotas, slope_bench::LoadedQueue},
    process::{
        node_log::{LogBuffer, LogGuard, LogSink, start_log},
        run_cli::run_cli,
        run_daemon::{abort_on_panic, run_daemon},
    },
    upstreams::rate_limit::RequestRate,
};

pub(crate) use self::{
    basics::{
        backoff_policy::BackoffPolicy,
        name_types::{HostName, ModelName, RegionName, TeamName, UpstreamName},
    },
    configuration::{
        config_document::{
            ConfigDocument, ModelKind, ModelTerms, ProgramLimits, UpstreamTerms, hex_text,
        },
        config_entry::ConfigEntry,
        config_error::ConfigError,
        config_spreader::ConfigSpreader,
        config_state::ConfigState,
        config_store::ConfigStore,
    },
    dispatch::{
        cell_decision::{CellDecision, GrantReason, RefusalReason},
        cell_dispatcher::{CellDispatcher, CellStatus, DispatchOutcome, DispatchTicket},
        cell_event::{CellEvent, TicketNumber},
        cell_gateway::{CellGateway, CellPermit},
        cell_id::CellId,
        cell_policy::CellPolicy,
        cell_queue::{CellQueue, RequestKey, TeamKey, UpstreamKey},
        cell_report::{CellReport, CellResult},
        cell_request::CellRequest,
        decision_journal::{DecisionJournal, JournalItem, JournalLine},
        dispatcher_table::DispatcherTable,
        journal_audit::{JournalAudit, TeamStatus},
        peer_gateway::PeerGateway,
        prefix_model::{CachedPrefix, PrefixModel},
        queued_request::{QueuedRequest, RequestGrant},
        team_queue::{RequestPosition, TeamQueue},
        upstream_state::{UpstreamCrash, UpstreamState},
    },
    interface::{operator_client::OperatorClient, problem::Problem, problem_kind::ProblemKind},
    membership::{
        cluster_view::{ClusterView, HostTarget},
        frame_codec::{FrameError, decode_frame, encode_frame},
        host_record::HostRecord,
        key_files::KeyFiles,
        member_rumor::{HostPhase, MemberRumor, MemberStatus, RumorVersion},
        membership_service::MembershipService,
        membership_table::{MemberChange, MembershipTable},
        peer_error::PeerError,
        peer_message::{CellRefusal, PeerMessage},
        peer_service::PeerService,
        peer_transport::{PeerHandler, PeerStream, PeerTransport},
        quic_transport::{IdlePolicy, QuicTransport},
    },
    platform_calls::{
        call_limiter::CallLimiter,
        circuit_breaker::CircuitBreaker,
        guarded_platform::GuardedPlatform,
        http_client::HttpClient,
        http_platform::HttpPlatform,
        platform_client::{CreateOutcome, PlatformClient},
        platform_error::PlatformError,
        snapshot_store::SnapshotStore,
    },
    process::{
        cli_error::CliError,
        host_lifecycle::{HostLifecycle, LifecycleEvent},
        local_cluster::{LocalCluster, LocalOptions},
        node::Node,
        node_core::NodeCore,
        node_metrics::NodeMetrics,
        node_settings::NodeSettings,
        settings_error::SettingsError,
        settings_reader::{SettingKey, SettingsReader},
    },
    programs::{
        answer_builder::{AnswerBuilder, ChunkKind},
        call_runner::CallRunner,
        in_flight_guard::InFlightGuard,
        prepared_turn::PreparedTurn,
        program_request::{
            CallRequest, CreateRequest, NumberKey, ProgramOperation, ProgramRequest, TurnRequest,
        },
        program_router::ProgramRouter,
        program_service::{EventSender, OwnedProgram, ProgramService},
        request_outcome::RequestOutcome,
        retry_budget::RetryBudget,
        slot_admission::SlotAdmission,
        turn_attempt::FinishedAttempt,
        turn_runner::TurnRunner,
    },
    state::{
        attempt_history::{AttemptHistory, AttemptTable},
        call_record::{CallRecord, CallState},
        end_reason::EndReason,
        log_batch::{LogBatch, WriterId},
        log_error::LogError,
        log_reader::{LogReader, LogReplay},
        log_record::LogRecord,
        ownership_check::{OwnershipCheck, PeerOwnershipCheck},
        program::{Program, ProgramAdmission},
        program_entry::ProgramEntry,
        program_event::{
            AnswerDurability, CallAnswer, ProgramAnswer, ProgramEvent, ProgramHistory,
            ProgramStatus, TurnAnswer,
        },
        program_id::ProgramId,
        program_slot::{ProgramSlot, SlotEntry, SlotGuard},
        program_sweeper::ProgramSweeper,
        program_terms::ProgramTerms,
        shard_id::ShardId,
        shard_keeper::ShardKeeper,
        shard_log::ShardLog,
        shard_owner::{CommitOutcome, CommitTicket, OwnerConfirmation, ShardOwner},
        shard_state::ShardState,
        shard_table::ShardTable,
        state_error::StateError,
        token_usage::TokenUsage,
        turn_receipt::{ReceiptSealer, TurnReceipt},
        turn_record::TurnRecord,
    },
    upstreams::{
        crash_note::{CrashNote, CrashedRun},
        crash_tracker::CrashTracker,
        http_upstream::HttpUpstream,
        upstream_client::{
            EngineOrder, ProbeOutcome, StreamTimeouts, UpstreamClient, UpstreamError, UpstreamLoad,
            UpstreamResponse, UpstreamStream,
        },
        upstream_health::{HealthEvent, HealthStatus, UpstreamHealth},
        upstream_watcher::UpstreamWatcher,
    },
};
