//! Clients on real sockets (open loop): each client request is sent at its scheduled time, whatever the state of
//! earlier ones.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use balancer::Millis;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use tokio::net::TcpStream;
use tokio::task::spawn_local;
use tokio::time::{Duration, sleep, sleep_until, timeout_at};

use super::http::{Connection, Message, ReadError, StartLine};
use super::proxies::Proxy;
use super::run_state::RunState;
use super::servers::body_for;
use crate::ledger::{ClientAttempt, ClientAttemptId, ProxyId, ResponseKind};
use crate::load::{self, ClientAttemptOutcome};
use crate::random::{Purpose, stream};
use crate::scenario::{Effect, FaultKind};

/// Delay before a slow reader reads the response, and before the second half of a large request is sent.
const SLOW_DELAY: Duration = Duration::from_millis(300);
/// Request size in bytes above which a request is sent in two halves.
const LARGE_REQUEST_BYTES: usize = 64 << 10;

/// All clients, and the load balancer that distributes them over the proxies.
pub struct Clients {
    run: Rc<RunState>,
    proxies: Vec<Rc<Proxy>>,
    /// Idle connections by proxy, the most recently used last.
    idle: RefCell<Vec<Vec<Connection>>>,
    rng: RefCell<ChaCha8Rng>,
    /// Delays of first attempts against their schedule, in ms.
    pub send_delays: RefCell<Vec<f64>>,
    active_requests: Cell<usize>,
}

/// Result of an exchange on a connection.
enum Exchange {
    /// A complete response.
    Response(Message),
    /// An incomplete response.
    Incomplete,
    /// The connection was closed before the response began.
    Closed,
    /// No connection was established.
    Unreachable,
}

impl Clients {
    /// Creates clients of the given proxies.
    pub fn new(run: Rc<RunState>, proxies: Vec<Rc<Proxy>>, seed: u64) -> Rc<Self> {
        let idle = proxies.iter().map(|_| Vec::new()).collect();
        Rc::new(Clients {
            run,
            idle: RefCell::new(idle),
            proxies,
            rng: RefCell::new(stream(seed, Purpose::Clients)),
            send_delays: RefCell::default(),
            active_requests: Cell::new(0),
        })
    }

    /// Sends every client request at its scheduled time; returns when all have ended.
    pub async fn send_all(self: Rc<Self>) {
        for request in 0..self.run.requests.len() {
            sleep_until(self.run.instant(self.run.requests[request].at)).await;
            self.active_requests.set(self.active_requests.get() + 1);
            let clients = self.clone();
            spawn_local(async move {
                clients.send_with_retries(request).await;
                clients
                    .active_requests
                    .set(clients.active_requests.get() - 1);
            });
        }
        while self.active_requests.get() > 0 {
            sleep(Duration::from_millis(5)).await;
        }
    }

    fn pick_proxy(&self, zone: usize) -> ProxyId {
        let (now, zones) = (self.run.now(), self.run.scenario.fleet.zones.len());
        let is_available = |p: usize| {
            self.proxies[p]
                .front_stops_at
                .get()
                .is_none_or(|from| now < from)
        };
        load::pick_proxy(
            &mut *self.rng.borrow_mut(),
            self.proxies.len(),
            zones,
            zone,
            is_available,
        )
    }

    async fn send_with_retries(&self, request: usize) {
        let run = &self.run;
        let a = &run.requests[request];
        let mut intended = a.at;
        for number in 1.. {
            let now = run.now();
            if number == 1 {
                self.send_delays.borrow_mut().push(now - intended);
            }
            let end = self.send_attempt(request, number, intended, now).await;
            let now = run.now();
            {
                let served = &mut run.served.borrow_mut()[request];
                served.1 = number;
                if end == ClientAttemptOutcome::Served {
                    served.0 = Some(now);
                }
            }
            let Some(wait) = load::retry_delay(&run.scenario, a, number, now, end) else {
                return;
            };
            intended = now + wait;
            sleep_until(run.instant(intended)).await;
        }
    }

