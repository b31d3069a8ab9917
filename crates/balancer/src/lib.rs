//! Decision module of a reverse proxy: decides which endpoint gets which request, and when.
//!
//! It has no sockets and no clock: feed a [`Balancer`] through [`Balancer::handle`] with the [`Event`]s that the
//! proxy sees, each with its time, and carry out the [`Action`]s that it returns. All chance comes from one seed.
//!
//! Interface: `types`, `settings`, `health_snapshot`, `event`, `action`. Each rule is a module with its constants;
//! `deploy/balancer.toml` names them all under `policy`.
//!
//! A module imports only modules above it in this list, and only those marked with a star decide;
//! `tests/source_rules.rs` enforces both. Most rules are methods of `State`: their calls go upward in the list too, but
//! imports can't show that and no test holds it.
//!
//! | module | content |
//! | --- | --- |
//! | `types`, `settings`, `health_snapshot`, `event`, `action` | interface |
//! | `hash`, `ewma` | hash of two numbers, exponentially weighted mean |
//! | `timing`* | periods, margins and timer tokens that several rules share |
//! | `threshold`* | forward to a slower endpoint now, or wait |
//! | `speed_bands`* | which endpoints count as equally fast |
//! | `arrival_rate`*, `tenant_quota`* | arrivals, quotas |
//! | `latency_estimator`* | latencies per class, machine type and endpoint |
//! | `outlier_detection`* | ejection, backoff, probation, panic threshold |
//! | `slow_start`* | requests to an endpoint that is warming up |
//! | `endpoint` | record of an endpoint |
//! | `concurrency_limit`* | slots per endpoint, window of requests in flight |
//! | `request` | record of a request and its attempts |
//! | `retry`* | repeats, retry budget, lost responses |
//! | `queue`* | priority of queued requests |
//! | `in_flight` | attempts in flight and slots they take |
//! | `gossip_message` | encoding of reports between proxies |
//! | `gossip`* | validity and frequency of reports between proxies |
//! | `state` | all state, on which the rules below work |
//! | `availability`* | cost of an endpoint, and whether it is open |
//! | `endpoint_selection`* | endpoint for a request |
//! | `forwarding`* | order of queued requests, attempt timeouts |
//! | `final_answer`* | rejection or failure, when it is due, Retry-After |
//! | `attempts`* | consequences of an attempt's progress and end |
//! | `stall_detection`* | silent attempts, hanging endpoints |
//! | `admission`* | acceptance on arrival, load shedding |
//! | `endpoint_list`* | additions, drains, removals, subscription |
//! | `peer_reports`* | exchange of reports with other proxies |
//! | `reconfiguration`* | new settings, number of proxies |
//! | `health_transfer` | taking and restoring health snapshots |
//! | `maintenance`* | ticks and reviews |
//! | `balancer`* | dispatch of events |

#![deny(
    clippy::too_many_lines,
    clippy::too_many_arguments,
    clippy::many_single_char_names,
    clippy::type_complexity,
    clippy::struct_excessive_bools
)]

mod action;
mod admission;
mod arrival_rate;
mod attempts;
mod availability;
mod balancer;
mod concurrency_limit;
mod endpoint;
mod endpoint_list;
mod endpoint_selection;
mod event;
mod ewma;
mod final_answer;
mod forwarding;
mod gossip;
mod gossip_message;
mod hash;
mod health_snapshot;
mod health_transfer;
mod in_flight;
mod latency_estimator;
mod maintenance;
mod outlier_detection;
mod peer_reports;
mod queue;
mod reconfiguration;
mod request;
mod retry;
mod settings;
mod slow_start;
mod speed_bands;
mod stall_detection;
mod state;
mod tenant_quota;
mod threshold;
mod timing;
mod types;

pub use action::Action;
pub use balancer::{Balancer, EndpointCounts};
pub use event::Event;
pub use health_snapshot::{Ejection, EndpointHealth, HealthSnapshot, SlowStartBudget};
pub use settings::{Class, Costs, Discovery, Limits, Settings, Tenant, WeightMeaning};
pub use threshold::threshold;
pub use types::{
    CellId, ClassId, DeduplicationScope, Endpoint, EndpointId, EndpointState, Idempotency, Key,
    LoadReport, MachineTypeId, Millis, Outcome, RequestId, TenantId, UpdateScope, ZoneId,
};
