//! Workload of programs, each request sent to a random host and retried until it has a final response.

use std::{
    net::SocketAddr,
    sync::{Arc, RwLock},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::api_caller::{ApiCaller, ApiResponse, call_body};

/// How long a request may take over all its attempts.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Time between two attempts.
const RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Callers' addresses of the hosts that a load balancer would send requests to.
pub(crate) type HostAddresses = Arc<RwLock<Vec<SocketAddr>>>;

/// Creates programs and runs their turns and calls, one request at a time. The seed determines each request's host.
#[derive(Debug)]
pub(crate) struct CallerWorkload {
    caller: ApiCaller,
    hosts: HostAddresses,
    random: StdRng,
    /// Receipts that the next turn returns to the hosts.
    receipts: Vec<Value>,
    /// Number of requests that got no final response and were sent again.
    pub(crate) retries: u32,
}

impl CallerWorkload {
    pub(crate) fn new(caller: &ApiCaller, hosts: &HostAddresses, seed: u64) -> Self {
        Self {
            caller: caller.clone(),
            hosts: Arc::clone(hosts),
            random: StdRng::seed_from_u64(seed),
            receipts: Vec::new(),
            retries: 0,
        }
    }

    /// Address of a random host, as a load balancer would choose one.
    fn host(&mut self) -> SocketAddr {
        let hosts = self.hosts.read().expect("the lock should not be poisoned");
        hosts[self.random.random_range(0..hosts.len())]
    }

    /// Creates a program, retrying until a host has answered with its id.
    pub(crate) async fn create_program(&mut self, budget_tokens: u64) -> String {
        let body = json!({ "model": "agent-llm", "budget_tokens": budget_tokens });
        let deadline = Instant::now() + REQUEST_TIMEOUT;

        loop {
            let host = self.host();
            let response =
                self.caller.send_json(host, hyper::Method::POST, "/v1/programs", &body).await;

            if let Some(program) = response.as_ref().and_then(|it| it.body["program"].as_str()) {
                return program.to_owned();
            }

            self.wait_to_retry(deadline, response.as_ref()).await;
        }
    }

    /// Runs a turn, retrying until it is completed.
    pub(crate) async fn run_turn(&mut self, program: &str, number: u32) -> ApiResponse {
        let text = format!("{program} turn {number}");
        let deadline = Instant::now() + REQUEST_TIMEOUT;

        loop {
            let body = json!({
                "messages": [{ "role": "user", "content": text }],
                "max_tokens": 5,
                "ragwortknot": { "receipts": self.receipts },
            });

            let host = self.host();
            let response = self.caller.send_turn(host, program, number, &body).await;

            if let Some(response) = response.as_ref().filter(|response| response.is_completed()) {
                self.update_receipts(response);
                return response.clone();
            }

            self.wait_to_retry(deadline, response.as_ref()).await;
        }
    }

    /// Runs a call that isn't repeatable, retrying until it is completed or its outcome is unknown for good.
    pub(crate) async fn run_call(&mut self, program: &str, number: u32) -> ApiResponse {
        let body = call_body(&format!("{program} call {number}"));
        let deadline = Instant::now() + REQUEST_TIMEOUT;

        loop {
            let host = self.host();
            let response = self.caller.send_call(host, program, number, &body).await;

            if let Some(response) = response.as_ref()
                && (response.is_completed()
                    || response.body["detail"].as_str().is_some_and(is_final_detail))
            {
                return response.clone();
            }

            self.wait_to_retry(deadline, response.as_ref()).await;
        }
    }

    /// Runs a program of turns and calls. Every fourth entry is a call.
    pub(crate) async fn run_program(&mut self, entry_count: u32) -> String {
        let program = self.create_program(200_000).await;

        for number in 1..=entry_count {
            if number % 4 == 0 {
                self.run_call(&program, number).await;
            } else {
                self.run_turn(&program, number).await;
            }
        }

        program
    }

    /// Stores the receipt of a turn. Once a turn is logged, so are all earlier ones, and their receipts are dropped.
    fn update_receipts(&mut self, response: &ApiResponse) {
        let metadata = &response.body["ragwortknot"];

        match metadata["receipt"].as_str() {
            Some(receipt) => self.receipts.push(json!(receipt)),
            None => self.receipts.clear(),
        }
    }

    /// Waits before the next attempt. Panics if the deadline of the request has passed.
    async fn wait_to_retry(&mut self, deadline: Instant, response: Option<&ApiResponse>) {
        assert!(
            Instant::now() < deadline,
            "a request has no final response after {REQUEST_TIMEOUT:?}: {response:?}"
        );
        self.retries += 1;
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Whether the detail of a problem states that the outcome of a call stays unknown.
fn is_final_detail(detail: &str) -> bool {
    detail.contains("not sent again")
}
