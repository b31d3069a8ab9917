//! Replication of configuration changes between members: a raft log, leases, and changes that take effect everywhere or nowhere.
//!
//! - [`StateMachine`](state_machine::StateMachine): the replicated state, the same at each member.
//! - [`MemberLease`](member_lease::MemberLease): the lease under which a member decides.
//! - [`LeaseTable`](lease_table::LeaseTable): the leader's knowledge of these leases, which determines when a change may proceed.
//! - [`Node`](node::Node): one member; combines the above with raft.
//! - [`log_recovery`]: recovery from one member's log after a permanent loss of the quorum.
//! - [`simulation`]: many members in virtual time.
//!
//! The package has no sockets, no disk and no clock. It does not interpret configurations and decides nothing about requests.
#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod codec;
pub mod command;
pub mod error;
pub mod lease_table;
pub mod log_recovery;
pub mod member_lease;
pub mod message;
pub mod node;
pub mod output;
pub mod persistence;
mod raft_log;
pub mod rules;
pub mod simulation;
pub mod state_machine;
