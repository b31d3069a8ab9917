//! Test settings, a harness that drives a `Balancer`, and a checker of the invariants.
#![allow(dead_code)] // each test file uses only some of these items
use balancer::*;
use std::collections::{BTreeMap, HashMap};

pub fn class(idempotency: Idempotency, latency_objective: Millis) -> Class {
    Class {
        latency_objective,
        deadline: 2.5 * latency_objective,
        objective_work_multiple: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency,
    }
}

pub const WITH_IDEMPOTENCY_KEY: Idempotency = Idempotency::IdempotencyKey {
    scope: DeduplicationScope::Cell,
    deduplication_window: 2000.0,
};

/// Returns settings with three classes (idempotent, non-idempotent, with an idempotency key per cell), pushed list
/// updates, and weights that mean capacity.
pub fn settings(proxies: u32) -> Settings {
    Settings {
        proxy_index: 0,
        proxy_count: proxies,
        zone: Some(ZoneId(0)),
        classes: vec![
            class(Idempotency::Idempotent, 800.0),
            class(Idempotency::NonIdempotent, 1200.0),
            class(WITH_IDEMPOTENCY_KEY, 800.0),
        ],
        tenants: vec![],
        over_quota_weight_fraction: 0.1,
        weight_by_work: false,
        discovery: Discovery::Pushed,
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: false,
        gossip_enabled: false,
        max_retry_after: None,
        costs: Costs::default(),
        limits: Limits {
            initial_capacity_fraction: 0.2,
            warm_up: 10_000.0,
            overload_multiple: 3.0,
            overload_window: 2000.0,
            max_attempts: 4,
        },
    }
}

pub fn endpoint(id: u64) -> Endpoint {
    Endpoint {
        id: EndpointId(id),
        zone: Some(ZoneId(0)),
        machine_type: Some(MachineTypeId(0)),
        cell: Some(CellId(id / 3)),
        state: EndpointState::Up,
        weight: 2.0,
        started_at: None,
    }
}

pub fn full_update(entries: Vec<Endpoint>) -> Event {
    Event::EndpointUpdate {
        scope: UpdateScope::Full,
        endpoints: entries,
    }
}

pub fn request(id: u64, class: usize, timeout: Millis) -> Event {
    Event::Request {
        id: RequestId(id),
        class: ClassId(class),
        tenant: None,
        key: None,
        timeout,
        expected_work: None,
        body_complete: true,
    }
}

/// Returns a request whose body has not been received completely.
pub fn streamed_request(id: u64, class: usize, timeout: Millis) -> Event {
    let mut event = request(id, class, timeout);
    if let Event::Request { body_complete, .. } = &mut event {
        *body_complete = false;
    }
    event
}

pub fn body_reception(id: u64, reception: Reception, timeout: Millis) -> Event {
    Event::BodyReception {
        id: RequestId(id),
        reception,
        timeout,
    }
}

pub fn attempt_ended(id: u64, attempt: u32, latency: Millis, outcome: Outcome) -> Event {
    let request_finished = outcome == Outcome::Served;
    Event::AttemptEnded {
        request: RequestId(id),
        attempt,
        latency,
        outcome,
        request_finished,
    }
}

/// `Balancer` with simulated time and timers.
pub struct Harness {
    pub balancer: Balancer,
    pub now: Millis,
    /// Number of keys that requests of `run` use in rotation; 0 for requests without a key.
    pub keys: u64,
    /// Load report of the n-th response.
    pub load: fn(usize) -> LoadReport,
    timers: Vec<(Millis, u64)>,
}

impl Harness {
    pub fn new(settings: Settings, endpoints: Vec<Endpoint>) -> Self {
        Harness::seeded(settings, endpoints, 7)
    }

    pub fn seeded(settings: Settings, endpoints: Vec<Endpoint>, seed: u64) -> Self {
        let balancer = Balancer::new(settings, seed);
        let mut harness = Harness {
            balancer,
            now: 1000.0,
            keys: 0,
            load: |_| LoadReport::default(),
            timers: vec![],
        };
        harness.handle(full_update(endpoints));
        harness
    }

