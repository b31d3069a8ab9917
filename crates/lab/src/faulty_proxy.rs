//! Proxies with an intentional defect, which test the oracle on real sockets.
//!
//! A faulty proxy reads the same configuration as the proxy and follows the same server list, but makes no decisions:
//! it picks a listed server at random. With [`ProxyDefect::None`] it violates no rule in a scenario without faults,
//! which shows that the violations of the others result from their defects.

use std::cell::{Cell, RefCell};
use std::fs::File;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{LocalSet, spawn_local};
use tokio::time::{sleep, timeout};

use crate::real::http::{Connection, Message, StartLine};

/// Intentional defect of a proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyDefect {
    /// No defect.
    None,
    /// Never responds to some requests and keeps their connections open.
    LosesRequests,
    /// Sends some responses twice.
    AnswersTwice,
    /// Invents the content of some responses.
    InventsAnswers,
    /// Sends every request to two servers, one after the other.
    Repeats,
    /// Rejects some requests although a server responded.
    RefusesAll,
    /// Keeps sending to servers after notification that they drain or are removed.
    IgnoresDrains,
    /// Sends all requests to the server that started last.
    FloodsNewest,
    /// Uses more memory than the limit.
    HoardsMemory,
    /// Keeps more file descriptors open than the limit.
    HoardsDescriptors,
    /// Exits without being told to.
    Crashes,
    /// Replaces the ids of some requests with its own.
    ChangesIds,
}

impl ProxyDefect {
    /// All defects with their command line names.
    pub const ALL: [(&str, ProxyDefect); 12] = [
        ("nothing", ProxyDefect::None),
        ("loses-requests", ProxyDefect::LosesRequests),
        ("answers-twice", ProxyDefect::AnswersTwice),
        ("makes-up", ProxyDefect::InventsAnswers),
        ("repeats", ProxyDefect::Repeats),
        ("refuses-all", ProxyDefect::RefusesAll),
        ("ignores-drains", ProxyDefect::IgnoresDrains),
        ("floods-newest", ProxyDefect::FloodsNewest),
        ("hoards-memory", ProxyDefect::HoardsMemory),
        ("hoards-descriptors", ProxyDefect::HoardsDescriptors),
        ("crashes", ProxyDefect::Crashes),
        ("renames", ProxyDefect::ChangesIds),
    ];
}

/// Interval between requests for the server list.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Defects that concern some requests affect one request in this many.
const AFFECTED_EVERY: u64 = 10;
/// Responses are sent this long before the client's timeout.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);
const FAILED: &str = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
/// Number of requests after which [`ProxyDefect::Crashes`] exits.
const REQUESTS_BEFORE_CRASH: u64 = 20;

/// Fields of the proxy configuration that are used here.
#[derive(Deserialize)]
struct Config {
    listen: SocketAddr,
    discovery: SocketAddr,
    limits: Limits,
    known: Document,
}

#[derive(Deserialize)]
struct Limits {
    memory_mb: usize,
    sockets: usize,
}

#[derive(Deserialize)]
struct Document {
    hosts: Vec<Host>,
}

/// Entry of the server list.
#[derive(Clone, Deserialize)]
struct Host {
    host: String,
    dial: SocketAddr,
    health: String,
    born_ms: f64,
}

struct FaultyProxy {
    defect: ProxyDefect,
    hosts: RefCell<Vec<Host>>,
    rng: RefCell<ChaCha8Rng>,
    requests: Cell<u64>,
    memory: RefCell<Vec<u8>>,
    files: RefCell<Vec<File>>,
    /// Client connections that are kept open without a response.
    abandoned: RefCell<Vec<Connection>>,
}

