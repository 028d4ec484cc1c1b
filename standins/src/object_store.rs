//! The versioned objects that the platform keeps.

use {bytes::Bytes, std::collections::BTreeMap};

/// An object with the store's revision of its last write.
#[derive(Clone, Debug)]
pub(crate) struct StoredObject {
    pub(crate) value: Bytes,
    pub(crate) version: u64,
}

/// Condition that a write has to meet.
#[derive(Clone, Copy, Debug)]
pub(crate) enum WriteCondition {
    Absent,
    Version(u64),
    None,
}

/// Ordered map of objects. One revision counter serves all keys, as the published protocol says.
#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    objects: BTreeMap<String, StoredObject>,
    revision: u64,
}

impl ObjectStore {
    pub(crate) fn delete(&mut self, key: &str) -> bool {
        let removed = self.objects.remove(key).is_some();

        if removed {
            self.revision += 1;
        }

        removed
    }

    pub(crate) fn get(&self, key: &str) -> Option<StoredObject> {
        self.objects.get(key).cloned()
    }

    pub(crate) fn list(&self, prefix: &str, after: &str, limit: usize) -> Vec<(String, u64)> {
        self.objects
            .range(prefix.to_owned()..)
            .take_while(|(key, _)| key.starts_with(prefix))
            .filter(|(key, _)| key.as_str() > after)
            .take(limit)
            .map(|(key, object)| (key.clone(), object.version))
            .collect()
    }

    /// Writes the value if the condition holds, and gives the new version; otherwise gives the version that stands.
    pub(crate) fn put(
        &mut self,
        key: &str,
        value: Bytes,
        condition: WriteCondition,
    ) -> Result<u64, u64> {
        let standing = self.objects.get(key).map(|object| object.version);

        let holds = match condition {
            WriteCondition::Absent => standing.is_none(),
            WriteCondition::Version(version) => standing == Some(version),
            WriteCondition::None => true,
        };

        if !holds {
            return Err(standing.unwrap_or(0));
        }

        self.revision += 1;
        let version = self.revision;
        self.objects.insert(key.to_owned(), StoredObject { value, version });
        Ok(version)
    }

    pub(crate) fn revision(&self) -> u64 {
        self.revision
    }
}
