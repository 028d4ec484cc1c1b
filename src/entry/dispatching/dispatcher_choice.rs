//! Decides which scheduler of a region is asked to place a request. Pure: it does no I/O and reads no clock.
//!
//! It answers the load of several schedulers that place requests on the same upstreams without knowing of each other.
//!
//! | Input | Source | Age |
//! |---|---|---|
//! | schedulers of the region, whether each is heard, drains and reaches the service | the mesh's updates | up to 0.4 s, and the mesh's timeout for a host that is gone |
//! | processor time of each | its registry entry | as long as its run |
//! | suspects | this host's own queries | 1 s; 30 s for a build that knows no queries |
//! | dispatchers that have failed for this request | this request | its own time |

use std::sync::Arc;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::{
    entry::dispatching::{
        dispatch_candidate::DispatchCandidate, dispatcher_suspects::DispatcherSuspects,
    },
    membership::rendezvous::weighted_score,
};

/// Dispatchers that may fail for one request before its host places it itself. Each costs at most the time for which a
/// dispatcher may be silent, and a third one would cost a client more than a placement by this host.
pub(crate) const MAX_FAILURES: usize = 2;

/// Who places a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(crate) enum DispatcherChoice {
    /// This host is the dispatcher.
    Local,
    /// The scheduler that is to be asked.
    Remote(DispatchCandidate),
    /// This host places the request, as those that should do so have failed or are not able to.
    Fallback,
}

/// Chooses the first scheduler that is able to dispatch a service, in the order of weighted rendezvous hashing of the
/// service's name. All hosts with the same view choose the same one. `failed` lists the dispatchers that have failed for
/// this request.
pub(crate) fn choose_dispatcher(
    service: &str,
    candidates: Vec<DispatchCandidate>,
    suspects: &DispatcherSuspects,
    failed: &[Arc<str>],
    now: Instant,
) -> DispatcherChoice {
    if failed.len() >= MAX_FAILURES {
        return DispatcherChoice::Fallback;
    }

    let seed = xxh3_64_with_seed(service.as_bytes(), 0);
    let may_dispatch = |it: &DispatchCandidate| {
        it.is_able
            && (it.is_local || !(failed.contains(&it.host) || suspects.contains(&it.run, now)))
    };
    let first = candidates
        .into_iter()
        .filter(may_dispatch)
        .min_by_key(|it| weighted_score(seed, &it.host, it.processor_millis));

    match first {
        Some(candidate) if candidate.is_local => DispatcherChoice::Local,
        Some(candidate) => DispatcherChoice::Remote(candidate),
        None => DispatcherChoice::Fallback,
    }
}
