//! `ragwortknot bench`: benchmarks.

use getopts::Options;

use crate::CliError;

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let matches = super::parse(Options::new(), "Usage: ragwortknot bench NAME", arguments)?;
    let name = matches.free.first().map_or("", String::as_str);
    Err(CliError::Usage(format!("bench: there is no benchmark {name:?}")))
}
