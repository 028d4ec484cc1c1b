//! Ends of a command other than success.

/// Why a command ends early.
#[derive(Debug, derive_more::From)]
pub(crate) enum CliError {
    /// Help was asked for.
    #[from(skip)]
    Help(String),
    /// The command line is wrong.
    #[from(skip)]
    Usage(String),
    /// The command was tried and failed.
    Failed(eyre::Report),
}

impl From<std::io::Error> for CliError {
    fn from(error: std::io::Error) -> Self {
        Self::Failed(error.into())
    }
}
