//! Checks the invariants of `common::Checker` over random valid event streams from fixed seeds.
mod common;
use balancer::*;
use common::*;

enum Due {
    Timer(u64),
    Ended(u64, u32, Millis, Outcome),
    Message(Vec<u8>),
}

/// Random environment of one proxy. It generates valid event streams, but doesn't model endpoints realistically.
struct Simulation {
    rng: fastrand::Rng,
    now: Millis,
    balancer: Balancer,
    settings: Settings,
    checker: Checker,
    due: Vec<(Millis, Due)>,
    list: Vec<Endpoint>,
    requests: std::collections::HashMap<u64, (Millis, u32, bool)>,
    next_id: u64,
    tamper: fn(&mut Vec<Action>),
}

impl Simulation {
    fn new(seed: u64, settings: Settings, tamper: fn(&mut Vec<Action>)) -> Self {
        let mut rng = fastrand::Rng::with_seed(seed);
        let list = (0..rng.u64(0..14)).map(endpoint).collect();
        Simulation {
            balancer: Balancer::new(settings.clone(), seed),
            checker: Checker::new(settings.clone(), 60.0),
            rng,
            now: 5000.0,
            settings,
            due: vec![],
            list,
            requests: Default::default(),
            next_id: 0,
            tamper,
        }
    }

    fn handle(&mut self, event: Event) {
        self.checker.event(self.now, &event);
        let mut out = vec![];
        self.balancer.handle(self.now, event, &mut out);
        (self.tamper)(&mut out);
        for action in out {
            self.checker.action(self.now, &action);
            match action {
                Action::Timer { token, at } => {
                    let late = self.rng.f64() * 5.0;
                    self.due.push((at.max(self.now) + late, Due::Timer(token)));
                }
                Action::Forward { request, .. } => self.attempt(request.0),
                Action::Reject { request, .. } | Action::Fail(request) => {
                    if let Some(e) = self.requests.get_mut(&request.0) {
                        e.2 = true;
                    }
                }
                Action::Broadcast(bytes) => {
                    assert!(bytes.len() <= 256);
                    if self.rng.f64() < 0.5 {
                        self.due.push((self.now + 10.0, Due::Message(bytes))); // as if a peer had sent the same message
                    }
                }
                Action::StreamResponse { .. } => unreachable!("no response is held back"),
                Action::Subscribe | Action::FetchEndpoints => {
                    let scope = if self.rng.bool() {
                        UpdateScope::Full
                    } else {
                        UpdateScope::Failed
                    };
                    let entries = if scope == UpdateScope::Full {
                        self.list.clone()
                    } else {
                        vec![]
                    };
                    self.handle(Event::EndpointUpdate {
                        scope,
                        endpoints: entries,
                    });
                }
            }
        }
    }

