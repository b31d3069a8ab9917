//! The last known good documents in a file of their own, which a start beside a damaged store can serve from.
//!
//! It is written aside and renamed, so that there is always a whole one. It lags behind the store: it is for a start with
//! `--read-only-state` alone, and holds no tokens' secrets beyond their hashes.

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::Write as _;
use std::path::Path;

use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::error::StoreError;
use crate::format::{FORMAT, pack, unpack};
use crate::record::{Head, State};

/// Its name in the store's directory.
pub const FILE: &str = "last-good.snapshot";

#[derive(Serialize, Deserialize)]
struct Snapshot {
    format: u64,
    version: u64,
    entry: u64,
    documents: BTreeMap<String, (u64, Value)>,
    tokens: BTreeMap<String, Value>,
}

/// Writes it.
///
/// # Errors
/// What the system says; the one that was there is there still.
pub fn write(directory: &Path, state: &State) -> Result<(), StoreError> {
    let snapshot = Snapshot {
        format: FORMAT,
        version: state.version,
        entry: state.entry,
        documents: state.documents.iter().map(|(s, h)| (s.clone(), (h.rev, h.document.clone()))).collect(),
        tokens: state.tokens.clone(),
    };
    let aside = directory.join(format!("{FILE}.new"));
    let mut file = File::create(&aside)?;
    file.write_all(&pack(&snapshot)?)?;
    file.sync_all()?;
    fs::rename(&aside, directory.join(FILE))?;
    Ok(())
}

/// Reads it.
///
/// # Errors
/// There is none, or it is damaged.
pub fn read(directory: &Path) -> Result<State, StoreError> {
    let file = directory.join(FILE);
    if !file.exists() {
        return Err(StoreError::Missing(file.display().to_string()));
    }
    let snapshot: Snapshot = unpack(&fs::read(&file)?, &|| file.display().to_string())?;
    if snapshot.format > FORMAT {
        return Err(StoreError::Newer { found: snapshot.format, known: FORMAT });
    }
    let head = |(scope, (rev, document))| (scope, Head { rev, document });
    Ok(State {
        version: snapshot.version,
        entry: snapshot.entry,
        documents: snapshot.documents.into_iter().map(head).collect(),
        tokens: snapshot.tokens,
    })
}
