//! Replays captured requests through the decision module, one at a time; each attempt ends with its captured outcome.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ::capture::{AttemptRecord, EndpointRecord, ListUpdate, RequestRecord, SegmentHeader};
use balancer::{
    Action, Balancer, CellId, ClassId, Endpoint, EndpointId, Event, Key, MachineTypeId, Millis,
    Outcome, RequestId, TenantId, ZoneId,
};
use settings::{Names, PlatformSettings, intern, stable_hash};

/// Interval between requests, long enough that no request waits for another.
const REQUEST_INTERVAL: Millis = 50.0;
/// Latency of an attempt, and its maximum as a share of the remaining time of the request.
const ATTEMPT_LATENCY: Millis = 10.0;
const MAX_LATENCY_SHARE: f64 = 0.25;
/// Time before the client's deadline at which the proxy answers in any case.
const DEADLINE_MARGIN: Millis = 4.0;
/// Status codes of the final responses.
const SERVED: u16 = 200;
const CLIENT_DISCONNECTED: u16 = 499;
const FAILED: u16 = 502;
const REJECTED: u16 = 503;

/// Decision module that replays a capture.
pub struct Replay {
    balancer: Balancer,
    names: Names,
    unix_start: Millis,
    now: Millis,
    requests: u64,
    endpoints: Vec<(EndpointId, String)>,
    /// Pending timers: due time in µs, and token.
    due: BinaryHeap<Reverse<(u64, u64)>>,
}

/// Progress of the request that is being replayed.
#[derive(Default)]
struct Progress {
    attempts: Vec<AttemptRecord<'static>>,
    status: Option<u16>,
}

impl Replay {
    pub fn new(header: &SegmentHeader, settings: Option<&str>) -> Result<Self, String> {
        let json = settings.ok_or("the capture's settings are missing")?;
        let json =
            serde_json::from_str(json).map_err(|e| format!("the capture's settings: {e}"))?;
        let PlatformSettings { settings, names } = PlatformSettings::from_json(&json);
        if settings.proxy_index >= settings.proxy_count {
            return Err(
                "the capture's settings: the proxy's index is not below the number of proxies"
                    .into(),
            );
        }
        Ok(Replay {
            balancer: Balancer::new(settings, header.seed),
            names,
            unix_start: header.started_at,
            now: 0.0,
            requests: 0,
            endpoints: Vec::new(),
            due: BinaryHeap::new(),
        })
    }

    /// Applies a list update at the time since the start at which it was captured.
    pub fn apply_list_update(&mut self, update: &ListUpdate, endpoints: &[EndpointRecord]) {
        self.advance(update.received_at, &mut Progress::default());
        let updated = endpoints.iter().map(|e| self.endpoint(e)).collect();
        self.handle(
            Event::EndpointUpdate {
                scope: update.scope,
                endpoints: updated,
            },
            &mut Progress::default(),
        );
    }

    fn endpoint(&mut self, record: &EndpointRecord) -> Endpoint {
        let id = EndpointId(stable_hash(&record.name));
        if !self.endpoints.iter().any(|(known, _)| *known == id) {
            self.endpoints.push((id, record.name.clone()));
        }
        let has_start = record.started_at.is_finite() && record.started_at > 0.0;
        Endpoint {
            id,
            zone: record
                .zone
                .as_ref()
                .map(|z| ZoneId(intern(&mut self.names.zones, z) as u32)),
            machine_type: record
                .machine_type
                .as_ref()
                .map(|k| MachineTypeId(intern(&mut self.names.machine_types, k) as u32)),
            cell: record.cell.map(CellId),
            state: record.state,
            weight: record.weight.unwrap_or(1.0),
            started_at: has_start.then_some(record.started_at - self.unix_start),
        }
    }

