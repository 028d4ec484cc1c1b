//! Listings of recorded turns that overlap, meet what can't be decoded, or runs whose order is not known.

use std::sync::Arc;

use serde_json::value::RawValue;
use tokio::time::{Duration, Instant, advance, sleep, timeout};

use super::{
    entry_fakes::MemoryStore,
    silent_records::{HostRun, HostTransport, RETENTION},
};
use crate::entry::{
    ObjectStore, segment_index::INDEX_KIND, turn_history::HistoryTurn, turn_journal::JOURNAL_KIND,
    turn_locator::TurnSearch,
};

fn turn(id: &str) -> HistoryTurn {
    HistoryTurn { id: id.into(), previous: None, input: "in".into(), output: "out".into() }
}

async fn record(run: &HostRun, id: &str) {
    let receiver = run.journal.append_forwarded(vec![turn(id)], Vec::new());
    timeout(Duration::from_secs(1), receiver).await.expect("in time").expect("recorded");
}

async fn find(run: &HostRun, id: &str) -> TurnSearch {
    run.locator.find(&id.into(), RETENTION).await
}

async fn finds(run: &HostRun, id: &str) -> bool {
    matches!(find(run, id).await, TurnSearch::Found(_))
}

/// Writes what no host can decode.
async fn write_unreadable(store: &MemoryStore, kind: &str, name: &str) {
    let content = RawValue::from_string("{}".to_owned()).expect("valid JSON");
    store.create(kind, name, &content).await.expect("the store answers");
}

/// Guards against a turn that is answered 404: a reading that had listed the indexes before the run wrote its first one took the
/// run out of the listing of another reading, which began later.
#[tokio::test(start_paused = true)]
async fn find_goes_by_its_own_listing_beside_an_older_one() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let reader = HostRun::start(&store, &transport, "reader.1", 1);
    let early = HostRun::start(&store, &transport, "writer-b.1", 2);
    let late = HostRun::start(&store, &transport, "writer-a.1", 3);
    for number in 0..5 {
        record(&early, &format!("early-{number}")).await;
        sleep(Duration::from_millis(1_100)).await;
    }

    // Each listing takes three pages. The older one goes on while the newer one waits for its second page.
    let [short, long] = [100, 300].map(Duration::from_millis);
    store.delay_pages(&[short, long]);
    let locator = Arc::clone(&reader.locator);
    let older = tokio::spawn(async move { locator.read_spends(Instant::now(), None).await });
    sleep(Duration::from_millis(20)).await;
    record(&late, "late").await;
    assert!(finds(&reader, "late").await);
    assert!(older.await.expect("the reading ends"));
}

/// Guards against a turn that is answered 404 as the batch that has it can't be decoded.
#[tokio::test(start_paused = true)]
async fn find_is_unsure_beside_a_batch_that_cannot_be_decoded() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let reader = HostRun::start(&store, &transport, "reader.1", 1);
    let writer = HostRun::start(&store, &transport, "writer.1", 2);
    record(&writer, "known").await;
    assert_eq!(find(&reader, "unknown").await, TurnSearch::Absent);

    write_unreadable(&store, JOURNAL_KIND, "writer.1.000000.00000002").await;
    assert_eq!(find(&reader, "unknown").await, TurnSearch::Unknown);
    assert!(finds(&reader, "known").await);
}

/// Guards against a turn that is answered 404 as the index that names its batch can't be decoded.
#[tokio::test(start_paused = true)]
async fn find_is_unsure_beside_an_index_that_cannot_be_decoded() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let reader = HostRun::start(&store, &transport, "reader.1", 1);
    write_unreadable(&store, INDEX_KIND, "writer.1.00000000").await;
    assert_eq!(find(&reader, "unknown").await, TurnSearch::Unknown);
}

/// Guards against a turn that is answered 404 for good, after its batch could not be decoded once.
#[tokio::test(start_paused = true)]
async fn find_reads_a_batch_again_that_could_not_be_decoded() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let reader = HostRun::start(&store, &transport, "reader.1", 1);
    let writer = HostRun::start(&store, &transport, "writer.1", 2);
    record(&writer, "turn").await;
    reader.locator.list_batches(Instant::now()).await.expect("the store answers");

    let name = "writer.1.000000.00000001";
    let batch = store.get(JOURNAL_KIND, name).await.expect("the store answers").expect("a batch");
    let content = batch.content.expect("a content");
    let broken = RawValue::from_string("{}".to_owned()).expect("valid JSON");
    store.replace(JOURNAL_KIND, name, &broken, batch.revision).await.expect("the store answers");
    assert_eq!(find(&reader, "turn").await, TurnSearch::Unknown);

    let batch = store.get(JOURNAL_KIND, name).await.expect("the store answers").expect("a batch");
    store.replace(JOURNAL_KIND, name, &content, batch.revision).await.expect("the store answers");
    assert!(finds(&reader, "turn").await);
}

/// Guards against a turn that is answered 404: a run that was not heard yet was taken for an earlier one than the run that was.
#[tokio::test(start_paused = true)]
async fn find_reads_the_segment_of_a_run_that_is_not_heard_yet() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let reader = HostRun::start(&store, &transport, "reader.1", 1);
    let first = HostRun::start(&store, &transport, "writer.1", 2);
    reader.hear(&first, "writer.1").await;
    advance(Duration::from_millis(1)).await;

    // The host restarts, and the reader does not hear the new run.
    let second = HostRun::start(&store, &transport, "writer.2", 2);
    record(&second, "one").await;
    assert!(finds(&reader, "one").await);
    record(&second, "two").await;
    assert!(finds(&reader, "two").await);
}

/// Guards against a turn that is answered 404: a message of an earlier run that arrives late makes it seem to be the later one.
#[tokio::test(start_paused = true)]
async fn find_reads_the_segment_of_a_run_beside_a_late_message_of_an_earlier_one() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let reader = HostRun::start(&store, &transport, "reader.1", 1);
    let second = HostRun::start(&store, &transport, "writer.2", 2);
    advance(Duration::from_secs(2)).await;
    reader.hear_at_age(&second, "writer.2", 2_000).await;
    reader.hear_at_age(&second, "writer.1", 500).await;
    advance(Duration::from_millis(1)).await;

    record(&second, "one").await;
    assert!(finds(&reader, "one").await);
    record(&second, "two").await;
    assert!(finds(&reader, "two").await);
}
