//! Concurrency limits: slots per endpoint, ownership of slots among proxies, and the window of requests in flight that
//! applies if proxies share all slots.
//!
//! The number of slots follows from the size of an endpoint and the latency of its machine type: a congested machine
//! type gets fewer slots, and one that stays uncongested while requests are queued gets more. `endpoint_selection`
//! decides which endpoint gets a request.

use crate::endpoint::{EndpointRecord, SlotOwnership};
use crate::hash::unit_hash;
use crate::latency_estimator::MachineTypeLatency;
use crate::settings::Settings;
use crate::types::{LoadReport, Millis, ZoneId};

/// Slots per core: slightly more than one keeps a core busy between responses.
const REQUESTS_PER_CORE: f64 = 1.1;
/// Maximum number of slots per endpoint whose owners are computed, regardless of its weight.
const MAX_SLOTS: u32 = 1024;
/// Ratio of the latency to the uncongested latency from which a machine type counts as congested.
const CONGESTED_RATIO: f64 = 1.6;
/// Minimum fraction of its slots that a congested machine type keeps.
const MIN_SLOT_FRACTION: f64 = 0.3;
/// Maximum multiple of its slots that an uncongested machine type gets while requests are queued.
const MAX_SLOT_FRACTION: f64 = 4.0;
/// Fraction of its slots that a machine type gets before its latency is known, so that it starts uncongested.
const INITIAL_SLOT_FRACTION: f64 = 0.5;
/// Maximum growth factor of slots per review while requests are queued: a factor of 2 in 0.8 s.
const SLOT_GROWTH_WHEN_SHORT: f64 = 1.1;
/// Maximum growth factor of slots per review while no requests are queued.
const SLOT_GROWTH: f64 = 1.02;
/// Minimum factor by which slots shrink per review.
const SLOT_CUT: f64 = 0.95;
/// Number of own slots below which proxies share all slots, for exponentially distributed latencies.
const MIN_OWN_SLOTS: f64 = 8.0;
/// Mean square of exponentially distributed latencies relative to their mean.
const EXPONENTIAL_MEAN_SQUARE: f64 = 2.0;
/// Slots of this proxy at each endpoint if proxies share all slots.
const POOLED_SLOTS: f64 = 1.0;
/// Initial window.
const INITIAL_WINDOW: f64 = 4.0;
/// Minimum window.
const MIN_WINDOW: f64 = 1.0;
/// Lower bound on the maximum window, which is otherwise the number of endpoints.
const MIN_WINDOW_BOUND: usize = 4;
/// Factor by which a congestion signal reduces the window.
const WINDOW_CUT: f64 = 0.9;
/// Growth of the window per response without a congestion signal; smaller below the initial window.
const WINDOW_STEP: f64 = 0.5;
/// Number of unused requests of the window below which the window counts as used.
const MAX_UNUSED_WINDOW: f64 = 2.0;
/// Fraction of the latency objective from which a latency is a congestion signal.
const LATE_FRACTION: f64 = 0.5;
/// Multiple of the uncongested latency from which a latency is a congestion signal.
const CONGESTED_LATENCY_RATIO: f64 = 4.0;
/// Requests per core above which a load report is a congestion signal. With this many, half of the requests take longer
/// than [`CONGESTED_LATENCY_RATIO`] times the uncongested latency.
const CONGESTED_REQUESTS_PER_CORE: f64 = CONGESTED_LATENCY_RATIO / std::f64::consts::LN_2;

/// Slots of a machine type.
struct MachineTypeSlots {
    /// Inferred number of cores of an endpoint.
    cores: f64,
    /// Fraction of the slots that correspond to its size that an endpoint gets.
    slot_fraction: f64,
}

impl MachineTypeSlots {
    fn new() -> Self {
        MachineTypeSlots {
            cores: 1.0,
            slot_fraction: INITIAL_SLOT_FRACTION,
        }
    }
}

