//! `canvascart fleet`: servers in etcd, from the command line of whoever runs them.

use std::net::SocketAddr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use ::endpoint_discovery::{
    EndpointRecord, EndpointState, KeySpace, ListChange, WatchLimits, is_valid_endpoint_name,
};
use clap::Subcommand;
use etcd::{
    DiscoveryUpdate, PlaintextConnector, RegisteredEndpoint, Registry, RegistryError, Settings,
};
use serde_json::json;
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::mpsc;
use tokio::time::sleep;

/// etcd says no, or what it has can't be read.
const REFUSED: u8 = 1;
/// No member of etcd answers.
const UNREACHED: u8 = 3;
/// There is no such server, or another one has its name.
const OTHERWISE: u8 = 4;

const CODES: &str = "Exit codes: 0 done, 1 etcd refused, 2 wrong usage, 3 no member of etcd answers, 4 no such server, or another one has \
the name.

Where etcd asks for a name and a password, CANVASCART_ETCD_USER has them as NAME:PASSWORD.";

#[derive(clap::Args)]
#[command(after_help = CODES)]
pub struct Arguments {
    /// A member of etcd; several may be named.
    #[arg(
        long = "etcd",
        global = true,
        value_name = "URL",
        default_value = "http://127.0.0.1:2379"
    )]
    endpoints: Vec<String>,
    /// What the keys begin with.
    #[arg(long, global = true, default_value = "/canvascart/v1")]
    prefix: String,
    /// The pool that the servers are of.
    #[arg(long, global = true, default_value = "default")]
    pool: String,
    #[command(subcommand)]
    command: Command,
}

fn name(text: &str) -> Result<String, String> {
    if is_valid_endpoint_name(text) {
        Ok(text.to_owned())
    } else {
        Err("letters, digits and . _ - : alone, 128 at most".into())
    }
}

#[derive(Subcommand)]
enum Command {
    /// Registers a server with a lease, and keeps it until this command is ended; then the server leaves.
    Register {
        #[arg(value_parser = name)]
        name: String,
        #[arg(long, value_name = "HOST:PORT")]
        address: SocketAddr,
        /// Requests that it works on at once, about.
        #[arg(long, default_value_t = 1.0)]
        size: f64,
        #[arg(long)]
        zone: Option<String>,
        #[arg(long)]
        kind: Option<String>,
        /// The lease ends so many seconds after the last renewal.
        #[arg(long, value_name = "SECONDS", default_value_t = 10, value_parser = clap::value_parser!(u64).range(2..=3600))]
        ttl: u64,
    },
    /// The server ends what it has and gets nothing new.
    Drain {
        #[arg(value_parser = name)]
        name: String,
    },
    /// The server takes new work again.
    Resume {
        #[arg(value_parser = name)]
        name: String,
    },
    /// Takes a server away, on purpose.
    Deregister {
        #[arg(value_parser = name)]
        name: String,
    },
    /// All servers of the pool.
    List {
        /// Prints JSON.
        #[arg(long)]
        json: bool,
    },
    /// Prints what becomes of the list, a line each, as a proxy would hear it.
    Watch {
        /// Ends after so many lines.
        #[arg(long)]
        most: Option<usize>,
    },
    /// Lets go of servers that proxies hold because their leases ended together.
    Release,
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(arguments: Arguments) -> Result<u8, String> {
    let credentials = match std::env::var("CANVASCART_ETCD_USER") {
        Ok(text) => {
            let (name, password) = text
                .split_once(':')
                .ok_or("CANVASCART_ETCD_USER: it is NAME:PASSWORD")?;
            Some((name.to_owned(), password.to_owned()))
        }
        Err(_) => None,
    };
    let settings = Settings {
        credentials,
        ..Settings::new(arguments.endpoints)
    };
    let keys = KeySpace::new(&arguments.prefix, &arguments.pool);
    let done = crate::block_on(act(arguments.command, settings, keys, arguments.pool))?;
    Ok(done.map_or_else(
        |failed| {
            eprintln!("canvascart: {failed}");
            match failed {
                RegistryError::Unavailable(_) => UNREACHED,
                RegistryError::NotFound(_) | RegistryError::NameInUse(_) => OTHERWISE,
                RegistryError::Rejected(_) => REFUSED,
            }
        },
        |()| 0,
    ))
}

async fn act(
    command: Command,
    settings: Settings,
    keys: KeySpace,
    pool: String,
) -> Result<(), RegistryError> {
    if let Command::Watch { most } = command {
        watch(settings, keys, pool, most).await;
        return Ok(());
    }
    let mut registry = Registry::connect(PlaintextConnector, settings, keys).await?;
    match command {
        Command::Register {
            name,
            address,
            size,
            zone,
            kind,
            ttl,
        } => {
            let born_ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis() as u64;
            let entry = EndpointRecord {
                capacity: size,
                zone,
                machine_type: kind,
                started_at_ms: Some(born_ms),
                ..EndpointRecord::new(address)
            };
            register(&mut registry, &name, &entry, Duration::from_secs(ttl)).await
        }
        Command::Drain { name } => registry.set_state(&name, EndpointState::Draining).await,
        Command::Resume { name } => registry.set_state(&name, EndpointState::Up).await,
        Command::Deregister { name } => registry.deregister(&name).await,
        Command::List { json } => {
            list(&registry.list().await?, json);
            Ok(())
        }
        Command::Release => registry.release_retained().await,
        Command::Watch { .. } => Ok(()),
    }
}

/// Keeps a server registered until the command is told to end; then the server leaves.
async fn register(
    registry: &mut Registry<PlaintextConnector>,
    name: &str,
    entry: &EndpointRecord,
    ttl: Duration,
) -> Result<(), RegistryError> {
    let on = |kind| signal(kind).map_err(|e| RegistryError::Rejected(format!("signals: {e}")));
    let (mut term, mut int) = (on(SignalKind::terminate())?, on(SignalKind::interrupt())?);
    let mut registration = registry.register(name, entry, ttl).await?;
    println!("{name} is registered");
    loop {
        let why = tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            why = registry.keep_alive(registration) => why,
        };
        tracing::warn!(%why, "the lease is not renewed; the server registers again");
        // Not all servers at once, when etcd comes back.
        let again = async {
            loop {
                sleep(ttl.mul_f64(0.1 + 0.2 * fastrand::f64())).await;
                if registry.reconnect().await.is_err() {
                    continue;
                }
                match registry.register(name, entry, ttl).await {
                    Ok(registration) => return Ok(registration),
                    Err(RegistryError::Unavailable(_)) => {}
                    Err(e) => return Err(e),
                }
            }
        };
        registration = tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            again = again => again?,
        };
        println!("{name} is registered again");
    }
    registry.deregister(name).await?;
    println!("{name} has left");
    Ok(())
}

