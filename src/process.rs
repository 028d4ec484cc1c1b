//! The daemon and the command line: startup, settings, logging, metrics and subcommands.

pub(crate) mod cli_error;
pub(crate) mod host_lifecycle;
pub(crate) mod local_cluster;
pub(crate) mod log_limiter;
pub(crate) mod metrics_registry;
pub(crate) mod node;
pub(crate) mod node_core;
pub(crate) mod node_log;
pub(crate) mod node_metrics;
pub(crate) mod node_settings;
pub(crate) mod run_cli;
pub(crate) mod run_daemon;
pub(crate) mod setting_unit;
pub(crate) mod settings_error;
pub(crate) mod settings_reader;
pub(crate) mod subcommand;
