//! The last known good documents in a file of their own, which a start beside a damaged store can serve from.
//!
//! It is written aside and renamed, so that there is always a whole one. It lags behind the store: it is for a start with
//! `--read-only-state` alone, and holds no tokens' secrets beyond their hashes. Both ways the documents pass one by one.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, BufReader, BufWriter, Read as _, Seek as _, SeekFrom, Write};
use std::path::Path;

use serde::de::{DeserializeSeed, MapAccess, Visitor};
use serde::ser::{Error as _, SerializeMap as _};
use serde::{Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::error::StoreError;
use crate::format::FORMAT;
use crate::record::State;
use crate::store::Each;

/// Its name in the store's directory.
pub const FILE: &str = "last-good.snapshot";

/// Bytes of the checksum before it.
const SUM: u64 = 4;

/// A document as it is told to [`write()`]: scope, revision, document.
pub type Document = (String, u64, Value);

#[derive(Serialize)]
#[serde(bound = "I: Iterator<Item = Result<Document, StoreError>>")]
struct Snapshot<'s, I> {
    format: u64,
    version: u64,
    entry: u64,
    documents: Documents<'s, I>,
    tokens: &'s BTreeMap<String, Value>,
}

/// Documents that are made as they are written.
struct Documents<'s, I> {
    all: RefCell<I>,
    /// Why one of them can't be had.
    failed: &'s Cell<Option<StoreError>>,
}

impl<I: Iterator<Item = Result<Document, StoreError>>> Serialize for Documents<'_, I> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for document in &mut *self.all.borrow_mut() {
            match document {
                Ok((scope, rev, document)) => map.serialize_entry(&scope, &(rev, document))?,
                Err(e) => {
                    let what = S::Error::custom(&e);
                    self.failed.set(Some(e));
                    return Err(what);
                }
            }
        }
        map.end()
    }
}

/// Sums up and counts what passes.
struct Summed<W> {
    to: W,
    sum: crc32fast::Hasher,
    bytes: u64,
}

impl<W: Write> Write for Summed<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let n = self.to.write(bytes)?;
        self.sum.update(&bytes[..n]);
        self.bytes += n as u64;
        Ok(n)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.to.flush()
    }
}

/// Writes it, with these documents in the order of their scopes; returns how many bytes it has.
///
/// # Errors
/// What the system says, or why a document can't be had; the one that was there is there still.
pub fn write(
    directory: &Path,
    state: &State,
    documents: impl Iterator<Item = Result<Document, StoreError>>,
) -> Result<u64, StoreError> {
    let aside = directory.join(format!("{FILE}.new"));
    let mut file = File::create(&aside)?;
    file.write_all(&[0; SUM as usize])?;
    let mut to = Summed {
        to: BufWriter::new(file),
        sum: crc32fast::Hasher::new(),
        bytes: SUM,
    };
    let failed = Cell::new(None);
    let snapshot = Snapshot {
        format: FORMAT,
        version: state.version,
        entry: state.entry,
        documents: Documents {
            all: RefCell::new(documents),
            failed: &failed,
        },
        tokens: &state.tokens,
    };
    let written = serde_json::to_writer(&mut to, &snapshot);
    drop(snapshot);
    if let Some(e) = failed.take() {
        return Err(e);
    }
    written.map_err(io::Error::from)?;
    let mut file = to.to.into_inner().map_err(io::IntoInnerError::into_error)?;
    file.seek(SeekFrom::Start(0))?;
    file.write_all(&to.sum.finalize().to_le_bytes())?;
    file.sync_all()?;
    fs::rename(&aside, directory.join(FILE))?;
    Ok(to.bytes)
}

/// Reads it; the documents are told one by one, and none of one whose checksum does not fit.
///
/// # Errors
/// There is none, or it is damaged.
pub fn read(directory: &Path, each: Each<'_>) -> Result<State, StoreError> {
    let path = directory.join(FILE);
    let name = || path.display().to_string();
    if !path.exists() {
        return Err(StoreError::Missing(name()));
    }
    let mut file = BufReader::new(File::open(&path)?);
    let damaged = |what: String| StoreError::Damaged(format!("{}: {what}", name()));
    let unfit = || StoreError::Damaged(format!("the checksum of {} does not fit", name()));
    let mut sum = [0; SUM as usize];
    match file.read_exact(&mut sum) {
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Err(unfit()),
        read => read?,
    }
    let mut found = Summed {
        to: io::sink(),
        sum: crc32fast::Hasher::new(),
        bytes: SUM,
    };
    io::copy(&mut file, &mut found)?;
    if found.sum.finalize() != u32::from_le_bytes(sum) {
        return Err(unfit());
    }
    file.seek(SeekFrom::Start(SUM))?;
    let mut text = serde_json::Deserializer::from_reader(file);
    let (format, state) = Reading(each)
        .deserialize(&mut text)
        .map_err(|e| damaged(e.to_string()))?;
    text.end().map_err(|e| damaged(e.to_string()))?;
    if format > FORMAT {
        Err(StoreError::Newer {
            found: format,
            known: FORMAT,
        })
    } else {
        Ok(state)
    }
}

/// Reads a snapshot: its format and what it says, but for the documents, which are told.
struct Reading<'e>(Each<'e>);

impl<'de> DeserializeSeed<'de> for Reading<'_> {
    type Value = (u64, State);

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Reading<'_> {
    type Value = (u64, State);

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a snapshot")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let (mut format, mut version, mut entry, mut tokens) = (None, None, None, None);
        let mut documents = false;
        let missing = |key: &str| serde::de::Error::custom(format!("{key} is missing"));
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "format" => format = Some(map.next_value()?),
                "version" => version = Some(map.next_value()?),
                "entry" => entry = Some(map.next_value()?),
                "tokens" => tokens = Some(map.next_value()?),
                "documents" => {
                    documents = true;
                    map.next_value_seed(Told(&mut *self.0))?;
                }
                _ => _ = map.next_value::<serde::de::IgnoredAny>()?,
            }
        }
        if !documents {
            return Err(missing("documents"));
        }
        let state = State {
            version: version.ok_or_else(|| missing("version"))?,
            entry: entry.ok_or_else(|| missing("entry"))?,
            tokens: tokens.ok_or_else(|| missing("tokens"))?,
        };
        Ok((format.ok_or_else(|| missing("format"))?, state))
    }
}

/// Tells the documents of a snapshot.
struct Told<'e>(Each<'e>);

impl<'de> DeserializeSeed<'de> for Told<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for Told<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("documents by scope")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some((scope, (rev, document))) = map.next_entry::<String, (u64, Value)>()? {
            (self.0)(&scope, rev, document);
        }
        Ok(())
    }
}
