//! Tests of the placement of requests about objects, without a network.

use std::{collections::BTreeMap, sync::Arc};

use hyper::{HeaderMap, header::COOKIE, header::HeaderValue};
use slotmap::SlotMap;
use tokio::time::{Duration, Instant, sleep};

use super::{
    entry_fakes::{ScriptedChannel, upstream},
    entry_placement::request,
    entry_runner::runner,
};
use crate::entry::{
    PlacementPool, ReportedLoad, RequestKind,
    object_affinity::{
        object_gain::{ObjectGain, ObjectPlace},
        object_key::ObjectKey,
        object_preference::{ObjectPreference, ObjectShare, preferred_count},
    },
    placement_request::PlacementRequest,
    pool_state::UpstreamKey,
    pooled_upstream::{LeaseOutcome, PooledUpstream},
    upstream_lease::UpstreamLease,
};

const COOKIE_NAME: &str = "Object";
const RARE: ObjectShare = ObjectShare { requests: 1.0, share: 1.0 };

fn cookies(values: &[&[u8]]) -> HeaderMap {
    let value = |it: &&[u8]| HeaderValue::from_bytes(it).expect("a valid value");
    values.iter().map(|it| (COOKIE, value(it))).collect()
}

fn object(values: &[&[u8]]) -> Option<ObjectKey> {
    ObjectKey::from_cookies(&cookies(values), COOKIE_NAME)
}

/// Guards against clients that steer or fail requests by odd cookies.
#[test]
fn object_key_is_read_from_one_valid_cookie_only() {
    let key = object(&[b"Object=o-1"]);
    assert!(key.is_some() && key != object(&[b"Object=o-2"]));
    assert_eq!(key, object(&[b"a=b;  Object=o-1 ; c"]), "other cookies change the object");
    assert_eq!(key, object(&[b"a=b", b"Object=o-1"]), "a second header is not read");
    assert_eq!(key, object(&[b"Object=o-1; Object=o-1"]), "an equal cookie is no contradiction");
    assert!(object(&["Object=\u{e9}\u{4e16}".as_bytes()]).is_some(), "any bytes name an object");

    let long = [b"Object=", vec![b'x'; 257].as_slice()].concat();
    assert!(object(&[&long[..263]]).is_some());
    let huge = [b"Object=", vec![b'x'; 10_000].as_slice()].concat();
    let odd: [&[&[u8]]; 10] = [
        &[],
        &[b""],
        &[b"Object"],
        &[b"Object="],
        &[b"object=o-1"],
        &[b"Objects=o-1"],
        &[b"Object=o-1; Object=o-2"],
        &[b"Object=o-1", b"Object="],
        &[&long],
        &[&huge],
    ];
    for values in odd {
        assert_eq!(object(values), None, "{values:?}");
    }
}

/// Guards against an effect on routes that don't ask for it, and on services whose prompts decide.
#[tokio::test]
async fn placement_request_has_an_object_only_on_sticky_routes_without_a_prompt_cache() {
    let channel = Arc::new(ScriptedChannel::default());
    let mut routed = runner(&pool(6, 6), &channel, RequestKind::Idempotent).routed;
    routed.request.headers = cookies(&[b"Object=o-1"]);
    assert_eq!(routed.placement_request(&[]).object, None);

    let mut route = (*routed.route).clone();
    route.object_cookie = Some(COOKIE_NAME.into());
    routed.route = Arc::new(route);
    assert_eq!(routed.placement_request(&[]).object, object(&[b"Object=o-1"]));
    assert_eq!(routed.upstream_request(None).headers, routed.request.headers);

    let mut service = (*routed.service).clone();
    service.cache_tokens = 1_000;
    routed.service = Arc::new(service);
    assert_eq!(routed.placement_request(&[]).object, None);
}

fn upstreams(ids: impl Iterator<Item = usize>) -> SlotMap<UpstreamKey, PooledUpstream> {
    let mut upstreams = SlotMap::with_key();
    for id in ids {
        let record = upstream(&format!("u{id}"), "model", 6);
        upstreams.insert(PooledUpstream::new(Arc::new(record), 0));
    }
    upstreams
}

/// Ids of the upstreams that an object prefers.
fn preferred(
    object: u64,
    share: ObjectShare,
    upstreams: &SlotMap<UpstreamKey, PooledUpstream>,
) -> Vec<Arc<str>> {
    let candidates = upstreams.iter().map(|(key, upstream)| (key, upstream, "north"));
    let preference = ObjectPreference::new(ObjectKey(object), share, (20.0, 40.0), candidates);
    let mut ids: Vec<_> = upstreams
        .iter()
        .filter(|(key, _)| preference.place(*key) == ObjectPlace::Preferred)
        .map(|(_, it)| Arc::clone(&it.record.id))
        .collect();
    ids.sort();
    ids
}

