//! Counts the attempts in which a request may have run, and decides what a refusal may state after them.
//!
//! See docs/design/platform.md, "Refusals".

use std::sync::Arc;

use tokio::sync::watch;

use crate::entry::{EntryRefusal, EntryRequest, EntryResponse};

/// Number of attempts in which a request may have run, on this host and on those that were lost with it before. The task
/// that has forwarded the request follows it, so that the number is known if this host is lost as well. Clones share the number.
#[derive(Clone, Debug, Default)]
pub struct PossibleRuns {
    count: watch::Sender<u32>,
}

impl PossibleRuns {
    pub(crate) fn new(count: u32) -> Self {
        Self { count: watch::Sender::new(count) }
    }

    pub(crate) fn count(&self) -> u32 {
        *self.count.borrow()
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u32> {
        self.count.subscribe()
    }
}

/// Attempts of one request in which it may have run.
///
/// Each attempt knows only about itself, while a client reads a refusal as a statement about the whole request. So every
/// place that makes several attempts returns their refusals through [`RunRecord::final_response`].
#[derive(Debug)]
pub(crate) struct RunRecord {
    request: Arc<str>,
    runs: PossibleRuns,
    tried_at: Vec<Arc<str>>,
}

impl RunRecord {
    /// Begins with the attempts that were made before the request came to this host.
    pub(crate) fn new(request: &EntryRequest) -> Self {
        let (request, runs) = (Arc::clone(&request.id), request.possible_runs.clone());
        Self { request, runs, tried_at: Vec::new() }
    }

    /// Records an attempt at an upstream or a host that ended without a response, so that the request may have run there,
    /// or may still run.
    pub(crate) fn record_possible_run(&mut self, place: &Arc<str>) {
        self.tried_at.push(Arc::clone(place));
        self.runs.count.send_modify(|count| *count += 1);
    }

    /// Records the number of attempts that the host has told to which the request was forwarded.
    pub(crate) fn record_reported_runs(&mut self, reported: u32) {
        self.runs.count.send_modify(|count| *count = reported.max(*count));
    }

    /// Upstreams or hosts that were tried here and at which the request may have run, one for each attempt.
    pub(crate) fn tried_at(&self) -> &[Arc<str>] {
        &self.tried_at
    }

    /// Number of attempts in which the request may have run, on all hosts.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.runs.count()
    }

    /// Whether the request may have run in any attempt.
    pub(crate) fn may_have_run(&self) -> bool {
        self.possible_runs() > 0
    }

    /// Returns the response for the client. A refusal which states that the request has not run is replaced by
    /// [`EntryRefusal::ResponseLost`] if it may have run in an earlier attempt.
    pub(crate) fn final_response(&self, response: EntryResponse) -> EntryResponse {
        match response {
            EntryResponse::Refused { refusal, reason }
                if self.may_have_run() && refusal.states_not_run() =>
            {
                log::info!(
                    request:% = self.request, refusal:% = refusal, tried_at:? = self.tried_at,
                    possible_runs = self.possible_runs();
                    "a refusal is passed on as a lost response, as the request may have run before: {reason}"
                );
                EntryResponse::refused(EntryRefusal::ResponseLost, reason)
            }
            response => response,
        }
    }
}
