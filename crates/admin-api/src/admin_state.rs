//! The state of the administration API: holds the current documents, decides each call, and stores each change before
//! it takes effect.
//!
//! The documents are held once, packed in a [`Catalog`]. A change costs time in proportion to the documents that it
//! touches: it builds another catalog, which shares everything else with the current one, and checks only what the
//! change can break. Only opening, restoring a whole state, and calls about all tenants visit every document.

use std::collections::{BTreeMap, BTreeSet};
use std::path::{Path, PathBuf};

use config_parser::{DocumentSchema, ValidationError};
use config_store::{
    Author, DocumentVisitor, Retention, Store, StoreError, StoreState, Transaction, snapshot,
};
use multi_tenant::catalog::{Catalog, Name, PartInterner};
use multi_tenant::document::{Service, Tenant};
use multi_tenant::plan::{self, PreparedChange};
use multi_tenant::validation;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use sha2::{Digest as _, Sha256};

use crate::access::{self, Principal, Role, Token};
use crate::bodies::{Actor, ChangeResult, TenantChange};
use crate::call::{Call, Outcome, Reply};
use crate::difference::{self, Difference};
use crate::events::VersionEvent;
use crate::problem::{Problem, truncated};

/// Name of the file in the state directory that holds the token of the first operator.
pub const OPERATOR_TOKEN_FILE: &str = "operator.token";

/// The current documents and the store.
pub struct AdminState {
    /// `None` if the state is read-only.
    store: Option<Store>,
    /// The reason why the state is read-only, if it is.
    read_only: Option<String>,
    directory: PathBuf,
    /// The current version of the service.
    version: u64,
    /// Number of the last entry of the audit log.
    last_entry: u64,
    /// True if the state has changed since the last snapshot.
    snapshot_stale: bool,
    tokens: BTreeMap<String, Token>,
    /// The current documents with their revisions, together with the file's settings of the process and the
    /// listeners.
    catalog: Catalog,
    parts: PartInterner,
    tenant_form: DocumentSchema,
    /// True if the members of a cluster have to agree on a change before it is stored.
    in_cluster: bool,
}

/// A transaction with the tenant changes that it makes, serializable so that every member of a cluster stores the same
/// change.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub struct AgreedChange {
    /// The transaction to store.
    #[serde(rename = "write")]
    pub transaction: Transaction,
    /// The changes by tenant.
    pub tenants: Vec<TenantChange>,
}

/// Returns the version of the serialized format of [`AgreedChange`]. A program that does not know the version rejects
/// the change.
fn change_format() -> u64 {
    // Tests set the version that a newer program would write.
    fail::fail_point!("agreed-form", |value| value
        .and_then(|n| n.parse().ok())
        .unwrap_or(2));
    1
}

impl AgreedChange {
    /// Encodes the change for the log.
    pub fn encode(&self) -> String {
        json!({ "format": change_format(), "change": self }).to_string()
    }

    /// Decodes a change from the log.
    ///
    /// # Errors
    /// The change has a format that this program does not know.
    pub fn decode(text: &str) -> Result<Self, String> {
        let program = env!("CARGO_PKG_VERSION");
        let unknown = |what: String| {
            format!(
                "this program ({program}) can't read the change: {}",
                truncated(&what)
            )
        };
        let value: Value = serde_json::from_str(text).map_err(|e| unknown(e.to_string()))?;
        if value["format"] != change_format() {
            return Err(unknown(format!(
                "its form is {}, and it knows {}",
                value["format"],
                change_format()
            )));
        }
        serde_json::from_value(value["change"].clone()).map_err(|e| unknown(e.to_string()))
    }
}

/// Result of storing a change.
pub struct StoredChange {
    /// The change that the plane has to apply, if documents changed.
    pub prepared: Option<PreparedChange>,
    /// The event to publish.
    pub event: Option<VersionEvent>,
}

/// A change requested by an operation.
pub struct ChangeDraft {
    /// Name of the action in the audit log.
    pub action: &'static str,
    /// The tenant that the action concerns.
    pub subject: Option<String>,
    /// Details for the audit log.
    pub detail: Option<String>,
    /// New documents by tenant name, or `None` to remove the tenant, each with the mapping of its pointers to the
    /// body of the call.
    pub edits: Vec<(String, Option<Value>, PointerMapping)>,
    /// Location of a new resource. The status of the reply is 201 if it is set.
    pub location: Option<String>,
}

/// Maps JSON pointers into a tenant's document to pointers into the body of the call, so that faults are reported
/// where the caller wrote them.
#[derive(Clone, Debug, Default)]
pub struct PointerMapping {
    /// Pointer to the part of the document that the body replaces.
    pub body_in_document: String,
    /// Pointer to the part of the body that is the document.
    pub document_in_body: String,
}

impl PointerMapping {
    /// The body is the part of the document at `path`.
    pub fn body_at(path: String) -> Self {
        PointerMapping {
            body_in_document: path,
            document_in_body: String::new(),
        }
    }

    /// Maps faults of the document to faults of the body.
    fn to_body(&self, faults: Vec<ValidationError>) -> Vec<ValidationError> {
        let to_body = |pointer: &str| {
            format!(
                "{}{}",
                self.document_in_body,
                pointer
                    .strip_prefix(&self.body_in_document)
                    .unwrap_or(pointer)
            )
        };
        faults
            .into_iter()
            .map(|fault| ValidationError {
                pointer: to_body(&fault.pointer),
                message: fault.message,
            })
            .collect()
    }
}

/// Returns the storage scope of a tenant's document.
pub fn scope(tenant: &str) -> String {
    format!("tenant/{tenant}")
}

/// Serializes a tenant's document as it is stored and returned.
pub fn tenant_to_json(tenant: &Tenant) -> Result<Value, Problem> {
    serde_json::to_value(tenant).map_err(|e| Problem::internal(e.to_string()))
}

