//! Settings for tests, a harness that drives a `Balancer`, and a checker of the four rules.
#![allow(dead_code)] // each test file uses its own part
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

/// Three classes (idempotent, not idempotent, with an idempotency key per cell), pushed lists, weights that are
/// capacity.
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
    /// Number of keys that requests of `run` have in turn; 0 if they have none.
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

    /// Handles an event at the present time; returns all actions but timers.
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

    /// Advances the time with no events but timers.
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

    /// Offers non-idempotent requests, one every `every` ms for `span` ms; `latency` depends on the endpoint and on the
    /// requests in flight there. Returns request and endpoint of each attempt, and the endpoints of those in flight.
    pub fn run(
        &mut self,
        span: u64,
        every: u64,
        latency: impl Fn(u64, usize) -> Millis,
    ) -> (Vec<(u64, u64)>, Vec<u64>) {
        let (all, still) = self.run_timed(span, every, latency);
        (all.into_iter().map(|(_, id, to)| (id, to)).collect(), still)
    }

    /// The same, with the time of each attempt.
    pub fn run_timed(
        &mut self,
        span: u64,
        every: u64,
        latency: impl Fn(u64, usize) -> Millis,
    ) -> (Vec<(Millis, u64, u64)>, Vec<u64>) {
        let mut all = vec![];
        let mut out: Vec<(u64, u64, Millis, Millis)> = vec![]; // request, endpoint, end, latency
        let mut answers = 0;
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
            let (over, still) = out.into_iter().partition::<Vec<_>, _>(|o| o.2 <= now);
            out = still;
            for (id, _, _, latency) in over {
                let load = (self.load)(answers);
                answers += 1;
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

    /// Serves requests one after the other, each in `latency(endpoint)`, so that latencies are learned.
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

/// Watches all events and actions of one proxy and records each violation of the four rules.
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

    /// Forgets all requests, as the proxy was killed.
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
                    let old = self.endpoints.get(&e.id.0).and_then(|s| s.1);
                    let unavailable_since = if e.state == EndpointState::Up {
                        None
                    } else {
                        old.or(Some(now))
                    };
                    if self
                        .endpoints
                        .get(&e.id.0)
                        .is_some_and(|s| s.0.started_at != e.started_at)
                    {
                        self.attempts_while_warming.remove(&e.id.0); // a new process has a new budget
                    }
                    self.endpoints
                        .insert(e.id.0, (e.clone(), unavailable_since));
                }
                if *scope == UpdateScope::Full {
                    for (id, s) in &mut self.endpoints {
                        if !entries.iter().any(|e| e.id.0 == *id) {
                            s.1 = s.1.or(Some(now));
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
                if let Some(o) = self.pending.get_mut(&request.0) {
                    o.answered |= request_finished;
                    if let Some(s) = o.attempts.get_mut(*attempt as usize) {
                        (s.ended, s.may_have_run) = (true, outcome.may_have_run());
                    }
                }
            }
            Event::ClientDisconnected(id) => {
                if let Some(o) = self.pending.get_mut(&id.0) {
                    o.answered = true;
                }
            }
            _ => {}
        }
    }

    pub fn action(&mut self, now: Millis, action: &Action) {
        match action {
            Action::Forward {
                request, endpoint, ..
            } => self.sent(now, request.0, endpoint.0),
            Action::Reject { request, .. } => {
                let Some(o) = self.pending.get(&request.0) else {
                    return self.violation(
                        now,
                        format!("rejected {request:?}, which is not in progress"),
                    );
                };
                let ran = o.attempts.iter().any(|s| !s.ended || s.may_have_run);
                let allowed = match self.settings.classes[o.class].idempotency {
                    Idempotency::Idempotent
                    | Idempotency::IdempotencyKey {
                        scope: DeduplicationScope::All,
                        ..
                    } => true,
                    _ => !ran,
                };
                if !allowed {
                    self.violation(now, format!("rejected {request:?}, which may have run"));
                }
                self.answered(now, request.0);
            }
            Action::Fail(request) => self.answered(now, request.0),
            _ => {}
        }
    }

    fn answered(&mut self, now: Millis, id: u64) {
        match self.pending.get_mut(&id) {
            Some(o) if !o.answered => o.answered = true,
            _ => self.violation(now, format!("a second answer for {id}")),
        }
    }

    fn sent(&mut self, now: Millis, id: u64, to: u64) {
        let limits = self.settings.limits;
        let Some((entry, unavailable_since)) = self.endpoints.get(&to).cloned() else {
            return self.violation(now, format!("sent to {to}, which no list named"));
        };
        if unavailable_since.is_some_and(|t| now > t) {
            self.violation(now, format!("sent to {to}, told to drain or gone"));
        }
        let Some(o) = self.pending.get(&id) else {
            return self.violation(now, format!("sent {id}, which is not in progress"));
        };
        let idempotency = self.settings.classes[o.class].idempotency;
        let out = o.attempts.iter().any(|s| !s.ended);
        let ran = o.attempts.iter().find(|s| !s.ended || s.may_have_run);
        let mut wrong = vec![];
        if o.answered {
            wrong.push("after its answer");
        }
        if out {
            wrong.push("twice at once");
        }
        if o.attempts.len() as u32 >= limits.max_attempts {
            wrong.push("too often");
        }
        match (idempotency, ran) {
            (Idempotency::NonIdempotent, Some(_)) => {
                wrong.push("again though it must never run twice")
            }
            (
                Idempotency::IdempotencyKey {
                    scope,
                    deduplication_window,
                },
                Some(first),
            ) => {
                let other = &self.endpoints[&first.endpoint].0;
                let same = match scope {
                    DeduplicationScope::All => true,
                    DeduplicationScope::Zone => other.zone == entry.zone,
                    DeduplicationScope::Cell => other.cell == entry.cell,
                };
                if !same {
                    wrong.push("outside the scope that drops its repeat");
                }
                if now > first.at + deduplication_window {
                    wrong.push("after its deduplication window");
                }
            }
            _ => {}
        }
        let texts: Vec<String> = wrong.iter().map(|w| format!("sent {id} {w}")).collect();
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
        if let Some(since) = entry.started_at.filter(|s| now - s < limits.warm_up) {
            let sent = self.attempts_while_warming.entry(to).or_default();
            sent.push(now);
            sent.retain(|t| *t > now - limits.overload_window);
            // If all proxies did the same: guaranteed capacity over the window, plus one request each for chance.
            let warm_up_fraction = ((now - since) / limits.warm_up).clamp(0.0, 1.0);
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
                    format!("pushed cold {to}: {work:.0} ms of work against {budget:.0}"),
                );
            }
        }
    }

    /// Checks for overdue answers.
    pub fn check_overdue(&mut self, now: Millis) {
        let slack = 20.0;
        let late: Vec<u64> = self
            .pending
            .iter()
            .filter(|(_, o)| !o.answered && now > o.deadline + slack)
            .map(|(id, _)| *id)
            .collect();
        for id in late {
            self.pending.get_mut(&id).unwrap().answered = true;
            self.violation(now, format!("no answer for {id} in time"));
        }
        self.pending
            .retain(|_, o| !o.answered || o.attempts.iter().any(|s| !s.ended));
    }
}

pub fn final_answers(actions: &[Action]) -> usize {
    actions
        .iter()
        .filter(|a| matches!(a, Action::Reject { .. } | Action::Fail(_)))
        .count()
}

/// Offers so many non-idempotent requests at once; returns request and endpoint of each attempt.
pub fn burst(harness: &mut Harness, first: u64, n: u64) -> Vec<(u64, u64)> {
    (first..first + n)
        .flat_map(|id| forwarded(&harness.handle(request(id, 1, 3000.0))))
        .collect()
}