    /// Handles an event at the current time; returns all actions except timers.
    pub fn handle(&mut self, event: Event) -> Vec<Action> {
        let mut out = vec![];
        self.balancer.handle(self.now, event, &mut out);
        for action in &out {
            if let Action::Timer { token, at } = action {
                self.timers.push((*at, *token));
            }
        }
        out.retain(|a| !matches!(a, Action::Timer { .. }));
        out
    }

    /// Advances the time, with timers as the only events; returns all actions except timers.
    pub fn advance(&mut self, span: Millis) -> Vec<Action> {
        let end = self.now + span;
        let mut out = vec![];
        while let Some(i) =
            (0..self.timers.len()).min_by(|a, b| self.timers[*a].0.total_cmp(&self.timers[*b].0))
        {
            if self.timers[i].0 > end {
                break;
            }
            let (at, token) = self.timers.swap_remove(i);
            self.now = self.now.max(at);
            out.extend(self.handle(Event::Timer(token)));
        }
        self.now = end;
        out
    }

    /// Sends non-idempotent requests, one every `every` ms for `span` ms; `latency` depends on the endpoint and on the
    /// number of requests in flight there. Returns request and endpoint of each attempt, and the endpoints of the
    /// attempts that are still in flight.
    pub fn run(
        &mut self,
        span: u64,
        every: u64,
        latency: impl Fn(u64, usize) -> Millis,
    ) -> (Vec<(u64, u64)>, Vec<u64>) {
        let (all, in_flight) = self.run_timed(span, every, latency);
        (
            all.into_iter().map(|(_, id, to)| (id, to)).collect(),
            in_flight,
        )
    }

    /// Like `run`, but also returns the time of each attempt.
    pub fn run_timed(
        &mut self,
        span: u64,
        every: u64,
        latency: impl Fn(u64, usize) -> Millis,
    ) -> (Vec<(Millis, u64, u64)>, Vec<u64>) {
        let mut all = vec![];
        let mut out: Vec<(u64, u64, Millis, Millis)> = vec![]; // request, endpoint, end, latency
        let mut responses = 0;
        for step in 0..span {
            let mut actions = self.advance(1.0);
            if step % every == 0 {
                let mut event = request(1000 + step, 1, 3000.0);
                if let (Event::Request { key, .. }, 1..) = (&mut event, self.keys) {
                    *key = Some(Key(step / every % self.keys));
                }
                actions.extend(self.handle(event));
            }
            let now = self.now;
            let (ended, in_flight) = out.into_iter().partition::<Vec<_>, _>(|o| o.2 <= now);
            out = in_flight;
            for (id, _, _, latency) in ended {
                let load = (self.load)(responses);
                responses += 1;
                actions.extend(self.handle(Event::LoadReport {
                    request: RequestId(id),
                    attempt: 0,
                    load,
                }));
                actions.extend(self.handle(attempt_ended(id, 0, latency, Outcome::Served)));
            }
            for (id, to) in forwarded(&actions) {
                let latency = latency(to, out.iter().filter(|o| o.1 == to).count());
                out.push((id, to, now + latency, latency));
                all.push((now, id, to));
            }
        }
        (all, out.iter().map(|o| o.1).collect())
    }

    /// Serves requests one after the other, each with `latency(endpoint)`, so that the latencies are learned.
    pub fn train(&mut self, first: u64, count: u64, latency: impl Fn(u64) -> Millis) {
        for id in first..first + count {
            let sent = forwarded(&self.handle(request(id, 0, 2000.0)));
            let Some(&(_, to)) = sent.first() else {
                self.advance(2100.0);
                continue;
            };
            self.advance(latency(to));
            self.handle(attempt_ended(id, 0, latency(to), Outcome::Served));
        }
    }
}

/// Returns request and endpoint of each attempt.
pub fn forwarded(actions: &[Action]) -> Vec<(u64, u64)> {
    let pick = |a: &Action| match a {
        Action::Forward {
            request, endpoint, ..
        } => Some((request.0, endpoint.0)),
        _ => None,
    };
    actions.iter().filter_map(pick).collect()
}

struct SentAttempt {
    endpoint: u64,
    at: Millis,
    ended: bool,
    may_have_run: bool,
}

struct PendingRequest {
    class: usize,
    deadline: Millis,
    attempts: Vec<SentAttempt>,
    answered: bool,
}

