//! Probes and broken requests over HTTP, on loopback.

use std::time::Duration;

use bytes::Bytes;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{Instant, sleep},
};

use crate::{
    HttpUpstream, ProbeOutcome, StreamTimeouts, UpstreamClient,
    upstreams::http_upstream::PROBE_TIMEOUT,
};

/// Time after which the upstream answers that it is healthy.
const HEALTH_DELAY: Duration = Duration::from_millis(700);

/// Time that a busy machine may add to a probe. With it a probe still ends before a second timeout would.
const MACHINE_DELAY: Duration = Duration::from_millis(400);

const ANSWER_TIMEOUT: Duration = Duration::from_secs(5);

/// Answers the first request of a connection after a delay, and no other.
async fn answer_first_request(mut connection: TcpStream) {
    let mut request = [0; 1_024];
    let _ = connection.read(&mut request).await;
    sleep(HEALTH_DELAY).await;
    let _ = connection.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n").await;

    while connection.read(&mut request).await.is_ok_and(|length| length > 0) {}
}

#[tokio::test]
async fn probe_ends_in_time_without_the_load() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("a bound address"));

    tokio::spawn(async move {
        while let Ok((connection, _)) = listener.accept().await {
            tokio::spawn(answer_first_request(connection));
        }
    });

    let begun = Instant::now();
    let outcome = HttpUpstream::new().probe(&url).await;
    assert_eq!(outcome, ProbeOutcome::Healthy { load: None });
    assert!(begun.elapsed() < PROBE_TIMEOUT + MACHINE_DELAY, "{:?}", begun.elapsed());
}

/// Starts an upstream that closes each connection once it has read some bytes of a request.
async fn closing_upstream(request_bytes: usize) -> String {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let url = format!("http://{}", listener.local_addr().expect("a bound address"));

    tokio::spawn(async move {
        while let Ok((mut connection, _)) = listener.accept().await {
            let mut request = vec![0; request_bytes];
            let _ = connection.read(&mut request).await;
        }
    });

    url
}

#[tokio::test]
async fn request_may_have_run_if_its_connection_breaks_after_it_was_made() {
    let timeouts = StreamTimeouts { first_token: ANSWER_TIMEOUT, between_tokens: ANSWER_TIMEOUT };

    for request_bytes in [1, 1_024] {
        let url = closing_upstream(request_bytes).await;
        let upstream = HttpUpstream::new();
        let body = || Bytes::from_static(b"{}");
        let call = upstream.call(&url, "/call/x", body(), "key", ANSWER_TIMEOUT).await;
        let call_error = call.expect_err("the connection breaks");
        assert!(!call_error.is_not_run(), "{call_error}");
        let chat = upstream.chat(&url, body(), timeouts).await;
        let chat_error = chat.err().expect("the connection breaks");
        assert!(!chat_error.is_not_run(), "{chat_error}");
    }
}
