//! Availability of endpoints: the cost of each endpoint, and whether the endpoint is open, that is, may receive
//! requests now.
//!
//! Combines the state that the other rules keep of an endpoint: latency, slots, health, slow start and reports of other
//! proxies. `endpoint_selection` decides which open endpoint a request goes to.

use crate::concurrency_limit::Owners;
use crate::endpoint::EndpointRecord;
use crate::gossip::peers_confirm_ejection;
use crate::hash::unit_hash;
use crate::settings::WeightMeaning;
use crate::state::State;
use crate::timing::REVIEW_TICKS;
use crate::types::Millis;

/// Factor on the delay that corresponds to the cost of crossing zones, as latency objectives leave slack.
const ZONE_CROSSING_FACTOR: f64 = 3.0;
/// Number of bands by which an endpoint counts as slower while only another proxy's slot is free, as both proxies may
/// use the slot at the same time.
const BORROWED_SLOT_BANDS: usize = 3;
/// Fraction of a slot that must be free for the use of another proxy's slot.
const BORROWED_SLOT_MARGIN: f64 = 0.5;
/// Minimum available weight in the choice of homes.
const MIN_AVAILABLE_WEIGHT: f64 = 1e-6;

/// Result of the search for a free slot at an endpoint.
struct FreeSlot {
    /// True if a slot is free for requests whose home is the endpoint.
    for_keys: bool,
    /// Speed band in which the endpoint is open for all requests, if it is open.
    open_band: Option<usize>,
}

impl State {
    /// Recomputes the slots of an endpoint and its factor in the choice of homes.
    pub fn refresh_slots(&mut self, index: usize) {
        let pooled = self.is_pooled();
        let endpoint = &mut self.endpoints[index];
        let weight = if self.settings.weight_meaning == WeightMeaning::Capacity {
            endpoint.entry.weight
        } else {
            1.0
        };
        // A weight is the number of cores times their speed, in units of a core of the slowest machine type.
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

    /// Recomputes the cost, speed band and availability of an endpoint that is guaranteed to have this fraction of its
    /// capacity, and records the fraction for slow start.
    pub fn refresh_endpoint(&mut self, index: usize, capacity_fraction: f64, now: Millis) {
        let endpoint = &mut self.endpoints[index];
        let latency = self.latency.endpoint_estimate(
            endpoint.relative_latency,
            endpoint.machine_type,
            endpoint.slow_start.is_warming_at(capacity_fraction),
        );
        let zone = endpoint.entry.zone;
        let crosses_zones = zone.is_some() && zone != self.settings.zone;
        let zone_penalty = if crosses_zones {
            let cost = ZONE_CROSSING_FACTOR * self.settings.costs.cross_zone;
            cost * self.max_latency_objective / self.latency.mean()
        } else {
            0.0
        };
        endpoint.cost = latency / capacity_fraction + zone_penalty;
        endpoint.slow_start.set_capacity_fraction(capacity_fraction);
        endpoint.band = self.bands.band_of(endpoint.cost);
        self.update_availability(index, now);
    }

    /// Recomputes the availability of an endpoint and the band in which it is open.
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

    /// Returns true if an endpoint accepts requests and is not ejected. During a panic, ejected endpoints are usable
    /// too, except those whose last failure was a rejection for overload.
    fn is_usable(&self, endpoint: &EndpointRecord, now: Millis) -> bool {
        let health = &endpoint.health;
        let ejected = health.overall().is_ejected(now) || peers_confirm_ejection(endpoint, now);
        let ejections_apply = !self.outliers.is_panicking() || health.is_overloaded();
        endpoint.accepts_requests() && !(ejected && ejections_apply)
    }

    /// Searches for a free slot at an endpoint.
    fn free_slot(&self, endpoint: &EndpointRecord, usable: bool) -> FreeSlot {
        let on_probation = endpoint.health.overall().is_on_probation();
        let slow_start = &endpoint.slow_start;
        let allowed = usable
            && (!on_probation || endpoint.in_flight.own == 0)
            && (!slow_start.is_warming() || slow_start.allows_request());
        let in_flight = f64::from(endpoint.in_flight.total());
        let slots = endpoint.slots.total * slow_start.capacity_fraction();
        let min_own_slots = if self.settings.key_affinity { 1.0 } else { 0.0 };
        let own_free =
            allowed && f64::from(endpoint.in_flight.own) < endpoint.slots.own.max(min_own_slots);
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

    /// Returns true if this proxy may currently use other proxies' free slots of an endpoint. All proxies see the same
    /// free slots, so each proxy may use them only at a random subset of the endpoints, which changes with each review:
    /// on average one proxy may use each free slot.
    fn may_borrow_slot(&self, endpoint: &EndpointRecord, free_slots: f64) -> bool {
        let chance = free_slots / f64::from(self.settings.proxy_count);
        let review = self.ticks / REVIEW_TICKS;
        let proxy = u64::from(self.settings.proxy_index);
        unit_hash(endpoint.entry.id.0 ^ review, proxy) < chance
    }
}
