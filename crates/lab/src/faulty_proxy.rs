//! Proxies built to break a rule, so that the oracle can be seen to notice on real sockets too.
//!
//! A rogue reads the same configuration as the proxy and follows the same list, and it decides nothing: it picks a
//! listed server at random. The one that is [`ProxyDefect::None`] breaks no rule in a calm scenario, which shows that what
//! the others are blamed for is their own doing.

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

/// What a rogue does wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProxyDefect {
    /// Nothing.
    None,
    /// It never answers some requests, and holds their connections open.
    LosesRequests,
    /// It writes some answers twice.
    AnswersTwice,
    /// It makes some answers up.
    InventsAnswers,
    /// It sends everything to two servers, one after the other.
    Repeats,
    /// It refuses some of what a server has answered.
    RefusesAll,
    /// It goes on sending to servers of which it was told that they drain or are gone.
    IgnoresDrains,
    /// It sends all to the newest server.
    FloodsNewest,
    /// It takes more memory than it may.
    HoardsMemory,
    /// It holds more descriptors than it may.
    HoardsDescriptors,
    /// It ends by itself.
    Crashes,
    /// It sends some requests under ids of its own.
    ChangesIds,
}

impl ProxyDefect {
    /// All of them, with the names that the command line has for them.
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

/// How often it asks for the list.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Of so many requests it spoils one.
const AFFECTED_EVERY: u64 = 10;
/// It answers this long before a client gives up.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);
const FAILED: &str = "HTTP/1.1 502 Bad Gateway\r\nContent-Length: 0\r\n\r\n";
/// Requests after which one that crashes does so.
const REQUESTS_BEFORE_CRASH: u64 = 20;

/// Of its configuration, what it needs.
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

/// A server, as the list names it.
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
    /// Connections whose clients are left waiting.
    abandoned: RefCell<Vec<Connection>>,
}

/// Runs a rogue until it is killed; `config` is the file that `NODE_CONFIG` names.
///
/// # Errors
/// The configuration can't be read, or its address can't be had.
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
        // Written to, so that it is resident.
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
            spawn_local(proxy.clone().connection(Connection::new(stream)));
        }
    })
}

/// A request to a list or a server on a connection of its own, and its answer.
async fn send_request(address: SocketAddr, request: &str) -> Option<Message> {
    let mut connection = Connection::new(TcpStream::connect(address).await.ok()?);
    connection.write(request.as_bytes()).await.ok()?;
    connection.read(false).await.ok()
}

impl FaultyProxy {
    /// Asks for the list again and again. A server that is not named any more is gone.
    async fn follow_list(self: Rc<Self>, discovery: SocketAddr) {
        loop {
            sleep(POLL_INTERVAL).await;
            let Some(answer) =
                send_request(discovery, "GET /hosts HTTP/1.1\r\nHost: list\r\n\r\n").await
            else {
                continue;
            };
            let Ok(document) = serde_json::from_slice::<Document>(&answer.body) else {
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

    fn pick(&self) -> Option<SocketAddr> {
        let hosts = self.hosts.borrow();
        let up: Vec<&Host> = hosts.iter().filter(|h| h.health == "up").collect();
        if self.defect == ProxyDefect::FloodsNewest {
            return up
                .iter()
                .max_by(|a, b| a.born_ms.total_cmp(&b.born_ms))
                .map(|h| h.dial);
        }
        let place = self.rng.borrow_mut().random_range(0..up.len().max(1));
        up.get(place).map(|h| h.dial)
    }

    async fn connection(self: Rc<Self>, mut connection: Connection) {
        while let Ok(message) = connection.read(true).await {
            let StartLine::Request(method, target) = &message.start else {
                return;
            };
            if target == "/up" {
                let up = b"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
                let _ = connection.write(up).await; // it will ask again
                return;
            }
            let number = self.requests.replace(self.requests.get() + 1);
            let affected = number % AFFECTED_EVERY == AFFECTED_EVERY - 1;
            if self.defect == ProxyDefect::Crashes && number >= REQUESTS_BEFORE_CRASH {
                std::process::exit(1);
            }
            let own = message.header("x-request-id").unwrap_or("").to_owned();
            let id = if affected && self.defect == ProxyDefect::ChangesIds {
                format!("rogue-{number}")
            } else {
                own
            };
            let seconds = message
                .header("x-timeout")
                .and_then(|t| t.parse().ok())
                .unwrap_or(1.0f64);
            let patience =
                Duration::from_secs_f64(seconds.clamp(0.0, 600.0)).saturating_sub(ANSWER_MARGIN);
            let served = timeout(patience, self.serve(method, target, &id, affected)).await;
            let answer = served.unwrap_or_else(|_| FAILED.into());
            if affected && self.defect == ProxyDefect::LosesRequests {
                return self.abandoned.borrow_mut().push(connection);
            }
            if connection.write(answer.as_bytes()).await.is_err() {
                return;
            }
            if affected
                && self.defect == ProxyDefect::AnswersTwice
                && connection.write(answer.as_bytes()).await.is_err()
            {
                return;
            }
        }
    }

    /// The answer to a request, head and body.
    async fn serve(&self, method: &str, target: &str, id: &str, affected: bool) -> String {
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
        let mut answer = None;
        for _ in 0..if self.defect == ProxyDefect::Repeats {
            2
        } else {
            1
        } {
            let Some(server) = self.pick() else {
                return REJECTED.into();
            };
            answer = send_request(server, &request).await;
        }
        match answer {
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
            Some(a) if a.start == StartLine::Response(503) => REJECTED.into(), // turned away unseen
            _ => FAILED.into(),
        }
    }
}
