//! Calls to a store that does not answer: by the probes of the monitor, and by the followers that wait for them.

use std::sync::Arc;

use parking_lot::Mutex;
use tokio::time::{Duration, Instant, sleep};

use super::entry_fakes::{MemoryStore, StoreFault};
use crate::entry::{
    FollowGap, KindFollower, KindListing, ObjectChange, ObjectListener, ObjectStore, StoreError,
    StoreMonitor,
};

/// Longest time between two probes, with the latency of a call.
const PROBE_TIME: Duration = Duration::from_millis(1_100);

#[derive(Debug, Default)]
struct GapListener {
    listings: Mutex<Vec<(Instant, Option<FollowGap>)>>,
}

impl ObjectListener for GapListener {
    fn reset(&self, listing: KindListing) {
        self.listings.lock().push((Instant::now(), listing.gap));
    }

    fn apply_change(&self, _change: ObjectChange) {}

    fn set_available(&self, _is_available: bool) {}
}

/// Follows a kind until the test ends.
fn follow(
    kind: &'static str,
    store: &Arc<MemoryStore>,
    monitor: &StoreMonitor,
) -> Arc<GapListener> {
    let listener = Arc::new(GapListener::default());
    let follower = KindFollower {
        store: Arc::clone(store) as Arc<dyn ObjectStore>,
        kind,
        listener: Arc::clone(&listener) as Arc<dyn ObjectListener>,
        monitor: monitor.clone(),
    };
    tokio::spawn(follower.run());
    listener
}

/// Starts a monitor of a store.
fn monitor(store: &Arc<MemoryStore>) -> StoreMonitor {
    let monitor = StoreMonitor::new(Arc::clone(store) as Arc<dyn ObjectStore>);
    tokio::spawn(monitor.clone().run());
    monitor
}

fn cut() -> StoreError {
    StoreError::Unanswered { reason: "cut".into() }
}

#[tokio::test(start_paused = true)]
async fn kind_followers_leave_a_refusing_store_to_the_probes() {
    let outage = Duration::from_secs(9);
    let store = Arc::new(MemoryStore::default());
    let monitor = monitor(&store);
    // The next watches, after 20 s, are cut off.
    let listeners = ["a", "b", "c"].map(|kind| follow(kind, &store, &monitor));
    sleep(Duration::from_millis(400)).await;
    store.script_watches(vec![Err(cut()); 3]);
    store.set_fault(StoreFault::Refusing);
    let refused_at = store.call_count();
    sleep(Duration::from_secs(20)).await;
    assert_eq!(
        store.call_count() - refused_at,
        20,
        "one probe a second while the watches still wait"
    );

    let refused_at = store.call_count();
    sleep(outage).await;
    let calls = store.call_count() - refused_at;
    assert!(calls <= 2 * outage.as_secs(), "{calls} calls in {outage:?}, each of them priced");

    store.set_fault(StoreFault::None);
    let healed_at = Instant::now();
    sleep(PROBE_TIME).await;

    for listener in listeners {
        let listings = listener.listings.lock();
        let (listed_at, gap) = listings.last().copied().expect("a listing");
        assert!(listed_at > healed_at, "not listed within {PROBE_TIME:?}");
        let last_failure = gap.expect("a gap before the listing").last_failure;
        assert!(
            healed_at - last_failure <= PROBE_TIME,
            "upstreams without an entry are kept only for a time after the last failure"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn kind_follower_lists_again_in_time_if_only_probes_fail() {
    let unhealthy_store = Arc::new(MemoryStore::default());
    unhealthy_store.set_fault(StoreFault::Refusing);
    let monitor = monitor(&unhealthy_store);
    let store = Arc::new(MemoryStore::default());
    sleep(PROBE_TIME).await;
    store.script_watches(vec![Err(cut())]);
    let listener = follow("a", &store, &monitor);
    sleep(Duration::from_secs(4)).await;
    assert_eq!(listener.listings.lock().len(), 2);
}

#[tokio::test(start_paused = true)]
async fn kind_followers_list_again_soon_after_a_single_lost_watch() {
    let store = Arc::new(MemoryStore::default());
    let monitor = monitor(&store);
    store.script_watches(vec![Err(cut()); 3]);
    let listeners = ["a", "b", "c"].map(|kind| follow(kind, &store, &monitor));
    sleep(Duration::from_millis(300)).await;
    assert!(listeners.iter().all(|it| it.listings.lock().len() == 2), "the store answers");
}

#[tokio::test(start_paused = true)]
async fn kind_follower_lists_again_after_its_process_has_stood_still() {
    let store = Arc::new(MemoryStore::default());
    let monitor = monitor(&store);
    let listener = follow("a", &store, &monitor);
    sleep(Duration::from_secs(2)).await;
    assert_eq!(listener.listings.lock().len(), 1);

    tokio::time::advance(Duration::from_secs(3)).await;
    sleep(PROBE_TIME).await;
    let listings = listener.listings.lock();
    assert_eq!(listings.len(), 2);
    assert!(listings[1].1.is_some(), "the list is known to have a gap");
}
