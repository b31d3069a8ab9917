//! balancer decides, for one reverse proxy, which HTTP server gets which request and when.
//!
//! It does no input or output of its own: feed a [`Balancer`] through [`Balancer::handle`] with the [`Event`]s
//! that the proxy sees, and carry out the [`Action`]s that it returns. It holds no clock either: the time comes
//! with each event, and chance from one seed.
//!
//! `choice.rs` holds every decision. Below it stand what it knows (`records.rs`, `state.rs`, `standing.rs`) and plumbing that
//! decides nothing (`bands.rs`, `message.rs`, `hash.rs`), over `interface.rs`: events, actions and settings.

mod bands;
mod choice;
mod hash;
mod interface;
mod message;
mod records;
mod standing;
mod state;

pub use choice::threshold;
pub use interface::*;
pub use state::Balancer;