/// Maximum number of faults in one message.
const MAX_LISTED_FAULTS: usize = 20;

/// Joins faults into one text; those above the limit are only counted.
fn join_faults(faults: &[String], between: &str) -> String {
    let mut text = faults
        .iter()
        .take(MAX_LISTED_FAULTS)
        .map(|f| truncated(f))
        .collect::<Vec<_>>()
        .join(between);
    if faults.len() > MAX_LISTED_FAULTS {
        text.push_str(&format!(
            "{between}and {} more",
            faults.len() - MAX_LISTED_FAULTS
        ));
    }
    text
}

/// Returns the tenant that a storage scope belongs to.
pub fn tenant_from_scope(scope: &str) -> Option<String> {
    scope.strip_prefix("tenant/").map(str::to_owned)
}

/// Returns the entity tag of a document: its revision and a part of its hash, so that a tenant that is removed and
/// added again gets different tags.
pub fn etag(rev: u64, document: &Value) -> String {
    let sum = Sha256::digest(document.to_string().as_bytes());
    format!(
        "\"{rev}-{:02x}{:02x}{:02x}{:02x}\"",
        sum[0], sum[1], sum[2], sum[3]
    )
}

/// Documents that are read one by one and packed as they are read.
struct LoadedDocuments {
    catalog: Catalog,
    parts: PartInterner,
    /// Faults of the documents.
    faults: Vec<String>,
}

impl LoadedDocuments {
    /// Runs a reader over all documents; returns its result and the packed documents.
    fn read<T>(
        parts: PartInterner,
        read: impl FnOnce(DocumentVisitor<'_>) -> Result<T, StoreError>,
    ) -> Result<(T, Self), StoreError> {
        let form = DocumentSchema::for_type::<Tenant>().map_err(StoreError::Unavailable)?;
        let mut loaded = LoadedDocuments {
            catalog: Catalog::new(&Service::default()),
            parts,
            faults: Vec::new(),
        };
        let done = read(&mut |scope, rev, document| loaded.add(&form, scope, rev, &document))?;
        Ok((done, loaded))
    }

    fn add(&mut self, form: &DocumentSchema, scope: &str, rev: u64, document: &Value) {
        let tenant = match form.deserialize::<Tenant>(document) {
            Ok(tenant) => tenant,
            Err(faults) => {
                let all = faults
                    .iter()
                    .map(|fault| format!("{scope}: {}: {}", fault.key(), fault.message));
                return self.faults.extend(all);
            }
        };
        let index = self.catalog.len();
        let edit = [(tenant.name.clone(), Some(tenant))];
        for (_, fault) in validation::validate_edits(&self.catalog, &edit) {
            self.faults.push(mismatch(
                &format!("tenant.{index}.{}", fault.key()),
                &fault.message,
            ));
        }
        if let [(_, Some(tenant))] = &edit {
            self.catalog.insert(&mut self.parts, tenant, rev);
        }
    }
}

/// The contents of a snapshot. The state may change while the snapshot is written.
pub struct Snapshot {
    directory: PathBuf,
    state: StoreState,
    catalog: Catalog,
}

impl Snapshot {
    /// Writes the snapshot; returns its size in bytes.
    ///
    /// # Errors
    /// The error of the file system or the store, and the name of the tenant if its document is damaged in memory.
    /// The previous snapshot is kept.
    pub fn write(&self) -> Result<u64, (StoreError, Option<String>)> {
        let mut damaged = None;
        let documents = self.catalog.iter().map(|read| {
            let (rev, tenant) = read.map_err(|e| {
                let corrupted = StoreError::Corrupted(e.to_string());
                damaged = Some(e.tenant);
                corrupted
            })?;
            let document = serde_json::to_value(&tenant)
                .map_err(|e| StoreError::Unavailable(e.to_string()))?;
            Ok(snapshot::SnapshotDocument {
                scope: scope(&tenant.name),
                revision: rev,
                document,
            })
        });
        let written = snapshot::write(&self.directory, &self.state, documents);
        written.map_err(|e| (e, damaged))
    }
}

/// Parses the stored tokens.
fn tokens(stored: BTreeMap<String, Value>) -> Result<BTreeMap<String, Token>, String> {
    let token = |(id, t): (String, Value)| {
        let token = serde_json::from_value(t).map_err(|e| format!("token {id}: {e}"))?;
        Ok((id, token))
    };
    stored.into_iter().map(token).collect()
}

fn mismatch(key: &str, what: &str) -> String {
    format!("the file and the state do not match: {key}: {what}")
}

impl AdminState {
    /// Opens the state of a service whose process and listeners are configured in a file. Tenants of the file are
    /// imported into an empty state; afterwards only the state determines the tenants. With `read_only`, a store that
    /// can't be used is left alone, and the last known good state is served without changes.
    ///
    /// # Errors
    /// The fault of the state, or the mismatch between the state and the file, and how to fix it.
    pub fn open(file: &Service, read_only: bool, now_ms: u64) -> Result<Self, String> {
        let state_settings = file.state.as_ref().ok_or("state: the section is missing")?;
        let directory = PathBuf::from(&state_settings.directory);
        let keep = Retention {
            versions: state_settings.keep_versions,
            ..Retention::default()
        };
        let opened = Store::open(&directory, keep).and_then(|(store, state)| {
            let ((), loaded) =
                LoadedDocuments::read(PartInterner::default(), |each| store.visit_documents(each))?;
            Ok((loaded, store, state))
        });
        let (loaded, store, state, reason) = match opened {
            Ok((loaded, store, state)) => (loaded, Some(store), state, None),
            Err(e) if read_only => {
                tracing::warn!(error = %e, "the store can't be used; the last known good state is served");
                let snapshot = LoadedDocuments::read(PartInterner::default(), |each| {
                    snapshot::read(&directory, each)
                });
                let (state, loaded) = snapshot
                    .map_err(|snapshot_error| format!("{e}; and no snapshot: {snapshot_error}"))?;
                (loaded, None, state, Some(e.to_string()))
            }
            Err(e) => return Err(format!("{}: {e}", directory.display())),
        };
        let read_only = read_only
            .then(|| reason.unwrap_or_else(|| "it was started with --read-only-state".into()));
        AdminState::assemble(file, store, (state, loaded), read_only, directory, now_ms)
    }

