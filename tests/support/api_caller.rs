//! HTTP client of the hosts' APIs that records its turns and calls for the history checker.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, StatusCode, header};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde_json::{Value, json};

/// How long a request waits for the whole response.
const RESPONSE_TIMEOUT: Duration = Duration::from_mins(1);

/// Response of a host. A header that is missing is an empty string, and a body that isn't JSON is `null`.
#[derive(Clone, Debug)]
pub(crate) struct ApiResponse {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) retry_after_s: Option<u64>,
    pub(crate) content_type: String,
    pub(crate) body: Value,
    /// Body as text, for streams and metrics.
    pub(crate) text: String,
}

impl ApiResponse {
    pub(crate) fn is_completed(&self) -> bool {
        self.outcome == "completed"
    }

    /// Text that the engine generated.
    pub(crate) fn content(&self) -> &str {
        self.body["choices"][0]["message"]["content"].as_str().unwrap_or_default()
    }

    /// Kind of the problem, without the prefix of its URN.
    pub(crate) fn problem(&self) -> &str {
        let kind = self.body["type"].as_str().unwrap_or_default();
        kind.strip_prefix("urn:ragwortknot:problem:").unwrap_or(kind)
    }
}

/// One request of a turn or a call, and its response.
#[derive(Clone, Debug)]
pub(crate) struct CallerExchange {
    pub(crate) program: String,
    pub(crate) number: u32,
    /// `turn` or `call`.
    pub(crate) kind: &'static str,
    pub(crate) request_body: Value,
    /// `None` if the connection broke or the response did not arrive in time.
    pub(crate) response: Option<ApiResponse>,
}

/// Client with the key of one team or of the operators. Clones share the record of exchanges.
#[derive(Clone, Debug)]
pub(crate) struct ApiCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    pub(crate) key: String,
    pub(crate) exchanges: Arc<Mutex<Vec<CallerExchange>>>,
}

impl ApiCaller {
    pub(crate) fn new(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, key: key.to_owned(), exchanges: Arc::default() }
    }

    /// Sends a request. Returns `None` if the connection broke or the response did not arrive in time.
    pub(crate) async fn send(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<ApiResponse> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));

        for (name, value) in headers {
            request = request.header(*name, *value);
        }

        let request = request.body(Full::new(body.into())).expect("the request should be valid");
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (parts, body) = response.into_parts();
            let bytes = body.collect().await.ok()?.to_bytes();
            Some(parse_response(&parts, &bytes))
        };

        tokio::time::timeout(RESPONSE_TIMEOUT, exchange).await.ok()?
    }

    pub(crate) async fn send_json(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<ApiResponse> {
        self.send(host, method, path, &[], body.to_string()).await
    }

    pub(crate) async fn create_program(&self, host: SocketAddr, budget_tokens: u64) -> String {
        let body = json!({ "model": "agent-llm", "budget_tokens": budget_tokens });
        self.create_program_with(host, &body).await
    }

    pub(crate) async fn create_program_with(&self, host: SocketAddr, body: &Value) -> String {
        let response = self
            .send_json(host, Method::POST, "/v1/programs", body)
            .await
            .expect("the host should answer");
        assert_eq!(response.status, StatusCode::CREATED.as_u16(), "{response:?}");
        response.body["program"].as_str().expect("the response should name the program").to_owned()
    }

    pub(crate) async fn send_turn(
        &self,
        host: SocketAddr,
        program: &str,
        number: u32,
        body: &Value,
    ) -> Option<ApiResponse> {
        let path = format!("/v1/programs/{program}/turns/{number}");
        let response = self.send_json(host, Method::POST, &path, body).await;
        self.record_exchange(program, number, "turn", body, response.as_ref());
        response
    }

    pub(crate) async fn send_call(
        &self,
        host: SocketAddr,
        program: &str,
        number: u32,
        body: &Value,
    ) -> Option<ApiResponse> {
        let path = format!("/v1/programs/{program}/calls/{number}");
        let response = self.send_json(host, Method::POST, &path, body).await;
        self.record_exchange(program, number, "call", body, response.as_ref());
        response
    }

    pub(crate) async fn status(&self, host: SocketAddr, program: &str) -> Option<ApiResponse> {
        let path = format!("/v1/programs/{program}");
        self.send_json(host, Method::GET, &path, &Value::Null).await
    }

    pub(crate) async fn history(&self, host: SocketAddr, program: &str) -> Option<ApiResponse> {
        let path = format!("/v1/programs/{program}/history");
        self.send_json(host, Method::GET, &path, &Value::Null).await
    }

    fn record_exchange(
        &self,
        program: &str,
        number: u32,
        kind: &'static str,
        request_body: &Value,
        response: Option<&ApiResponse>,
    ) {
        self.exchanges.lock().expect("the lock should not be poisoned").push(CallerExchange {
            program: program.to_owned(),
            number,
            kind,
            request_body: request_body.clone(),
            response: response.cloned(),
        });
    }
}

fn parse_response(parts: &hyper::http::response::Parts, bytes: &Bytes) -> ApiResponse {
    let header_text = |name: &str| {
        parts.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
    };

    ApiResponse {
        status: parts.status.as_u16(),
        outcome: header_text("ragwortknot-outcome"),
        retry_after_s: header_text("retry-after").parse().ok(),
        content_type: header_text("content-type"),
        body: serde_json::from_slice(bytes).unwrap_or_default(),
        text: String::from_utf8_lossy(bytes).into_owned(),
    }
}

/// Body of a turn with one message.
pub(crate) fn turn_body(text: &str) -> Value {
    json!({ "messages": [{ "role": "user", "content": text }], "max_tokens": 6 })
}

/// Body of a call that isn't repeatable.
pub(crate) fn call_body(text: &str) -> Value {
    json!({
        "service": "ledger-app",
        "path": "/call/settlement",
        "body": { "note": text },
        "repeatable": false,
    })
}
