//! Proxy process: reads the command line and the configuration, and connects the parts.

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

use crate::body_memory::BodyMemory;
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
use crate::vars::Counters;
use crate::{config, discovery, frontend, hosts, inherited, log, note, peers, upstream};

/// File descriptors reserved for everything except clients and endpoints: standard streams, runtime, signals, listener,
/// UDP and watch; and for the features: the drills' port with its connections, the metrics socket, and open files.
const RESERVED_DESCRIPTORS: usize = 32;
/// Minimum number of descriptors for clients and endpoints.
const MIN_DESCRIPTORS: usize = 16;
/// Number and length of the waits before the cached list is used, if discovery has not answered by then. It is not
/// used earlier, because the list of the discovery agent counts as known from the start of the process. Several short
/// waits instead of a long one let a process that gets little CPU time read an answer that has arrived before it uses
/// an older list.
const CACHED_LIST_WAITS: (u32, Duration) = (10, Duration::from_millis(50));

/// Maximum wait at shutdown for queued output of the features: its reader may be absent.
const SHUTDOWN_OUTPUT_TIMEOUT: Duration = Duration::from_millis(500);

/// Creates the drills and their listener, if the settings have both a secret and a port.
fn drills(
    config: &Config,
    features: &properties::FeatureSettings,
) -> io::Result<(Option<Rc<Drills>>, Option<TcpListener>)> {
    let settings = &features.fault_injection;
    let (Some(secret), Some(port)) = (&settings.secret, settings.port) else {
        return Ok((None, None));
    };
    log::start_writer_thread()?; // each affected request is logged
    let drills_listener = frontend::listen((config.listen.ip(), port).into())?;
    let classes = config.reloadable.names.classes.clone();
    // The drills have a separate seed, so that the random draws of the decision module stay the same.
    let drills = Drills::new(secret.clone(), settings.max_duration, classes, !config.seed);
    Ok((Some(drills), Some(drills_listener)))
}

/// Parts that a reload of the configuration updates.
struct Reload {
    path: PathBuf,
    initial_keys: config::InitialKeys,
    discovery_address: Rc<discovery::DiscoveryAddress>,
    pool: Rc<Pool>,
    upstreams: Rc<upstream::Upstreams>,
}

impl Reload {
    /// Reads the file and applies it, or keeps the present configuration if the file is invalid.
    fn reload(&self) {
        let pool = &self.pool;
        let current = pool.reloadable.borrow().clone();
        let change = config::read_change(&self.path, &self.initial_keys, &current);
        pool.counts.configuration_read(change.is_ok());
        let change = match change {
            Ok(change) => change,
            Err(e) => return note!("the new configuration is invalid and has been ignored: {e}"),
        };
        self.discovery_address.set(change.discovery);
        self.upstreams.configure(&change.connections);
        if change.reloadable.source == current.source {
            return;
        }
        // The decision module has the settings before the first request that is read with them.
        pool.inbox.send(Input::Settings(Box::new(
            change.reloadable.settings.clone(),
        )));
        pool.counts
            .register_classes(&change.reloadable.names.classes);
        pool.features.update_names(&change.reloadable.names);
        let classes = change
            .reloadable
            .names
            .classes
            .iter()
            .zip(&change.reloadable.accepted_classes);
        let accepted: Vec<&str> = classes
            .filter(|(_, accepted)| **accepted)
            .map(|(name, _)| name.as_str())
            .collect();
        note!(
            "new settings are in service; classes: {}",
            accepted.join(", ")
        );
        pool.reloadable.replace(Rc::new(change.reloadable));
    }
}

