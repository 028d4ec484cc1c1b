//! Benchmarks of the product itself.

pub(crate) mod overhead_bench;
pub(crate) mod policy_bench;
pub(crate) mod slope_bench;
