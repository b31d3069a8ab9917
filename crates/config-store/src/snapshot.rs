//! Snapshot of the last known good documents in a separate file, for a start with a damaged store.
//!
//! The file is written under another name and renamed, so that a complete one always exists. It lags behind the store, so
//! it is only used for starts with `--read-only-state`. Of a token it contains the hash, never the secret. Documents are
//! streamed on write and on read.
//!
//! Format: a CRC-32 (little-endian), then a JSON object.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fmt;
use std::fs::{self, File};
use std::io::{self, BufReader, BufWriter, Read as _, Seek as _, SeekFrom, Write};
use std::path::Path;

use serde::de::{DeserializeSeed, IgnoredAny, MapAccess, Visitor};
use serde::ser::{Error as _, SerializeMap as _};
use serde::{Deserializer, Serialize, Serializer};
use serde_json::Value;

use crate::error::StoreError;
use crate::record::{DocumentVisitor, StoreState};
use crate::tables::FORMAT_VERSION;

/// Name of the snapshot file in the store's directory.
pub const FILE_NAME: &str = "last-good.snapshot";

/// Length of the checksum before the JSON, in bytes.
const CHECKSUM_BYTES: usize = size_of::<u32>();

/// Document to write, with its scope and revision number.
#[derive(Clone, Debug, PartialEq)]
pub struct SnapshotDocument {
    /// Scope of the document.
    pub scope: String,
    /// Revision number.
    pub revision: u64,
    /// Content.
    pub document: Value,
}

#[derive(Serialize)]
#[serde(bound = "I: Iterator<Item = Result<SnapshotDocument, StoreError>>")]
struct Snapshot<'s, I> {
    format: u64,
    version: u64,
    #[serde(rename = "entry")]
    last_entry: u64,
    documents: DocumentStream<'s, I>,
    tokens: &'s BTreeMap<String, Value>,
}

/// Serializes documents as the iterator yields them.
struct DocumentStream<'s, I> {
    documents: RefCell<I>,
    /// Receives the iterator's error, which serde can only carry as text.
    failure: &'s Cell<Option<StoreError>>,
}

impl<I: Iterator<Item = Result<SnapshotDocument, StoreError>>> Serialize for DocumentStream<'_, I> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut map = serializer.serialize_map(None)?;
        for document in &mut *self.documents.borrow_mut() {
            match document {
                Ok(d) => map.serialize_entry(&d.scope, &(d.revision, d.document))?,
                Err(error) => {
                    let reported = S::Error::custom(&error);
                    self.failure.set(Some(error));
                    return Err(reported);
                }
            }
        }
        map.end()
    }
}

/// Writer that computes the checksum and the length of the written bytes.
struct ChecksumWriter<W> {
    inner: W,
    checksum: crc32fast::Hasher,
    length_bytes: u64,
}

impl<W: Write> ChecksumWriter<W> {
    fn new(inner: W) -> Self {
        ChecksumWriter {
            inner,
            checksum: crc32fast::Hasher::new(),
            length_bytes: 0,
        }
    }
}

impl<W: Write> Write for ChecksumWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let written = self.inner.write(bytes)?;
        self.checksum.update(&bytes[..written]);
        self.length_bytes += written as u64;
        Ok(written)
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

/// Writes a snapshot with documents in the order of their scopes; returns the file's length in bytes.
///
/// # Errors
/// The iterator's error, or the file can't be written. The previous snapshot stays.
pub fn write(
    directory: &Path,
    state: &StoreState,
    documents: impl Iterator<Item = Result<SnapshotDocument, StoreError>>,
) -> Result<u64, StoreError> {
    let partial = directory.join(format!("{FILE_NAME}.new"));
    let mut file = File::create(&partial)?;
    file.write_all(&[0; CHECKSUM_BYTES])?;
    let mut writer = ChecksumWriter::new(BufWriter::new(file));
    let failure = Cell::new(None);
    let snapshot = Snapshot {
        format: FORMAT_VERSION,
        version: state.version,
        last_entry: state.last_entry,
        documents: DocumentStream {
            documents: RefCell::new(documents),
            failure: &failure,
        },
        tokens: &state.tokens,
    };
    let serialized = serde_json::to_writer(&mut writer, &snapshot);
    drop(snapshot);
    if let Some(error) = failure.take() {
        return Err(error);
    }
    serialized.map_err(io::Error::from)?;
    let mut file = writer
        .inner
        .into_inner()
        .map_err(io::IntoInnerError::into_error)?;
    file.seek(SeekFrom::Start(0))?;
    file.write_all(&writer.checksum.finalize().to_le_bytes())?;
    file.sync_all()?;
    fs::rename(&partial, directory.join(FILE_NAME))?;
    Ok(CHECKSUM_BYTES as u64 + writer.length_bytes)
}

