//! Member of a cluster: event loop between the cluster's node, the transport, the log and the application.
//!
//! [`MemberRuntime`] owns all of these. The application receives [`MemberEvent`]s and sends [`MemberCommand`]s. The runtime performs the
//! node's outputs in order, so that a message is sent only after the state that it depends on is on disk. The node implements consensus.

mod call_routing;
mod call_table;
mod command;
mod command_handler;
mod discovery;
mod error;
mod event;
mod joining;
mod message_handler;
mod output_handler;
mod runtime;
mod settings;
mod status_report;

pub use command::{CallResult, MemberCommand, PendingChange, ProposalResult};
pub use error::MemberError;
pub use event::MemberEvent;
pub use runtime::MemberRuntime;
pub use settings::{InitialState, InitialStateError, ProvideInitialState, Settings};