    async fn send_attempt(
        &self,
        request: usize,
        number: u32,
        intended: Millis,
        now: Millis,
    ) -> ClientAttemptOutcome {
        let run = &self.run;
        let a = &run.requests[request];
        let proxy = self.pick_proxy(a.zone);
        let client_timeout = load::attempt_timeout(&run.scenario, a, now);
        if client_timeout < 1.0 {
            return ClientAttemptOutcome::GaveUp;
        }
        let class = &run.scenario.classes[a.class];
        let (id, name) = {
            let mut ledger = run.ledger.borrow_mut();
            let id = ledger.client_attempts.len();
            ledger.client_attempts.push(ClientAttempt {
                request,
                number,
                class: a.class,
                at_most_once: class.effect == Effect::Unsafe,
                proxy,
                intended,
                sent: now,
                timeout_at: now + client_timeout,
                accepted_at: None,
                responses: Vec::new(),
                disconnected_at: None,
                attempts: Vec::new(),
            });
            (id, format!("r-{id:08x}"))
        };
        run.ids.borrow_mut().insert(name.clone(), id);
        let method = if class.effect == Effect::Safe {
            "GET"
        } else {
            "POST"
        };
        let tenant = a.tenant.map_or(String::new(), |t| {
            format!("X-Tenant-Id: {}\r\n", run.scenario.tenants[t].name)
        });
        let retried = if number > 1 { "X-Retried: 1\r\n" } else { "" };
        let size = self.large_body_size();
        let body = if method == "POST" && size.is_some() {
            body_for(&name, size)
        } else {
            Vec::new()
        };
        let length = if method == "POST" {
            format!("Content-Length: {}\r\n", body.len())
        } else {
            String::new()
        };
        let large = size.map_or(String::new(), |size| format!("&large={size}"));
        let request = format!(
            "{method} /{}?sid={:x}{large} HTTP/1.1\r\nHost: lab\r\nX-Request-ID: {name}\r\nX-Timeout: {:.3}\r\n{tenant}{retried}\
             {length}\r\n",
            class.name,
            a.key,
            client_timeout / 1000.0
        );
        let due = run.instant(now + client_timeout);
        let mut whole = request.into_bytes();
        whole.extend_from_slice(&body);
        match timeout_at(due, self.exchange(id, proxy, &whole)).await {
            Err(_) => {
                run.ledger.borrow_mut().client_attempts[id].disconnected_at = Some(run.now()); // cancelling the exchange closed the connection
                ClientAttemptOutcome::GaveUp
            }
            Ok(Exchange::Unreachable) => ClientAttemptOutcome::Unreachable,
            Ok(Exchange::Closed) => ClientAttemptOutcome::Failed,
            Ok(Exchange::Incomplete) => {
                run.ledger.borrow_mut().client_attempts[id]
                    .responses
                    .push((run.now(), ResponseKind::Broken));
                ClientAttemptOutcome::Failed
            }
            Ok(Exchange::Response(message)) => {
                let expected_body = body_for(&name, size.filter(|_| method == "GET"));
                self.record_response(id, &expected_body, &message)
            }
        }
    }

    fn record_response(
        &self,
        id: ClientAttemptId,
        expected_body: &[u8],
        message: &Message,
    ) -> ClientAttemptOutcome {
        let now = self.run.now();
        let (kind, end) = match message.start {
            StartLine::Response(200) => {
                let genuine = message.body == expected_body;
                (
                    ResponseKind::Served { genuine },
                    ClientAttemptOutcome::Served,
                )
            }
            StartLine::Response(429 | 503) => {
                let after = message
                    .header("retry-after")
                    .and_then(|v| v.parse::<f64>().ok())
                    .map(|s| s * 1000.0);
                (
                    ResponseKind::Refused { retry_after: after },
                    ClientAttemptOutcome::Rejected(after),
                )
            }
            _ => (ResponseKind::Failed, ClientAttemptOutcome::Failed),
        };
        self.run.ledger.borrow_mut().client_attempts[id]
            .responses
            .push((now, kind));
        end
    }

