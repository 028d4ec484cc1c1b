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
    places: Vec<Arc<str>>,
}

impl RunRecord {
    pub(crate) fn new(request: Arc<str>) -> Self {
        Self { request, places: Vec::new() }
    }

    /// Records an attempt at an upstream or a host that ended without a response, so that the request may have run there,
    /// or may still run.
    pub(crate) fn record_possible_run(&mut self, place: &Arc<str>) {
        self.places.push(Arc::clone(place));
    }

    /// Upstreams or hosts at which the request may have run, one for each attempt.
    pub(crate) fn places(&self) -> &[Arc<str>] {
        &self.places
    }

    /// Number of attempts in which the request may have run.
    pub(crate) fn possible_runs(&self) -> u32 {
        self.places.len() as u32
    }

    /// Whether the request may have run in any attempt.
    pub(crate) fn may_have_run(&self) -> bool {
        !self.places.is_empty()
    }

    /// Returns the response for the client. A refusal which states that the request has not run is replaced by
    /// [`EntryRefusal::ResponseLost`] if it may have run in an earlier attempt.
    pub(crate) fn final_response(&self, response: EntryResponse) -> EntryResponse {
        match response {
            EntryResponse::Refused { refusal, reason }
                if self.may_have_run() && refusal.states_not_run() =>
            {
                log::info!(
                    request:% = self.request, refusal:% = refusal, places:? = self.places;
                    "a refusal is passed on as a lost response, as the request may have run before: {reason}"
                );
                EntryResponse::refused(EntryRefusal::ResponseLost, reason)
            }
            response => response,
        }
    }
}
