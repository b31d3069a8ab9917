//! The list of servers as each proxy's agent tells it: whole, or a watch that stays open.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use serde_json::{Value, json};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

use super::http::{Start, Wire};
use super::servers::Servers;
use super::stage::Stage;
use crate::ledger::{ProxyId, ServerId, Told};
use crate::scenario::FaultKind;
use crate::world::{Line, Listed};

/// A watch with nothing to tell sends an empty line this often.
const ALIVE: Duration = Duration::from_secs(2);

/// One proxy's agent.
pub struct Agent {
    stage: Rc<Stage>,
    servers: Rc<Servers>,
    proxy: ProxyId,
    /// What it has been sent, a line a server that is listed.
    list: RefCell<BTreeMap<ServerId, Listed>>,
    /// Every change with its version.
    log: RefCell<Vec<(u64, Line)>>,
    seq: Cell<u64>,
    news: watch::Sender<u64>,
}

impl Agent {
    /// An agent that knows the list as it stands.
    pub fn new(stage: Rc<Stage>, servers: Rc<Servers>, proxy: ProxyId) -> Rc<Self> {
        let list = stage
            .world
            .borrow()
            .listed()
            .into_iter()
            .map(|l| (l.server, l.state))
            .collect();
        let (news, _) = watch::channel(1);
        let (log, seq) = (RefCell::default(), Cell::new(1));
        Rc::new(Agent {
            stage,
            servers,
            proxy,
            list: RefCell::new(list),
            log,
            seq,
            news,
        })
    }

    /// A change is on its way; it arrives when the world says.
    pub fn send(self: &Rc<Self>, line: Line) {
        let at = self
            .stage
            .world
            .borrow_mut()
            .news_at(self.stage.now(), self.proxy);
        let agent = self.clone();
        spawn_local(async move {
            sleep_until(agent.stage.instant(at)).await;
            match line.state {
                Listed::Removed => agent.list.borrow_mut().remove(&line.server),
                state => agent.list.borrow_mut().insert(line.server, state),
            };
            agent.seq.set(agent.seq.get() + 1);
            agent.log.borrow_mut().push((agent.seq.get(), line));
            agent.news.send_replace(agent.seq.get());
        });
    }

    fn host(&self, line: &Line) -> Value {
        let world = self.stage.world.borrow();
        let loan = &world.loans()[line.server];
        let fleet = &world.scenario().fleet;
        json!({
            "host": world.name(line.server),
            "dial": self.servers.address(self.proxy, line.server).map(|a| a.to_string()),
            "site": fleet.zones[loan.zone],
            "class": fleet.kinds[loan.kind].name,
            "block": line.server / 4,
            "health": match line.state {
                Listed::Up => "up",
                Listed::Draining => "draining",
                Listed::Removed => "removed",
            },
            "share": loan.server.machine().cores * fleet.kinds[loan.kind].speed,
            "born_ms": loan.server.born().map_or(0.0, |born| self.stage.unix(born)),
        })
    }

    fn lines(&self) -> Vec<Line> {
        self.list
            .borrow()
            .iter()
            .map(|(server, state)| Line {
                server: *server,
                state: *state,
            })
            .collect()
    }

    /// The list as it is written; what is written counts as told.
    fn document(&self, whole: bool, lines: &[Line]) -> Value {
        let hosts: Vec<Value> = lines.iter().map(|l| self.host(l)).collect();
        json!({ "seq": self.seq.get(), "whole": whole, "hosts": hosts })
    }

    /// The list as the proxy last held it, for its configuration.
    pub fn known(&self) -> Value {
        self.document(true, &self.lines())
    }

    fn tell(&self, lines: &[Line]) {
        let at = self.stage.now();
        let world = self.stage.world.borrow();
        let mut ledger = self.stage.ledger.borrow_mut();
        for l in lines {
            let (up, born) = (l.state == Listed::Up, world.loans()[l.server].server.born());
            ledger.told.push(Told {
                proxy: self.proxy,
                server: l.server,
                at,
                up,
                born,
            });
        }
    }

    /// Listens, and answers for as long as it is polled.
    ///
    /// # Errors
    /// What the socket says.
    pub async fn listen(self: &Rc<Self>) -> std::io::Result<SocketAddr> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let address = listener.local_addr()?;
        let agent = self.clone();
        spawn_local(async move {
            loop {
                if let Ok((stream, _)) = listener.accept().await {
                    spawn_local(agent.clone().serve(Wire::new(stream)));
                } else {
                    sleep(Duration::from_millis(10)).await;
                }
            }
        });
        Ok(address)
    }

    async fn serve(self: Rc<Self>, mut wire: Wire) {
        while let Ok(message) = wire.read(true).await {
            let Start::Request(_, target) = message.start else {
                return;
            };
            let query = target.split_once('?').map_or("", |(_, q)| q);
            let value = |key: &str| {
                query
                    .split('&')
                    .find_map(|p| p.strip_prefix(key)?.strip_prefix('='))
            };
            if value("watch") == Some("1") {
                let after = value("after").and_then(|a| a.parse().ok());
                let _ = self.watch(&mut wire, after).await; // it lasts until its connection ends
                return;
            }
            let lines = self.lines();
            let body = self.document(true, &lines).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            self.tell(&lines);
            if wire.write((head + &body).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn silent(&self) -> bool {
        let now = self.stage.now();
        let faults = &self.stage.scenario.faults;
        faults
            .iter()
            .any(|f| f.kind == FaultKind::ListSilent && f.holds(now))
    }

    async fn watch(&self, wire: &mut Wire, after: Option<u64>) -> std::io::Result<()> {
        let mut news = self.news.subscribe();
        wire.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut seen = match after.filter(|a| *a <= self.seq.get()) {
            Some(after) => after,
            None => {
                let lines = self.lines();
                let document = self.document(true, &lines);
                self.tell(&lines);
                chunk(wire, &document.to_string()).await?;
                self.seq.get()
            }
        };
        loop {
            let seq = *news.borrow_and_update();
            if seq > seen {
                let lines: Vec<Line> = self
                    .log
                    .borrow()
                    .iter()
                    .filter(|(s, _)| *s > seen)
                    .map(|(_, l)| l.clone())
                    .collect();
                let document = self.document(false, &lines);
                self.tell(&lines);
                chunk(wire, &document.to_string()).await?;
                seen = self.seq.get();
            }
            tokio::select! {
                changed = timeout(ALIVE, news.changed()) => {
                    if changed.is_err() && !self.silent() {
                        chunk(wire, "").await?;
                    }
                }
                () = wire.ended() => return Ok(()),
            }
        }
    }
}

async fn chunk(wire: &mut Wire, line: &str) -> std::io::Result<()> {
    wire.write(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes())
        .await
}