/// Runs a faulty proxy until it is killed; `config` is the path that `NODE_CONFIG` names.
///
/// # Errors
/// Fails if the configuration can't be read or its address is not available.
pub fn run(defect: ProxyDefect, config: &Path) -> io::Result<()> {
    let config: Config = serde_json::from_str(&std::fs::read_to_string(config)?)?;
    let proxy = Rc::new(FaultyProxy {
        defect,
        hosts: RefCell::new(config.known.hosts),
        rng: RefCell::new(ChaCha8Rng::seed_from_u64(1)),
        requests: Cell::new(0),
        memory: RefCell::default(),
        files: RefCell::default(),
        abandoned: RefCell::default(),
    });
    match defect {
        // Written to, so that the memory is resident.
        ProxyDefect::HoardsMemory => {
            *proxy.memory.borrow_mut() = vec![1; (config.limits.memory_mb + 16) << 20]
        }
        ProxyDefect::HoardsDescriptors => {
            let files = (0..config.limits.sockets + 16).map(|_| File::open("/dev/null"));
            *proxy.files.borrow_mut() = files.collect::<io::Result<_>>()?;
        }
        _ => {}
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()?;
    LocalSet::new().block_on(&runtime, async {
        let listener = TcpListener::bind(config.listen).await?;
        spawn_local(proxy.clone().follow_list(config.discovery));
        loop {
            let (stream, _) = listener.accept().await?;
            spawn_local(proxy.clone().serve_connection(Connection::new(stream)));
        }
    })
}

/// Sends a request to the list or a server on a new connection and returns the response.
async fn send_request(address: SocketAddr, request: &str) -> Option<Message> {
    let mut connection = Connection::new(TcpStream::connect(address).await.ok()?);
    connection.write(request.as_bytes()).await.ok()?;
    connection.read(false).await.ok()
}

impl FaultyProxy {
    /// Polls the server list. A server that is no longer listed is removed.
    async fn follow_list(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            sleep(POLL_INTERVAL).await;
            let Some(response) =
                send_request(discovery, "GET /hosts HTTP/1.1\r\nHost: list\r\n\r\n").await
            else {
                continue;
            };
            let Ok(document) = serde_json::from_slice::<Document>(&response.body) else {
                continue;
            };
            if self.defect == ProxyDefect::IgnoresDrains {
                let mut hosts = self.hosts.borrow_mut();
                let new = |h: &Host| !hosts.iter().any(|known| known.host == h.host);
                let new: Vec<Host> = document.hosts.into_iter().filter(new).collect();
                hosts.extend(new);
            } else {
                *self.hosts.borrow_mut() = document.hosts;
            }
        }
    }

    fn pick_server(&self) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let up: Vec<&Host> = hosts.iter().filter(|h| h.health == "up").collect();
        if self.defect == ProxyDefect::FloodsNewest {
            return up
                .iter()
                .max_by(|a, b| a.born_ms.total_cmp(&b.born_ms))
                .map(|h| h.dial);
        }
        let index = self.rng.borrow_mut().random_range(0..up.len().max(1));
        up.get(index).map(|h| h.dial)
    }

    async fn serve_connection(self: Rc<Self>, mut connection: Connection) {
        while let Ok(message) = connection.read(true).await {
            let StartLine::Request(method, target) = &message.start else {
                return;
            };
            if target == "/up" {
                let up = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                let _ = connection.write(up).await; // the caller polls again
                return;
            }
            let number = self.requests.replace(self.requests.get() + 1);
            let affected = number % AFFECTED_EVERY == AFFECTED_EVERY - 1;
            if self.defect == ProxyDefect::Crashes && number >= REQUESTS_BEFORE_CRASH {
                std::process::exit(1);
            }
            let original_id = message.header("x-request-id").unwrap_or("").to_owned();
            let id = if affected && self.defect == ProxyDefect::ChangesIds {
                format!("rogue-{number}")
            } else {
                original_id
            };
            let seconds = message
                .header("x-timeout")
                .and_then(|t| t.parse().ok())
                .unwrap_or(1.0f64);
            let client_timeout =
                Duration::from_secs_f64(seconds.clamp(0.0, 600.0)).saturating_sub(RESPONSE_MARGIN);
            let served = timeout(client_timeout, self.forward(method, target, &id, affected)).await;
            let response = served.unwrap_or_else(|_| FAILED.into());
            if affected && self.defect == ProxyDefect::LosesRequests {
                return self.abandoned.borrow_mut().push(connection);
            }
            if connection.write(response.as_bytes()).await.is_err() {
                return;
            }
            if affected
                && self.defect == ProxyDefect::AnswersTwice
                && connection.write(response.as_bytes()).await.is_err()
            {
                return;
            }
        }
    }

    /// Returns the complete response to a request.
    async fn forward(&self, method: &str, target: &str, id: &str, affected: bool) -> String {
        const REJECTED: &str =
            "HTTP/1.1 503 Service Unavailable\r\nRetry-After: 0.2\r\nContent-Length: 0\r\n\r\n";
        let length = if method == "POST" {
            "Content-Length: 0\r\n"
        } else {
            ""
        };
        let request = format!(
            "{method} {target} HTTP/1.1\r\nHost: server\r\nX-Request-ID: {id}\r\n{length}\r\n"
        );
        let mut response = None;
        for _ in 0..if self.defect == ProxyDefect::Repeats {
            2
        } else {
            1
        } {
            let Some(server) = self.pick_server() else {
                return REJECTED.into();
            };
            response = send_request(server, &request).await;
        }
        match response {
            Some(_) if affected && self.defect == ProxyDefect::RefusesAll => REJECTED.into(),
            Some(a) if a.start == StartLine::Response(200) => {
                let invented = affected && self.defect == ProxyDefect::InventsAnswers;
                let body = if invented {
                    "made for nobody".into()
                } else {
                    String::from_utf8_lossy(&a.body).into_owned()
                };
                format!(
                    "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                )
            }
            Some(a) if a.start == StartLine::Response(503) => REJECTED.into(), // rejected before processing
            _ => FAILED.into(),
        }
    }
}