/// Properties of a response that signal congestion.
pub(crate) struct CongestionSignal {
    /// Latency of the response.
    pub latency: Millis,
    /// Latency of the request at an uncongested endpoint.
    pub uncongested_latency: Millis,
    /// Latency objective of the request's class.
    pub latency_objective: Millis,
    /// Load reported with the response.
    pub load: LoadReport,
    /// Cores of the endpoint.
    pub cores: f64,
}

impl CongestionSignal {
    /// Returns true if the response signals no congestion. A reported load above the limit takes precedence over the
    /// latency, as the uncongested latency may have been learned under congestion.
    pub fn is_uncongested(&self) -> bool {
        let congested = self
            .load
            .per_core(self.cores)
            .is_some_and(|requests| requests > CONGESTED_REQUESTS_PER_CORE);
        let bound = (CONGESTED_LATENCY_RATIO * self.uncongested_latency)
            .min(LATE_FRACTION * self.latency_objective);
        !congested && self.latency < bound
    }
}

/// Concurrency limits of this proxy.
pub(crate) struct ConcurrencyLimit {
    machine_types: Vec<MachineTypeSlots>,
    window_requests: f64,
    mean_slots: f64,
}

impl ConcurrencyLimit {
    /// Creates the limits of a proxy that knows no endpoints.
    pub fn new() -> Self {
        ConcurrencyLimit {
            machine_types: vec![MachineTypeSlots::new()],
            window_requests: INITIAL_WINDOW,
            mean_slots: 1.0,
        }
    }

    /// Adds machine types up to an index.
    pub fn add_machine_type(&mut self, index: usize) {
        let count = self.machine_types.len().max(index + 1);
        self.machine_types.resize_with(count, MachineTypeSlots::new);
    }

    /// Returns the number of requests that this proxy may have in flight if proxies share all slots.
    pub fn window_requests(&self) -> f64 {
        self.window_requests
    }

    /// Returns true if the window has no room for another request.
    pub fn is_window_full(&self, in_flight: usize) -> bool {
        in_flight >= self.window_requests as usize
    }

    /// Returns true if proxies share all slots because this proxy has too few of its own: waiting times are
    /// proportional to (1 + cv²) / slots (Pollaczek–Khinchine formula).
    pub fn is_pooled(&self, settings: &Settings, listed: u32, squared_relative: f64) -> bool {
        let own = self.mean_slots * f64::from(listed) / f64::from(settings.proxy_count);
        !settings.gossip_enabled
            && settings.proxy_count > 1
            && own < MIN_OWN_SLOTS * squared_relative / EXPONENTIAL_MEAN_SQUARE
    }

    /// Adapts the window to a response. The window grows only while it is nearly used up.
    pub fn adapt_window(&mut self, uncongested: bool, in_flight: usize, endpoints: usize) {
        let used = in_flight as f64 + MAX_UNUSED_WINDOW > self.window_requests;
        let step = if used {
            WINDOW_STEP * (self.window_requests / INITIAL_WINDOW).min(1.0)
        } else {
            0.0
        };
        let window = if uncongested {
            self.window_requests + step
        } else {
            self.window_requests * WINDOW_CUT
        };
        self.window_requests = window.clamp(MIN_WINDOW, endpoints.max(MIN_WINDOW_BOUND) as f64);
    }

    /// Sets the mean number of slots of listed endpoints.
    pub fn review_mean_slots(&mut self, mean_slots: f64) {
        self.mean_slots = mean_slots;
    }

    /// Gives a machine type all slots that correspond to its size before its first baseline is computed.
    pub fn start_baseline(&mut self, index: usize, latency: &MachineTypeLatency) {
        if !latency.has_baseline() {
            self.machine_types[index].slot_fraction = 1.0;
        }
    }

    /// Returns true if a machine type has so few slots that its requests don't share cores.
    pub fn is_isolated(&self, index: usize) -> bool {
        let machine_type = &self.machine_types[index];
        REQUESTS_PER_CORE * machine_type.slot_fraction * machine_type.cores <= 1.0
    }

