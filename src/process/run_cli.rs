//! Entry point of the operators' command line, `ragwortknot`.

use std::process::ExitCode;

use crate::{CliError, process::subcommand};

/// Exit code for invalid arguments.
const USAGE_EXIT_CODE: u8 = 2;

const USAGE: &str = "Usage: ragwortknot SUBCOMMAND [OPTIONS]

  local      run a cluster with stand-in engines in this process
  config     read or patch the configuration
  programs   list the programs of a host
  upstreams  list the upstreams
  shards     list the shards and their owners
  cells      list the cells that a host dispatches for
  hosts      list the hosts that a host knows, with their status
  drain      make a host hand over its shards and stop
  audit      verify decision journals and compare two programs
  trace      print the log lines of several hosts that contain an id
  keys       generate keys and certificates for testing
  check      validate settings files
  bench      run a benchmark

Run ragwortknot SUBCOMMAND --help for its options.";

/// Runs `ragwortknot` with the arguments that follow the program name.
pub fn run_cli(arguments: &[String]) -> ExitCode {
    let Some((name, arguments)) = arguments.split_first() else {
        eprintln!("{USAGE}");
        return ExitCode::from(USAGE_EXIT_CODE);
    };

    if matches!(name.as_str(), "-h" | "--help" | "help") {
        println!("{USAGE}");
        return ExitCode::SUCCESS;
    }

    match subcommand::run(name, arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Help(text)) => {
            println!("{text}");
            ExitCode::SUCCESS
        }
        Err(CliError::Usage(text)) => {
            eprintln!("error: {text}");
            ExitCode::from(USAGE_EXIT_CODE)
        }
        Err(CliError::Failed(report)) => {
            eprintln!("error: {report:#}");
            ExitCode::FAILURE
        }
    }
}
