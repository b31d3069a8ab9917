//! An emulated fleet behind addresses on loopback, for anybody who asks: loan servers of the world's model, which take their
//! time, wait in line and slow down in a crowd. What `canvascart serve --demo` serves from.

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

/// One server of the fleet.
#[derive(Clone, Debug, PartialEq)]
pub struct Member {
    /// Its name.
    pub name: String,
    /// Where it listens.
    pub address: SocketAddr,
    /// Its zone.
    pub zone: String,
    /// Its kind of machine.
    pub kind: String,
    /// Its cores.
    pub cores: f64,
}

/// Starts a scenario's fleet on a thread of its own, which ends with the process; its faults are left out.
///
/// # Errors
/// A port or the thread can't be had.
pub fn start(scenario: &Scenario, seed: u64) -> io::Result<Vec<Member>> {
    let scenario = Scenario {
        faults: Vec::new(),
        ..scenario.clone()
    };
    let (tell, told) = channel();
    thread::Builder::new()
        .name("demo-fleet".into())
        .spawn(move || {
            let run = async {
                let fleet = Fleet::new(Arc::new(scenario), seed)?;
                let _ = tell.send(fleet.open().await); // whoever started it is gone otherwise
                fleet.turn().await;
                Ok::<_, io::Error>(())
            };
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            LocalSet::new().block_on(&runtime, run)
        })?;
    told.recv()
        .map_err(|_| io::Error::other("the emulated fleet did not come up"))?
}

struct Fleet {
    world: RefCell<World>,
    start: Instant,
    /// Who waits for what becomes of an attempt; none where its process is gone.
    waiting: RefCell<FxHashMap<u64, oneshot::Sender<ServerOutcome>>>,
    next: Cell<u64>,
    changed: Notify,
    works: Vec<LogNormal<f64>>,
    rng: RefCell<ChaCha8Rng>,
}

impl Fleet {
    fn new(scenario: Arc<Scenario>, seed: u64) -> io::Result<Rc<Self>> {
        let works = scenario
            .classes
            .iter()
            .map(|c| LogNormal::from_mean_cv(c.work.0, c.spread));
        Ok(Rc::new(Fleet {
            works: works.collect::<Result<_, _>>().map_err(io::Error::other)?,
            world: RefCell::new(World::new(scenario, seed)),
            start: Instant::now(),
            waiting: RefCell::default(),
            next: Cell::default(),
            changed: Notify::new(),
            rng: RefCell::new(stream(seed, Purpose::Load)),
        }))
    }

    fn now(&self) -> Millis {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    async fn open(self: &Rc<Self>) -> io::Result<Vec<Member>> {
        let mut members = Vec::new();
        let count = self.world.borrow().servers().len();
        for server in 0..count {
            let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
            let world = self.world.borrow();
            let (fleet, fleet_server) = (&world.scenario().fleet, &world.servers()[server]);
            let kind = &fleet.kinds[fleet_server.kind];
            members.push(Member {
                name: world.name(server),
                address: listener.local_addr()?,
                zone: fleet.zones[fleet_server.zone].clone(),
                kind: kind.name.clone(),
                cores: f64::from(kind.cores),
            });
            spawn_local(self.clone().accept(listener, server));
        }
        Ok(members)
    }

    /// Lets the world happen, for as long as the process.
    async fn turn(&self) {
        loop {
            let next = self.world.borrow().next();
            match next.map(|at| self.start + Duration::from_secs_f64(at.max(0.0) / 1000.0)) {
                Some(at) => tokio::select! {
                    () = sleep_until(at) => {}
                    () = self.changed.notified() => {}
                },
                None => self.changed.notified().await,
            }
            let happened = self.world.borrow_mut().advance(self.now());
            for h in happened {
                match h {
                    WorldEvent::Completed {
                        attempt,
                        outcome: verdict,
                    } => {
                        if let Some(waits) = self.waiting.borrow_mut().remove(&attempt) {
                            let _ = waits.send(verdict); // it may have left
                        }
                    }
                    WorldEvent::Lost { attempt } | WorldEvent::ConnectionBroken { attempt, .. } => {
                        self.waiting.borrow_mut().remove(&attempt);
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
                    spawn_local(self.clone().connection(Connection::new(stream), server));
                }
                // Out of descriptors: others are closed in time.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn connection(self: Rc<Self>, mut connection: Connection, server: ServerId) {
        while let Ok(request) = connection.read(true).await {
            let StartLine::Request(_, target) = &request.start else {
                return;
            };
            let answer = self.answer(&mut connection, server, target).await;
            let Some((status, body)) = answer else { return };
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}\n",
                body.len() + 1
            );
            if connection.write(head.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// What a server says to a request; none where the connection breaks.
    async fn answer(
        &self,
        connection: &mut Connection,
        server: ServerId,
        target: &str,
    ) -> Option<(&'static str, String)> {
        let name = self.world.borrow().name(server);
        let path = target.split('?').next().unwrap_or_default();
        let class = path.split('/').nth(1).unwrap_or_default();
        let place = self
            .world
            .borrow()
            .scenario()
            .classes
            .iter()
            .position(|c| c.name == class);
        let Some(place) = place else {
            return Some((
                "404 Not Found",
                serde_json::json!({ "server": name }).to_string(),
            ));
        };
        let work = self.works[place].sample(&mut *self.rng.borrow_mut());
        let attempt = self.next.replace(self.next.get() + 1);
        let (tell, told) = oneshot::channel();
        self.waiting.borrow_mut().insert(attempt, tell);
        let began = self.now();
        let key = path.bytes().fold(0u64, |key, b| {
            key.wrapping_mul(31).wrapping_add(u64::from(b))
        });
        let (admission, _) =
            self.world
                .borrow_mut()
                .submit(began, server, Job { attempt, work, key });
        self.changed.notify_one();
        if admission != Admission::Accepted {
            self.waiting.borrow_mut().remove(&attempt);
            return Some((
                "503 Busy",
                serde_json::json!({ "server": name, "busy": true }).to_string(),
            ));
        }
        let verdict = tokio::select! {
            biased;
            verdict = told => verdict.ok()?,
            () = connection.closed() => {
                self.world.borrow_mut().cancel(self.now(), server, attempt);
                self.waiting.borrow_mut().remove(&attempt);
                self.changed.notify_one();
                return None;
            }
        };
        let took = (self.now() - began).round();
        (verdict == ServerOutcome::Served).then(|| {
            let said = serde_json::json!({ "server": name, "class": class, "path": path, "took-ms": took });
            ("200 OK", said.to_string())
        })
    }
}
