//! Scheduling of requests onto upstreams: queueing, fair sharing, placement, and the journal that records each decision.

pub(crate) mod cell_decision;
pub(crate) mod cell_dispatcher;
pub(crate) mod cell_event;
pub(crate) mod cell_gateway;
pub(crate) mod cell_id;
pub(crate) mod cell_policy;
pub(crate) mod cell_queue;
pub(crate) mod cell_report;
pub(crate) mod cell_request;
pub(crate) mod decision_journal;
pub(crate) mod dispatcher_table;
pub(crate) mod journal_audit;
pub(crate) mod peer_gateway;
pub(crate) mod placement_round;
pub(crate) mod prefix_model;
pub(crate) mod queued_request;
pub(crate) mod team_queue;
pub(crate) mod upstream_state;
