//! Messages between the watch and its connection, and notices for the log.

use std::fmt;

use crate::key_value::{KeyChange, KeyValue};
use crate::list::ListChange;
use crate::status::Phase;
use crate::time::Millis;

/// Header of each answer of the store.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Header {
    /// Id of the store's cluster.
    pub cluster: u64,
    /// Revision that the answering member has applied.
    pub revision: i64,
}

/// Input of the watch.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Event {
    /// The watch starts, or its deadline is due.
    Timer,
    /// The requested connection is established.
    Connected,
    /// One page of a snapshot.
    Page {
        /// Header of the answer.
        header: Header,
        /// Keys and values, in the order of the keys.
        key_values: Vec<KeyValue>,
        /// Further pages follow.
        more: bool,
    },
    /// The revision of the requested snapshot page is compacted.
    PageCompacted,
    /// The watch is established.
    WatchEstablished(Header),
    /// Changes of keys.
    Changes {
        /// Header of the answer.
        header: Header,
        /// Changes in the order of their revisions.
        changes: Vec<KeyChange>,
        /// Further changes of the same answer follow.
        fragment: bool,
    },
    /// All changes up to the header's revision were delivered.
    Progress(Header),
    /// The store cancelled the watch.
    Cancelled {
        /// Compacted revision that the watch fell behind; 0 for another reason.
        compact_revision: i64,
    },
    /// The connection, or a call on it, failed.
    ConnectionLost,
}

/// Output of the watch, to be carried out in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Command {
    /// Close the connection, and open one to a member of the store's cluster.
    Connect {
        /// Consecutive number of the target; its remainder by the number of members is the index of the member.
        member: usize,
        /// Time to connect at.
        at: Millis,
    },
    /// Request a snapshot page.
    List {
        /// First key of the page.
        start_key: Vec<u8>,
        /// Revision of the snapshot; 0 for the current one.
        revision: i64,
    },
    /// Establish a watch from this revision on.
    Watch(i64),
    /// Request the progress of the watch.
    RequestProgress,
    /// Publish a change of the list.
    Publish(ListChange),
    /// Log a notice.
    Notice(Notice),
}

/// Notice for the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Notice {
    /// The phase changed.
    Phase(Phase),
    /// The list is stale, out of sync since this time.
    Stale(Millis),
    /// Changes up to this revision were compacted before they were delivered.
    Compacted(i64),
    /// A member answers from an older state than the known one.
    Lagging {
        /// Revision of the member.
        member_revision: i64,
        /// Known revision.
        known_revision: i64,
    },
    /// A store of another cluster answers; the answer is dropped.
    OtherCluster(u64),
    /// Every member has answered from an older state for a long time, as after a restored backup; its snapshot is applied.
    RolledBack {
        /// Revision of the member.
        member_revision: i64,
        /// Known revision.
        known_revision: i64,
    },
    /// The endpoint table rejected or deferred a change.
    Table(TableNotice),
}

/// Notice of the endpoint table.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TableNotice {
    /// A value is invalid; the endpoint keeps its last valid record, if it has one.
    Quarantined {
        /// Name of the endpoint.
        name: String,
        /// Reason from [`crate::RecordError`].
        reason: String,
    },
    /// Endpoints are retained after a mass lease expiry; their number.
    Retained(usize),
    /// Retained endpoints are removed; their number.
    RetentionEnded(usize),
    /// The endpoint of this name is flapping.
    Flapping(String),
    /// The endpoint of this name exceeds the maximum number of endpoints.
    LimitExceeded(String),
    /// The endpoint of this name was deleted, and a record from an older state is ignored.
    OutdatedRecord(String),
}

impl fmt::Display for TableNotice {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            TableNotice::Quarantined { name, reason } => write!(
                f,
                "{name}: its value is invalid, its last valid one stays in use: {reason}"
            ),
            TableNotice::Retained(count) => write!(
                f,
                "{count} leases expired together: their endpoints are retained; `canvascart fleet release` removes them"
            ),
            TableNotice::RetentionEnded(count) => {
                write!(f, "{count} retained endpoints are removed")
            }
            TableNotice::Flapping(name) => write!(
                f,
                "{name} is flapping: it is added back after it has stayed for a while"
            ),
            TableNotice::LimitExceeded(name) => {
                write!(
                    f,
                    "{name} exceeds the maximum number of endpoints and is ignored"
                )
            }
            TableNotice::OutdatedRecord(name) => write!(
                f,
                "{name} is deleted; a record from an older state of the store is ignored"
            ),
        }
    }
}
