//! Decides which hosts become schedulers. The functions are pure; see docs/design/fleet.md, "Roles".

use std::{sync::Arc, time::Duration};

use crate::gateway::SchedulerEntry;

/// Number of schedulers of a region. Fewer would leave a region without one after a few failures; each further one
/// costs every other scheduler messages, and each of them sees a smaller part of the load of the upstreams.
const SCHEDULERS_PER_REGION: usize = 6;

/// Number of schedulers of a region below which a gateway takes over the role of one that is gone.
const MIN_SCHEDULERS: usize = 2;

/// Number of schedulers of a region from which on each program has one owner among them. With fewer, a turn costs less
/// where it arrives than with a hop to the owner.
const MIN_OWNERS: usize = 4;

/// Part of a core from which on a host becomes a scheduler with little delay.
const LARGE_HOST_SHARE: f64 = 0.4;

/// Part of a core from which on a host becomes a scheduler before the smallest hosts do.
const MEDIUM_HOST_SHARE: f64 = 0.2;

/// Time by which medium hosts wait for large ones to become schedulers. Hosts that are started together start within
/// 0.3 s of each other, and each needs some calls to the store.
const MEDIUM_HOST_DELAY: Duration = Duration::from_millis(500);

/// Time by which all other hosts wait for larger ones.
const SMALL_HOST_DELAY: Duration = Duration::from_millis(1_500);

/// Range over which the start of hosts of the same size is spread, so that few of them take the role at the same time.
const DELAY_SPREAD: Duration = Duration::from_millis(500);

/// Delay after which a host looks whether its region needs it as a scheduler. `jitter` is a random number from 0 to 1.
pub(crate) fn candidate_delay(processor_share: f64, jitter: f64) -> Duration {
    let base_delay = if processor_share >= LARGE_HOST_SHARE {
        Duration::ZERO
    } else if processor_share >= MEDIUM_HOST_SHARE {
        MEDIUM_HOST_DELAY
    } else {
        SMALL_HOST_DELAY
    };

    base_delay + DELAY_SPREAD.mul_f64(jitter)
}

/// Whether a host that starts should become a scheduler: if it is listed as one, since its clients' programs may still
/// be known to it by others, or if its region has too few of them.
pub(crate) fn should_schedule(host: &str, region: &str, schedulers: &[SchedulerEntry]) -> bool {
    let is_listed = schedulers.iter().any(|it| *it.host == *host);
    is_listed || region_count(region, schedulers) < SCHEDULERS_PER_REGION
}

/// Whether a region has so few schedulers that a gateway should become one.
pub(crate) fn is_region_short(region: &str, schedulers: &[SchedulerEntry]) -> bool {
    region_count(region, schedulers) < MIN_SCHEDULERS
}

/// Whether programs have owners in a region with this number of schedulers.
pub(crate) fn has_owners(region_schedulers: usize) -> bool {
    region_schedulers >= MIN_OWNERS
}

fn region_count(region: &str, schedulers: &[SchedulerEntry]) -> usize {
    let is_in_region = |it: &&SchedulerEntry| same(&it.region, region) && !it.is_draining;
    schedulers.iter().filter(is_in_region).count()
}

fn same(left: &Arc<str>, right: &str) -> bool {
    **left == *right
}