    /// Replays a captured request: the module decides again, and the attempts end with the captured outcomes.
    pub fn decide<'a>(
        &mut self,
        captured: &'a RequestRecord,
        attempts: &[AttemptRecord],
    ) -> Result<RequestRecord<'a>, String> {
        let class = self.names.classes.iter().position(|c| *c == captured.class);
        let class =
            class.ok_or_else(|| format!("the settings have no class '{}'", captured.class))?;
        let tenant = captured
            .tenant
            .as_ref()
            .and_then(|t| self.names.tenants.iter().position(|n| n == t));
        self.advance(self.now + REQUEST_INTERVAL, &mut Progress::default());
        self.requests += 1;
        let id = RequestId(self.requests);
        let budget = (captured.timeout_ms as f64 - DEADLINE_MARGIN).max(0.0);
        let mut progress = Progress::default();
        let request = Event::Request {
            id,
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            key: captured.sid.as_ref().map(|sid| Key(stable_hash(sid))),
            timeout: budget,
            expected_work: None,
            body_complete: true,
        };
        let end = self.now + budget;
        self.handle(request, &mut progress);
        self.run(id, end, captured, attempts, &mut progress);
        let status = progress.status.unwrap_or(FAILED);
        if progress
            .attempts
            .last()
            .is_some_and(|t| t.outcome.is_none())
        {
            let attempt = (progress.attempts.len() - 1) as u32;
            let (outcome, latency) = (Outcome::TimedOut, budget);
            let timed_out = Event::AttemptEnded {
                request: id,
                attempt,
                latency,
                outcome,
                request_finished: true,
            };
            self.handle(timed_out, &mut Progress::default());
        }
        Ok(RequestRecord {
            status,
            attempts: Some(progress.attempts),
            ..captured.clone()
        })
    }

    /// Ends the request's attempts one by one until it has its final response.
    fn run(
        &mut self,
        id: RequestId,
        end: Millis,
        captured: &RequestRecord,
        attempts: &[AttemptRecord],
        progress: &mut Progress,
    ) {
        let latency = ATTEMPT_LATENCY.min(MAX_LATENCY_SHARE * (end - self.now));
        while progress.status.is_none() {
            let in_flight = progress
                .attempts
                .last()
                .is_some_and(|t| t.outcome.is_none());
            let attempt = progress.attempts.len().saturating_sub(1);
            // An attempt that was not captured counts as served.
            let outcome = attempts
                .get(attempt)
                .map_or(Some(Outcome::Served), |t| t.outcome);
            let client_left =
                captured.status == CLIENT_DISCONNECTED && progress.attempts.len() >= attempts.len();
            if in_flight && let Some(outcome) = outcome {
                self.advance(self.now + latency, progress);
                if progress.status.is_some() {
                    return;
                }
                progress.attempts[attempt].outcome = Some(outcome);
                let finished = outcome == Outcome::Served;
                progress.status = finished.then_some(SERVED);
                let request = id;
                let ended = Event::AttemptEnded {
                    request,
                    attempt: attempt as u32,
                    latency,
                    outcome,
                    request_finished: finished,
                };
                self.handle(ended, progress);
            } else if client_left {
                progress.status = Some(CLIENT_DISCONNECTED);
                self.handle(Event::ClientDisconnected(id), progress);
            } else if self.now < end && self.next_timer().is_some() {
                let next = self.next_timer().unwrap_or(end).min(end).max(self.now);
                self.advance(next, progress);
            } else {
                progress.status = Some(FAILED); // the proxy's response before the client's deadline
                self.handle(Event::ClientDisconnected(id), progress);
            }
        }
    }

    fn next_timer(&self) -> Option<Millis> {
        self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0)
    }

    /// Advances the clock and fires the timers that are due.
    fn advance(&mut self, until: Millis, progress: &mut Progress) {
        while let Some(at) = self.next_timer().filter(|at| *at <= until) {
            let Some(Reverse((_, token))) = self.due.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle(Event::Timer(token), progress);
        }
        self.now = self.now.max(until);
    }

    fn handle(&mut self, event: Event, progress: &mut Progress) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward {
                    endpoint: forwarded_to,
                    ..
                } => {
                    let name = self
                        .endpoints
                        .iter()
                        .find(|(id, _)| *id == forwarded_to)
                        .map(|(_, name)| name.clone());
                    progress.attempts.push(AttemptRecord {
                        endpoint: name.unwrap_or_default().into(),
                        outcome: None,
                    });
                }
                Action::Reject { .. } => progress.status = progress.status.or(Some(REJECTED)),
                Action::Fail(_) => progress.status = progress.status.or(Some(FAILED)),
                Action::Timer { token, at } => {
                    self.due.push(Reverse(((at * 1000.0).ceil() as u64, token)))
                }
                Action::Broadcast(_)
                | Action::Subscribe
                | Action::FetchEndpoints
                | Action::StreamResponse { .. } => {} // there is no other proxy and no discovery
            }
        }
    }
}
