//! Stand-in for a server behind the platform's routes. It marks its responses with its seal, marks requests that it
//! refuses as not run, and streams server-sent events that a client can resume with `Last-Event-ID`.

use {
    crate::{StandinServer, active_faults::ActiveFaults},
    axum::{
        Router,
        body::{Body, Bytes},
        extract::{Request, State},
        http::{HeaderMap, HeaderName, HeaderValue, StatusCode, header},
        response::{IntoResponse, Response},
    },
    futures_util::{StreamExt, stream},
    parking_lot::Mutex,
    serde::{Deserialize, Serialize},
    std::{
        io,
        sync::{
            Arc,
            atomic::{AtomicUsize, Ordering},
        },
        time::Duration,
    },
    tokio::time::sleep,
};

/// Largest body of a request. A larger one is recorded as empty.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Time for which a request runs before it crashes the server.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Faults that the server injects. Omitted fields are off.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a fault of its own that a test switches"
)]
pub struct RoutedFaults {
    /// Requests are refused with 503 and marked as not run.
    pub full: bool,
    /// Requests run, but the connection breaks before the response.
    pub lose_answers: bool,
    /// Responses carry another request's id.
    pub wrong_id: bool,
    /// Streams break off after the event with this number; 0 for never.
    pub cut_after: usize,
    /// Delay before each event, in milliseconds.
    pub event_ms: u64,
    /// Every response states that the server is leaving.
    pub leaving: bool,
    /// A request whose target or body contains this text ends the process while it runs.
    pub crash_on: Option<String>,
}

/// A request that the server has run.
#[derive(Clone, Debug)]
pub struct RoutedRun {
    /// Value of the `x-request-id` header.
    pub id: String,
    /// Path and query of its URL.
    pub target: String,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// A server, which runs requests whose `x-expect-instance` header names it.
#[derive(Debug)]
pub struct RoutedServer {
    /// Instance id.
    pub id: String,
    /// Events of each stream; 0 for a server that answers at once.
    pub events_per_stream: usize,
    faults: ActiveFaults<RoutedFaults>,
    runs: Mutex<Vec<RoutedRun>>,
    open_streams: Arc<AtomicUsize>,
}

/// Keeps a stream counted as open until the guard is dropped.
#[derive(Debug)]
struct StreamGuard {
    open_streams: Arc<AtomicUsize>,
}

impl StreamGuard {
    fn new(open_streams: &Arc<AtomicUsize>) -> Self {
        open_streams.fetch_add(1, Ordering::SeqCst);
        Self { open_streams: Arc::clone(open_streams) }
    }
}

impl Drop for StreamGuard {
    fn drop(&mut self) {
        self.open_streams.fetch_sub(1, Ordering::SeqCst);
    }
}

impl RoutedServer {
    /// Makes a server with an instance id. If `events_per_stream` is 0, it answers at once instead of streaming.
    pub fn new(id: &str, events_per_stream: usize) -> Arc<Self> {
        Arc::new(Self {
            id: id.to_owned(),
            events_per_stream,
            faults: ActiveFaults::default(),
            runs: Mutex::default(),
            open_streams: Arc::default(),
        })
    }

    /// Starts to listen on `address`. Fails if it cannot be bound.
    pub async fn start(self: &Arc<Self>, address: &str) -> io::Result<StandinServer> {
        let router = Router::new().fallback(handle_request).with_state(Arc::clone(self));
        StandinServer::start(address, router).await
    }

    /// Replaces the active faults.
    pub fn set_faults(&self, faults: RoutedFaults) {
        self.faults.set(faults);
    }

    /// Requests that have run, in order of arrival.
    pub fn runs(&self) -> Vec<RoutedRun> {
        self.runs.lock().clone()
    }

    /// Number of open streams.
    pub fn open_streams(&self) -> usize {
        self.open_streams.load(Ordering::SeqCst)
    }
}

/// Value of a header, or an empty string if it is missing.
fn header_text(headers: &HeaderMap, name: &str) -> String {
    headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default().to_owned()
}

fn refuse_as_not_run(status: StatusCode, id: String) -> Response {
    let headers = [
        (HeaderName::from_static("x-not-run"), "1".to_owned()),
        (HeaderName::from_static("x-request-id"), id),
    ];
    (status, headers).into_response()
}

async fn handle_request(State(server): State<Arc<RoutedServer>>, request: Request) -> Response {
    let faults = server.faults.get();
    let is_leaving = faults.leaving;
    let mut response = run_request(server, faults, request).await;

    if is_leaving {
        let name = HeaderName::from_static("server-leaving");
        response.headers_mut().insert(name, HeaderValue::from_static("1"));
    }

    response
}

async fn run_request(
    server: Arc<RoutedServer>,
    faults: RoutedFaults,
    request: Request,
) -> Response {
    let (parts, body) = request.into_parts();
    let id = header_text(&parts.headers, "x-request-id");

    if header_text(&parts.headers, "x-expect-instance") != server.id {
        return refuse_as_not_run(StatusCode::MISDIRECTED_REQUEST, id);
    }
    if faults.full {
        return refuse_as_not_run(StatusCode::SERVICE_UNAVAILABLE, id);
    }

    let body = axum::body::to_bytes(body, MAX_BODY_BYTES).await.unwrap_or_default();
    let target = parts.uri.path_and_query().map_or_else(String::new, ToString::to_string);
    let last_event_id = header_text(&parts.headers, "last-event-id").parse().unwrap_or(0);
    let headers = parts.headers;

    if faults
        .crash_on
        .as_ref()
        .is_some_and(|text| target.contains(text) || String::from_utf8_lossy(&body).contains(text))
    {
        sleep(CRASH_DELAY).await;
        std::process::abort();
    }

    server.runs.lock().push(RoutedRun { id: id.clone(), target, headers, body });

    let response_id = if faults.wrong_id { "another".to_owned() } else { id };
    let headers = [
        (HeaderName::from_static("x-request-id"), response_id),
        (HeaderName::from_static("x-server-seal"), format!("seal-{}", server.id)),
        (HeaderName::from_static("x-server-load"), "1,0,12".to_owned()),
    ];

    if faults.lose_answers {
        // The body fails at its first chunk, which closes the connection before the response head is sent.
        let failing_body = stream::iter([Err::<Bytes, _>(io::Error::other("broken"))]);
        return (headers, [(header::CONTENT_LENGTH, "10")], Body::from_stream(failing_body))
            .into_response();
    }
    if server.events_per_stream == 0 {
        return (headers, "done").into_response();
    }

    let guard = StreamGuard::new(&server.open_streams);
    let (event_count, cut_after) = (server.events_per_stream, faults.cut_after);
    let events = stream::iter(last_event_id + 1..=event_count).then(move |number: usize| {
        // Moves the guard into the closure, which lives as long as the stream.
        let _ = &guard;
        async move {
            sleep(Duration::from_millis(faults.event_ms)).await;
            if cut_after > 0 && number > cut_after {
                return Err(io::Error::other("cut"));
            }
            Ok(Bytes::from(format!("id: {number}\ndata: word{number}\n\n")))
        }
    });
    (headers, [(header::CONTENT_TYPE, "text/event-stream")], Body::from_stream(events))
        .into_response()
}
