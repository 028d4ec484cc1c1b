//! The daemon: settings, log, host, signals.

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

/// Exit code of a wrong command line or settings file.
const USAGE_EXIT: u8 = 2;

/// Runs `ragwortknotd` with the arguments after the program's name, until the host has drained.
pub fn run_daemon(arguments: &[String]) -> ExitCode {
    let mut options = Options::new();
    options.reqopt("c", "config", "settings file", "FILE");
    options.optflag("", "check", "only check the settings file");

    let matches = match options.parse(arguments) {
        Ok(matches) => matches,
        Err(error) => {
            eprintln!("error: {error}\n{}", options.usage("ragwortknotd -c FILE [--check]"));
            return ExitCode::from(USAGE_EXIT);
        }
    };

    let file = matches.opt_str("config").unwrap_or_default();

    let settings = match NodeSettings::load(&file) {
        Ok(settings) => settings,
        Err(error) => {
            eprintln!("error: {error}");
            return ExitCode::from(USAGE_EXIT);
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

/// A panic means that an invariant is broken; going on could serve wrong answers.
pub fn abort_on_panic() {
    let default = std::panic::take_hook();

    std::panic::set_hook(Box::new(move |panic| {
        log::error!("an invariant is broken: {panic}");
        default(panic);
        std::process::abort();
    }));
}

async fn serve(settings: NodeSettings) -> eyre::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    let node = Node::start(settings).await?;

    let watched = std::sync::Arc::clone(&node);

    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => (),
            _ = interrupt.recv() => (),
        }
        watched.request_drain();
    });

    node.run().await;
    Ok(())
}
