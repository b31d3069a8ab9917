//! Member of a cluster: event loop between the cluster's node, the transport, the log and the application.
//!
//! [`MemberRuntime`] owns all of these. The application receives [`MemberEvent`]s and gives [`MemberCommand`]s; the node's outputs are
//! carried out in their order, and nothing is sent before what it depends on is on disk. Agreement is the node's work, not done here.

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
