//! Bodies without end, many at once, and what a host with little memory keeps of them.

use std::sync::Arc;

use futures_util::future::join_all;
use hyper::StatusCode;

use super::{
    entry_fakes::{ScriptedChannel, ScriptedResponse, upstream},
    entry_runner::{pool, runner_with_buffers},
};
use crate::entry::{BufferBudget, EntryRefusal, EntryResponse, RelayedBody, RequestKind};

/// Memory of the smallest hosts in the users' specifications.
const MEMORY_BYTES: u64 = 110_000_000;

/// Requests at the same time, and the bytes and number of the chunks that each response has.
const REQUESTS: usize = 40;
const CHUNK_BYTES: usize = 16 << 10;
const CHUNKS: usize = 480;

/// Runs a request whose response has these chunks.
async fn run(
    buffers: &Arc<BufferBudget>,
    kind: RequestKind,
    chunks: Vec<&'static str>,
) -> EntryResponse {
    let pool = pool();
    pool.upsert(upstream("u1", "service", 4));
    let response = ScriptedResponse::Stream { chunks, is_complete: true };
    let channel = Arc::new(ScriptedChannel::new(vec![response]));
    runner_with_buffers(&pool, &channel, kind, &Arc::default(), buffers).run().await
}

fn chunk(size: usize) -> &'static str {
    Box::leak("z".repeat(size).into_boxed_str())
}

/// Guards against a host that runs out of memory: each body was bounded, but not all of them together.
#[tokio::test(start_paused = true)]
async fn run_of_many_long_responses_stays_within_the_memory_of_the_host() {
    let buffers = Arc::new(BufferBudget::new(Some(MEMORY_BYTES)));
    let long = chunk(CHUNK_BYTES);
    let runs = (0..REQUESTS).map(|_| run(&buffers, RequestKind::AtMostOnce, vec![long; CHUNKS]));
    let responses = join_all(runs).await;

    let kept = |it: &EntryResponse| match it {
        EntryResponse::Relayed(response) => match &response.body {
            RelayedBody::Whole(bytes) => bytes.len() as u64,
            RelayedBody::Events(_) => panic!("expected a whole body"),
        },
        EntryResponse::Refused { refusal, .. } => {
            assert_eq!(*refusal, EntryRefusal::ResponseLost, "it may have run");
            0
        }
    };
    let kept: u64 = responses.iter().map(kept).sum();
    assert!(kept <= MEMORY_BYTES / 4, "{kept} bytes are kept");
    assert!(buffers.used() <= buffers.capacity());

    let other = run(&buffers, RequestKind::AtMostOnce, vec!["body"]).await;
    let EntryResponse::Relayed(other) = other else {
        panic!("small responses of others are served: {other:?}");
    };
    assert_eq!(other.status, StatusCode::OK);
    drop(responses);
    assert_eq!(buffers.used(), 0, "all is given back");
}

#[tokio::test(start_paused = true)]
async fn run_of_many_long_events_stays_within_the_memory_of_the_host() {
    let buffers = Arc::new(BufferBudget::new(Some(MEMORY_BYTES)));
    let long = chunk(CHUNK_BYTES);
    let kind = RequestKind::Stream { can_resume: false };
    let responses =
        join_all((0..REQUESTS).map(|_| run(&buffers, kind, vec![long; CHUNKS / 8]))).await;
    let is_refused = |it: &EntryResponse| matches!(it, EntryResponse::Refused { .. });
    assert!(responses.iter().all(is_refused), "none has a whole event");
    assert_eq!(buffers.used(), 0, "all is given back");
}

#[test]
fn count_small_parts_while_the_buffers_are_full() {
    let buffers = Arc::new(BufferBudget::new(Some(1_000_000)));
    let mut large = buffers.buffer();
    let pushed = (0..1_000).take_while(|_| large.push(&[0; 1_000]).is_ok()).count();
    assert!(pushed < 1_000);
    assert!(large.len() > 100_000);
    assert!(buffers.used() <= buffers.capacity());

    let mut small = buffers.buffer();
    assert_eq!(small.push(&vec![0; 20_000]), Ok(()));
    assert!(buffers.count(bytes::Bytes::from(vec![0; 900])).is_ok());
    assert!(buffers.count(bytes::Bytes::from(vec![0; 60_000])).is_err());
    drop(large);
    let part = buffers.count(bytes::Bytes::from(vec![0; 60_000])).expect("there is room again");
    assert_eq!(buffers.used(), 60_000);
    drop(part);
    assert_eq!(buffers.used(), 0);
}
