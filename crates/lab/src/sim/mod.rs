//! Simulation in virtual time. The decision module is called directly, and the same seed gives identical results.
//!
//! The driver emulates what the proxy engine does around each module: admission checks, final timeouts, connections and
//! attempt timeouts. Events are processed in order of time and, within one µs, in scheduling order.

pub mod decider;
mod proxy;

use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::{Duration, Instant};

use balancer::{
    Action, Balancer, ClassId, Event, Key, Millis, Outcome, RequestId, TenantId, UpdateScope,
};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use rustc_hash::FxHashMap;

use crate::ledger::{
    Attempt, AttemptEnd, ClientAttempt, ClientAttemptId, ColdOverload, Ledger, ProcessExit,
    ProxyId, ResponseKind, ServerId, ServerNotification,
};
use crate::load::{self, ClientAttemptOutcome, ClientRequest};
use crate::random::{Purpose, stream};
use crate::scenario::{BreakPoint, Effect, Scenario};
use crate::settings;
use crate::world::server::{Admission, Job};
use crate::world::{Connect, ListEntry, ListState, ServerOutcome, World, WorldEvent, micros};
use decider::{Decider, DefectiveBalancer, InjectedDefect};
use proxy::{ActiveRequest, CachedList, Proxy, request_of, server_of};

/// A connection that is not established within this span has failed.
const CONNECT_TIMEOUT: Millis = 250.0;
/// The proxy sends a final response at least this long before its client gives up.
const FINAL_TIMEOUT_MARGIN: Millis = 4.0;
/// An idle connection is reused within this fraction of the server's idle timeout.
const IDLE_REUSE_FRACTION: f64 = 0.7;

/// Result of a run.
pub struct SimResult {
    /// Record of the run.
    pub ledger: Ledger,
    /// All client requests.
    pub requests: Vec<ClientRequest>,
    /// For each client request, the time at which it was served, if it was, and the number of client attempts.
    pub served: Vec<(Option<Millis>, u32)>,
    /// Counts of the run.
    pub counts: Counts,
    /// Wall-clock time spent in the decision modules. It is measured and does not depend on the seed alone.
    pub module_time: Duration,
    /// Wall-clock time of the whole run, measured as well.
    pub wall_time: Duration,
}

/// Counts of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Events passed to the modules.
    pub events: u64,
    /// Connections opened to servers.
    pub connections: u64,
    /// Maximum number of connections open to one server at once, including idle ones.
    pub max_server_connections: u32,
}

