//! One queue per region: the region's dispatcher of a service places the requests of all its schedulers.
//!
//! See docs/design/dispatching.md.

pub(crate) mod dispatch_candidate;
pub(crate) mod dispatch_request;
pub(crate) mod dispatcher_answer;
pub(crate) mod dispatcher_choice;
pub(crate) mod dispatcher_suspects;
pub(crate) mod placement_denial;
pub(crate) mod placement_end;
pub(crate) mod placement_grant;
pub(crate) mod placement_query;
pub(crate) mod placement_server;
pub(crate) mod region_dispatch;
pub(crate) mod remote_grants;
pub(crate) mod remote_lease;

use std::sync::Arc;

/// Numbers that later builds add to a message, each with a name. A receiver ignores names that it does not know, so a
/// message can grow although its fields can't change.
pub(crate) type NamedNumbers = Vec<(Arc<str>, i64)>;

/// Number that a message states under a name, if it is not negative.
pub(crate) fn named_number(numbers: &NamedNumbers, name: &str) -> Option<u64> {
    let (_, number) = numbers.iter().find(|(it, _)| **it == *name)?;
    u64::try_from(*number).ok()
}
