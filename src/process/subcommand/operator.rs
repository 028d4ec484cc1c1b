//! Subcommands that send one request to the operators' API and print the response as a table.

use getopts::{Matches, Options};
use serde_json::Value;
use tabled::builder::Builder;

use crate::{CliError, OperatorClient};

/// Subcommand that prints the response of one path as a table.
pub(super) struct OperatorView {
    /// Name of the subcommand.
    name: &'static str,
    path: &'static str,
    /// Field of the response that holds the rows. Without one, the response itself is the only row.
    rows: Option<&'static str>,
    /// Fields of a row, in the order of the columns.
    columns: &'static [&'static str],
    /// Whether the request is a POST rather than a GET.
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

/// Adds the options that all subcommands of the operators' API share.
pub(super) fn add_options(options: &mut Options) {
    options.optopt("u", "url", "operators' address of a host", "http://IP:PORT");
    options.optopt("k", "key", "operators' key (default: RAGWORTKNOT_KEY)", "KEY");
    options.optflag("", "json", "print JSON");
}

/// Creates a client from the shared options, or from `RAGWORTKNOT_KEY` if no key is given.
pub(super) fn operator_client(matches: &Matches) -> Result<OperatorClient, CliError> {
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
    let client = operator_client(&matches)?;

    let response = super::block_on(async {
        Ok(match view.is_post {
            true => client.post(view.path).await?,
            false => client.get(view.path).await?,
        })
    })?;

    if matches.opt_present("json") {
        println!("{response:#}");
    } else {
        println!("{}", format_table(view, &response));
    }

    Ok(())
}

fn format_table(view: &OperatorView, response: &Value) -> String {
    let single_row = vec![response.clone()];
    let rows = view.rows.and_then(|rows| response[rows].as_array()).unwrap_or(&single_row);
    let mut builder = Builder::default();
    builder.push_record(view.columns.iter().copied());

    for row in rows {
        builder.push_record(view.columns.iter().map(|column| value_text(&row[*column])));
    }

    builder.build().with(tabled::settings::Style::blank()).to_string()
}

/// Formats a field of a row. The fields of an object are joined by slashes; an array lists upstreams.
fn value_text(value: &Value) -> String {
    match value {
        Value::Null => "-".into(),
        Value::String(text) => text.clone(),
        Value::Object(fields) => fields.values().map(value_text).collect::<Vec<String>>().join("/"),
        Value::Array(rows) => rows.iter().map(upstream_text).collect::<Vec<String>>().join(" "),
        value => value.to_string(),
    }
}

/// Formats an upstream of a cell as `name in_flight/window`. A `!` after the name means that it isn't serving.
fn upstream_text(upstream: &Value) -> String {
    let name = upstream["upstream"].as_str().unwrap_or_default();
    let mark = if upstream["is_serving"] == true { "" } else { "!" };
    format!("{name}{mark} {}/{}", upstream["in_flight"], upstream["window"])
}
