//! Typed reading of an INI file, which remembers what it was asked for, so that unknown keys are found.

use std::{fs, str::FromStr, sync::Arc};

use ini::Ini;

use crate::{
    SettingsError,
    process::setting_unit::{parse_duration, parse_rate, parse_size},
};

/// A key that a settings file may hold. The list of all of them is in `node_settings.rs`.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SettingKey {
    pub(crate) section: &'static str,
    pub(crate) name: &'static str,
    /// What a value has to be, as errors and the reference say it.
    pub(crate) expected: &'static str,
    /// Value in force where the file has none; without one, the key has to be there.
    pub(crate) default: Option<&'static str>,
}

/// A settings file that is being read.
#[derive(Debug)]
pub(crate) struct SettingsReader {
    file: Arc<str>,
    ini: Ini,
}

impl SettingsReader {
    /// Opens a file and checks that it holds none but the keys given.
    pub(crate) fn open(path: &str, keys: &[SettingKey]) -> Result<Self, SettingsError> {
        let file: Arc<str> = path.into();

        let text = fs::read_to_string(path).map_err(|error| SettingsError::Unreadable {
            file: Arc::clone(&file),
            reason: error.to_string(),
        })?;

        Self::parse(&file, &text, keys)
    }

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
            let known: Vec<&SettingKey> = keys.iter().filter(|it| it.section == section).collect();

            if known.is_empty() && (!section.is_empty() || !properties.is_empty()) {
                let mut sections: Vec<&str> = keys.iter().map(|it| it.section).collect();
                sections.dedup();

                return Err(SettingsError::UnknownSection {
                    file: Arc::clone(&self.file),
                    section: section.into(),
                    expected: sections.join(", "),
                });
            }

            if let Some((name, _)) =
                properties.iter().find(|(name, _)| !known.iter().any(|it| it.name == *name))
            {
                let names: Vec<&str> = known.iter().map(|it| it.name).collect();

                return Err(SettingsError::UnknownKey {
                    file: Arc::clone(&self.file),
                    key: format!("[{section}] {name}"),
                    expected: names.join(", "),
                });
            }
        }

        Ok(())
    }

    fn read<T>(
        &self,
        key: SettingKey,
        parse: impl Fn(&str) -> Option<T>,
    ) -> Result<T, SettingsError> {
        let found = self.ini.get_from(Some(key.section), key.name).map(str::trim);

        let Some(text) = found.or(key.default) else {
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
