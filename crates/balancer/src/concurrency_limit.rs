//! Concurrency limits: slots per endpoint, which of them belong to this proxy, and the window of requests in flight
//! where proxies share all slots.
//!
//! Slots follow the size of an endpoint and the latency of its machine type: a crowded machine type gets fewer, one
//! that stays uncrowded while requests are queued gets more. Which endpoint gets a request is decided elsewhere.

use crate::endpoint::{EndpointRecord, SlotOwnership};
use crate::hash::unit_hash;
use crate::latency_estimator::MachineTypeLatency;
use crate::settings::Settings;
use crate::types::{LoadReport, Millis, ZoneId};

/// Requests that a core may hold: slightly over one keeps it busy between responses.
const REQUESTS_PER_CORE: f64 = 1.1;
/// Bound on the slots of an endpoint, whatever weight it has.
const MAX_SLOTS: u32 = 1024;
/// Ratio of latency to its uncrowded level from which a machine type counts as crowded.
const CROWDED_RATIO: f64 = 1.6;
/// Least fraction of its slots that a crowded machine type keeps.
const MIN_SLOT_FRACTION: f64 = 0.3;
/// Largest multiple of its slots that an uncrowded machine type gets while requests are queued.
const MAX_SLOT_FRACTION: f64 = 4.0;
/// Fraction of its slots that a machine type gets before its latency is known, so that it starts uncrowded.
const INITIAL_SLOT_FRACTION: f64 = 0.5;
/// Factor by which slots may grow in a review while requests are queued: a factor of 2 in 0.8 s.
const SLOT_GROWTH_WHEN_SHORT: f64 = 1.1;
/// The same while none are queued.
const SLOT_GROWTH: f64 = 1.02;
/// Factor by which slots may shrink in a review.
const SLOT_CUT: f64 = 0.95;
/// Own slots below which proxies share all slots, for exponentially distributed latencies.
const MIN_OWN_SLOTS: f64 = 8.0;
/// Mean square of exponentially distributed latencies over their mean.
const EXPONENTIAL_SQUARE: f64 = 2.0;
/// Slots of this proxy on each endpoint where proxies share all slots.
const POOLED_SLOTS: f64 = 1.0;
/// Window at the start.
const INITIAL_WINDOW: f64 = 4.0;
/// Least window.
const MIN_WINDOW: f64 = 1.0;
/// Largest window with few endpoints; else it is the number of endpoints.
const MIN_WINDOW_BOUND: usize = 4;
/// Factor by which a sign of crowding reduces the window.
const WINDOW_CUT: f64 = 0.9;
/// Growth of the window for a good response, less below the initial window.
const WINDOW_STEP: f64 = 0.5;
/// Free requests of the window below which it counts as used.
const UNUSED_WINDOW: f64 = 2.0;
/// Fraction of the latency objective from which a response is a sign of crowding.
const LATE_FRACTION: f64 = 0.5;
/// Multiple of the uncrowded latency from which a response is a sign of crowding.
const CROWDED_LATENCY_RATIO: f64 = 4.0;
/// Requests per core from which a load report is a sign of crowding: half of the requests take longer than the
/// multiple above.
const CROWDED_REQUESTS_PER_CORE: f64 = CROWDED_LATENCY_RATIO / std::f64::consts::LN_2;

/// Slots of a machine type.
struct MachineTypeSlots {
    /// Cores of an endpoint, as inferred.
    cores: f64,
    /// Fraction of its slots that an endpoint gets.
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

/// Response as a sign of crowding.
pub(crate) struct CrowdingSign {
    /// Latency of the response.
    pub latency: Millis,
    /// Its latency at an uncrowded endpoint.
    pub uncrowded_latency: Millis,
    /// Latency objective of its class.
    pub latency_objective: Millis,
    /// Load reported with it.
    pub load: LoadReport,
    /// Cores of its endpoint.
    pub cores: f64,
}

impl CrowdingSign {
    /// Returns true if the response shows an uncrowded endpoint. The reported load goes before the latency, as the
    /// uncrowded latency may have been learned in a crowd.
    pub fn is_good(&self) -> bool {
        let crowded = self
            .load
            .per_core(self.cores)
            .is_some_and(|requests| requests > CROWDED_REQUESTS_PER_CORE);
        let bound = (CROWDED_LATENCY_RATIO * self.uncrowded_latency)
            .min(LATE_FRACTION * self.latency_objective);
        !crowded && self.latency < bound
    }
}

/// Concurrency limits of this proxy.
pub(crate) struct ConcurrencyLimit {
    machine_types: Vec<MachineTypeSlots>,
    window_requests: f64,
    mean_slots: f64,
}

impl ConcurrencyLimit {
    /// Creates the limits of a proxy without endpoints.
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

    /// Returns the requests that this proxy may have in flight where proxies share all slots.
    pub fn window_requests(&self) -> f64 {
        self.window_requests
    }

    /// Returns true if the window has no room for another request.
    pub fn is_window_full(&self, in_flight: usize) -> bool {
        in_flight >= self.window_requests as usize
    }

