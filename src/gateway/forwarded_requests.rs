//! Counts the requests that other hosts have forwarded to this one and that run here.

use tokio::sync::watch;

/// Number of forwarded requests that run here. A host that stops waits until there is none.
#[derive(Debug, Default)]
pub(crate) struct ForwardedRequests {
    count: watch::Sender<usize>,
}

impl ForwardedRequests {
    /// Counts a request until the guard is dropped.
    pub(crate) fn begin(&self) -> ForwardedGuard<'_> {
        self.count.send_modify(|count| *count += 1);
        ForwardedGuard { count: &self.count }
    }

    pub(crate) async fn wait_until_none(&self) {
        // The sender lives as long as this borrow, so the wait can't fail.
        let _ = self.count.subscribe().wait_for(|count| *count == 0).await;
    }
}

/// A forwarded request that runs.
#[derive(Debug)]
pub(crate) struct ForwardedGuard<'a> {
    count: &'a watch::Sender<usize>,
}

impl Drop for ForwardedGuard<'_> {
    fn drop(&mut self) {
        self.count.send_modify(|count| *count -= 1);
    }
}
