//! Decides whether a host is overloaded. The decision is pure.
//!
//! | Input | Load that it shows | Consequence |
//! |---|---|---|
//! | counted buffers | large bodies, slow readers | large requests are refused, the host is not ready |
//! | resident memory | what the buffers don't count | the same, if buffers are a part of it |
//! | descriptors | connections of clients and to upstreams | new connections are refused, the host is not ready |
//! | lag of a timer | too little processor time | none: if all hosts start at once, all lag |

use tokio::time::{Duration, Instant};

use crate::entry::host_load::LoadSample;

/// Part of the buffers from which on memory is short, and below which it is no longer. Requests may use buffers up to the
/// first mark, so that there is room for the responses of those that run.
pub(crate) const BUFFERS_SHORT: f64 = 0.8;
const BUFFERS_RELAXED: f64 = 0.6;

/// Part of the resident memory from which on memory is short, and below which it is no longer. Hosts of 88 MB were seen with
/// 70 MB in ordinary use.
const RESIDENT_SHORT: f64 = 0.95;
const RESIDENT_RELAXED: f64 = 0.9;

/// Part of the buffers that must be in use for resident memory to count. An allocator keeps memory after a peak, and to refuse
/// requests would not free it.
const RESIDENT_BUFFERS: f64 = 0.25;

/// Part of the usable descriptors from which on they are short, and below which they are no longer.
const DESCRIPTORS_SHORT: f64 = 0.9;
const DESCRIPTORS_RELAXED: f64 = 0.8;

/// Part of the usable descriptors from which on none is given to a new connection.
const DESCRIPTORS_EXHAUSTED: f64 = 0.97;

/// Time for which a resource must have been above its upper mark until it is short. A burst after a pause of the host is over
/// sooner, and what can't be taken at all is refused at any time.
const ONSET_TIME: Duration = Duration::from_millis(500);

/// Time for which a resource must have been below its lower mark until it is no longer short. The load balancer checks each
/// second.
const RECOVERY_TIME: Duration = Duration::from_secs(1);

/// Lag from which on a host counts as late. One with 0.12 of a core has pauses of 100 ms in ordinary use.
const LATE_LAG: Duration = Duration::from_millis(250);

/// How many descriptors are left.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub enum DescriptorSupply {
    /// Enough.
    #[default]
    Ample,
    /// Few, so that new clients should go to other hosts.
    Short,
    /// None for further connections of clients.
    Exhausted,
}

/// What a host is short of.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct HostLoad {
    /// Memory for buffers.
    pub is_memory_short: bool,
    /// Descriptors.
    pub descriptors: DescriptorSupply,
    /// Processor time.
    pub is_late: bool,
}

impl HostLoad {
    /// Whether new clients should be sent here. A late host takes them: to move clients costs processor time at all hosts.
    pub fn takes_new_clients(self) -> bool {
        !self.is_memory_short && self.descriptors == DescriptorSupply::Ample
    }
}

/// One resource with two marks.
#[derive(Clone, Copy, Debug, Default)]
struct ResourceState {
    is_short: bool,
    /// Since when it has been above the upper mark, or below the lower one if it is short.
    crossed_since: Option<Instant>,
}

impl ResourceState {
    fn update(&mut self, now: Instant, is_above: bool, is_below: bool) -> bool {
        let (has_crossed, time) =
            if self.is_short { (is_below, RECOVERY_TIME) } else { (is_above, ONSET_TIME) };

        if !has_crossed {
            self.crossed_since = None;
        } else if now.duration_since(*self.crossed_since.get_or_insert(now)) >= time {
            *self = Self { is_short: !self.is_short, crossed_since: None };
        }
        self.is_short
    }
}

/// Decides from one sample after the other what a host is short of.
#[derive(Debug, Default)]
pub(crate) struct LoadPolicy {
    memory: ResourceState,
    descriptors: ResourceState,
}

impl LoadPolicy {
    pub(crate) fn update(&mut self, sample: &LoadSample) -> HostLoad {
        let buffers = sample.buffers.map_or(0.0, |(used, most)| used as f64 / most.max(1) as f64);
        let resident = sample.resident.map_or(0.0, |(used, most)| used as f64 / most.max(1) as f64);
        let descriptors =
            sample.descriptors.map_or(0.0, |(used, most)| used as f64 / most.max(1) as f64);
        let counts_resident = buffers >= RESIDENT_BUFFERS;
        let is_above = buffers >= BUFFERS_SHORT || counts_resident && resident >= RESIDENT_SHORT;
        let is_below =
            buffers < BUFFERS_RELAXED && (!counts_resident || resident < RESIDENT_RELAXED);

        let are_exhausted = descriptors >= DESCRIPTORS_EXHAUSTED;
        // Without an onset: requests have been refused, so the clients should come back to other hosts.
        if are_exhausted {
            self.descriptors = ResourceState { is_short: true, crossed_since: None };
        }
        let are_short = self.descriptors.update(
            sample.taken_at,
            descriptors >= DESCRIPTORS_SHORT,
            descriptors < DESCRIPTORS_RELAXED,
        );
        let supply = if are_exhausted {
            DescriptorSupply::Exhausted
        } else if are_short {
            DescriptorSupply::Short
        } else {
            DescriptorSupply::Ample
        };

        HostLoad {
            is_memory_short: self.memory.update(sample.taken_at, is_above, is_below),
            descriptors: supply,
            is_late: sample.lag >= LATE_LAG,
        }
    }
}
