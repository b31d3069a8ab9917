//! Instances that act as one: a log that they agree on, and changes of policy that take hold everywhere or nowhere.
//!
//! - [`Machine`](machine::Machine): what the log comes to, the same at each instance.
//! - [`Fence`](fence::Fence): an instance's right to decide, under one version and by its own clock.
//! - [`Warden`](warden::Warden): what a leader knows of these rights, and when a change may go on.
//! - [`salvage`]: what is left in one member's log when most are lost for good.
//! - [`Node`](node::Node): these three with the log's library, one instance's whole part.
//!
//! Nothing here has sockets, a disk or a clock; it knows nothing of what a policy says, and decides nothing about requests.

pub mod fence;
mod log;
pub mod machine;
pub mod node;
pub mod salvage;
pub mod sim;
pub mod warden;
