//! Sends requests about one object to the upstream that has handled the object recently. All modules here are pure: state and
//! time in, decision out. See docs/design/object-affinity.md.
//!
//! | Decision | Inputs | Load that it answers |
//! |---|---|---|
//! | which object a request is about (`object_key`) | the request's cookies, name of the route's cookie | 4,000 objects; cookies that are missing, empty, sent twice or 10 kB long |
//! | which upstreams of a region an object prefers (`object_preference`) | the object's share of this host's requests; ids, slots and regions of the upstreams that are open and healthy; their load and slowness | 20 upstreams with 6 slots, 50 hosts that know little of each other; an object with a tenth of the load |
//! | what the preference is worth (`object_gain`) | times of answers at preferred and at other upstreams | upstreams that answer in half of the time, or no faster |

pub(crate) mod object_gain;
pub(crate) mod object_key;
pub(crate) mod object_preference;
