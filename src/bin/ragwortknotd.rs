//! Daemon that runs a host. See docs/OPERATIONS.md.

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    ragwortknot::run_daemon(&arguments)
}
