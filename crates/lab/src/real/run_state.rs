//! What the parts of a run on real sockets share: the world, the ledger and one monotonic clock for both.
//!
//! Everything runs on one thread, so that no lock orders what happened; a borrow is never held over a wait.

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

/// What an attempt's connection is to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionOutcome {
    /// As the server says.
    ServerOutcome(ServerOutcome),
    /// Its process is gone: the connection breaks.
    Lost,
}

/// What concerns single parts and not the run.
#[derive(Clone, Debug, PartialEq)]
pub enum RunEvent {
    /// The list has changed, and a server's listeners with it.
    ListChanged(crate::world::ListEntry),
    /// A server refuses connections from here on, or takes them again.
    RefusingConnections(ServerId, bool),
    /// Zones are partitioned, or no longer.
    PartitionChanged,
    /// A proxy is killed.
    KillProxy(ProxyId),
    /// A proxy is told to end.
    TerminateProxy(ProxyId),
    /// A proxy is started anew.
    StartProxy(ProxyId),
}

/// An attempt that a server holds.
struct Held {
    id: ClientAttemptId,
    note: usize,
    /// Taken once it has been told: the server may work on after that.
    outcome: Option<oneshot::Sender<ConnectionOutcome>>,
}

/// All that the parts share.
pub struct RunState {
    /// What is played.
    pub scenario: Arc<Scenario>,
    /// The fleet.
    pub world: RefCell<World>,
    /// What happened.
    pub ledger: RefCell<Ledger>,
    /// What is asked for.
    pub requests: Vec<ClientRequest>,
    /// When each ask was served, and how many tries it took.
    pub served: RefCell<Vec<(Option<Millis>, u32)>>,
    /// Which try an id belongs to.
    pub ids: RefCell<FxHashMap<String, ClientAttemptId>>,
    start: Cell<Instant>,
    /// Unix time of the start in ms, taken once: the same process must always be told with the same birth.
    unix_start: OnceCell<Millis>,
    held: RefCell<FxHashMap<u64, Held>>,
    next: Cell<u64>,
    changed: Notify,
}

impl RunState {
    /// A run whose time begins at `start`.
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
            held: RefCell::default(),
            next: Cell::new(0),
            changed: Notify::new(),
            scenario,
        })
    }

    /// Time begins at this instant.
    pub fn begin(&self, start: Instant) {
        self.start.set(start);
        self.changed.notify_one();
    }

    /// Time since the start, in ms; before it, zero.
    pub fn now(&self) -> Millis {
        Instant::now()
            .saturating_duration_since(self.start.get())
            .as_secs_f64()
            * 1000.0
    }

    /// Unix time in ms of a time of a run that has begun.
    pub fn unix(&self, at: Millis) -> Millis {
        let start = self.unix_start.get_or_init(|| {
            let unix = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default();
            unix.as_secs_f64() * 1000.0 - self.now()
        });
        start + at
    }

    /// The instant of a time.
    pub fn instant(&self, at: Millis) -> Instant {
        self.start.get() + Duration::from_secs_f64(at.clamp(0.0, 1e12) / 1000.0)
    }

    /// A request has reached a server whole; its outcome comes by the receiver.
    pub fn hold(
        &self,
        id: ClientAttemptId,
        note: usize,
    ) -> (u64, oneshot::Receiver<ConnectionOutcome>) {
        let (outcome, told) = oneshot::channel();
        let attempt = self.next.replace(self.next.get() + 1);
        self.held.borrow_mut().insert(
            attempt,
            Held {
                id,
                note,
                outcome: Some(outcome),
            },
        );
        (attempt, told)
    }

    /// An attempt's outcome is told; `ran` if its server has done it.
    pub fn tell(&self, attempt: u64, outcome: ConnectionOutcome, ran: bool) {
        let Some(held) = self.held.borrow_mut().remove(&attempt) else {
            return;
        };
        if ran {
            self.ledger.borrow_mut().ran(held.id, held.note, self.now());
        }
        if let Some(told) = held.outcome {
            let _ = told.send(outcome); // a connection that has ended meanwhile needs none
        }
    }

    /// An attempt's connection breaks; `spared` if its server does not go on with it.
    fn break_off(&self, attempt: u64, spared: bool) {
        let mut held = self.held.borrow_mut();
        let outcome = held.get_mut(&attempt).and_then(|h| h.outcome.take());
        if spared {
            held.remove(&attempt);
        }
        if let Some(outcome) = outcome {
            let _ = outcome.send(ConnectionOutcome::Lost);
        }
    }

    /// An attempt's connection was closed by its proxy; what the server need not do any more it does not do.
    pub fn cancel(&self, server: ServerId, attempt: u64) {
        let spared = self.world.borrow_mut().cancel(self.now(), server, attempt);
        if spared {
            self.held.borrow_mut().remove(&attempt);
        }
        self.changed.notify_one();
    }

    /// Notes how an attempt ended.
    pub fn end(&self, id: ClientAttemptId, note: usize, end: AttemptEnd) {
        self.ledger.borrow_mut().end(id, note, self.now(), end);
    }

    /// Something has been done to the world: what happens next may come sooner.
    pub fn touched(&self) {
        self.changed.notify_one();
    }

    /// Lets the world happen, for as long as it is polled; `event` gets what concerns other parts.
    pub async fn turn(self: Rc<Self>, mut event: impl FnMut(RunEvent)) {
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
                    WorldEvent::Completed { attempt, verdict } => {
                        self.tell(attempt, ConnectionOutcome::ServerOutcome(verdict), true)
                    }
                    WorldEvent::Lost { attempt } => {
                        self.tell(attempt, ConnectionOutcome::Lost, false)
                    }
                    WorldEvent::ConnectionBroken { attempt, spared } => {
                        self.break_off(attempt, spared)
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
