//! Processor time and memory of a cell's queue.

use std::{hint::black_box, time::Instant};

use super::{linear_fit::LinearFit, process_usage::allocated_bytes};
use crate::{
    CellDecision, CellEvent, CellPolicy, CellQueue, CellReport, CellRequest, CellResult, ProgramId,
    ShardId, TicketNumber, TokenUsage,
};

/// Rounds that one measurement averages over.
const ROUND_COUNT: u64 = 2_000;

/// Number of teams that send requests to the cell.
const TEAM_COUNT: u64 = 200;

/// A cell's queue under full load: all upstreams' windows are full, and further requests wait.
#[derive(Debug)]
pub struct LoadedQueue {
    queue: CellQueue,
    next_ticket: TicketNumber,
    /// Tickets of running requests, in the order in which they were granted.
    granted_tickets: std::collections::VecDeque<TicketNumber>,
    now_ms: u64,
}

impl LoadedQueue {
    /// Creates a queue with `upstreams` upstreams and submits requests until `waiting` of them wait.
    pub fn new(upstreams: usize, waiting: usize) -> Self {
        let mut queue = CellQueue::new(CellPolicy::default());

        for upstream in 0..upstreams {
            queue.handle(
                0,
                &CellEvent::Joined {
                    upstream: (&*format!("engine-{upstream:04}")).into(),
                    window: 8,
                    cache_tokens: 300_000,
                    prefill_us: 100,
                },
            );
        }

        let mut loaded = Self {
            queue,
            next_ticket: 0,
            granted_tickets: std::collections::VecDeque::new(),
            now_ms: 1,
        };

        while loaded.queue.waiting() < waiting {
            loaded.submit_request();
        }

        loaded
    }

    /// Submits a request.
    fn submit_request(&mut self) {
        let ticket = self.next_ticket;
        self.next_ticket += 1;

        let request = CellRequest {
            team: (&*format!("team-{}", ticket % TEAM_COUNT)).into(),
            weight: 1,
            program: ProgramId { shard: ShardId(0), serial: ticket % 5_000 },
            number: 1,
            attained_tokens: 0,
            prompt_tokens: 3_000,
            answer_tokens: 200,
            queued_ms: self.now_ms,
            deadline_ms: None,
            fingerprint: ticket,
            excluded: Vec::new(),
        };

        self.queue.handle(self.now_ms, &CellEvent::Arrived { ticket, request });
        self.decide();
    }

    /// Makes all decisions that are possible now.
    fn decide(&mut self) {
        while let Some(decision) = self.queue.decide(self.now_ms) {
            if let CellDecision::Grant { ticket, .. } = decision {
                self.granted_tickets.push_back(ticket);
            }
        }
    }

    /// Runs one round: the oldest running request ends, a waiting one takes its place, and a new one is submitted.
    pub fn run_round(&mut self) {
        self.now_ms += 1;

        if let Some(ticket) = self.granted_tickets.pop_front() {
            let usage = TokenUsage { prompt: 3_000, cached: 2_000, completion: 100 };
            let report = CellReport { result: CellResult::Completed, usage, decode_us: 1_000_000 };
            self.queue.handle(self.now_ms, &CellEvent::Finished { ticket, report });
            self.decide();
        }

        self.submit_request();
    }
}

/// Measures the mean time of a round, in microseconds.
fn mean_round_us(upstreams: usize, waiting: usize) -> f64 {
    let mut loaded = LoadedQueue::new(upstreams, waiting);
    let started = Instant::now();
    (0..ROUND_COUNT).for_each(|_| loaded.run_round());
    started.elapsed().as_secs_f64() * 1e6 / ROUND_COUNT as f64
}

pub(super) fn measure() -> Vec<LinearFit> {
    vec![
        LinearFit::measure(
            "a request through the queue",
            "waiting",
            "us",
            [500, 2_000, 20_000],
            |it| mean_round_us(65, it),
        ),
        LinearFit::measure("a request through the queue", "upstreams", "us", [20, 65, 650], |it| {
            mean_round_us(it, 2_000)
        }),
        LinearFit::measure(
            "memory of the queue",
            "waiting",
            "bytes",
            [5_000, 10_000, 40_000],
            |it| {
                let before = allocated_bytes();
                let loaded = LoadedQueue::new(65, it);
                let allocated = allocated_bytes().saturating_sub(before);
                black_box(&loaded);
                allocated as f64
            },
        ),
    ]
}
