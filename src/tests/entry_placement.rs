//! Placement under load, played through the pool in virtual time.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::{Duration, Instant, sleep};

use super::entry_fakes::upstream;
use crate::entry::{
    PlacementPool, PromptPart, UpstreamPhase,
    placement_request::{PlacementRefusal, PlacementRequest},
    pooled_upstream::UpstreamVerdict,
    upstream_lease::UpstreamLease,
};

/// Time that a request stays at an upstream.
const STAY: Duration = Duration::from_millis(300);

/// Time that clients wait.
const DEADLINE: Duration = Duration::from_secs(3);

fn pool() -> Arc<PlacementPool> {
    let regions = BTreeMap::from([
        ("dc-a".into(), "north".into()),
        ("dc-b".into(), "north".into()),
        ("dc-c".into(), "south".into()),
    ]);
    Arc::new(PlacementPool::new("dc-a".into(), regions))
}

fn request(priority: u32, is_continuation: bool) -> PlacementRequest {
    let now = Instant::now();

    PlacementRequest {
        service: "model".into(),
        priority,
        is_continuation,
        finish_by: now + DEADLINE,
        deadline: now + DEADLINE,
        parts: Vec::new(),
        prompt_tokens: 1_000,
        excluded: Vec::new(),
    }
}

async fn place(pool: &Arc<PlacementPool>) -> Result<UpstreamLease, PlacementRefusal> {
    pool.acquire(request(0, false)).await
}

#[tokio::test(start_paused = true)]
async fn placement_pool_keeps_to_slots_and_serves_the_queue_in_order() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 2));
    let held = [place(&pool).await.expect("room"), place(&pool).await.expect("room")];
    let order = Arc::new(parking_lot::Mutex::new(Vec::new()));

    for (name, priority, is_continuation) in
        [("late", 1, false), ("new", 0, false), ("begun", 0, true)]
    {
        let (pool, order) = (Arc::clone(&pool), Arc::clone(&order));
        tokio::spawn(async move {
            let lease = pool.acquire(request(priority, is_continuation)).await.expect("a place");
            order.lock().push(name);
            sleep(STAY).await;
            lease.finish(UpstreamVerdict::Answered);
        });
        sleep(Duration::from_millis(1)).await;
    }

    assert!(order.lock().is_empty(), "no third request runs beside two");
    drop(held);
    sleep(STAY * 4).await;
    assert_eq!(*order.lock(), ["begun", "new", "late"]);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_refuses_a_burst_at_once_and_serves_what_it_takes() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    let mut clients = Vec::new();

    // Eighty requests at once for four places of 300 ms: 40 fit into the 1.2 s that a request may be expected to wait.
    for _ in 0..80 {
        let pool = Arc::clone(&pool);
        clients.push(tokio::spawn(async move {
            let asked = Instant::now();
            match place(&pool).await {
                Ok(lease) => {
                    sleep(STAY).await;
                    lease.finish(UpstreamVerdict::Answered);
                    (true, asked.elapsed())
                }
                Err(refusal) => {
                    assert!(refusal.retry_after >= Duration::from_millis(100));
                    (false, asked.elapsed())
                }
            }
        }));
    }

    let mut served = 0;
    for client in clients {
        let (is_served, took) = client.await.expect("no panic");
        served += usize::from(is_served);
        assert!(is_served || took < Duration::from_millis(10), "a refusal comes at once");
        assert!(took <= DEADLINE, "what is taken is served in time");
    }
    assert!(served >= 16, "{served} served");
    assert!(served < 80);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_gives_a_draining_upstream_nothing() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    let mut draining = upstream("u1", "model", 4);
    draining.phase = UpstreamPhase::Draining;
    pool.upsert(draining);
    assert!(place(&pool).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn placement_pool_keeps_lapsed_upstreams_for_two_seconds_after_an_outage() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    pool.set_store_availability(false);
    pool.set_store_availability(true);
    pool.reset(Vec::new());
    assert!(place(&pool).await.is_ok(), "its entry may have lapsed while the store was away");

    sleep(Duration::from_millis(2_200)).await;
    pool.expire();
    assert!(place(&pool).await.is_err(), "it has not come back");
}

#[tokio::test(start_paused = true)]
async fn placement_pool_drops_a_removed_upstream_at_once() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 4));
    pool.remove("u1");
    assert!(place(&pool).await.is_err());
}

#[tokio::test(start_paused = true)]
async fn placement_pool_prefers_the_cache_of_a_line_but_not_at_any_price() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 12));
    pool.upsert(upstream("u2", "model", 12));
    pool.set_cache_tokens([("model".into(), 100_000)].into());
    let line = || PlacementRequest {
        parts: vec![PromptPart { id: 1, tokens: 12_600 }, PromptPart { id: 2, tokens: 1_400 }],
        prompt_tokens: 14_000,
        ..request(0, true)
    };

    let first = pool.acquire(line()).await.expect("room");
    let home = Arc::clone(&first.record.id);
    first.finish(UpstreamVerdict::Answered);
    let mut held = Vec::new();

    for _ in 0..4 {
        let lease = pool.acquire(line()).await.expect("room");
        assert_eq!(lease.record.id, home);
        assert_eq!(lease.cached_tokens, 14_000);
        held.push(lease);
    }

    for _ in 0..8 {
        held.push(pool.acquire(line()).await.expect("room"));
    }
    assert!(held.iter().any(|lease| lease.record.id != home), "load spreads a busy line");
}

#[tokio::test(start_paused = true)]
async fn placement_pool_stays_in_the_region_while_it_has_room() {
    let pool = pool();
    let mut far = upstream("far", "model", 12);
    far.data_centre = "dc-c".into();
    pool.upsert(far);
    pool.upsert(upstream("near", "model", 2));

    let one = place(&pool).await.expect("room");
    let two = place(&pool).await.expect("room");
    assert_eq!((&*one.record.id, &*two.record.id), ("near", "near"));
    let three = place(&pool).await.expect("room");
    assert_eq!(&*three.record.id, "far");
}

#[tokio::test(start_paused = true)]
async fn placement_pool_passes_over_an_upstream_that_can_not_be_reached() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 12));
    pool.upsert(upstream("u2", "model", 12));
    let lease = place(&pool).await.expect("room");
    let failed = Arc::clone(&lease.record.id);
    lease.finish(UpstreamVerdict::Unreachable);

    let mut held = Vec::new();
    for _ in 0..6 {
        let lease = place(&pool).await.expect("room");
        assert_ne!(lease.record.id, failed);
        held.push(lease);
    }

    sleep(Duration::from_millis(500)).await;
    assert_eq!(place(&pool).await.expect("room").record.id, failed, "it is tried again");
}

#[tokio::test(start_paused = true)]
async fn placement_pool_forgets_a_request_whose_client_has_left() {
    let pool = pool();
    pool.upsert(upstream("u1", "model", 1));
    let held = place(&pool).await.expect("room");
    let waiting = tokio::time::timeout(Duration::from_millis(50), place(&pool)).await;
    assert!(waiting.is_err(), "the client has left the queue");
    drop(held);
    assert!(place(&pool).await.is_ok(), "the place was not given to nobody");
}