/// Guards against hosts that choose different upstreams, and against objects that all move when an upstream joins or leaves.
#[test]
fn object_preference_is_alike_at_all_hosts_and_moves_few_objects() {
    let [one, other, fewer] =
        [upstreams(0..20), upstreams((0..20).rev()), upstreams((0..20).filter(|it| *it != 7))];
    let mut counts = BTreeMap::<Arc<str>, u32>::new();
    for object in 0..4_000_u64 {
        let object = object.wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let ids = preferred(object, RARE, &one);
        assert_eq!((ids.len(), &ids), (1, &preferred(object, RARE, &other)));
        let id = Arc::clone(&ids[0]);
        let moved = preferred(object, RARE, &fewer) != ids;
        assert_eq!(moved, &*id == "u7", "an object moved that need not");
        *counts.entry(id).or_default() += 1;
    }
    assert!(counts.values().all(|it| (140..260).contains(it)), "{counts:?}");
}

/// Guards against one object that overloads its upstream, and against hosts with few requests that take each object for hot.
#[test]
fn preferred_count_grows_with_the_share_of_a_hot_object() {
    let count = |requests, share| preferred_count(ObjectShare { requests, share }, 20);
    assert_eq!([count(0.0, 0.0), count(7.0, 1.0), count(100.0, 0.001)], [1, 1, 1]);
    assert_eq!([count(100.0, 0.1), count(100.0, 1.0)], [3, 20]);
    assert_eq!(preferred_count(ObjectShare { requests: 100.0, share: 1.0 }, 0), 1);

    let all = upstreams(0..20);
    let few = preferred(5, RARE, &all);
    let more = preferred(5, ObjectShare { requests: 100.0, share: 0.1 }, &all);
    assert!(more.len() == 3 && more.contains(&few[0]));
}

/// Guards against a preference for upstreams that have no room or are slow.
#[test]
fn missed_ms_grows_to_the_whole_gain_at_full_and_slow_upstreams() {
    let upstreams = upstreams(0..1);
    let key = upstreams.keys().next().expect("an upstream");
    let candidates = upstreams.iter().map(|(key, upstream)| (key, upstream, "north"));
    let preference = ObjectPreference::new(ObjectKey(1), RARE, (20.0, 40.0), candidates);
    let missed = |load_share, slowness| preference.missed_ms(key, load_share, slowness);
    let is_none = |missed_ms: f64| missed_ms.abs() < 1e-6;
    let is_whole = |missed_ms: f64| (missed_ms - 20.0).abs() < 1e-6;
    assert!(is_none(missed(0.0, 1.0)) && is_none(missed(0.75, 0.5)) && is_whole(missed(1.0, 1.0)));
    assert!(missed(0.9, 1.0) > missed(0.8, 1.0) && missed(0.0, 1.5) > 0.0);
    assert!(is_whole(missed(0.0, 2.0)) && is_whole(missed(0.0, 4.0)));
}

/// Guards against a gain that is believed without answers, and against one that is not believed although answers show it.
#[test]
fn object_gain_is_learned_within_bounds() {
    let learned = |preferred_ms: f64, beside_ms: f64| {
        let mut gain = ObjectGain::default();
        for _ in 0..200 {
            gain.record(ObjectPlace::Preferred, preferred_ms);
            gain.record(ObjectPlace::Next, 1_000.0);
            gain.record(ObjectPlace::Beside, beside_ms);
        }
        gain
    };
    assert!((ObjectGain::default().gain_ms(30.0) - 15.0).abs() < 0.1);
    assert!((ObjectGain::default().gain_ms(3_000.0) - 20.0).abs() < 0.1);
    assert!((learned(32.0, 40.0).gain_ms(30.0) - 16.0).abs() < 0.1);
    assert!((learned(4.0, 40.0).gain_ms(30.0) - 24.0).abs() < 0.1);
    assert!((learned(60.0, 40.0).gain_ms(30.0) - 2.0).abs() < 0.1);
    let trials = |gain: &ObjectGain| (0..1_280).filter(|it| gain.is_trial(*it)).count();
    assert_eq!((trials(&ObjectGain::default()), trials(&learned(1.0, 1.0))), (80, 10));
}

fn pool(upstream_count: usize, slots: u32) -> Arc<PlacementPool> {
    let pool = Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()));
    (0..upstream_count).for_each(|id| pool.upsert(upstream(&format!("u{id}"), "model", slots)));
    pool
}

/// A pool that has learned how long requests take, from requests about many objects.
async fn learned_pool() -> Arc<PlacementPool> {
    let pool = pool(6, 6);
    for number in 0..200 {
        let other = PlacementRequest { object: Some(ObjectKey(number)), ..object_request() };
        let lease = pool.try_acquire(&other).expect("a free slot");
        sleep(Duration::from_millis(40)).await;
        lease.finish(LeaseOutcome::Answered);
    }
    pool
}

fn object_request() -> PlacementRequest {
    PlacementRequest { object: Some(ObjectKey(977)), prompt_tokens: 0, ..request(0, false) }
}

fn acquire(pool: &Arc<PlacementPool>) -> UpstreamLease {
    pool.try_acquire(&object_request()).expect("a free slot")
}

