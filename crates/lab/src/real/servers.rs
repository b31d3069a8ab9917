//! FleetServer servers on real sockets. Each proxy reaches each server at an address of its own, so that the run knows who
//! sent what, and a partition can part them.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;

use rustc_hash::FxHashMap;
use tokio::net::{TcpListener, TcpSocket};
use tokio::sync::{oneshot, watch};
use tokio::task::{AbortHandle, spawn_local};

use super::full_backlog::{BACKLOG, FullBacklog};
use super::http::{Connection, StartLine};
use super::run_state::{ConnectionOutcome, RunState};
use crate::ledger::{AttemptEnd, ProxyId, ServerId};
use crate::scenario::Break;
use crate::world::server::{Admission, Job};
use crate::world::{Connect, ListState, ServerOutcome};

/// The body of a server's answer: it names the request that it was made for, again and again up to a large one's size.
pub fn body_for(id: &str, size: Option<usize>) -> Vec<u8> {
    let name = format!("made for {id}").into_bytes();
    match size {
        None => name,
        Some(size) => name.iter().copied().cycle().take(size).collect(),
    }
}

/// The size that a target requests for, of a large body.
fn large(target: &str) -> Option<usize> {
    target
        .split(['?', '&'])
        .find_map(|part| part.strip_prefix("large=")?.parse().ok())
}

/// Wait after a failed accept, lest it spin.
const PAUSE: std::time::Duration = std::time::Duration::from_millis(10);

fn written(written: std::io::Result<()>) -> Next {
    if written.is_ok() {
        Next::More
    } else {
        Next::Close
    }
}

/// All listeners.
pub struct Servers {
    run: Rc<RunState>,
    addresses: RefCell<FxHashMap<(ProxyId, ServerId), SocketAddr>>,
    /// The task behind each address while it accepts.
    tasks: RefCell<FxHashMap<(ProxyId, ServerId), AbortHandle>>,
    /// ServerNotification when a server's process ends: idle connections end with it.
    ends: RefCell<FxHashMap<ServerId, watch::Sender<bool>>>,
    /// Changes when zones are partitioned, or no longer.
    parts: watch::Sender<()>,
}

/// What follows an exchange.
#[derive(PartialEq, Eq)]
enum Next {
    /// The next one on the same connection.
    More,
    /// The connection's end.
    Close,
    /// A reset.
    Break,
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

impl Servers {
    /// No servers yet.
    pub fn new(run: Rc<RunState>) -> Rc<Self> {
        Rc::new(Servers {
            run,
            addresses: RefCell::default(),
            tasks: RefCell::default(),
            ends: RefCell::default(),
            parts: watch::channel(()).0,
        })
    }