    /// Adapts the slots of a machine type to its mean latency. Overloaded endpoints are all equally slow and seem to
    /// have more cores than they have, so a congested machine type gets fewer slots. The size says little about the
    /// number of requests that a machine can process: while requests are `queued` and the machine type is uncongested,
    /// it gets more slots, and keeps them as long as it stays uncongested.
    pub fn review_machine_type(
        &mut self,
        index: usize,
        latency: Millis,
        baseline: &MachineTypeLatency,
        queued: bool,
    ) {
        let machine_type = &mut self.machine_types[index];
        let uncongested = baseline.uncongested_latency(machine_type.cores);
        let growth = if queued {
            SLOT_GROWTH_WHEN_SHORT
        } else {
            SLOT_GROWTH
        };
        let step = (CONGESTED_RATIO * uncongested / latency).clamp(SLOT_CUT, growth);
        let bound = if queued {
            MAX_SLOT_FRACTION
        } else {
            machine_type.slot_fraction.max(1.0)
        };
        machine_type.slot_fraction =
            (machine_type.slot_fraction * step).clamp(MIN_SLOT_FRACTION, bound);
    }

    /// Recomputes the slots of an endpoint from its cores, and the number of slots that this proxy owns.
    pub fn resize(
        &mut self,
        endpoint: &mut EndpointRecord,
        cores: f64,
        pooled: bool,
        owners: &Owners,
    ) {
        let machine_type = &mut self.machine_types[endpoint.machine_type];
        let slots = (REQUESTS_PER_CORE * machine_type.slot_fraction * cores).max(1.0);
        machine_type.cores = cores.max(1.0);
        endpoint.slots.cores = cores.max(1.0);
        endpoint.slots.total = slots;
        endpoint.slots.own = if pooled {
            POOLED_SLOTS
        } else {
            let whole_slots = (slots + unit_hash(endpoint.entry.id.0, 0)).floor() as u32;
            f64::from(owners.own_slots(endpoint, whole_slots))
        };
    }

    /// Returns the number of requests that an endpoint processes concurrently according to its size; slots beyond the
    /// size don't count.
    pub fn nominal_requests(&self, endpoint: &EndpointRecord) -> f64 {
        let slot_fraction = self.machine_types[endpoint.machine_type].slot_fraction;
        endpoint.slots.total / slot_fraction.max(1.0) / REQUESTS_PER_CORE
    }
}

/// Proxies among which slots are divided.
pub(crate) struct Owners<'a> {
    /// Index of this proxy.
    pub proxy_index: u32,
    /// Number of proxies.
    pub proxy_count: u32,
    /// Zones of the proxies; `None` where unknown.
    pub zones: &'a [Option<ZoneId>],
}

impl Owners<'_> {
    /// Returns the number of slots of an endpoint that this proxy owns. Each slot has one owner among the proxies in
    /// the endpoint's zone, or among all proxies if there are none in that zone, by a hash that is equal on all
    /// proxies. The number is cached, because its computation iterates over all proxies for each slot.
    fn own_slots(&self, endpoint: &mut EndpointRecord, slots: u32) -> u32 {
        let cached = endpoint.slots.ownership;
        if let Some(ownership) = cached.filter(|ownership| ownership.slots == slots) {
            return ownership.own;
        }
        let zone = endpoint.entry.zone;
        let eligible = |proxy: &u32| {
            let proxy_zone = self.zones[*proxy as usize];
            proxy_zone.is_none() || proxy_zone == zone
        };
        let any_eligible = (0..self.proxy_count).any(|proxy| eligible(&proxy));
        let is_own = |slot: &u32| {
            let seed = endpoint.entry.id.0 ^ u64::from(*slot);
            let score = |proxy: u32| unit_hash(seed, u64::from(proxy));
            let owner = (0..self.proxy_count)
                .filter(|proxy| eligible(proxy) || !any_eligible)
                .max_by(|&a, &b| score(a).total_cmp(&score(b)));
            owner == Some(self.proxy_index)
        };
        let own = (0..slots.min(MAX_SLOTS)).filter(is_own).count() as u32;
        endpoint.slots.ownership = Some(SlotOwnership { slots, own });
        own
    }
}
