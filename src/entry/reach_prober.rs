//! Finds out when lost services can be reached again. See docs/design/reach.md.

use std::sync::Arc;

use tokio::time::{Duration, Instant, sleep};

use crate::entry::{UpstreamRecord, host_reach::ReachEvidence, request_runner::RunnerContext};

/// Time between two looks for probes that are due, while there are any.
const LOOK_INTERVAL: Duration = Duration::from_millis(25);

/// Connects to upstreams of services that are lost or in doubt, at a bounded rate. The connections that it makes are kept for
/// requests.
#[derive(Debug)]
pub(crate) struct ReachProber {
    pub(crate) context: Arc<RunnerContext>,
}

impl ReachProber {
    /// Probes until the task is dropped.
    pub(crate) async fn run(self) {
        let reach = Arc::clone(self.context.pool.reach());

        loop {
            if reach.probed_services().is_empty() {
                reach.wait_for_probe_request().await;
            }

            for record in self.context.pool.take_probes() {
                tokio::spawn(probe(Arc::clone(&self.context), record));
            }

            sleep(LOOK_INTERVAL).await;
        }
    }
}

async fn probe(context: Arc<RunnerContext>, record: Arc<UpstreamRecord>) {
    let since = Instant::now();
    let result = context.channel.connect(&record).await;
    log::info!(
        service:% = record.service, upstream:% = record.id, is_connected = result.is_ok(),
        took_ms = since.elapsed().as_millis() as u64;
        "a probe of a service out of reach has ended"
    );

    let evidence = match result {
        Ok(()) => ReachEvidence::Connected,
        Err(_) => ReachEvidence::Unconnected { since },
    };
    context.record_reach(&record, evidence);
}
