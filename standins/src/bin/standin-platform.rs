//! Runs the stand-in platform as a separate process. `--help` lists the faults that it can inject.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    ragwortknot_standins::run_platform().await
}
