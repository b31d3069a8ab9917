//! The decision module on a capture: one request at a time, each attempt ending as it did then.

use std::cmp::Reverse;
use std::collections::BinaryHeap;

use ::capture::{AttemptRecord, EndpointRecord, ListUpdate, RequestRecord, SegmentHeader};
use balancer::{
    Action, Balancer, CellId, ClassId, Endpoint, EndpointId, Event, Key, MachineTypeId, Millis,
    Outcome, RequestId, TenantId, ZoneId,
};
use settings::{Names, PlatformSettings, intern, stable_hash};

/// Between two requests: they come alone, so that none waits for another.
const STEP: Millis = 50.0;
/// How long an attempt takes, and the part of its request's time that it takes at most.
const LATENCY: Millis = 10.0;
const LATENCY_PART: f64 = 0.25;
/// The proxy answers so long before the client gives up, whatever happens.
const LAST_RESORT: Millis = 4.0;
/// The codes of the final answers.
const SERVED: u16 = 200;
const GONE: u16 = 499;
const FAILED: u16 = 502;
const REFUSED: u16 = 503;

/// A module that lives through a capture again.
pub struct Replay {
    balancer: Balancer,
    names: Names,
    unix_start: Millis,
    now: Millis,
    requests: u64,
    servers: Vec<(EndpointId, String)>,
    /// When the module wants which of its timers back, in µs.
    due: BinaryHeap<Reverse<(u64, u64)>>,
}

/// What becomes of the one request.
#[derive(Default)]
struct Course {
    attempts: Vec<AttemptRecord<'static>>,
    code: Option<u16>,
}

impl Replay {
    pub fn new(head: &SegmentHeader, given: Option<&str>) -> Result<Self, String> {
        let given = given.ok_or("the capture's settings are missing")?;
        let given =
            serde_json::from_str(given).map_err(|e| format!("the capture's settings: {e}"))?;
        let PlatformSettings { settings, names } = PlatformSettings::from_json(&given);
        if settings.proxy_index >= settings.proxy_count {
            return Err("the capture's settings: the proxy's number is off".into());
        }
        Ok(Replay {
            balancer: Balancer::new(settings, head.seed),
            names,
            unix_start: head.started_at,
            now: 0.0,
            requests: 0,
            servers: Vec::new(),
            due: BinaryHeap::new(),
        })
    }

    /// The list changes, as long after the start as it did then.
    pub fn news(&mut self, news: &ListUpdate, servers: &[EndpointRecord]) {
        self.pass(news.received_at, &mut Course::default());
        let entries = servers.iter().map(|s| self.backend(s)).collect();
        self.handle(
            Event::EndpointUpdate {
                scope: news.scope,
                endpoints: entries,
            },
            &mut Course::default(),
        );
    }

    fn backend(&mut self, server: &EndpointRecord) -> Endpoint {
        let id = EndpointId(stable_hash(&server.name));
        if !self.servers.iter().any(|(known, _)| *known == id) {
            self.servers.push((id, server.name.clone()));
        }
        let born = server.started_at.is_finite() && server.started_at > 0.0;
        Endpoint {
            id,
            zone: server
                .zone
                .as_ref()
                .map(|z| ZoneId(intern(&mut self.names.zones, z) as u32)),
            machine_type: server
                .machine_type
                .as_ref()
                .map(|k| MachineTypeId(intern(&mut self.names.machine_types, k) as u32)),
            cell: server.cell.map(CellId),
            state: server.state,
            weight: server.weight.unwrap_or(1.0),
            started_at: born.then_some(server.started_at - self.unix_start),
        }
    }