/// Records violations of the invariants in the events and actions of one proxy. Each request gets exactly one final
/// answer, in time. Attempts respect the request's idempotency and the maximum number of attempts. Only endpoints that
/// are listed and accept requests get attempts. Warming endpoints are not overloaded.
pub struct Checker {
    settings: Settings,
    /// Each endpoint's entry, and the time at which its drain or removal was announced.
    endpoints: HashMap<u64, (Endpoint, Option<Millis>)>,
    pending: BTreeMap<u64, PendingRequest>,
    /// Times of recent attempts at each warming endpoint.
    attempts_while_warming: HashMap<u64, Vec<Millis>>,
    pub work: Millis,
    pub violations: Vec<String>,
}

impl Checker {
    pub fn new(settings: Settings, work: Millis) -> Self {
        let (endpoints, pending, attempts_while_warming, violations) = Default::default();
        Checker {
            settings,
            endpoints,
            pending,
            attempts_while_warming,
            work,
            violations,
        }
    }

    /// Drops all requests and endpoints, as after a crash of the proxy.
    pub fn restart(&mut self) {
        self.pending.clear();
        self.endpoints.clear();
    }

    fn violation(&mut self, now: Millis, text: String) {
        self.violations.push(format!("at {now:.1}: {text}"));
    }

    pub fn event(&mut self, now: Millis, event: &Event) {
        match event {
            Event::EndpointUpdate {
                scope: UpdateScope::Failed,
                ..
            } => {}
            Event::EndpointUpdate {
                scope,
                endpoints: entries,
            } => {
                for e in entries {
                    let old = self.endpoints.get(&e.id.0).and_then(|listed| listed.1);
                    let unavailable_since = if e.state == EndpointState::Up {
                        None
                    } else {
                        old.or(Some(now))
                    };
                    if self
                        .endpoints
                        .get(&e.id.0)
                        .is_some_and(|listed| listed.0.started_at != e.started_at)
                    {
                        self.attempts_while_warming.remove(&e.id.0); // a new process has a new budget
                    }
                    self.endpoints
                        .insert(e.id.0, (e.clone(), unavailable_since));
                }
                if *scope == UpdateScope::Full {
                    for (id, listed) in &mut self.endpoints {
                        if !entries.iter().any(|e| e.id.0 == *id) {
                            listed.1 = listed.1.or(Some(now));
                        }
                    }
                }
            }
            Event::Request {
                id, class, timeout, ..
            } => {
                let pending = PendingRequest {
                    class: class.0,
                    deadline: now + timeout,
                    attempts: vec![],
                    answered: false,
                };
                self.pending.insert(id.0, pending);
            }
            Event::AttemptEnded {
                request,
                attempt,
                outcome,
                request_finished,
                ..
            } => {
                if let Some(pending) = self.pending.get_mut(&request.0) {
                    pending.answered |= request_finished;
                    if let Some(attempt) = pending.attempts.get_mut(*attempt as usize) {
                        (attempt.ended, attempt.may_have_run) = (true, outcome.may_have_run());
                    }
                }
            }
            Event::ClientDisconnected(id) => {
                if let Some(pending) = self.pending.get_mut(&id.0) {
                    pending.answered = true;
                }
            }
            _ => {}
        }
    }

