//! One proxy as a process: reads the command line and the configuration, and wires the parts together.

use std::cell::RefCell;
use std::ffi::OsString;
use std::io::{self, Write as _};
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use balancer::{Balancer, UpdateScope};
use settings::properties;
use tokio::net::TcpListener;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Notify, Semaphore};
use tokio::task::{LocalSet, spawn_local};

use crate::capture::Capture;
use crate::clock::Clock;
use crate::config::Config;
use crate::drills::Drills;
use crate::driver::{Driver, Parts};
use crate::figures::MetricsExporter;
use crate::frontend::{Frontend, SinglePool};
use crate::inbox::{Inbox, Input};
use crate::lifecycle::SharedLifecycle;
use crate::ops::{self, OperationsListener};
use crate::pool::{Features, Pool};
use crate::stream::BodyMemory;
use crate::vars::Counters;
use crate::{config, discovery, frontend, hosts, inherited, log, note, peers, upstream};

/// Descriptors for all but clients and backends: standard streams, runtime, signals, listener, UDP, watch; and
/// the features' own: the drills' side port with its connections, the figures' socket, the files being written.
const RESERVE: usize = 32;
/// Descriptors for clients and backends, however few there are.
const LEAST: usize = 16;
/// If discovery has said nothing by then, the remembered list is served from, and not before: what its agent has counts as
/// told from a process's first moment. The wait is made of short ones, so that a process that gets little time still sees an
/// answer that has come before it goes by an older list.
const PATIENCE: (u32, Duration) = (10, Duration::from_millis(50));

/// Longest wait at the end for what the features still have to write: nobody may be reading it.
const LAST_WORDS: Duration = Duration::from_millis(500);

/// The drills and their side port, if the settings have both a secret and a port.
fn drills(
    config: &Config,
    features: &properties::FeatureSettings,
) -> io::Result<(Option<Rc<Drills>>, Option<TcpListener>)> {
    let settings = &features.fault_injection;
    let (Some(secret), Some(port)) = (&settings.secret, settings.port) else {
        return Ok((None, None));
    };
    log::behind_thread()?; // each affected request has a line
    let side_port = frontend::listen((config.listen.ip(), port).into())?;
    let classes = config.terms.names.classes.clone();
    // Chance of their own: the module's draws stay as they are.
    let drills = Drills::new(secret.clone(), settings.max_duration, classes, !config.seed);
    Ok((Some(drills), Some(side_port)))
}

/// What a new configuration reaches.
struct Reload {
    path: PathBuf,
    started: config::Started,
    place: Rc<discovery::DiscoveryAddress>,
    pool: Rc<Pool>,
    upstreams: Rc<upstream::Upstreams>,
}

impl Reload {
    /// Reads the file and goes over to it, or stays with what holds now.
    fn read(&self) {
        let pool = &self.pool;
        let now = pool.reloadable.borrow().clone();
        let change = config::read_change(&self.path, &self.started, &now);
        pool.counts.configuration_read(change.is_ok());
        let change = match change {
            Ok(change) => change,
            Err(e) => return note!("the new configuration is of no use: {e}"),
        };
        self.place.set(change.discovery);
        self.upstreams.configure(&change.connections);
        if change.terms.source == now.source {
            return;
        }
        // The module hears of it before the first request that comes under it.
        pool.inbox
            .send(Input::Settings(Box::new(change.terms.settings.clone())));
        pool.counts.register_classes(&change.terms.names.classes);
        pool.features.update_names(&change.terms.names);
        let classes = change
            .terms
            .names
            .classes
            .iter()
            .zip(&change.terms.accepted_classes);
        let open: Vec<&str> = classes
            .filter(|(_, open)| **open)
            .map(|(name, _)| name.as_str())
            .collect();
        note!("new settings are in service; classes: {}", open.join(", "));
        pool.reloadable.replace(Rc::new(change.terms));
    }
}

/// An error that names what listens where.
fn at_address(what: &str, address: std::net::SocketAddr) -> impl FnOnce(io::Error) -> String {
    let what = what.to_owned();
    move |e| format!("{what} on {address}: {e}")
}

