//! I/O of a cluster member: connections to other members, the log on disk, the clock, and the event loop that drives the member.
//!
//! - [`member::MemberRuntime`]: opens a member and drives it; the application receives events and responds with commands.
//! - [`transport::Transport`]: connections between members, with the handshake and frames of [`frame`] and the encoding of [`message`].
//! - [`lease::SharedLease`]: the member's lease, checked for each decision.
//! - [`storage::StoredMember`]: the directory of a member whose process is not running.
//!
//! Consensus and leases are implemented in the `cluster` package.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

pub mod clock;
pub mod frame;
pub mod heartbeat;
pub mod lease;
pub mod member;
pub mod message;
pub mod status;
pub mod storage;
pub mod transport;