struct Entry {
    at: u64,
    order: u64,
    event: SimEvent,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

/// Events of the simulation.
enum SimEvent {
    /// A client sends an attempt of a request.
    SendClientAttempt(usize, u32),
    /// A client attempt arrives at its proxy.
    ArriveAtProxy(ClientAttemptId),
    /// A response arrives at its client.
    DeliverResponse(ClientAttemptId, ClientAttemptOutcome),
    /// A client's timeout expires.
    ClientTimeout(ClientAttemptId),
    /// A proxy detects that a client has disconnected.
    ClientDisconnect(ClientAttemptId),
    /// A timer of a decision module.
    ModuleTimer(ProxyId, u32, u64),
    /// A proxy's final timeout for a request.
    FinalTimeout(ProxyId, u32, ClientAttemptId),
    /// A connection request arrives at a server.
    ArriveConnect(u64),
    /// The result of a connection request arrives at the proxy.
    ConnectResult(u64, Connect),
    /// A request arrives at a server.
    ArriveAtServer(u64),
    /// The outcome of an attempt arrives at the proxy.
    DeliverOutcome(u64, Outcome, bool),
    /// A proxy detects that an attempt's connection broke; its server may still be processing the attempt.
    ConnectionBroken(u64),
    /// An attempt times out.
    AttemptTimeout(u64),
    /// A server detects that an attempt's connection is closed.
    ConnectionClosed(ServerId, u64),
    /// A server list update arrives at a proxy.
    ListUpdate(ProxyId, ListEntry),
    /// An event of the world is due, at the given time in µs.
    World(u64),
}

/// An attempt from its dispatch until its outcome arrives.
struct InFlightAttempt {
    id: ClientAttemptId,
    attempt: u32,
    /// Index of the attempt in the ledger, once its first byte is written.
    ledger_index: Option<usize>,
    proxy: ProxyId,
    generation: u32,
    server: ServerId,
    sent: Millis,
    new_connection: bool,
    finished: bool,
}

/// Simulation in virtual time.
pub struct Sim {
    scenario: Arc<Scenario>,
    seed: u64,
    defect: Option<InjectedDefect>,
    world: World,
    now: Millis,
    queue: BinaryHeap<Reverse<Entry>>,
    order: u64,
    world_due: u64,
    proxies: Vec<Option<Proxy>>,
    cached_lists: Vec<CachedList>,
    /// Time until which the front load balancer still sends to a proxy that is down.
    front_stops_at: Vec<Option<Millis>>,
    generations: Vec<u32>,
    requests: Vec<ClientRequest>,
    served: Vec<(Option<Millis>, u32)>,
    /// Whether the client of each client attempt still waits.
    client_waiting: Vec<bool>,
    ledger: Ledger,
    attempts_in_flight: FxHashMap<u64, InFlightAttempt>,
    next_attempt_id: u64,
    server_connections: FxHashMap<ServerId, u32>,
    network_rng: ChaCha8Rng,
    front_rng: ChaCha8Rng,
    counts: Counts,
    module_time: Duration,
}

impl Sim {
    /// Creates a run of a scenario under a seed, optionally with a defect in the decision modules.
    pub fn new(scenario: Arc<Scenario>, seed: u64, defect: Option<InjectedDefect>) -> Self {
        let requests = load::draw_requests(&scenario, seed);
        let n = scenario.proxies.count;
        Sim {
            world: World::new(scenario.clone(), seed),
            seed,
            defect,
            now: 0.0,
            queue: BinaryHeap::new(),
            order: 0,
            world_due: u64::MAX,
            proxies: (0..n).map(|_| None).collect(),
            cached_lists: (0..n).map(|_| CachedList::default()).collect(),
            front_stops_at: vec![None; n],
            generations: vec![0; n],
            served: vec![(None, 0); requests.len()],
            requests,
            client_waiting: Vec::new(),
            ledger: Ledger::default(),
            attempts_in_flight: FxHashMap::default(),
            next_attempt_id: 0,
            server_connections: FxHashMap::default(),
            network_rng: stream(seed, Purpose::Network),
            front_rng: stream(seed, Purpose::Clients),
            counts: Counts::default(),
            module_time: Duration::ZERO,
            scenario,
        }
    }

    /// Runs until no response to the last client request can arrive any more.
    pub fn run(mut self) -> SimResult {
        let began = Instant::now();
        let listed = self.world.listed();
        for proxy in 0..self.proxies.len() {
            self.cached_lists[proxy].apply(&listed);
            self.start(proxy);
        }
        for request in 0..self.requests.len() {
            self.schedule(
                self.requests[request].at,
                SimEvent::SendClientAttempt(request, 1),
            );
        }
        let longest = self
            .scenario
            .classes
            .iter()
            .map(|c| c.deadline.0)
            .fold(0.0, f64::max);
        let end = self.scenario.length.0 + longest + self.scenario.rules.answer_slack.0 + 100.0;
        self.schedule_world();
        while let Some(Reverse(entry)) = self.queue.pop() {
            let at = entry.at as f64 / 1000.0;
            if at > end {
                break;
            }
            self.now = at;
            self.handle_event(entry.event);
            self.schedule_world();
        }
        self.now = end;
        self.ledger.ended_at = end;
        SimResult {
            ledger: self.ledger,
            requests: self.requests,
            served: self.served,
            counts: self.counts,
            module_time: self.module_time,
            wall_time: began.elapsed(),
        }
    }

    fn schedule(&mut self, at: Millis, event: SimEvent) {
        self.order += 1;
        self.queue.push(Reverse(Entry {
            at: micros(at),
            order: self.order,
            event,
        }));
    }

    fn after(&mut self, span: Millis, event: SimEvent) {
        self.schedule(self.now + span, event);
    }

    /// Schedules the next event of the world.
    fn schedule_world(&mut self) {
        let next = self
            .world
            .next()
            .map_or(u64::MAX, |at| micros(at.max(self.now)));
        if next < self.world_due {
            self.world_due = next;
            self.order += 1;
            self.queue.push(Reverse(Entry {
                at: next,
                order: self.order,
                event: SimEvent::World(next),
            }));
        }
    }

