//! Settings of a host. docs/SETTINGS.md lists them, and a test checks that page against [`SETTING_KEYS`].

use std::{fs, net::SocketAddr, path::Path, sync::Arc, time::Duration};

use crate::{HostName, KeyFiles, RegionName, SettingKey, SettingsError, SettingsReader};

/// Settings of one host, as read from its settings file and the key files that it names.
#[derive(Clone, Debug)]
pub(crate) struct NodeSettings {
    pub(crate) host: HostName,
    pub(crate) region: RegionName,
    pub(crate) data_centre: Arc<str>,
    pub(crate) callers_address: SocketAddr,
    pub(crate) operators_address: SocketAddr,
    pub(crate) peers_address: SocketAddr,
    pub(crate) platform_url: Arc<str>,
    pub(crate) platform_timeout: Duration,
    pub(crate) platform_calls_per_second: u32,
    pub(crate) keys: KeyFiles,
    pub(crate) operator_key_hash: Arc<str>,
    pub(crate) receipt_key: Arc<str>,
    pub(crate) shard_count: u16,
    /// Appends per second that a busy shard makes to its log.
    pub(crate) append_rate: u32,
    pub(crate) heartbeat_interval: Duration,
    /// Time after which a suspected host is declared dead.
    pub(crate) suspect_after: Duration,
    pub(crate) host_list_interval: Duration,
    pub(crate) drain_timeout: Duration,
    /// How long a request waits for a record to be durable in the shard log (`commit_patience`).
    pub(crate) commit_timeout: Duration,
    /// Largest request body.
    pub(crate) body_limit_bytes: u64,
    /// Filter in the syntax of `env_logger`.
    pub(crate) log_filter: Arc<str>,
}

/// Defines a constant for each key, and a list of all of them.
macro_rules! setting_keys {
    ($($constant:ident = $section:literal $name:literal $expected:literal $default:expr;)*) => {
        $(const $constant: SettingKey = SettingKey {
            section: $section, name: $name, expected: $expected, default: $default,
        };)*

        /// All keys, in the order of docs/SETTINGS.md.
        pub(crate) const SETTING_KEYS: &[SettingKey] = &[$($constant),*];
    };
}

setting_keys! {
    HOST_NAME = "host" "name" "the name under which the platform lists this host" None;
    HOST_REGION = "host" "region" "the name of a region" None;
    HOST_DATA_CENTRE = "host" "data_centre" "the name of a data centre" None;
    LISTEN_CALLERS = "listen" "callers" "an address such as 127.0.0.1:7101" None;
    LISTEN_OPERATORS = "listen" "operators" "an address such as 127.0.0.1:7201" None;
    LISTEN_PEERS = "listen" "peers" "an address such as 127.0.0.1:7301" None;
    PLATFORM_URL = "platform" "url" "an address such as http://127.0.0.1:7001" None;
    PLATFORM_TIMEOUT = "platform" "call_timeout" "a time such as 2 s" Some("2 s");
    PLATFORM_RATE = "platform" "call_rate" "a rate such as 100 /s" Some("100 /s");
    KEYS_CERTIFICATE = "keys" "certificate" "a PEM file" None;
    KEYS_PRIVATE = "keys" "private_key" "a PEM file" None;
    KEYS_AUTHORITY = "keys" "authority" "a PEM file" None;
    KEYS_OPERATOR = "keys" "operator_key_hash" "64 hexadecimal digits" None;
    KEYS_RECEIPT = "keys" "receipt_key" "a file that all hosts share" None;
    CLUSTER_SHARDS = "cluster" "shards" "a number from 1 to 65535, the same on all hosts" Some("32");
    CLUSTER_APPEND = "cluster" "append_rate" "a rate such as 40 /s" Some("40 /s");
    CLUSTER_HEARTBEAT = "cluster" "heartbeat_interval" "a time such as 300 ms" Some("300 ms");
    CLUSTER_SUSPECT = "cluster" "suspect_after" "a time such as 1000 ms" Some("1000 ms");
    CLUSTER_HOST_LIST = "cluster" "host_list_interval" "a time such as 2 s" Some("2 s");
    LIMITS_DRAIN = "limits" "drain_timeout" "a time such as 30 s" Some("30 s");
    LIMITS_COMMIT = "limits" "commit_patience" "a time such as 3 s" Some("3 s");
    LIMITS_BODY = "limits" "body_size" "a size such as 512 KiB, at most 700 KiB" Some("512 KiB");
    LOG_FILTER = "log" "filter" "a level such as info, or a filter such as info,decision=debug" Some("info");
}

/// Largest value of `body_size`: a larger body would not fit into the record of a turn.
const MAX_BODY_LIMIT_BYTES: u64 = 700 << 10;

