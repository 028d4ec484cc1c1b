//! The dispatcher of a cell: its queue, the callers that wait for decisions, and its journal.

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use tokio::sync::oneshot;

use crate::{
    CellDecision, CellEvent, CellId, CellPolicy, CellQueue, CellRefusal, CellReport, CellRequest,
    CellResult, CrashNote, DecisionJournal, JournalItem, NodeMetrics, ProgramId, TicketNumber,
    UpstreamName, UpstreamTerms, basics::steady_clock::steady_millis,
};

/// Outcome of a request that was submitted to a dispatcher.
#[derive(Clone, Debug)]
pub(crate) enum DispatchOutcome {
    Granted {
        upstream: UpstreamName,
    },
    Declined {
        refusal: CellRefusal,
    },
    /// The dispatcher was retired. The caller resubmits the request to the next one, where it keeps its age.
    Moved,
}

/// A queued request whose caller waits for the outcome.
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
    /// Upstreams and terms of the last [`CellDispatcher::sync_upstreams`].
    upstreams: BTreeMap<UpstreamName, UpstreamTerms>,
    next_ticket: TicketNumber,
    is_retired: bool,
}

/// Load of one upstream, as the operator API lists it.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct UpstreamOccupancy {
    pub(crate) upstream: UpstreamName,
    pub(crate) is_serving: bool,
    pub(crate) in_flight: usize,
    pub(crate) window: u32,
    pub(crate) cache_fill_permille: u64,
}

/// Queue and upstreams of one cell, as the operator API lists them.
#[derive(Clone, Debug, serde::Serialize)]
pub(crate) struct CellStatus {
    pub(crate) cell: CellId,
    pub(crate) waiting: usize,
    pub(crate) oldest_ms: u64,
    pub(crate) upstreams: Vec<UpstreamOccupancy>,
}

