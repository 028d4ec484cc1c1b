//! In-memory store of versioned objects.

use {bytes::Bytes, std::collections::BTreeMap};

/// An object, with the store's revision at its last write as its version.
#[derive(Clone, Debug)]
pub(crate) struct StoredObject {
    pub(crate) value: Bytes,
    pub(crate) version: u64,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteCondition {
    /// The object does not exist.
    Absent,
    /// The object's current version is this one.
    Version(u64),
    /// The write is unconditional.
    Unconditional,
}

/// Objects ordered by key. One revision counter covers all keys, as the published protocol requires.
#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    objects: BTreeMap<String, StoredObject>,
    revision: u64,
}

impl ObjectStore {
    /// Removes an object, and returns whether it existed.
    pub(crate) fn delete(&mut self, key: &str) -> bool {
        let is_removed = self.objects.remove(key).is_some();

        if is_removed {
            self.revision += 1;
        }

        is_removed
    }

    pub(crate) fn get(&self, key: &str) -> Option<StoredObject> {
        self.objects.get(key).cloned()
    }

    /// Keys and versions of up to `limit` objects whose key starts with `prefix` and sorts after `after`.
    pub(crate) fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, object)| (key.clone(), object.version))
            .collect()
    }

    /// Writes the value if the condition is met, and returns the new version. Otherwise the error is the current
    /// version, or 0 if the object does not exist.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<u64, u64> {
        let current_version = self.objects.get(key).map(|object| object.version);

        let is_met = match condition {
            WriteCondition::Absent => current_version.is_none(),
            WriteCondition::Version(version) => current_version == Some(version),
            WriteCondition::Unconditional => true,
        };

        if !is_met {
            return Err(current_version.unwrap_or(0));
        }

        self.revision += 1;
        let version = self.revision;
        self.objects.insert(key.to_owned(), StoredObject { value, version });
        Ok(version)
    }

    /// Revision of the last write or deletion.
    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }
}
