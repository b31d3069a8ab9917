//! Attempts of this proxy that are in flight. Makes no decisions.

use std::collections::VecDeque;

use crate::types::{Millis, RequestId};

/// Slot that an abandoned attempt is assumed to occupy.
struct AbandonedSlot {
    endpoint: usize,
    until: Millis,
}

/// Attempts in flight.
#[derive(Default)]
pub(crate) struct InFlight {
    requests: Vec<RequestId>,
    /// Number of silent attempts, which are probably lost.
    silent: usize,
    /// Number of other attempts at endpoints that were warming up, which a slow start budget limits.
    to_warming_endpoints: usize,
    abandoned: VecDeque<AbandonedSlot>,
}

impl InFlight {
    /// Adds the attempt of a request.
    pub fn add(&mut self, id: RequestId, to_warming_endpoint: bool) {
        self.to_warming_endpoints += usize::from(to_warming_endpoint);
        self.requests.push(id);
    }

    /// Records that an attempt has become silent.
    pub fn record_silence(&mut self, to_warming_endpoint: bool) {
        self.silent += 1;
        self.to_warming_endpoints -= usize::from(to_warming_endpoint);
    }

    /// Removes the attempt of a request.
    pub fn remove(&mut self, id: RequestId, silent: bool, to_warming_endpoint: bool) {
        self.requests.retain(|other| *other != id);
        self.silent -= usize::from(silent);
        self.to_warming_endpoints -= usize::from(to_warming_endpoint && !silent);
    }

    /// Keeps the slot of an abandoned attempt occupied until a time.
    pub fn keep_abandoned(&mut self, endpoint: usize, until: Millis) {
        self.abandoned.push_back(AbandonedSlot { endpoint, until });
    }

    /// Releases the oldest abandoned slot if its time has passed; returns its endpoint.
    pub fn release_abandoned(&mut self, now: Millis) -> Option<usize> {
        let oldest = self.abandoned.front()?;
        if oldest.until > now {
            return None;
        }
        self.abandoned.pop_front().map(|slot| slot.endpoint)
    }

    /// Returns the requests with an attempt in flight, in the order of sends.
    pub fn requests(&self) -> &[RequestId] {
        &self.requests
    }

    /// Returns the number of attempts that count against the window of this proxy: all except silent attempts and
    /// attempts that a slow start budget limits.
    pub fn counted_in_window(&self) -> usize {
        self.requests.len() - self.silent - self.to_warming_endpoints
    }

    /// Returns the number of occupied slots, including those of abandoned attempts.
    pub fn occupied(&self) -> usize {
        self.requests.len() + self.abandoned.len()
    }
}
