//! The decision module alone, in virtual time: what its looks over all servers take, idle and under a proxy's share of the load.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use balancer::{
    Action, Balancer, Class, ClassId, Costs, Discovery, Endpoint, EndpointId, EndpointState, Event,
    Idempotency, Limits, Outcome, RequestId, Settings, UpdateScope, WeightMeaning,
};
use rustix::time::{ClockId, clock_gettime};

use super::servers::{OF_SERVICE, RATE};
use super::stop::Stop;
use super::{Point, Sweep, needs, target};

/// How long it is idle and busy, in ms of virtual time each; the first part of either is not counted.
const SPAN: f64 = 10_000.0;
/// That first part.
const WARM: f64 = 2000.0;
/// How long a server works on a request, in ms.
const WORK: f64 = 20.0;

/// How the servers are dealt to modules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Dealt {
    /// One module has all.
    One,
    /// Each has the 18 of a service.
    Services,
}

/// What came of a size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measured {
    /// Processor time a second of virtual time, in ms: idle, and busy.
    pub ms: [f64; 2],
    /// Timers of all modules a second, likewise.
    pub timers: [f64; 2],
    /// Servers that these timers' modules know, summed over the timers of a second: the servers looked at, if each timer looks at
    /// all.
    pub looked: [f64; 2],
    /// Requests a second while it was busy.
    pub requests: f64,
    /// Requests that were not sent at once to a server.
    pub unsent: u64,
}

fn settings() -> Settings {
    let class = Class {
        latency_objective: 300.0,
        deadline: 1000.0,
        objective_work_multiple: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    Settings {
        proxy_index: 0,
        proxy_count: 1,
        zone: None,
        classes: vec![class],
        tenants: Vec::new(),
        over_quota_weight_fraction: 1.0,
        weight_by_work: false,
        discovery: Discovery::Pushed,
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: false,
        gossip_enabled: false,
        max_retry_after: Some(2000.0),
        costs: Costs::default(),
        limits: Limits {
            initial_capacity_fraction: 0.2,
            warm_up: 10_000.0,
            overload_multiple: 1.0,
            overload_window: f64::MAX,
            max_attempts: 3,
        },
    }
}

/// This thread's time on a processor.
fn spent() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

/// What comes next in virtual time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Next {
    Timer(u64),
    Request,
    /// The attempt of a request that a server has worked on.
    Served(u64, u32),
}

/// Modules with their servers, and what is to come.
struct Played {
    modules: Vec<(Balancer, usize)>,
    /// At which time in ns, in which order, for which module.
    queue: BinaryHeap<Reverse<(u64, u64, usize, Next)>>,
    order: u64,
    requests: u64,
    attempts: BTreeMap<u64, u32>,
    unsent: u64,
    timers: u64,
    looked: u64,
}

impl Played {
    fn put(&mut self, at: f64, module: usize, next: Next) {
        self.order += 1;
        self.queue
            .push(Reverse(((at * 1e6) as u64, self.order, module, next)));
    }

    fn carry_out(&mut self, now: f64, module: usize, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Timer { token, at } => self.put(at.max(now), module, Next::Timer(token)),
                Action::Forward { request, .. } => {
                    let attempts = self.attempts.entry(request.0).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    self.put(now + WORK, module, Next::Served(request.0, attempt));
                }
                Action::Reject { .. } | Action::Fail(_) => self.unsent += 1,
                _ => {}
            }
        }
    }

    /// Plays until then.
    fn until(&mut self, end: f64) {
        let mut actions = Vec::new();
        while let Some(Reverse((at, ..))) = self.queue.peek().copied() {
            if at as f64 / 1e6 > end {
                return;
            }
            let Some(Reverse((at, _, module, next))) = self.queue.pop() else {
                return;
            };
            let now = at as f64 / 1e6;
            let (balancer, servers) = &mut self.modules[module];
            let event = match next {
                Next::Timer(token) => {
                    self.timers += 1;
                    self.looked += *servers as u64;
                    Event::Timer(token)
                }
                Next::Request => {
                    self.requests += 1;
                    Event::Request {
                        id: RequestId(self.requests),
                        class: ClassId(0),
                        tenant: None,
                        key: None,
                        timeout: 1000.0,
                        expected_work: None,
                        body_complete: true,
                    }
                }
                Next::Served(id, attempt) => {
                    self.attempts.remove(&id);
                    Event::AttemptEnded {
                        request: RequestId(id),
                        attempt,
                        latency: WORK,
                        outcome: Outcome::Served,
                        request_finished: true,
                    }
                }
            };
            balancer.handle(now, event, &mut actions);
            self.carry_out(now, module, &mut actions);
        }
    }
}

