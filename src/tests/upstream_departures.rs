//! How soon a host gives no more requests to an upstream that leaves, whatever it can reach meanwhile. In virtual time.

use std::{collections::BTreeMap, sync::Arc};

use async_trait::async_trait;
use parking_lot::Mutex;
use serde_json::value::RawValue;
use tokio::{
    task::JoinHandle,
    time::{Duration, Instant, sleep, sleep_until},
};

use super::entry_fakes::upstream;
use crate::entry::{
    ExpiryBounds, FollowGap, KindFollower, KindListing, ObjectChange, ObjectListener, ObjectPage,
    ObjectStore, PlacementPool, ReadFreshness, SILENCE_LIMIT, StoreError, StoreMonitor,
    StoredObject, UpstreamRecord, WatchBatch, WriteOutcome, placement_request::PlacementRequest,
};

/// Time after the end of a disturbance from which a host has to act on all that the store has acknowledged.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time after which a call to a store that can't be reached fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for which a watch waits that the store answers.
const WATCH_TIME: Duration = Duration::from_millis(300);

/// What happens to a watch that is opened or waits while the store can't be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WatchFate {
    /// Its connection goes silent, which shows within [`SILENCE_LIMIT`].
    Silent,
    /// Its connection lives, and the store never answers it.
    Forgotten,
}

/// A store that can't be reached for a while. Its only object is an upstream's entry, which is removed at some time.
#[derive(Debug)]
struct DisturbedStore {
    cut_at: Instant,
    healed_at: Instant,
    removed_at: Instant,
    fate: WatchFate,
}

impl DisturbedStore {
    fn unreachable() -> StoreError {
        StoreError::Unanswered { reason: "the call timed out".into() }
    }
}

#[async_trait]
impl ObjectStore for DisturbedStore {
    async fn list(
        &self,
        _kind: &str,
        _after: Option<&str>,
        _freshness: ReadFreshness,
    ) -> Result<ObjectPage, StoreError> {
        let now = Instant::now();
        if (self.cut_at..self.healed_at).contains(&now) {
            sleep(CALL_TIMEOUT).await;
            return Err(Self::unreachable());
        }

        sleep(Duration::from_millis(4)).await;
        let entry = StoredObject { name: "u1".into(), revision: 5, content: None, status: None };
        let items = if now < self.removed_at { vec![entry] } else { Vec::new() };
        Ok(ObjectPage {
            items,
            has_more: false,
            store_revision: if now < self.removed_at { 5 } else { 6 },
        })
    }

    async fn watch(
        &self,
        _kind: &str,
        after_revision: u64,
        wait: Duration,
    ) -> Result<WatchBatch, StoreError> {
        let now = Instant::now();
        if self.fate == WatchFate::Silent && now < self.healed_at && now + wait >= self.cut_at {
            sleep_until(self.cut_at.max(now) + SILENCE_LIMIT).await;
            return Err(Self::unreachable());
        }
        if self.fate == WatchFate::Forgotten && (self.cut_at..self.healed_at).contains(&now) {
            sleep(wait + CALL_TIMEOUT).await;
            return Err(Self::unreachable());
        }

        // The watch ends early, so that the next one is opened while the store is silent.
        sleep(wait.min(WATCH_TIME)).await;
        Ok(WatchBatch { changes: Vec::new(), store_revision: after_revision })
    }

    async fn get(&self, _kind: &str, _name: &str) -> Result<Option<StoredObject>, StoreError> {
        Err(Self::unreachable())
    }

    async fn create(&self, _: &str, _: &str, _: &RawValue) -> Result<WriteOutcome, StoreError> {
        Err(Self::unreachable())
    }

    async fn replace(
        &self,
        _: &str,
        _: &str,
        _: &RawValue,
        _: u64,
    ) -> Result<WriteOutcome, StoreError> {
        Err(Self::unreachable())
    }

    async fn replace_status(
        &self,
        _: &str,
        _: &str,
        _: &RawValue,
        _: u64,
    ) -> Result<WriteOutcome, StoreError> {
        Err(Self::unreachable())
    }

    async fn remove(&self, _: &str, _: &str, _: u64) -> Result<WriteOutcome, StoreError> {
        Err(Self::unreachable())
    }
}

/// Applies listings to a pool, and records when each came.
#[derive(Debug)]
struct PoolListener {
    pool: Arc<PlacementPool>,
    listed_at: Mutex<Vec<Instant>>,
}