    pub fn action(&mut self, now: Millis, action: &Action) {
        match action {
            Action::Forward {
                request, endpoint, ..
            } => self.check_forward(now, request.0, endpoint.0),
            Action::Reject { request, .. } => {
                let Some(pending) = self.pending.get(&request.0) else {
                    return self.violation(
                        now,
                        format!("rejected {request:?}, which is not in progress"),
                    );
                };
                let may_have_run = pending
                    .attempts
                    .iter()
                    .any(|attempt| !attempt.ended || attempt.may_have_run);
                let allowed = match self.settings.classes[pending.class].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::IdempotencyKey {
                        scope: DeduplicationScope::All,
                        ..
                    } => true,
                    _ => !may_have_run,
                };
                if !allowed {
                    self.violation(now, format!("rejected {request:?}, which may have run"));
                }
                self.check_answer(now, request.0);
            }
            Action::Fail(request) => self.check_answer(now, request.0),
            _ => {}
        }
    }

    fn check_answer(&mut self, now: Millis, id: u64) {
        match self.pending.get_mut(&id) {
            Some(pending) if !pending.answered => pending.answered = true,
            _ => self.violation(now, format!("a second final answer for {id}")),
        }
    }

    fn check_forward(&mut self, now: Millis, id: u64, to: u64) {
        let limits = self.settings.limits;
        let Some((entry, unavailable_since)) = self.endpoints.get(&to).cloned() else {
            return self.violation(now, format!("sent to {to}, which was never listed"));
        };
        if unavailable_since.is_some_and(|t| now > t) {
            self.violation(now, format!("sent to {to}, which is draining or removed"));
        }
        let Some(pending) = self.pending.get(&id) else {
            return self.violation(now, format!("sent {id}, which is not in progress"));
        };
        let idempotency = self.settings.classes[pending.class].idempotency;
        let in_flight = pending.attempts.iter().any(|attempt| !attempt.ended);
        let first_that_may_have_run = pending
            .attempts
            .iter()
            .find(|attempt| !attempt.ended || attempt.may_have_run);
        let mut reasons = vec![];
        if pending.answered {
            reasons.push("after its final answer");
        }
        if in_flight {
            reasons.push("while another attempt is in flight");
        }
        if pending.attempts.len() as u32 >= limits.max_attempts {
            reasons.push("more often than allowed");
        }
        match (idempotency, first_that_may_have_run) {
            (Idempotency::NonIdempotent, Some(_)) => {
                reasons.push("again although it must not run twice")
            }
            (
                Idempotency::IdempotencyKey {
                    scope,
                    deduplication_window,
                },
                Some(first),
            ) => {
                let other = &self.endpoints[&first.endpoint].0;
                let in_scope = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => other.zone == entry.zone,
                    DeduplicationScope::Cell => other.cell == entry.cell,
                };
                if !in_scope {
                    reasons.push("outside the scope that drops its repeats");
                }
                if now > first.at + deduplication_window {
                    reasons.push("after its deduplication window");
                }
            }
            _ => {}
        }
        let texts: Vec<String> = reasons.iter().map(|w| format!("sent {id} {w}")).collect();
        texts.into_iter().for_each(|t| self.violation(now, t));
        self.pending
            .get_mut(&id)
            .unwrap()
            .attempts
            .push(SentAttempt {
                endpoint: to,
                at: now,
                ended: false,
                may_have_run: true,
            });
        if let Some(started_at) = entry.started_at.filter(|at| now - at < limits.warm_up) {
            let sent = self.attempts_while_warming.entry(to).or_default();
            sent.push(now);
            sent.retain(|t| *t > now - limits.overload_window);
            // Assumes that all proxies send the same load. The budget is the load that overloads the guaranteed
            // capacity over the window; one request per proxy is allowed in addition, as forwarding is random.
            let warm_up_fraction = ((now - started_at) / limits.warm_up).clamp(0.0, 1.0);
            let capacity_fraction = limits.initial_capacity_fraction
                + (1.0 - limits.initial_capacity_fraction) * warm_up_fraction;
            let budget = limits.overload_multiple
                * capacity_fraction
                * entry.weight
                * limits.overload_window;
            let proxies = f64::from(self.settings.proxy_count);
            let work = (sent.len() as f64 - 1.0) * proxies * self.work;
            if work > budget {
                self.violation(
                    now,
                    format!(
                        "overloaded warming endpoint {to}: {work:.0} ms of work, budget {budget:.0}"
                    ),
                );
            }
        }
    }

    /// Records a violation for each overdue answer.
    pub fn check_overdue(&mut self, now: Millis) {
        let slack = 20.0;
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, pending)| !pending.answered && now > pending.deadline + slack)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.pending.get_mut(&id).unwrap().answered = true;
            self.violation(now, format!("no final answer for {id} in time"));
        }
        self.pending.retain(|_, pending| {
            !pending.answered || pending.attempts.iter().any(|attempt| !attempt.ended)
        });
    }
}

pub fn final_answers(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
        .count()
}

/// Sends `n` non-idempotent requests at once; returns request and endpoint of each attempt.
pub fn burst(harness: &mut Harness, first: u64, n: u64) -> Vec<(u64, u64)> {
    (first..first + n)
        .flat_map(|id| forwarded(&harness.handle(request(id, 1, 3000.0))))
        .collect()
}
