//! Serves programs: parses callers' requests, routes them to the owner of the program, and runs turns and calls
//! there.

pub(crate) mod answer_builder;
pub(crate) mod attempt_evidence;
pub(crate) mod call_attempt;
pub(crate) mod call_runner;
pub(crate) mod chat_body;
pub(crate) mod in_flight_guard;
pub(crate) mod prepared_turn;
pub(crate) mod program_request;
pub(crate) mod program_router;
pub(crate) mod program_service;
pub(crate) mod request_outcome;
pub(crate) mod retry_budget;
pub(crate) mod slot_admission;
pub(crate) mod turn_attempt;
pub(crate) mod turn_runner;
