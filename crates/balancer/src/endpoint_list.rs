//! Endpoint list: additions, changes, drains and removals of endpoints, and the subscription to updates.

use crate::action::Action;
use crate::endpoint::EndpointRecord;
use crate::settings::Discovery;
use crate::state::State;
use crate::types::{Endpoint, EndpointState, Millis, UpdateScope};

/// Minimum delay before a failed subscription is requested again.
const RESUBSCRIBE_DELAY: Millis = 500.0;
/// Maximum additional random delay, so that proxies don't all subscribe at once.
const MAX_RESUBSCRIBE_JITTER: Millis = 1500.0;
/// Weight of an endpoint whose advertised weight is invalid.
const DEFAULT_WEIGHT: f64 = 1.0;
/// Minimum sum of weights, for use as a divisor.
const MIN_TOTAL_WEIGHT: f64 = 1e-6;

fn valid_weight(weight: f64) -> f64 {
    if weight.is_finite() && weight > 0.0 {
        weight
    } else {
        DEFAULT_WEIGHT
    }
}

impl State {
    /// Requests a subscription if updates have to be requested and none is active.
    pub fn subscribe(&mut self, now: Millis, out: &mut Vec<Action>) {
        let on_request = self.settings.discovery == Discovery::OnRequest;
        if on_request && !self.subscription.active && now >= self.subscription.retry_at {
            self.subscription.active = true;
            out.push(Action::Subscribe);
        }
    }

    /// Applies an update of the endpoint list.
    pub fn update_endpoints(&mut self, scope: UpdateScope, entries: Vec<Endpoint>, now: Millis) {
        if scope == UpdateScope::Failed {
            let retry_at = now + RESUBSCRIBE_DELAY + MAX_RESUBSCRIBE_JITTER * self.rng.f64();
            self.subscription.active = false;
            self.subscription.retry_at = retry_at;
            return;
        }
        let mut changed: Vec<usize> = entries
            .into_iter()
            .map(|entry| self.record_entry(entry, now))
            .collect();
        if scope == UpdateScope::Full {
            self.remove_unlisted(&mut changed, now);
        }
        self.update_totals();
        for index in changed {
            self.start_if_restarted(index, now);
            self.refresh_slots(index);
            self.refresh_endpoint(index, self.capacity_fraction(index, now), now);
        }
    }

    /// Applies an entry of the list; returns the index of its endpoint.
    fn record_entry(&mut self, mut entry: Endpoint, now: Millis) -> usize {
        entry.weight = valid_weight(entry.weight);
        let index = self.index_of(&entry, now);
        let endpoint = &mut self.endpoints[index];
        endpoint.unavailable_since = if entry.state == EndpointState::Up {
            None
        } else {
            endpoint.unavailable_since.or(Some(now))
        };
        let first_seen_starting =
            entry.started_at.is_some() && !endpoint.slow_start.is_start_reported();
        endpoint.restarted |= endpoint.entry.started_at != entry.started_at || first_seen_starting;
        endpoint.machine_type = entry
            .machine_type
            .map_or(0, |machine_type| machine_type.0 as usize + 1);
        self.latency.add_machine_type(endpoint.machine_type);
        self.concurrency.add_machine_type(endpoint.machine_type);
        if endpoint.entry.zone != entry.zone {
            endpoint.slots.ownership = None;
        }
        endpoint.entry = entry;
        index
    }

    /// Returns the index of an entry's endpoint; adds the endpoint if it is new.
    fn index_of(&mut self, entry: &Endpoint, now: Millis) -> usize {
        let next = self.endpoints.len();
        let index = *self.endpoint_index.entry(entry.id).or_insert(next);
        if index == next {
            self.gossip.add_endpoint(entry.id, index);
            let classes = self.settings.classes.len();
            self.endpoints
                .push(EndpointRecord::new(entry.clone(), classes, now));
        }
        index
    }

    /// Marks endpoints that are missing from a complete list as removed, and adds them to `changed`.
    fn remove_unlisted(&mut self, changed: &mut Vec<usize>, now: Millis) {
        let mut unlisted = vec![true; self.endpoints.len()];
        for &index in changed.iter() {
            unlisted[index] = false;
        }
        for index in (0..unlisted.len()).filter(|&index| unlisted[index]) {
            let endpoint = &mut self.endpoints[index];
            endpoint.unavailable_since = endpoint.unavailable_since.or(Some(now));
            endpoint.entry.state = EndpointState::Removed;
            changed.push(index);
        }
    }

    fn update_totals(&mut self) {
        let mut weight = 0.0;
        let mut count = 0;
        for endpoint in &self.endpoints {
            if endpoint.accepts_requests() {
                weight += endpoint.entry.weight;
                count += 1;
            }
        }
        self.accepting.weight = f64::max(weight, MIN_TOTAL_WEIGHT);
        self.accepting.count = count;
    }

    /// Begins the slow start of a new process, and drops the failures of the previous process.
    fn start_if_restarted(&mut self, index: usize, now: Millis) {
        let endpoint = &mut self.endpoints[index];
        if !endpoint.restarted {
            return;
        }
        endpoint.restarted = false;
        endpoint.slow_start.start(now, &mut self.rng);
        endpoint.health.reset(now);
    }
}