impl ObjectListener for PoolListener {
    fn reset(&self, listing: KindListing) {
        let record = |it: &StoredObject| UpstreamRecord {
            revision: it.revision,
            ..upstream(&it.name, "model", 4)
        };
        self.listed_at.lock().push(Instant::now());
        self.pool.reset(
            listing.objects.iter().map(record).collect(),
            listing.revision,
            listing.gap,
        );
    }

    fn apply_change(&self, _change: ObjectChange) {}

    fn set_available(&self, is_available: bool) {
        self.pool.set_store_availability(is_available);
    }
}

/// Follows the upstreams of a store until the task is aborted.
fn follow(store: DisturbedStore, listener: &Arc<PoolListener>) -> JoinHandle<()> {
    let store: Arc<dyn ObjectStore> = Arc::new(store);
    let monitor = StoreMonitor::new(Arc::clone(&store));
    let follower = KindFollower {
        store,
        kind: "upstreams",
        listener: Arc::clone(listener) as Arc<dyn ObjectListener>,
        monitor: monitor.clone(),
    };

    tokio::spawn(async move {
        tokio::join!(follower.run(), monitor.run());
    })
}

fn pool() -> Arc<PlacementPool> {
    Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()))
}

fn request() -> PlacementRequest {
    let deadline = Instant::now() + Duration::from_secs(1);
    PlacementRequest {
        team: None,
        service: "model".into(),
        route: "route".into(),
        request: "request".into(),
        program: None,
        priority: 0,
        is_continuation: false,
        finish_by: deadline,
        deadline,
        prompt_parts: Vec::new(),
        prompt_tokens: 1_000,
        completion_tokens: 0,
        object: None,
        may_repeat: true,
        software_version: None,
        excluded: Vec::new(),
    }
}

/// Where a request is placed now, if it is.
fn placement(pool: &Arc<PlacementPool>) -> Option<Arc<str>> {
    pool.try_acquire(&request()).map(|lease| Arc::clone(&lease.record.id))
}

#[tokio::test(start_paused = true)]
async fn kind_follower_gives_up_an_unlisted_upstream_within_the_contact_time_after_a_cut() {
    for round in 0..60 {
        let started_at = Instant::now();
        let cut_at = started_at + Duration::from_secs(1);
        let healed_at = cut_at + Duration::from_millis(3_500 + round * 50);
        let removed_at = healed_at - Duration::from_millis(500);
        let pool = pool();
        let listener =
            Arc::new(PoolListener { pool: Arc::clone(&pool), listed_at: Mutex::default() });
        let fate = WatchFate::Silent;
        let task = follow(DisturbedStore { cut_at, healed_at, removed_at, fate }, &listener);

        sleep_until(cut_at).await;
        assert!(placement(&pool).is_some(), "the upstream serves");
        sleep_until(healed_at + CONTACT_TIME).await;
        let listed =
            listener.listed_at.lock().last().map(|at| at.saturating_duration_since(healed_at));
        assert!(
            placement(&pool).is_none(),
            "a request is placed {CONTACT_TIME:?} after a cut, on an upstream that was removed 0.5 s before its end; listed after {listed:?}"
        );
        task.abort();
    }
}

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

/// A pool with one upstream, whose entries are renewed each [`HEARTBEAT_INTERVAL`].
fn pool_with_heartbeats() -> Arc<PlacementPool> {
    let expiry =
        ExpiryBounds { heartbeat_interval: HEARTBEAT_INTERVAL, contact_time: CONTACT_TIME };
    let pool = PlacementPool::new("dc-a".into(), BTreeMap::new()).with_expiry(expiry);
    pool.upsert(upstream("u1", "model", 4));
    Arc::new(pool)
}

