//! Command lines of the stand-ins.

use {
    crate::{
        EngineOptions, EngineService, EngineTimings, HostEntry, PlatformService, StandinServer,
        ToolService,
    },
    axum::Router,
    getopts::{Matches, Options},
    std::{env, process::ExitCode, sync::Arc, time::Duration},
};

/// Exit code of a wrong command line.
const USAGE_EXIT: u8 = 2;

const PLATFORM_FAULTS: &str = "Faults, by POST /faults with a JSON object; what is left out is off:
  down          every call is answered 503 and has no effect
  delay_ms      delay before each call takes effect
  lose_answers  the next N writes take effect and are answered 504";

const ENGINE_FAULTS: &str = "Faults, by POST /faults with a JSON object; what is left out is off:
  leaving           every request is answered 503
  hang              requests are accepted and never answered
  crash_on          a request that holds this word ends the process
  cut_after_tokens  streams are cut after N tokens
  delay_ms          delay before the first token";

const TOOL_FAULTS: &str = "Faults, by POST /faults with a JSON object; what is left out is off:
  hang          calls take effect and are never answered
  lose_answers  calls take effect and are answered 504
  down          calls are answered 503 and have no effect
  delay_ms      delay before a call takes effect";

fn base_options() -> Options {
    let mut options = Options::new();
    options.optopt("l", "listen", "address to listen on, with port 0 for any", "ADDR");
    options.optflag("h", "help", "print this help and the faults");
    options
}

fn parse(options: &Options, brief: &str, faults: &str) -> Result<Matches, ExitCode> {
    let matches = options.parse(env::args().skip(1)).map_err(|error| {
        eprintln!("error: {error}");
        ExitCode::from(USAGE_EXIT)
    })?;

    if matches.opt_present("help") {
        println!("{}\n{faults}", options.usage(brief));
        return Err(ExitCode::SUCCESS);
    }

    Ok(matches)
}

fn number(matches: &Matches, name: &str, default: u64) -> u64 {
    matches.opt_str(name).and_then(|text| text.parse().ok()).unwrap_or(default)
}

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

/// Runs the stand-in engine until it is interrupted.
pub async fn run_engine() -> ExitCode {
    let mut options = base_options();
    options.optopt("", "name", "name that load reports carry", "NAME");
    options.optopt("", "slots", "requests that run at once (8)", "N");
    options.optopt("", "cache-tokens", "memory for prefixes (200000)", "N");
    options.optopt("", "prefill-us", "time for each token that is not cached (20)", "MICROSECONDS");
    options.optopt("", "decode-us", "time between two tokens (2000)", "MICROSECONDS");
    options.optflag("", "ignore-fencing", "take orders with old fencing numbers");

    let matches = match parse(&options, "standin-engine --listen ADDR", ENGINE_FAULTS) {
        Ok(matches) => matches,
        Err(code) => return code,
    };

    let engine = EngineService::new(EngineOptions {
        name: matches.opt_str("name").unwrap_or_else(|| "engine".into()),
        slots: number(&matches, "slots", 8) as usize,
        cache_tokens: number(&matches, "cache-tokens", 200_000),
        timings: EngineTimings {
            prefill_per_token: Duration::from_micros(number(&matches, "prefill-us", 20)),
            decode_per_token: Duration::from_micros(number(&matches, "decode-us", 2_000)),
        },
        checks_fencing: !matches.opt_present("ignore-fencing"),
        exits_on_crash: true,
    });

    serve(&matches, Arc::new(engine).router()).await
}

/// Runs the stand-in platform until it is interrupted.
pub async fn run_platform() -> ExitCode {
    let mut options = base_options();
    options.optmulti(
        "",
        "host",
        "a host of the list; may be given again",
        "NAME,REGION,PEER_ADDRESS",
    );

    let matches = match parse(&options, "standin-platform --listen ADDR", PLATFORM_FAULTS) {
        Ok(matches) => matches,
        Err(code) => return code,
    };

    let platform = Arc::new(PlatformService::default());

    for host in matches.opt_strs("host") {
        let parts: Vec<&str> = host.split(',').collect();

        let [name, region, peer_address] = parts[..] else {
            eprintln!("error: --host {host}: expected NAME,REGION,PEER_ADDRESS");
            return ExitCode::from(USAGE_EXIT);
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

/// Runs the stand-in tool service until it is interrupted.
pub async fn run_tool() -> ExitCode {
    match parse(&base_options(), "standin-tool --listen ADDR", TOOL_FAULTS) {
        Ok(matches) => serve(&matches, Arc::new(ToolService::default()).router()).await,
        Err(code) => code,
    }
}
