//! Emulated fleet on loopback addresses, used by `canvascart serve --demo`. The servers follow the model of [`World`]: they
//! have service times, queue requests and slow down under concurrency.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

use balancer::Millis;
use rand_chacha::ChaCha8Rng;
use rand_distr::{Distribution as _, LogNormal};
use rustc_hash::FxHashMap;
use tokio::net::TcpListener;
use tokio::sync::{Notify, oneshot};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{Instant, sleep_until};

use crate::ledger::ServerId;
use crate::random::{Purpose, stream};
use crate::real::http::{Connection, StartLine};
use crate::scenario::Scenario;
use crate::world::server::{Admission, Job};
use crate::world::{ServerOutcome, World, WorldEvent};

/// Server of the emulated fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct DemoServer {
    /// Name of the server.
    pub name: String,
    /// Listening address.
    pub address: SocketAddr,
    /// Zone of the server.
    pub zone: String,
    /// Machine type.
    pub kind: String,
    /// Number of cores.
    pub cores: f64,
}

/// Starts a scenario's fleet, without the scenario's faults, on a thread that runs until the process ends.
///
/// # Errors
/// A port could not be bound or the thread could not be started.
pub fn start(scenario: &Scenario, seed: u64) -> io::Result<Vec<DemoServer>> {
    let scenario = Scenario {
        faults: Vec::new(),
        ..scenario.clone()
    };
    let (result_sender, result) = channel();
    thread::Builder::new()
        .name("demo-fleet".into())
        .spawn(move || {
            let run = async {
                let fleet = Fleet::new(Arc::new(scenario), seed)?;
                let _ = result_sender.send(fleet.open().await); // fails only if the caller no longer waits
                fleet.run().await;
                Ok::<_, io::Error>(())
            };
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            LocalSet::new().block_on(&runtime, run)
        })?;
    result
        .recv()
        .map_err(|_| io::Error::other("the emulated fleet did not start"))?
}

struct Fleet {
    world: RefCell<World>,
    start: Instant,
    /// Senders for the outcomes of the attempts in progress. A sender is dropped if the server process crashes.
    pending: RefCell<FxHashMap<u64, oneshot::Sender<ServerOutcome>>>,
    next_attempt: Cell<u64>,
    /// Wakes [`Fleet::run`] after a submission or cancellation, since the next event may have changed.
    events_changed: Notify,
    /// Distribution of the work of a request, by class.
    work_distributions: Vec<LogNormal<f64>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Fleet {
    fn new(scenario: Arc<Scenario>, seed: u64) -> io::Result<Rc<Self>> {
        let work_distributions = scenario
            .classes
            .iter()
            .map(|c| LogNormal::from_mean_cv(c.work.0, c.spread));
        Ok(Rc::new(Fleet {
            work_distributions: work_distributions
                .collect::<Result<_, _>>()
                .map_err(io::Error::other)?,
            world: RefCell::new(World::new(scenario, seed)),
            start: Instant::now(),
            pending: RefCell::default(),
            next_attempt: Cell::default(),
            events_changed: Notify::new(),
            rng: RefCell::new(stream(seed, Purpose::Load)),
        }))
    }

    /// Time since the start of the fleet.
    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// Binds a listener for each server and accepts connections on it.
    async fn open(self: &Rc<Self>) -> io::Result<Vec<DemoServer>> {
        let mut servers = Vec::new();
        let count = self.world.borrow().servers().len();
        for server in 0..count {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            let world = self.world.borrow();
            let (fleet, fleet_server) = (&world.scenario().fleet, &world.servers()[server]);
            let kind = &fleet.kinds[fleet_server.kind];
            servers.push(DemoServer {
                name: world.name(server),
                address: listener.local_addr()?,
                zone: fleet.zones[fleet_server.zone].clone(),
                kind: kind.name.clone(),
                cores: f64::from(kind.cores),
            });
            spawn_local(self.clone().accept(listener, server));
        }
        Ok(servers)
    }

    /// Advances the world at its events and reports the outcomes of attempts; never returns.
    async fn run(&self) {
        loop {
            let next = self.world.borrow().next();
            match next.map(|at| self.start + Duration::from_secs_f64(at.max(0.0) / 1000.0)) {
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.events_changed.notified() => {}
                },
                None => self.events_changed.notified().await,
            }
            let events = self.world.borrow_mut().advance(self.now());
            for event in events {
                match event {
                    WorldEvent::Completed { attempt, outcome } => {
                        if let Some(sender) = self.pending.borrow_mut().remove(&attempt) {
                            let _ = sender.send(outcome); // fails if the client has disconnected
                        }
                    }
                    WorldEvent::Lost { attempt } | WorldEvent::ConnectionBroken { attempt, .. } => {
                        self.pending.borrow_mut().remove(&attempt);
                    }
                    _ => {}
                }
            }
        }
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, server: ServerId) {
        loop {
            match listener.accept().await {
                Ok((stream, _)) => {
                    spawn_local(
                        self.clone()
                            .serve_connection(Connection::new(stream), server),
                    );
                }
                // Out of file descriptors: retry after other connections have been closed.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, mut connection: Connection, server: ServerId) {
        while let Ok(request) = connection.read(true).await {
            let StartLine::Request(_, target) = &request.start else {
                return;
            };
            let response = self.respond(&mut connection, server, target).await;
            let Some((status, body)) = response else {
                return;
            };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}\n",
                body.len() + 1
            );
            if connection.write(head.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Processes a request at a server and returns the status and body; `None` if the connection is to be closed without a
    /// response.
    async fn respond(
        &self,
        connection: &mut Connection,
        server: ServerId,
        target: &str,
    ) -> Option<(&'static str, String)> {
        let name = self.world.borrow().name(server);
        let path = target.split('?').next().unwrap_or_default();
        let class = path.split('/').nth(1).unwrap_or_default();
        let class_index = self
            .world
            .borrow()
            .scenario()
            .classes
            .iter()
            .position(|c| c.name == class);
        let Some(class_index) = class_index else {
            return Some((
                "404 Not Found",
                serde_json::json!({ "server": name }).to_string(),
            ));
        };
        let work = self.work_distributions[class_index].sample(&mut *self.rng.borrow_mut());
        let attempt = self.next_attempt.replace(self.next_attempt.get() + 1);
        let (outcome_sender, outcome) = oneshot::channel();
        self.pending.borrow_mut().insert(attempt, outcome_sender);
        let submitted_at = self.now();
        let key = path.bytes().fold(0u64, |key, b| {
            key.wrapping_mul(31).wrapping_add(u64::from(b))
        });
        let (admission, _) =
            self.world
                .borrow_mut()
                .submit(submitted_at, server, Job { attempt, work, key });
        self.events_changed.notify_one();
        if admission != Admission::Accepted {
            self.pending.borrow_mut().remove(&attempt);
            return Some((
                "503 Busy",
                serde_json::json!({ "server": name, "busy": true }).to_string(),
            ));
        }
        let outcome = tokio::select! {
            biased;
            outcome = outcome => outcome.ok()?,
            () = connection.closed() => {
                self.world.borrow_mut().cancel(self.now(), server, attempt);
                self.pending.borrow_mut().remove(&attempt);
                self.events_changed.notify_one();
                return None;
            }
        };
        let duration_ms = (self.now() - submitted_at).round();
        (outcome == ServerOutcome::Served).then(|| {
            let body = serde_json::json!({ "server": name, "class": class, "path": path, "took-ms": duration_ms });
            ("200 OK", body.to_string())
        })
    }
}
