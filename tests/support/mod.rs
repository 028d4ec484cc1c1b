//! A cluster of real processes behind stand-ins that run in the test's own process.

#![allow(dead_code, reason = "each test file uses a part of it")]

pub(crate) mod api_caller;
pub(crate) mod caller_workload;
pub(crate) mod checker;
pub(crate) mod host_process;
pub(crate) mod test_cluster;
pub(crate) mod udp_relay;
