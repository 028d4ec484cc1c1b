//! Roles of entry hosts. A few hosts of each region are *schedulers*: they keep programs, place requests and talk to
//! the store. All others are *gateways*, which forward their clients' requests to the scheduler that owns the program.
//! See docs/design/fleet.md.

mod entry_node;
mod forward_server;
pub(crate) mod forwarded_request;
mod forwarded_requests;
pub(crate) mod forwarded_response;
pub(crate) mod forwarded_stream;
mod host_network;
pub(crate) mod request_forwarder;
mod request_handler;
pub(crate) mod role_policy;
pub(crate) mod scheduler_directory;
pub(crate) mod scheduler_entry;
pub(crate) mod stop_policy;

pub use self::entry_node::{EntryNode, SchedulerStarter};
pub(crate) use self::{
    forwarded_request::ForwardedRequest,
    forwarded_requests::ForwardedRequests,
    forwarded_response::{DeclineReason, ForwardedHead},
    host_network::HostNetwork,
    request_forwarder::RequestForwarder,
    scheduler_directory::SchedulerDirectory,
    scheduler_entry::SchedulerEntry,
};
