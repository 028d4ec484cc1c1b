//! Knowledge of the software versions that have begun streams, and of those that serve.

use std::collections::BTreeMap;

use tokio::time::{Duration, Instant, advance};

use super::entry_fakes::upstream;
use crate::entry::{
    ExpiryBounds, FollowGap, PlacementPool, UpstreamRecord,
    stream_versions::{BegunStream, StreamOrigin, StreamVersions},
};

const LIFETIME: Duration = Duration::from_secs(6);

/// Time for which clients may take up a stream of a version whose last upstream has left.
const TAKE_UP_TIME: Duration = Duration::from_secs(30);

/// Last part of [`TAKE_UP_TIME`].
const LAST_STEP: Duration = Duration::from_millis(1);

fn stream(request: &str, version: &str) -> BegunStream {
    BegunStream { request: request.into(), software_version: version.into(), lifetime: LIFETIME }
}

fn record(id: &str, version: &str) -> UpstreamRecord {
    UpstreamRecord { software_version: version.into(), ..upstream(id, "model", 4) }
}

#[tokio::test(start_paused = true)]
async fn stream_versions_keep_a_version_until_the_stream_is_over() {
    let mut versions = StreamVersions::default();
    versions.add(Instant::now(), stream("r1", "v1"));
    versions.merge(Instant::now(), &stream("r1", "v1"));
    versions.merge(Instant::now(), &stream("r2", "v2"));
    assert_eq!(versions.get("r1"), Some(StreamOrigin::Version("v1".into())));
    assert_eq!(versions.take_unreported(), [stream("r1", "v1")]);
    assert_eq!(versions.take_unreported(), []);
    assert_eq!(versions.local_streams(Instant::now()), [stream("r1", "v1")]);

    advance(LIFETIME).await;
    versions.add(Instant::now(), stream("r3", "v2"));
    assert_eq!((versions.get("r1"), versions.get("r2")), (None, None));
    assert_eq!(versions.local_streams(Instant::now()), [stream("r3", "v2")]);
}

#[tokio::test(start_paused = true)]
async fn stream_versions_keep_a_stream_that_this_host_goes_on_with_after_another_one() {
    let mut versions = StreamVersions::default();
    versions.merge(Instant::now(), &stream("r1", "v1"));
    advance(LIFETIME.saturating_sub(LAST_STEP)).await;
    versions.add(Instant::now(), stream("r1", "v1"));
    assert_eq!(versions.local_streams(Instant::now()), [stream("r1", "v1")]);

    advance(LIFETIME.saturating_sub(LAST_STEP)).await;
    versions.merge(Instant::now(), &stream("r2", "v2"));
    assert_eq!(versions.get("r1"), Some(StreamOrigin::Version("v1".into())));
}

#[tokio::test(start_paused = true)]
async fn stream_versions_name_none_for_a_stream_that_two_hosts_have_begun_at_different_ones() {
    let (v1, v2) = (stream("r1", "v1"), stream("r1", "v2"));
    let mut lost_host = StreamVersions::default();
    lost_host.add(Instant::now(), v1.clone());
    lost_host.merge(Instant::now(), &v2);

    // The second host begins the request that was forwarded again, and has heard of the first one.
    let mut second_host = StreamVersions::default();
    second_host.merge(Instant::now(), &v1);
    second_host.add(Instant::now(), v2.clone());
    assert_eq!(second_host.take_unreported(), std::slice::from_ref(&v2));
    assert_eq!(second_host.local_streams(Instant::now()), [v1.clone(), v2.clone()]);

    let mut third_host = StreamVersions::default();
    third_host.merge(Instant::now(), &v2);
    third_host.merge(Instant::now(), &v1);
    third_host.merge(Instant::now(), &stream("r1", "v3"));

    for versions in [lost_host, second_host, third_host] {
        assert_eq!(versions.get("r1"), Some(StreamOrigin::Disputed));
    }
}

fn pool() -> PlacementPool {
    PlacementPool::new("dc-a".into(), BTreeMap::new())
}

/// The version at which a stream of the service `model` may be taken up that no host knows.
fn sole_version(pool: &PlacementPool) -> Option<String> {
    pool.sole_version("model", Instant::now(), LIFETIME).map(|it| it.to_string())
}

