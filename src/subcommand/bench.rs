//! `ragwortknot bench`: benchmarks.

use getopts::{Matches, Options};

use crate::{
    CliError,
    policy_bench::{plot_svg, run_all},
};

const BRIEF: &str = "Usage: ragwortknot bench policy [--json] [--plot FILE]

  policy  the dispatch policy against baselines, in virtual time";

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    options.optflag("", "json", "print the figures alone, as JSON");
    options.optopt("", "plot", "write a plot", "FILE.svg");
    let matches = super::parse(options, BRIEF, arguments)?;

    match matches.free.first().map(String::as_str) {
        Some("policy") => policy(&matches),
        _ => Err(CliError::Usage("bench: expected policy".into())),
    }
}

fn policy(matches: &Matches) -> Result<(), CliError> {
    let is_json = matches.opt_present("json");

    let report = run_all(|step| {
        if !is_json {
            eprintln!("{step}");
        }
    });

    if let Some(file) = matches.opt_str("plot") {
        std::fs::write(file, plot_svg(&report)?)?;
    }

    if is_json {
        let text = serde_json::to_string_pretty(&report);
        println!("{}", text.map_err(|error| CliError::Failed(error.into()))?);
    } else {
        println!("{}", report.table());
    }

    Ok(())
}