async fn run(
    config: Config,
    path: PathBuf,
    features: properties::FeatureSettings,
) -> Result<(), String> {
    let at = |what: &str| {
        let what = what.to_owned();
        move |e: io::Error| format!("{what}: {e}")
    };
    let mut term = signal(SignalKind::terminate()).map_err(at("SIGTERM"))?;
    let mut hup = signal(SignalKind::hangup()).map_err(at("SIGHUP"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(at("SIGINT"))?;
    let listener = match config.inherited {
        Some(descriptor) => inherited::listener(descriptor)
            .and_then(TcpListener::from_std)
            .map_err(at(&format!("NODE_SOCKET_FD: descriptor {descriptor}")))?,
        None => frontend::listen(config.listen).map_err(at_address("listen", config.listen))?,
    };
    let door = match config.ops {
        Some(at) => Some(frontend::listen(at).map_err(at_address("the operators' door", at))?),
        None => None,
    };
    let clock = Clock::default();
    let life = Rc::new(SharedLifecycle::new(clock, config.inherited.is_some()));
    let counts = Rc::new(Counters::default());
    counts.register_classes(&config.terms.names.classes);
    let capture = if features.capture.enabled {
        let (node, given, names) = (
            &config.name,
            config.terms.source.to_string(),
            config.terms.names.clone(),
        );
        let capture = Capture::new(&features.capture, node, config.seed, &given, names, clock)?;
        Some(Rc::new(capture))
    } else {
        None
    };
    let (drills, side_port) = drills(&config, &features).map_err(at("the side port"))?;
    let (inbox, inputs) = Inbox::new();
    let peers = match config.peers {
        Some(addresses) => {
            let on = format!("peers on {}", addresses.listen);
            let peers = peers::Peers::bind(addresses).await.map_err(at(&on))?;
            spawn_local(peers.clone().receive(inbox.clone()));
            Some(peers)
        }
        None => None,
    };
    let own = RESERVE
        + if door.is_some() {
            ops::MAX_CONNECTIONS + 1
        } else {
            0
        };
    // Where the system allows fewer descriptors than the file says, its word holds.
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let allowed = allowed
        .and_then(|n| usize::try_from(n).ok())
        .unwrap_or(usize::MAX);
    let budget = config.sockets.min(allowed).saturating_sub(own).max(LEAST);
    let sockets = Arc::new(Semaphore::new(budget / 4));
    let body_memory = BodyMemory::new(config.memory);
    let upstreams = Rc::new(upstream::Upstreams::new(
        &config.connections,
        sockets,
        None,
        counts.clone(),
        body_memory.clone(),
    ));
    let watch = Rc::new(Notify::new());
    let place = discovery::DiscoveryAddress::new(config.discovery);
    let parts = Parts {
        gate: None,
        clock,
        capture: capture.clone(),
        inbox: inbox.clone(),
        upstreams: upstreams.clone(),
        peers,
        discovery: Some(place.clone()),
        account: None,
        may_sleep: false,
        subscribe: watch.clone(),
        lifecycle: life.clone(),
        counts: counts.clone(),
    };
    let pushed = config.terms.settings.discovery == balancer::Discovery::Pushed;
    let balancer = Balancer::new(config.terms.settings.clone(), config.seed);
    let driver = spawn_local(Driver::new(balancer, config.terms.names.clone(), parts).run(inputs));
    // The module's time begins with its first event.
    inbox.send(Input::EndpointList {
        scope: UpdateScope::Cached,
        seq: None,
        hosts: Vec::new(),
    });
    if let Some((seq, hosts)) = hosts::parse_cached(&config.known) {
        let inbox = inbox.clone();
        spawn_local(async move {
            for _ in 0..PATIENCE.0 {
                tokio::time::sleep(PATIENCE.1).await;
            }
            inbox.send(Input::EndpointList {
                scope: UpdateScope::Cached,
                seq: Some(seq),
                hosts,
            });
        });
    }
    let list = discovery::Discovery::new(place.clone(), inbox.clone(), config.seed.rotate_left(32));
    if pushed {
        spawn_local(list.follow());
    } else {
        spawn_local(list.on_request(watch));
    }
    // The module sends to a backend only while it has a free slot there, but clients come as they like: most
    // of the budget is theirs. Beyond `most` an eighth more are let in, only to be refused.
    let most = budget * 5 / 8;
    let figures = if features.metrics.enabled {
        let figures = MetricsExporter::new(&features.metrics, &config.terms.names)
            .map_err(at("the figures"))?;
        spawn_local(figures.clone().follow());
        Some(figures)
    } else {
        None
    };
    if let Some(listener) = door {
        let address = listener.local_addr().map_err(at("the operators' door"))?;
        note!("operators' door on {address}");
        let door = OperationsListener {
            life: life.clone(),
            counts: counts.clone(),
            inbox: inbox.clone(),
        };
        spawn_local(Rc::new(door).serve(listener));
    }
    let features = Features {
        capture: capture.clone(),
        drills: drills.clone(),
        figures: figures.clone(),
    };
    let reloadable = RefCell::new(Rc::new(config.terms));
    let pool = Rc::new(Pool {
        inbox,
        reloadable,
        lifecycle: life.clone(),
        counts: counts.clone(),
        body_memory,
        features,
        account: None,
        requires_headers: true,
    });
    let reload = Reload {
        path,
        started: config.started,
        place,
        pool: pool.clone(),
        upstreams: upstreams.clone(),
    };
    spawn_local(async move {
        while hup.recv().await.is_some() {
            reload.read(); // signals that came in a burst are one, and the file is the newest
        }
    });
    let front = Frontend::new(
        SinglePool { pool, upstreams },
        most,
        Rc::default(),
        life.clone(),
    );
    let address = listener.local_addr().map_err(at("the listener"))?;
    note!("{} listens on {address}", config.name);
    if let (Some(drills), Some(side_port)) = (&drills, side_port) {
        let address = side_port.local_addr().map_err(at("the side port"))?;
        note!("drills on {address}");
        spawn_local(drills.clone().serve(side_port));
    }
    let told = capture.clone();
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if let Some(capture) = told {
            capture.tell();
        }
        if let Some(drills) = drills {
            drills.end();
        }
    };
    // Without its module a proxy could only fail everything: then it is better dead and started anew.
    let outcome = tokio::select! {
        () = front.serve(listener, stop) => Ok(()),
        end = driver => Err(format!("the driver has ended: {end:?}")),
    };
    if let Some(capture) = capture {
        capture.finish(LAST_WORDS);
    }
    if let Some(figures) = figures {
        figures.finish(LAST_WORDS);
    }
    outcome
}

/// What is said to one who asks for help.
const HELP: &str = "\
A reverse proxy that spreads requests over HTTP servers.

usage: canvascart-proxy [--properties FILE]

  --properties FILE  settings of the features, one key = value a line (docs/features.md)
  --help             this text
  --version          the version

The file that NODE_CONFIG names tells it where to listen, where discovery is, and the settings that the
module decides by; deploy/proxy.example.json is one to start from. SIGTERM ends it once every request it
has taken is answered, SIGHUP makes it read the file anew.
";

/// What the command line asks for.
enum Asked {
    /// A proxy with these features.
    Proxy(Box<properties::FeatureSettings>),
    /// A text on standard output, and nothing else.
    Text(String),
}

/// Reads the command line: nothing, the file with the features' settings, or a wish for help.
fn asked(mut arguments: impl Iterator<Item = OsString>) -> Result<Asked, String> {
    let usage = "usage: canvascart-proxy [--properties FILE]; --help says more";
    let Some(flag) = arguments.next() else {
        return Ok(Asked::Proxy(Box::default()));
    };
    match (flag.to_str(), arguments.next(), arguments.next()) {
        (Some("--properties"), Some(file), None) => {
            properties::FeatureSettings::read(Path::new(&file))
                .map(|f| Asked::Proxy(f.into()))
                .map_err(|e| e.to_string())
        }
        (Some("--help" | "-h"), None, None) => Ok(Asked::Text(HELP.into())),
        (Some("--version" | "-V"), None, None) => Ok(Asked::Text(format!(
            "canvascart-proxy {}\n",
            env!("CARGO_PKG_VERSION")
        ))),
        _ => Err(usage.into()),
    }
}

fn start(arguments: impl Iterator<Item = OsString>) -> Result<(), String> {
    let features = match asked(arguments)? {
        Asked::Proxy(features) => *features,
        // Whoever asked and does not read on needs no more of it.
        Asked::Text(text) => return io::stdout().write_all(text.as_bytes()).or(Ok(())),
    };
    let unset =
        "NODE_CONFIG is not set: it names the configuration, such as deploy/proxy.example.json";
    let path = PathBuf::from(std::env::var_os("NODE_CONFIG").ok_or(unset)?);
    let mut config = config::read(&path)?;
    let variable =
        |name: &str| std::env::var_os(name).map(|value| value.to_string_lossy().into_owned());
    if let (None, Some(at)) = (config.ops, variable("NODE_OPS")) {
        config.ops = Some(at.parse().map_err(|e| format!("NODE_OPS: {at}: {e}"))?);
    }
    if let Some(number) = variable("NODE_SOCKET_FD") {
        let descriptor = number.parse().ok().filter(|d| *d >= 0);
        config.inherited =
            Some(descriptor.ok_or(format!("NODE_SOCKET_FD: '{number}' is no descriptor"))?);
    }
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let outcome = LocalSet::new().block_on(&runtime, run(config, path, features));
    runtime.shutdown_background();
    outcome
}

/// Runs a proxy to its end, with the arguments that follow the program's name; the platform's part is in the
/// environment, as its deployment page says. Errors go to standard error.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let code = match start(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            note!("{text}");
            ExitCode::FAILURE
        }
    };
    log::finish(LAST_WORDS);
    code
}
