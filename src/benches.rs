//! Benchmarks that `ragwortknot bench` runs.

pub(crate) mod overhead_bench;
pub(crate) mod policy_bench;
pub(crate) mod quota_bench;
pub(crate) mod slope_bench;
