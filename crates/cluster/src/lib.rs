//! Replication of configuration changes across the members of a cluster, with a raft log and leases: a change takes effect on every
//! member or on none.
//!
//! - [`StateMachine`](state_machine::StateMachine): the replicated state, the same at each member.
//! - [`MemberLease`](member_lease::MemberLease): the lease under which a member may decide.
//! - [`LeaseTable`](lease_table::LeaseTable): the leader's record of these leases, which determines when a change may proceed.
//! - [`Node`](node::Node): one running member; combines the above with raft.
//! - [`log_recovery`]: recovery from the log of one member after a permanent loss of the quorum.
//! - [`simulation`]: a whole cluster in virtual time, for tests.
//!
//! The package does no network or disk I/O and reads no clock. It does not interpret configurations and does not handle requests.
//!
//! # Terms
//!
//! A *member* is one participant of the cluster, from its join to its removal, across restarts. It has a name, which a later member may
//! reuse, and a *raft node id*, which is never reused. Each start of its process is an *incarnation*, with one [`Node`](node::Node).
//! Messages for operators call a member an "instance".
//!
//! A member *decides* when it handles a request under a version of the configuration. It may do so only while it has a valid lease for
//! that version. A member is *fenced* when it has stopped deciding because a change is about to take effect.
//!
//! # Stored names
//!
//! Logs, snapshots and messages keep the names of earlier versions for compatibility; serde attributes map them to the names in the
//! code. `tests/stored_forms.rs` checks the serialized forms.
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
//! A [`Validation`](member_lease::Validation) and a recorded outcome are serialized as pairs.
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