/// Plays modules with so many servers together, idle and then with 144 requests a second dealt to them in turn.
pub fn play(dealt: Dealt, servers: usize, seed: u64) -> Measured {
    let of = if dealt == Dealt::One {
        servers
    } else {
        OF_SERVICE
    };
    let mut played = Played {
        modules: Vec::new(),
        queue: BinaryHeap::new(),
        order: 0,
        requests: 0,
        attempts: BTreeMap::new(),
        unsent: 0,
        timers: 0,
        looked: 0,
    };
    let mut actions = Vec::new();
    for (n, first) in (0..servers).step_by(of.max(1)).enumerate() {
        let mut module = Balancer::new(settings(), seed + n as u64);
        let entries: Vec<Endpoint> = (first..servers.min(first + of))
            .map(|id| Endpoint {
                id: EndpointId(id as u64),
                zone: None,
                machine_type: None,
                cell: None,
                state: EndpointState::Up,
                weight: 16.0,
                started_at: None,
            })
            .collect();
        let many = entries.len();
        module.handle(
            0.0,
            Event::EndpointUpdate {
                scope: UpdateScope::Full,
                endpoints: entries,
            },
            &mut actions,
        );
        played.modules.push((module, many));
        played.carry_out(0.0, n, &mut actions);
    }
    let mut measured = Measured::default();
    let mut began = 0.0;
    for busy in [0, 1] {
        if busy == 1 {
            let modules = played.modules.len();
            for n in 0..(RATE * SPAN / 1000.0) as usize {
                played.put(began + n as f64 * 1000.0 / RATE, n % modules, Next::Request);
            }
        }
        played.until(began + WARM);
        let (before, timers, looked, requests) =
            (spent(), played.timers, played.looked, played.requests);
        played.until(began + SPAN);
        let seconds = (SPAN - WARM) / 1000.0;
        measured.ms[busy] = 1000.0 * (spent() - before).as_secs_f64() / seconds;
        measured.timers[busy] = (played.timers - timers) as f64 / seconds;
        measured.looked[busy] = (played.looked - looked) as f64 / seconds;
        measured.requests = (played.requests - requests) as f64 / seconds;
        began += SPAN;
    }
    measured.unsent = played.unsent;
    measured
}

/// Plays the sweep.
pub fn sweep(dealt: Dealt, sizes: &[usize], command: String, stop: &Stop) -> Sweep {
    let name = match dealt {
        Dealt::One => "the decision module alone, one with all servers",
        Dealt::Services => "the decision module alone, one for each 18 servers",
    };
    let mut sweep = Sweep {
        name: name.into(),
        command,
        ..Sweep::default()
    };
    for &servers in sizes {
        if stop.is_set() {
            sweep.partial = true;
            break;
        }
        let load = needs::load();
        let m = play(dealt, servers, 1);
        let modules = if dealt == Dealt::One {
            1
        } else {
            servers.div_ceil(OF_SERVICE)
        };
        let sizes = [("servers", servers), ("modules", modules)];
        let figures = [
            ("load average", load),
            ("idle, % of a core", m.ms[0] / 10.0),
            ("idle, timers a second", m.timers[0]),
            ("idle, servers looked at a second", m.looked[0]),
            ("144 a second, % of a core", m.ms[1] / 10.0),
            ("144 a second, timers a second", m.timers[1]),
            (
                "144 a second, us of processor a request",
                1000.0 * m.ms[1] / m.requests.max(1.0),
            ),
            (
                "144 a second, us a request without the idle part",
                1000.0 * (m.ms[1] - m.ms[0]) / m.requests.max(1.0),
            ),
            ("144 a second, not served", m.unsent as f64),
        ];
        sweep.points.push(Point {
            sizes: sizes.map(|(n, v)| (n.to_owned(), v as f64)).into(),
            figures: figures.map(|(n, v)| (n.to_owned(), v)).into(),
            void: None,
        });
    }
    for figure in [
        "idle, % of a core",
        "idle, timers a second",
        "144 a second, % of a core",
        "144 a second, us of processor a request",
    ] {
        sweep.line(figure, "servers", target::SERVERS);
    }
    sweep
}
