//! Stand-ins for the outside systems that ragwortknot serves, each small and each with faults that a test can switch
//! on while it runs. They speak the published protocols only: HTTP objects with versions and watches, the `OpenAI`
//! chat-completions protocol, and plain HTTP. See `docs/ARCHITECTURE.md`, section "Stand-ins".

mod engine_cache;
mod engine_faults;
mod engine_service;
mod engine_timings;
mod fault_gate;
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
