//! Entry point of the daemon, `ragwortknotd`: reads the settings, starts logging and the host, and handles signals.

use std::process::ExitCode;

use getopts::Options;
use tokio::{
    runtime::Runtime,
    signal::unix::{SignalKind, signal},
};

use crate::{
    Node, NodeSettings,
    process::node_log::{LogSink, start_log},
};

/// Exit code for invalid arguments or settings.
const USAGE_EXIT_CODE: u8 = 2;

/// Runs `ragwortknotd` with the arguments that follow the program name, until the host has drained.
pub fn run_daemon(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.reqopt("c", "config", "settings file", "FILE");
    options.optflag("", "check", "validate the settings file and exit");

    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("error: {error}\n{}", options.usage("ragwortknotd -c FILE [--check]"));
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };

    let file = matches.opt_str("config").unwrap_or_default();

    let settings = match NodeSettings::load(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(USAGE_EXIT_CODE);
        }
    };

    if matches.opt_present("check") {
        println!("{file}: ok");
        return ExitCode::SUCCESS;
    }

    let _log = start_log(
        settings.host.as_str(),
        settings.region.as_str(),
        &settings.log_filter,
        LogSink::Stderr,
    );
    abort_on_panic();

    match Runtime::new().map_err(eyre::Report::from).and_then(|it| it.block_on(serve(settings))) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log::error!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

/// Installs a hook that logs a panic and aborts the process. A panic means that an invariant is broken, and a process
/// that goes on could give wrong answers.
pub fn abort_on_panic() {
    let default_hook = std::panic::take_hook();

    std::panic::set_hook(Box::new(move |panic| {
        log::error!("an invariant is broken: {panic}");
        default_hook(panic);
        std::process::abort();
    }));
}

/// Runs a host until it has drained, which SIGTERM, SIGINT or an operator starts.
async fn serve(settings: NodeSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings).await?;

    let signalled_node = std::sync::Arc::clone(&node);

    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => (),
            _ = interrupt.recv() => (),
        }
        signalled_node.request_drain();
    });

    node.run().await;
    Ok(())
}
