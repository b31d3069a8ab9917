//! Entry point of the decision module: dispatches each event to the rule that handles it.

use crate::action::Action;
use crate::admission::Arrival;
use crate::attempts::{AttemptEnd, AttemptId};
use crate::event::Event;
use crate::health_snapshot::HealthSnapshot;
use crate::settings::Settings;
use crate::state::State;
use crate::timing::{TICK_TOKEN, answer_timer_request};
use crate::types::{EndpointState, Millis};

/// Decision module of one proxy.
pub struct Balancer {
    state: State,
}

/// Numbers of endpoints.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndpointCounts {
    /// Listed endpoints, including those that are draining.
    pub listed: usize,
    /// Endpoints that accept requests according to the list and that this proxy has ejected.
    pub ejected: usize,
}

impl Balancer {
    /// Creates the module of a proxy that knows no endpoints; `seed` is the only source of randomness.
    pub fn new(settings: Settings, seed: u64) -> Self {
        Balancer {
            state: State::new(settings, seed),
        }
    }

    /// Handles one event and appends the resulting actions to `out`, in the order in which to carry them out. `now`
    /// must not decrease between calls.
    pub fn handle(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let affects_queue = affects_queue(&event);
        self.state.start(now, out);
        self.dispatch(now, event, out);
        if affects_queue {
            self.state.forward_queued(now, out);
        }
    }

    fn dispatch(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let state = &mut self.state;
        match event {
            Event::EndpointUpdate { scope, endpoints } => {
                state.update_endpoints(scope, endpoints, now);
            }
            Event::Request {
                id,
                class,
                tenant,
                key,
                timeout,
                expected_work,
                body_complete,
            } => {
                let arrival = Arrival {
                    id,
                    class,
                    tenant,
                    key,
                    timeout,
                    expected_work,
                    body_complete,
                };
                state.admit(&arrival, now, out);
            }
            Event::BodyComplete { .. }
            | Event::BodyDiscarded(_)
            | Event::BodyReception { .. }
            | Event::Unsent(_) => self.dispatch_body(now, event, out),
            Event::ClientDisconnected(id) => state.finish(id),
            Event::Timer(TICK_TOKEN) => state.tick(now, out),
            Event::Timer(token) => state.answer(answer_timer_request(token), out),
            Event::AnswerDue(id) => {
                state.stream_arriving_response(id, out);
            }
            Event::ProcessShareExceeded { id, retry_after } => {
                state.reject_over_process_share(id, retry_after, out);
            }
            Event::Gossip { from, bytes } => state.receive_gossip(from as usize, &bytes, now),
            Event::Settings(settings) => state.update_settings(*settings, now),
            Event::ProxyCount {
                proxy_index,
                proxy_count,
            } => state.update_proxy_count(proxy_index, proxy_count, now),
            Event::HealthRestored(snapshot) => state.restore_health(&snapshot, now),
            Event::LoadReport { .. }
            | Event::ResponseArriving { .. }
            | Event::ResponseStarted { .. }
            | Event::AttemptEnded { .. } => self.dispatch_attempt(now, event, out),
        }
    }

    fn dispatch_body(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        match event {
            Event::BodyComplete { id, timeout } => self.state.complete_body(id, timeout, now),
            Event::BodyDiscarded(id) => self.state.discard_body(id),
            Event::BodyReception {
                id,
                reception,
                timeout,
            } => self.state.change_reception(id, reception, timeout, now),
            Event::Unsent(id) => self.state.reject_unsent(id, out),
            _ => {}
        }
    }

    fn dispatch_attempt(&mut self, now: Millis, event: Event, out: &mut Vec<Action>) {
        let id = |request, attempt: u32| AttemptId {
            request,
            attempt: attempt as usize,
        };
        match event {
            Event::LoadReport {
                request,
                attempt,
                load,
            } => self.state.record_load(id(request, attempt), load),
            Event::ResponseArriving {
                request,
                attempt,
                progressing,
            } => self.state.record_arrival(id(request, attempt), progressing),
            Event::ResponseStarted {
                request,
                attempt,
                processing_done,
            } => {
                let attempt = id(request, attempt);
                self.state
                    .start_response(attempt, processing_done, now, out);
            }
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                request_finished,
            } => {
                let end = AttemptEnd {
                    latency,
                    outcome,
                    request_finished,
                };
                self.state.end_attempt(id(request, attempt), &end, now, out);
            }
            _ => {}
        }
    }

    /// Returns the numbers of listed and ejected endpoints.
    pub fn endpoint_counts(&self, now: Millis) -> EndpointCounts {
        let listed = self
            .state
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.entry.state != EndpointState::Removed);
        let ejected = listed.clone().filter(|endpoint| {
            endpoint.accepts_requests() && endpoint.health.overall().is_ejected(now)
        });
        EndpointCounts {
            ejected: ejected.count(),
            listed: listed.count(),
        }
    }

    /// Creates a snapshot of the state for the next instance: ejections and slow start budgets.
    pub fn health_snapshot(&self, now: Millis) -> HealthSnapshot {
        self.state.health_snapshot(now)
    }
}

/// Returns true if an event may allow queued requests to be forwarded.
fn affects_queue(event: &Event) -> bool {
    !matches!(
        event,
        Event::ProcessShareExceeded { .. }
            | Event::LoadReport { .. }
            | Event::ResponseArriving { .. }
            | Event::AnswerDue(_)
            | Event::Gossip { .. }
    )
}
