//! Emulated servers on real sockets. Each server has a separate address for each proxy, which identifies the sending
//! proxy and allows partitions between single proxies and servers.

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
use crate::scenario::BreakPoint;
use crate::world::server::{Admission, Job};
use crate::world::{Connect, ListState, ServerOutcome};

/// Returns the body of a server's response: it names the request and is repeated up to the size of a large response.
pub fn body_for(id: &str, size: Option<usize>) -> Vec<u8> {
    let name = format!("made for {id}").into_bytes();
    match size {
        None => name,
        Some(size) => name.iter().copied().cycle().take(size).collect(),
    }
}

/// Returns the size of a large body requested by a target.
fn large_body_size(target: &str) -> Option<usize> {
    target
        .split(['?', '&'])
        .find_map(|part| part.strip_prefix("large=")?.parse().ok())
}

/// Pause after a failed accept, so that the loop doesn't spin.
const ACCEPT_RETRY_DELAY: std::time::Duration = std::time::Duration::from_millis(10);

fn after_write(result: std::io::Result<()>) -> AfterExchange {
    if result.is_ok() {
        AfterExchange::KeepOpen
    } else {
        AfterExchange::Close
    }
}

/// Listeners of all servers.
pub struct Servers {
    run: Rc<RunState>,
    addresses: RefCell<FxHashMap<(ProxyId, ServerId), SocketAddr>>,
    /// Accept task of each address.
    tasks: RefCell<FxHashMap<(ProxyId, ServerId), AbortHandle>>,
    /// Signals the exit of a server process, which closes its idle connections.
    process_exits: RefCell<FxHashMap<ServerId, watch::Sender<bool>>>,
    /// Signals changes of partitions.
    partition_changes: watch::Sender<()>,
}

/// What follows an exchange on its connection.
#[derive(PartialEq, Eq)]
enum AfterExchange {
    /// The connection is kept open.
    KeepOpen,
    /// The connection is closed.
    Close,
    /// The connection is reset.
    Reset,
}

fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = TcpSocket::new_v4()?;
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG as u32)
}

impl Servers {
    /// Creates an instance without servers.
    pub fn new(run: Rc<RunState>) -> Rc<Self> {
        Rc::new(Servers {
            run,
            addresses: RefCell::default(),
            tasks: RefCell::default(),
            process_exits: RefCell::default(),
            partition_changes: watch::channel(()).0,
        })
    }

    /// Opens a server's listeners, one for each proxy.
    ///
    /// # Errors
    /// Returns errors of the sockets.
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

    /// Opens a server's listeners again, unless the server has been removed meanwhile.
    ///
    /// # Errors
    /// Returns errors of the sockets.
    pub fn open_again(self: &Rc<Self>, server: ServerId) -> std::io::Result<()> {
        let listed = self.run.world.borrow().servers()[server].listed;
        if listed == ListState::Removed {
            Ok(())
        } else {
            self.open(server)
        }
    }

    /// Ends a server: closes its listeners and idle connections.
    pub fn end(&self, server: ServerId) {
        self.close(server);
        if let Some(end) = self.process_exits.borrow_mut().remove(&server) {
            let _ = end.send(true); // there may be no connections
        }
    }

    /// Closes a server's listeners; established connections stay open.
    pub fn close(&self, server: ServerId) {
        self.tasks.borrow_mut().retain(|(_, s), task| {
            if *s == server {
                task.abort();
            }
            *s != server
        });
    }

    /// Makes each listener check whether it is partitioned.
    pub fn notify_partition_change(&self) {
        self.partition_changes.send_replace(());
    }

    fn partitioned(&self, proxy: ProxyId, server: ServerId) -> bool {
        let world = self.run.world.borrow();
        world.partitioned(
            self.run.now(),
            world.proxy_zone(proxy),
            world.servers()[server].zone,
        )
    }

    /// Returns the address of a server for a proxy.
    pub fn address(&self, proxy: ProxyId, server: ServerId) -> Option<SocketAddr> {
        self.addresses.borrow().get(&(proxy, server)).copied()
    }