impl NodeSettings {
    /// Reads and validates a settings file, and reads the key files that it names.
    pub(crate) fn load(path: &str) -> Result<Self, SettingsError> {
        let reader = SettingsReader::open(path, SETTING_KEYS)?;
        Self::from_reader(&reader)
    }

    pub(crate) fn from_reader(reader: &SettingsReader) -> Result<Self, SettingsError> {
        let settings = Self {
            host: HostName::from(&*reader.text(HOST_NAME)?),
            region: RegionName::from(&*reader.text(HOST_REGION)?),
            data_centre: reader.text(HOST_DATA_CENTRE)?,
            callers_address: reader.parsed(LISTEN_CALLERS)?,
            operators_address: reader.parsed(LISTEN_OPERATORS)?,
            peers_address: reader.parsed(LISTEN_PEERS)?,
            platform_url: reader.text(PLATFORM_URL)?,
            platform_timeout: reader.duration(PLATFORM_TIMEOUT)?,
            platform_calls_per_second: reader.rate(PLATFORM_RATE)?,
            keys: KeyFiles {
                certificate: read_file(reader, KEYS_CERTIFICATE)?,
                private_key: read_file(reader, KEYS_PRIVATE)?,
                authority: read_file(reader, KEYS_AUTHORITY)?,
            },
            operator_key_hash: reader.text(KEYS_OPERATOR)?,
            receipt_key: read_file(reader, KEYS_RECEIPT)?,
            shard_count: reader.parsed(CLUSTER_SHARDS)?,
            append_rate: reader.rate(CLUSTER_APPEND)?,
            heartbeat_interval: reader.duration(CLUSTER_HEARTBEAT)?,
            suspect_after: reader.duration(CLUSTER_SUSPECT)?,
            host_list_interval: reader.duration(CLUSTER_HOST_LIST)?,
            drain_timeout: reader.duration(LIMITS_DRAIN)?,
            commit_timeout: reader.duration(LIMITS_COMMIT)?,
            body_limit_bytes: reader.size(LIMITS_BODY)?,
            log_filter: reader.text(LOG_FILTER)?,
        };

        settings.validate(reader.file())?;
        Ok(settings)
    }

    /// Checks what the type of a single value doesn't ensure.
    fn validate(&self, file: &Arc<str>) -> Result<(), SettingsError> {
        let value_error = |key: SettingKey, value: String| SettingsError::Value {
            file: Arc::clone(file),
            key: key.to_string(),
            value,
            expected: key.expected,
        };

        if !self.platform_url.starts_with("http://") {
            return Err(value_error(PLATFORM_URL, self.platform_url.to_string()));
        }

        if self.operator_key_hash.len() != 64 {
            return Err(value_error(KEYS_OPERATOR, self.operator_key_hash.to_string()));
        }

        if self.shard_count == 0 {
            return Err(value_error(CLUSTER_SHARDS, "0".into()));
        }

        if self.body_limit_bytes > MAX_BODY_LIMIT_BYTES {
            return Err(value_error(LIMITS_BODY, format!("{} B", self.body_limit_bytes)));
        }

        if self.suspect_after < self.heartbeat_interval * 3 {
            let value = format!("{} ms", self.suspect_after.as_millis());

            return Err(SettingsError::Value {
                file: Arc::clone(file),
                key: CLUSTER_SUSPECT.to_string(),
                value,
                expected: "at least three times heartbeat_interval",
            });
        }

        self.validate_addresses(file)
    }

    /// Checks that no two listeners have the same address. With port 0 the system chooses different ports.
    fn validate_addresses(&self, file: &Arc<str>) -> Result<(), SettingsError> {
        let addresses = [
            (LISTEN_CALLERS, self.callers_address),
            (LISTEN_OPERATORS, self.operators_address),
            (LISTEN_PEERS, self.peers_address),
        ];

        for (index, (key, address)) in addresses.iter().enumerate() {
            let duplicate = addresses[..index]
                .iter()
                .find(|(_, other)| other == address && address.port() != 0);

            if let Some((other, _)) = duplicate {
                return Err(SettingsError::DuplicateAddress {
                    file: Arc::clone(file),
                    key: key.to_string(),
                    value: address.to_string(),
                    other: other.to_string(),
                });
            }
        }

        Ok(())
    }
}

/// Reads a file that a setting names. A relative path is resolved against the folder of the settings file.
fn read_file(reader: &SettingsReader, key: SettingKey) -> Result<Arc<str>, SettingsError> {
    let name = reader.text(key)?;
    let folder = Path::new(&**reader.file()).parent().unwrap_or(Path::new("."));
    let path = folder.join(&*name);

    fs::read_to_string(&path).map(Arc::from).map_err(|error| SettingsError::KeyFile {
        file: Arc::clone(reader.file()),
        key: key.to_string(),
        value: name.to_string(),
        reason: error.to_string(),
    })
}
