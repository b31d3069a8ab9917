//! Versions of documents that survive the process: what was acknowledged is there after a crash, whole.
//!
//! A store holds documents by scope (`tenant/north`), each with its revisions, a log of who changed what, tokens and the
//! replies that repeated writes get. A write is one transaction: all of it is there afterwards or none. It knows nothing
//! of what the documents mean and reads no clock.
//!
//! - [`Store`]: the present documents and all kept versions; [`Write`]: what one change does.
//! - [`StoreError`]: what is wrong, and what to do about it.
//! - [`log::Log`]: the log of a cluster's member, in a file of its own.
//! - [`snapshot`]: the last known good documents in a file of their own, for a start beside a damaged store.

mod dump;
mod error;
mod format;
pub mod log;
mod read;
mod record;
pub mod snapshot;
mod store;

pub use dump::{export, import, replace};
pub use error::StoreError;
pub use format::FORMAT;
pub use record::{Author, Edited, Entry, Row, State};
pub use store::{Each, Keep, Opener, Store, Write};

/// The store's file in its directory.
pub const FILE: &str = "state.redb";