/// Adds the name and the address of a listener to an error.
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
    // No reader of the log may hold up requests.
    log::start_writer_thread().map_err(at("log"))?;
    let mut term = signal(SignalKind::terminate()).map_err(at("SIGTERM"))?;
    let mut hup = signal(SignalKind::hangup()).map_err(at("SIGHUP"))?;
    let mut int = signal(SignalKind::interrupt()).map_err(at("SIGINT"))?;
    let listener = match config.inherited {
        Some(descriptor) => inherited::listener(descriptor)
            .and_then(TcpListener::from_std)
            .map_err(at(&format!("NODE_SOCKET_FD: descriptor {descriptor}")))?,
        None => frontend::listen(config.listen).map_err(at_address("listen", config.listen))?,
    };
    let operations_listener = match config.ops {
        Some(at) => Some(frontend::listen(at).map_err(at_address("operations listener", at))?),
        None => None,
    };
    let clock = Clock::default();
    let lifecycle = Rc::new(SharedLifecycle::new(clock, config.inherited.is_some()));
    let counts = Rc::new(Counters::default());
    counts.register_classes(&config.reloadable.names.classes);
    let capture = if features.capture.enabled {
        let (node, given, names) = (
            &config.name,
            config.reloadable.source.to_string(),
            config.reloadable.names.clone(),
        );
        let capture = Capture::new(&features.capture, node, config.seed, &given, names, clock)?;
        Some(Rc::new(capture))
    } else {
        None
    };
    let (drills, drills_listener) = drills(&config, &features).map_err(at("drills"))?;
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
    let reserved = RESERVED_DESCRIPTORS
        + if operations_listener.is_some() {
            ops::MAX_CONNECTIONS + 1
        } else {
            0
        };
    // The system's limit applies if it is lower than that of the file.
    let allowed = rustix::process::getrlimit(rustix::process::Resource::Nofile).current;
    let allowed = allowed
        .and_then(|n| usize::try_from(n).ok())
        .unwrap_or(usize::MAX);
    let budget = config
        .sockets
        .min(allowed)
        .saturating_sub(reserved)
        .max(MIN_DESCRIPTORS);
    let sockets = Arc::new(Semaphore::new(budget / 4));
    let body_memory = BodyMemory::new(config.memory, budget);
    let upstreams = Rc::new(upstream::Upstreams::new(
        &config.connections,
        sockets,
        None,
        counts.clone(),
        body_memory.clone(),
    ));
    let watch = Rc::new(Notify::new());
    let discovery_address = discovery::DiscoveryAddress::new(config.discovery);
    let parts = Parts {
        gate: None,
        clock,
        capture: capture.clone(),
        inbox: inbox.clone(),
        upstreams: upstreams.clone(),
        peers,
        discovery: Some(discovery_address.clone()),
        account: None,
        may_sleep: false,
        subscribe: watch.clone(),
        lifecycle: lifecycle.clone(),
        counts: counts.clone(),
    };
    let pushed = config.reloadable.settings.discovery == balancer::Discovery::Pushed;
    let balancer = Balancer::new(config.reloadable.settings.clone(), config.seed);
    let driver =
        spawn_local(Driver::new(balancer, config.reloadable.names.clone(), parts).run(inputs));
    // The clock of the decision module starts with its first event.
    inbox.send(Input::EndpointList {
        scope: UpdateScope::Cached,
        seq: None,
        hosts: Vec::new(),
    });
    if let Some((seq, hosts)) = hosts::parse_cached(&config.cached_list) {
        let inbox = inbox.clone();
        spawn_local(async move {
            for _ in 0..CACHED_LIST_WAITS.0 {
                tokio::time::sleep(CACHED_LIST_WAITS.1).await;
            }
            inbox.send(Input::EndpointList {
                scope: UpdateScope::Cached,
                seq: Some(seq),
                hosts,
            });
        });
    }
    let list = discovery::Discovery::new(
        discovery_address.clone(),
        inbox.clone(),
        config.seed.rotate_left(32),
    );
    if pushed {
        spawn_local(list.watch_continuously());
    } else {
        spawn_local(list.watch_on_request(watch));
    }
    // The decision module limits the connections to endpoints by their free slots, but nothing limits clients, which
    // get most of the budget. Another eighth is accepted beyond `max_clients` only to be rejected.
    let max_clients = budget * 5 / 8;
    let figures = if features.metrics.enabled {
        let figures = MetricsExporter::new(&features.metrics, &config.reloadable.names)
            .map_err(at("metrics"))?;
        spawn_local(figures.clone().flush_periodically());
        Some(figures)
    } else {
        None
    };
    if let Some(listener) = operations_listener {
        let address = listener.local_addr().map_err(at("operations listener"))?;
        note!("operators' door on {address}");
        let operations = OperationsListener {
            lifecycle: lifecycle.clone(),
            counts: counts.clone(),
            inbox: inbox.clone(),
        };
        spawn_local(Rc::new(operations).serve(listener));
    }
    let features = Features {
        capture: capture.clone(),
        drills: drills.clone(),
        figures: figures.clone(),
    };
    let reloadable = RefCell::new(Rc::new(config.reloadable));
    let pool = Rc::new(Pool {
        inbox,
        reloadable,
        lifecycle: lifecycle.clone(),
        counts: counts.clone(),
        body_memory: body_memory.clone(),
        features,
        account: None,
        requires_headers: true,
    });
    let reload = Reload {
        path,
        initial_keys: config.initial_keys,
        discovery_address,
        pool: pool.clone(),
        upstreams: upstreams.clone(),
    };
    spawn_local(async move {
        while hup.recv().await.is_some() {
            reload.reload(); // signals that arrive together are merged, and the file is read after the last of them
        }
    });
    let front = Frontend::new(
        SinglePool { pool, upstreams },
        max_clients,
        Rc::default(),
        lifecycle.clone(),
        body_memory,
    );
    let address = listener.local_addr().map_err(at("listener"))?;
    note!("{} listens on {address}", config.name);
    if let (Some(drills), Some(drills_listener)) = (&drills, drills_listener) {
        let address = drills_listener.local_addr().map_err(at("drills"))?;
        note!("drills on {address}");
        spawn_local(drills.clone().serve(drills_listener));
    }
    let shutdown_capture = capture.clone();
    let stop = async move {
        tokio::select! {
            _ = term.recv() => {}
            _ = int.recv() => {}
        }
        if let Some(capture) = shutdown_capture {
            capture.write_ring();
        }
        if let Some(drills) = drills {
            drills.shut_down();
        }
    };
    // Without the decision module every request would fail, so the process exits and can be restarted.
    let outcome = tokio::select! {
        () = front.serve(listener, stop) => Ok(()),
        end = driver => Err(format!("the driver has ended: {end:?}")),
    };
    if let Some(capture) = capture {
        capture.finish(SHUTDOWN_OUTPUT_TIMEOUT);
    }
    if let Some(figures) = figures {
        figures.finish(SHUTDOWN_OUTPUT_TIMEOUT);
    }
    outcome
}

