//! Shared state of a run on real sockets: the world, the ledger and one monotonic clock for both.
//!
//! Everything runs on one thread, so no locks are needed; no borrow is held across an await.

use std::cell::{Cell, OnceCell, RefCell};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use balancer::Millis;
use rustc_hash::FxHashMap;
use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep_until};

use crate::ledger::{AttemptEnd, ClientAttemptId, Ledger, ProxyId, ServerId};
use crate::load::ClientRequest;
use crate::scenario::Scenario;
use crate::world::{ServerOutcome, World, WorldEvent};

/// What happens to an attempt's connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// The server behaves as given.
    Server(ServerOutcome),
    /// The server process is gone, so the connection is reset.
    Lost,
}

/// Events of the world that other parts of the run handle.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
    /// The server list has changed; a server's listeners may have to be opened or closed.
    ListChanged(crate::world::ListEntry),
    /// A server starts or stops refusing connections.
    RefusingConnections(ServerId, bool),
    /// A network partition begins or ends.
    PartitionChanged,
    /// A proxy is killed.
    KillProxy(ProxyId),
    /// A proxy is told to exit.
    TerminateProxy(ProxyId),
    /// A proxy is started again.
    StartProxy(ProxyId),
}

/// An attempt that a server processes.
struct ActiveAttempt {
    id: ClientAttemptId,
    ledger_index: usize,
    /// Taken once the connection has its outcome; the server may continue processing after that.
    outcome: Option<oneshot::Sender<ConnectionOutcome>>,
}

/// State shared by all parts of a run.
pub struct RunState {
    /// Scenario.
    pub scenario: Arc<Scenario>,
    /// Model of the fleet.
    pub world: RefCell<World>,
    /// Record of the run.
    pub ledger: RefCell<Ledger>,
    /// All client requests.
    pub requests: Vec<ClientRequest>,
    /// For each client request, the time at which it was served, if it was, and the number of client attempts.
    pub served: RefCell<Vec<(Option<Millis>, u32)>>,
    /// Client attempts by request id.
    pub ids: RefCell<FxHashMap<String, ClientAttemptId>>,
    start: Cell<Instant>,
    /// Unix time of the start in ms, computed once, because a server's reported start time must not change.
    unix_start: OnceCell<Millis>,
    active: RefCell<FxHashMap<u64, ActiveAttempt>>,
    next: Cell<u64>,
    changed: Notify,
}

impl RunState {
    /// Creates a run whose time starts at `start`.
    pub fn new(
        scenario: Arc<Scenario>,
        seed: u64,
        requests: Vec<ClientRequest>,
        start: Instant,
    ) -> Rc<Self> {
        Rc::new(RunState {
            world: RefCell::new(World::new(scenario.clone(), seed)),
            ledger: RefCell::default(),
            served: RefCell::new(vec![(None, 0); requests.len()]),
            requests,
            ids: RefCell::default(),
            start: Cell::new(start),
            unix_start: OnceCell::new(),
            active: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            scenario,
        })
    }

    /// Sets the start of the run's time.
    pub fn begin(&self, start: Instant) {
        self.start.set(start);
        self.changed.notify_one();
    }

    /// Returns the time since the start in ms, or zero before it.
    pub fn now(&self) -> Millis {
        Instant::now()
            .saturating_duration_since(self.start.get())
            .as_secs_f64()
            * 1000.0
    }

    /// Converts a time of the run to Unix time in ms; the run must have started.
    pub fn unix(&self, at: Millis) -> Millis {
        let start = self.unix_start.get_or_init(|| {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            unix.as_secs_f64() * 1000.0 - self.now()
        });
        start + at
    }

