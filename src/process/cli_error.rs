//! Errors of the command line.

/// Reason why a command stops before its work is complete. Each has its own exit code.
#[derive(Debug, derive_more::From)]
pub(crate) enum CliError {
    /// The arguments include `--help`. Holds the help text.
    #[from(skip)]
    Help(String),
    /// The arguments, or a file that they name, are invalid. Holds the message.
    #[from(skip)]
    Usage(String),
    /// The command ran and failed.
    Failed(eyre::Report),
}

impl From<std::io::Error> for CliError {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(error.into())
    }
}
