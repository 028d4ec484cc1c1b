//! Tests of placement under load, in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, Instant, sleep, timeout};

use super::entry_fakes::upstream;
use crate::entry::{
    FollowGap, PlacementPool, PromptPart, ReportedLoad, UpstreamPhase,
    placement_request::{PlacementRefusal, PlacementRequest},
    pooled_upstream::LeaseOutcome,
    upstream_lease::UpstreamLease,
};

/// Time for which a request leases its slot.
const LEASE_TIME: Duration = Duration::from_millis(300);

/// Time from a request to its deadline.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);

fn pool() -> Arc<PlacementPool> {
    let regions = BTreeMap::from([
        ("dc-a".into(), "north".into()),
        ("dc-b".into(), "north".into()),
        ("dc-c".into(), "south".into()),
    ]);
    Arc::new(PlacementPool::new("dc-a".into(), regions))
}

pub(super) fn request(priority: u32, is_continuation: bool) -> PlacementRequest {
    let now = Instant::now();

    PlacementRequest {
        team: None,
        service: "model".into(),
        route: "route".into(),
        request: "request".into(),
        program: None,
        priority,
        is_continuation,
        finish_by: now + REQUEST_TIMEOUT,
        deadline: now + REQUEST_TIMEOUT,
        prompt_parts: Vec::new(),
        prompt_tokens: 1_000,
        completion_tokens: 0,
        object: None,
        may_repeat: true,
        software_version: None,
        excluded: Vec::new(),
    }
}

async fn acquire(pool: &Arc<PlacementPool>) -> Result<UpstreamLease, PlacementRefusal> {
    pool.acquire(request(0, false)).await
}

#[tokio::test(start_paused = true)]
async fn placement_pool_respects_slots_and_queue_order() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 2));
    let leases =
        [acquire(&pool).await.expect("a free slot"), acquire(&pool).await.expect("a free slot")];
    let order = Arc::new(parking_lot::Mutex::new(Vec::new()));

    for (name, priority, is_continuation) in
        [("low priority", 1, false), ("new", 0, false), ("continuation", 0, true)]
    {
        let (pool, order) = (Arc::clone(&pool), Arc::clone(&order));
        tokio::spawn(async move {
            let lease = pool.acquire(request(priority, is_continuation)).await.expect("a slot");
            order.lock().push(name);
            sleep(LEASE_TIME).await;
            lease.finish(LeaseOutcome::Answered);
        });
        sleep(Duration::from_millis(1)).await;
    }

    assert!(order.lock().is_empty(), "a third request was granted one of two slots");
    drop(leases);
    sleep(LEASE_TIME * 4).await;
    assert_eq!(*order.lock(), ["continuation", "new", "low priority"]);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_refuses_excess_at_once_and_serves_what_it_admits() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    let mut clients = Vec::new();

    // 80 requests at once for 4 slots, each leased for 300 ms: 4 get a slot, and 16 more have an expected wait of at
    // most 1.2 s.
    for _ in 0..80 {
        let pool = Arc::clone(&pool);
        clients.push(tokio::spawn(async move {
            let requested_at = Instant::now();
            match acquire(&pool).await {
                Ok(lease) => {
                    sleep(LEASE_TIME).await;
                    lease.finish(LeaseOutcome::Answered);
                    (true, requested_at.elapsed())
                }
                Err(refusal) => {
                    assert!(refusal.retry_after >= Duration::from_millis(100));
                    (false, requested_at.elapsed())
                }
            }
        }));
    }

    let mut served = 0;
    for client in clients {
        let (is_served, elapsed) = client.await.expect("the client does not panic");
        served += usize::from(is_served);
        assert!(is_served || elapsed < Duration::from_millis(10), "a refusal took {elapsed:?}");
        assert!(elapsed <= REQUEST_TIMEOUT, "an admitted request took {elapsed:?}");
    }
    assert!(served >= 16, "only {served} requests were served");
    assert!(served < 80);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_avoids_draining_upstreams() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    let mut draining = upstream("u1", "model", 4);
    draining.phase = UpstreamPhase::Draining;
    pool.upsert(draining);
    assert!(acquire(&pool).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn placement_pool_keeps_expired_upstreams_for_two_seconds_after_an_outage() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    pool.set_store_availability(false);
    sleep(Duration::from_secs(4)).await;
    let now = Instant::now();
    let gap = FollowGap { last_contact: now - Duration::from_secs(4), last_failure: now };
    pool.reset(Vec::new(), 2, Some(gap));
    pool.set_store_availability(true);
    assert!(
        acquire(&pool).await.is_ok(),
        "the upstream was removed although its entry may have expired"
    );

    sleep(Duration::from_millis(2_200)).await;
    pool.maintain();
    assert!(
        acquire(&pool).await.is_err(),
        "the upstream was kept although its entry has not returned"
    );
}

