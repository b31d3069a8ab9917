//! Availability of endpoints: the cost of each one, and whether it is open for a request now.
//!
//! Brings together what the other rules know of an endpoint: latency, slots, health, slow start and other proxies'
//! reports. Which open endpoint a request goes to is decided by `endpoint_selection`.

use crate::concurrency_limit::Owners;
use crate::endpoint::EndpointRecord;
use crate::gossip::peers_confirm_ejection;
use crate::hash::unit_hash;
use crate::settings::WeightMeaning;
use crate::state::State;
use crate::timing::REVIEW_TICKS;
use crate::types::Millis;

/// Multiple of the delay that the cost of zone crossing amounts to: latency objectives leave slack.
const ZONE_CROSSING_FACTOR: f64 = 3.0;
/// Bands by which an endpoint counts slower while it is open on another proxy's slot: both may take it at once.
const BORROWED_SLOT_BANDS: usize = 3;
/// Part of a slot that must be free for a request on another proxy's slot.
const BORROWED_SLOT_MARGIN: f64 = 0.5;
/// Least available weight in the choice of homes.
const MIN_AVAILABLE_WEIGHT: f64 = 1e-6;

/// Free slot at an endpoint.
struct FreeSlot {
    /// There is one for requests of the endpoint's keys.
    for_keys: bool,
    /// Speed band in which the endpoint is open for all requests.
    open_band: Option<usize>,
}

impl State {
    /// Recomputes the slots of an endpoint, and its factor in the choice of homes.
    pub fn refresh_slots(&mut self, index: usize) {
        let pooled = self.is_pooled();
        let endpoint = &mut self.endpoints[index];
        let weight = if self.settings.weight_meaning == WeightMeaning::Capacity {
            endpoint.entry.weight
        } else {
            1.0
        };
        // A weight is cores times speed, in units of a core of the slowest machine type.
        let cores = weight * self.latency.relative_service_time(endpoint.machine_type);
        let owners = Owners {
            proxy_index: self.settings.proxy_index,
            proxy_count: self.settings.proxy_count,
            zones: self.gossip.zones(),
        };
        self.concurrency.resize(endpoint, cores, pooled, &owners);
        let available_weight = endpoint.entry.weight * endpoint.slow_start.capacity_fraction();
        endpoint.affinity_factor = 1.0 / available_weight.max(MIN_AVAILABLE_WEIGHT);
    }

    /// Recomputes the cost and speed band of an endpoint that has this fraction of its capacity, records the fraction
    /// for slow start, and recomputes whether it is open.
    pub fn refresh_endpoint(&mut self, index: usize, capacity_fraction: f64, now: Millis) {
        let endpoint = &mut self.endpoints[index];
        let latency = self.latency.endpoint_estimate(
            endpoint.relative_latency,
            endpoint.machine_type,
            endpoint.slow_start.is_warming_at(capacity_fraction),
        );
        let zone = endpoint.entry.zone;
        let crosses_zones = zone.is_some() && zone != self.settings.zone;
        let crossing = if crosses_zones {
            let cost = ZONE_CROSSING_FACTOR * self.settings.costs.cross_zone;
            cost * self.max_latency_objective / self.latency.mean()
        } else {
            0.0
        };
        endpoint.cost = latency / capacity_fraction + crossing;
        endpoint.slow_start.set_capacity_fraction(capacity_fraction);
        endpoint.band = self.bands.band_of(endpoint.cost);
        self.update_availability(index, now);
    }

    /// Recomputes whether an endpoint is open, and in which band.
    pub fn update_availability(&mut self, index: usize, now: Millis) {
        let endpoint = &self.endpoints[index];
        let band = endpoint.band;
        let usable = self.is_usable(endpoint, now);
        let free_slot = self.free_slot(endpoint, usable);
        let own_slots = if usable {
            endpoint.slots.own * endpoint.slow_start.capacity_fraction()
        } else {
            0.0
        };
        let open_while_warming = endpoint.slow_start.is_warming() && free_slot.open_band.is_some();
        let endpoint = &mut self.endpoints[index];
        self.open_while_warming -= usize::from(endpoint.open_while_warming);
        self.open_while_warming += usize::from(open_while_warming);
        endpoint.open_while_warming = open_while_warming;
        endpoint.has_free_slot = free_slot.for_keys;
        self.bands
            .update(index, band, own_slots, free_slot.open_band);
    }

    /// Returns true if an endpoint is listed and not ejected. Panic makes ejected endpoints usable, except those that
    /// are merely overloaded.
    fn is_usable(&self, endpoint: &EndpointRecord, now: Millis) -> bool {
        let health = &endpoint.health;
        let ejected = health.overall().is_ejected(now) || peers_confirm_ejection(endpoint, now);
        let believed = !self.outliers.is_panicking() || health.is_overloaded();
        endpoint.accepts_requests() && !(ejected && believed)
    }

    /// Finds a free slot at an endpoint.
    fn free_slot(&self, endpoint: &EndpointRecord, usable: bool) -> FreeSlot {
        let probing = endpoint.health.overall().is_on_probation();
        let slow_start = &endpoint.slow_start;
        let allowed = usable
            && (!probing || endpoint.in_flight.own == 0)
            && (!slow_start.is_warming() || slow_start.allows_request());
        let in_flight = f64::from(endpoint.in_flight.total());
        let slots = endpoint.slots.total * slow_start.capacity_fraction();
        let least_own = if self.settings.key_affinity { 1.0 } else { 0.0 };
        let own_free =
            allowed && f64::from(endpoint.in_flight.own) < endpoint.slots.own.max(least_own);
        if !self.settings.gossip_enabled {
            return FreeSlot {
                for_keys: own_free,
                open_band: own_free.then_some(endpoint.band),
            };
        }
        if own_free && in_flight < slots && endpoint.slots.own > 0.0 {
            return FreeSlot {
                for_keys: true,
                open_band: Some(endpoint.band),
            };
        }
        let free = allowed && in_flight + BORROWED_SLOT_MARGIN < slots;
        let open = free && self.may_borrow_slot(endpoint, slots - in_flight);
        let band = self.bands.slower(endpoint.band, BORROWED_SLOT_BANDS);
        FreeSlot {
            for_keys: free,
            open_band: open.then_some(band),
        }
    }

    /// Returns true if this proxy may use other proxies' free slots of an endpoint for now. All proxies see the same
    /// ones, so each may use them at a random part of the endpoints, drawn anew in each review: about one proxy
    /// comes for each free slot.
    fn may_borrow_slot(&self, endpoint: &EndpointRecord, free_slots: f64) -> bool {
        let chance = free_slots / f64::from(self.settings.proxy_count);
        let review = self.ticks / REVIEW_TICKS;
        let proxy = u64::from(self.settings.proxy_index);
        unit_hash(endpoint.entry.id.0 ^ review, proxy) < chance
    }
}