    /// What the module decides now about a request of then, whose attempts end as those of then did.
    pub fn decide<'a>(
        &mut self,
        then: &'a RequestRecord,
        tried: &[AttemptRecord],
    ) -> Result<RequestRecord<'a>, String> {
        let class = self.names.classes.iter().position(|c| *c == then.class);
        let class = class.ok_or_else(|| format!("the settings know no class '{}'", then.class))?;
        let tenant = then
            .tenant
            .as_ref()
            .and_then(|t| self.names.tenants.iter().position(|n| n == t));
        self.pass(self.now + STEP, &mut Course::default());
        self.requests += 1;
        let id = RequestId(self.requests);
        let budget = (then.timeout_ms as f64 - LAST_RESORT).max(0.0);
        let mut course = Course::default();
        let request = Event::Request {
            id,
            class: ClassId(class),
            tenant: tenant.map(TenantId),
            key: then.sid.as_ref().map(|sid| Key(stable_hash(sid))),
            timeout: budget,
            expected_work: None,
            body_complete: true,
        };
        let end = self.now + budget;
        self.handle(request, &mut course);
        self.run(id, end, then, tried, &mut course);
        let status = course.code.unwrap_or(FAILED);
        if course.attempts.last().is_some_and(|t| t.outcome.is_none()) {
            let attempt = (course.attempts.len() - 1) as u32;
            let (outcome, latency) = (Outcome::TimedOut, budget);
            let late = Event::AttemptEnded {
                request: id,
                attempt,
                latency,
                outcome,
                request_finished: true,
            };
            self.handle(late, &mut Course::default());
        }
        Ok(RequestRecord {
            status,
            attempts: Some(course.attempts),
            ..then.clone()
        })
    }

    /// Lets the request's attempts end until it has its answer.
    fn run(
        &mut self,
        id: RequestId,
        end: Millis,
        then: &RequestRecord,
        tried: &[AttemptRecord],
        course: &mut Course,
    ) {
        let latency = LATENCY.min(LATENCY_PART * (end - self.now));
        while course.code.is_none() {
            let out = course.attempts.last().is_some_and(|t| t.outcome.is_none());
            let attempt = course.attempts.len().saturating_sub(1);
            // An attempt that there was none of then is served: nothing is known against it.
            let outcome = tried
                .get(attempt)
                .map_or(Some(Outcome::Served), |t| t.outcome);
            let left = then.status == GONE && course.attempts.len() >= tried.len();
            if out && let Some(outcome) = outcome {
                self.pass(self.now + latency, course);
                if course.code.is_some() {
                    return;
                }
                course.attempts[attempt].outcome = Some(outcome);
                let closed = outcome == Outcome::Served;
                course.code = closed.then_some(SERVED);
                let request = id;
                let ended = Event::AttemptEnded {
                    request,
                    attempt: attempt as u32,
                    latency,
                    outcome,
                    request_finished: closed,
                };
                self.handle(ended, course);
            } else if left {
                course.code = Some(GONE);
                self.handle(Event::ClientDisconnected(id), course);
            } else if self.now < end && self.next().is_some() {
                let next = self.next().unwrap_or(end).min(end).max(self.now);
                self.pass(next, course);
            } else {
                course.code = Some(FAILED); // the proxy's own last resort
                self.handle(Event::ClientDisconnected(id), course);
            }
        }
    }

    fn next(&self) -> Option<Millis> {
        self.due.peek().map(|Reverse((at, _))| *at as f64 / 1000.0)
    }

    /// Lets time pass, with the timers that fall due.
    fn pass(&mut self, until: Millis, course: &mut Course) {
        while let Some(at) = self.next().filter(|at| *at <= until) {
            let Some(Reverse((_, token))) = self.due.pop() else {
                break;
            };
            self.now = self.now.max(at);
            self.handle(Event::Timer(token), course);
        }
        self.now = self.now.max(until);
    }

    fn handle(&mut self, event: Event, course: &mut Course) {
        let mut actions = Vec::new();
        self.balancer.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::Forward {
                    endpoint: backend, ..
                } => {
                    let name = self
                        .servers
                        .iter()
                        .find(|(id, _)| *id == backend)
                        .map(|(_, name)| name.clone());
                    course.attempts.push(AttemptRecord {
                        endpoint: name.unwrap_or_default().into(),
                        outcome: None,
                    });
                }
                Action::Reject { .. } => course.code = course.code.or(Some(REFUSED)),
                Action::Fail(_) => course.code = course.code.or(Some(FAILED)),
                Action::Timer { token, at } => {
                    self.due.push(Reverse(((at * 1000.0).ceil() as u64, token)))
                }
                Action::Broadcast(_) | Action::Subscribe | Action::FetchEndpoints => {} // nobody is there
            }
        }
    }
}
