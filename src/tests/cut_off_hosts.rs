//! Turns at a host that reaches neither the store nor another host.

use std::sync::Arc;

use serde_json::value::RawValue;
use tokio::time::{Duration, Instant, sleep};

use super::{
    entry_fakes::{MemoryStore, StoreFault},
    retained_records::{run_turn, start_run},
};
use crate::entry::{EntryHost, EntryRefusal, ObjectStore, host_registry::REGISTRY_KIND};

/// Time in which a host finds out that it is cut off: a probe of the store after half a second, and its time limit.
const NOTICE_TIME: Duration = Duration::from_millis(1_200);

/// Time after the store's return in which the host takes turns again.
const RETURN_TIME: Duration = Duration::from_millis(500);

/// Starts a host beside one that is listed and never answers, and lets it notice that.
async fn start_beside_silent_peer(store: &Arc<MemoryStore>) -> Arc<EntryHost> {
    let entry = r#"{"address":"127.0.0.1:1","region":"north"}"#.to_owned();
    let entry = RawValue::from_string(entry).expect("valid JSON");
    store.create(REGISTRY_KIND, "gone", &entry).await.expect("the store answers");
    let host = start_run(store).await;
    assert_eq!(run_turn(&host, "first", None).await, None, "it reaches the store");
    sleep(Duration::from_secs(2)).await;
    assert!(host.mesh().hears_nobody());
    host
}

/// Guards against turns that run at a host which can record them nowhere, and are broken off at the end.
#[tokio::test(start_paused = true)]
async fn turn_is_refused_at_once_by_a_host_that_is_cut_off() {
    let store = Arc::new(MemoryStore::default());
    let host = start_beside_silent_peer(&store).await;
    store.set_fault(StoreFault::Silent);
    sleep(NOTICE_TIME).await;

    let asked_at = Instant::now();
    let refusal = run_turn(&host, "second", Some("first")).await;
    assert!(matches!(refusal, Some(EntryRefusal::NotRun { .. })), "{refusal:?}");
    assert!(asked_at.elapsed() < Duration::from_millis(10), "{:?}", asked_at.elapsed());
}

#[tokio::test(start_paused = true)]
async fn turn_is_taken_soon_after_the_store_is_reached_again() {
    let store = Arc::new(MemoryStore::default());
    let host = start_beside_silent_peer(&store).await;
    store.set_fault(StoreFault::Silent);
    sleep(NOTICE_TIME).await;
    store.set_fault(StoreFault::None);
    sleep(RETURN_TIME).await;
    assert_eq!(run_turn(&host, "second", Some("first")).await, None);
}

/// A host without others can't tell a cut from an outage, and no other one could serve its clients.
#[tokio::test(start_paused = true)]
async fn turn_waits_for_the_store_on_a_host_without_others() {
    let store = Arc::new(MemoryStore::default());
    let host = start_run(&store).await;
    assert_eq!(run_turn(&host, "first", None).await, None);
    store.set_fault(StoreFault::Silent);
    sleep(NOTICE_TIME).await;

    let turn = tokio::spawn(async move { run_turn(&host, "second", Some("first")).await });
    sleep(Duration::from_secs(1)).await;
    store.set_fault(StoreFault::None);
    assert_eq!(turn.await.expect("no panic"), None);
}

/// Guards against clients that are sent to a host which refuses them, while another one of their zone would serve them.
#[tokio::test(start_paused = true)]
async fn host_is_not_ready_while_it_is_cut_off() {
    let store = Arc::new(MemoryStore::default());
    let host = start_beside_silent_peer(&store).await;
    assert!(host.is_ready());
    store.set_fault(StoreFault::Silent);
    sleep(NOTICE_TIME).await;
    assert!(!host.is_ready());
    store.set_fault(StoreFault::None);
    sleep(RETURN_TIME).await;
    assert!(host.is_ready());
}
