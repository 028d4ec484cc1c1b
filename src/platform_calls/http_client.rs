//! HTTP client for calls to the platform, to upstreams and to the operators' API of hosts.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Time after which an idle connection is closed. It is shorter than the keep-alive time of common servers, so that a
/// request is rarely sent on a connection that its server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// An HTTP/1.1 client with a connection pool.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Creates a client whose connection attempts time out after `connect_timeout`. It never retries a request by itself,
/// since the request may not be idempotent.
pub(crate) fn http_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));

    Client::builder(TokioExecutor::new())
        .pool_idle_timeout(IDLE_TIMEOUT)
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}
