//! The HTTP client that the platform, the upstreams and the command line are reached with.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};

/// Time after which an idle connection is closed. Shorter than the keep-alive time of common servers, so that a
/// request seldom meets a connection that its server is closing.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// A pooled client of HTTP/1.1.
pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Makes a client whose connection attempts end after `connect_timeout`. It never sends a request again by itself,
/// since a request may be one that must not be repeated.
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
