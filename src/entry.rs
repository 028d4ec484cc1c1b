//! Entry hosts: they route requests to the upstreams of a service, continue earlier turns, and enforce each program's
//! token budget across all hosts. See docs/design/platform.md.
//!
//! A deployment is connected through three traits: [`ObjectStore`], [`UpstreamChannel`] and [`ObjectListener`].

pub(crate) mod admission;
mod ahead_reservations;
pub(crate) mod batch_index;
pub(crate) mod budget_ledger;
mod buffer_budget;
pub(crate) mod chain_recorder;
pub(crate) mod crash_guard;
pub(crate) mod crash_records;
pub(crate) mod crash_suspects;
pub(crate) mod dispatching;
pub(crate) mod entry_host;
pub(crate) mod entry_metrics;
mod entry_request;
pub(crate) mod entry_response;
mod entry_settings;
pub(crate) mod event_framer;
mod expiry_bounds;
pub(crate) mod explain;
mod feature_switches;
mod follow_gap;
pub(crate) mod found_route;
pub(crate) mod host_load;
pub(crate) mod host_reach;
pub(crate) mod host_registry;
pub(crate) mod index_catalog;
pub(crate) mod journal_queue;
mod kind_follower;
mod mesh_answers;
pub(crate) mod mesh_connector;
pub(crate) mod mesh_peer;
mod mesh_queries;
mod mesh_recorder;
pub(crate) mod mesh_state;
pub(crate) mod object_affinity;
mod object_store;
mod page_reader;
mod peer_contact;
mod peer_features;
pub(crate) mod peer_mesh;
mod placement_metrics;
pub(crate) mod placement_pool;
pub(crate) mod placement_request;
mod pool_listing;
mod pool_objects;
mod pool_pace;
mod pool_reach;
pub(crate) mod pool_state;
pub(crate) mod pooled_upstream;
pub(crate) mod presumed_crashes;
pub(crate) mod prompt_cache;
pub(crate) mod quotas;
mod reach_prober;
pub(crate) mod recent_spends;
pub(crate) mod record_readings;
pub(crate) mod record_retention;
pub(crate) mod refusal_trials;
pub(crate) mod request_runner;
pub(crate) mod request_signature;
mod retirement_keeper;
mod route_table;
pub(crate) mod routed_request;
pub(crate) mod run_lives;
pub(crate) mod run_record;
mod run_refusal;
pub(crate) mod segment_index;
pub(crate) mod segment_queries;
pub(crate) mod segment_reader;
pub(crate) mod silent_records;
pub(crate) mod slot_obstacle;
mod store_monitor;
mod stream_relay;
mod stream_resume;
pub(crate) mod stream_versions;
pub(crate) mod target_completions;
pub(crate) mod target_crashes;
pub(crate) mod teams;
pub(crate) mod turn_budget;
pub(crate) mod turn_history;
pub(crate) mod turn_journal;
pub(crate) mod turn_locator;
mod upstream_channel;
mod upstream_choice;
pub(crate) mod upstream_departures;
pub(crate) mod upstream_lease;
pub(crate) mod upstream_limits;
pub(crate) mod upstream_load;
mod upstream_record;
pub(crate) mod version_finder;
pub(crate) mod written_batches;
pub(crate) mod written_reservations;

pub use self::{
    budget_ledger::BudgetLedger,
    buffer_budget::{BufferBudget, BuffersFull, LeasedBuffer},
    entry_host::EntryHost,
    entry_request::{EntryRequest, ProgramContext, PromptPart},
    entry_response::{EntryRefusal, EntryResponse, RelayedBody, RelayedResponse, StreamItem},
    entry_settings::{EntryBackends, EntrySettings},
    expiry_bounds::ExpiryBounds,
    explain::{
        CandidateView, CostTerm, ExplainError, ExplainedDispatcher, ExplainedOutcome, Explanation,
        ProgramExplanation, QueueForecast, QuotaExplanation,
    },
    feature_switches::{FeatureSwitches, HostFeature},
    follow_gap::FollowGap,
    host_load::{DescriptorSupply, HostLoad, LoadLimits, LoadMonitor},
    kind_follower::{KindFollower, KindListing, ObjectListener},
    object_store::{
        ObjectChange, ObjectPage, ObjectStore, ReadFreshness, SILENCE_LIMIT, StoreError,
        StoredObject, WatchBatch, WriteOutcome,
    },
    placement_pool::PlacementPool,
    quotas::QuotaTolerance,
    retirement_keeper::{RetirementKeeper, RetirementRequest},
    route_table::{RequestKind, RouteLimits, RouteTable, RouteTarget, ServiceConfig, ServiceRoute},
    run_record::PossibleRuns,
    store_monitor::StoreMonitor,
    teams::{ClientKey, KeyDigest, Team, TeamDirectory, TeamError, TeamQuota, TeamTerms},
    upstream_channel::{
        ChannelError, ReportedLoad, SendGuard, UpstreamBody, UpstreamChannel, UpstreamRequest,
        UpstreamResponse,
    },
    upstream_record::{UpstreamPhase, UpstreamRecord},
};
pub(crate) use self::{
    host_registry::HostRegistry,
    teams::{AccessInputs, AccessRefusal, ConfigCurrency, KeyChecker, TeamScope},
};
