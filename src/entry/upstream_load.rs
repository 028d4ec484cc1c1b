//! What an upstream bears, and which requests suit it. All modules here are pure: state and time in, decision out. See
//! docs/design/upstream-load.md.
//!
//! | Decision | Inputs | Load that it answers |
//! |---|---|---|
//! | which upstreams of a region a shared prompt part prefers (`part_preference`) | the part's share of this host's requests, ids and regions of the open upstreams | each of 6 schedulers of a region reads a shared part of 12,600 tokens on engines of its own |
//! | how many requests an upstream that starts or recovers may have under way (`pace_window`) | speed of its answers, failures, rejections, time | an upstream that needs 0 to 20 s to warm up, or flaps |
//! | whether an answer is as fast as expected (`answer_times`) | times of the service's other upstreams, uncached tokens | the same; a cold cache and a slow service are no slow start |
//! | what prefill and a concurrent request cost (`request_costs`, `learned_slope`) | uncached tokens, requests beside, time to the first event and from it to the end | engines that read 147, 247 or 270 tokens in a millisecond |
//! | whether a request fits in an upstream's memory (`memory_account`) | tokens of granted requests, number of others, capacity | upstreams crash if the requests on them exceed 234,075 or 292,205 tokens |
//! | how slow an upstream's machine is now (`slowness_report`) | fourth figure of the load header, its age | machines that slow down for less than a second |
//! | which upstreams have just started (`start_cohort`) | starts of the service's upstreams | replaced upstreams; all that start at once |
//! | how many requests begin with a part (`part_demand`) | first and second prompt part of each placed request, time | one part with a sixth of all load; parts that come and go |

pub(crate) mod answer_times;
pub(crate) mod granted_load;
pub(crate) mod learned_slope;
pub(crate) mod memory_account;
pub(crate) mod pace_window;
pub(crate) mod part_demand;
pub(crate) mod part_preference;
pub(crate) mod placement_cost;
pub(crate) mod request_costs;
pub(crate) mod slowness_report;
pub(crate) mod start_cohort;