    /// Creates the state from an open store.
    ///
    /// # Errors
    /// The errors of [`AdminState::open`].
    pub fn with_store(
        file: &Service,
        store: Option<Store>,
        state: StoreState,
        read_only: Option<String>,
        directory: PathBuf,
        now_ms: u64,
    ) -> Result<Self, String> {
        let stored =
            |each: DocumentVisitor<'_>| store.as_ref().map_or(Ok(()), |s| s.visit_documents(each));
        let ((), loaded) =
            LoadedDocuments::read(PartInterner::default(), stored).map_err(|e| e.to_string())?;
        AdminState::assemble(file, store, (state, loaded), read_only, directory, now_ms)
    }

    fn assemble(
        file: &Service,
        store: Option<Store>,
        (state, loaded): (StoreState, LoadedDocuments),
        read_only: Option<String>,
        directory: PathBuf,
        now_ms: u64,
    ) -> Result<Self, String> {
        let mut admin = AdminState {
            in_cluster: file.cluster.is_some(),
            store,
            read_only,
            directory,
            version: state.version,
            last_entry: state.last_entry,
            snapshot_stale: true,
            tokens: tokens(state.tokens)?,
            catalog: Catalog::new(&Service::default()),
            parts: PartInterner::default(),
            tenant_form: DocumentSchema::for_type::<Tenant>()?,
        };
        // In a cluster, the other members may already have versions.
        if admin.last_entry == 0 && admin.read_only.is_none() && !admin.in_cluster {
            admin.write_first_version(file, now_ms)?;
        } else {
            admin.use_documents(file, loaded)?;
        }
        Ok(admin)
    }

    /// Makes the documents that were read the current ones.
    fn use_documents(&mut self, file: &Service, loaded: LoadedDocuments) -> Result<(), String> {
        if !loaded.faults.is_empty() {
            return Err(join_faults(&loaded.faults, "\n"));
        }
        (self.catalog, self.parts) = (loaded.catalog, loaded.parts);
        self.catalog = self.catalog_for(file)?;
        Ok(())
    }

    /// Returns the current documents with a file's settings of the process and the listeners. Nothing is served
    /// before the first version is stored.
    fn catalog_for(&self, file: &Service) -> Result<Catalog, String> {
        if self.in_cluster && self.last_entry == 0 {
            return Ok(Catalog::new(&Service {
                listeners: Vec::new(),
                ..file.clone()
            }));
        }
        let faults = validation::validate_without_tenants(file, |name| {
            self.catalog.find_name(name).is_some()
        });
        let all = faults
            .iter()
            .map(|f| mismatch(&f.key(), &f.message))
            .collect::<Vec<_>>();
        if all.is_empty() {
            Ok(self.catalog.with_base(file))
        } else {
            Err(join_faults(&all, "\n"))
        }
    }

    /// Writes the first version of a cluster that this instance bootstraps, unless there is one; returns the version,
    /// the last entry and the exported state.
    ///
    /// # Errors
    /// The version can't be stored, or the file does not match the state.
    pub fn bootstrap(&mut self, file: &Service, now_ms: u64) -> Result<(u64, u64, String), String> {
        if self.last_entry == 0 {
            self.write_first_version(file, now_ms)?;
        } else {
            self.catalog = self.catalog_for(file)?;
        }
        Ok((self.version, self.last_entry, self.export()?))
    }

    /// Exports everything that is stored, as text.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn export(&self) -> Result<String, String> {
        let store = self.store.as_ref().ok_or("the state is read-only")?;
        let mut text = Vec::new();
        config_store::export(store, &mut text).map_err(|e| e.to_string())?;
        String::from_utf8(text).map_err(|e| e.to_string())
    }

    /// Replaces everything that is stored with another member's export.
    ///
    /// # Errors
    /// The export can't be read or stored, or does not match the file; in that case the previous state is no longer
    /// served.
    pub fn restore(&mut self, file: &Service, text: &str) -> Result<(), String> {
        let store = self.store.as_mut().ok_or("the state is read-only")?;
        let state = config_store::restore(store, text.as_bytes()).map_err(|e| e.to_string())?;
        (self.version, self.last_entry, self.snapshot_stale) =
            (state.version, state.last_entry, true);
        self.tokens = tokens(state.tokens)?;
        self.load_documents(file)
    }

    /// Reads all documents from the store.
    fn load_documents(&mut self, file: &Service) -> Result<(), String> {
        let store = self.store.as_ref().ok_or("the state is read-only")?;
        let parts = std::mem::take(&mut self.parts);
        let ((), loaded) = LoadedDocuments::read(parts, |each| store.visit_documents(each))
            .map_err(|e| e.to_string())?;
        self.use_documents(file, loaded)
    }

    /// Starts a new cluster from a surviving member: stores the entries of its log that are not stored yet, and
    /// continues at a later version. Returns the version, the last entry and the exported state.
    ///
    /// # Errors
    /// Something can't be read or stored, or does not match the file.
    pub fn recover(
        &mut self,
        file: &Service,
        payloads: &[String],
        version: u64,
        detail: String,
        now_ms: u64,
    ) -> Result<(u64, u64, String), String> {
        for payload in payloads {
            self.store_agreed(&AgreedChange::decode(payload)?)
                .map_err(|p| p.detail)?;
        }
        let transaction = Transaction {
            base_entry: self.last_entry,
            at_ms: now_ms,
            author: Author {
                id: "restore".into(),
                name: "canvascart cluster restore".into(),
            },
            action: "cluster.restore".into(),
            subject: None,
            detail: Some(detail),
            edits: Vec::new(),
            tokens: Vec::new(),
            reply: None,
            minimum_version: Some(version),
        };
        self.commit(&transaction).map_err(|e| e.to_string())?;
        self.catalog = self.catalog_for(file)?;
        Ok((self.version, self.last_entry, self.export()?))
    }