/// Help text of the command line.
const HELP: &str = "\
A reverse proxy that spreads requests over HTTP servers.

usage: canvascart-proxy [--properties FILE]

  --properties FILE  settings of the features, one key = value per line (docs/features.md)
  --help             this text
  --version          the version

The file that NODE_CONFIG names tells it where to listen, where discovery is, and the settings that the
module decides by; deploy/proxy.example.json is one to start from. SIGTERM ends it once every request it
has accepted is answered, SIGHUP makes it read the file again.
";

/// Parsed command line.
enum Command {
    /// Run the proxy with these feature settings.
    Proxy(Box<properties::FeatureSettings>),
    /// Print a text on standard output and exit.
    Text(String),
}

/// Parses the command line: no arguments, the file with the features' settings, or a request for help or the version.
fn parse_arguments(mut arguments: impl Iterator<Item = OsString>) -> Result<Command, String> {
    let usage = "usage: canvascart-proxy [--properties FILE]; --help prints more";
    let Some(flag) = arguments.next() else {
        return Ok(Command::Proxy(Box::default()));
    };
    match (flag.to_str(), arguments.next(), arguments.next()) {
        (Some("--properties"), Some(file), None) => {
            properties::FeatureSettings::read(Path::new(&file))
                .map(|f| Command::Proxy(f.into()))
                .map_err(|e| e.to_string())
        }
        (Some("--help" | "-h"), None, None) => Ok(Command::Text(HELP.into())),
        (Some("--version" | "-V"), None, None) => Ok(Command::Text(format!(
            "canvascart-proxy {}\n",
            env!("CARGO_PKG_VERSION")
        ))),
        _ => Err(usage.into()),
    }
}

fn start(arguments: impl Iterator<Item = OsString>) -> Result<(), String> {
    let features = match parse_arguments(arguments)? {
        Command::Proxy(features) => *features,
        // A reader that closes the pipe early is no error.
        Command::Text(text) => return io::stdout().write_all(text.as_bytes()).or(Ok(())),
    };
    let unset = "NODE_CONFIG is not set: it has to name the configuration file, such as deploy/proxy.example.json";
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

/// Runs a proxy until it shuts down. `arguments` excludes the program name; the platform sets the environment variables
/// that its deployment page documents. Errors are logged to standard error.
pub fn main(arguments: impl Iterator<Item = OsString>) -> ExitCode {
    let code = match start(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(text) => {
            note!("{text}");
            ExitCode::FAILURE
        }
    };
    log::finish(SHUTDOWN_OUTPUT_TIMEOUT);
    code
}
