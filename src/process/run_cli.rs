//! The command line: one subcommand a module.

use std::process::ExitCode;

use crate::{CliError, process::subcommand};

/// Exit code of a wrong command line.
const USAGE_EXIT: u8 = 2;

const USAGE: &str = "Usage: ragwortknot SUBCOMMAND [OPTIONS]

  local      run the whole path in this process, stand-ins included
  config     read or patch the configuration
  programs   list the programs of a host
  upstreams  list the upstreams
  shards     list the shards and their owners
  cells      list the cells that a host dispatches for
  hosts      list the hosts as one of them sees them
  drain      ask a host to hand over and stop
  audit      verify decision journals, and explain an order
  trace      follow one id through the logs of several hosts
  keys       make keys and certificates for a trial
  check      check settings files
  bench      run a benchmark

ragwortknot SUBCOMMAND --help tells more.";

/// Runs `ragwortknot` with the arguments after the program's name.
pub fn run_cli(arguments: &[String]) -> ExitCode {
    let Some((name, rest)) = arguments.split_first() else {
        eprintln!("{USAGE}");
        return ExitCode::from(USAGE_EXIT);
    };

    if matches!(name.as_str(), "-h" | "--help" | "help") {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }

    match subcommand::run(name, rest) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(CliError::Usage(text)) => {
            eprintln!("error: {text}");
            ExitCode::from(USAGE_EXIT)
        }
        Err(CliError::Failed(report)) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}