    /// Returns the number of the last audit entry.
    pub fn last_entry(&self) -> u64 {
        self.last_entry
    }

    /// Parses the documents of an agreed change.
    fn read_edits(
        &self,
        transaction: &Transaction,
    ) -> Result<Vec<(String, Option<Tenant>)>, String> {
        let mut edits = Vec::new();
        for (scope, document) in &transaction.edits {
            let Some(name) = tenant_from_scope(scope) else {
                continue;
            };
            let describe = |faults: Vec<ValidationError>| {
                let all: Vec<_> = faults
                    .iter()
                    .map(|fault| format!("{name}: {}: {}", fault.key(), fault.message))
                    .collect();
                join_faults(&all, "; ")
            };
            let read = document
                .as_ref()
                .map(|document| {
                    self.tenant_form
                        .deserialize::<Tenant>(document)
                        .map_err(describe)
                })
                .transpose()?;
            edits.push((name, read));
        }
        Ok(edits)
    }

    /// Returns the catalog after a change, and the new revisions of its documents.
    fn catalog_after(
        &mut self,
        edits: &[(String, Option<Tenant>)],
    ) -> Result<(Catalog, Vec<u64>), StoreError> {
        let mut next = self.catalog.clone();
        let mut revs = Vec::with_capacity(edits.len());
        for (name, tenant) in edits {
            let rev = self
                .store
                .as_ref()
                .map_or(Ok(0), |s| s.next_revision(&scope(name)))?;
            match tenant {
                Some(tenant) => next.insert(&mut self.parts, tenant, rev),
                None => next.remove(name),
            }
            revs.push(rev);
        }
        Ok((next, revs))
    }

    /// Checks that this instance can apply a change; returns the servers that the change removes, by tenant.
    ///
    /// # Errors
    /// The reason why the change can't be applied.
    pub fn validate_change(
        &mut self,
        agreed: &AgreedChange,
    ) -> Result<BTreeMap<String, BTreeSet<String>>, String> {
        if let Some(reason) = &self.read_only {
            return Err(format!("nothing can be stored here: {reason}"));
        }
        if agreed.transaction.base_entry != self.last_entry {
            return Err(format!(
                "it was made on entry {}, and here is {}",
                agreed.transaction.base_entry, self.last_entry
            ));
        }
        let edits = self.read_edits(&agreed.transaction)?;
        let all: Vec<String> = validation::validate_edits(&self.catalog, &edits)
            .into_iter()
            .map(
                |(edit, fault)| match edit.and_then(|index| edits.get(index)) {
                    Some((name, _)) => format!("{name}: {}: {}", fault.key(), fault.message),
                    None => format!("{}: {}", fault.key(), fault.message),
                },
            )
            .collect();
        if !all.is_empty() {
            return Err(join_faults(&all, "; "));
        }
        for (name, _) in &edits {
            self.tenant(name).map_err(|p| p.detail)?;
        }
        let (next, _) = self.catalog_after(&edits).map_err(|e| e.to_string())?;
        Ok(plan::ended_servers(&self.catalog, &next))
    }

    /// Stores an agreed change. A change that is stored already is not stored again.
    ///
    /// # Errors
    /// The change can't be stored, or does not match the state.
    pub fn store_agreed(&mut self, agreed: &AgreedChange) -> Result<StoredChange, Problem> {
        let transaction = &agreed.transaction;
        if transaction.base_entry < self.last_entry {
            return Ok(StoredChange {
                prepared: None,
                event: None,
            });
        }
        let prepared = match transaction.edits.is_empty() {
            true => None,
            false => {
                let edits = self.read_edits(transaction).map_err(Problem::internal)?;
                let (next, _) = self.catalog_after(&edits)?;
                Some(PreparedChange::between(&self.catalog, next))
            }
        };
        self.store_change(agreed, prepared)
    }

    /// Stores a change and makes its result the current state.
    fn store_change(
        &mut self,
        agreed: &AgreedChange,
        prepared: Option<PreparedChange>,
    ) -> Result<StoredChange, Problem> {
        let transaction = &agreed.transaction;
        self.commit(transaction)?;
        for (id, token) in &transaction.tokens {
            match token {
                Some(t) => match serde_json::from_value(t.clone()) {
                    Ok(token) => drop(self.tokens.insert(id.clone(), token)),
                    Err(e) => tracing::error!(id, error = %e, "a token can't be read"),
                },
                None => drop(self.tokens.remove(id)),
            }
        }
        let Some(prepared) = prepared else {
            return Ok(StoredChange {
                prepared: None,
                event: None,
            });
        };
        self.catalog = prepared.next.clone();
        let event = VersionEvent {
            version: self.version,
            at_ms: transaction.at_ms,
            by: Actor {
                id: transaction.author.id.clone(),
                name: transaction.author.name.clone(),
            },
            action: transaction.action.clone(),
            tenants: agreed.tenants.clone(),
        };
        Ok(StoredChange {
            prepared: Some(prepared),
            event: Some(event),
        })
    }

