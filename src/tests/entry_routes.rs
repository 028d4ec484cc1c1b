//! Tests of routes, and of following the objects of a kind.

use std::{sync::Arc, time::Duration};

use parking_lot::Mutex;
use serde_json::value::to_raw_value;

use super::entry_fakes::MemoryStore;
use crate::entry::{
    KindFollower, KindListing, ObjectChange, ObjectListener, ObjectStore, RequestKind, RouteLimits,
    RouteTable, RouteTarget, ServiceRoute, StoreError, StoreMonitor, StoredObject,
};

fn route(name: &str, host: &str, path_prefix: &str, targets: &[(&str, f64)]) -> ServiceRoute {
    ServiceRoute {
        is_public: false,
        name: name.into(),
        host: host.into(),
        path_prefix: path_prefix.into(),
        kind: RequestKind::Idempotent,
        timeout: Duration::from_secs(1),
        latency_objective: Duration::from_millis(150),
        event_gap_objective: None,
        priority: 0,
        attempt_limit: 2,
        history_retention: None,
        object_cookie: None,
        targets: targets
            .iter()
            .map(|(service, weight)| RouteTarget { service: (*service).into(), weight: *weight })
            .collect(),
    }
}

#[test]
fn route_table_finds_the_longest_prefix() {
    let routes = vec![
        route("short", "a.example", "/x/", &[("s", 1.0)]),
        route("long", "a.example", "/x/y/", &[("s", 1.0)]),
        route("other", "b.example", "/x/y/z/", &[("s", 1.0)]),
    ];
    let table = RouteTable::new(1, RouteLimits::default(), routes, Vec::new());
    let name = |host, path| table.find(host, path).map(|route| route.name.to_string());

    assert_eq!(name("a.example", "/x/y/z/1").as_deref(), Some("long"));
    assert_eq!(name("a.example", "/x/z").as_deref(), Some("short"));
    assert_eq!(name("b.example", "/x/y/z/1").as_deref(), Some("other"));
    assert_eq!(name("a.example", "/xy/"), None);
    assert_eq!(name("c.example", "/x/"), None);
}

#[test]
fn service_route_splits_requests_by_weight() {
    let route = route("split", "a.example", "/", &[("one", 1.0), ("none", 0.0), ("three", 3.0)]);
    let mut rng = rand::rng();
    let count = |service: &str, rng: &mut rand::rngs::ThreadRng| {
        (0..4_000)
            .filter(|_| {
                *route.target(rand::RngExt::random(rng)).expect("a target").service == *service
            })
            .count()
    };

    assert!((800..1_200).contains(&count("one", &mut rng)));
    assert_eq!(count("none", &mut rng), 0);
    assert_eq!(route.target(7), route.target(7));
}

#[derive(Debug, Default)]
struct RecordingListener {
    resets: Mutex<Vec<Vec<Arc<str>>>>,
    changes: Mutex<Vec<Arc<str>>>,
}

impl ObjectListener for RecordingListener {
    fn reset(&self, listing: KindListing) {
        self.resets.lock().push(listing.objects.into_iter().map(|it| it.name).collect());
    }

    fn apply_change(&self, change: ObjectChange) {
        self.changes.lock().push(change.object.name);
    }

    fn set_available(&self, _is_available: bool) {}
}

/// Follows a kind of four objects while the watches get `responses`. Returns how often all objects were listed.
async fn count_resets(responses: Vec<Result<crate::entry::WatchBatch, StoreError>>) -> usize {
    let store = Arc::new(MemoryStore::default());
    for name in ["a", "b", "c", "d"] {
        let content = to_raw_value(&1).expect("a number can be encoded as JSON");
        store.create("things", name, &content).await.expect("the store answers");
    }
    store.script_watches(responses);

    let listener = Arc::new(RecordingListener::default());
    let follower = KindFollower {
        monitor: StoreMonitor::new(Arc::clone(&store) as Arc<dyn ObjectStore>),
        store: store as Arc<dyn ObjectStore>,
        kind: "things",
        listener: Arc::clone(&listener) as Arc<dyn ObjectListener>,
    };
    let _ = tokio::time::timeout(Duration::from_secs(5), follower.run()).await;
    let resets = listener.resets.lock();
    assert!(resets.iter().all(|names| names.len() == 4), "a listing lacks objects of later pages");
    resets.len()
}

#[tokio::test(start_paused = true)]
async fn kind_follower_lists_again_when_the_history_is_gone() {
    assert_eq!(count_resets(vec![Err(StoreError::HistoryGone)]).await, 2);
}

#[tokio::test(start_paused = true)]
async fn kind_follower_lists_again_after_a_failed_watch() {
    let unanswered = StoreError::Unanswered { reason: "cut".into() };
    assert_eq!(count_resets(vec![Err(unanswered)]).await, 2);
}

#[tokio::test(start_paused = true)]
async fn kind_follower_reports_the_first_change_at_once_and_later_ones_together() {
    let store = Arc::new(MemoryStore::default());
    let object = StoredObject { name: "a".into(), revision: 1, content: None, status: None };
    let change = ObjectChange { object, is_removed: false };
    let batch = crate::entry::WatchBatch { changes: vec![change], store_revision: 1 };
    store.script_watches(vec![Ok(batch); 20]);

    let listener = Arc::new(RecordingListener::default());
    let follower = KindFollower {
        monitor: StoreMonitor::new(Arc::clone(&store) as Arc<dyn ObjectStore>),
        store: Arc::clone(&store) as Arc<dyn ObjectStore>,
        kind: "things",
        listener: Arc::clone(&listener) as Arc<dyn ObjectListener>,
    };
    tokio::spawn(follower.run());
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(listener.changes.lock().len(), 1);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let watches = listener.changes.lock().len();
    assert!((3..=5).contains(&watches), "{watches} watches in about a second of steady changes");
}