    fn attempt(&mut self, id: u64) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        let (due, attempt) = (request.0, request.1);
        request.1 += 1;
        let outcome_draw = self.rng.f64();
        let (latency, outcome) = match outcome_draw {
            x if x < 0.70 => (10.0 + self.rng.f64() * 100.0, Outcome::Served),
            x if x < 0.76 => (5.0, Outcome::Error),
            x if x < 0.82 => (1.0, Outcome::Overloaded),
            x if x < 0.86 => (50.0, Outcome::ConnectFailed),
            x if x < 0.90 => (self.rng.f64() * 500.0, Outcome::Reset),
            x if x < 0.92 => (0.0, Outcome::NotSent),
            _ => (1e9, Outcome::TimedOut),
        };
        let (latency, outcome) = if self.now + latency > due {
            (due - self.now, Outcome::TimedOut)
        } else {
            (latency, outcome)
        };
        self.due.push((
            self.now + latency,
            Due::Ended(id, attempt, latency, outcome),
        ));
    }

    fn change_list(&mut self) {
        let length = self.list.len() as u64;
        let mut entries = vec![];
        match self.rng.u32(0..6) {
            0 => {
                let added = Endpoint {
                    started_at: Some(self.now),
                    ..endpoint(100 + self.next_id)
                };
                self.list.push(added.clone());
                entries.push(added);
            }
            1 | 2 if length > 0 => {
                let index = self.rng.usize(0..self.list.len());
                let states = [
                    EndpointState::Draining,
                    EndpointState::Removed,
                    EndpointState::Up,
                ];
                self.list[index].state = states[self.rng.usize(0..3)];
                entries.push(self.list[index].clone());
            }
            3 if length > 0 => {
                let index = self.rng.usize(0..self.list.len());
                (self.list[index].state, self.list[index].started_at) =
                    (EndpointState::Up, Some(self.now - 300.0));
                entries.push(self.list[index].clone());
                entries.push(self.list[index].clone()); // repeated entries are valid
            }
            4 => {
                return self.handle(Event::EndpointUpdate {
                    scope: UpdateScope::Failed,
                    endpoints: vec![],
                });
            }
            _ => {
                self.list.retain(|b| b.state != EndpointState::Removed);
                let entries = self.list.clone();
                return self.handle(full_update(entries));
            }
        }
        self.handle(Event::EndpointUpdate {
            scope: UpdateScope::Delta,
            endpoints: entries,
        });
    }

    fn run(mut self, span: Millis) -> Vec<String> {
        let end = self.now + span;
        let entries = self.list.clone();
        self.handle(Event::EndpointUpdate {
            scope: UpdateScope::Cached,
            endpoints: entries,
        });
        let mut arrival = self.now;
        while self.now < end + 4000.0 {
            let first =
                (0..self.due.len()).min_by(|a, b| self.due[*a].0.total_cmp(&self.due[*b].0));
            let at = first.map_or(f64::INFINITY, |i| self.due[i].0);
            if arrival <= at && arrival < end {
                self.now = self.now.max(arrival);
                arrival +=
                    -(self.rng.f64() + 1e-9).ln() * if self.rng.f64() < 0.1 { 60.0 } else { 6.0 };
                self.step();
            } else {
                let Some(i) = first else { break };
                let (at, due) = self.due.swap_remove(i);
                self.now = self.now.max(at);
                match due {
                    Due::Timer(token) => self.handle(Event::Timer(token)),
                    Due::Message(bytes) => self.handle(Event::Gossip { from: 1, bytes }),
                    Due::Ended(id, attempt, latency, outcome) => {
                        let Some(request) = self.requests.get_mut(&id) else {
                            continue;
                        };
                        request.2 |= outcome == Outcome::Served;
                        let finished = request.2;
                        let request = RequestId(id);
                        self.handle(Event::AttemptEnded {
                            request,
                            attempt,
                            latency,
                            outcome,
                            request_finished: finished,
                        });
                    }
                }
            }
            self.checker.check_overdue(self.now);
        }
        self.checker.violations
    }

    fn step(&mut self) {
        match self.rng.u32(0..400) {
            0..6 => self.change_list(),
            6 => {
                // The proxy crashes and restarts, and loses its requests.
                self.balancer = Balancer::new(self.settings.clone(), self.next_id);
                self.checker.restart();
                self.requests.clear();
                self.due.clear();
                let entries = self.list.clone();
                self.handle(Event::EndpointUpdate {
                    scope: UpdateScope::Cached,
                    endpoints: entries,
                });
            }
            7..10 => self.handle(Event::Gossip {
                from: self.next_id as u32 % 9,
                bytes: vec![1, 0, 9, 3],
            }),
            10..14 => self.handle(attempt_ended(self.next_id + 999, 3, 1.0, Outcome::Error)), // of an unknown request
            14..20 => {
                if let Some(id) = self.requests.keys().min().copied() {
                    self.requests.get_mut(&id).unwrap().2 = true;
                    self.handle(Event::ClientDisconnected(RequestId(id)));
                    self.requests.retain(|_, e| !e.2 || e.1 > 0);
                }
            }
            _ => {
                let class = self.rng.usize(0..self.settings.classes.len());
                let class_settings = &self.settings.classes[class];
                let client_timeout =
                    class_settings.deadline * [0.005, 0.34, 0.7, 1.0][self.rng.usize(0..4)];
                let key = self.rng.bool().then(|| Key(self.rng.u64(0..20)));
                let tenant = (!self.settings.tenants.is_empty()).then_some(TenantId(0));
                let id = RequestId(self.next_id);
                self.requests
                    .insert(self.next_id, (self.now + client_timeout, 0, false));
                self.next_id += 1;
                self.handle(Event::Request {
                    id,
                    class: ClassId(class),
                    tenant,
                    key,
                    timeout: client_timeout,
                    expected_work: None,
                    body_complete: true,
                });
            }
        }
    }
}