/// Reads a snapshot and visits its documents, none if the checksum does not match.
///
/// # Errors
/// [`StoreError::Missing`], [`StoreError::Corrupted`] or [`StoreError::NewerFormat`]; the file can't be read.
pub fn read(directory: &Path, visit: DocumentVisitor<'_>) -> Result<StoreState, StoreError> {
    let path = directory.join(FILE_NAME);
    if !path.exists() {
        return Err(StoreError::Missing(path.display().to_string()));
    }
    let mut file = BufReader::new(File::open(&path)?);
    verify_checksum(&mut file, &path)?;
    file.seek(SeekFrom::Start(CHECKSUM_BYTES as u64))?;
    let malformed =
        |e: serde_json::Error| StoreError::Corrupted(format!("{}: {e}", path.display()));
    let mut json = serde_json::Deserializer::from_reader(file);
    let header = SnapshotSeed(visit)
        .deserialize(&mut json)
        .map_err(malformed)?;
    json.end().map_err(malformed)?;
    if header.format > FORMAT_VERSION {
        return Err(StoreError::NewerFormat {
            found: header.format,
            known: FORMAT_VERSION,
        });
    }
    Ok(header.state)
}

fn verify_checksum(file: &mut BufReader<File>, path: &Path) -> Result<(), StoreError> {
    let mismatch =
        || StoreError::Corrupted(format!("the checksum of {} does not match", path.display()));
    let mut expected = [0; CHECKSUM_BYTES];
    match file.read_exact(&mut expected) {
        Err(e) if e.kind() == io::ErrorKind::UnexpectedEof => return Err(mismatch()),
        read => read?,
    }
    let mut found = ChecksumWriter::new(io::sink());
    io::copy(file, &mut found)?;
    if found.checksum.finalize() != u32::from_le_bytes(expected) {
        return Err(mismatch());
    }
    Ok(())
}

/// Content of a snapshot without its documents.
struct SnapshotHeader {
    format: u64,
    state: StoreState,
}

/// Deserializes a snapshot and visits its documents.
struct SnapshotSeed<'e>(DocumentVisitor<'e>);

impl<'de> DeserializeSeed<'de> for SnapshotSeed<'_> {
    type Value = SnapshotHeader;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<Self::Value, D::Error> {
        deserializer.deserialize_map(self)
    }
}

/// Fields of a snapshot that were read so far.
#[derive(Default)]
struct SnapshotFields {
    format: Option<u64>,
    version: Option<u64>,
    last_entry: Option<u64>,
    tokens: Option<BTreeMap<String, Value>>,
    has_documents: bool,
}

impl SnapshotFields {
    fn into_header<E: serde::de::Error>(self) -> Result<SnapshotHeader, E> {
        let missing = |key: &str| E::custom(format!("{key} is missing"));
        if !self.has_documents {
            return Err(missing("documents"));
        }
        let state = StoreState {
            version: self.version.ok_or_else(|| missing("version"))?,
            last_entry: self.last_entry.ok_or_else(|| missing("entry"))?,
            tokens: self.tokens.ok_or_else(|| missing("tokens"))?,
        };
        let format = self.format.ok_or_else(|| missing("format"))?;
        Ok(SnapshotHeader { format, state })
    }
}

impl<'de> Visitor<'de> for SnapshotSeed<'_> {
    type Value = SnapshotHeader;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a snapshot")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<Self::Value, A::Error> {
        let mut fields = SnapshotFields::default();
        while let Some(key) = map.next_key::<String>()? {
            match key.as_str() {
                "format" => fields.format = Some(map.next_value()?),
                "version" => fields.version = Some(map.next_value()?),
                "entry" => fields.last_entry = Some(map.next_value()?),
                "tokens" => fields.tokens = Some(map.next_value()?),
                "documents" => {
                    fields.has_documents = true;
                    map.next_value_seed(DocumentsSeed(&mut *self.0))?;
                }
                _ => _ = map.next_value::<IgnoredAny>()?,
            }
        }
        fields.into_header()
    }
}

/// Visits the documents of a snapshot.
struct DocumentsSeed<'e>(DocumentVisitor<'e>);

impl<'de> DeserializeSeed<'de> for DocumentsSeed<'_> {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_map(self)
    }
}

impl<'de> Visitor<'de> for DocumentsSeed<'_> {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("documents by scope")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut map: A) -> Result<(), A::Error> {
        while let Some((scope, (revision, document))) = map.next_entry::<String, (u64, Value)>()? {
            (self.0)(&scope, revision, document);
        }
        Ok(())
    }
}