    /// Writes the first version: the file's tenants, and an operator's token, whose text is written to a file.
    fn write_first_version(&mut self, file: &Service, now_ms: u64) -> Result<(), String> {
        let program = || Author {
            id: "start".into(),
            name: "the first start".into(),
        };
        let (id, token_text, token) =
            new_operator_token("first operator", now_ms).map_err(|p| p.detail)?;
        // The token file is written first. After a crash before the store has the token, the next start overwrites
        // the file.
        write_secret(&self.directory.join(OPERATOR_TOKEN_FILE), &token_text)
            .map_err(|e| format!("{OPERATOR_TOKEN_FILE}: {e}"))?;
        let edit = |tenant: &Tenant| {
            Ok((
                scope(&tenant.name),
                Some(serde_json::to_value(tenant).map_err(|e| e.to_string())?),
            ))
        };
        let transaction = Transaction {
            base_entry: 0,
            at_ms: now_ms,
            author: program(),
            action: "start".into(),
            subject: None,
            detail: None,
            edits: file
                .tenants
                .iter()
                .map(edit)
                .collect::<Result<_, String>>()?,
            tokens: vec![(id, Some(token))],
            reply: None,
            minimum_version: None,
        };
        self.commit(&transaction).map_err(|e| e.to_string())?;
        let added = |token: (String, Option<Value>)| Some((token.0, token.1?));
        self.tokens = tokens(transaction.tokens.into_iter().filter_map(added).collect())?;
        drop(transaction.edits);
        self.load_documents(file)
    }

    /// Returns the change to another file's listeners. [`AdminState::finish_reload`] has to follow once the change is
    /// in effect.
    ///
    /// # Errors
    /// The file does not match the state.
    pub fn prepare_reload(&self, file: &Service) -> Result<PreparedChange, String> {
        let start = self.catalog.base();
        let next = Service {
            process: start.process.clone(),
            state: start.state.clone(),
            admin: start.admin.clone(),
            ..file.clone()
        };
        Ok(PreparedChange::between(
            &self.catalog,
            self.catalog_for(&next)?,
        ))
    }

    /// Records that another file's listeners are in effect.
    pub fn finish_reload(&mut self, catalog: Catalog) {
        self.catalog = catalog;
    }

    /// Returns the current documents, with the file's settings of the process and the listeners.
    pub fn catalog(&self) -> &Catalog {
        &self.catalog
    }

    /// Returns the number of tenants packed so far. Tests measure the cost of a change by it.
    pub fn packed_count(&self) -> u64 {
        self.parts.encoded_tenants()
    }

    /// Returns the current version.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the reason why the state is read-only, if it is.
    pub fn read_only(&self) -> Option<&str> {
        self.read_only.as_deref()
    }

    /// Rejects all further changes.
    pub fn set_read_only(&mut self, reason: &str) {
        self.read_only = Some(reason.to_owned());
    }

    /// Returns the contents of a new snapshot if the state has changed since the last one.
    pub fn take_snapshot(&mut self) -> Option<Snapshot> {
        let is_stale = std::mem::take(&mut self.snapshot_stale) && self.store.is_some();
        let token =
            |(id, t): (&String, &Token)| (id.clone(), serde_json::to_value(t).unwrap_or_default());
        is_stale.then(|| Snapshot {
            directory: self.directory.clone(),
            state: StoreState {
                version: self.version,
                last_entry: self.last_entry,
                tokens: self.tokens.iter().map(token).collect(),
            },
            catalog: self.catalog.clone(),
        })
    }

    /// Records that the snapshot could not be written, so that the next attempt writes it.
    pub fn mark_snapshot_stale(&mut self) {
        self.snapshot_stale = true;
    }

    /// Authenticates the value of an Authorization header.
    ///
    /// # Errors
    /// The token is not valid.
    pub fn authenticate(
        &self,
        authorization: Option<&str>,
        now_ms: u64,
    ) -> Result<Principal, Problem> {
        access::authenticate(&self.tokens, authorization, now_ms)
    }

    /// Returns whether a token that was valid earlier still exists and has not expired.
    pub fn is_token_valid(&self, principal: &Principal, now_ms: u64) -> bool {
        let token = self.tokens.get(&principal.id);
        token.is_some_and(|t| t.expires_ms.is_none_or(|end| now_ms < end))
    }

    /// Returns the events of the versions after `id`, as the caller may see them, among the newest `max_events` that
    /// are kept.
    ///
    /// # Errors
    /// The store can't be read.
    pub fn events_since(
        &self,
        principal: &Principal,
        id: u64,
        max_events: usize,
    ) -> Result<Vec<(u64, Value)>, Problem> {
        let Ok(store) = self.store() else {
            return Ok(Vec::new());
        };
        let mut events = Vec::new();
        for (_, entry) in store.versions(u64::MAX, max_events)? {
            let event = VersionEvent::from_audit_entry(&entry, tenant_from_scope)
                .and_then(|h| h.visible_to(principal));
            match event {
                Some((number, _)) if number <= id => break,
                event => events.extend(event),
            }
        }
        events.reverse();
        Ok(events)
    }

    /// Returns the store.
    ///
    /// # Errors
    /// There is none: the state is read-only.
    pub fn store(&self) -> Result<&Store, Problem> {
        let reason = self.read_only.as_deref().unwrap_or_default();
        self.store
            .as_ref()
            .ok_or_else(|| Problem::read_only(reason))
    }

    /// Returns a tenant's current revision and document, or `None` if there is no such tenant. A document that is
    /// damaged in memory is read again from the store.
    ///
    /// # Errors
    /// The document is damaged and can't be read again.
    pub fn tenant(&mut self, name: &str) -> Result<Option<(u64, Tenant)>, Problem> {
        if let Some(Err(damaged)) = self.catalog.get(name) {
            tracing::error!(error = %damaged, "a tenant's document is damaged in memory; reading it again from the store");
            self.reload_tenant(name)?;
        }
        let found = self.catalog.get(name).transpose();
        found.map_err(|damaged| Problem::internal(damaged.to_string()))
    }

