//! State of the decision module, with queries and updates that span several of its parts.
//!
//! Decisions are methods of [`State`] too, but are defined in the modules of their rules; this file contains none.

use rustc_hash::FxHashMap;

use crate::arrival_rate::ArrivalRate;
use crate::concurrency_limit::ConcurrencyLimit;
use crate::endpoint::EndpointRecord;
use crate::gossip::Gossip;
use crate::in_flight::InFlight;
use crate::latency_estimator::LatencyEstimator;
use crate::outlier_detection::{EndpointTraffic, OutlierDetector};
use crate::queue::{Position, Queue, Requests};
use crate::request::Request;
use crate::retry::{LostResponses, RetryBudget};
use crate::settings::{Class, Settings};
use crate::slow_start;
use crate::speed_bands::SpeedBands;
use crate::tenant_quota::TenantQuotas;
use crate::types::{EndpointId, Millis, RequestId};

/// Totals over the endpoints that accept requests according to the list.
pub(crate) struct AcceptingTotals {
    /// Number of endpoints.
    pub count: u32,
    /// Sum of the weights.
    pub weight: f64,
}

/// Subscription to the endpoint list, used if updates have to be requested.
#[derive(Default)]
pub(crate) struct Subscription {
    /// True if a subscription was requested and has not failed.
    pub active: bool,
    /// Earliest time of the next request for a subscription.
    pub retry_at: Millis,
}

/// State of the decision module.
pub(crate) struct State {
    /// Current settings.
    pub settings: Settings,
    /// Maximum latency objective over all classes.
    pub max_latency_objective: Millis,
    /// Only source of randomness.
    pub rng: fastrand::Rng,
    /// Number of maintenance ticks; 0 before the first event.
    pub ticks: u64,
    /// All endpoints that have ever been listed, by index.
    pub endpoints: Vec<EndpointRecord>,
    /// Index of each endpoint.
    pub endpoint_index: FxHashMap<EndpointId, usize>,
    /// Totals over the endpoints that accept requests.
    pub accepting: AcceptingTotals,
    /// Subscription to the endpoint list.
    pub subscription: Subscription,
    /// Open endpoints by speed.
    pub bands: SpeedBands,
    /// Number of endpoints that are open while they are warming up.
    pub open_while_warming: usize,
    /// Requests in progress.
    pub requests: Requests,
    /// Queued requests.
    pub queue: Queue,
    /// Attempts in flight.
    pub in_flight: InFlight,
    /// Arrival rate at this proxy.
    pub arrivals: ArrivalRate,
    /// Arrival time of the last idempotent request.
    pub last_idempotent_at: Millis,
    /// Tenants' quotas.
    pub quotas: TenantQuotas,
    /// Latency estimates.
    pub latency: LatencyEstimator,
    /// Slots of endpoints and window of this proxy.
    pub concurrency: ConcurrencyLimit,
    /// Outlier detection over all endpoints.
    pub outliers: OutlierDetector,
    /// Retry budget.
    pub retries: RetryBudget,
    /// Estimate of lost responses.
    pub lost_responses: LostResponses,
    /// Reports of other proxies.
    pub gossip: Gossip,
}

/// Returns the maximum latency objective over all classes.
pub(crate) fn max_latency_objective(classes: &[Class]) -> Millis {
    classes
        .iter()
        .map(|class| class.latency_objective)
        .fold(0.0, f64::max)
}

impl State {
    /// Creates the state of a proxy that knows no endpoints.
    pub fn new(settings: Settings, seed: u64) -> Self {
        let classes = settings.classes.len();
        let max_latency_objective = max_latency_objective(&settings.classes);
        State {
            max_latency_objective,
            rng: fastrand::Rng::with_seed(seed),
            ticks: 0,
            endpoints: Vec::new(),
            endpoint_index: FxHashMap::default(),
            accepting: AcceptingTotals {
                count: 0,
                weight: 0.0,
            },
            subscription: Subscription::default(),
            bands: SpeedBands::new(),
            open_while_warming: 0,
            requests: FxHashMap::default(),
            queue: Queue::new(classes),
            in_flight: InFlight::default(),
            arrivals: ArrivalRate::new(),
            last_idempotent_at: f64::NEG_INFINITY,
            quotas: TenantQuotas::new(settings.tenants.len()),
            latency: LatencyEstimator::new(
                &settings.classes,
                max_latency_objective,
                settings.key_affinity,
            ),
            concurrency: ConcurrencyLimit::new(),
            outliers: OutlierDetector::new(classes),
            retries: RetryBudget::new(),
            lost_responses: LostResponses::new(),
            gossip: Gossip::new(settings.proxy_count),
            settings,
        }
    }

    /// Returns the expected latency of a request at a mean endpoint.
    pub fn expected_latency(&self, request: &Request) -> Millis {
        self.latency.of_class(request.class) * request.relative_work
    }

    /// Returns the fraction of its capacity that an endpoint is guaranteed to have now.
    pub fn capacity_fraction(&self, index: usize, now: Millis) -> f64 {
        let started_at = self.endpoints[index].entry.started_at;
        slow_start::capacity_fraction(started_at, &self.settings.limits, now)
    }

    /// Returns true if proxies share all slots.
    pub fn is_pooled(&self) -> bool {
        self.concurrency.is_pooled(
            &self.settings,
            self.accepting.count,
            self.latency.squared_relative(),
        )
    }

    /// Returns true if this proxy may send no further requests, except to warming endpoints.
    pub fn is_window_full(&self) -> bool {
        self.is_pooled()
            && self
                .concurrency
                .is_window_full(self.in_flight.counted_in_window())
    }

    /// Returns the traffic of the proxies to one endpoint.
    pub fn endpoint_traffic(&self) -> EndpointTraffic {
        EndpointTraffic::new(
            self.accepting.count,
            self.arrivals.per_ms(),
            self.settings.proxy_count,
        )
    }

    /// Queues a request.
    pub fn enqueue(&mut self, id: RequestId, position: Position) {
        let request = self
            .requests
            .get_mut(&id)
            .expect("only known requests are queued");
        if let Some(home) = request.home {
            let affinity_queue = &mut self.endpoints[home].affinity_queue;
            affinity_queue.queued += 1;
            affinity_queue.requests.push_back(id);
        }
        self.queue.push(id, request, position);
    }

    /// Removes a request from the queue, if it is queued.
    pub fn dequeue(&mut self, id: RequestId) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        if !request.status.queued {
            return;
        }
        self.queue.remove(request);
        if let Some(home) = request.home {
            self.endpoints[home].affinity_queue.queued -= 1;
        }
    }

    /// Marks a request as needing no further answer, and drops its record once its attempts have ended.
    pub fn finish(&mut self, id: RequestId) {
        self.dequeue(id);
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.status.finished = true;
        if !request.is_in_flight() {
            self.requests.remove(&id);
        }
    }
}
