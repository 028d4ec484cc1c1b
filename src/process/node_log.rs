//! Logging of a process: each line is a JSON object with the host and its region. Lines never contain a caller's
//! content or a key.

use std::{
    io::{self, Write},
    sync::Arc,
    time::Instant,
};

use env_logger::{Builder, Target};
use log::{
    Level, Record,
    kv::{Error, Key, Value, VisitSource},
};
use parking_lot::Mutex;
use serde_json::{Map, json};
use tracing_appender::non_blocking::{NonBlockingBuilder, WorkerGuard};

use crate::{
    basics::unix_clock::unix_millis,
    process::log_limiter::{LineOutcome, LogLimiter},
};

/// Lines that are queued for standard output. Further lines are dropped, so that no thread blocks on a slow reader.
const MAX_QUEUED_LINES: usize = 4_096;

/// Environment variable whose filter overrides the one in the settings.
const FILTER_VARIABLE: &str = "RAGWORTKNOT_LOG";

/// Where log lines go.
#[derive(Clone, Debug)]
pub enum LogSink {
    /// Standard error, used by `ragwortknotd` and `ragwortknot local`. Each line is written before the call returns.
    Stderr,
    /// Standard output, used by the entry hosts, whose platform collects logs there. A background thread writes the
    /// lines.
    Stdout,
    /// A buffer in memory, for a command that prints only some of the lines.
    Buffer(LogBuffer),
}

/// Log lines in memory. Clones share the same buffer.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer {
    bytes: Arc<Mutex<Vec<u8>>>,
}

impl LogBuffer {
    pub(crate) fn text(&self) -> String {
        String::from_utf8_lossy(&self.bytes.lock()).into_owned()
    }
}

impl Write for LogBuffer {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.bytes.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Copies the key-value pairs of a log record into a JSON object.
struct FieldCollector<'a> {
    fields: &'a mut Map<String, serde_json::Value>,
}

impl<'kvs> VisitSource<'kvs> for FieldCollector<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = serde_json::to_value(&value).unwrap_or_default();
        self.fields.insert(key.to_string(), value);
        Ok(())
    }
}

/// Installs the logger of this process. Once a logger is installed, further calls have no effect.
pub fn start_log(host: &str, region: &str, filter: &str, sink: LogSink) -> LogGuard {
    let (host, region): (Arc<str>, Arc<str>) = (host.into(), region.into());
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let mut builder = Builder::new();
    builder.parse_filters(&filter);

    let mut worker_guard = None;

    builder.target(match sink {
        LogSink::Stderr => Target::Stderr,
        LogSink::Stdout => {
            let (writer, guard) = NonBlockingBuilder::default()
                .buffered_lines_limit(MAX_QUEUED_LINES)
                .lossy(true)
                .finish(io::stdout());
            worker_guard = Some(guard);
            Target::Pipe(Box::new(writer))
        }
        LogSink::Buffer(buffer) => Target::Pipe(Box::new(buffer)),
    });

    let limiter = Mutex::new(LogLimiter::new(Instant::now()));

    builder.format(move |out, record| {
        // The most severe level is the lowest: warnings and errors are never dropped.
        let is_exempt = record.level() <= Level::Warn;

        match limiter.lock().admit(Instant::now(), is_exempt) {
            LineOutcome::Write { dropped } => {
                let line = line_json(&host, &region, record, dropped);
                writeln!(out, "{line}")
            }
            LineOutcome::Drop => Ok(()),
        }
    });

    let _ = builder.try_init();
    LogGuard { _worker_guard: worker_guard }
}

/// Keeps the background writer of the log alive. Dropping the guard writes the queued lines.
#[derive(Debug)]
#[must_use]
pub struct LogGuard {
    _worker_guard: Option<WorkerGuard>,
}

/// Builds a log line. `lines_left_out` says how many lines the limiter dropped before it.
fn line_json(host: &str, region: &str, record: &Record, dropped: u64) -> serde_json::Value {
    let mut line = Map::new();
    line.insert("at_ms".into(), json!(unix_millis()));
    line.insert("level".into(), json!(record.level().as_str()));
    line.insert("host".into(), json!(host));
    line.insert("region".into(), json!(region));
    line.insert("target".into(), json!(record.target()));
    line.insert("message".into(), json!(record.args().to_string()));
    if dropped > 0 {
        line.insert("lines_left_out".into(), json!(dropped));
    }
    let _ = record.key_values().visit(&mut FieldCollector { fields: &mut line });
    line.into()
}