    /// Reads a tenant's document again from the store, because it is damaged in memory.
    ///
    /// # Errors
    /// The document can't be read.
    pub fn reload_tenant(&mut self, name: &str) -> Result<(), Problem> {
        let scope = scope(name);
        let stored = match &self.store {
            Some(store) => store.document(&scope)?,
            None => {
                let mut found = None;
                snapshot::read(&self.directory, &mut |stored_scope, rev, document| {
                    if stored_scope == scope {
                        found = Some((rev, document));
                    }
                })?;
                found
            }
        };
        let lost = |reason: &str| {
            Problem::internal(format!("tenant \"{name}\" can't be read anew: {reason}"))
        };
        let (rev, document) = stored.ok_or_else(|| lost("it is not stored"))?;
        let tenant = self
            .tenant_form
            .deserialize(&document)
            .map_err(|_| lost("what is stored has another form"))?;
        self.catalog.insert(&mut self.parts, &tenant, rev);
        Ok(())
    }

    /// Returns the current document of a tenant that the caller may see, with its revision.
    ///
    /// # Errors
    /// There is no such tenant, or the caller may not see it; the error does not say which.
    pub fn document(
        &mut self,
        principal: &Principal,
        tenant: &str,
    ) -> Result<(u64, Value), Problem> {
        let found = if principal.can_see(tenant) {
            self.tenant(tenant)?
        } else {
            None
        };
        let (rev, tenant) = found.ok_or_else(|| tenant_not_found(tenant))?;
        Ok((rev, tenant_to_json(&tenant)?))
    }

    /// Returns whether there is a tenant of this name.
    pub fn has_tenant(&self, tenant: &str) -> bool {
        self.catalog.find_name(tenant).is_some()
    }

    /// Returns the tenants' names in order.
    pub fn tenant_names(&self) -> impl Iterator<Item = &Name> {
        self.catalog.names()
    }

    /// Returns the tokens by id.
    pub fn tokens(&self) -> &BTreeMap<String, Token> {
        &self.tokens
    }

    /// Returns the entity tag of the whole service.
    pub fn service_etag(&self) -> String {
        format!("\"v{}\"", self.version)
    }

    /// Checks the precondition of a call against the current entity tag.
    ///
    /// # Errors
    /// The precondition fails, or is missing where it is required.
    pub fn check_precondition(
        call: &Call,
        now: Option<&str>,
        required: bool,
    ) -> Result<(), Problem> {
        let lists = |value: &str, tag: &str| value.split(',').any(|t| t.trim() == tag);
        if let Some(none) = &call.if_none_match {
            let there = now.is_some_and(|tag| none.trim() == "*" || lists(none, tag));
            if there {
                return Err(Problem::lost_update("If-None-Match: it is there already"));
            }
            return Ok(());
        }
        match (&call.if_match, now) {
            (None, Some(_)) if required => Err(Problem::precondition_required(
                "say by If-Match which revision this is meant for (its ETag), or * for any",
            )),
            (None, _) => Ok(()),
            (Some(tags), Some(tag)) if tags.trim() == "*" || lists(tags, tag) => Ok(()),
            (Some(_), Some(tag)) => Err(Problem::lost_update(format!(
                "If-Match: it is at {tag} now"
            ))),
            (Some(_), None) => Err(Problem::lost_update("If-Match: it is not there")),
        }
    }

    /// Returns the reply to an earlier write with the same idempotency key.
    ///
    /// # Errors
    /// The key was used for a different call.
    pub fn earlier_reply(&self, call: &Call) -> Result<Option<Reply>, Problem> {
        let Some(key) = idempotency_key(call)? else {
            return Ok(None);
        };
        let Some(kept) = self.store()?.reply(&key)? else {
            return Ok(None);
        };
        if kept["fingerprint"] != fingerprint(call) {
            return Err(Problem::invalid(
                "Idempotency-Key: it was used for another call",
            ));
        }
        let text = |key: &str| kept[key].as_str().map(str::to_owned);
        Ok(Some(Reply {
            status: kept["status"].as_u64().unwrap_or(200) as u16,
            etag: text("etag"),
            location: text("location"),
            body: kept["body"].clone(),
        }))
    }

