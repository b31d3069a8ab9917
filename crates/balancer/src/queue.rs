//! Queue of requests that await their first attempt or a retry, by class and quota; and their priority. New requests
//! are queued oldest first, retries before them.
//!
//! Which endpoint a request goes to, and whether it may go yet, is decided elsewhere.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use crate::request::Request;
use crate::settings::{Class, Settings};
use crate::types::{Millis, RequestId};

/// Fraction of the latency objective over which slack reduces a request's priority.
const SLACK_SCALE: f64 = 0.5;
/// Least expected latency in a priority.
const MIN_LATENCY: Millis = 0.1;

/// All requests in progress.
pub(crate) type Requests = FxHashMap<RequestId, Request>;

/// Queued requests.
pub(crate) struct Queue {
    /// Two lanes per class: within the tenant's quota and beyond it.
    lanes: Vec<VecDeque<RequestId>>,
    queued: usize,
}

/// Position in the queue for a request.
#[derive(Clone, Copy, PartialEq, Eq)]
pub(crate) enum Position {
    /// Before all others of its lane: a retry.
    Front,
    /// After all others of its lane.
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

    /// Appends a request, or puts it first.
    pub fn push(&mut self, id: RequestId, request: &mut Request, position: Position) {
        request.status.queued = true;
        self.queued += 1;
        let lane = &mut self.lanes[request.class * 2 + usize::from(request.over_quota)];
        match position {
            Position::Front => lane.push_front(id),
            Position::Back => lane.push_back(id),
        }
    }

    /// Takes a request out. Its entry in the lane stays until it is met.
    pub fn remove(&mut self, request: &mut Request) {
        request.status.queued = false;
        self.queued -= 1;
    }

    /// Removes the entry at a place of a lane.
    pub fn remove_entry(&mut self, lane: usize, place: usize) {
        self.lanes[lane].remove(place);
    }

    /// Returns the request at a place of a lane; drops entries of requests that are not queued any more.
    pub fn request_at(
        &mut self,
        lane: usize,
        place: usize,
        requests: &Requests,
    ) -> Option<RequestId> {
        let lane = &mut self.lanes[lane];
        let is_stale = |id: &RequestId| {
            requests
                .get(id)
                .is_none_or(|request| !request.status.queued)
        };
        while lane.get(place).is_some_and(is_stale) {
            lane.remove(place);
        }
        lane.get(place).copied()
    }

    /// Iterates over the entries of a lane.
    pub fn entries(&self, lane: usize) -> impl Iterator<Item = RequestId> {
        self.lanes[lane].iter().copied()
    }
}

/// Returns the priority of a request: its weight per time that it takes, discounted by its slack. So the weight
/// decides under overload, and urgency otherwise.
pub(crate) fn priority(
    request: &Request,
    class_latency: Millis,
    now: Millis,
    settings: &Settings,
) -> f64 {
    let class = &settings.classes[request.class];
    let latency = class_latency.max(MIN_LATENCY) * request.relative_work;
    let slack = request.objective_at - now - latency;
    let scale = SLACK_SCALE * class.latency_objective.max(1.0);
    let urgency = (-slack.max(0.0) / scale).exp();
    let weight = if settings.weight_by_work {
        class.priority_weight * request.relative_work
    } else {
        class.priority_weight
    };
    earned_fraction(request, class, slack, settings) * weight / latency * urgency
}

/// Returns the fraction of the priority weight that a request with this slack still earns.
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