#[tokio::test(start_paused = true)]
async fn placement_pool_removes_an_upstream_at_once_without_an_outage() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    pool.remove("u1", 2);
    assert!(acquire(&pool).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn placement_pool_prefers_a_cached_prompt_until_load_outweighs_it() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 12));
    pool.upsert(upstream("u2", "model", 12));
    pool.set_cache_capacities([("model".into(), 100_000)].into());
    let session_request = || PlacementRequest {
        prompt_parts: vec![
            PromptPart { id: 1, tokens: 12_600 },
            PromptPart { id: 2, tokens: 1_400 },
        ],
        prompt_tokens: 14_000,
        ..request(0, true)
    };

    let first = pool.acquire(session_request()).await.expect("a free slot");
    let cached_upstream = Arc::clone(&first.record.id);
    first.finish(LeaseOutcome::Answered);
    let mut leases = Vec::new();

    for _ in 0..4 {
        let lease = pool.acquire(session_request()).await.expect("a free slot");
        assert_eq!(lease.record.id, cached_upstream);
        assert_eq!(lease.cached_tokens, 14_000);
        leases.push(lease);
    }

    for _ in 0..8 {
        leases.push(pool.acquire(session_request()).await.expect("a free slot"));
    }
    assert!(
        leases.iter().any(|lease| lease.record.id != cached_upstream),
        "no request left the loaded upstream with the cached prompt"
    );
}

#[tokio::test(start_paused = true)]
async fn placement_pool_prefers_its_region_while_it_has_room() {
    let pool = pool();
    let mut remote = upstream("far", "model", 12);
    remote.data_centre = "dc-c".into();
    pool.upsert(remote);
    pool.upsert(upstream("near", "model", 2));

    let one = acquire(&pool).await.expect("a free slot");
    let two = acquire(&pool).await.expect("a free slot");
    assert_eq!((&*one.record.id, &*two.record.id), ("near", "near"));
    let three = acquire(&pool).await.expect("a free slot");
    assert_eq!(&*three.record.id, "far");
}

#[tokio::test(start_paused = true)]
async fn placement_pool_avoids_an_unreachable_upstream_until_its_backoff_ends() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 12));
    pool.upsert(upstream("u2", "model", 12));
    let lease = acquire(&pool).await.expect("a free slot");
    let unreachable = Arc::clone(&lease.record.id);
    lease.finish(LeaseOutcome::Unreachable);

    let mut leases = Vec::new();
    for _ in 0..6 {
        let lease = acquire(&pool).await.expect("a free slot");
        assert_ne!(lease.record.id, unreachable);
        leases.push(lease);
    }

    sleep(Duration::from_millis(500)).await;
    assert_eq!(
        acquire(&pool).await.expect("a free slot").record.id,
        unreachable,
        "the upstream is not tried again"
    );
}

#[tokio::test(start_paused = true)]
async fn placement_pool_removes_an_abandoned_request_from_the_queue() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 1));
    let lease = acquire(&pool).await.expect("a free slot");
    let abandoned = tokio::time::timeout(Duration::from_millis(50), acquire(&pool)).await;
    assert!(abandoned.is_err(), "the request got a slot while the only one was taken");
    drop(lease);
    assert!(acquire(&pool).await.is_ok(), "the slot was granted to the abandoned request");
}

#[tokio::test(start_paused = true)]
async fn placement_pool_serves_requests_behind_one_that_no_free_upstream_may_take() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 1));
    pool.upsert(upstream("u2", "model", 1));
    let first = PlacementRequest { excluded: vec!["u2".into()], ..request(0, false) };
    let blocker = pool.try_acquire(&first).expect("u1 is free");
    let waiting = tokio::spawn({
        let (pool, first) = (Arc::clone(&pool), first.clone());
        async move { pool.acquire(first).await }
    });
    sleep(Duration::from_millis(1)).await;

    let second = timeout(Duration::from_millis(10), pool.acquire(request(0, false))).await;
    let lease = second.expect("u2 is free").expect("a slot");
    assert_eq!(&*lease.record.id, "u2");
    drop(blocker);
    let lease = waiting.await.expect("the task ends").expect("a slot");
    assert_eq!(&*lease.record.id, "u1");
}

#[tokio::test(start_paused = true)]
async fn placement_pool_refuses_at_once_what_no_upstream_may_take() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    let excluded = PlacementRequest { excluded: vec!["u1".into()], ..request(0, false) };
    let outcome = timeout(Duration::from_millis(10), pool.acquire(excluded)).await;
    let refusal = outcome.expect("an answer at once").expect_err("a refusal");
    assert!(refusal.retry_after > Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_bears_numbers_at_the_end_of_their_range() {
    let pool = pool();
    for id in ["u1", "u2", "u3"] {
        pool.upsert(upstream(id, "model", u32::MAX));
    }
    let lease = acquire(&pool).await.expect("a free slot");
    let load = ReportedLoad { running: u32::MAX, waiting: u32::MAX, slots: 0, slowness: None };
    pool.record_load(lease.key, load);
    let other = acquire(&pool).await.expect("a free slot on another upstream");
    assert_ne!(other.record.id, lease.record.id);
    sleep(Duration::from_millis(400)).await;
    drop(acquire(&pool).await.expect("a free slot while the report fades"));
}
