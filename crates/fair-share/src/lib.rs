//! Fair shares of one process between the tenants that it carries.
//!
//! Tenants share what the process has: sockets, requests in flight, buffered bytes, time of the event loop, and the
//! connections of servers that two tenants have in common. This crate says who may have how much, at once and without
//! a queue: what is over a tenant's share is turned away, and the decision module refuses it. It holds no sockets and
//! reads no clock; time comes in as milliseconds on one clock that never runs backwards.
//!
//! - [`Stock`]: things held for a while and given back, such as sockets.
//! - [`Flow`]: work that is done and gone, such as time of the event loop.
//! - [`Shares`]: all of a process's stocks and its flow, by tenant; what a front asks.
//!
//! Shares follow weights among the tenants that have asked lately. Nothing that is free is kept from a tenant, but for
//! what others have used lately and a small part for newcomers (`docs/design/tenancy.md`).

mod flow;
mod shares;
mod stock;

pub use flow::{Flow, Terms as FlowTerms};
pub use shares::{Caps, Limits, Refusal, Resource, Shares, Use};
pub use stock::{Lack, Stock};

/// A point in time or a span, in milliseconds.
pub type Millis = f64;

/// A tenant's place in the tables, from 0. A place may be used again once its tenant has given back all it held.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Tenant(pub usize);
