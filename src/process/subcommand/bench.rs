//! `ragwortknot bench`: benchmarks.

use getopts::{Matches, Options};
use serde::Serialize;

use crate::{
    CliError,
    benches::{
        overhead_bench::measure_overhead,
        policy_bench::{plot_svg, run_all_scenarios},
        slope_bench::measure_slopes,
    },
};

const BRIEF: &str = "Usage: ragwortknot bench NAME [--json] [--plot FILE] [--seed N]

  policy    the dispatch policy against baselines, in virtual time
  overhead  what a host adds to an answer, against the engine itself
  slopes    what each mechanism costs, for docs/CAPACITY.md";

/// Seed of the figures in docs/BENCHMARKS.md.
const FIRST_SEED: u64 = 1;

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optflag("", "json", "print the figures alone, as JSON");
    options.optopt("", "plot", "write a plot (policy)", "FILE.svg");
    options.optopt("", "seed", "seed of the programs (policy; 1)", "N");
    let matches = super::parse(options, BRIEF, arguments)?;

    match matches.free.first().map(String::as_str) {
        Some("policy") => policy(&matches),
        Some("overhead") => {
            let figures = super::block_on(async { Ok(measure_overhead().await?) })?;
            print_json(&figures)
        }
        Some("slopes") => slopes(&matches),
        _ => Err(CliError::Usage("bench: expected policy, overhead or slopes".into())),
    }
}

fn progress(matches: &Matches) -> impl Fn(&str) {
    let is_quiet = matches.opt_present("json");

    move |step| {
        if !is_quiet {
            eprintln!("{step}");
        }
    }
}

fn policy(matches: &Matches) -> Result<(), CliError> {
    let seed = matches
        .opt_get_default("seed", FIRST_SEED)
        .map_err(|error| CliError::Usage(format!("bench: --seed is a whole number: {error}")))?;
    let report = run_all_scenarios(seed, progress(matches));

    if let Some(file) = matches.opt_str("plot") {
        std::fs::write(file, plot_svg(&report)?)?;
    }

    if matches.opt_present("json") {
        return print_json(&report);
    }

    println!("{}", report.table());
    Ok(())
}

fn slopes(matches: &Matches) -> Result<(), CliError> {
    let report = measure_slopes(progress(matches));

    if matches.opt_present("json") {
        return print_json(&report);
    }

    println!("{}", report.table());
    Ok(())
}

fn print_json(figures: &impl Serialize) -> Result<(), CliError> {
    let text = serde_json::to_string_pretty(figures);
    println!("{}", text.map_err(|error| CliError::Failed(error.into()))?);
    Ok(())
}
