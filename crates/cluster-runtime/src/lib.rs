//! The I/O of a cluster's member: links to the others, its log on disk, its clock, and the loop that drives it.
//!
//! - [`member`]: opens a member and drives it; the application is told what to do, in order, and says when it is done.
//! - [`post::Post`]: one link out to each member, framed and sealed by [`frame`], and all links in.
//! - [`right::Right`]: the member's right to decide, looked at for each decision.
//!
//! It decides nothing: what is agreed on, and who may decide, is the cluster's part's.

pub mod clock;
pub mod frame;
pub mod kept;
mod mark;
pub mod member;
pub mod message;
pub mod post;
pub mod right;
pub mod status;
