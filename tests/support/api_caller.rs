//! A caller over plain HTTP, which remembers what it was told.

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

/// Longest time that a caller waits for an answer.
const ANSWER_TIMEOUT: Duration = Duration::from_mins(1);

/// An answer, or none where the connection broke.
#[derive(Clone, Debug)]
pub(crate) struct Answer {
    pub(crate) status: u16,
    pub(crate) outcome: String,
    pub(crate) retry_after: Option<u64>,
    pub(crate) content_type: String,
    pub(crate) body: Value,
    pub(crate) text: String,
}

impl Answer {
    pub(crate) fn is_completed(&self) -> bool {
        self.outcome == "completed"
    }

    pub(crate) fn content(&self) -> &str {
        self.body["choices"][0]["message"]["content"].as_str().unwrap_or_default()
    }

    pub(crate) fn problem(&self) -> &str {
        let kind = self.body["type"].as_str().unwrap_or_default();
        kind.strip_prefix("urn:ragwortknot:problem:").unwrap_or(kind)
    }
}

/// What a caller asked and was told, for the history checker.
#[derive(Clone, Debug)]
pub(crate) struct Told {
    pub(crate) program: String,
    pub(crate) number: u32,
    pub(crate) kind: &'static str,
    pub(crate) sent: Value,
    pub(crate) answer: Option<Answer>,
}

/// A caller with one team's key.
#[derive(Clone, Debug)]
pub(crate) struct ApiCaller {
    client: Client<HttpConnector, Full<Bytes>>,
    pub(crate) key: String,
    pub(crate) told: Arc<Mutex<Vec<Told>>>,
}

impl ApiCaller {
    pub(crate) fn new(key: &str) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(Duration::from_secs(2)));
        let client = Client::builder(TokioExecutor::new()).build(connector);
        Self { client, key: key.to_owned(), told: Arc::default() }
    }

    /// Sends a request; gives nothing where the connection broke.
    pub(crate) async fn send(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Option<Answer> {
        let mut request = Request::builder()
            .method(method)
            .uri(format!("http://{host}{path}"))
            .header(header::AUTHORIZATION, format!("Bearer {}", self.key));

        for (name, value) in headers {
            request = request.header(*name, *value);
        }

        let request = request.body(Full::new(body.into())).expect("a request");
        let exchange = async {
            let response = self.client.request(request).await.ok()?;
            let (parts, body) = response.into_parts();
            let bytes = body.collect().await.ok()?.to_bytes();
            Some(answer(&parts, &bytes))
        };

        tokio::time::timeout(ANSWER_TIMEOUT, exchange).await.ok()?
    }

    pub(crate) async fn send_json(
        &self,
        host: SocketAddr,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Option<Answer> {
        self.send(host, method, path, &[], body.to_string()).await
    }

    pub(crate) async fn create_program(&self, host: SocketAddr, budget: u64) -> String {
        let body = json!({ "model": "agent-llm", "budget_tokens": budget });
        self.create_with(host, &body).await
    }

    pub(crate) async fn create_with(&self, host: SocketAddr, body: &Value) -> String {
        let answer =
            self.send_json(host, Method::POST, "/v1/programs", body).await.expect("an answer");
        assert_eq!(answer.status, StatusCode::CREATED.as_u16(), "{answer:?}");
        answer.body["program"].as_str().expect("a program").to_owned()
    }

    pub(crate) async fn send_turn(
        &self,
        host: SocketAddr,
        program: &str,
        number: u32,
        body: &Value,
    ) -> Option<Answer> {
        let path = format!("/v1/programs/{program}/turns/{number}");
        let answer = self.send_json(host, Method::POST, &path, body).await;
        self.note(program, number, "turn", body, answer.as_ref());
        answer
    }

    pub(crate) async fn send_call(
        &self,
        host: SocketAddr,
        program: &str,
        number: u32,
        body: &Value,
    ) -> Option<Answer> {
        let path = format!("/v1/programs/{program}/calls/{number}");
        let answer = self.send_json(host, Method::POST, &path, body).await;
        self.note(program, number, "call", body, answer.as_ref());
        answer
    }

    pub(crate) async fn status(&self, host: SocketAddr, program: &str) -> Option<Answer> {
        let path = format!("/v1/programs/{program}");
        self.send_json(host, Method::GET, &path, &Value::Null).await
    }

    pub(crate) async fn history(&self, host: SocketAddr, program: &str) -> Option<Answer> {
        let path = format!("/v1/programs/{program}/history");
        self.send_json(host, Method::GET, &path, &Value::Null).await
    }

    fn note(
        &self,
        program: &str,
        number: u32,
        kind: &'static str,
        sent: &Value,
        answer: Option<&Answer>,
    ) {
        self.told.lock().expect("no panic").push(Told {
            program: program.to_owned(),
            number,
            kind,
            sent: sent.clone(),
            answer: answer.cloned(),
        });
    }
}

fn answer(parts: &hyper::http::response::Parts, bytes: &Bytes) -> Answer {
    let text = |name: &str| {
        parts.headers.get(name).and_then(|it| it.to_str().ok()).unwrap_or_default().to_owned()
    };

    Answer {
        status: parts.status.as_u16(),
        outcome: text("ragwortknot-outcome"),
        retry_after: text("retry-after").parse().ok(),
        content_type: text("content-type"),
        body: serde_json::from_slice(bytes).unwrap_or_default(),
        text: String::from_utf8_lossy(bytes).into_owned(),
    }
}

/// A turn's body with one message.
pub(crate) fn turn_body(text: &str) -> Value {
    json!({ "messages": [{ "role": "user", "content": text }], "max_tokens": 6 })
}

/// A call's body that may not be repeated.
pub(crate) fn call_body(text: &str) -> Value {
    json!({
        "service": "ledger-app",
        "path": "/call/settlement",
        "body": { "note": text },
        "repeatable": false,
    })
}
