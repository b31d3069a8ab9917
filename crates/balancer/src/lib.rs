//! balancer decides, for one reverse proxy, which HTTP server gets which request and when.
//!
//! It does no input or output of its own: feed a [`Balancer`] through [`Balancer::handle`] with the [`Event`]s
//! that the proxy sees, and carry out the [`Action`]s that it returns. It holds no clock either: the time comes
//! with each event, and chance from one seed.
//!
//! `choice.rs` holds every decision. Below it stand what it knows (`records.rs`, `state.rs`, `standing.rs`) and plumbing that
//! decides nothing (`bands.rs`, `message.rs`, `hash.rs`), over `interface.rs`: events, actions and settings.

mod action;
mod bands;
mod choice;
mod event;
mod hash;
mod health_snapshot;
mod message;
mod records;
mod settings;
mod snapshot;
mod state;
mod types;

pub use action::Action;
pub use choice::threshold;
pub use event::Event;
pub use health_snapshot::{Ejection, EndpointHealth, HealthSnapshot, SlowStartBudget};
pub use settings::{Class, Costs, Discovery, Limits, Settings, Tenant, WeightMeaning};
pub use state::Balancer;
pub use types::{
    CellId, ClassId, DeduplicationScope, Endpoint, EndpointId, EndpointState, Idempotency, Key,
    LoadReport, MachineTypeId, Millis, Outcome, RequestId, TenantId, UpdateScope, ZoneId,
};
