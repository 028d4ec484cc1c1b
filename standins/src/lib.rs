//! Stand-ins: small fakes of the external systems that ragwortknot works with, for tests and local runs. A test can
//! inject faults into each at run time. They speak the published protocols only: an HTTP API of versioned objects with
//! watches, the `OpenAI` chat-completions protocol, and plain HTTP. See `docs/ARCHITECTURE.md`, section "Stand-ins".

mod active_faults;
mod engine_cache;
mod engine_faults;
mod engine_service;
mod engine_timings;
mod host_entry;
mod object_store;
mod platform_faults;
mod platform_service;
mod routed_server;
mod run_standin;
mod standin_server;
mod tool_faults;
mod tool_service;
mod versioned_store;

pub use engine_cache::EngineCache;
pub use engine_faults::EngineFaults;
pub use engine_service::{EngineOptions, EngineRun, EngineService};
pub use engine_timings::EngineTimings;
pub use host_entry::HostEntry;
pub use platform_faults::PlatformFaults;
pub use platform_service::{CallCounts, PlatformService};
pub use routed_server::{RoutedFaults, RoutedRun, RoutedServer};
pub use run_standin::{run_engine, run_platform, run_tool};
pub use standin_server::StandinServer;
pub use tool_faults::ToolFaults;
pub use tool_service::{ToolRun, ToolService};
pub use versioned_store::{StoreFaults, VersionedStore};