    fn jitter(&mut self, span: Millis) -> Millis {
        span * (1.0
            + self.scenario.network.jitter.0 * (2.0 * self.network_rng.random::<f64>() - 1.0))
    }

    /// Draws the one-way delay between a client and its proxy.
    fn client_delay(&mut self) -> Millis {
        self.jitter(self.scenario.network.client.0)
    }

    /// Draws the one-way delay between a proxy and a server.
    fn server_delay(&mut self, proxy: ProxyId, server: ServerId) -> Millis {
        let same = self.world.proxy_zone(proxy) == self.world.servers()[server].zone;
        self.jitter(if same {
            self.scenario.network.same.0
        } else {
            self.scenario.network.cross.0
        })
    }

    fn handle_event(&mut self, event: SimEvent) {
        match event {
            SimEvent::SendClientAttempt(request, number) => {
                self.send_client_attempt(request, number)
            }
            SimEvent::ArriveAtProxy(id) => self.accept_request(id),
            SimEvent::DeliverResponse(id, end) => self.end_client_attempt(id, end),
            SimEvent::ClientTimeout(id) => {
                if self.client_waiting[id] {
                    self.ledger.client_attempts[id].disconnected_at = Some(self.now);
                    let delay = self.client_delay();
                    self.after(delay, SimEvent::ClientDisconnect(id));
                    self.end_client_attempt(id, ClientAttemptOutcome::GaveUp);
                }
            }
            SimEvent::ClientDisconnect(id) => {
                let proxy = self.ledger.client_attempts[id].proxy;
                if self.proxies[proxy]
                    .as_mut()
                    .is_some_and(|p| p.claim_response(id))
                {
                    self.dispatch(proxy, Event::ClientDisconnected(request_of(id)));
                }
            }
            SimEvent::ModuleTimer(proxy, generation, token) => {
                if self.generations[proxy] == generation && self.proxies[proxy].is_some() {
                    self.dispatch(proxy, Event::Timer(token));
                }
            }
            SimEvent::FinalTimeout(proxy, generation, id) => {
                let lost = self.defect == Some(InjectedDefect::LosesRequests);
                if self.generations[proxy] == generation
                    && !lost
                    && self.respond(proxy, id, ResponseKind::Failed)
                {
                    self.dispatch(proxy, Event::ClientDisconnected(request_of(id)));
                }
            }
            SimEvent::ArriveConnect(attempt_id) => self.arrive_connect(attempt_id),
            SimEvent::ConnectResult(attempt_id, connect) => {
                self.connect_result(attempt_id, connect)
            }
            SimEvent::ArriveAtServer(attempt_id) => self.arrive_at_server(attempt_id),
            SimEvent::DeliverOutcome(attempt_id, outcome, keep) => {
                self.deliver_outcome(attempt_id, outcome, keep)
            }
            SimEvent::ConnectionBroken(attempt_id) => self.connection_broken(attempt_id),
            SimEvent::AttemptTimeout(attempt_id) => self.time_out_attempt(attempt_id),
            SimEvent::ConnectionClosed(server, attempt) => {
                self.world.cancel(self.now, server, attempt);
                self.disconnect(server);
            }
            SimEvent::ListUpdate(proxy, entry) => self.list_update(proxy, entry),
            // An earlier event has been scheduled since, so this one is obsolete.
            SimEvent::World(due) if self.world_due != due => {}
            SimEvent::World(_) => {
                self.world_due = u64::MAX;
                for event in self.world.advance(self.now) {
                    self.handle_world_event(event);
                }
            }
        }
    }

    // ---- clients ----

    fn pick_proxy(&mut self, zone: usize) -> ProxyId {
        let (now, stops_at) = (self.now, &self.front_stops_at);
        let alive = |p: usize| stops_at[p].is_none_or(|from| now < from);
        load::pick_proxy(
            &mut self.front_rng,
            stops_at.len(),
            self.scenario.fleet.zones.len(),
            zone,
            alive,
        )
    }