    /// Checks a change of documents, and stores it unless it is a dry run.
    ///
    /// # Errors
    /// The faults of the change; nothing has changed in that case.
    pub fn change(&mut self, call: &Call, draft: ChangeDraft) -> Result<Outcome, Problem> {
        let dry_run = call.dry_run()?;
        if let (false, Some(reason)) = (dry_run, &self.read_only) {
            return Err(Problem::read_only(reason.clone()));
        }
        let mut edits: Vec<(String, Option<Value>)> = Vec::new();
        let mut tenants: Vec<(String, Option<Tenant>)> = Vec::new();
        let mut before: Vec<Option<Value>> = Vec::new();
        let mut differences = Vec::new();
        for (name, document, mapping) in &draft.edits {
            let now = self
                .tenant(name)?
                .map(|(_, tenant)| tenant_to_json(&tenant))
                .transpose()?;
            let read = match document {
                Some(document) => {
                    let invalid = |faults| Problem::from_faults(mapping.to_body(faults));
                    Some(
                        self.tenant_form
                            .deserialize::<Tenant>(document)
                            .map_err(invalid)?,
                    )
                }
                None => None,
            };
            // Parsing fills in all defaults, so that equal documents have the same text.
            let document = read.as_ref().map(tenant_to_json).transpose()?;
            if now == document {
                continue;
            }
            if differences.len() < difference::MAX_DIFFERENCES {
                let now = now.as_ref();
                differences.extend(difference::compare(
                    &format!("/{name}"),
                    now,
                    document.as_ref(),
                ));
            }
            edits.push((name.clone(), document));
            tenants.push((name.clone(), read));
            before.push(now);
        }
        check_operator_only(&call.principal, &edits, &before)?;
        drop(before);
        self.check_service(&draft, &tenants)?;
        differences.truncate(difference::MAX_DIFFERENCES);
        if edits.is_empty() {
            let (etag, body) = self.change_result(call, Vec::new(), differences, dry_run, &edits);
            return Ok(Reply {
                status: 200,
                etag,
                location: None,
                body,
            }
            .into());
        }
        let (next, revs) = self.catalog_after(&tenants)?;
        let prepared = PreparedChange::between(&self.catalog, next);
        let changed = tenant_changes(&edits, &revs, &prepared);
        let (etag, body) = self.change_result(call, changed.clone(), differences, dry_run, &edits);
        let status = if draft.location.is_some() && !dry_run {
            201
        } else {
            200
        };
        let reply = Reply {
            status,
            etag,
            location: draft.location.filter(|_| !dry_run),
            body,
        };
        if dry_run {
            return Ok(Reply {
                etag: None,
                ..reply
            }
            .into());
        }
        let transaction = Transaction {
            base_entry: self.last_entry,
            at_ms: call.now_ms,
            author: Author {
                id: call.principal.id.clone(),
                name: call.principal.name.clone(),
            },
            action: draft.action.into(),
            subject: draft.subject,
            detail: draft.detail,
            tokens: self
                .tokens_of_removed_tenants(&edits)
                .into_iter()
                .map(|id| (id, None))
                .collect(),
            edits: edits
                .into_iter()
                .map(|(name, d)| (scope(&name), d))
                .collect(),
            reply: reply_to_store(call, &reply)?,
            minimum_version: None,
        };
        let agreed = AgreedChange {
            transaction,
            tenants: changed,
        };
        if self.in_cluster {
            return Ok(Outcome::Propose(Box::new((agreed, reply))));
        }
        match self.store_change(&agreed, Some(prepared))? {
            StoredChange {
                prepared: Some(prepared),
                event: Some(event),
            } => Ok(Outcome::Change(Box::new((prepared, reply, event)))),
            _ => Ok(reply.into()),
        }
    }

    /// Stores a change of tokens, and returns the reply.
    ///
    /// # Errors
    /// The change can't be stored; nothing has changed in that case.
    pub fn change_tokens(
        &mut self,
        call: &Call,
        action: &str,
        subject: Option<String>,
        id: &str,
        token: Option<Token>,
        mut reply: Reply,
    ) -> Result<Outcome, Problem> {
        if let Some(reason) = &self.read_only {
            return Err(Problem::read_only(reason.clone()));
        }
        let stored = token
            .as_ref()
            .map(|t| serde_json::to_value(t).unwrap_or_default());
        // A secret is returned once and never stored: a repeated call does not return it again.
        let secret = reply
            .body
            .as_object_mut()
            .and_then(|body| body.remove("token"));
        let transaction = Transaction {
            base_entry: self.last_entry,
            at_ms: call.now_ms,
            author: Author {
                id: call.principal.id.clone(),
                name: call.principal.name.clone(),
            },
            action: action.into(),
            subject,
            detail: Some(format!("token {id}")),
            edits: Vec::new(),
            tokens: vec![(id.to_owned(), stored)],
            reply: reply_to_store(call, &reply)?,
            minimum_version: None,
        };
        let agreed = AgreedChange {
            transaction,
            tenants: Vec::new(),
        };
        if !self.in_cluster {
            self.store_change(&agreed, None)?;
        }
        if let (Some(secret), Some(body)) = (secret, reply.body.as_object_mut()) {
            body.insert("token".into(), secret);
        }
        match self.in_cluster {
            true => Ok(Outcome::Propose(Box::new((agreed, reply)))),
            false => Ok(reply.into()),
        }
    }

    /// Returns the tokens of tenants that are removed. They must not be valid for a later tenant of the same name.
    fn tokens_of_removed_tenants(&self, edits: &[(String, Option<Value>)]) -> Vec<String> {
        let removed: BTreeSet<&String> = edits
            .iter()
            .filter(|(_, document)| document.is_none())
            .map(|(name, _)| name)
            .collect();
        let is_removed = |name: &String| removed.contains(name);
        let revoked = self
            .tokens
            .iter()
            .filter(|(_, token)| token.tenant.as_ref().is_some_and(is_removed));
        revoked.map(|(id, _)| id.clone()).collect()
    }

    fn commit(&mut self, transaction: &Transaction) -> Result<(), StoreError> {
        let store = self
            .store
            .as_mut()
            .ok_or_else(|| StoreError::Unavailable("the state is read-only".into()))?;
        let entry = store.commit(transaction)?;
        (self.last_entry, self.version) = (
            transaction.base_entry + 1,
            entry.version.unwrap_or(self.version),
        );
        self.snapshot_stale = true;
        Ok(())
    }

    /// Checks the service as a whole after a change of these tenants.
    fn check_service(
        &self,
        draft: &ChangeDraft,
        edits: &[(String, Option<Tenant>)],
    ) -> Result<(), Problem> {
        let faults = validation::validate_edits(&self.catalog, edits);
        if faults.is_empty() {
            return Ok(());
        }
        // Faults of a changed tenant are reported at their place in the body. All others are conflicts with unchanged parts
        // of the service.
        let mappings: BTreeMap<&str, &PointerMapping> = draft
            .edits
            .iter()
            .map(|(name, _, mapping)| (name.as_str(), mapping))
            .collect();
        let mut own = Vec::new();
        let mut others = Vec::new();
        for (edit, fault) in faults {
            match edit.and_then(|i| mappings.get(edits.get(i)?.0.as_str())) {
                Some(mapping) => own.extend(mapping.to_body(vec![fault])),
                None => others.push(format!("{}: {}", fault.key(), fault.message)),
            }
        }
        if own.is_empty() {
            Err(Problem::conflict(join_faults(&others, "; ")))
        } else {
            Err(Problem::from_faults(own))
        }
    }