/// Lists no upstream, after a gap of `length` that ends now.
fn list_none(pool: &PlacementPool, length: Duration) {
    let now = Instant::now();
    pool.reset(Vec::new(), 6, Some(FollowGap { last_contact: now - length, last_failure: now }));
    pool.set_store_availability(true);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_removes_an_unlisted_upstream_after_a_gap_too_short_to_expire() {
    let pool = pool_with_heartbeats();
    pool.set_store_availability(false);
    sleep(HEARTBEAT_INTERVAL).await;
    list_none(&pool, HEARTBEAT_INTERVAL);
    assert_eq!(placement(&pool), None);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_never_renews_the_grace_period_for_a_short_gap() {
    let pool = pool_with_heartbeats();
    pool.set_store_availability(false);
    sleep(HEARTBEAT_INTERVAL * 4).await;
    list_none(&pool, HEARTBEAT_INTERVAL * 4);
    let listed_at = Instant::now();

    // A watch is cut off and the kind is listed again, every half second.
    while listed_at.elapsed() < CONTACT_TIME {
        sleep(Duration::from_millis(400)).await;
        pool.set_store_availability(false);
        sleep(Duration::from_millis(100)).await;
        list_none(&pool, Duration::from_millis(100));
    }

    assert_eq!(placement(&pool), None);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_keeps_expired_upstreams_through_a_second_outage() {
    let pool = pool_with_heartbeats();
    pool.set_store_availability(false);
    sleep(HEARTBEAT_INTERVAL * 4).await;
    list_none(&pool, HEARTBEAT_INTERVAL * 4);
    sleep(Duration::from_millis(300)).await;
    pool.set_store_availability(false);
    sleep(HEARTBEAT_INTERVAL * 4).await;
    assert!(placement(&pool).is_some(), "the entry could not return in the second outage");

    list_none(&pool, HEARTBEAT_INTERVAL * 4);
    assert!(placement(&pool).is_some(), "the entry has had no time to return");
    sleep(CONTACT_TIME).await;
    assert_eq!(placement(&pool), None);
}

#[tokio::test(start_paused = true)]
async fn placement_pool_uses_an_unlisted_upstream_only_if_no_listed_one_has_room() {
    let pool = pool_with_heartbeats();
    let far = UpstreamRecord { data_centre: "dc-far".into(), ..upstream("u2", "model", 1) };
    pool.upsert(far.clone());
    assert_eq!(placement(&pool).as_deref(), Some("u1"), "the nearer one");
    pool.set_store_availability(false);
    sleep(HEARTBEAT_INTERVAL * 4).await;
    let now = Instant::now();
    let gap = FollowGap { last_contact: now - HEARTBEAT_INTERVAL * 4, last_failure: now };
    pool.reset(vec![far], 6, Some(gap));
    pool.set_store_availability(true);

    let lease = pool.try_acquire(&request()).expect("a free slot");
    assert_eq!(&*lease.record.id, "u2");
    assert_eq!(placement(&pool).as_deref(), Some("u1"), "the listed one is full");
}

#[tokio::test(start_paused = true)]
async fn kind_follower_lists_again_within_the_contact_time_after_its_watch_has_gone_silent() {
    let silent_at = Instant::now() + Duration::from_secs(5);
    let healed_at = silent_at + Duration::from_millis(1);
    let pool = pool();
    let listener = Arc::new(PoolListener { pool: Arc::clone(&pool), listed_at: Mutex::default() });
    let store = DisturbedStore {
        cut_at: silent_at,
        healed_at,
        removed_at: healed_at,
        fate: WatchFate::Silent,
    };
    follow(store, &listener);

    sleep_until(silent_at + CONTACT_TIME).await;
    assert_eq!(listener.listed_at.lock().len(), 2, "the upstreams are not listed again");
    assert_eq!(placement(&pool), None);
}

#[tokio::test(start_paused = true)]
async fn kind_follower_lists_again_within_the_contact_time_after_a_silence_of_the_store() {
    for silence_ms in [700, 1_000, 2_000, 4_500] {
        let cut_at = Instant::now() + Duration::from_millis(5_100);
        let healed_at = cut_at + Duration::from_millis(silence_ms);
        let removed_at = healed_at;
        let pool = pool();
        let listener =
            Arc::new(PoolListener { pool: Arc::clone(&pool), listed_at: Mutex::default() });
        let fate = WatchFate::Forgotten;
        let store = DisturbedStore { cut_at, healed_at, removed_at, fate };
        let task = follow(store, &listener);

        sleep_until(healed_at + CONTACT_TIME).await;
        assert!(
            listener.listed_at.lock().last().is_some_and(|at| *at > healed_at),
            "a watch that was lost in a silence of {silence_ms} ms is still trusted"
        );
        assert_eq!(placement(&pool), None, "the upstream left after a silence of {silence_ms} ms");
        task.abort();
    }
}
