//! Log lines: one JSON object each, with the host and its region. They never hold a caller's content or a key.

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
    process::log_limiter::{LineVerdict, LogLimiter},
};

/// Lines that wait to be written at most; beyond them lines are dropped, so that nobody waits for a slow reader.
const QUEUED_LINES: usize = 4_096;

/// Environment variable that goes before the filter of the settings.
const FILTER_VARIABLE: &str = "RAGWORTKNOT_LOG";

/// Where log lines go.
#[derive(Clone, Debug)]
pub enum LogSink {
    /// Standard error, as daemons with the own interface write it.
    Stderr,
    /// Standard output, where the users' platform collects logs.
    Stdout,
    /// A buffer, for a command that prints some of the lines itself.
    Buffer(LogBuffer),
}

/// Log lines in memory.
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

/// Starts the log of this process. A second call changes nothing.
pub fn start_log(host: &str, region: &str, filter: &str, sink: LogSink) -> LogGuard {
    let (host, region): (Arc<str>, Arc<str>) = (host.into(), region.into());
    let filter = std::env::var(FILTER_VARIABLE).unwrap_or_else(|_| filter.to_owned());
    let mut builder = Builder::new();
    builder.parse_filters(&filter);

    let mut worker = None;

    builder.target(match sink {
        LogSink::Stderr => Target::Stderr,
        LogSink::Stdout => {
            let (writer, guard) = NonBlockingBuilder::default()
                .buffered_lines_limit(QUEUED_LINES)
                .lossy(true)
                .finish(io::stdout());
            worker = Some(guard);
            Target::Pipe(Box::new(writer))
        }
        LogSink::Buffer(buffer) => Target::Pipe(Box::new(buffer)),
    });

    let limiter = Mutex::new(LogLimiter::new(Instant::now()));

    builder.format(move |out, record| {
        let is_urgent = record.level() <= Level::Warn;

        match limiter.lock().admit(Instant::now(), is_urgent) {
            LineVerdict::Write { left_out } => {
                let line = line_json(&host, &region, record, left_out);
                writeln!(out, "{line}")
            }
            LineVerdict::LeaveOut => Ok(()),
        }
    });

    let _ = builder.try_init();
    LogGuard { _worker: worker }
}

/// Keeps the log's writer alive. Dropping it writes what is queued.
#[derive(Debug)]
#[must_use]
pub struct LogGuard {
    _worker: Option<WorkerGuard>,
}

fn line_json(host: &str, region: &str, record: &Record, left_out: u64) -> serde_json::Value {
    let mut line = Map::new();
    line.insert("at_ms".into(), json!(unix_millis()));
    line.insert("level".into(), json!(record.level().as_str()));
    line.insert("host".into(), json!(host));
    line.insert("region".into(), json!(region));
    line.insert("target".into(), json!(record.target()));
    line.insert("message".into(), json!(record.args().to_string()));
    if left_out > 0 {
        line.insert("lines_left_out".into(), json!(left_out));
    }
    let _ = record.key_values().visit(&mut FieldCollector { fields: &mut line });
    line.into()
}
