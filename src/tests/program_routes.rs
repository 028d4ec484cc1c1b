//! Routing of requests to owners that are lost after they may have begun a request.

use std::{collections::VecDeque, net::SocketAddr, sync::Arc};

use async_trait::async_trait;
use parking_lot::Mutex;

use super::program_fakes::{FakeHost, PROGRAM, SHARD, call, memory_platform, turn};
use crate::{
    ClusterView, HostPhase, HostRecord, MembershipTable, PeerError, PeerMessage, PeerStream,
    PeerTransport, Problem, ProblemKind, ProgramAnswer, ProgramEvent, ProgramOperation,
    ProgramRequest, ProgramRouter, RequestOutcome,
};

/// What the owner sends to one attempt; after `None` the connection is lost.
type Reply = Option<ProgramEvent>;

/// Transport to an owner with one reply for each attempt.
#[derive(Debug)]
struct ScriptedOwner {
    replies: Mutex<VecDeque<Reply>>,
    /// Number of connections that fail before the first that is made.
    failed_connects: Mutex<u32>,
}

#[derive(Debug)]
struct ReplyStream {
    reply: Reply,
}

#[async_trait]
impl PeerStream for ReplyStream {
    async fn receive(&mut self) -> Result<Option<PeerMessage>, PeerError> {
        match self.reply.take() {
            Some(event) => Ok(Some(PeerMessage::Event(event))),
            None => Err(PeerError::Lost { reason: "reset".into() }),
        }
    }

    async fn send(&mut self, _message: &PeerMessage) -> Result<(), PeerError> {
        Ok(())
    }

    fn finish(&mut self) {}

    async fn wait_until_received(&mut self) -> Result<(), PeerError> {
        Ok(())
    }
}

#[async_trait]
impl PeerTransport for ScriptedOwner {
    fn disconnect(&self, _peer: SocketAddr) {}

    fn retire(&self, _peer: SocketAddr) {}

    fn is_connected(&self, _peer: SocketAddr) -> bool {
        true
    }

    async fn connect(&self, _peer: SocketAddr) -> Result<(), PeerError> {
        let mut failed_connects = self.failed_connects.lock();

        if *failed_connects == 0 {
            return Ok(());
        }

        *failed_connects -= 1;
        Err(PeerError::Lost { reason: "no connection".into() })
    }

    async fn open(
        &self,
        _peer: SocketAddr,
        _first: &PeerMessage,
    ) -> Result<Box<dyn PeerStream>, PeerError> {
        let reply = self.replies.lock().pop_front().expect("there is a reply for each attempt");
        Ok(Box::new(ReplyStream { reply }))
    }
}

/// View of a host that is not serving, beside one that owns all shards.
fn view() -> ClusterView {
    let record = |name: &str, port: u16| HostRecord {
        name: name.into(),
        region: "ub".into(),
        peer_address: ([127, 0, 0, 1], port).into(),
        is_leaving: false,
    };

    let records = [record("entry", 1), record("owner", 2)];
    let mut owner = MembershipTable::new(&records[1], 1, 1_000);
    owner.update_local(HostPhase::Serving, vec![SHARD]);
    let mut table = MembershipTable::new(&records[0], 1, 1_000);
    table.merge_hosts(&records);
    table.merge_rumors(0, &owner.all_rumors());
    ClusterView::new(table)
}

fn not_run() -> ProgramEvent {
    let problem = Problem::not_run(ProblemKind::Overloaded, "no upstream");
    ProgramEvent::Answer(ProgramAnswer::Problem(problem))
}

fn deposed() -> ProgramEvent {
    let problem = Problem::unknown(ProblemKind::OwnerUnreachable, "moved");
    ProgramEvent::Answer(ProgramAnswer::Problem(problem))
}

/// Routes a request to an owner with these replies, and returns the outcome of its refusal.
async fn routed_outcome(operation: ProgramOperation, replies: Vec<Reply>) -> RequestOutcome {
    routed_outcome_after(0, operation, replies).await
}

/// As [`routed_outcome`], after connections that fail.
async fn routed_outcome_after(
    failed_connects: u32,
    operation: ProgramOperation,
    replies: Vec<Reply>,
) -> RequestOutcome {
    let service = FakeHost::claim(&memory_platform(), 1).await.service;
    let failed_connects = Mutex::new(failed_connects);
    let transport = ScriptedOwner { replies: Mutex::new(replies.into()), failed_connects };
    let transport = Arc::new(transport);
    let router = Arc::new(ProgramRouter { view: view(), service, transport });
    let request = ProgramRequest { team: "tuul".into(), program: PROGRAM, operation };

    match router.route(request).recv().await {
        Some(ProgramEvent::Answer(ProgramAnswer::Problem(problem))) => {
            assert_eq!(problem.kind, ProblemKind::Overloaded);
            problem.outcome
        }
        other => panic!("the request was not refused: {other:?}"),
    }
}

#[tokio::test(start_paused = true)]
async fn request_is_not_called_not_run_after_an_owner_was_lost_that_may_have_begun_it() {
    for lost in [None, Some(deposed())] {
        for operation in [turn(1), call(1, true)] {
            let replies = vec![lost.clone(), Some(not_run())];
            let outcome = routed_outcome(operation.clone(), replies).await;
            assert_eq!(outcome, RequestOutcome::Failed, "{operation:?} after {lost:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn request_is_not_run_if_no_owner_was_lost_with_it() {
    for replies in [vec![Some(not_run())], vec![Some(ProgramEvent::NotOwner), Some(not_run())]] {
        assert_eq!(routed_outcome(turn(1), replies).await, RequestOutcome::NotRun);
    }
}

#[tokio::test(start_paused = true)]
async fn call_that_is_sent_once_is_judged_by_the_log_after_its_owner_was_lost() {
    let outcome = routed_outcome(call(1, false), vec![None, Some(not_run())]).await;
    assert_eq!(outcome, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn request_is_not_run_if_only_connections_to_owners_failed() {
    let outcome = routed_outcome_after(2, turn(1), vec![Some(not_run())]).await;
    assert_eq!(outcome, RequestOutcome::NotRun);
}
