//! Upstreams that drain, are removed, or state that they leave, between a decision and its effect.

use std::sync::Arc;

use tokio::time::{Duration, Instant, sleep};

use super::{
    entry_fakes::{ScriptedChannel, ScriptedResponse, upstream},
    entry_runner::{OK, placement, pool, runner},
};
use crate::{
    basics::unix_clock::unix_millis,
    entry::{
        FollowGap, PlacementPool, RequestKind, UpstreamPhase, UpstreamRecord,
        upstream_departures::UpstreamDepartures, upstream_lease::UpstreamLease,
    },
};

/// Time in which a request reaches its queue.
const QUEUE_TIME: Duration = Duration::from_millis(20);

/// Time after a statement within which an upstream that was started anew gets requests again.
const SETTLE_TIME: Duration = Duration::from_secs(3);

/// How an upstream ends its service.
type Departure = fn(&PlacementPool, &UpstreamLease);

/// The ways in which an upstream may end its service.
const DEPARTURES: [(&str, Departure); 3] = [
    ("drains", |pool, lease| {
        let record = UpstreamRecord::clone(&lease.record);
        pool.upsert(UpstreamRecord { phase: UpstreamPhase::Draining, ..record });
    }),
    ("is removed", |pool, lease| pool.remove(&lease.record.id, lease.record.revision)),
    ("states that it leaves", |_, lease| lease.record_leaving()),
];

async fn lease(pool: &Arc<PlacementPool>) -> UpstreamLease {
    pool.acquire(placement(&[])).await.expect("a free slot")
}

fn upstreams(channel: &ScriptedChannel) -> Vec<Arc<str>> {
    channel.requests().into_iter().map(|(upstream, _)| upstream).collect()
}

#[tokio::test(start_paused = true)]
async fn runner_skips_upstream_that_leaves_between_grant_and_send() {
    let mut late = Vec::new();

    for (label, departure) in DEPARTURES {
        let pool = pool();
        pool.upsert(upstream("u1", "service", 2));
        let (freed, kept) = (lease(&pool).await, lease(&pool).await);
        let channel = Arc::new(ScriptedChannel::new(vec![OK]));
        let run = tokio::spawn(runner(&pool, &channel, RequestKind::AtMostOnce).run());
        sleep(QUEUE_TIME).await;

        // The slot is granted, and its task has not run yet.
        drop(freed);
        departure(&pool, &kept);
        pool.upsert(upstream("u2", "service", 1));
        run.await.expect("no panic");
        late.extend((upstreams(&channel) != ["u2".into()]).then_some(label));
    }

    assert!(late.is_empty(), "requests were sent to an upstream that {late:?}");
}

#[tokio::test(start_paused = true)]
async fn relay_skips_upstream_that_leaves_between_grant_and_resumption() {
    let broken =
        ScriptedResponse::Stream { chunks: vec!["id: 1\ndata: a\n\n"], is_complete: false };
    let rest = ScriptedResponse::Stream { chunks: vec!["id: 2\ndata: b\n\n"], is_complete: true };

    let mut late = Vec::new();

    for (label, departure) in DEPARTURES {
        let pool = pool();
        pool.upsert(upstream("u2", "service", 2));
        let (freed, kept) = (lease(&pool).await, lease(&pool).await);
        pool.upsert(upstream("u1", "service", 1));
        let channel = Arc::new(ScriptedChannel::new(vec![broken.clone(), rest.clone()]));
        let kind = RequestKind::Stream { can_resume: true };
        let response = runner(&pool, &channel, kind).run().await;
        sleep(QUEUE_TIME).await;

        // The slot for the rest of the stream is granted, and its task has not run yet.
        drop(freed);
        departure(&pool, &kept);
        pool.upsert(upstream("u3", "service", 1));
        sleep(QUEUE_TIME).await;
        late.extend((upstreams(&channel) != ["u1".into(), "u3".into()]).then_some(label));
        drop(response);
    }

    assert!(late.is_empty(), "streams were resumed on an upstream that {late:?}");
}

#[test]
fn merge_of_an_older_instance_keeps_the_newer_one() {
    let run = |started_at_ms| UpstreamRecord { started_at_ms, ..upstream("u1", "service", 1) };
    let mut departures = UpstreamDepartures::default();
    departures.add_leaving(&run(2));
    // A peer that was cut off sends all that it has ever been told.
    let mut older = UpstreamDepartures::default();
    older.add_leaving(&run(1));
    older.all().iter().for_each(|it| assert!(departures.merge(it)));
    assert!(departures.is_leaving(&run(2)), "the instance that leaves gets requests again");
}

