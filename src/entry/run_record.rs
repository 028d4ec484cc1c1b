//! What a host may state when it refuses a request after several attempts.
//!
//! See docs/design/platform.md, "Refusals".

use std::sync::Arc;

use crate::entry::{EntryRefusal, EntryResponse};

/// Attempts of one request in which it may have run.
///
/// Each attempt knows only about itself, while a client reads a refusal as a statement about the whole request. So every
/// place that makes several attempts returns their refusals through [`RunRecord::final_response`].
#[derive(Clone, Debug)]
pub(crate) struct RunRecord {
    request: Arc<str>,
    possible_runs: u32,
}

impl RunRecord {
    pub(crate) fn new(request: Arc<str>) -> Self {
        Self { request, possible_runs: 0 }
    }

    /// Records an attempt that ended without a response, so that the request may have run in it, or may still run.
    pub(crate) fn record_possible_run(&mut self) {
        self.possible_runs += 1;
    }

    /// Number of attempts in which the request may have run.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.possible_runs
    }

    /// Returns the response for the client. A refusal which states that the request has not run is replaced by
    /// [`EntryRefusal::ResponseLost`] if it may have run in an earlier attempt.
    pub(crate) fn final_response(&self, response: EntryResponse) -> EntryResponse {
        match response {
            EntryResponse::Refused { refusal, reason }
                if self.possible_runs > 0 && refusal.states_not_run() =>
            {
                log::info!(
                    request:% = self.request, refusal:% = refusal, possible_runs = self.possible_runs;
                    "a refusal is passed on as a lost response, as the request may have run before: {reason}"
                );
                EntryResponse::refused(EntryRefusal::ResponseLost, reason)
            }
            response => response,
        }
    }
}
