//! Errors of a settings file.

use std::sync::Arc;

use derive_more::Display;

/// Why a settings file is rejected. Each message is one line that names the file, the key, and what is expected.
#[derive(Clone, Debug, Display, Eq, PartialEq, derive_more::Error)]
pub(crate) enum SettingsError {
    #[display("{file}: can't be read: {reason}")]
    Unreadable { file: Arc<str>, reason: String },
    #[display("{file}: not an INI file: {reason}")]
    Syntax { file: Arc<str>, reason: String },
    #[display("{file}: [{section}]: unknown section; expected one of {expected}")]
    UnknownSection { file: Arc<str>, section: String, expected: String },
    #[display("{file}: {key}: unknown key; expected one of {expected}")]
    UnknownKey { file: Arc<str>, key: String, expected: String },
    #[display("{file}: {key}: missing; expected {expected}")]
    Missing { file: Arc<str>, key: String, expected: &'static str },
    #[display("{file}: {key} = {value}: expected {expected}")]
    Value { file: Arc<str>, key: String, value: String, expected: &'static str },
    #[display("{file}: {key} = {value}: {other} has the same address")]
    DuplicateAddress { file: Arc<str>, key: String, value: String, other: String },
    #[display("{file}: {key} = {value}: the file can't be read: {reason}")]
    KeyFile { file: Arc<str>, key: String, value: String, reason: String },
}
