//! `ragwortknot check`: validates settings files of hosts.

use getopts::Options;

use crate::{CliError, NodeSettings};

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let matches = super::parse(Options::new(), "Usage: ragwortknot check FILE...", arguments)?;

    if matches.free.is_empty() {
        return Err(CliError::Usage("check: expected settings files".into()));
    }

    for file in &matches.free {
        NodeSettings::load(file).map_err(|error| CliError::Usage(error.to_string()))?;
        println!("{file}: ok");
    }

    Ok(())
}