/// Asserts that no version is given until the time has passed in which streams of earlier versions may be taken up.
async fn assert_waits_for(pool: &PlacementPool, version: &str) {
    assert_eq!(sole_version(pool), None);
    advance(TAKE_UP_TIME.saturating_sub(LAST_STEP)).await;
    assert_eq!(sole_version(pool), None);
    advance(LAST_STEP).await;
    assert_eq!(sole_version(pool).as_deref(), Some(version));
}

#[tokio::test(start_paused = true)]
async fn sole_version_is_none_until_another_version_is_long_gone() {
    let pool = pool();
    assert_eq!(sole_version(&pool), None);
    pool.reset(vec![record("u1", "v1")], 1, None);
    assert_waits_for(&pool, "v1").await;
    pool.set_store_availability(false);
    assert_eq!(sole_version(&pool), None, "the list may be old");
    pool.reset(vec![record("u1", "v1")], 1, None);
    pool.set_store_availability(true);
    assert_waits_for(&pool, "v1").await;

    pool.upsert(record("u2", "v2"));
    assert_eq!(sole_version(&pool), None);
    pool.remove("u1", 2);
    assert_waits_for(&pool, "v2").await;

    pool.upsert(record("u2", "v3"));
    assert_waits_for(&pool, "v3").await;
}

#[tokio::test(start_paused = true)]
async fn sole_version_is_none_in_a_pool_that_has_just_begun_to_follow() {
    let pool = pool();
    advance(TAKE_UP_TIME * 2).await;
    pool.reset(vec![record("u1", "v2")], 1, None);
    assert_waits_for(&pool, "v2").await;
}

#[tokio::test(start_paused = true)]
async fn sole_version_is_none_in_a_pool_that_has_no_listing_yet() {
    let pool = pool();
    pool.upsert(record("u1", "v2"));
    advance(TAKE_UP_TIME * 2).await;
    assert_eq!(sole_version(&pool), None);
}

#[tokio::test(start_paused = true)]
async fn sole_version_is_none_after_each_listing_that_follows_a_gap() {
    let pool = pool();
    pool.reset(vec![record("u1", "v2")], 1, None);
    advance(TAKE_UP_TIME).await;

    for revision in 2..4 {
        let now = Instant::now();
        pool.set_store_availability(false);
        let gap = FollowGap { last_contact: now, last_failure: now };
        pool.reset(vec![record("u1", "v2")], revision, Some(gap));
        pool.set_store_availability(true);
        assert_waits_for(&pool, "v2").await;
    }
}

#[tokio::test(start_paused = true)]
async fn sole_version_is_none_after_a_listing_that_follows_lost_history() {
    let pool = pool();
    pool.reset(vec![record("u1", "v2")], 1, None);
    advance(TAKE_UP_TIME).await;
    pool.reset(vec![record("u1", "v2")], 2, None);
    assert_waits_for(&pool, "v2").await;
}

#[tokio::test(start_paused = true)]
async fn sole_version_lasts_while_the_watch_reports_changes() {
    let pool = pool();
    pool.reset(vec![record("u1", "v2")], 1, None);
    advance(TAKE_UP_TIME).await;
    pool.upsert(UpstreamRecord { revision: 2, slots: 8, ..record("u1", "v2") });
    pool.upsert(UpstreamRecord { revision: 3, ..record("u2", "v2") });
    pool.remove("u1", 4);
    assert_eq!(sole_version(&pool).as_deref(), Some("v2"));
}

#[tokio::test(start_paused = true)]
async fn sole_version_is_none_after_an_upstream_of_another_version_has_changed_its_service() {
    let pool = pool();
    pool.reset(vec![record("u1", "v1"), record("u2", "v2")], 1, None);
    advance(TAKE_UP_TIME).await;
    pool.upsert(UpstreamRecord { service: "tool".into(), revision: 2, ..record("u1", "v1") });
    assert_waits_for(&pool, "v2").await;
}

#[tokio::test(start_paused = true)]
async fn sole_version_is_none_while_a_long_stream_of_another_version_may_be_taken_up() {
    let expiry = ExpiryBounds::default();
    let pool = pool().with_expiry(expiry);
    let lifetime = Duration::from_mins(1);
    let sole_version = || pool.sole_version("model", Instant::now(), lifetime);
    pool.reset(vec![record("u1", "v1"), record("u2", "v2")], 1, None);
    advance(lifetime * 2).await;
    pool.remove("u1", 2);
    advance((lifetime + expiry.contact_time).saturating_sub(LAST_STEP)).await;
    assert_eq!(sole_version(), None);
    advance(LAST_STEP).await;
    assert_eq!(sole_version().as_deref(), Some("v2"));
}
