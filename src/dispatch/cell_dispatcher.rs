//! A dispatcher in office: the queue of a cell, those who wait for its decisions, and its journal.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    CellDecision, CellEvent, CellId, CellPolicy, CellQueue, CellRefusal, CellReport, CellRequest,
    CellResult, CrashNote, DecisionJournal, JournalItem, NodeMetrics, ProgramId, TicketNumber,
    UpstreamName, UpstreamTerms, basics::unix_clock::unix_millis,
};

/// What a dispatcher answers to a request.
#[derive(Clone, Debug)]
pub(crate) enum DispatchOutcome {
    Granted {
        upstream: UpstreamName,
    },
    Declined {
        refusal: CellRefusal,
    },
    /// The dispatcher has left office; the request goes to the next one, with its age.
    Moved,
}

/// A request that waits for its verdict.
#[derive(Debug)]
struct WaitingRequest {
    program: ProgramId,
    sender: oneshot::Sender<DispatchOutcome>,
}

#[derive(Debug)]
struct DispatcherState {
    queue: CellQueue,
    journal: DecisionJournal,
    waiting: BTreeMap<TicketNumber, WaitingRequest>,
    /// Upstreams as the queue was told of them.
    upstreams: BTreeMap<UpstreamName, UpstreamTerms>,
    next_ticket: TicketNumber,
    is_retired: bool,
}

/// Load of one upstream, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct SlotStatus {
    pub(crate) upstream: UpstreamName,
    pub(crate) is_serving: bool,
    pub(crate) in_flight: usize,
    pub(crate) window: u32,
    pub(crate) cache_fill_permille: u64,
}

/// Queue of one cell, for operators.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct CellStatus {
    pub(crate) cell: CellId,
    pub(crate) waiting: usize,
    pub(crate) oldest_ms: u64,
    pub(crate) upstreams: Vec<SlotStatus>,
}

/// Dispatcher of one cell. One lock guards all of it, and nothing waits while it is held.
#[derive(Debug)]
pub(crate) struct CellDispatcher {
    cell: CellId,
    state: Mutex<DispatcherState>,
    metrics: Arc<NodeMetrics>,
}

impl CellDispatcher {
    pub(crate) fn new(
        cell: CellId,
        policy: CellPolicy,
        term: &str,
        metrics: Arc<NodeMetrics>,
    ) -> Self {
        let journal = DecisionJournal::begin(cell.clone(), term, unix_millis(), policy);

        let state = DispatcherState {
            queue: CellQueue::new(policy),
            journal,
            waiting: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            next_ticket: 0,
            is_retired: false,
        };

        Self { cell, state: Mutex::new(state), metrics }
    }

    pub(crate) fn cell(&self) -> &CellId {
        &self.cell
    }

    /// Puts a request into the queue.
    pub(crate) fn submit(self: &Arc<Self>, request: CellRequest) -> DispatchTicket {
        let (sender, verdict) = oneshot::channel();
        let mut state = self.state.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;

        if state.is_retired {
            let _ = sender.send(DispatchOutcome::Moved);
        } else {
            let program = request.program;
            state.waiting.insert(ticket, WaitingRequest { program, sender });
            self.take_in(&mut state, CellEvent::Arrived { ticket, request });
        }

        DispatchTicket { dispatcher: Arc::clone(self), ticket, verdict, is_reported: false }
    }

    /// Tells the queue of something, and makes the decisions that follow.
    pub(crate) fn feed(&self, event: CellEvent) {
        self.take_in(&mut self.state.lock(), event);
    }

    /// Refuses what has become useless, and decides what only time has changed.
    pub(crate) fn tick(&self) {
        let now_ms = unix_millis();
        let mut state = self.state.lock();

        if state.queue.waiting() > 0 {
            state.queue.expire(now_ms);
            state.journal.write(now_ms, JournalItem::Expired);
            self.decide(&mut state, now_ms);
        }

        let (age_ms, waiting) = (state.queue.oldest_age_ms(now_ms), state.queue.waiting());
        self.metrics.record_queue(&self.cell, age_ms, waiting);
    }

