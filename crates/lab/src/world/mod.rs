//! Model of the proxies' environment: servers, the server list, and faults, in order of time.
//!
//! It has no clock and no sockets. A driver passes it what reaches a server, asks for the time of its next event
//! ([`World::next`]) and takes the events that are due ([`World::advance`]). Runs in virtual time and on real sockets
//! use the same model.

mod plan;
pub mod server;

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;

use balancer::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution, Normal};

use crate::ledger::{ProxyId, ServerId};
use crate::random::{Purpose, sample_indices, stream};
use crate::scenario::{BreakPoint, FaultKind, Scenario};
use plan::Step;
use server::{Admission, Job, Machine, Server, ServerState};

/// Converts a time to whole µs, rounded up so that an event is never handled before its time. Times made from whole µs
/// convert back exactly.
pub fn micros(at: Millis) -> u64 {
    (at * 1000.0 - 1e-4).ceil() as u64
}

/// State of a server in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListState {
    /// Accepts requests.
    Up,
    /// Completes its active requests.
    Draining,
    /// Removed from the list.
    Removed,
}

/// An entry of the server list.
#[derive(Clone, Debug, PartialEq)]
pub struct ListEntry {
    /// Server.
    pub server: ServerId,
    /// State of the server.
    pub state: ListState,
}

/// Behaviour of a server for a request that it accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServerOutcome {
    /// Responds successfully.
    Served,
    /// Responds with an error.
    Error,
    /// Its connection breaks.
    Reset(BreakPoint),
    /// Never responds and keeps the connection open.
    Silent,
}

/// Result of a connection attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Connect {
    /// Established.
    Up,
    /// Refused.
    Refused,
    /// No response.
    Silent,
}

/// Events that occur in the world without an action of a proxy.
#[derive(Clone, Debug, PartialEq)]
pub enum WorldEvent {
    /// A server has completed an attempt.
    Completed {
        /// The attempt.
        attempt: u64,
        /// Behaviour of the server.
        outcome: ServerOutcome,
    },
    /// A server process exited or crashed while it held the attempt.
    Lost {
        /// The attempt.
        attempt: u64,
    },
    /// An attempt's connection breaks while the server processes it.
    ConnectionBroken {
        /// The attempt.
        attempt: u64,
        /// Whether the server drops the attempt; if not, [`WorldEvent::Completed`] follows.
        dropped: bool,
    },
    /// The server list has changed.
    ListChanged(ListEntry),
    /// A cold server was overloaded and crashed.
    ColdOverload {
        /// The server.
        server: ServerId,
        /// Fraction of its full capacity that the server had.
        warmth: f64,
    },
    /// A server starts or stops refusing new connections.
    RefusingConnections {
        /// The server.
        server: ServerId,
        /// Whether it refuses connections.
        on: bool,
    },
    /// A network partition begins or ends; [`World::partitioned`] tells the state.
    PartitionChanged,
    /// A proxy is killed.
    KillProxy(ProxyId),
    /// A proxy is told to exit.
    TerminateProxy(ProxyId),
    /// A proxy is started again.
    StartProxy(ProxyId),
}

/// A server of the fleet.
pub struct FleetServer {
    /// Model of the server process.
    pub server: Server,
    /// Index of the zone in the fleet.
    pub zone: usize,
    /// Index of the machine kind in the fleet.
    pub kind: usize,
    /// State in the server list.
    pub listed: ListState,
    /// Counts changes of the server; events due for an earlier value are obsolete.
    epoch: u64,
}

/// Servers, server list and faults.
pub struct World {
    scenario: Arc<Scenario>,
    servers: Vec<FleetServer>,
    due: BinaryHeap<Reverse<(u64, ServerId, u64)>>,
    plan: BinaryHeap<Reverse<(u64, usize, Step)>>,
    steps: usize,
    /// Servers affected by each fault while it lasts.
    targets: Vec<Vec<usize>>,
    /// Number of initial servers; only these are replaced by a deploy.
    initial_servers: usize,
    fleet_rng: ChaCha8Rng,
    fault_rng: ChaCha8Rng,
    list_rng: ChaCha8Rng,
    /// Latest delivery time by proxy, which keeps updates in order.
    latest_delivery: Vec<Millis>,
    pending: Vec<WorldEvent>,
}

