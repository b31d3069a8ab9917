//! Decision module of a reverse proxy: decides which endpoint gets which request, and when.
//!
//! The module has no sockets and no clock. The caller passes each [`Event`] with its time to [`Balancer::handle`] and
//! carries out the [`Action`]s that it returns. All randomness comes from one seed.
//!
//! Interface: `types`, `settings`, `health_snapshot`, `event`, `action`. Each rule is a module with its own constants;
//! `deploy/balancer.toml` lists all of these modules under `policy`.
//!
//! A module imports only modules that precede it in this table, and only modules marked with a star make decisions;
//! `tests/source_rules.rs` enforces both. Most rules are methods of `State`. They too call only methods of preceding
//! modules, but such calls need no import, so no test enforces it.
//!
//! | module | content |
//! | --- | --- |
//! | `types`, `settings`, `health_snapshot`, `event`, `action` | interface |
//! | `hash`, `ewma` | hash of two numbers, exponentially weighted moving average |
//! | `timing`* | periods, margins and timer tokens that several rules share |
//! | `threshold`* | queue length from which a request goes to a slower endpoint instead of waiting |
//! | `speed_bands`* | groups of endpoints that count as equally fast |
//! | `arrival_rate`*, `tenant_quota`* | arrival rate, tenant quotas |
//! | `latency_estimator`* | latencies per class, machine type and endpoint |
//! | `outlier_detection`* | ejection, backoff, probation, panic threshold |
//! | `slow_start`* | requests to an endpoint that is warming up |
//! | `endpoint` | record of an endpoint |
//! | `concurrency_limit`* | slots per endpoint, window of requests in flight |
//! | `request` | record of a request and its attempts |
//! | `retry`* | permission to retry, retry budget, lost responses |
//! | `queue`* | priority of queued requests |
//! | `in_flight` | attempts in flight and the slots that they occupy |
//! | `gossip_message` | encoding of reports between proxies |
//! | `gossip`* | validity and frequency of reports between proxies |
//! | `state` | complete state, on which the following rules operate |
//! | `availability`* | cost and availability of an endpoint |
//! | `endpoint_selection`* | choice of the endpoint for a request |
//! | `forwarding`* | order of queued requests, attempt timeouts |
//! | `final_answer`* | rejection or failure, its due time, Retry-After |
//! | `attempts`* | effects of an attempt's progress and end |
//! | `stall_detection`* | silent attempts, hanging endpoints |
//! | `admission`* | admission on arrival, load shedding |
//! | `endpoint_list`* | additions, drains, removals, subscription |
//! | `peer_reports`* | exchange of reports with other proxies |
//! | `reconfiguration`* | new settings, number of proxies |
//! | `health_transfer` | creation and restoration of health snapshots |
//! | `maintenance`* | periodic ticks and reviews |
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
    LoadReport, MachineTypeId, Millis, Outcome, Reception, RequestId, TenantId, UpdateScope,
    ZoneId,
};
