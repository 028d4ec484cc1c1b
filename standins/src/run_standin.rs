//! Command-line interfaces of the stand-ins.

use {
    crate::{
        EngineOptions, EngineService, EngineTimings, HostEntry, PlatformService, StandinServer,
        ToolService,
    },
    axum::Router,
    getopts::{Matches, Options},
    std::{env, process::ExitCode, sync::Arc, time::Duration},
};

/// Exit code for an invalid command line.
const USAGE_EXIT_CODE: u8 = 2;

const PLATFORM_FAULTS_HELP: &str =
    "Faults, set by POST /faults with a JSON object; omitted fields are off:
  down          every call is answered with 503 and has no effect
  delay_ms      delay before each call takes effect, in milliseconds
  lose_answers  the next N PUTs take effect and are answered with 504";

const ENGINE_FAULTS_HELP: &str =
    "Faults, set by POST /faults with a JSON object; omitted fields are off:
  leaving           chat requests and health checks are answered with 503
  hang              chat requests are accepted and never answered
  crash_on          a chat request whose body contains this text ends the process
  cut_after_tokens  responses break off after N tokens
  delay_ms          extra delay before the first token, in milliseconds";

const TOOL_FAULTS_HELP: &str =
    "Faults, set by POST /faults with a JSON object; omitted fields are off:
  hang          calls take effect and are never answered
  lose_answers  calls take effect and are answered with 504
  down          calls are answered with 503 and have no effect
  delay_ms      delay before a call takes effect, in milliseconds";

fn common_options() -> Options {
    let mut options = Options::new();
    options.optopt("l", "listen", "address to listen on; port 0 picks a free port", "ADDR");
    options.optflag("h", "help", "print this help and the faults");
    options
}

/// Parses the command line. The error is the exit code after `--help` or an invalid command line.
fn parse_command_line(
    options: &Options,
    usage: &str,
    faults_help: &str,
) -> Result<Matches, ExitCode> {
    let matches = options.parse(env::args().skip(1)).map_err(|error| {
        eprintln!("error: {error}");
        ExitCode::from(USAGE_EXIT_CODE)
    })?;

    if matches.opt_present("help") {
        println!("{}\n{faults_help}", options.usage(usage));
        return Err(ExitCode::SUCCESS);
    }

    Ok(matches)
}

/// Value of a numeric option, or `default` if it is missing or not a number.
fn number_option(matches: &Matches, name: &str, default: u64) -> u64 {
    matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default)
}

/// Serves until SIGINT, and returns the exit code.
async fn serve(matches: &Matches, router: Router) -> ExitCode {
    let address = matches.opt_str("listen").unwrap_or_else(|| "127.0.0.1:0".into());

    match StandinServer::start(&address, router).await {
        Ok(server) => {
            println!("listening on {}", server.address());
            let _ = tokio::signal::ctrl_c().await;
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("error: cannot listen on {address}: {error}");
            ExitCode::FAILURE
        }
    }
}

/// Runs the stand-in engine until SIGINT.
pub async fn run_engine() -> ExitCode {
    let mut options = common_options();
    options.optopt("", "name", "name in the load report", "NAME");
    options.optopt("", "slots", "concurrent requests (default 8)", "N");
    options.optopt(
        "",
        "cache-tokens",
        "capacity of the prefix cache, in tokens (default 200000)",
        "N",
    );
    options.optopt(
        "",
        "prefill-us",
        "prefill time of each prompt token that is not cached (default 20)",
        "MICROSECONDS",
    );
    options.optopt(
        "",
        "decode-us",
        "time between two generated tokens (default 2000)",
        "MICROSECONDS",
    );
    options.optflag("", "ignore-fencing", "accept orders with old fencing numbers");

    let matches =
        match parse_command_line(&options, "standin-engine --listen ADDR", ENGINE_FAULTS_HELP) {
            Ok(matches) => matches,
            Err(exit_code) => return exit_code,
        };

    let engine = EngineService::new(EngineOptions {
        name: matches.opt_str("name").unwrap_or_else(|| "engine".into()),
        slots: number_option(&matches, "slots", 8) as usize,
        cache_tokens: number_option(&matches, "cache-tokens", 200_000),
        timings: EngineTimings {
            prefill_per_token: Duration::from_micros(number_option(&matches, "prefill-us", 20)),
            decode_per_token: Duration::from_micros(number_option(&matches, "decode-us", 2_000)),
        },
        checks_fencing: !matches.opt_present("ignore-fencing"),
        exits_on_crash: true,
    });

    serve(&matches, Arc::new(engine).router()).await
}

/// Runs the stand-in platform until SIGINT.
pub async fn run_platform() -> ExitCode {
    let mut options = common_options();
    options.optmulti(
        "",
        "host",
        "host on the platform's list; may be repeated",
        "NAME,REGION,PEER_ADDRESS",
    );

    let matches = match parse_command_line(
        &options,
        "standin-platform --listen ADDR",
        PLATFORM_FAULTS_HELP,
    ) {
        Ok(matches) => matches,
        Err(exit_code) => return exit_code,
    };

    let platform = Arc::new(PlatformService::default());

    for host in matches.opt_strs("host") {
        let parts: Vec<&str> = host.split(',').collect();

        let [name, region, peer_address] = parts[..] else {
            eprintln!("error: --host {host}: expected NAME,REGION,PEER_ADDRESS");
            return ExitCode::from(USAGE_EXIT_CODE);
        };

        platform.set_host(HostEntry {
            name: name.into(),
            region: region.into(),
            peer_address: peer_address.into(),
            is_leaving: false,
        });
    }

    serve(&matches, platform.router()).await
}

/// Runs the stand-in tool service until SIGINT.
pub async fn run_tool() -> ExitCode {
    match parse_command_line(&common_options(), "standin-tool --listen ADDR", TOOL_FAULTS_HELP) {
        Ok(matches) => serve(&matches, Arc::new(ToolService::default()).router()).await,
        Err(exit_code) => exit_code,
    }
}
