//! Subcommands that show what one path of the operators' API says.

use getopts::{Matches, Options};
use serde_json::Value;
use tabled::builder::Builder;

use crate::{CliError, OperatorClient};

/// A list that a host gives.
pub(super) struct OperatorView {
    name: &'static str,
    path: &'static str,
    /// Field of the answer that holds the rows, or none where there are no rows.
    rows: Option<&'static str>,
    columns: &'static [&'static str],
    is_post: bool,
}

pub(super) const CELLS: OperatorView = OperatorView {
    name: "cells",
    path: "/admin/v1/cells",
    rows: Some("cells"),
    columns: &["cell", "waiting", "oldest_ms", "upstreams"],
    is_post: false,
};

pub(super) const DRAIN: OperatorView = OperatorView {
    name: "drain",
    path: "/admin/v1/drain",
    rows: None,
    columns: &["host", "phase"],
    is_post: true,
};

pub(super) const HOSTS: OperatorView = OperatorView {
    name: "hosts",
    path: "/admin/v1/hosts",
    rows: Some("hosts"),
    columns: &["host", "region", "address", "status", "phase", "leaving"],
    is_post: false,
};

pub(super) const PROGRAMS: OperatorView = OperatorView {
    name: "programs",
    path: "/admin/v1/programs",
    rows: Some("programs"),
    columns: &["program", "team", "state", "turns", "spent_tokens", "budget_tokens"],
    is_post: false,
};

pub(super) const SHARDS: OperatorView = OperatorView {
    name: "shards",
    path: "/admin/v1/shards",
    rows: Some("shards"),
    columns: &["shard", "host", "programs"],
    is_post: false,
};

pub(super) const UPSTREAMS: OperatorView = OperatorView {
    name: "upstreams",
    path: "/admin/v1/upstreams",
    rows: Some("upstreams"),
    columns: &["upstream", "region", "model", "state"],
    is_post: false,
};

pub(super) fn add_options(options: &mut Options) {
    options.optopt("u", "url", "operators' address of a host", "http://IP:PORT");
    options.optopt("k", "key", "operators' key (else RAGWORTKNOT_KEY)", "KEY");
    options.optflag("", "json", "print JSON");
}

pub(super) fn client(matches: &Matches) -> Result<OperatorClient, CliError> {
    let url = matches.opt_str("url").ok_or_else(|| {
        CliError::Usage("expected --url with the operators' address of a host".into())
    })?;

    let key = matches.opt_str("key").or_else(|| std::env::var("RAGWORTKNOT_KEY").ok());

    let key = key.ok_or_else(|| {
        CliError::Usage("expected --key or RAGWORTKNOT_KEY with the operators' key".into())
    })?;

    Ok(OperatorClient { url: url.trim_end_matches('/').to_owned(), key })
}

pub(super) fn run(view: &OperatorView, arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    add_options(&mut options);
    let brief = format!("Usage: ragwortknot {} --url URL [--json]", view.name);
    let matches = super::parse(options, &brief, arguments)?;
    let client = client(&matches)?;

    let answer = super::block_on(async {
        Ok(match view.is_post {
            true => client.post(view.path).await?,
            false => client.get(view.path).await?,
        })
    })?;

    if matches.opt_present("json") {
        println!("{answer:#}");
    } else {
        println!("{}", table(view, &answer));
    }

    Ok(())
}

fn table(view: &OperatorView, answer: &Value) -> String {
    let single = vec![answer.clone()];
    let rows = view.rows.and_then(|rows| answer[rows].as_array()).unwrap_or(&single);
    let mut builder = Builder::default();
    builder.push_record(view.columns.iter().copied());

    for row in rows {
        builder.push_record(view.columns.iter().map(|column| cell_text(&row[*column])));
    }

    builder.build().with(tabled::settings::Style::blank()).to_string()
}

fn cell_text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => fields.values().map(cell_text).collect::<Vec<String>>().join("/"),
        Value::Array(rows) => rows.iter().map(slot_text).collect::<Vec<String>>().join(" "),
        value => value.to_string(),
    }
}

/// An upstream of a cell as `name in_flight/window`.
fn slot_text(slot: &Value) -> String {
    let name = slot["upstream"].as_str().unwrap_or_default();
    let mark = if slot["is_serving"] == true { "" } else { "!" };
    format!("{name}{mark} {}/{}", slot["in_flight"], slot["window"])
}
