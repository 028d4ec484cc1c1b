//! HTTP client of upstreams: the `OpenAI` chat-completions protocol for engines, plain HTTP for services.

use std::{collections::HashMap, error::Error, pin::Pin, sync::Arc, time::Duration};

use async_trait::async_trait;
use bytes::Bytes;
use eventsource_stream::{Event, EventStreamError, Eventsource};
use futures_util::{Stream, StreamExt};
use http_body_util::{BodyDataStream, BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header};
use hyper_util::client::legacy;
use tokio::time::{Instant, timeout, timeout_at};

use crate::{
    EngineOrder, HttpClient, ProbeOutcome, StreamTimeouts, UpstreamClient, UpstreamError,
    UpstreamLoad, UpstreamResponse, UpstreamStream, platform_calls::http_client::http_client,
};

/// Time to connect to an upstream.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Time for a probe, which consists of two requests.
pub(crate) const PROBE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time for an order, a list of cache keys or a status.
const SHORT_REQUEST_TIMEOUT: Duration = Duration::from_millis(800);

/// Data of the event that ends a stream of the chat-completions protocol.
const STREAM_END: &str = "[DONE]";

/// Length to which the body of a rejection is cut before it is passed on, in characters.
const MAX_REASON_CHARS: usize = 300;

/// Client of upstreams over HTTP. Engines are reached over pooled connections. Each call to a service uses a connection
/// of its own: a pooled one may be closed by the service while the request is in transit, and then it is unknown
/// whether the call ran.
#[derive(Debug)]
pub(crate) struct HttpUpstream {
    pooled: HttpClient,
    unpooled: HttpClient,
}

impl HttpUpstream {
    pub(crate) fn new() -> Self {
        Self { pooled: http_client(CONNECT_TIMEOUT), unpooled: http_client(CONNECT_TIMEOUT) }
    }

    async fn exchange(
        client: &HttpClient,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, UpstreamError> {
        client.request(request).await.map_err(upstream_error)
    }

    async fn get(&self, url: &str, path: &str) -> Result<UpstreamResponse, UpstreamError> {
        let request = build_request(Method::GET, &format!("{url}{path}"), Bytes::new())?;
        let response = Self::exchange(&self.pooled, request).await?;
        read_response(response).await
    }

    async fn get_with_timeout(
        &self,
        url: &str,
        path: &str,
    ) -> Result<UpstreamResponse, UpstreamError> {
        timeout(SHORT_REQUEST_TIMEOUT, self.get(url, path))
            .await
            .unwrap_or(Err(UpstreamError::Overdue))
    }
}

fn upstream_error(error: legacy::Error) -> UpstreamError {
    let reason = error.source().map_or_else(|| error.to_string(), ToString::to_string);

    if error.is_connect() {
        UpstreamError::NotSent { reason }
    } else {
        UpstreamError::Broken { reason }
    }
}

fn build_request(
    method: Method,
    uri: &str,
    body: Bytes,
) -> Result<Request<Full<Bytes>>, UpstreamError> {
    Request::builder()
        .method(method)
        .uri(uri)
        .header(header::CONTENT_TYPE, "application/json")
        .body(Full::new(body))
        .map_err(|error| UpstreamError::NotSent { reason: error.to_string() })
}

/// Reads a response to its end.
async fn read_response(response: Response<Incoming>) -> Result<UpstreamResponse, UpstreamError> {
    let status = response.status().as_u16();

    let body = response
        .into_body()
        .collect()
        .await
        .map_err(|error| UpstreamError::Broken { reason: error.to_string() })?
        .to_bytes();

    Ok(UpstreamResponse { status, body: String::from_utf8_lossy(&body).into() })
}

#[async_trait]
impl UpstreamClient for HttpUpstream {
    async fn call(
        &self,
        url: &str,
        path: &str,
        body: Bytes,
        idempotency_key: &str,
        call_timeout: Duration,
    ) -> Result<UpstreamResponse, UpstreamError> {
        let mut request = build_request(Method::POST, &format!("{url}{path}"), body)?;
        let idempotency_key = idempotency_key
            .parse()
            .map_err(|_| UpstreamError::NotSent { reason: "bad key".into() })?;
        request.headers_mut().insert("idempotency-key", idempotency_key);
        request.headers_mut().insert(header::CONNECTION, header::HeaderValue::from_static("close"));

        let exchange = async {
            let response = Self::exchange(&self.unpooled, request).await?;
            read_response(response).await
        };

        timeout(call_timeout, exchange).await.unwrap_or(Err(UpstreamError::Overdue))
    }

