//! Runs the stand-in engine as a separate process. `--help` lists the faults that it can inject.

use std::process::ExitCode;

#[tokio::main]
async fn main() -> ExitCode {
    ragwortknot_standins::run_engine().await
}
