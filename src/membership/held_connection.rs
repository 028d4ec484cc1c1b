//! A connection to a peer that outlasts its last exchange until the peer has what was sent.

use quinn::Connection;
use tokio::{
    runtime::Handle,
    time::{Duration, timeout},
};

/// Time for the last messages of an exchange to reach the peer, long enough to send lost ones again a few times.
pub(super) const DELIVERY_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection that this host has made. Its exchanges hold it, and the transport until it is retired.
#[derive(Debug)]
pub(super) struct HeldConnection {
    pub(super) inner: Connection,
}

impl Drop for HeldConnection {
    /// Keeps the connection open for [`DELIVERY_TIMEOUT`], because quinn closes a connection with its last handle, and
    /// then discards what has not been sent or was lost on the way.
    fn drop(&mut self) {
        if self.inner.close_reason().is_some() {
            return;
        }

        // Without a runtime nothing is sent any more.
        let Ok(runtime) = Handle::try_current() else {
            return;
        };

        let connection = self.inner.clone();
        runtime.spawn(async move {
            let _ = timeout(DELIVERY_TIMEOUT, connection.closed()).await;
        });
    }
}
