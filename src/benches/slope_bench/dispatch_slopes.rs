//! Time and memory of a cell's queue.

use std::{hint::black_box, time::Instant};

use super::{process_usage::allocated_bytes, slope_row::SlopeRow};
use crate::{
    CellDecision, CellEvent, CellPolicy, CellQueue, CellReport, CellRequest, CellResult, ProgramId,
    ShardId, TicketNumber, TokenUsage,
};

/// Requests that are decided on for one figure.
const ROUND_COUNT: u64 = 2_000;

/// Teams of a cell.
const TEAM_COUNT: u64 = 200;

/// A queue under full load: every window full, and more waiting.
#[derive(Debug)]
pub struct LoadedQueue {
    queue: CellQueue,
    next: TicketNumber,
    granted: std::collections::VecDeque<TicketNumber>,
    now_ms: u64,
}

impl LoadedQueue {
    /// Fills the windows of so many upstreams, and lets so many requests wait.
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

        let mut loaded =
            Self { queue, next: 0, granted: std::collections::VecDeque::new(), now_ms: 1 };

        while loaded.queue.waiting() < waiting {
            loaded.arrive();
        }

        loaded
    }

    fn arrive(&mut self) {
        let ticket = self.next;
        self.next += 1;

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

    fn decide(&mut self) {
        while let Some(decision) = self.queue.decide(self.now_ms) {
            if let CellDecision::Grant { ticket, .. } = decision {
                self.granted.push_back(ticket);
            }
        }
    }

    /// One request ends, its place is given to another, and a new one arrives.
    pub fn round(&mut self) {
        self.now_ms += 1;

        if let Some(ticket) = self.granted.pop_front() {
            let usage = TokenUsage { prompt: 3_000, cached: 2_000, completion: 100 };
            let report = CellReport { result: CellResult::Completed, usage, decode_us: 1_000_000 };
            self.queue.handle(self.now_ms, &CellEvent::Finished { ticket, report });
            self.decide();
        }

        self.arrive();
    }
}

fn round_micros(upstreams: usize, waiting: usize) -> f64 {
    let mut loaded = LoadedQueue::new(upstreams, waiting);
    let started = Instant::now();
    (0..ROUND_COUNT).for_each(|_| loaded.round());
    started.elapsed().as_secs_f64() * 1e6 / ROUND_COUNT as f64
}

pub(super) fn measure() -> Vec<SlopeRow> {
    vec![
        SlopeRow::fit("a request through the queue", "waiting", "us", [500, 2_000, 20_000], |it| {
            round_micros(65, it)
        }),
        SlopeRow::fit("a request through the queue", "upstreams", "us", [20, 65, 650], |it| {
            round_micros(it, 2_000)
        }),
        SlopeRow::fit("memory of the queue", "waiting", "bytes", [5_000, 10_000, 40_000], |it| {
            let before = allocated_bytes();
            let loaded = LoadedQueue::new(65, it);
            let taken = allocated_bytes().saturating_sub(before);
            black_box(&loaded);
            taken as f64
        }),
    ]
}