    /// Brings the upstreams in line with the configuration.
    pub(crate) fn sync_upstreams(&self, wanted: &BTreeMap<UpstreamName, UpstreamTerms>) {
        let mut state = self.state.lock();
        let known = std::mem::replace(&mut state.upstreams, wanted.clone());

        for upstream in known.keys().filter(|name| !wanted.contains_key(*name)) {
            self.take_in(&mut state, CellEvent::Left { upstream: upstream.clone() });
        }

        for (upstream, terms) in wanted {
            if known.get(upstream) != Some(terms) {
                let event = CellEvent::Joined {
                    upstream: upstream.clone(),
                    window: terms.window,
                    cache_tokens: terms.cache_tokens,
                    prefill_us: terms.prefill_us,
                };
                self.take_in(&mut state, event);
            }
        }
    }

    /// Leaves office: all that wait are sent to the next dispatcher. What runs may still be reported.
    pub(crate) fn retire(&self) {
        let mut state = self.state.lock();
        state.is_retired = true;

        for (ticket, request) in std::mem::take(&mut state.waiting) {
            let _ = request.sender.send(DispatchOutcome::Moved);
            self.take_in(&mut state, CellEvent::Withdrawn { ticket });
        }
    }

    /// Upstreams where a program's prefix should be cached.
    pub(crate) fn residences(&self, program: ProgramId) -> Vec<UpstreamName> {
        let state = self.state.lock();

        state
            .queue
            .prefixes
            .residences(program)
            .iter()
            .map(|residence| state.queue.upstreams[residence.upstream].name.clone())
            .collect()
    }

    /// Gives what this cell has found out about requests that crash upstreams, once.
    pub(crate) fn take_crash_news(&self) -> Vec<CrashNote> {
        self.state.lock().queue.crashes.take_pending_notes()
    }

    pub(crate) fn status(&self) -> CellStatus {
        let now_ms = unix_millis();
        let state = self.state.lock();
        let queue = &state.queue;

        let upstreams = queue
            .upstreams
            .iter()
            .map(|(key, slot)| SlotStatus {
                upstream: slot.name.clone(),
                is_serving: slot.is_serving,
                in_flight: slot.in_flight.len(),
                window: slot.window,
                cache_fill_permille: queue.prefixes.fill_permille(key),
            })
            .collect();

        CellStatus {
            cell: self.cell.clone(),
            waiting: queue.waiting(),
            oldest_ms: queue.oldest_age_ms(now_ms),
            upstreams,
        }
    }

    fn take_in(&self, state: &mut DispatcherState, event: CellEvent) {
        let now_ms = unix_millis();
        state.queue.handle(now_ms, &event);
        state.journal.write(now_ms, JournalItem::Event(event));
        self.decide(state, now_ms);
    }

    fn decide(&self, state: &mut DispatcherState, now_ms: u64) {
        while let Some(decision) = state.queue.decide(now_ms) {
            let request = state.waiting.remove(&decision.ticket());
            let program = request.as_ref().map(|request| request.program);
            state.journal.write_decision(now_ms, &decision, program);

            let (choice, verdict) = match decision {
                CellDecision::Grant { upstream, .. } => {
                    ("grant", DispatchOutcome::Granted { upstream })
                }
                CellDecision::Refuse { reason, retry_after_ms, .. } => {
                    let refusal = CellRefusal { reason, retry_after_ms };
                    ("refuse", DispatchOutcome::Declined { refusal })
                }
            };

            self.metrics.count_decision(&self.cell, choice);

            if let Some(request) = request {
                let _ = request.sender.send(verdict);
            }
        }
    }
}

/// A request in a dispatcher's hands. Dropping it takes the request out of the queue, or gives its place back.
#[derive(Debug)]
pub(crate) struct DispatchTicket {
    dispatcher: Arc<CellDispatcher>,
    ticket: TicketNumber,
    verdict: oneshot::Receiver<DispatchOutcome>,
    is_reported: bool,
}

impl DispatchTicket {
    pub(crate) async fn outcome(&mut self) -> DispatchOutcome {
        (&mut self.verdict).await.unwrap_or(DispatchOutcome::Moved)
    }

    pub(crate) fn finish(mut self, report: CellReport) {
        self.report(report);
    }

    fn report(&mut self, report: CellReport) {
        self.is_reported = true;
        self.dispatcher.feed(CellEvent::Finished { ticket: self.ticket, report });
    }
}

impl Drop for DispatchTicket {
    fn drop(&mut self) {
        if !self.is_reported {
            self.dispatcher.state.lock().waiting.remove(&self.ticket);
            self.dispatcher.feed(CellEvent::Withdrawn { ticket: self.ticket });
            self.report(CellReport::without_usage(CellResult::Lost));
        }
    }
}
