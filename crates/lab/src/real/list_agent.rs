//! Server list endpoint of each proxy: serves the full list or a watch.

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

/// Interval of empty lines on a watch without updates.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// Server list agent of one proxy.
pub struct Agent {
    run: Rc<RunState>,
    servers: Rc<Servers>,
    proxy: ProxyId,
    /// State of each listed server, as delivered to this agent.
    list: RefCell<BTreeMap<ServerId, ListState>>,
    /// All changes with their sequence numbers.
    log: RefCell<Vec<(u64, ListEntry)>>,
    seq: Cell<u64>,
    updates: watch::Sender<u64>,
}

impl Agent {
    /// Creates an agent with the current list.
    pub fn new(run: Rc<RunState>, servers: Rc<Servers>, proxy: ProxyId) -> Rc<Self> {
        let list = run
            .world
            .borrow()
            .listed()
            .into_iter()
            .map(|l| (l.server, l.state))
            .collect();
        let (updates, _) = watch::channel(1);
        let (log, seq) = (RefCell::default(), Cell::new(1));
        Rc::new(Agent {
            run,
            servers,
            proxy,
            list: RefCell::new(list),
            log,
            seq,
            updates,
        })
    }

    /// Announces a change; it arrives at the delivery time that the world returns.
    pub fn announce(self: &Rc<Self>, entry: ListEntry) {
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
            agent.updates.send_replace(agent.seq.get());
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

    /// Builds the list document with the given entries.
    fn document(&self, whole: bool, entries: &[ListEntry]) -> Value {
        let hosts: Vec<Value> = entries.iter().map(|l| self.host(l)).collect();
        json!({ "seq": self.seq.get(), "whole": whole, "hosts": hosts })
    }

    /// Returns the list as last delivered to the proxy, for its configuration.
    pub fn cached_list(&self) -> Value {
        self.document(true, &self.entries())
    }

    fn record_notifications(&self, entries: &[ListEntry]) {
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

    /// Listens and serves requests on the local task set.
    ///
    /// # Errors
    /// Returns errors of the socket.
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
                let _ = self.watch(&mut connection, after).await; // the watch lasts until its connection closes
                return;
            }
            let entries = self.entries();
            let body = self.document(true, &entries).to_string();
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            self.record_notifications(&entries);
            if connection.write((head + &body).as_bytes()).await.is_err() {
                return;
            }
        }
    }

    fn is_silent(&self) -> bool {
        let now = self.run.now();
        let faults = &self.run.scenario.faults;
        faults
            .iter()
            .any(|f| f.kind == FaultKind::ListSilent && f.is_active(now))
    }

    async fn watch(&self, connection: &mut Connection, after: Option<u64>) -> std::io::Result<()> {
        let mut updates = self.updates.subscribe();
        connection
            .write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
            .await?;
        let mut delivered = match after.filter(|a| *a <= self.seq.get()) {
            Some(after) => after,
            None => {
                let entries = self.entries();
                let document = self.document(true, &entries);
                self.record_notifications(&entries);
                write_chunk(connection, &document.to_string()).await?;
                self.seq.get()
            }
        };
        loop {
            let seq = *updates.borrow_and_update();
            if seq > delivered {
                let entries: Vec<ListEntry> = self
                    .log
                    .borrow()
                    .iter()
                    .filter(|(s, _)| *s > delivered)
                    .map(|(_, l)| l.clone())
                    .collect();
                let document = self.document(false, &entries);
                self.record_notifications(&entries);
                write_chunk(connection, &document.to_string()).await?;
                delivered = self.seq.get();
            }
            tokio::select! {
                changed = timeout(KEEPALIVE_INTERVAL, updates.changed()) => {
                    if changed.is_err() && !self.is_silent() {
                        write_chunk(connection, "").await?;
                    }
                }
                () = connection.closed() => return Ok(()),
            }
        }
    }
}

async fn write_chunk(connection: &mut Connection, text: &str) -> std::io::Result<()> {
    connection
        .write(format!("{:x}\r\n{text}\n\r\n", text.len() + 1).as_bytes())
        .await
}
