//! Requests of one team that wait for an owner's answer.

use std::{collections::VecDeque, time::Duration};

use tokio::sync::oneshot;

use crate::entry::quotas::quota_allowance::{MAX_RETRY_SPREAD, WaitOutcome};

/// What a waiting request is told: that it has a token, or when it would get one.
pub(crate) type WaitResult = Result<(), Duration>;

/// Waiting requests of one team, the oldest first. Tickets grow, so that a request is found without a search through all of
/// them: each one is looked for when its wait ends, also after it got its token.
#[derive(Debug, Default)]
pub(crate) struct WaitingRequests {
    requests: VecDeque<(u64, oneshot::Sender<WaitResult>)>,
}

impl WaitingRequests {
    pub(crate) fn push(&mut self, ticket: u64) -> oneshot::Receiver<WaitResult> {
        let (sender, receiver) = oneshot::channel();
        self.requests.push_back((ticket, sender));
        receiver
    }

    /// Removes a request that waits no longer. Returns its place.
    pub(crate) fn remove(&mut self, ticket: u64) -> Option<u32> {
        let place = self.requests.binary_search_by_key(&ticket, |(it, _)| *it).ok()?;
        self.requests.remove(place);
        Some(place as u32)
    }

    /// Tells the oldest requests what has become of them. Returns the number of tokens whose requests are gone.
    pub(crate) fn settle(&mut self, outcome: WaitOutcome) -> u32 {
        let mut unused = 0;
        for _ in 0..outcome.granted {
            let sender = self.requests.pop_front();
            let is_taken = sender.is_some_and(|(_, it)| it.send(Ok(())).is_ok());
            unused += u32::from(!is_taken);
        }
        for place in 0..outcome.refused {
            if let Some((_, sender)) = self.requests.pop_front() {
                let later = (outcome.retry_step * place).min(MAX_RETRY_SPREAD);
                let _ = sender.send(Err(outcome.retry_after + later));
            }
        }
        unused
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }
}
