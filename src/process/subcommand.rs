//! Subcommands of the command line, one module each.

mod audit;
mod bench;
mod check;
mod config;
mod keys;
mod local;
mod operator;
mod trace;

use getopts::{Matches, Options};

use crate::CliError;

/// Runs the subcommand with the given name.
pub(crate) fn run(name: &str, arguments: &[String]) -> Result<(), CliError> {
    match name {
        "audit" => audit::run(arguments),
        "bench" => bench::run(arguments),
        "cells" => operator::run(&operator::CELLS, arguments),
        "check" => check::run(arguments),
        "config" => config::run(arguments),
        "drain" => operator::run(&operator::DRAIN, arguments),
        "hosts" => operator::run(&operator::HOSTS, arguments),
        "keys" => keys::run(arguments),
        "local" => local::run(arguments),
        "programs" => operator::run(&operator::PROGRAMS, arguments),
        "shards" => operator::run(&operator::SHARDS, arguments),
        "trace" => trace::run(arguments),
        "upstreams" => operator::run(&operator::UPSTREAMS, arguments),
        _ => Err(CliError::Usage(format!("there is no subcommand {name}; try --help"))),
    }
}

/// Parses the arguments of a subcommand, whose options are extended by `--help`.
fn parse(mut options: Options, brief: &str, arguments: &[String]) -> Result<Matches, CliError> {
    options.optflag("h", "help", "print this help");
    let matches = options.parse(arguments).map_err(|error| CliError::Usage(error.to_string()))?;

    if matches.opt_present("help") {
        return Err(CliError::Help(options.usage(brief)));
    }

    Ok(matches)
}

/// Runs a future to completion on a new Tokio runtime.
fn block_on<T>(future: impl Future<Output = Result<T, CliError>>) -> Result<T, CliError> {
    tokio::runtime::Runtime::new()?.block_on(future)
}
