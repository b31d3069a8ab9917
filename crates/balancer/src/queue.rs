//! Queue of requests that wait for their first attempt or for a retry, by class and quota, and priority of requests.
//! Within a lane, retries precede new requests, which are ordered by arrival.
//!
//! `endpoint_selection` decides which endpoint a request goes to and when.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::request::Request;
use crate::settings::{Class, Settings};
use crate::types::{Millis, RequestId};

/// Fraction of the latency objective over which slack reduces a request's priority.
const SLACK_SCALE: f64 = 0.5;
/// Minimum expected latency in the calculation of a priority.
const MIN_LATENCY: Millis = 0.1;

/// All requests in progress.
pub(crate) type Requests = FxHashMap<RequestId, Request>;

/// Queued requests.
pub(crate) struct Queue {
    /// Two lanes per class: for requests within the tenant's quota and for requests beyond it.
    lanes: Vec<VecDeque<RequestId>>,
    queued: usize,
}

/// Position at which a request is queued.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Position {
    /// At the front of its lane; used for retries.
    Front,
    /// At the back of its lane.
    Back,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(classes: usize) -> Self {
        Queue {
            lanes: vec![VecDeque::new(); classes * 2],
            queued: 0,
        }
    }

    /// Adds lanes for new classes.
    pub fn resize(&mut self, classes: usize) {
        self.lanes.resize_with(classes * 2, VecDeque::new);
    }

    /// Returns the number of queued requests.
    pub fn len(&self) -> usize {
        self.queued
    }

    /// Returns true if no request is queued.
    pub fn is_empty(&self) -> bool {
        self.queued == 0
    }

    /// Returns the number of lanes.
    pub fn lanes(&self) -> usize {
        self.lanes.len()
    }

    /// Adds a request at a position.
    pub fn push(&mut self, id: RequestId, request: &mut Request, position: Position) {
        request.status.queued = true;
        self.queued += 1;
        let lane = &mut self.lanes[request.class * 2 + usize::from(request.over_quota)];
        match position {
            Position::Front => lane.push_front(id),
            Position::Back => lane.push_back(id),
        }
    }

    /// Removes a request. Its entry in the lane stays until a lookup finds it.
    pub fn remove(&mut self, request: &mut Request) {
        request.status.queued = false;
        self.queued -= 1;
    }

    /// Removes the entry at an index of a lane.
    pub fn remove_entry(&mut self, lane: usize, index: usize) {
        self.lanes[lane].remove(index);
    }

    /// Returns the request at an index of a lane, after dropping entries of requests that are no longer queued.
    pub fn request_at(
        &mut self,
        lane: usize,
        index: usize,
        requests: &Requests,
    ) -> Option<RequestId> {
        let lane = &mut self.lanes[lane];
        let is_stale = |id: &RequestId| {
            requests
                .get(id)
                .is_none_or(|request| !request.status.queued)
        };
        while lane.get(index).is_some_and(is_stale) {
            lane.remove(index);
        }
        lane.get(index).copied()
    }

    /// Iterates over the entries of a lane.
    pub fn entries(&self, lane: usize) -> impl Iterator<Item = RequestId> {
        self.lanes[lane].iter().copied()
    }
}

/// Returns the priority of a request: its priority weight divided by its expected latency, discounted by its slack.
/// Under overload the weight dominates, otherwise urgency does.
pub(crate) fn priority(
    request: &Request,
    class_latency: Millis,
    now: Millis,
    settings: &Settings,
) -> f64 {
    let class = &settings.classes[request.class];
    let latency = class_latency.max(MIN_LATENCY) * request.relative_work;
    let slack = request.earliest_objective_at(now) - now - latency;
    let scale = SLACK_SCALE * class.latency_objective.max(1.0);
    let urgency = (-slack.max(0.0) / scale).exp();
    let weight = if settings.weight_by_work {
        class.priority_weight * request.relative_work
    } else {
        class.priority_weight
    };
    earned_fraction(request, class, slack, settings) * weight / latency * urgency
}

/// Returns the fraction of the priority weight that a request with this slack earns.
fn earned_fraction(request: &Request, class: &Class, slack: Millis, settings: &Settings) -> f64 {
    let quota_fraction = if request.over_quota {
        settings.over_quota_weight_fraction
    } else {
        1.0
    };
    if slack < 0.0 {
        quota_fraction * class.late_weight_fraction
    } else {
        quota_fraction
    }
}
