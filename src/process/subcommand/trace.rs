//! `ragwortknot trace`: prints the lines that contain an id, from the logs of several hosts in order of time.

use std::{
    fs::File,
    io::{BufRead, BufReader},
};

use getopts::Options;
use serde_json::Value;

use crate::CliError;

const BRIEF: &str = "Usage: ragwortknot trace ID FILE...

Prints every log line that contains the id of a request, a program, a turn or an
upstream, from all files in order of time. Text before a line's JSON is ignored.";

/// Fields that aren't printed as `name=value`: four have columns of their own, region and target are left out.
const SEPARATE_FIELDS: [&str; 6] = ["at_ms", "host", "level", "message", "region", "target"];

/// A log line that contains the id.
struct TracedLine {
    at_ms: u64,
    text: String,
}

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let matches = super::parse(Options::new(), BRIEF, arguments)?;

    let Some((id, files)) = matches.free.split_first().filter(|(_, files)| !files.is_empty())
    else {
        return Err(CliError::Usage("trace: expected an id and log files".into()));
    };

    let mut lines = Vec::new();

    for file in files {
        let log_file = File::open(file);
        let log_file = log_file.map_err(|error| CliError::Usage(format!("{file}: {error}")))?;

        for line in BufReader::new(log_file).split(b'\n') {
            let line = String::from_utf8_lossy(&line?).into_owned();
            lines.extend(traced_line(id, &line));
        }
    }

    if lines.is_empty() {
        return Err(CliError::Failed(eyre::eyre!("no line of {} contains {id}", files.join(", "))));
    }

    lines.sort_by_key(|line| line.at_ms);
    lines.iter().for_each(|line| println!("{}", line.text));
    Ok(())
}

/// Formats a line as `at_ms host level message | name=value ...`. Returns none if it doesn't contain the id or has no
/// JSON object with a time.
fn traced_line(id: &str, line: &str) -> Option<TracedLine> {
    if !line.contains(id) {
        return None;
    }

    let start = line.find('{')?;
    let record: Value = serde_json::from_str(line[start..].trim_end()).ok()?;
    let fields = record.as_object()?;
    let at_ms = fields.get("at_ms")?.as_u64()?;
    let text = |name: &str| fields.get(name).and_then(Value::as_str).unwrap_or("-");
    let other_fields: Vec<String> = fields
        .iter()
        .filter(|(name, _)| !SEPARATE_FIELDS.contains(&name.as_str()))
        .map(|(name, value)| match value {
            // Ids of teams contain a line feed, which must not end the line.
            Value::String(value) => format!("{name}={}", value.replace('\n', "\\n")),
            value => format!("{name}={value}"),
        })
        .collect();

    let text = format!(
        "{at_ms} {} {} {} | {}",
        text("host"),
        text("level"),
        text("message"),
        other_fields.join(" ")
    );
    Some(TracedLine { at_ms, text })
}