    /// Converts a time of the run to an instant.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start.get() + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    /// Registers a completely received request; the receiver gets the outcome for its connection.
    pub fn register_attempt(
        &self,
        id: ClientAttemptId,
        ledger_index: usize,
    ) -> (u64, oneshot::Receiver<ConnectionOutcome>) {
        let (outcome, receiver) = oneshot::channel();
        let attempt = self.next.replace(self.next.get() + 1);
        self.active.borrow_mut().insert(
            attempt,
            ActiveAttempt {
                id,
                ledger_index,
                outcome: Some(outcome),
            },
        );
        (attempt, receiver)
    }

    /// Settles an attempt's outcome; `ran` tells whether the server completed it.
    pub fn settle(&self, attempt: u64, outcome: ConnectionOutcome, ran: bool) {
        let Some(active) = self.active.borrow_mut().remove(&attempt) else {
            return;
        };
        if ran {
            self.ledger
                .borrow_mut()
                .record_completion(active.id, active.ledger_index, self.now());
        }
        if let Some(sender) = active.outcome {
            let _ = sender.send(outcome); // the connection may have closed already
        }
    }

    /// Breaks an attempt's connection; `dropped` tells whether the server drops the attempt.
    fn break_connection(&self, attempt: u64, dropped: bool) {
        let mut active = self.active.borrow_mut();
        let outcome = active.get_mut(&attempt).and_then(|h| h.outcome.take());
        if dropped {
            active.remove(&attempt);
        }
        if let Some(outcome) = outcome {
            let _ = outcome.send(ConnectionOutcome::Lost);
        }
    }

    /// Cancels an attempt whose connection was closed by its proxy, as far as the server supports it.
    pub fn cancel(&self, server: ServerId, attempt: u64) {
        let dropped = self.world.borrow_mut().cancel(self.now(), server, attempt);
        if dropped {
            self.active.borrow_mut().remove(&attempt);
        }
        self.changed.notify_one();
    }

    /// Records the outcome of an attempt.
    pub fn end(&self, id: ClientAttemptId, ledger_index: usize, end: AttemptEnd) {
        self.ledger
            .borrow_mut()
            .record_end(id, ledger_index, self.now(), end);
    }

    /// Signals that the world has changed, so its next event may be due earlier.
    pub fn world_changed(&self) {
        self.changed.notify_one();
    }

    /// Runs the world's events; `event` handles those of other parts of the run.
    pub async fn drive_world(self: Rc<Self>, mut event: impl FnMut(RunEvent)) {
        loop {
            let next = self.world.borrow().next().map(|at| self.instant(at));
            match next {
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
            let happened = self.world.borrow_mut().advance(self.now());
            for h in happened {
                match h {
                    WorldEvent::Completed { attempt, outcome } => {
                        self.settle(attempt, ConnectionOutcome::Server(outcome), true)
                    }
                    WorldEvent::Lost { attempt } => {
                        self.settle(attempt, ConnectionOutcome::Lost, false)
                    }
                    WorldEvent::ConnectionBroken { attempt, dropped } => {
                        self.break_connection(attempt, dropped)
                    }
                    WorldEvent::ColdOverload { server, warmth } => {
                        let at = self.now();
                        tracing::warn!(at_ms = at, server, warmth, "cold server was pushed over");
                        self.ledger
                            .borrow_mut()
                            .cold_overloads
                            .push(crate::ledger::ColdOverload { server, at, warmth });
                    }
                    WorldEvent::ListChanged(entry) => {
                        tracing::debug!(at_ms = self.now(), server = entry.server, state = ?entry.state, "list changes");
                        event(RunEvent::ListChanged(entry));
                    }
                    WorldEvent::RefusingConnections { server, on } => {
                        event(RunEvent::RefusingConnections(server, on))
                    }
                    WorldEvent::PartitionChanged => event(RunEvent::PartitionChanged),
                    WorldEvent::KillProxy(proxy) => event(RunEvent::KillProxy(proxy)),
                    WorldEvent::TerminateProxy(proxy) => event(RunEvent::TerminateProxy(proxy)),
                    WorldEvent::StartProxy(proxy) => event(RunEvent::StartProxy(proxy)),
                }
            }
        }
    }
}
