//! Configuration of all hosts: validation, numbered changes, and their distribution.

pub(crate) mod config_document;
pub(crate) mod config_entry;
pub(crate) mod config_error;
pub(crate) mod config_spreader;
pub(crate) mod config_state;
pub(crate) mod config_store;
