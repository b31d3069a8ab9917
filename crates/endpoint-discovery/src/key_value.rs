//! Keys and values of the store, and their changes.

/// Key with its value.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct KeyValue {
    /// Key.
    pub key: Vec<u8>,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub mod_revision: i64,
    /// Revision that created the key; changes if the key is deleted and created again.
    pub create_revision: i64,
    /// Lease at whose expiry the key is deleted; 0 for none.
    pub lease: i64,
}

/// Change of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum KeyChange {
    /// A value was written.
    Put(KeyValue),
    /// The key was deleted, or its lease expired.
    Delete {
        /// Key.
        key: Vec<u8>,
        /// Revision of the deletion.
        revision: i64,
    },
}

impl KeyChange {
    /// Returns the key.
    pub fn key(&self) -> &[u8] {
        match self {
            KeyChange::Put(key_value) => &key_value.key,
            KeyChange::Delete { key, .. } => key,
        }
    }

    /// Returns the revision of the change.
    pub fn revision(&self) -> i64 {
        match self {
            KeyChange::Put(key_value) => key_value.mod_revision,
            KeyChange::Delete { revision, .. } => *revision,
        }
    }
}
