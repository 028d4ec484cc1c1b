//! Tests of splitting streams into events, and of chains of turns.

use std::sync::Arc;

use bytes::Bytes;
use tokio::time::Duration;

use crate::entry::{
    event_framer::EventFramer,
    turn_history::{HistoryTurn, TurnChain, TurnHistory, chain_body},
};

const RETENTION: Duration = Duration::from_mins(1);

fn turn(id: &str, previous: Option<&str>, input: &str, output: &str) -> Arc<HistoryTurn> {
    Arc::new(HistoryTurn {
        id: id.into(),
        previous: previous.map(Arc::from),
        input: Bytes::copy_from_slice(input.as_bytes()),
        output: Bytes::copy_from_slice(output.as_bytes()),
    })
}

#[test]
fn event_framer_yields_the_same_events_for_any_chunk_size() {
    let stream = "id: 1\ndata: one\n\nx-weight-versions: 2\nid: 2\r\ndata: two\r\ndata: 2\r\n\r\n: note\n\nid: 3\ndata:three\n\n";
    let expected = [("1", Some("one")), ("2", Some("two\n2")), ("", None), ("3", Some("three"))];

    for chunk_size in 1..stream.len() {
        let mut framer = EventFramer::default();
        let mut events = Vec::new();

        for chunk in stream.as_bytes().chunks(chunk_size) {
            framer.push(chunk);
            while let Some(event) = framer.next_event() {
                events.push(event);
            }
        }

        let actual: Vec<(&str, Option<&str>)> = events
            .iter()
            .map(|event| {
                let data = event.data.as_ref().map(|it| std::str::from_utf8(it).expect("text"));
                (event.id.as_deref().unwrap_or(""), data)
            })
            .collect();
        assert_eq!(actual, expected, "chunks of {chunk_size} bytes");
        assert!(!framer.has_partial_event());
        let joined: Vec<u8> = events.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(joined, stream.as_bytes());
    }
}

#[test]
fn event_framer_withholds_a_partial_event() {
    let mut framer = EventFramer::default();
    framer.push(b"id: 1\ndata: one\n\nid: 2\ndata: tw");
    assert!(framer.next_event().is_some());
    assert!(framer.next_event().is_none());
    assert!(framer.has_partial_event());
}

#[tokio::test(start_paused = true)]
async fn turn_history_assembles_a_chain_from_a_tree_of_turns() {
    let mut history = TurnHistory::default();
    history.insert(turn("a", None, "in-a ", "out-a\n"), RETENTION);
    history.insert(turn("b", Some("a"), "in-b ", "out-b\n"), RETENTION);
    history.insert(turn("c", Some("a"), "in-c ", "out-c\n"), RETENTION);

    let TurnChain::Complete(chain) = history.chain(&"c".into(), RETENTION) else {
        panic!("a turn of the chain is missing");
    };

    let body = chain_body(&chain, &Bytes::from_static(b"new"));
    assert_eq!(&body[..], b"in-a out-a\nin-c out-c\nnew");
    assert_eq!(history.chain(&"x".into(), RETENTION), TurnChain::Missing("x".into()));
}

#[tokio::test(start_paused = true)]
async fn turn_history_keeps_a_chain_as_long_as_its_last_turn() {
    let mut history = TurnHistory::default();
    history.insert(turn("a", None, "in", "out"), RETENTION);
    tokio::time::advance(RETENTION / 2).await;
    assert!(matches!(history.chain(&"a".into(), RETENTION), TurnChain::Complete(_)));
    tokio::time::advance(RETENTION * 3 / 4).await;
    history.insert(turn("b", Some("a"), "in", "out"), RETENTION);
    assert!(matches!(history.chain(&"b".into(), RETENTION), TurnChain::Complete(_)));
    tokio::time::advance(RETENTION * 2).await;
    history.insert(turn("z", None, "in", "out"), RETENTION);
    assert_eq!(history.chain(&"b".into(), RETENTION), TurnChain::Missing("b".into()));
}

#[tokio::test(start_paused = true)]
async fn turn_history_keeps_its_own_turn_when_another_run_of_the_request_has_recorded_one() {
    let mut history = TurnHistory::default();
    history.insert(turn("a", None, "in", "received\n"), RETENTION);
    history.insert(turn("a", None, "in", "of the scheduler that was lost\n"), RETENTION);

    let TurnChain::Complete(chain) = history.chain(&"a".into(), RETENTION) else {
        panic!("the turn is missing");
    };

    assert_eq!(&chain_body(&chain, &Bytes::new())[..], b"inreceived\n");
    assert_eq!(history.cached_bytes(), chain[0].size());
}
