//! Durable store of versioned configuration documents: an acknowledged transaction survives a crash, complete or not at all.
//!
//! A store holds documents by scope (`tenant/north`) with their revisions, an audit log, tokens, and the replies of writes
//! with an idempotency key. The store does not interpret documents and reads no clock.
//!
//! - [`Store`]: queries, and commits of a [`Transaction`]; [`Retention`] bounds the history.
//! - [`StoreError`]: failures, each with the operator's next step.
//! - [`export()`], [`import`], [`restore`]: the contents as text.
//! - [`snapshot`]: the last known good documents in a separate file, for a start with a damaged store.
//! - [`raft_log::RaftLog`]: the replicated log of a cluster member, in a separate file.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod audit;
mod checksum;
mod commit;
mod corruption;
mod database;
mod error;
mod export;
mod header;
mod integrity;
mod migration;
mod queries;
pub mod raft_log;
mod record;
mod retention;
pub mod snapshot;
mod store;
mod tables;
mod transaction;

pub use database::{RecoverableDatabase, open_database};
pub use error::StoreError;
pub use export::{export, import, restore};
pub use record::{AuditEntry, Author, DocumentEdit, DocumentRevision, DocumentVisitor, StoreState};
pub use retention::Retention;
pub use store::{FILE_NAME, Opener, Store};
pub use tables::FORMAT_VERSION;
pub use transaction::Transaction;
