//! The simulator's line protocol.
//!
//! This is the only module that knows the protocol's names. [`message`] maps the simulator's messages to types of the
//! code, [`reply`] writes actions as lines. A line is a name, followed by tab-separated `name=value` fields.

mod fields;
pub mod message;
pub mod reply;

pub use fields::Fields;