    /// Returns true if proxies share all slots, as this proxy's own are too few: then waits are long, in proportion
    /// to (1 + cv²) / slots (Pollaczek and Khinchine).
    pub fn is_pooled(&self, settings: &Settings, listed: u32, squared_relative: f64) -> bool {
        let own = self.mean_slots * f64::from(listed) / f64::from(settings.proxy_count);
        !settings.gossip_enabled
            && settings.proxy_count > 1
            && own < MIN_OWN_SLOTS * squared_relative / EXPONENTIAL_SQUARE
    }

    /// Adapts the window to a response. Only a window that is nearly used grows.
    pub fn adapt_window(&mut self, good: bool, in_flight: usize, endpoints: usize) {
        let used = in_flight as f64 + UNUSED_WINDOW > self.window_requests;
        let step = if used {
            WINDOW_STEP * (self.window_requests / INITIAL_WINDOW).min(1.0)
        } else {
            0.0
        };
        let window = if good {
            self.window_requests + step
        } else {
            self.window_requests * WINDOW_CUT
        };
        self.window_requests = window.clamp(MIN_WINDOW, endpoints.max(MIN_WINDOW_BOUND) as f64);
    }

    /// Takes over the mean slots of listed endpoints.
    pub fn review_mean_slots(&mut self, mean_slots: f64) {
        self.mean_slots = mean_slots;
    }

    /// Gives a machine type the slots of its size if its latency is about to get its first baseline.
    pub fn start_baseline(&mut self, index: usize, latency: &MachineTypeLatency) {
        if !latency.has_baseline() {
            self.machine_types[index].slot_fraction = 1.0;
        }
    }

    /// Returns true if a machine type has so few slots that requests don't share cores.
    pub fn is_isolated(&self, index: usize) -> bool {
        let machine_type = &self.machine_types[index];
        REQUESTS_PER_CORE * machine_type.slot_fraction * machine_type.cores <= 1.0
    }

    /// Adapts the slots of a machine type to its mean latency. Overfilled endpoints are all slow alike and look as if
    /// they had more cores, so a crowded machine type gets fewer slots. Size tells little of how many requests a
    /// machine can hold: while requests are `queued` and the machine type is uncrowded it gets more, and keeps them
    /// as long as it stays uncrowded.
    pub fn review_machine_type(
        &mut self,
        index: usize,
        latency: Millis,
        baseline: &MachineTypeLatency,
        queued: bool,
    ) {
        let machine_type = &mut self.machine_types[index];
        let uncrowded = baseline.uncrowded_latency(machine_type.cores);
        let growth = if queued {
            SLOT_GROWTH_WHEN_SHORT
        } else {
            SLOT_GROWTH
        };
        let step = (CROWDED_RATIO * uncrowded / latency).clamp(SLOT_CUT, growth);
        let bound = if queued {
            MAX_SLOT_FRACTION
        } else {
            machine_type.slot_fraction.max(1.0)
        };
        machine_type.slot_fraction =
            (machine_type.slot_fraction * step).clamp(MIN_SLOT_FRACTION, bound);
    }

    /// Recomputes the slots of an endpoint from its cores, and which of them are this proxy's own.
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

    /// Returns the requests of an endpoint's size that it processes at once; slots beyond its size don't count.
    pub fn nominal_requests(&self, endpoint: &EndpointRecord) -> f64 {
        let slot_fraction = self.machine_types[endpoint.machine_type].slot_fraction;
        endpoint.slots.total / slot_fraction.max(1.0) / REQUESTS_PER_CORE
    }
}

/// Proxies that own slots.
pub(crate) struct Owners<'a> {
    /// Index of this proxy.
    pub proxy_index: u32,
    /// Number of proxies.
    pub proxy_count: u32,
    /// Zones of the proxies, as far as they are known.
    pub zones: &'a [Option<ZoneId>],
}

impl Owners<'_> {
    /// Counts the slots of an endpoint that are this proxy's own. Each slot has one owner among the proxies of the
    /// endpoint's zone, or among all if there are none, by a hash that all proxies share. The count is cached, as it
    /// asks every proxy for every slot.
    fn own_slots(&self, endpoint: &mut EndpointRecord, slots: u32) -> u32 {
        let cached = endpoint.slots.ownership;
        if let Some(ownership) = cached.filter(|ownership| ownership.slots == slots) {
            return ownership.own;
        }
        let zone = endpoint.entry.zone;
        let nearby = |proxy: &u32| {
            let proxy_zone = self.zones[*proxy as usize];
            proxy_zone.is_none() || proxy_zone == zone
        };
        let any_nearby = (0..self.proxy_count).any(|proxy| nearby(&proxy));
        let is_own = |slot: &u32| {
            let seed = endpoint.entry.id.0 ^ u64::from(*slot);
            let score = |proxy: u32| unit_hash(seed, u64::from(proxy));
            let owner = (0..self.proxy_count)
                .filter(|proxy| nearby(proxy) || !any_nearby)
                .max_by(|&a, &b| score(a).total_cmp(&score(b)));
            owner == Some(self.proxy_index)
        };
        let own = (0..slots.min(MAX_SLOTS)).filter(is_own).count() as u32;
        endpoint.slots.ownership = Some(SlotOwnership { slots, own });
        own
    }
}