    /// Opens a server's listeners, one for each proxy.
    ///
    /// # Errors
    /// What the sockets say.
    pub fn open(self: &Rc<Self>, server: ServerId) -> std::io::Result<()> {
        for proxy in 0..self.run.scenario.proxies.count {
            let known = self.addresses.borrow().get(&(proxy, server)).copied();
            let listener = listen(known.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))))?;
            self.addresses
                .borrow_mut()
                .insert((proxy, server), listener.local_addr()?);
            let task = spawn_local(self.clone().accept(listener, proxy, server));
            self.tasks
                .borrow_mut()
                .insert((proxy, server), task.abort_handle());
        }
        Ok(())
    }

    /// Opens a server's listeners again, unless its process has ended meanwhile.
    ///
    /// # Errors
    /// What the sockets say.
    pub fn open_again(self: &Rc<Self>, server: ServerId) -> std::io::Result<()> {
        let listed = self.run.world.borrow().servers()[server].listed;
        if listed == ListState::Removed {
            Ok(())
        } else {
            self.open(server)
        }
    }

    /// A server's process has ended: no connection is taken any more, and idle ones end.
    pub fn end(&self, server: ServerId) {
        self.close(server);
        if let Some(end) = self.ends.borrow_mut().remove(&server) {
            let _ = end.send(true); // nobody may be connected
        }
    }

    /// Closes a server's listeners; connections that are up stay.
    pub fn close(&self, server: ServerId) {
        self.tasks.borrow_mut().retain(|(_, s), task| {
            if *s == server {
                task.abort();
            }
            *s != server
        });
    }

    /// Zones are partitioned, or no longer: each listener looks whether that concerns it.
    pub fn notify_partition_change(&self) {
        self.parts.send_replace(());
    }

    fn partitioned(&self, proxy: ProxyId, server: ServerId) -> bool {
        let world = self.run.world.borrow();
        world.partitioned(
            self.run.now(),
            world.proxy_zone(proxy),
            world.servers()[server].zone,
        )
    }

    /// Where a proxy reaches a server.
    pub fn address(&self, proxy: ProxyId, server: ServerId) -> Option<SocketAddr> {
        self.addresses.borrow().get(&(proxy, server)).copied()
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, proxy: ProxyId, server: ServerId) {
        let mut parts = self.parts.subscribe();
        loop {
            if self.partitioned(proxy, server) {
                let full_backlog = FullBacklog::new(&listener).await;
                while self.partitioned(proxy, server) && parts.changed().await.is_ok() {}
                drop(full_backlog); // without one its connections come up and stay silent
            }
            let accepted = tokio::select! {
                _ = parts.changed() => continue,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(PAUSE).await; // out of descriptors: the run is about to say so
                continue;
            };
            let connection = Connection::new(stream);
            let connect = self
                .run
                .world
                .borrow_mut()
                .connect(self.run.now(), proxy, server);
            match connect {
                Connect::Refused => connection.reset(),
                Connect::Up | Connect::Silent => {
                    let end = self
                        .ends
                        .borrow_mut()
                        .entry(server)
                        .or_insert_with(|| watch::channel(false).0)
                        .subscribe();
                    spawn_local(self.clone().connection(
                        connection,
                        proxy,
                        server,
                        connect == Connect::Up,
                        end,
                    ));
                }
            }
        }
    }

    async fn connection(
        self: Rc<Self>,
        mut connection: Connection,
        proxy: ProxyId,
        server: ServerId,
        counted: bool,
        mut end: watch::Receiver<bool>,
    ) {
        let mut fresh = true;
        let next = loop {
            // Between requests the end of the process ends it; within one the world says what becomes of it.
            tokio::select! {
                biased;
                started = connection.wait_for_data() => if started.is_err() { break Next::Close },
                _ = end.changed() => break Next::Break,
            }
            match self.exchange(&mut connection, proxy, server, fresh).await {
                Next::More => fresh = false,
                next => break next,
            }
        };
        if counted {
            self.run.world.borrow_mut().disconnect(server);
        }
        if next == Next::Break {
            connection.reset();
        }
    }

    /// Serves one request that has begun to come.
    async fn exchange(
        &self,
        connection: &mut Connection,
        proxy: ProxyId,
        server: ServerId,
        fresh: bool,
    ) -> Next {
        let run = &self.run;
        let sent = run.now(); // for drains a send counts from its first byte
        let Ok(message) = connection.read(true).await else {
            return Next::Close;
        };
        let StartLine::Request(method, target) = &message.start else {
            return Next::Close;
        };
        let size = large(target);
        let Some(name) = message.header("x-request-id").map(str::to_owned) else {
            return written(
                connection
                    .write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    .await,
            );
        };
        let id = run.ids.borrow().get(&name).copied();
        let Some(id) = id else {
            let what = format!("id {name:?} was never sent by a client");
            run.ledger
                .borrow_mut()
                .unknown_requests
                .push((server, sent, what));
            return written(
                connection
                    .write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                    .await,
            );
        };
        if method == "POST" && size.is_some() && message.body != body_for(&name, size) {
            let what = format!("the body of {name:?} is not what its client sent");
            run.ledger
                .borrow_mut()
                .unknown_requests
                .push((server, sent, what));
        }
        let note = run.ledger.borrow_mut().send(id, server, sent);
        if self.partitioned(proxy, server) {
            connection.closed().await; // nothing passes: it waits until the proxy gives it up
            run.end(id, note, AttemptEnd::MayHaveRun);
            return Next::Close;
        }
        let ask = &run.requests[run.ledger.borrow().client_attempts[id].request];
        let (attempt, outcome) = run.hold(id, note);
        let handshake = if fresh {
            run.scenario.fleet.handshake.0
        } else {
            0.0
        };
        let job = Job {
            attempt,
            work: ask.work + handshake,
            key: ask.key,
        };
        let (admission, error) = run.world.borrow_mut().submit(run.now(), server, job);
        run.touched();
        match (admission, error) {
            (_, Some(verdict)) => {
                run.tell(attempt, ConnectionOutcome::ServerOutcome(verdict), true)
            }
            (Admission::Accepted, None) => {}
            (Admission::Rejected, None) => {
                run.end(id, note, AttemptEnd::NeverRan);
                let full = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                return written(connection.write(full).await);
            }
            (Admission::Crashed, None) => run.tell(attempt, ConnectionOutcome::Lost, false),
        }
        // What a client sends is large, or what it gets.
        let body = body_for(&name, size.filter(|_| method == "GET"));
        self.answer(connection, server, &body, (id, note, attempt), outcome)
            .await
    }

    async fn answer(
        &self,
        connection: &mut Connection,
        server: ServerId,
        body: &[u8],
        (id, note, attempt): (usize, usize, u64),
        outcome: oneshot::Receiver<ConnectionOutcome>,
    ) -> Next {
        let run = &self.run;
        let outcome = tokio::select! {
            biased;
            outcome = outcome => outcome.unwrap_or(ConnectionOutcome::Lost),
            // The proxy gives the attempt up.
            () = connection.closed() => {
                run.cancel(server, attempt);
                run.end(id, note, AttemptEnd::MayHaveRun);
                return Next::Close;
            }
        };
        let mut whole =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        whole.extend_from_slice(body);
        let half = whole.len() - body.len() / 2;
        match outcome {
            ConnectionOutcome::ServerOutcome(ServerOutcome::Served) => {
                run.end(id, note, AttemptEnd::Answered);
                written(connection.write(&whole).await)
            }
            ConnectionOutcome::ServerOutcome(ServerOutcome::Error) => {
                run.end(id, note, AttemptEnd::MayHaveRun);
                written(
                    connection
                        .write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
                        .await,
                )
            }
            ConnectionOutcome::ServerOutcome(ServerOutcome::Silent) => {
                connection.closed().await;
                run.end(id, note, AttemptEnd::MayHaveRun);
                Next::Close
            }
            ConnectionOutcome::ServerOutcome(ServerOutcome::Reset(Break::After)) => {
                run.end(id, note, AttemptEnd::Answered);
                let _ = connection.write(&whole).await;
                Next::Close
            }
            ConnectionOutcome::ServerOutcome(ServerOutcome::Reset(place)) => {
                run.end(id, note, AttemptEnd::MayHaveRun);
                if place == Break::Inside {
                    let _ = connection.write(&whole[..half]).await;
                    // What is on its way must arrive before the break does.
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                }
                Next::Break
            }
            ConnectionOutcome::Lost => {
                run.end(id, note, AttemptEnd::MayHaveRun);
                Next::Break
            }
        }
    }
}
