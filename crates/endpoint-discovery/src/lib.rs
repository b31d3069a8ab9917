//! Endpoint list of a pool, followed through a revisioned store such as etcd.
//!
//! The package decides which of the store's answers to apply. It performs no I/O and reads no clock: answers come in as
//! [`Event`]s with their time; [`Command`]s to the connection and changes of the list come out. An endpoint that the store
//! deleted never reappears through an older state, and no endpoint is removed because the store is unreachable.
//!
//! - [`EndpointWatcher`]: the watch state machine; [`Status`]: its state for operators.
//! - [`EndpointRecord`]: an endpoint's value in the store; [`KeySpace`]: its key.
//! - [`Endpoint`]: an endpoint of the list; [`ListChange`]: a change of the list.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod backoff;
mod event;
mod flapping;
mod key_space;
mod key_value;
mod lease_expiry;
mod limits;
mod list;
mod record;
mod rollback;
mod silence;
mod snapshot;
mod staleness;
mod status;
mod table;
mod time;
mod tombstone;
mod watcher;

pub use event::{Command, Event, Header, Notice, TableNotice};
pub use key_space::{KeySpace, is_valid_endpoint_name, range_end};
pub use key_value::{KeyChange, KeyValue};
pub use limits::{BackoffLimits, TableLimits, WatchLimits};
pub use list::{Endpoint, EndpointCounts, ListChange};
pub use record::{EndpointRecord, EndpointState, RECORD_VERSION, RecordError};
pub use status::{DiscoveryUpdate, Phase, Status};
pub use time::Millis;
pub use watcher::EndpointWatcher;