impl World {
    /// Creates the initial world: every server is warm and listed.
    pub fn new(scenario: Arc<Scenario>, seed: u64) -> Self {
        let mut world = World {
            servers: Vec::new(),
            due: BinaryHeap::new(),
            plan: BinaryHeap::new(),
            steps: 0,
            targets: vec![Vec::new(); scenario.faults.len()],
            initial_servers: scenario.fleet.servers,
            fleet_rng: stream(seed, Purpose::Fleet),
            fault_rng: stream(seed, Purpose::Faults),
            list_rng: stream(seed, Purpose::List),
            latest_delivery: vec![0.0; scenario.proxies.count],
            pending: Vec::new(),
            scenario,
        };
        for n in 0..world.scenario.fleet.servers {
            let zone = n % world.scenario.fleet.zones.len();
            world.add(zone, world.kind_of(n), None, 0.0);
        }
        for (at, step) in plan::steps(&world.scenario) {
            world.schedule(at, step);
        }
        world
    }

    /// Returns the machine kind of the n-th server. Kinds are spread evenly according to their shares.
    fn kind_of(&self, n: usize) -> usize {
        let kinds = &self.scenario.fleet.kinds;
        let place = (n as f64 * 0.618_033_988_749_894_9).fract();
        let mut sum = 0.0;
        kinds
            .iter()
            .position(|k| {
                sum += k.share.0;
                place < sum
            })
            .unwrap_or(kinds.len() - 1)
    }

    fn machine(&mut self, kind: usize) -> Machine {
        let f = &self.scenario.fleet;
        let k = &f.kinds[kind];
        let cores = f64::from(k.cores);
        let spread = Normal::new(1.0, k.speed_spread.0).expect("the range has been checked");
        let speed = k.speed * spread.sample(&mut self.fleet_rng).clamp(0.3, 3.0);
        Machine {
            cores,
            speed,
            slots: ((k.slots_per_core * cores).round() as usize).max(1),
            queue: (k.queue_per_core * cores).round() as usize,
            connections: f.connections_per_core * k.cores,
            cold: (f.cold_from.0, f.cold.0),
            crowding: (f.crowded_from, f.crowding.0),
            keys: (
                f.key_gain.0,
                f.keys_per_core * k.cores as usize,
                f.key_span.0,
            ),
            overload: (
                self.scenario.rules.fall_multiple,
                self.scenario.rules.fall.0,
            ),
        }
    }

    fn add(
        &mut self,
        zone: usize,
        kind: usize,
        started_at: Option<Millis>,
        now: Millis,
    ) -> ServerId {
        let server = Server::new(self.machine(kind), started_at, now);
        self.servers.push(FleetServer {
            server,
            zone,
            kind,
            listed: ListState::Up,
            epoch: 0,
        });
        self.servers.len() - 1
    }

    fn schedule(&mut self, at: Millis, step: Step) {
        self.plan.push(Reverse((micros(at), self.steps, step)));
        self.steps += 1;
    }

    /// Returns all servers, including removed ones.
    pub fn servers(&self) -> &[FleetServer] {
        &self.servers
    }

    /// Returns the scenario.
    pub fn scenario(&self) -> &Scenario {
        &self.scenario
    }

    /// Returns the name of a server, which is the same at every proxy.
    pub fn name(&self, server: ServerId) -> String {
        format!("s-{server:06}")
    }

    /// Returns the zone of a proxy.
    pub fn proxy_zone(&self, proxy: ProxyId) -> usize {
        proxy % self.scenario.fleet.zones.len()
    }

    /// Returns whether two zones are partitioned from each other.
    pub fn partitioned(&self, now: Millis, a: usize, b: usize) -> bool {
        let zones = &self.scenario.fleet.zones;
        let is_zone =
            |name: &Option<String>, zone: usize| name.as_deref() == Some(zones[zone].as_str());
        self.active(now, FaultKind::Partition).any(|(_, f)| {
            is_zone(&f.from, a) && is_zone(&f.to, b) || is_zone(&f.from, b) && is_zone(&f.to, a)
        })
    }

