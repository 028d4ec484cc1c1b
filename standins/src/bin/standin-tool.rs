//! The stand-in tool as a process of its own; `--help` lists its faults.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    ragwortknot_standins::run_tool().await
}