    fn send_client_attempt(&mut self, request: usize, number: u32) {
        let (class, zone) = (self.requests[request].class, self.requests[request].zone);
        let proxy = self.pick_proxy(zone);
        let client_timeout =
            load::attempt_timeout(&self.scenario, &self.requests[request], self.now);
        let id = self.ledger.client_attempts.len();
        self.ledger.client_attempts.push(ClientAttempt {
            request,
            number,
            class,
            at_most_once: self.scenario.classes[class].effect == Effect::Unsafe,
            proxy,
            intended: self.now,
            sent: self.now,
            timeout_at: self.now + client_timeout,
            accepted_at: None,
            responses: Vec::new(),
            disconnected_at: None,
            attempts: Vec::<Attempt>::new(),
        });
        self.client_waiting.push(true);
        self.served[request].1 = number;
        let delay = self.client_delay();
        self.after(delay, SimEvent::ArriveAtProxy(id));
        self.after(client_timeout, SimEvent::ClientTimeout(id));
    }

    fn end_client_attempt(&mut self, id: ClientAttemptId, end: ClientAttemptOutcome) {
        if !std::mem::take(&mut self.client_waiting[id]) {
            return;
        }
        let (request, number) = (
            self.ledger.client_attempts[id].request,
            self.ledger.client_attempts[id].number,
        );
        if end == ClientAttemptOutcome::Served {
            self.served[request].0 = self.served[request].0.or(Some(self.now));
        }
        if let Some(wait) = load::retry_delay(
            &self.scenario,
            &self.requests[request],
            number,
            self.now,
            end,
        ) {
            self.after(wait, SimEvent::SendClientAttempt(request, number + 1));
        }
    }

    // ---- proxies ----

    fn start(&mut self, proxy: ProxyId) {
        self.generations[proxy] += 1;
        let generation = self.generations[proxy];
        let mut seeds = stream(self.seed, Purpose::Modules);
        seeds.set_word_pos(u128::from(proxy as u64) * 4096 + u128::from(generation) * 2);
        let (settings, seed) = (
            settings::for_proxy(&self.scenario, proxy),
            seeds.random::<u64>(),
        );
        let decider: Box<dyn Decider> = match self.defect {
            Some(defect) => Box::new(DefectiveBalancer::new(settings, seed, defect)),
            None => Box::new(Balancer::new(settings, seed)),
        };
        self.proxies[proxy] = Some(Proxy::new(decider, generation));
        self.front_stops_at[proxy] = None;
        // A starting proxy gets the cached list first and the current list once its watch is established.
        let entries = self.cached_lists[proxy].entries();
        self.announce(proxy, UpdateScope::Cached, &entries);
        let listed = self.world.listed();
        self.cached_lists[proxy] = CachedList::default();
        self.cached_lists[proxy].apply(&listed);
        self.announce(proxy, UpdateScope::Full, &listed);
    }

    fn announce(&mut self, proxy: ProxyId, scope: UpdateScope, entries: &[ListEntry]) {
        let Some(p) = self.proxies[proxy].as_mut() else {
            return;
        };
        for entry in entries {
            let (up, started_at) = (
                entry.state == ListState::Up,
                self.world.servers()[entry.server].server.started_at(),
            );
            if scope != UpdateScope::Cached {
                self.ledger.notifications.push(ServerNotification {
                    proxy,
                    server: entry.server,
                    at: self.now,
                    up,
                    started_at,
                });
            }
        }
        let began = Instant::now();
        let actions = p.list_update(self.now, &self.world, scope, entries);
        self.module_time += began.elapsed();
        self.counts.events += 1;
        self.perform(proxy, actions);
    }

    fn list_update(&mut self, proxy: ProxyId, entry: ListEntry) {
        self.cached_lists[proxy].apply(std::slice::from_ref(&entry));
        self.announce(proxy, UpdateScope::Delta, &[entry]);
    }

    fn dispatch(&mut self, proxy: ProxyId, event: Event) {
        let Some(p) = self.proxies[proxy].as_mut() else {
            return;
        };
        let began = Instant::now();
        let actions = p.handle(self.now, event);
        self.module_time += began.elapsed();
        self.counts.events += 1;
        self.perform(proxy, actions);
    }

