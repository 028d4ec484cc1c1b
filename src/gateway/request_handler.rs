//! How a node handles a request of a client: at another scheduler or here. See docs/design/fleet.md, "Forwarding", and
//! docs/design/reach.md.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::{
    entry::{EntryHost, EntryRequest, EntryResponse, run_record::RunRecord},
    gateway::{EntryNode, SchedulerDirectory, SchedulerEntry, stop_policy::deadline_before_stop},
};

/// Time after which a client is asked to retry when no scheduler takes its request.
const NO_SCHEDULER_RETRY_AFTER: Duration = Duration::from_millis(300);

/// Time after which a client is asked to retry when this host is about to stop. Another host takes the request at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);

impl EntryNode {
    /// Handles a request of a client. Dropping the future cancels the request.
    pub async fn handle(&self, request: EntryRequest) -> EntryResponse {
        let Some(request) = self.limit_to_stop(request) else {
            return EntryResponse::not_run(STOPPING_RETRY_AFTER, "the host is about to stop");
        };

        let Some(host) = self.host.get() else {
            return self.forward_to_schedulers(&request).await.unwrap_or_else(|| {
                log::info!(request:% = request.id; "refused: no scheduler takes the request");
                EntryResponse::not_run(NO_SCHEDULER_RETRY_AFTER, "no scheduler takes the request")
            });
        };

        // A gateway that becomes a scheduler goes on as a gateway until it has read the records.
        if !host.is_restored()
            && self.is_in_contact()
            && let Some(response) = self.forward_to_schedulers(&request).await
        {
            return response;
        }

        let owners = self.owners_before_this_host(host, &request);

        if let Some(response) = self.forwarder.forward(&request, &owners).await {
            return response;
        }

        let Some(service) = host.service_of(&request) else {
            return host.handle(request).await;
        };

        if host.pool().reach().admit(&service) {
            let response = host.handle(request.clone()).await;
            if !response.is_out_of_reach() {
                return response;
            }
        }

        self.handle_elsewhere(host, request, &service).await
    }

    /// Forwards a request to a scheduler of this region; `None` if none takes it.
    async fn forward_to_schedulers(&self, request: &EntryRequest) -> Option<EntryResponse> {
        let mut candidates = self.forwarder.directory.candidates(routing_key(request), None);
        candidates.retain(|it| it.host != self.settings.host);
        // The owner of a program has its history and its budget, so it stays first.
        if request.program.is_none() {
            self.forwarder.directory.put_busy_last(&mut candidates);
        }
        self.forwarder.forward(request, &candidates).await
    }

    /// Limits a request to the time until this host stops; `None` if it could not end before.
    fn limit_to_stop(&self, request: EntryRequest) -> Option<EntryRequest> {
        let Some(stops_at) = self.stops_at.get() else {
            return Some(request);
        };
        let now = Instant::now();
        let deadline = deadline_before_stop(request.deadline, *stops_at, now);

        if deadline.is_none() {
            let left_ms = stops_at.saturating_duration_since(now).as_millis() as u64;
            log::info!(request:% = request.id, left_ms; "refused: the host stops before the request could end");
        }

        deadline.map(|it| EntryRequest { deadline: Some(it), ..request })
    }

    /// Handles a request at a host that reaches its service, as this one does not, or takes only part of its requests yet. The
    /// other host does not forward it again.
    async fn handle_elsewhere(
        &self,
        host: &Arc<EntryHost>,
        request: EntryRequest,
        service: &str,
    ) -> EntryResponse {
        let directory = self.directory_of_scheduler(host);
        let key = routing_key(&request);
        let candidates = directory.candidates_in_reach(key, service, &self.settings.host);

        if let Some(response) = self.forwarder.forward(&request, &candidates).await {
            return response;
        }

        log::info!(
            request:% = request.id, service, hosts = candidates.len(),
            took_ms = request.received.elapsed().as_millis() as u64;
            "no other host takes a request whose service is out of reach here"
        );
        let record = RunRecord::new(&request);
        record.final_response(host.handle(request).await)
    }

    /// The directory with the schedulers that a scheduler knows.
    fn directory_of_scheduler(&self, host: &EntryHost) -> &SchedulerDirectory {
        let directory = &self.forwarder.directory;
        directory.set_schedulers(host.schedulers());
        // Clients have seen this host's configuration, and must not see an owner's older one.
        directory.record_config_version(host.routes().version);
        directory
    }

    /// Schedulers that come before this one in the order of a program's owners, so that a turn should run there; none
    /// for other requests.
    fn owners_before_this_host(
        &self,
        host: &Arc<EntryHost>,
        request: &EntryRequest,
    ) -> Vec<SchedulerEntry> {
        let is_turn = request.program.as_ref().is_some_and(|it| it.token_budget.is_some());

        if !is_turn || !host.mesh().has_owners() {
            return Vec::new();
        }

        let directory = self.directory_of_scheduler(host);
        let service = host.service_of(request);
        let candidates = directory.candidates(routing_key(request), service.as_deref());
        candidates.into_iter().take_while(|it| it.host != self.settings.host).collect()
    }
}

/// Key by which a request is assigned to a scheduler: the program for turns, whose budget and history its owner keeps,
/// and the request itself for all others.
fn routing_key(request: &EntryRequest) -> &str {
    match &request.program {
        Some(program) if program.token_budget.is_some() => &program.id,
        _ => &request.id,
    }
}