/// Dispatcher of one cell. A single mutex guards its whole state and is never held across an await.
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
        let journal = DecisionJournal::begin(cell.clone(), term, steady_millis(), policy);

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

    /// Adds a request to the queue. A retired dispatcher answers [`DispatchOutcome::Moved`] at once.
    pub(crate) fn submit(self: &Arc<Self>, mut request: CellRequest) -> DispatchTicket {
        // The clock of the request's host may be ahead of this one's.
        request.queued_ms = request.queued_ms.min(steady_millis());
        let (sender, outcome) = oneshot::channel();
        let mut state = self.state.lock();
        let ticket = state.next_ticket;
        state.next_ticket += 1;

        if state.is_retired {
            let _ = sender.send(DispatchOutcome::Moved);
        } else {
            let program = request.program;
            state.waiting.insert(ticket, WaitingRequest { program, sender });
            self.apply_event(&mut state, CellEvent::Arrived { ticket, request });
        }

        DispatchTicket { dispatcher: Arc::clone(self), ticket, outcome, is_reported: false }
    }

    /// Applies an event to the queue and delivers the decisions that it leads to.
    pub(crate) fn handle_event(&self, event: CellEvent) {
        self.apply_event(&mut self.state.lock(), event);
    }

    /// Refuses requests past their deadline, makes the decisions that depend on elapsed time alone, and records the
    /// queue's metrics.
    pub(crate) fn tick(&self) {
        let now_ms = steady_millis();
        let mut state = self.state.lock();

        if state.queue.waiting() > 0 {
            state.queue.expire(now_ms);
            state.journal.write(now_ms, JournalItem::Expired);
            self.deliver_decisions(&mut state, now_ms);
        }

        let (age_ms, waiting) = (state.queue.oldest_age_ms(now_ms), state.queue.waiting());
        self.metrics.record_queue(&self.cell, age_ms, waiting);
    }

    /// Applies what has changed in the configured upstreams since the last call.
    pub(crate) fn sync_upstreams(&self, configured: &BTreeMap<UpstreamName, UpstreamTerms>) {
        let mut state = self.state.lock();
        let previous = std::mem::replace(&mut state.upstreams, configured.clone());

        for (upstream, terms) in configured {
            if previous.get(upstream) != Some(terms) {
                let event = CellEvent::Joined {
                    upstream: upstream.clone(),
                    window: terms.window,
                    cache_tokens: terms.cache_tokens,
                    prefill_us: terms.prefill_us,
                };
                self.apply_event(&mut state, event);
            }
        }

        // After the upstreams that join, so that a change of all upstreams refuses no request.
        for upstream in previous.keys().filter(|name| !configured.contains_key(*name)) {
            self.apply_event(&mut state, CellEvent::Left { upstream: upstream.clone() });
        }
    }

    /// Retires the dispatcher: queued requests move to the next one. Granted requests may still be reported.
    pub(crate) fn retire(&self) {
        let mut state = self.state.lock();
        state.is_retired = true;

        for (ticket, request) in std::mem::take(&mut state.waiting) {
            let _ = request.sender.send(DispatchOutcome::Moved);
            self.apply_event(&mut state, CellEvent::Withdrawn { ticket });
        }
    }

    /// Upstreams that are expected to have a program's prefix cached.
    pub(crate) fn upstreams_with_prefix(&self, program: ProgramId) -> Vec<UpstreamName> {
        let state = self.state.lock();

        state
            .queue
            .prefixes
            .cached_prefixes(program)
            .iter()
            .map(|prefix| state.queue.upstreams[prefix.upstream].name.clone())
            .collect()
    }

    /// Takes the changes in this cell's crash counts since the last call, for the other cells.
    pub(crate) fn take_crash_notes(&self) -> Vec<CrashNote> {
        self.state.lock().queue.crashes.take_pending_notes()
    }

    pub(crate) fn status(&self) -> CellStatus {
        let now_ms = steady_millis();
        let state = self.state.lock();
        let queue = &state.queue;

        let upstreams = queue
            .upstreams
            .iter()
            .map(|(key, upstream)| UpstreamOccupancy {
                upstream: upstream.name.clone(),
                is_serving: upstream.is_serving,
                in_flight: upstream.in_flight.len(),
                window: upstream.window,
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

    fn apply_event(&self, state: &mut DispatcherState, event: CellEvent) {
        let now_ms = steady_millis();
        state.queue.handle(now_ms, &event);
        state.journal.write(now_ms, JournalItem::Event(event));
        self.deliver_decisions(state, now_ms);
    }

    fn deliver_decisions(&self, state: &mut DispatcherState, now_ms: u64) {
        while let Some(decision) = state.queue.decide(now_ms) {
            let request = state.waiting.remove(&decision.ticket());
            let program = request.as_ref().map(|request| request.program);
            state.journal.write_decision(now_ms, &decision, program);

            let (choice, outcome) = match decision {
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
                let _ = request.sender.send(outcome);
            }
        }
    }
}

/// A submitted request. Dropping it without a report withdraws a queued request, or frees the room that a granted one
/// takes in its upstream's window.
#[derive(Debug)]
pub(crate) struct DispatchTicket {
    dispatcher: Arc<CellDispatcher>,
    ticket: TicketNumber,
    outcome: oneshot::Receiver<DispatchOutcome>,
    is_reported: bool,
}

impl DispatchTicket {
    /// Waits for the outcome of the request.
    pub(crate) async fn outcome(&mut self) -> DispatchOutcome {
        (&mut self.outcome).await.unwrap_or(DispatchOutcome::Moved)
    }

    /// Reports how the granted request ended.
    pub(crate) fn finish(mut self, report: CellReport) {
        self.report(report);
    }

    fn report(&mut self, report: CellReport) {
        self.is_reported = true;
        self.dispatcher.handle_event(CellEvent::Finished { ticket: self.ticket, report });
    }
}

impl Drop for DispatchTicket {
    fn drop(&mut self) {
        if !self.is_reported {
            self.dispatcher.state.lock().waiting.remove(&self.ticket);
            self.dispatcher.handle_event(CellEvent::Withdrawn { ticket: self.ticket });
            self.report(CellReport::without_usage(CellResult::Lost));
        }
    }
}
