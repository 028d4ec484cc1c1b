//! Test cluster: hosts as processes, and stand-ins of the platform, engines and a tool in the test's own process.

#![allow(dead_code, reason = "each test binary uses only some of the helpers")]

pub(crate) mod api_caller;
pub(crate) mod caller_workload;
pub(crate) mod checker;
pub(crate) mod host_process;
pub(crate) mod test_cluster;
pub(crate) mod udp_relay;