    fn active(
        &self,
        now: Millis,
        kind: FaultKind,
    ) -> impl Iterator<Item = (usize, &crate::scenario::Fault)> + use<'_> {
        let holds = move |f: &crate::scenario::Fault| f.kind == kind && f.is_active(now);
        self.scenario
            .faults
            .iter()
            .enumerate()
            .filter(move |(_, f)| holds(f))
    }

    /// Returns the time at which a list change made now reaches a proxy; updates are delivered in order.
    pub fn delivery_time(&mut self, now: Millis, proxy: ProxyId) -> Millis {
        let list = &self.scenario.list;
        let mut at = now + list.delay.0 + list.spread.0 * self.list_rng.random::<f64>();
        at = at.max(self.latest_delivery[proxy]);
        for kind in [FaultKind::ListSilent, FaultKind::ListStale] {
            for f in self.scenario.faults.iter().filter(|f| f.kind == kind) {
                if f.is_active(at) {
                    at = f.at.0 + f.span.0;
                }
            }
        }
        self.latest_delivery[proxy] = at;
        at
    }

    /// Returns the time of the next event.
    pub fn next(&self) -> Option<Millis> {
        let due = self.due.peek().map(|Reverse((at, ..))| *at);
        let planned = self.plan.peek().map(|Reverse((at, ..))| *at);
        if !self.pending.is_empty() {
            return Some(0.0);
        }
        [due, planned]
            .into_iter()
            .flatten()
            .min()
            .map(|at| at as f64 / 1000.0)
    }

    /// Schedules the next completion of a server after a change of its state.
    fn reschedule(&mut self, id: ServerId) {
        let fleet_server = &mut self.servers[id];
        fleet_server.epoch += 1;
        if let Some(at) = fleet_server.server.next() {
            self.due.push(Reverse((micros(at), id, fleet_server.epoch)));
        }
    }

    /// Processes everything due up to `now` and returns the events in order of time.
    pub fn advance(&mut self, now: Millis) -> Vec<WorldEvent> {
        let until = micros(now);
        loop {
            let due = self
                .due
                .peek()
                .map(|Reverse((at, ..))| *at)
                .filter(|at| *at <= until);
            let planned = self
                .plan
                .peek()
                .map(|Reverse((at, ..))| *at)
                .filter(|at| *at <= until);
            match (due, planned) {
                (None, None) => return std::mem::take(&mut self.pending),
                (due, Some(at)) if due.is_none_or(|due| at <= due) => {
                    if let Some(Reverse((at, _, step))) = self.plan.pop() {
                        self.apply_step(at as f64 / 1000.0, step);
                    }
                }
                _ => {
                    let Some(Reverse((at, id, epoch))) = self.due.pop() else {
                        continue;
                    };
                    if self.servers[id].epoch == epoch {
                        self.complete_due(at as f64 / 1000.0, id);
                    }
                }
            }
        }
    }

    fn complete_due(&mut self, at: Millis, id: ServerId) {
        for job in self.servers[id].server.finished(at) {
            let outcome = self.completion_outcome(at);
            self.pending.push(WorldEvent::Completed {
                attempt: job.attempt,
                outcome,
            });
        }
        self.reschedule(id);
    }

    /// Draws the behaviour of a server for a completed request.
    fn completion_outcome(&mut self, at: Millis) -> ServerOutcome {
        let share = |f: &crate::scenario::Fault| f.share.map_or(0.0, |s| s.0);
        let lost = self
            .active(at, FaultKind::LostAnswers)
            .map(|(_, f)| share(f))
            .sum::<f64>();
        let resets: Vec<(f64, BreakPoint)> = self
            .active(at, FaultKind::Resets)
            .map(|(_, f)| (share(f), f.break_point.unwrap_or(BreakPoint::Before)))
            .filter(|(_, place)| *place != BreakPoint::During)
            .collect();
        // Draws only while a fault is active, so that runs with and without a fault are identical until it begins.
        if lost > 0.0 && self.fault_rng.random::<f64>() < lost {
            return ServerOutcome::Silent;
        }
        for (share, place) in resets {
            if self.fault_rng.random::<f64>() < share {
                return ServerOutcome::Reset(place);
            }
        }
        ServerOutcome::Served
    }

    /// Opens a connection from a proxy to a server.
    pub fn connect(&mut self, now: Millis, proxy: ProxyId, server: ServerId) -> Connect {
        if self.partitioned(now, self.proxy_zone(proxy), self.servers[server].zone) {
            return Connect::Silent;
        }
        let refuses = self
            .active(now, FaultKind::RefuseConnects)
            .any(|(i, _)| self.targets[i].contains(&server));
        let model = &mut self.servers[server].server;
        if refuses
            || matches!(model.state(), ServerState::Down | ServerState::Crashed)
            || !model.connect()
        {
            return Connect::Refused;
        }
        Connect::Up
    }

    /// Closes a connection to a server.
    pub fn disconnect(&mut self, server: ServerId) {
        self.servers[server].server.disconnect();
    }

    /// Submits a completely received request to a server. Injected errors are returned at once.
    pub fn submit(
        &mut self,
        now: Millis,
        server: ServerId,
        job: Job,
    ) -> (Admission, Option<ServerOutcome>) {
        let errors: f64 = self
            .active(now, FaultKind::Errors)
            .filter(|(i, _)| self.targets[*i].contains(&server))
            .map(|(_, f)| f.factor.unwrap_or(0.0))
            .sum();
        if errors > 0.0 && self.fault_rng.random::<f64>() < errors {
            return (Admission::Accepted, Some(ServerOutcome::Error));
        }
        let warmth = self.servers[server].server.warmth(now);
        let (attempt, work) = (job.attempt, job.work);
        let admission = self.servers[server].server.submit(now, job);
        if admission == Admission::Accepted {
            self.schedule_break(now, server, attempt, work);
        }
        if admission == Admission::Crashed {
            self.pending
                .push(WorldEvent::ColdOverload { server, warmth });
            self.lose_attempts(server);
        }
        self.reschedule(server);
        (admission, None)
    }

    /// Draws whether an attempt's connection breaks during processing, and schedules the break within the time that the
    /// work takes on an otherwise idle machine.
    fn schedule_break(&mut self, now: Millis, server: ServerId, attempt: u64, work: f64) {
        let during = |f: &crate::scenario::Fault| f.break_point == Some(BreakPoint::During);
        let resets = self
            .active(now, FaultKind::Resets)
            .filter(|(_, f)| during(f));
        let share: f64 = resets.map(|(_, f)| f.share.map_or(0.0, |s| s.0)).sum();
        if share > 0.0 && self.fault_rng.random::<f64>() < share {
            let idle_duration = work / self.servers[server].server.machine().speed;
            let at = now + idle_duration * self.fault_rng.random::<f64>();
            self.schedule(at, Step::BreakConnection(server, attempt));
        }
    }

    fn lose_attempts(&mut self, server: ServerId) {
        let attempts = self.servers[server].server.lose_all();
        self.pending.extend(
            attempts
                .into_iter()
                .map(|attempt| WorldEvent::Lost { attempt }),
        );
    }

    /// Cancels an attempt whose proxy closed the connection; returns whether the server dropped it.
    pub fn cancel(&mut self, now: Millis, server: ServerId, attempt: u64) -> bool {
        let cancels = self.scenario.fleet.cancels;
        let dropped = self.servers[server].server.cancel(now, attempt, cancels);
        self.reschedule(server);
        dropped
    }

    fn set_list_state(&mut self, server: ServerId, state: ListState) {
        self.servers[server].listed = state;
        self.pending
            .push(WorldEvent::ListChanged(ListEntry { server, state }));
    }

    /// Returns the servers that accept requests.
    fn servers_up(&self) -> Vec<ServerId> {
        (0..self.servers.len())
            .filter(|&s| self.servers[s].server.state() == ServerState::Up)
            .collect()
    }

    fn apply_step(&mut self, at: Millis, step: Step) {
        let scenario = self.scenario.clone();
        match step {
            Step::BeginFault(fault) => {
                let f = &scenario.faults[fault];
                let up = self.servers_up();
                let share = f.share.map_or(1.0, |s| s.0);
                let count = ((share * up.len() as f64).round() as usize).max(1);
                let indices = sample_indices(&mut self.fault_rng, up.len(), count);
                self.targets[fault] = indices.into_iter().map(|i| up[i]).collect();
                self.apply_fault(at, fault, true);
            }
            Step::EndFault(fault) => {
                self.apply_fault(at, fault, false);
                self.targets[fault].clear();
            }
            Step::ReplaceServers(fault, count) => self.replace_servers(at, fault, count),
            Step::RemoveServer(fault) => {
                let up = self.servers_up();
                if up.len() > 1 {
                    let server = up[sample_indices(&mut self.fault_rng, up.len(), 1)[0]];
                    self.drain_server(at, fault, server);
                }
            }
            Step::StopServer(server) => {
                let attempts = self.servers[server].server.stop(at);
                self.pending.extend(
                    attempts
                        .into_iter()
                        .map(|attempt| WorldEvent::Lost { attempt }),
                );
                self.set_list_state(server, ListState::Removed);
                self.reschedule(server);
            }
            Step::StopProxies(fault) => {
                let f = &scenario.faults[fault];
                let share = f.share.map_or(0.0, |s| s.0);
                let count = ((share * scenario.proxies.count as f64).round() as usize).max(1);
                for proxy in sample_indices(&mut self.fault_rng, scenario.proxies.count, count) {
                    self.pending.push(match f.kind {
                        FaultKind::ProxyKill => WorldEvent::KillProxy(proxy),
                        _ => WorldEvent::TerminateProxy(proxy),
                    });
                    self.schedule(at + f.span.0, Step::StartProxy(proxy));
                }
            }
            Step::StartProxy(proxy) => self.pending.push(WorldEvent::StartProxy(proxy)),
            // An attempt that completed in the meantime can't break any more.
            Step::BreakConnection(server, attempt)
                if self.servers[server].server.holds(attempt) =>
            {
                let dropped = self.cancel(at, server, attempt);
                self.pending
                    .push(WorldEvent::ConnectionBroken { attempt, dropped });
            }
            Step::BreakConnection(..) => {}
            Step::PartitionChange => self.pending.push(WorldEvent::PartitionChanged),
        }
    }

    /// Applies the begin or end of a fault to its target servers.
    fn apply_fault(&mut self, at: Millis, fault: usize, begins: bool) {
        let f = &self.scenario.faults[fault];
        let (kind, factor) = (f.kind, f.factor.unwrap_or(1.0));
        for server in self.targets[fault].clone() {
            match kind {
                FaultKind::Slow => self.servers[server]
                    .server
                    .set_slow(at, if begins { factor } else { 1.0 }),
                FaultKind::Hang => self.servers[server].server.set_hung(at, begins),
                FaultKind::RefuseConnects => {
                    self.pending
                        .push(WorldEvent::RefusingConnections { server, on: begins });
                    continue;
                }
                _ => continue,
            }
            self.reschedule(server);
        }
    }

    /// Replaces initial servers by cold ones with new names.
    fn replace_servers(&mut self, at: Millis, fault: usize, count: usize) {
        let old: Vec<ServerId> = self
            .servers_up()
            .into_iter()
            .filter(|&s| s < self.initial_servers)
            .collect();
        for place in sample_indices(&mut self.fault_rng, old.len(), count) {
            let server = old[place];
            let (zone, kind) = (self.servers[server].zone, self.servers[server].kind);
            let successor = self.add(zone, kind, Some(at), at);
            self.set_list_state(successor, ListState::Up);
            self.drain_server(at, fault, server);
        }
    }

    fn drain_server(&mut self, at: Millis, fault: usize, server: ServerId) {
        self.servers[server].server.drain();
        self.set_list_state(server, ListState::Draining);
        let drain = self.scenario.faults[fault].drain.map_or(0.0, |d| d.0);
        self.schedule(at + drain, Step::StopServer(server));
    }

    /// Returns the current server list.
    pub fn listed(&self) -> Vec<ListEntry> {
        let entries = self
            .servers
            .iter()
            .enumerate()
            .filter(|(_, l)| l.listed != ListState::Removed);
        entries
            .map(|(server, l)| ListEntry {
                server,
                state: l.listed,
            })
            .collect()
    }
}
