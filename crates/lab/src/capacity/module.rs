//! Measures the decision module alone, in virtual time: the cost of its timers, which scan all servers, when idle and under
//! one proxy's part of the load.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use balancer::{
    Action, Balancer, Class, ClassId, Costs, Discovery, Endpoint, EndpointId, EndpointState, Event,
    Idempotency, Limits, Outcome, RequestId, Settings, UpdateScope, WeightMeaning,
};
use rustix::time::{ClockId, clock_gettime};

use super::servers::{REQUESTS_PER_SECOND, SERVERS_PER_SERVICE};
use super::stop::Stop;
use super::{Point, Sweep, needs, target};

/// Duration of the idle and of the busy phase, in ms of virtual time; the warm-up of each is not counted.
const PHASE_MS: f64 = 10_000.0;
/// Warm-up at the start of each phase, in ms.
const WARM_UP_MS: f64 = 2000.0;
/// Service time of a request, in ms.
const SERVICE_TIME_MS: f64 = 20.0;

/// Distribution of the servers over decision modules.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Distribution {
    /// One module with all servers.
    One,
    /// One module for the 18 servers of each service.
    Services,
}

/// Measurement of one size.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Measured {
    /// CPU time per second of virtual time, in ms: idle, and busy.
    pub ms: [f64; 2],
    /// Timers of all modules per second: idle, and busy.
    pub timers: [f64; 2],
    /// Servers of the timers' modules, summed over the timers of a second: the number of scanned servers if each timer scans
    /// all.
    pub scanned_servers: [f64; 2],
    /// Requests per second in the busy phase.
    pub requests: f64,
    /// Requests that were rejected or failed.
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

/// Returns the CPU time of this thread.
fn thread_cpu_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(
        u64::try_from(time.tv_sec).unwrap_or(0),
        u32::try_from(time.tv_nsec).unwrap_or(0),
    )
}

/// Event in virtual time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum NextEvent {
    Timer(u64),
    Request,
    /// Completion of an attempt: request and attempt number.
    Served(u64, u32),
}

/// Simulation of the modules, with the queue of coming events.
struct Simulation {
    /// Modules, each with its number of servers.
    modules: Vec<(Balancer, usize)>,
    /// Events with their time in ns, their sequence number and the index of their module.
    queue: BinaryHeap<Reverse<(u64, u64, usize, NextEvent)>>,
    sequence: u64,
    requests: u64,
    attempts: BTreeMap<u64, u32>,
    unsent: u64,
    timers: u64,
    scanned_servers: u64,
}

impl Simulation {
    /// Adds an event of a module to the queue.
    fn schedule(&mut self, at: f64, module: usize, next: NextEvent) {
        self.sequence += 1;
        self.queue
            .push(Reverse(((at * 1e6) as u64, self.sequence, module, next)));
    }

    /// Performs the actions of a module: sets timers and schedules the completion of forwarded attempts.
    fn carry_out(&mut self, now: f64, module: usize, actions: &mut Vec<Action>) {
        for action in actions.drain(..) {
            match action {
                Action::Timer { token, at } => {
                    self.schedule(at.max(now), module, NextEvent::Timer(token))
                }
                Action::Forward { request, .. } => {
                    let attempts = self.attempts.entry(request.0).or_default();
                    let attempt = *attempts;
                    *attempts += 1;
                    self.schedule(
                        now + SERVICE_TIME_MS,
                        module,
                        NextEvent::Served(request.0, attempt),
                    );
                }
                Action::Reject { .. } | Action::Fail(_) => self.unsent += 1,
                _ => {}
            }
        }
    }

    /// Processes all events until `end`.
    fn run_until(&mut self, end: f64) {
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
                NextEvent::Timer(token) => {
                    self.timers += 1;
                    self.scanned_servers += *servers as u64;
                    Event::Timer(token)
                }
                NextEvent::Request => {
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
                NextEvent::Served(id, attempt) => {
                    self.attempts.remove(&id);
                    Event::AttemptEnded {
                        request: RequestId(id),
                        attempt,
                        latency: SERVICE_TIME_MS,
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

/// Simulates modules with `servers` servers in total, first idle and then with 144 requests per second that go to the modules
/// in turn.
pub fn simulate(distribution: Distribution, servers: usize, seed: u64) -> Measured {
    let servers_per_module = if distribution == Distribution::One {
        servers
    } else {
        SERVERS_PER_SERVICE
    };
    let mut simulation = Simulation {
        modules: Vec::new(),
        queue: BinaryHeap::new(),
        sequence: 0,
        requests: 0,
        attempts: BTreeMap::new(),
        unsent: 0,
        timers: 0,
        scanned_servers: 0,
    };
    let mut actions = Vec::new();
    for (n, first) in (0..servers).step_by(servers_per_module.max(1)).enumerate() {
        let mut module = Balancer::new(settings(), seed + n as u64);
        let entries: Vec<Endpoint> = (first..servers.min(first + servers_per_module))
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
        let count = entries.len();
        module.handle(
            0.0,
            Event::EndpointUpdate {
                scope: UpdateScope::Full,
                endpoints: entries,
            },
            &mut actions,
        );
        simulation.modules.push((module, count));
        simulation.carry_out(0.0, n, &mut actions);
    }
    let mut measured = Measured::default();
    let mut phase_start = 0.0;
    for busy in [0, 1] {
        if busy == 1 {
            let modules = simulation.modules.len();
            for n in 0..(REQUESTS_PER_SECOND * PHASE_MS / 1000.0) as usize {
                simulation.schedule(
                    phase_start + n as f64 * 1000.0 / REQUESTS_PER_SECOND,
                    n % modules,
                    NextEvent::Request,
                );
            }
        }
        simulation.run_until(phase_start + WARM_UP_MS);
        let (before, timers, scanned_servers, requests) = (
            thread_cpu_time(),
            simulation.timers,
            simulation.scanned_servers,
            simulation.requests,
        );
        simulation.run_until(phase_start + PHASE_MS);
        let seconds = (PHASE_MS - WARM_UP_MS) / 1000.0;
        measured.ms[busy] = 1000.0 * (thread_cpu_time() - before).as_secs_f64() / seconds;
        measured.timers[busy] = (simulation.timers - timers) as f64 / seconds;
        measured.scanned_servers[busy] =
            (simulation.scanned_servers - scanned_servers) as f64 / seconds;
        measured.requests = (simulation.requests - requests) as f64 / seconds;
        phase_start += PHASE_MS;
    }
    measured.unsent = simulation.unsent;
    measured
}

/// Runs the sweep over numbers of servers.
pub fn sweep(distribution: Distribution, sizes: &[usize], command: String, stop: &Stop) -> Sweep {
    let name = match distribution {
        Distribution::One => "the decision module alone, one with all servers",
        Distribution::Services => "the decision module alone, one for each 18 servers",
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
        let m = simulate(distribution, servers, 1);
        let modules = if distribution == Distribution::One {
            1
        } else {
            servers.div_ceil(SERVERS_PER_SERVICE)
        };
        let sizes = [("servers", servers), ("modules", modules)];
        let figures = [
            ("load average", load),
            ("idle, % of a core", m.ms[0] / 10.0),
            ("idle, timers a second", m.timers[0]),
            ("idle, servers looked at a second", m.scanned_servers[0]),
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
