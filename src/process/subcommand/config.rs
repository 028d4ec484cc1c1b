//! `ragwortknot config`: reads and patches the configuration.

use std::io::Read;

use getopts::{Matches, Options};

use crate::CliError;

const BRIEF: &str = "Usage: ragwortknot config get --url URL
       ragwortknot config patch --url URL --number N FILE   (- for standard input)
       ragwortknot config history --url URL [--after N]";

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let mut options = Options::new();
    super::operator::add_options(&mut options);
    options.optopt("n", "number", "number of the configuration that the patch is based on", "N");
    options.optopt("", "after", "print only entries with a higher number", "N");
    let matches = super::parse(options, BRIEF, arguments)?;

    match matches.free.first().map(String::as_str) {
        Some("get") => print_config(&matches),
        Some("patch") => apply_patch(&matches),
        Some("history") => print_history(&matches),
        _ => Err(CliError::Usage("config: expected get, patch or history".into())),
    }
}

fn print_config(matches: &Matches) -> Result<(), CliError> {
    let client = super::operator::operator_client(matches)?;
    let response = super::block_on(async { Ok(client.get("/admin/v1/config").await?) })?;

    if !matches.opt_present("json") {
        println!("number {}", response["number"]);
    }

    println!("{:#}", if matches.opt_present("json") { &response } else { &response["config"] });
    Ok(())
}

fn apply_patch(matches: &Matches) -> Result<(), CliError> {
    let client = super::operator::operator_client(matches)?;

    let number = matches.opt_get::<u64>("number").ok().flatten().ok_or_else(|| {
        CliError::Usage(
            "config patch: expected --number with the number of the current configuration".into(),
        )
    })?;

    let file = matches.free.get(1).ok_or_else(|| {
        CliError::Usage("config patch: expected a file with a JSON merge patch".into())
    })?;

    let body = read_patch(file)?;

    let response =
        super::block_on(async { Ok(client.patch("/admin/v1/config", number, body).await?) })?;

    if matches.opt_present("json") {
        println!("{response:#}");
    } else {
        println!("accepted as number {}", response["number"]);
    }

    Ok(())
}

fn print_history(matches: &Matches) -> Result<(), CliError> {
    let client = super::operator::operator_client(matches)?;
    let after = matches.opt_get_default::<u64>("after", 0).unwrap_or(0);
    let path = format!("/admin/v1/config/history?after={after}");
    let response = super::block_on(async { Ok(client.get(&path).await?) })?;

    if matches.opt_present("json") {
        println!("{response:#}");
        return Ok(());
    }

    for entry in response["entries"].as_array().into_iter().flatten() {
        println!("{} at {} ms: {}", entry["number"], entry["at_ms"], entry["patch"]);
    }

    Ok(())
}

/// Reads a file, or standard input if `file` is `-`.
fn read_patch(file: &str) -> Result<String, CliError> {
    if file != "-" {
        let text = std::fs::read_to_string(file);
        return text.map_err(|error| CliError::Usage(format!("{file}: {error}")));
    }

    let mut text = String::new();
    std::io::stdin().read_to_string(&mut text)?;
    Ok(text)
}
