//! `ragwortknot bench`: runs a benchmark and prints its figures.

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

  policy    compare the dispatch policy with baselines, in virtual time
  overhead  measure the latency that a host adds to that of the engine
  slopes    measure how the cost of each mechanism grows with size, for docs/CAPACITY.md";

/// Default of `--seed`, also used for the figures in docs/BENCHMARKS.md.
const DEFAULT_SEED: u64 = 1;

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optflag("", "json", "print only the figures, as JSON");
    options.optopt("", "plot", "write a plot (policy)", "FILE.svg");
    options.optopt("", "seed", "seed of the programs (policy; 1)", "N");
    let matches = super::parse(options, BRIEF, arguments)?;

    match matches.free.first().map(String::as_str) {
        Some("policy") => run_policy_bench(&matches),
        Some("overhead") => {
            let figures = super::block_on(async { Ok(measure_overhead().await?) })?;
            print_json(&figures)
        }
        Some("slopes") => run_slope_bench(&matches),
        _ => Err(CliError::Usage("bench: expected policy, overhead or slopes".into())),
    }
}

/// Returns a function that prints the progress of a benchmark to standard error, unless `--json` is given.
fn progress_printer(matches: &Matches) -> impl Fn(&str) {
    let is_quiet = matches.opt_present("json");

    move |step| {
        if !is_quiet {
            eprintln!("{step}");
        }
    }
}

fn run_policy_bench(matches: &Matches) -> Result<(), CliError> {
    let seed = matches.opt_get_default("seed", DEFAULT_SEED).map_err(|error| {
        CliError::Usage(format!("bench: --seed must be a whole number: {error}"))
    })?;
    let report = run_all_scenarios(seed, progress_printer(matches));

    if let Some(file) = matches.opt_str("plot") {
        std::fs::write(file, plot_svg(&report)?)?;
    }

    if matches.opt_present("json") {
        return print_json(&report);
    }

    println!("{}", report.table());
    Ok(())
}

fn run_slope_bench(matches: &Matches) -> Result<(), CliError> {
    let report = measure_slopes(progress_printer(matches));

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