/// Order of the upstreams for the object, as a host finds it that is told one after the other to be unusable.
fn order(pool: &Arc<PlacementPool>) -> Vec<Arc<str>> {
    let mut excluded = Vec::new();
    while let Some(lease) =
        pool.try_acquire(&PlacementRequest { excluded: excluded.clone(), ..object_request() })
    {
        excluded.push(Arc::clone(&lease.record.id));
    }
    excluded
}

/// Guards against requests that overfill the preferred upstream, and against hosts that overflow to different ones.
#[tokio::test(start_paused = true)]
async fn placement_pool_overflows_to_the_next_upstream_in_order() {
    let (one, other) = (learned_pool().await, learned_pool().await);
    let order = order(&one);
    assert_eq!(order.len(), 6);
    let leases: Vec<_> = (0..7).map(|_| acquire(&one)).collect();
    let first = leases.iter().filter(|it| it.record.id == order[0]).count();
    let next = leases.iter().filter(|it| it.record.id == order[1]).count();
    assert!((4..6).contains(&first) && first + next == 7, "{first} and {next}");

    let full = acquire(&other);
    assert_eq!(full.record.id, order[0], "two hosts choose different upstreams");
    full.finish(LeaseOutcome::Full);
    assert_eq!(acquire(&other).record.id, order[1]);
}

/// Guards against a slow upstream that keeps its objects, and against one that does not get them back.
#[tokio::test(start_paused = true)]
async fn placement_pool_avoids_a_slow_preferred_upstream_while_it_is_slow() {
    let pool = learned_pool().await;
    let order = order(&pool);
    let lease = acquire(&pool);
    let load = ReportedLoad { running: 1, waiting: 0, slots: 6, slowness: Some(3.0) };
    pool.record_load(lease.key, load);
    drop(lease);
    assert_eq!(acquire(&pool).record.id, order[1]);
    sleep(Duration::from_secs(1)).await;
    assert_eq!(acquire(&pool).record.id, order[0]);
}

/// Guards against objects that follow an upstream into its backoff or slow start, and against requests that may run once and
/// are risked at an upstream that has not answered since it failed.
#[tokio::test(start_paused = true)]
async fn placement_pool_leaves_a_preferred_upstream_that_fails_until_it_recovers() {
    let pool = learned_pool().await;
    let order = order(&pool);
    acquire(&pool).finish(LeaseOutcome::Unreachable);
    assert_eq!(acquire(&pool).record.id, order[1], "the upstream is in backoff");
    sleep(Duration::from_millis(500)).await;
    assert_eq!(acquire(&pool).record.id, order[1], "the upstream is in slow start");
    let once = PlacementRequest { may_repeat: false, ..object_request() };
    assert_eq!(pool.try_acquire(&once).expect("a free slot").record.id, order[1]);
    sleep(Duration::from_secs(31)).await;
    let lease = acquire(&pool);
    assert_eq!(lease.record.id, order[0], "the upstream has recovered");
    drop(lease);
    assert_eq!(pool.try_acquire(&once).expect("a free slot").record.id, order[0]);
}

/// Guards against an upstream that stays in slow start because it has no object yet.
#[tokio::test(start_paused = true)]
async fn placement_pool_expects_cold_objects_at_an_upstream_in_slow_start() {
    let pool = pool(4, 6);
    for number in 0..400 {
        let id = format!("request-{number}").into();
        let lease = pool.try_acquire(&PlacementRequest { request: id, ..object_request() });
        let lease = lease.expect("a free slot");
        let is_cold = lease.granted.object_place != Some(ObjectPlace::Preferred);
        sleep(Duration::from_millis(if is_cold { 40 } else { 20 })).await;
        lease.finish(LeaseOutcome::Answered);
    }
    let failed = acquire(&pool);
    let id = Arc::clone(&failed.record.id);
    failed.finish(LeaseOutcome::Unreachable);
    sleep(Duration::from_secs(1)).await;
    let others = ["u0", "u1", "u2", "u3"].map(Arc::<str>::from);
    let only = PlacementRequest {
        excluded: others.into_iter().filter(|it| *it != id).collect(),
        ..object_request()
    };
    let begun_at = Instant::now();
    while pool.slow_start_count() > 0 && begun_at.elapsed() < Duration::from_secs(5) {
        let Some(lease) = pool.try_acquire(&only) else { break };
        sleep(Duration::from_millis(40)).await;
        lease.finish(LeaseOutcome::Answered);
    }
    assert_eq!(pool.slow_start_count(), 0, "answers without the object count as slow");
}

/// Guards against requests without an object that are placed by what objects prefer.
#[tokio::test(start_paused = true)]
async fn placement_pool_places_requests_without_an_object_by_load() {
    let (pool, untouched) = (pool(6, 6), pool(6, 6));
    for number in 0..300 {
        let id = format!("request-{number}").into();
        drop(pool.try_acquire(&PlacementRequest { request: id, ..object_request() }));
    }
    let plain = |pool: &Arc<PlacementPool>| -> Vec<_> {
        let leases = (0..30).map(|_| pool.try_acquire(&request(0, false)).expect("a free slot"));
        leases.collect::<Vec<_>>().iter().map(|it| Arc::clone(&it.record.id)).collect()
    };
    assert_eq!(plain(&pool), plain(&untouched));
}