    /// Returns the entity tag and the body of the reply to a change.
    fn change_result(
        &mut self,
        call: &Call,
        tenants: Vec<TenantChange>,
        differences: Vec<Difference>,
        dry_run: bool,
        edits: &[(String, Option<Value>)],
    ) -> (Option<String>, Value) {
        let changed = !tenants.is_empty();
        let version = self.version + u64::from(changed && !dry_run);
        let etag = match (call.path.get("tenant"), edits) {
            (Some(_), [(_, Some(document))]) => tenants.first().map(|t| etag(t.rev, document)),
            (Some(name), []) => self
                .document(&call.principal, name)
                .ok()
                .map(|(rev, d)| etag(rev, &d)),
            (None, _) if call.principal.sees_all_tenants() => Some(format!("\"v{version}\"")),
            _ => None,
        };
        let version = call.principal.sees_all_tenants().then_some(version);
        let result = ChangeResult {
            changed,
            dry_run,
            version,
            tenants,
            differences,
        };
        (etag, serde_json::to_value(result).unwrap_or_default())
    }
}

/// The tenant does not exist, or the caller may not see it.
pub fn tenant_not_found(name: &str) -> Problem {
    Problem::not_found(format!("there is no tenant \"{name}\""))
}

/// Returns a new operator token: its id, the token text, and the value to store.
///
/// # Errors
/// The operating system provides no random numbers.
pub fn new_operator_token(name: &str, now_ms: u64) -> Result<(String, String, Value), Problem> {
    let id = access::new_id()?;
    let (token_text, secret) = access::new_secret(&id)?;
    let token = Token {
        name: name.into(),
        role: Role::Operator,
        tenant: None,
        created_ms: now_ms,
        expires_ms: None,
        secrets: vec![secret],
    };
    Ok((
        id,
        token_text,
        serde_json::to_value(token).unwrap_or_default(),
    ))
}

/// Writes a secret into a file that only its owner can read.
fn write_secret(path: &Path, secret: &str) -> std::io::Result<()> {
    use std::io::Write as _;
    use std::os::unix::fs::OpenOptionsExt as _;
    let mut file = std::fs::OpenOptions::new()
        .write(true)
        .create(true)
        .truncate(true)
        .mode(0o600)
        .open(path)?;
    writeln!(file, "{secret}")?;
    file.sync_all()
}

/// Rejects changes that only operators may make: a tenant's share of common resources, and its hosts.
fn check_operator_only(
    principal: &Principal,
    edits: &[(String, Option<Value>)],
    before: &[Option<Value>],
) -> Result<(), Problem> {
    if principal.is_operator() {
        return Ok(());
    }
    for ((_, document), now) in edits.iter().zip(before) {
        let (Some(now), Some(next)) = (now, document) else {
            return Err(Problem::forbidden("only operators add and remove tenants"));
        };
        for key in ["hosts", "limits"] {
            if now[key] != next[key] {
                return Err(Problem::forbidden(format!("only operators change {key}")));
            }
        }
        let connection_limits = |document: &Value| -> BTreeMap<String, Value> {
            let servers = document["server"].as_array().into_iter().flatten();
            let limited = servers.filter(|server| !server["connections"].is_null());
            limited
                .map(|server| (server["address"].to_string(), server["connections"].clone()))
                .collect()
        };
        let before = connection_limits(now);
        if connection_limits(next)
            .iter()
            .any(|(address, limit)| before.get(address) != Some(limit))
        {
            return Err(Problem::forbidden(
                "only operators set connections of servers",
            ));
        }
    }
    Ok(())
}

/// Returns the changes of each tenant.
fn tenant_changes(
    edits: &[(String, Option<Value>)],
    revs: &[u64],
    prepared: &PreparedChange,
) -> Vec<TenantChange> {
    let to_set = |names: &'_ [String]| -> BTreeSet<String> { names.iter().cloned().collect() };
    let (added, removed) = (to_set(&prepared.plan.added), to_set(&prepared.plan.removed));
    let tenant_change = |((name, _), rev): (&(String, Option<Value>), &u64)| {
        let change = prepared.plan.changed.get(name).copied().unwrap_or_default();
        TenantChange {
            name: name.clone(),
            rev: *rev,
            added: added.contains(name),
            removed: removed.contains(name),
            pool: change.settings,
            servers: change.servers,
            limits: change.limits,
        }
    };
    edits.iter().zip(revs).map(tenant_change).collect()
}

/// Maximum length of an idempotency key in bytes.
const MAX_KEY_BYTES: usize = 256;

fn idempotency_key(call: &Call) -> Result<Option<String>, Problem> {
    // A call that is forwarded to another instance may arrive again without the caller repeating it.
    let Some(key) = &call.idempotency_key else {
        return Ok(call.id.as_ref().map(|id| format!("call {id}")));
    };
    if key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(Problem::malformed(format!(
            "Idempotency-Key: it has 1 to {MAX_KEY_BYTES} letters"
        )));
    }
    Ok(Some(format!("{} {key}", call.principal.id)))
}

fn fingerprint(call: &Call) -> String {
    let text = format!(
        "{}\n{:?}\n{:?}\n{}",
        call.target, call.if_match, call.if_none_match, call.body
    );
    let sum: String = Sha256::digest(text.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect();
    sum
}

/// Returns the reply to a write as it is stored for repetitions.
fn reply_to_store(call: &Call, reply: &Reply) -> Result<Option<(String, Value)>, Problem> {
    let Some(key) = idempotency_key(call)? else {
        return Ok(None);
    };
    let stored_reply = json!({
        "fingerprint": fingerprint(call),
        "status": reply.status,
        "etag": reply.etag,
        "location": reply.location,
        "body": reply.body,
    });
    Ok(Some((key, stored_reply)))
}
