//! Admission of new programs, and the order of the queue, for services with a prompt cache. See
//! docs/design/admission.md.
//!
//! All decisions are pure: they depend on this state, the request, the caller's view of the queue and a time that the
//! caller passes in. They answer these loads: 0.8 to 2.6 times the capacity, teams at 5 to 7.5 times their usual load,
//! urgent short programs beside long ones, and the time after a burst.
//!
//! | Input | From | Used for |
//! |---|---|---|
//! | finish time, client's deadline, priority, route, team, program | [`PlacementRequest`] | order, time left |
//! | time left at a program's first request, turns answered | [`program_table`] | slack, time still needed |
//! | turns of a program, idle share, lease time now and on idle upstreams | [`route_estimate`], learned | predicted delay |
//! | recent grants of each team | [`team_usage`] | fair share |
//! | recent grants to new programs, recent refusals | [`admission_state`] | expected wait, `Retry-After` |
//! | requests ahead, slots that this host fills, age of the queue | [`queue_view`] | expected wait |
//!
//! [`PlacementRequest`]: crate::entry::placement_request::PlacementRequest

pub(crate) mod admission_refusal;
pub(crate) mod admission_state;
pub(crate) mod admission_ticket;
mod decayed_count;
mod estimate_key;
mod grant_group;
mod pool_admission;
mod program_progress;
mod program_table;
mod program_view;
pub(crate) mod queue_rank;
pub(crate) mod queue_view;
mod retry_time;
pub(crate) mod route_estimate;
mod team_usage;
pub(crate) mod wait_decision;
pub(crate) mod wait_forecast;
