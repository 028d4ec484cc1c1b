//! Programs, the shards that they belong to, and the shard logs that make them durable.

pub(crate) mod attempt_history;
pub(crate) mod call_record;
pub(crate) mod end_reason;
pub(crate) mod log_batch;
pub(crate) mod log_error;
pub(crate) mod log_reader;
pub(crate) mod log_record;
pub(crate) mod ownership_check;
pub(crate) mod program;
pub(crate) mod program_entry;
pub(crate) mod program_event;
pub(crate) mod program_id;
pub(crate) mod program_slot;
pub(crate) mod program_sweeper;
pub(crate) mod program_terms;
pub(crate) mod shard_id;
pub(crate) mod shard_keeper;
pub(crate) mod shard_log;
pub(crate) mod shard_owner;
pub(crate) mod shard_state;
pub(crate) mod shard_table;
pub(crate) mod state_error;
pub(crate) mod token_usage;
pub(crate) mod turn_receipt;
pub(crate) mod turn_record;
