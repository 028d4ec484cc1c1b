//! `ragwortknot keys`: generates keys and certificates for testing.

use std::path::Path;

use getopts::Options;

use crate::{CliError, membership::key_files::write_key_folder};

/// Hosts for which keys are generated if none are given: those of the settings files in `examples/`.
const EXAMPLE_HOSTS: [&str; 6] = ["ub-1", "ub-2", "dk-1", "dk-2", "er-1", "er-2"];

pub(super) fn run(arguments: &[String]) -> Result<(), CliError> {
    let brief = "Usage: ragwortknot keys FOLDER [HOST...]";
    let matches = super::parse(Options::new(), brief, arguments)?;

    let Some((folder, hosts)) = matches.free.split_first() else {
        return Err(CliError::Usage("keys: expected a folder".into()));
    };

    let hosts = match hosts {
        [] => EXAMPLE_HOSTS.map(ToOwned::to_owned).to_vec(),
        hosts => hosts.to_vec(),
    };

    write_key_folder(Path::new(folder), &hosts)?;
    println!("{folder}: keys of {}", hosts.join(", "));
    Ok(())
}
