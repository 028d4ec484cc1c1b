//! HTTP APIs for callers and operators, and the errors that they return.

pub(crate) mod answer_body;
pub(crate) mod answer_stream;
pub(crate) mod caller_api;
pub(crate) mod operator_api;
pub(crate) mod operator_client;
pub(crate) mod problem;
pub(crate) mod problem_kind;