fn list(all: &[RegisteredEndpoint], as_json: bool) {
    for server in all {
        let (name, lease) = (&server.name, server.lease);
        match &server.record {
            Ok(entry) if as_json => {
                println!(
                    "{}",
                    json!({ "name": name, "lease": lease, "revision": server.revision, "entry": entry })
                );
            }
            Ok(entry) => {
                let state = json!(entry.state);
                let state = state.as_str().unwrap_or_default();
                let zone = entry.zone.as_deref().unwrap_or("-");
                println!(
                    "{name}  {}  {state}  size {}  zone {zone}  lease {lease:x}",
                    entry.address, entry.capacity
                );
            }
            Err(why) if as_json => {
                println!("{}", json!({ "name": name, "lease": lease, "wrong": why }))
            }
            Err(why) => println!("{name}  its value is of no use: {why}"),
        }
    }
}

async fn watch(settings: Settings, keys: KeySpace, pool: String, most: Option<usize>) {
    let (to, mut updates) = mpsc::unbounded_channel();
    let seed = fastrand::u64(..);
    tokio::spawn(etcd::watch_endpoints(
        PlaintextConnector,
        settings,
        pool,
        keys,
        WatchLimits::default(),
        seed,
        to,
    ));
    let mut left = most.unwrap_or(usize::MAX);
    while let (true, Some(update)) = (left > 0, updates.recv().await) {
        match update {
            DiscoveryUpdate::List(ListChange::Complete(all)) => {
                println!("{}", json!({ "whole": all.len() }))
            }
            DiscoveryUpdate::List(ListChange::Upserted(s)) => {
                println!(
                    "{}",
                    json!({ "is": s.name, "born-ms": s.started_at_ms, "entry": s.record })
                );
            }
            DiscoveryUpdate::List(ListChange::Removed(name)) => {
                println!("{}", json!({ "gone": name }))
            }
            DiscoveryUpdate::Status(status) => {
                let counts = status.endpoints;
                println!(
                    "{}",
                    json!({
                        "state": status.phase.to_string(), "revision": status.revision, "servers": counts.total,
                        "quarantined": counts.quarantined, "held": counts.retained,
                    })
                );
            }
        }
        left -= 1;
    }
}
