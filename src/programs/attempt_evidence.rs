//! Evidence on the owner that a request may have run, which decides what a refusal may state. See
//! docs/design/outcomes.md.

use crate::{NumberKey, OwnedProgram, UpstreamError};

impl OwnedProgram {
    /// Sends a request under `number` to an upstream. From its start to a failure that shows that nothing ran, the
    /// request counts as one that may have run, also if the task is cancelled.
    pub(crate) async fn track_attempt<T>(
        &self,
        number: u32,
        exchange: impl Future<Output = Result<T, UpstreamError>>,
    ) -> Result<T, UpstreamError> {
        let attempts = &self.owner.attempts;
        attempts.update(self.id, |history| history.add(number));
        let result = exchange.await;

        if result.as_ref().is_err_and(UpstreamError::is_not_run) {
            attempts.update(self.id, |history| history.withdraw(number));
        }

        result
    }

    /// Tells whether a request of the team may have run under the key: the one that asks, or another one.
    pub(crate) fn may_have_run(&self, key: NumberKey) -> bool {
        let has_entry = self.read(|program| program.entry(key.number).is_some());

        match has_entry {
            Ok(has_entry) => {
                has_entry
                    || self.owner.has_number(self.id, key.number)
                    || self.owner.attempts.history(self.id).may_have_run(key)
            }
            // The team has no such program.
            Err(_) => false,
        }
    }
}
