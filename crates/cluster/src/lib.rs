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
//!
//! # Terms
//!
//! A *member* is one participant of the cluster, from its join to its removal, over all restarts. It has a name, which a later member
//! may take over, and a *raft node id*, which is never given twice. Its *process* is what one start of it runs, with one
//! [`Node`](node::Node). Some texts for operators say "instance" for a member; they stay as they are.
//!
//! # Stored names
//!
//! Logs, snapshots and messages keep the names under which they were first written. Serde attributes on the types map them.
//! `tests/stored_forms.rs` holds the forms.
//!
//! | type | stored name: term |
//! | --- | --- |
//! | [`Command`](command::Command) | `join`: `AddMember`, `leave`: `RemoveMember`, `propose`: `Propose`, `close`: `Fence`, `open`: `Activate`, `give-up`: `Abort`, `note`: `Store` |
//! | `Command::Abort` | `why`: `reasons` |
//! | [`AbortReason`](command::AbortReason) | `by`: `member`, `why`: `detail` |
//! | [`Proposal`](command::Proposal) | `base`: `base_revision` |
//! | [`Member`](command::Member) | `drawn`: `join_nonce` |
//! | [`Phase`](state_machine::Phase) | `checking`: `Validating`, `closing`: `Fencing` |
//! | [`Outcome`](state_machine::Outcome) | `in-effect`: `Activated`, `stored`: `Stored`, `given-up`: `Aborted`, `overtaken`: `Conflict` |
//! | [`StateMachine`](state_machine::StateMachine) | `cluster`: `cluster_id`, `entry`: `revision` |
//! | [`Rules`](rules::Rules) | `short`: `change_lease`, `drift`: `clock_drift_ppm`, `deadline`: `change_deadline`, `when_cut_off`: `partition_policy` |
//! | [`PartitionPolicy`](rules::PartitionPolicy) | `refuse`: `Reject`, `serve`: `Serve` |
//! | [`Message`](message::Message) | `log`: `Raft`, `report`: `Report`, `grant`: `Grant`, `hello`: `DiskCheck`, `welcome`: `DiskCheckReply` |
//! | [`DiskCheckReply`](message::DiskCheckReply) | `acknowledged`: `acknowledged_index` |
//! | [`Report`](member_lease::Report) | `seq`: `sequence`, `holds_nothing`: `has_no_lease`, `checked`: `validation`, `closed`: `fenced_change` |
//! | [`Grant`](member_lease::Grant) | `seq`: `report_sequence`, `span`: `duration` |
//! | [`LeaseDuration`](member_lease::LeaseDuration) | `short`: `DuringChange`, `lease`: `Regular`, `forever`: `Unlimited` |
//! | content of a snapshot | `machine`: state machine, `state`: the application's state |
//!
//! A [`Validation`](member_lease::Validation) and a remembered outcome are stored as pairs.
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
