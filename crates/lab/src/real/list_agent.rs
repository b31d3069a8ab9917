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

use super::http::{Connection, StartLine};
use super::run_state::RunState;
use super::servers::Servers;
use crate::ledger::{ProxyId, ServerId, ServerNotification};
use crate::scenario::FaultKind;
use crate::world::{ListEntry, ListState};

/// A watch with nothing to tell sends an empty entry this often.
const ALIVE: Duration = Duration::from_secs(2);

/// One proxy's agent.
pub struct Agent {
    run: Rc<RunState>,
    servers: Rc<Servers>,
    proxy: ProxyId,
    /// What it has been sent, a entry a server that is listed.
    list: RefCell<BTreeMap<ServerId, ListState>>,
    /// Every change with its version.
    log: RefCell<Vec<(u64, ListEntry)>>,
    seq: Cell<u64>,
    news: watch::Sender<u64>,
}

impl Agent {
    /// An agent that knows the list as it stands.
    pub fn new(run: Rc<RunState>, servers: Rc<Servers>, proxy: ProxyId) -> Rc<Self> {
        let list = run
            .world
            .borrow()
            .listed()
            .into_iter()
            .map(|l| (l.server, l.state))
            .collect();
        let (news, _) = watch::channel(1);
        let (log, seq) = (RefCell::default(), Cell::new(1));
        Rc::new(Agent {
            run,
            servers,
            proxy,
            list: RefCell::new(list),
            log,
            seq,
            news,
        })
    }

    /// A change is on its way; it arrives when the world says.
    pub fn send(self: &Rc<Self>, entry: ListEntry) {
        let at = self
            .run
            .world
            .borrow_mut()
            .delivery_time(self.run.now(), self.proxy);
        let agent = self.clone();
        spawn_local(async move {
            sleep_until(agent.run.instant(at)).await;
            match entry.state {
                ListState::Removed => agent.list.borrow_mut().remove(&entry.server),
                state => agent.list.borrow_mut().insert(entry.server, state),
            };
            agent.seq.set(agent.seq.get() + 1);
            agent.log.borrow_mut().push((agent.seq.get(), entry));
            agent.news.send_replace(agent.seq.get());
        });
    }

    fn host(&self, entry: &ListEntry) -> Value {
        let world = self.run.world.borrow();
        let fleet_server = &world.servers()[entry.server];
        let fleet = &world.scenario().fleet;
        json!({
            "host": world.name(entry.server),
            "dial": self.servers.address(self.proxy, entry.server).map(|a| a.to_string()),
            "site": fleet.zones[fleet_server.zone],
            "class": fleet.kinds[fleet_server.kind].name,
            "block": entry.server / 4,
            "health": match entry.state {
                ListState::Up => "up",
                ListState::Draining => "draining",
                ListState::Removed => "removed",
            },
            "share": fleet_server.server.machine().cores * fleet.kinds[fleet_server.kind].speed,
            "born_ms": fleet_server.server.started_at().map_or(0.0, |started_at| self.run.unix(started_at)),
        })
    }

    fn entries(&self) -> Vec<ListEntry> {
        self.list
            .borrow()
            .iter()
            .map(|(server, state)| ListEntry {
                server: *server,
                state: *state,
            })
            .collect()
    }

    /// The list as it is written; what is written counts as told.
    fn document(&self, whole: bool, entries: &[ListEntry]) -> Value {
        let hosts: Vec<Value> = entries.iter().map(|l| self.host(l)).collect();
        json!({ "seq": self.seq.get(), "whole": whole, "hosts": hosts })
    }

    /// The list as the proxy last held it, for its configuration.
    pub fn known(&self) -> Value {
        self.document(true, &self.entries())
    }

    fn tell(&self, entries: &[ListEntry]) {
        let at = self.run.now();
        let world = self.run.world.borrow();
        let mut ledger = self.run.ledger.borrow_mut();
        for l in entries {
            let (up, started_at) = (
                l.state == ListState::Up,
                world.servers()[l.server].server.started_at(),
            );
            ledger.notifications.push(ServerNotification {
                proxy: self.proxy,
                server: l.server,
                at,
                up,
                started_at,
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
                    spawn_local(agent.clone().serve(Connection::new(stream)));
                } else {
                    sleep(Duration::from_millis(10)).await;
                }
            }
        });
        Ok(address)
    }

    async fn serve(self: Rc<Self>, mut connection: Connection) {
        while let Ok(message) = connection.read(true).await {
            let StartLine::Request(_, target) = message.start else {
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
                let _ = self.watch(&mut connection, after).await; // it lasts until its connection ends
                return;
            }
            let entries = self.entries();
            let body = self.document(true, &entries).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            self.tell(&entries);
            if connection.write((head + &body).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn silent(&self) -> bool {
        let now = self.run.now();
        let faults = &self.run.scenario.faults;
        faults
            .iter()
            .any(|f| f.kind == FaultKind::ListSilent && f.holds(now))
    }

    async fn watch(&self, connection: &mut Connection, after: Option<u64>) -> std::io::Result<()> {
        let mut news = self.news.subscribe();
        connection
            .write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut seen = match after.filter(|a| *a <= self.seq.get()) {
            Some(after) => after,
            None => {
                let entries = self.entries();
                let document = self.document(true, &entries);
                self.tell(&entries);
                chunk(connection, &document.to_string()).await?;
                self.seq.get()
            }
        };
        loop {
            let seq = *news.borrow_and_update();
            if seq > seen {
                let entries: Vec<ListEntry> = self
                    .log
                    .borrow()
                    .iter()
                    .filter(|(s, _)| *s > seen)
                    .map(|(_, l)| l.clone())
                    .collect();
                let document = self.document(false, &entries);
                self.tell(&entries);
                chunk(connection, &document.to_string()).await?;
                seen = self.seq.get();
            }
            tokio::select! {
                changed = timeout(ALIVE, news.changed()) => {
                    if changed.is_err() && !self.silent() {
                        chunk(connection, "").await?;
                    }
                }
                () = connection.closed() => return Ok(()),
            }
        }
    }
}

async fn chunk(connection: &mut Connection, text: &str) -> std::io::Result<()> {
    connection
        .write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())
        .await
}
