//! Small types that all modules share.

pub(crate) mod backoff_policy;
pub(crate) mod name_types;
pub(crate) mod steady_clock;
pub(crate) mod unix_clock;