#[tokio::test(start_paused = true)]
async fn record_leaving_covers_an_instance_that_had_started_before_the_answer() {
    let pool = pool();
    pool.upsert(upstream("u1", "service", 1));
    let lease = lease(&pool).await;
    let started_at_ms = unix_millis() - 1_000;
    lease.record_leaving();
    drop(lease);

    // The store was out of reach, so the entry of the process that has answered comes later.
    pool.upsert(UpstreamRecord { started_at_ms, ..upstream("u1", "service", 1) });
    let placed = pool.acquire(placement(&[])).await;
    assert!(placed.is_err(), "the upstream that leaves gets requests again");
}

/// A later run of `u1`, whose entry was written at a revision.
fn restarted(revision: u64) -> UpstreamRecord {
    UpstreamRecord { revision, started_at_ms: 9, ..upstream("u1", "service", 1) }
}

/// A pool with one upstream that has stated that it leaves.
async fn pool_after_statement() -> Arc<PlacementPool> {
    let pool = pool();
    pool.reset(vec![upstream("u1", "service", 1)], 1, None);
    lease(&pool).await.record_leaving();
    pool
}

async fn is_open(pool: &Arc<PlacementPool>) -> bool {
    pool.acquire(placement(&[])).await.is_ok()
}

#[tokio::test(start_paused = true)]
async fn record_leaving_opens_an_instance_that_starts_later_within_the_contact_time() {
    let pool = pool_after_statement().await;
    sleep(SETTLE_TIME / 2).await;
    pool.upsert(restarted(2));
    assert!(!is_open(&pool).await, "it may be the one that has stated that it leaves");
    sleep(SETTLE_TIME / 2).await;
    assert!(is_open(&pool).await, "its entry was renewed since");

    let pool = pool_after_statement().await;
    sleep(SETTLE_TIME).await;
    pool.upsert(restarted(2));
    assert!(is_open(&pool).await, "it has started after the statement");
}

#[tokio::test(start_paused = true)]
async fn record_leaving_covers_an_instance_that_is_listed_after_an_outage() {
    let pool = pool_after_statement().await;
    let last_contact = Instant::now();
    sleep(Duration::from_millis(500)).await;
    pool.set_store_availability(false);
    sleep(SETTLE_TIME * 2).await;
    assert!(!is_open(&pool).await, "nothing was heard since the statement");

    let gap = FollowGap { last_contact, last_failure: Instant::now() };
    pool.reset(vec![restarted(2)], 2, Some(gap));
    pool.set_store_availability(true);
    assert!(!is_open(&pool).await, "its entry may not have been renewed in the outage");
    sleep(SETTLE_TIME).await;
    assert!(is_open(&pool).await, "its entry was renewed since");

    let last_contact = Instant::now();
    sleep(SETTLE_TIME).await;
    pool.reset(vec![restarted(2)], 2, Some(FollowGap { last_contact, last_failure: last_contact }));
    assert!(is_open(&pool).await, "a later outage says nothing about it");
}

#[tokio::test(start_paused = true)]
async fn merge_of_a_settled_departure_leaves_a_restarted_upstream_open_on_a_host_that_starts() {
    let pool = pool();
    let mut departures = UpstreamDepartures::default();
    departures.add_leaving(&upstream("u1", "service", 1));
    departures.all().iter().for_each(|it| assert!(pool.departures().lock().merge(it)));
    pool.reset(vec![restarted(2)], 2, None);
    assert!(is_open(&pool).await, "the host that starts refuses requests for it");
}

#[tokio::test(start_paused = true)]
async fn record_leaving_opens_a_restarted_instance_though_contact_to_the_store_is_lost_now_and_then()
 {
    let pool = pool_after_statement().await;
    pool.upsert(restarted(2));
    let mut contact_time = Duration::ZERO;

    while contact_time < SETTLE_TIME * 4 {
        let last_contact = Instant::now();
        pool.set_store_availability(false);
        sleep(Duration::from_millis(100)).await;
        let gap = FollowGap { last_contact, last_failure: Instant::now() };
        pool.reset(vec![restarted(2)], 2, Some(gap));
        pool.set_store_availability(true);
        sleep(SETTLE_TIME / 2).await;
        contact_time += SETTLE_TIME / 2;
    }

    assert!(is_open(&pool).await, "its entry was renewed since");
}
