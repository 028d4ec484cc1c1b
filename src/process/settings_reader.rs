//! Typed access to the values of an INI settings file. Unknown sections and keys are errors, so that a misspelt key
//! isn't silently ignored.

use std::{fs, str::FromStr, sync::Arc};

use ini::Ini;

use crate::{
    SettingsError,
    process::setting_unit::{parse_duration, parse_rate, parse_size},
};

/// A key that a settings file may contain. `SETTING_KEYS` in `node_settings.rs` lists all of them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingKey {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    /// Description of a valid value, used in errors and in docs/SETTINGS.md.
    pub(crate) expected: &'static str,
    /// Value that is used if the key is absent. A key without a default is required.
    pub(crate) default: Option<&'static str>,
}

/// A parsed settings file.
#[derive(Debug)]
pub(crate) struct SettingsReader {
    file: Arc<str>,
    ini: Ini,
}

impl SettingsReader {
    /// Reads a file, and checks that it contains no key but the given ones.
    pub(crate) fn open(path: &str, keys: &[SettingKey]) -> Result<Self, SettingsError> {
        let file: Arc<str> = path.into();

        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            file: Arc::clone(&file),
            reason: error.to_string(),
        })?;

        Self::parse(&file, &text, keys)
    }

    /// Parses the text of `file`, and checks that it contains no key but the given ones.
    pub(crate) fn parse(
        file: &Arc<str>,
        text: &str,
        keys: &[SettingKey],
    ) -> Result<Self, SettingsError> {
        let ini = Ini::load_from_str_noescape(text).map_err(|error| SettingsError::Syntax {
            file: Arc::clone(file),
            reason: error.to_string(),
        })?;

        let reader = Self { file: Arc::clone(file), ini };
        reader.check_keys(keys)?;
        Ok(reader)
    }

    pub(crate) fn duration(&self, key: SettingKey) -> Result<std::time::Duration, SettingsError> {
        self.read(key, parse_duration)
    }

    pub(crate) fn file(&self) -> &Arc<str> {
        &self.file
    }

    pub(crate) fn parsed<T: FromStr>(&self, key: SettingKey) -> Result<T, SettingsError> {
        self.read(key, |text| text.parse().ok())
    }

    pub(crate) fn rate(&self, key: SettingKey) -> Result<u32, SettingsError> {
        self.read(key, parse_rate)
    }

    pub(crate) fn size(&self, key: SettingKey) -> Result<u64, SettingsError> {
        self.read(key, parse_size)
    }

    pub(crate) fn text(&self, key: SettingKey) -> Result<Arc<str>, SettingsError> {
        self.read(key, |text| (!text.is_empty()).then(|| text.into()))
    }

    fn check_keys(&self, keys: &[SettingKey]) -> Result<(), SettingsError> {
        for (section, properties) in &self.ini {
            let section = section.unwrap_or_default();
            let section_keys: Vec<&SettingKey> =
                keys.iter().filter(|it| it.section == section).collect();

            // The INI parser also yields an empty section without a name, for keys before the first section.
            if section_keys.is_empty() && (!section.is_empty() || !properties.is_empty()) {
                let mut sections: Vec<&str> = keys.iter().map(|it| it.section).collect();
                sections.dedup();

                return Err(SettingsError::UnknownSection {
                    file: Arc::clone(&self.file),
                    section: section.into(),
                    expected: sections.join(", "),
                });
            }

            if let Some((name, _)) =
                properties.iter().find(|(name, _)| !section_keys.iter().any(|it| it.name == *name))
            {
                let names: Vec<&str> = section_keys.iter().map(|it| it.name).collect();

                return Err(SettingsError::UnknownKey {
                    file: Arc::clone(&self.file),
                    key: format!("[{section}] {name}"),
                    expected: names.join(", "),
                });
            }
        }

        Ok(())
    }

    /// Parses the value of a key, or its default.
    fn read<T>(
        &self,
        key: SettingKey,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let value = self.ini.get_from(Some(key.section), key.name).map(str::trim);

        let Some(text) = value.or(key.default) else {
            return Err(SettingsError::Missing {
                file: Arc::clone(&self.file),
                key: key.to_string(),
                expected: key.expected,
            });
        };

        parse(text).ok_or_else(|| SettingsError::Value {
            file: Arc::clone(&self.file),
            key: key.to_string(),
            value: text.into(),
            expected: key.expected,
        })
    }
}

impl std::fmt::Display for SettingKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter) -> std::fmt::Result {
        write!(formatter, "[{}] {}", self.section, self.name)
    }
}