    async fn chat(
        &self,
        url: &str,
        body: Bytes,
        timeouts: StreamTimeouts,
    ) -> Result<Box<dyn UpstreamStream>, UpstreamError> {
        let uri = format!("{url}/v1/chat/completions");
        let request = build_request(Method::POST, &uri, body)?;

        let response = timeout(timeouts.first_token, Self::exchange(&self.pooled, request))
            .await
            .unwrap_or(Err(UpstreamError::Overdue))?;

        match response.status() {
            StatusCode::OK => Ok(Box::new(HttpStream::new(response.into_body(), timeouts))),
            StatusCode::SERVICE_UNAVAILABLE | StatusCode::TOO_MANY_REQUESTS => {
                Err(UpstreamError::Refused { status: response.status().as_u16() })
            }
            status if status.is_client_error() => {
                let response = read_response(response).await?;
                let reason = response.body.chars().take(MAX_REASON_CHARS).collect();
                Err(UpstreamError::Rejected { status: response.status, reason })
            }
            status => Err(UpstreamError::Broken { reason: format!("status {status}") }),
        }
    }

    async fn cache_keys(&self, url: &str) -> Result<Vec<String>, UpstreamError> {
        let response = self.get_with_timeout(url, "/cache").await?;

        let cached_tokens: HashMap<String, u64> = serde_json::from_str(&response.body)
            .map_err(|error| UpstreamError::Broken { reason: error.to_string() })?;

        let mut keys: Vec<String> = cached_tokens.into_keys().collect();
        keys.sort();
        Ok(keys)
    }

    async fn send_order(&self, url: &str, order: &EngineOrder) -> Result<(), UpstreamError> {
        let body = serde_json::to_vec(order).unwrap_or_default().into();
        let request = build_request(Method::POST, &format!("{url}/orders"), body)?;

        let response = timeout(SHORT_REQUEST_TIMEOUT, Self::exchange(&self.pooled, request))
            .await
            .unwrap_or(Err(UpstreamError::Overdue))?;

        match response.status() {
            status if status.is_success() => Ok(()),
            status => Err(UpstreamError::Refused { status: status.as_u16() }),
        }
    }

    async fn probe(&self, url: &str) -> ProbeOutcome {
        let deadline = Instant::now() + PROBE_TIMEOUT;

        match timeout_at(deadline, self.get(url, "/health")).await {
            Ok(Ok(response)) if response.status == 200 => (),
            Ok(Ok(_)) => return ProbeOutcome::Unhealthy,
            Ok(Err(_)) | Err(_) => return ProbeOutcome::Unresponsive,
        }

        // A load that comes late is left out, so that it doesn't delay the next probe.
        let response = timeout_at(deadline, self.get(url, "/load")).await.ok().and_then(Result::ok);
        let load = response.and_then(|it| serde_json::from_str::<UpstreamLoad>(&it.body).ok());
        ProbeOutcome::Healthy { load }
    }

    async fn read(&self, url: &str, path: &str) -> Result<UpstreamResponse, UpstreamError> {
        self.get_with_timeout(url, path).await
    }
}

type EventResult = Result<Event, EventStreamError<hyper::Error>>;

/// A response that is streamed as server-sent events.
struct HttpStream {
    events: Pin<Box<dyn Stream<Item = EventResult> + Send>>,
    timeouts: StreamTimeouts,
    /// Whether the first event has arrived.
    has_started: bool,
}

impl HttpStream {
    fn new(body: Incoming, timeouts: StreamTimeouts) -> Self {
        let events = Box::pin(BodyDataStream::new(body).eventsource());
        Self { events, timeouts, has_started: false }
    }
}

#[async_trait]
impl UpstreamStream for HttpStream {
    async fn next(&mut self) -> Result<Option<Arc<str>>, UpstreamError> {
        let event_timeout =
            if self.has_started { self.timeouts.between_tokens } else { self.timeouts.first_token };
        let event =
            timeout(event_timeout, self.events.next()).await.map_err(|_| UpstreamError::Overdue)?;
        self.has_started = true;

        match event {
            Some(Ok(event)) if event.data == STREAM_END => Ok(None),
            Some(Ok(event)) => Ok(Some(event.data.into())),
            Some(Err(error)) => Err(UpstreamError::Broken { reason: error.to_string() }),
            None => Err(UpstreamError::Broken { reason: "the stream has no end".into() }),
        }
    }
}
