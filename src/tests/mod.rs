//! Tests of the library's modules, with fakes in place of their dependencies.

mod cell_queue;
mod cluster_view;
mod config_model;
mod entry_budget;
mod entry_fakes;
mod entry_journal;
mod entry_metrics;
mod entry_placement;
mod entry_routes;
mod entry_runner;
mod entry_streams;
mod frame_codec;
mod journal_audit;
mod log_limiter;
mod membership;
mod memory_platform;
mod mesh_connector;
mod peer_mesh;
mod policy_bench;
mod polling;
mod receipts;
mod settings;
mod shard_log_model;
mod shard_state;
mod small_parts;
mod transport;
