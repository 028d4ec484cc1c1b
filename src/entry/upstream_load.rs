//! What an upstream bears, and which requests suit it. All modules here are pure: state and time in, decision out. See
//! docs/design/upstream-load.md.
//!
//! | Decision | Inputs | Load that it answers |
//! |---|---|---|
//! | which upstreams of a region a shared prompt part prefers (`part_preference`) | the part's share of this host's requests, ids and regions of the open upstreams | each of 6 schedulers of a region reads a shared part of 12,600 tokens on engines of its own |
//! | how many requests begin with a part (`part_demand`) | first and second prompt part of each placed request, time | one part with a sixth of all load; parts that come and go |

pub(crate) mod part_demand;
pub(crate) mod part_preference;