    /// Sends a request on an idle or a new connection. If an idle connection closes before a response, the request is
    /// resent once on a new connection, because a proxy may close idle connections.
    async fn exchange(&self, id: ClientAttemptId, proxy: ProxyId, request: &[u8]) -> Exchange {
        let idle = self.idle.borrow_mut()[proxy].pop();
        if let Some(connection) = idle {
            match self.exchange_on(id, proxy, connection, request).await {
                Exchange::Closed => {
                    self.run.ledger.borrow_mut().client_attempts[id].accepted_at = None
                }
                end => return end,
            }
        }
        let Ok(stream) = TcpStream::connect(self.proxies[proxy].address).await else {
            return Exchange::Unreachable;
        };
        self.exchange_on(id, proxy, Connection::new(stream), request)
            .await
    }

    async fn exchange_on(
        &self,
        id: ClientAttemptId,
        proxy: ProxyId,
        mut connection: Connection,
        request: &[u8],
    ) -> Exchange {
        // A large request is sent in two halves with a delay between them.
        let (first_half, second_half) = request.split_at(if request.len() > LARGE_REQUEST_BYTES {
            request.len() / 2
        } else {
            request.len()
        });
        if connection.write(first_half).await.is_err() {
            return Exchange::Closed;
        }
        if !second_half.is_empty() {
            sleep(SLOW_DELAY).await;
        }
        if connection.write(second_half).await.is_err() {
            return Exchange::Closed;
        }
        self.run.ledger.borrow_mut().client_attempts[id].accepted_at = Some(self.run.now());
        if self.reads_slowly() {
            sleep(SLOW_DELAY).await;
        }
        match connection.read(false).await {
            Ok(message) => {
                if !message.closes_connection() {
                    self.idle.borrow_mut()[proxy].push(connection);
                }
                Exchange::Response(message)
            }
            Err(ReadError::Closed) => Exchange::Closed,
            Err(ReadError::Broken(_)) => Exchange::Incomplete,
        }
    }

    /// Returns the body size of a large request or response, if a fault makes this request large.
    fn large_body_size(&self) -> Option<usize> {
        let now = self.run.now();
        let holds =
            |f: &&crate::scenario::Fault| f.kind == FaultKind::LargeBodies && f.is_active(now);
        let fault = self.run.scenario.faults.iter().find(holds)?;
        let affected = self.rng.borrow_mut().random::<f64>() < fault.share.map_or(0.0, |s| s.0);
        fault.size.filter(|_| affected).map(|size| size.0 as usize)
    }

    fn reads_slowly(&self) -> bool {
        let now = self.run.now();
        let holds =
            |f: &&crate::scenario::Fault| f.kind == FaultKind::SlowReaders && f.is_active(now);
        let share: f64 = self
            .run
            .scenario
            .faults
            .iter()
            .filter(holds)
            .filter_map(|f| f.share)
            .map(|s| s.0)
            .sum();
        share > 0.0 && self.rng.borrow_mut().random::<f64>() < share
    }

    /// Sends malformed requests for the duration of the garbage faults.
    pub async fn send_garbage(self: Rc<Self>) {
        const MALFORMED: [&[u8]; 4] = [
            b"\x16\x03\x01\x02\x00\x01",
            b"GET",
            b"POST / HTTP/1.1\r\nContent-Length: 9\r\n\r\nx",
            b"",
        ];
        let faults = self.run.scenario.faults.clone();
        for fault in faults.iter().filter(|f| f.kind == FaultKind::Garbage) {
            let gap = 1000.0 / fault.rate.map_or(1.0, |r| r.0);
            let count = (fault.span.0 / gap) as usize;
            for n in 0..count {
                sleep_until(self.run.instant(fault.at.0 + n as f64 * gap)).await;
                let address = self.proxies[n % self.proxies.len()].address;
                spawn_local(async move {
                    if let Ok(stream) = TcpStream::connect(address).await {
                        let mut connection = Connection::new(stream);
                        let _ = connection.write(MALFORMED[n % MALFORMED.len()]).await; // the proxy may reject or ignore it
                        connection.closed().await;
                    }
                });
            }
        }
    }
}
