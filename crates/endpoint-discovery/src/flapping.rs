//! Flap damping: an endpoint that leaves and returns often must stay for a while before it is added back.

use std::collections::BTreeMap;

use crate::key_value::KeyValue;
use crate::limits::TableLimits;
use crate::time::Millis;

/// Decision on an endpoint that returns.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnDecision {
    /// The endpoint is added back now.
    Admit,
    /// The endpoint counts as flapping from now on, and is added back after a delay.
    Delay,
    /// The delay of the endpoint continues.
    AlreadyDelayed,
}

/// Returns of one endpoint.
#[derive(Clone, Debug, Default, PartialEq)]
struct Returns {
    /// Times of the recent returns, the oldest first.
    recent: Vec<Millis>,
    /// Last value of an endpoint whose return is delayed.
    delayed: Option<DelayedReturn>,
}

#[derive(Clone, Debug, PartialEq)]
struct DelayedReturn {
    since: Millis,
    key_value: KeyValue,
}

/// Flap damping of all endpoints, by name.
#[derive(Clone, Debug, PartialEq)]
pub struct FlapDamping {
    flap_count: usize,
    window_ms: u64,
    delay_ms: u64,
    by_name: BTreeMap<String, Returns>,
}

impl FlapDamping {
    /// Builds the damping without history.
    pub fn new(limits: &TableLimits) -> Self {
        FlapDamping {
            flap_count: limits.flap_count,
            window_ms: limits.flap_window_ms,
            delay_ms: limits.flap_delay_ms,
            by_name: BTreeMap::new(),
        }
    }

    /// Records the return of an endpoint, and decides on it.
    pub fn record_return(
        &mut self,
        now: Millis,
        name: &str,
        key_value: &KeyValue,
    ) -> ReturnDecision {
        let returns = self.by_name.entry(name.to_owned()).or_default();
        if let Some(delayed) = &mut returns.delayed {
            delayed.key_value = key_value.clone();
            return ReturnDecision::AlreadyDelayed;
        }
        let window_ms = self.window_ms;
        returns.recent.retain(|at| now < at + window_ms);
        returns.recent.push(now);
        let count = returns.recent.len();
        if count < self.flap_count {
            return ReturnDecision::Admit;
        }
        returns.recent.drain(..count - self.flap_count);
        returns.delayed = Some(DelayedReturn {
            since: now,
            key_value: key_value.clone(),
        });
        ReturnDecision::Delay
    }

    /// Drops the delayed return of an endpoint that left again.
    pub fn cancel(&mut self, name: &str) {
        if let Some(returns) = self.by_name.get_mut(name) {
            returns.delayed = None;
        }
    }

    /// Drops all delayed returns: the next snapshot contains the endpoints that exist.
    pub fn cancel_all(&mut self) {
        for returns in self.by_name.values_mut() {
            returns.delayed = None;
        }
    }

    /// Takes the delayed returns that are due, in the order of their names.
    pub fn take_due(&mut self, now: Millis) -> Vec<(String, KeyValue)> {
        let delay_ms = self.delay_ms;
        let mut due = Vec::new();
        for (name, returns) in &mut self.by_name {
            let delayed = returns
                .delayed
                .take_if(|delayed| now >= delayed.since + delay_ms);
            due.extend(delayed.map(|delayed| (name.clone(), delayed.key_value)));
        }
        due
    }

    /// Forgets endpoints whose returns are all older than the window.
    pub fn forget_settled(&mut self, now: Millis) {
        let window_ms = self.window_ms;
        self.by_name.retain(|_, returns| {
            let is_recent = returns.recent.last().is_some_and(|at| now < at + window_ms);
            returns.delayed.is_some() || is_recent
        });
    }

    /// Returns the time of the first delayed return that becomes due.
    pub fn next_due(&self) -> Option<Millis> {
        let delayed = self.by_name.values().filter_map(|r| r.delayed.as_ref());
        delayed.map(|delayed| delayed.since + self.delay_ms).min()
    }
}