    fn perform(&mut self, proxy: ProxyId, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Forward {
                    request,
                    endpoint: endpoint_id,
                    timeout,
                    ..
                } => {
                    self.send(proxy, request, server_of(endpoint_id), timeout);
                }
                Action::Reject {
                    request,
                    retry_after,
                } => {
                    self.respond(
                        proxy,
                        request.0 as ClientAttemptId,
                        ResponseKind::Refused { retry_after },
                    );
                }
                Action::Fail(request) => {
                    self.respond(proxy, request.0 as ClientAttemptId, ResponseKind::Failed);
                }
                Action::Timer { token, at } => {
                    let generation = self.generations[proxy];
                    self.schedule(
                        at.max(self.now),
                        SimEvent::ModuleTimer(proxy, generation, token),
                    );
                }
                // List updates are pushed, and gossip between proxies is not simulated.
                Action::Broadcast(_)
                | Action::Subscribe
                | Action::FetchEndpoints
                | Action::StreamResponse { .. } => {}
            }
        }
    }

    fn accept_request(&mut self, id: ClientAttemptId) {
        let t = &self.ledger.client_attempts[id];
        let (proxy, due, sent, request) = (t.proxy, t.timeout_at, t.sent, t.request);
        let delay = self.client_delay();
        let Some(p) = self.proxies[proxy].as_mut().filter(|p| !p.ending) else {
            return self.after(
                delay,
                SimEvent::DeliverResponse(id, ClientAttemptOutcome::Unreachable),
            );
        };
        let client_timeout = due - sent;
        let deadline = self.now + client_timeout;
        p.active.insert(
            id,
            ActiveRequest {
                unanswered: true,
                deadline,
                attempts: 0,
                in_flight: 0,
            },
        );
        self.ledger.client_attempts[id].accepted_at = Some(self.now);
        let generation = self.generations[proxy];
        self.schedule(
            deadline - FINAL_TIMEOUT_MARGIN,
            SimEvent::FinalTimeout(proxy, generation, id),
        );
        let a = &self.requests[request];
        let (class, tenant) = (ClassId(a.class), a.tenant.map(TenantId));
        let (id, key) = (request_of(id), Some(Key(a.key)));
        let budget = (client_timeout - FINAL_TIMEOUT_MARGIN).max(0.0);
        self.dispatch(
            proxy,
            Event::Request {
                id,
                class,
                tenant,
                key,
                timeout: budget,
                expected_work: None,
                body_complete: true,
            },
        );
    }

    /// Sends a request's final response, unless it has one already.
    fn respond(&mut self, proxy: ProxyId, id: ClientAttemptId, kind: ResponseKind) -> bool {
        let first = self.proxies[proxy]
            .as_mut()
            .is_some_and(|p| p.claim_response(id));
        if first {
            self.ledger.client_attempts[id]
                .responses
                .push((self.now, kind));
            let delay = self.client_delay();
            let end = match kind {
                ResponseKind::Served { .. } => ClientAttemptOutcome::Served,
                ResponseKind::Refused { retry_after } => {
                    ClientAttemptOutcome::Rejected(retry_after)
                }
                ResponseKind::Failed | ResponseKind::Broken => ClientAttemptOutcome::Failed,
            };
            self.after(delay, SimEvent::DeliverResponse(id, end));
        }
        first
    }

    // ---- attempts ----

    fn send(
        &mut self,
        proxy: ProxyId,
        request: RequestId,
        server: ServerId,
        timeout: Option<Millis>,
    ) {
        let (id, now) = (request.0 as ClientAttemptId, self.now);
        let Some(p) = self.proxies[proxy].as_mut() else {
            return;
        };
        // A defective module may name an unknown request or server.
        let (Some(active), true) = (p.active.get_mut(&id), server < self.world.servers().len())
        else {
            return;
        };
        let attempt = active.attempts;
        active.attempts += 1;
        active.in_flight += 1;
        let (unanswered, deadline) = (active.unanswered, active.deadline);
        let attempt_id = self.next_attempt_id;
        self.next_attempt_id += 1;
        let until = timeout.map_or(deadline, |t| deadline.min(now + t));
        let open = p.is_open(server) || self.defect == Some(InjectedDefect::IgnoresDrains);
        let (reuse, old) = p.reuse(
            server,
            now - IDLE_REUSE_FRACTION * self.scenario.fleet.idle.0,
        );
        let generation = p.generation;
        (0..old).for_each(|_| self.disconnect(server));
        let record = InFlightAttempt {
            id,
            attempt,
            ledger_index: None,
            proxy,
            generation,
            server,
            sent: now,
            new_connection: !reuse,
            finished: false,
        };
        self.attempts_in_flight.insert(attempt_id, record);
        if !unanswered || !open {
            return self.after(
                0.0,
                SimEvent::DeliverOutcome(attempt_id, Outcome::NotSent, false),
            );
        }
        self.schedule(until, SimEvent::AttemptTimeout(attempt_id));
        if reuse {
            self.write(attempt_id);
        } else {
            let delay = self.server_delay(proxy, server);
            self.after(delay, SimEvent::ArriveConnect(attempt_id));
        }
    }

    fn arrive_connect(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts_in_flight.get(&attempt_id) else {
            return;
        };
        let (proxy, server, sent) = (f.proxy, f.server, f.sent);
        let connect = self.world.connect(self.now, proxy, server);
        if connect == Connect::Up {
            self.counts.connections += 1;
            let open = self.server_connections.entry(server).or_default();
            *open += 1;
            self.counts.max_server_connections = self.counts.max_server_connections.max(*open);
        }
        let delay = self.server_delay(proxy, server);
        match connect {
            Connect::Silent => self.schedule(
                sent + CONNECT_TIMEOUT,
                SimEvent::ConnectResult(attempt_id, connect),
            ),
            _ => self.after(delay, SimEvent::ConnectResult(attempt_id, connect)),
        }
    }

    fn disconnect(&mut self, server: ServerId) {
        self.world.disconnect(server);
        if let Some(open) = self.server_connections.get_mut(&server) {
            *open = open.saturating_sub(1);
        }
    }

    fn connect_result(&mut self, attempt_id: u64, connect: Connect) {
        let Some(f) = self.attempts_in_flight.get(&attempt_id) else {
            return;
        };
        let server = f.server;
        if f.finished {
            if connect == Connect::Up {
                self.disconnect(server);
            }
            self.attempts_in_flight.remove(&attempt_id);
            return;
        }
        if connect != Connect::Up {
            return self.deliver_outcome(attempt_id, Outcome::ConnectFailed, false);
        }
        self.write(attempt_id);
    }

    /// Writes a request, unless its server accepts no more requests or the final response has been sent.
    fn write(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts_in_flight.get_mut(&attempt_id) else {
            return;
        };
        let (id, proxy, server) = (f.id, f.proxy, f.server);
        let open = self.defect == Some(InjectedDefect::IgnoresDrains);
        let generation = f.generation;
        let Some(p) = self.proxies[proxy]
            .as_ref()
            .filter(|p| p.generation == generation)
        else {
            self.attempts_in_flight.remove(&attempt_id); // its process exited while the connection was being established
            return self.disconnect(server);
        };
        if !(open || p.is_open(server)) || !p.active.get(&id).is_some_and(|l| l.unanswered) {
            self.deliver_outcome(attempt_id, Outcome::NotSent, false);
            return self.disconnect(server);
        }
        f.ledger_index = Some(self.ledger.record_send(id, server, self.now));
        let delay = self.server_delay(proxy, server);
        self.after(delay, SimEvent::ArriveAtServer(attempt_id));
    }

    fn arrive_at_server(&mut self, attempt_id: u64) {
        let Some(f) = self.attempts_in_flight.get(&attempt_id) else {
            return;
        };
        let (proxy, server, id) = (f.proxy, f.server, f.id);
        if self.world.partitioned(
            self.now,
            self.world.proxy_zone(proxy),
            self.world.servers()[server].zone,
        ) {
            return;
        }
        let request = &self.requests[self.ledger.client_attempts[id].request];
        let handshake = if f.new_connection {
            self.scenario.fleet.handshake.0
        } else {
            0.0
        };
        let job = Job {
            attempt: attempt_id,
            work: request.work + handshake,
            key: request.key,
        };
        let up = matches!(
            self.world.servers()[server].server.state(),
            crate::world::server::ServerState::Up | crate::world::server::ServerState::Draining
        );
        let delay = self.server_delay(proxy, server);
        let (admission, server_outcome) = self.world.submit(self.now, server, job);
        match (admission, server_outcome) {
            (_, Some(_)) => {
                self.record_completion(attempt_id);
                self.after(
                    delay,
                    SimEvent::DeliverOutcome(attempt_id, Outcome::Error, true),
                );
            }
            (Admission::Accepted, None) => {}
            (Admission::Rejected, None) if up => self.after(
                delay,
                SimEvent::DeliverOutcome(attempt_id, Outcome::Overloaded, true),
            ),
            // The server's process has exited, so the connection is reset.
            (Admission::Rejected | Admission::Crashed, None) => {
                self.after(
                    delay,
                    SimEvent::DeliverOutcome(attempt_id, Outcome::Reset, false),
                );
            }
        }
    }

    fn record_completion(&mut self, attempt_id: u64) {
        if let Some(f) = self.attempts_in_flight.get(&attempt_id)
            && let Some(ledger_index) = f.ledger_index
        {
            self.ledger.record_completion(f.id, ledger_index, self.now);
        }
    }

    /// Handles the arrival of an attempt's outcome at its proxy; `keep` tells whether the connection may be reused.
    fn deliver_outcome(&mut self, attempt_id: u64, outcome: Outcome, keep: bool) {
        let Some(f) = self.attempts_in_flight.remove(&attempt_id) else {
            return;
        };
        let same = self.generations[f.proxy] == f.generation;
        let (Some(p), false) = (self.proxies[f.proxy].as_mut().filter(|_| same), f.finished) else {
            return; // cancelled before; its connection is closed already
        };
        if keep && p.is_open(f.server) {
            p.idle.entry(f.server).or_default().push(self.now);
        } else if f.ledger_index.is_some() {
            self.disconnect(f.server);
        }
        self.report_attempt_end(&f, outcome);
    }

    fn report_attempt_end(&mut self, f: &InFlightAttempt, outcome: Outcome) {
        if let Some(ledger_index) = f.ledger_index {
            let end = match outcome {
                Outcome::Served => AttemptEnd::Answered,
                o if o.may_have_run() => AttemptEnd::MayHaveRun,
                _ => AttemptEnd::NeverRan,
            };
            self.ledger.record_end(f.id, ledger_index, self.now, end);
        }
        let Some(active) = self.proxies[f.proxy]
            .as_mut()
            .and_then(|p| p.active.get_mut(&f.id))
        else {
            return;
        };
        active.in_flight -= 1;
        let was_unanswered = active.unanswered;
        if outcome == Outcome::Served && was_unanswered {
            let genuine = f.ledger_index.is_some_and(|n| {
                self.ledger.client_attempts[f.id].attempts[n]
                    .completed_at
                    .is_some()
            });
            self.respond(f.proxy, f.id, ResponseKind::Served { genuine });
        } else if let Some(p) = self.proxies[f.proxy].as_mut() {
            p.remove_if_done(f.id);
        }
        let closed = !was_unanswered || outcome == Outcome::Served;
        let (request, attempt, latency) = (request_of(f.id), f.attempt, self.now - f.sent);
        self.dispatch(
            f.proxy,
            Event::AttemptEnded {
                request,
                attempt,
                latency,
                outcome,
                request_finished: closed,
            },
        );
    }

    /// Cancels an attempt that timed out: its connection is closed, which the server detects after the network delay.
    fn time_out_attempt(&mut self, attempt_id: u64) {
        let Some(f) = self
            .attempts_in_flight
            .get_mut(&attempt_id)
            .filter(|f| !f.finished)
        else {
            return;
        };
        if self.generations[f.proxy] != f.generation {
            return;
        }
        f.finished = true;
        let (proxy, server, written) = (f.proxy, f.server, f.ledger_index.is_some());
        let end = InFlightAttempt {
            finished: true,
            ..*f
        };
        let delay = self.server_delay(proxy, server);
        if written {
            self.after(delay, SimEvent::ConnectionClosed(server, attempt_id));
        }
        self.report_attempt_end(
            &end,
            if written {
                Outcome::TimedOut
            } else {
                Outcome::ConnectFailed
            },
        );
    }

    /// Handles a broken connection of an attempt. The server may still be processing it.
    fn connection_broken(&mut self, attempt_id: u64) {
        let Some(f) = self
            .attempts_in_flight
            .get_mut(&attempt_id)
            .filter(|f| !f.finished)
        else {
            return;
        };
        if self.generations[f.proxy] != f.generation {
            return;
        }
        f.finished = true;
        let (server, end) = (
            f.server,
            InFlightAttempt {
                finished: true,
                ..*f
            },
        );
        self.disconnect(server);
        self.report_attempt_end(&end, Outcome::Reset);
    }

    // ---- world ----

    fn handle_world_event(&mut self, event: WorldEvent) {
        match event {
            WorldEvent::Completed { attempt, outcome } => self.attempt_completed(attempt, outcome),
            WorldEvent::Lost { attempt } => {
                let Some(f) = self.attempts_in_flight.get(&attempt) else {
                    return;
                };
                let delay = self.server_delay(f.proxy, f.server);
                self.after(
                    delay,
                    SimEvent::DeliverOutcome(attempt, Outcome::Reset, false),
                );
            }
            WorldEvent::ConnectionBroken { attempt, .. } => {
                let Some(f) = self.attempts_in_flight.get(&attempt) else {
                    return;
                };
                let delay = self.server_delay(f.proxy, f.server);
                self.after(delay, SimEvent::ConnectionBroken(attempt));
            }
            WorldEvent::ListChanged(entry) => {
                for proxy in 0..self.proxies.len() {
                    let at = self.world.delivery_time(self.now, proxy);
                    self.schedule(at, SimEvent::ListUpdate(proxy, entry.clone()));
                }
            }
            WorldEvent::ColdOverload { server, warmth } => {
                self.ledger.cold_overloads.push(ColdOverload {
                    server,
                    at: self.now,
                    warmth,
                });
            }
            // Nothing to do: every new connection is checked by the world.
            WorldEvent::RefusingConnections { .. } | WorldEvent::PartitionChanged => {}
            WorldEvent::KillProxy(proxy) => {
                self.end_process(proxy, Some(self.scenario.proxies.notice.0))
            }
            WorldEvent::TerminateProxy(proxy) => {
                self.front_stops_at[proxy] = Some(self.now);
                if let Some(p) = self.proxies[proxy].as_mut() {
                    p.ending = true;
                }
            }
            WorldEvent::StartProxy(proxy) => {
                if self.proxies[proxy].is_some() {
                    self.end_process(proxy, None);
                }
                self.start(proxy);
            }
        }
    }

    fn attempt_completed(&mut self, attempt_id: u64, server_outcome: ServerOutcome) {
        self.record_completion(attempt_id);
        let Some(f) = self.attempts_in_flight.get(&attempt_id) else {
            return;
        };
        let (proxy, server) = (f.proxy, f.server);
        if self.world.partitioned(
            self.now,
            self.world.proxy_zone(proxy),
            self.world.servers()[server].zone,
        ) {
            return; // the response is lost
        }
        let delay = self.server_delay(proxy, server);
        let (outcome, keep) = match server_outcome {
            ServerOutcome::Silent => return,
            ServerOutcome::Served => (Outcome::Served, true),
            ServerOutcome::Error => (Outcome::Error, true),
            ServerOutcome::Reset(BreakPoint::During | BreakPoint::Before | BreakPoint::Inside) => {
                (Outcome::Reset, false)
            }
            ServerOutcome::Reset(BreakPoint::After) => (Outcome::Served, false),
        };
        self.after(delay, SimEvent::DeliverOutcome(attempt_id, outcome, keep));
    }

    /// Ends a proxy process with all its requests; the front load balancer detects it after `notice`.
    fn end_process(&mut self, proxy: ProxyId, notice: Option<Millis>) {
        let Some(p) = self.proxies[proxy].take() else {
            return;
        };
        self.ledger.process_exits.push(ProcessExit {
            proxy,
            at: self.now,
            expected: true,
        });
        self.front_stops_at[proxy] = notice.map(|n| self.now + n);
        // Sorted, because hash map order would make runs with the same seed differ.
        let mut unanswered: Vec<ClientAttemptId> = p
            .active
            .iter()
            .filter(|(_, l)| l.unanswered)
            .map(|(id, _)| *id)
            .collect();
        unanswered.sort_unstable();
        for id in unanswered {
            let delay = self.client_delay();
            self.after(
                delay,
                SimEvent::DeliverResponse(id, ClientAttemptOutcome::Failed),
            );
        }
        let mut in_flight: Vec<(u64, ServerId)> = self
            .attempts_in_flight
            .iter()
            .filter(|(_, f)| {
                f.proxy == proxy
                    && f.generation == p.generation
                    && !f.finished
                    && f.ledger_index.is_some()
            })
            .map(|(attempt_id, f)| (*attempt_id, f.server))
            .collect();
        in_flight.sort_unstable();
        for (attempt_id, server) in in_flight {
            let delay = self.server_delay(proxy, server);
            self.after(delay, SimEvent::ConnectionClosed(server, attempt_id));
        }
        let mut idle: Vec<(ServerId, usize)> = p.idle.iter().map(|(s, i)| (*s, i.len())).collect();
        idle.sort_unstable();
        for (server, count) in idle {
            (0..count).for_each(|_| self.disconnect(server));
        }
    }
}
