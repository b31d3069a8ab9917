//! Follows a fleet's list through a store of revisions, such as etcd: what of what the store says is to be believed, and when.
//!
//! It holds no sockets and reads no clock. What the store says comes in as [`Event`]s with their time; out come [`Command`]s
//! to the connection and changes of the list. It never gives out a server that it was told is gone, and it drops no server
//! because the store went quiet.
//!
//! - [`Follower`]: the state machine; [`Status`]: what operators see of it.
//! - [`Entry`]: a server as its value in the store has it; [`Keys`]: where its key is.
//! - [`Server`]: a server as the list has it.

mod entry;
mod follower;
mod table;

pub use entry::{Entry, Invalid, Keys, State, VERSION, is_name, range_end};
pub use follower::{Command, Event, Follower, Header, Limits, Note, Phase, Status, Update};
pub use table::{Change, Kv, Rules, Server, Told};

/// A point in time or a span, in milliseconds on one clock that never runs backwards.
pub type Millis = u64;