fn variants() -> Vec<Settings> {
    let base = settings(4);
    let mut all = vec![
        base.clone(),
        Settings {
            key_affinity: true,
            ..base.clone()
        },
    ];
    all.push(Settings {
        gossip_enabled: true,
        proxy_count: 9,
        ..base.clone()
    });
    all.push(Settings {
        gossip_enabled: true,
        key_affinity: true,
        discovery: Discovery::OnRequest,
        ..base.clone()
    });
    let mut one = Settings {
        weight_meaning: WeightMeaning::Unspecified,
        tenants: vec![Tenant {
            quota_per_second: 3.0,
        }],
        ..base
    };
    one.limits.max_attempts = 2;
    one.classes.remove(0);
    one.classes[1].idempotency = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::Zone,
        deduplication_window: 300.0,
    };
    all.push(one);
    let mut late = settings(4);
    late.classes
        .iter_mut()
        .for_each(|c| c.late_weight_fraction = 0.3);
    late.classes[2].idempotency = Idempotency::IdempotencyKey {
        scope: DeduplicationScope::All,
        deduplication_window: 600.0,
    };
    all.push(late);
    all
}

#[test]
fn the_invariants_hold_over_random_events() {
    for (v, settings) in variants().into_iter().enumerate() {
        for seed in 0..12 {
            let violations = Simulation::new(seed, settings.clone(), |_| {}).run(20_000.0);
            assert!(
                violations.is_empty(),
                "variant {v}, seed {seed}: {:?}",
                &violations[..violations.len().min(3)]
            );
        }
    }
}

#[test]
fn equal_events_give_equal_actions() {
    let run = || {
        let mut harness = Harness::new(settings(4), (0..9).map(endpoint).collect());
        let mut all = vec![];
        for id in 0..200 {
            all.extend(harness.handle(request(id, id as usize % 3, 1500.0)));
            all.extend(harness.advance(7.0));
            if id >= 8 {
                all.extend(harness.handle(attempt_ended(id - 8, 0, 56.0, Outcome::Served)));
            }
        }
        all
    };
    assert_eq!(run(), run());
}

fn assert_detected(tamper: fn(&mut Vec<Action>), what: &str) {
    let all: Vec<String> = (0..40)
        .flat_map(|seed| Simulation::new(seed, settings(4), tamper).run(20_000.0))
        .collect();
    assert!(
        all.iter().any(|b| b.contains(what)),
        "the checker did not detect '{what}': {:?}",
        all.first()
    );
}

/// Violates each invariant deliberately, to show that the checker detects it.
#[test]
fn the_checker_detects_violated_invariants() {
    assert_detected(
        |out| {
            let twice: Vec<Action> = out
                .iter()
                .filter(|a| matches!(a, Action::Forward { .. }))
                .cloned()
                .collect();
            out.extend(twice);
        },
        "must not run twice",
    );
    assert_detected(
        |out| out.retain(|a| !matches!(a, Action::Reject { .. } | Action::Fail(_))),
        "in time",
    );
    assert_detected(
        |out| {
            for a in out.iter_mut() {
                if let Action::Fail(request) = *a {
                    *a = Action::Reject {
                        request,
                        retry_after: None,
                    };
                }
            }
        },
        "which may have run",
    );
    assert_detected(
        |out| {
            for a in out.iter_mut() {
                if let Action::Forward { endpoint, .. } = a {
                    endpoint.0 = if endpoint.0 >= 100 { endpoint.0 } else { 1 };
                }
            }
        },
        "draining or removed",
    );
    assert_detected(
        |out| {
            let cold =
                |a: &&Action| matches!(a, Action::Forward { endpoint, .. } if endpoint.0 >= 100);
            if let Some(a) = out.iter().find(cold).cloned() {
                out.extend(std::iter::repeat_n(a, 40));
            }
        },
        "overloaded warming endpoint",
    );
}
