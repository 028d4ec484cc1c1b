//! Programs that callers drive against any host, through whatever fails.

use std::{
    net::SocketAddr,
    sync::{Arc, RwLock},
    time::Duration,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use serde_json::{Value, json};
use tokio::time::Instant;

use super::api_caller::{Answer, ApiCaller, call_body};

/// Time in which a request has to come to its end, over all tries.
const REQUEST_TIMEOUT: Duration = Duration::from_mins(1);

/// Pause before another try.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Addresses of the hosts that a balancer would choose from.
pub(crate) type HostAddresses = Arc<RwLock<Vec<SocketAddr>>>;

/// One caller's way through its programs.
#[derive(Debug)]
pub(crate) struct CallerWorkload {
    caller: ApiCaller,
    hosts: HostAddresses,
    random: StdRng,
    receipts: Vec<Value>,
    /// Requests that were refused or broken, and tried again.
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

    fn host(&mut self) -> SocketAddr {
        let hosts = self.hosts.read().expect("no panic");
        hosts[self.random.random_range(0..hosts.len())]
    }

    /// Creates a program, and goes on until one is there.
    pub(crate) async fn create_program(&mut self, budget: u64) -> String {
        let body = json!({ "model": "agent-llm", "budget_tokens": budget });
        let deadline = Instant::now() + REQUEST_TIMEOUT;

        loop {
            let host = self.host();
            let answer =
                self.caller.send_json(host, hyper::Method::POST, "/v1/programs", &body).await;

            if let Some(program) = answer.as_ref().and_then(|it| it.body["program"].as_str()) {
                return program.to_owned();
            }

            self.pause(deadline, answer.as_ref()).await;
        }
    }

    /// Runs a turn until it is completed.
    pub(crate) async fn run_turn(&mut self, program: &str, number: u32) -> Answer {
        let text = format!("{program} turn {number}");
        let deadline = Instant::now() + REQUEST_TIMEOUT;

        loop {
            let body = json!({
                "messages": [{ "role": "user", "content": text }],
                "max_tokens": 5,
                "ragwortknot": { "receipts": self.receipts },
            });

            let host = self.host();
            let answer = self.caller.send_turn(host, program, number, &body).await;

            if let Some(answer) = answer.as_ref().filter(|answer| answer.is_completed()) {
                self.keep_receipt(answer);
                return answer.clone();
            }

            self.pause(deadline, answer.as_ref()).await;
        }
    }

    /// Runs a call that may not be repeated, until it is completed or unknown for good.
    pub(crate) async fn run_call(&mut self, program: &str, number: u32) -> Answer {
        let body = call_body(&format!("{program} call {number}"));
        let deadline = Instant::now() + REQUEST_TIMEOUT;

        loop {
            let host = self.host();
            let answer = self.caller.send_call(host, program, number, &body).await;

            if let Some(answer) = answer.as_ref()
                && (answer.is_completed() || answer.body["detail"].as_str().is_some_and(is_final))
            {
                return answer.clone();
            }

            self.pause(deadline, answer.as_ref()).await;
        }
    }

    /// Runs a program of turns, with a call after every third.
    pub(crate) async fn run_program(&mut self, turns: u32) -> String {
        let program = self.create_program(200_000).await;

        for number in 1..=turns {
            if number % 4 == 0 {
                self.run_call(&program, number).await;
            } else {
                self.run_turn(&program, number).await;
            }
        }

        program
    }

    /// A receipt is kept until a later turn is logged.
    fn keep_receipt(&mut self, answer: &Answer) {
        let own = &answer.body["ragwortknot"];

        match own["receipt"].as_str() {
            Some(receipt) => self.receipts.push(json!(receipt)),
            None => self.receipts.clear(),
        }
    }

    async fn pause(&mut self, deadline: Instant, answer: Option<&Answer>) {
        assert!(Instant::now() < deadline, "a request does not come to its end: {answer:?}");
        self.retries += 1;
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn is_final(detail: &str) -> bool {
    detail.contains("not sent again")
}