    async fn accept(self: Rc<Self>, listener: TcpListener, proxy: ProxyId, server: ServerId) {
        let mut partition_changes = self.partition_changes.subscribe();
        loop {
            if self.partitioned(proxy, server) {
                let full_backlog = FullBacklog::new(&listener).await;
                while self.partitioned(proxy, server) && partition_changes.changed().await.is_ok() {
                }
                drop(full_backlog); // if filling failed, connections are established but get no response
            }
            let accepted = tokio::select! {
                _ = partition_changes.changed() => continue,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await; // out of file descriptors: the run is about to fail
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
                        .process_exits
                        .borrow_mut()
                        .entry(server)
                        .or_insert_with(|| watch::channel(false).0)
                        .subscribe();
                    spawn_local(self.clone().serve_connection(
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

    async fn serve_connection(
        self: Rc<Self>,
        mut connection: Connection,
        proxy: ProxyId,
        server: ServerId,
        established: bool,
        mut end: watch::Receiver<bool>,
    ) {
        let mut new_connection = true;
        let next = loop {
            // Between requests, the exit of the process closes the connection; during a request, the world decides its
            // outcome.
            tokio::select! {
                biased;
                started = connection.wait_for_data() => if started.is_err() { break AfterExchange::Close },
                _ = end.changed() => break AfterExchange::Reset,
            }
            match self
                .exchange(&mut connection, proxy, server, new_connection)
                .await
            {
                AfterExchange::KeepOpen => new_connection = false,
                next => break next,
            }
        };
        if established {
            self.run.world.borrow_mut().disconnect(server);
        }
        if next == AfterExchange::Reset {
            connection.reset();
        }
    }

    /// Serves one request whose first byte has arrived.
    async fn exchange(
        &self,
        connection: &mut Connection,
        proxy: ProxyId,
        server: ServerId,
        new_connection: bool,
    ) -> AfterExchange {
        let run = &self.run;
        let sent = run.now(); // for the drain rule, the send time is that of the first byte
        let Ok(message) = connection.read(true).await else {
            return AfterExchange::Close;
        };
        let StartLine::Request(method, target) = &message.start else {
            return AfterExchange::Close;
        };
        let size = large_body_size(target);
        let Some(name) = message.header("x-request-id").map(str::to_owned) else {
            return after_write(
                connection
                    .write(b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n")
                    .await,
            );
        };
        let id = run.ids.borrow().get(&name).copied();
        let Some(id) = id else {
            let description = format!("id {name:?} was never sent by a client");
            run.ledger
                .borrow_mut()
                .unknown_requests
                .push((server, sent, description));
            return after_write(
                connection
                    .write(b"HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\n\r\n")
                    .await,
            );
        };
        if method == "POST" && size.is_some() && message.body != body_for(&name, size) {
            let description = format!("the body of {name:?} is not what its client sent");
            run.ledger
                .borrow_mut()
                .unknown_requests
                .push((server, sent, description));
        }
        let ledger_index = run.ledger.borrow_mut().record_send(id, server, sent);
        if self.partitioned(proxy, server) {
            connection.closed().await; // partitioned: nothing is processed until the proxy gives up
            run.end(id, ledger_index, AttemptEnd::MayHaveRun);
            return AfterExchange::Close;
        }
        let request = &run.requests[run.ledger.borrow().client_attempts[id].request];
        let (attempt, outcome) = run.register_attempt(id, ledger_index);
        let handshake = if new_connection {
            run.scenario.fleet.handshake.0
        } else {
            0.0
        };
        let job = Job {
            attempt,
            work: request.work + handshake,
            key: request.key,
        };
        let (admission, error) = run.world.borrow_mut().submit(run.now(), server, job);
        run.world_changed();
        match (admission, error) {
            (_, Some(outcome)) => run.settle(attempt, ConnectionOutcome::Server(outcome), true),
            (Admission::Accepted, None) => {}
            (Admission::Rejected, None) => {
                run.end(id, ledger_index, AttemptEnd::NeverRan);
                let busy = b"HTTP/1.1 503 Busy\r\nX-Not-Processed: 1\r\nContent-Length: 0\r\n\r\n";
                return after_write(connection.write(busy).await);
            }
            (Admission::Crashed, None) => run.settle(attempt, ConnectionOutcome::Lost, false),
        }
        // Either the request (POST) or the response (GET) is large.
        let body = body_for(&name, size.filter(|_| method == "GET"));
        self.respond(
            connection,
            server,
            &body,
            (id, ledger_index, attempt),
            outcome,
        )
        .await
    }

    async fn respond(
        &self,
        connection: &mut Connection,
        server: ServerId,
        body: &[u8],
        (id, ledger_index, attempt): (usize, usize, u64),
        outcome: oneshot::Receiver<ConnectionOutcome>,
    ) -> AfterExchange {
        let run = &self.run;
        let outcome = tokio::select! {
            biased;
            outcome = outcome => outcome.unwrap_or(ConnectionOutcome::Lost),
            // The proxy cancels the attempt.
            () = connection.closed() => {
                run.cancel(server, attempt);
                run.end(id, ledger_index, AttemptEnd::MayHaveRun);
                return AfterExchange::Close;
            }
        };
        let mut whole =
            format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len()).into_bytes();
        whole.extend_from_slice(body);
        let half = whole.len() - body.len() / 2;
        match outcome {
            ConnectionOutcome::Server(ServerOutcome::Served) => {
                run.end(id, ledger_index, AttemptEnd::Answered);
                after_write(connection.write(&whole).await)
            }
            ConnectionOutcome::Server(ServerOutcome::Error) => {
                run.end(id, ledger_index, AttemptEnd::MayHaveRun);
                after_write(
                    connection
                        .write(b"HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n")
                        .await,
                )
            }
            ConnectionOutcome::Server(ServerOutcome::Silent) => {
                connection.closed().await;
                run.end(id, ledger_index, AttemptEnd::MayHaveRun);
                AfterExchange::Close
            }
            ConnectionOutcome::Server(ServerOutcome::Reset(BreakPoint::After)) => {
                run.end(id, ledger_index, AttemptEnd::Answered);
                let _ = connection.write(&whole).await;
                AfterExchange::Close
            }
            ConnectionOutcome::Server(ServerOutcome::Reset(place)) => {
                run.end(id, ledger_index, AttemptEnd::MayHaveRun);
                if place == BreakPoint::Inside {
                    let _ = connection.write(&whole[..half]).await;
                    // The data sent must arrive before the reset does.
                    tokio::time::sleep(std::time::Duration::from_millis(1)).await;
                }
                AfterExchange::Reset
            }
            ConnectionOutcome::Lost => {
                run.end(id, ledger_index, AttemptEnd::MayHaveRun);
                AfterExchange::Reset
            }
        }
    }
}
