//! `canvascart fleet`: registers and administers servers in etcd.

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

/// Exit code: etcd rejects the call, or a stored record can't be read.
const REJECTED: u8 = 1;
/// Exit code: no member of etcd answers.
const UNAVAILABLE: u8 = 3;
/// Exit code: the server does not exist, or another one has its name.
const NOT_FOUND_OR_IN_USE: u8 = 4;

const EXIT_CODES: &str = "Exit codes: 0 done, 1 rejected by etcd, 2 wrong usage, 3 no member of etcd answers, 4 no such server, or another one has \
the name.

If etcd requires authentication, set CANVASCART_ETCD_USER to NAME:PASSWORD.";

#[derive(clap::Args)]
#[command(after_help = EXIT_CODES)]
pub struct FleetArguments {
    /// URL of an etcd member; may be repeated.
    #[arg(
        long = "etcd",
        global = true,
        value_name = "URL",
        default_value = "http://127.0.0.1:2379"
    )]
    endpoints: Vec<String>,
    /// Prefix of the keys.
    #[arg(long, global = true, default_value = "/canvascart/v1")]
    prefix: String,
    /// Pool of the servers.
    #[arg(long, global = true, default_value = "default")]
    pool: String,
    #[command(subcommand)]
    command: Command,
}

fn server_name(text: &str) -> Result<String, String> {
    if is_valid_endpoint_name(text) {
        Ok(text.to_owned())
    } else {
        Err("letters, digits and . _ - : alone, 128 at most".into())
    }
}

#[derive(Subcommand)]
enum Command {
    /// Registers a server and renews its lease until this command is ended; then deregisters it.
    Register {
        #[arg(value_parser = server_name)]
        name: String,
        #[arg(long, value_name = "HOST:PORT")]
        address: SocketAddr,
        /// Approximate number of requests that it processes at once.
        #[arg(long, default_value_t = 1.0)]
        size: f64,
        #[arg(long)]
        zone: Option<String>,
        #[arg(long)]
        kind: Option<String>,
        /// Seconds after the last renewal at which the lease expires.
        #[arg(long, value_name = "SECONDS", default_value_t = 10, value_parser = clap::value_parser!(u64).range(2..=3600))]
        ttl: u64,
    },
    /// Drains a server: it finishes its requests and gets no new ones.
    Drain {
        #[arg(value_parser = server_name)]
        name: String,
    },
    /// Ends the drain of a server.
    Resume {
        #[arg(value_parser = server_name)]
        name: String,
    },
    /// Removes a server.
    Deregister {
        #[arg(value_parser = server_name)]
        name: String,
    },
    /// Lists the servers of the pool.
    List {
        /// Prints one JSON object per server.
        #[arg(long)]
        json: bool,
    },
    /// Watches the list like a proxy, and prints each update as a line of JSON.
    Watch {
        /// Number of lines after which it ends.
        #[arg(long)]
        most: Option<usize>,
    },
    /// Releases servers that proxies retain because their leases expired together.
    Release,
}

/// Runs a command; returns the exit code.
///
/// # Errors
/// Wrong usage.
pub fn run(arguments: FleetArguments) -> Result<u8, String> {
    let credentials = match std::env::var("CANVASCART_ETCD_USER") {
        Ok(text) => {
            let (name, password) = text
                .split_once(':')
                .ok_or("CANVASCART_ETCD_USER: expected NAME:PASSWORD")?;
            Some((name.to_owned(), password.to_owned()))
        }
        Err(_) => None,
    };
    let settings = Settings {
        credentials,
        ..Settings::new(arguments.endpoints)
    };
    let keys = KeySpace::new(&arguments.prefix, &arguments.pool);
    let result = crate::block_on(execute(arguments.command, settings, keys, arguments.pool))?;
    Ok(result.map_or_else(
        |error| {
            eprintln!("canvascart: {error}");
            match error {
                RegistryError::Unavailable(_) => UNAVAILABLE,
                RegistryError::NotFound(_) | RegistryError::NameInUse(_) => NOT_FOUND_OR_IN_USE,
                RegistryError::Rejected(_) | RegistryError::Unreadable(_) => REJECTED,
            }
        },
        |()| 0,
    ))
}

async fn execute(
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
            let started_at_ms = SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .unwrap_or_default()
                .as_millis() as u64;
            let record = EndpointRecord {
                capacity: size,
                zone,
                machine_type: kind,
                started_at_ms: Some(started_at_ms),
                ..EndpointRecord::new(address)
            };
            register(&mut registry, &name, &record, Duration::from_secs(ttl)).await
        }
        Command::Drain { name } => registry.set_state(&name, EndpointState::Draining).await,
        Command::Resume { name } => registry.set_state(&name, EndpointState::Up).await,
        Command::Deregister { name } => registry.deregister(&name).await,
        Command::List { json } => {
            print_list(&registry.list().await?, json);
            Ok(())
        }
        Command::Release => registry.release_retained().await,
        Command::Watch { .. } => Ok(()),
    }
}

/// Keeps a server registered until a signal ends the command, then deregisters it.
async fn register(
    registry: &mut Registry<PlaintextConnector>,
    name: &str,
    record: &EndpointRecord,
    ttl: Duration,
) -> Result<(), RegistryError> {
    let stream = |kind| signal(kind).map_err(|e| RegistryError::Rejected(format!("signals: {e}")));
    let (mut term, mut int) = (
        stream(SignalKind::terminate())?,
        stream(SignalKind::interrupt())?,
    );
    let mut registration = registry.register(name, record, ttl).await?;
    println!("{name} is registered");
    loop {
        let why = tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            why = registry.keep_alive(registration) => why,
        };
        tracing::warn!(%why, "the lease can't be renewed; registering again");
        // A random delay, so that the servers do not all register at once when etcd is back.
        let registered_again = async {
            loop {
                sleep(ttl.mul_f64(0.1 + 0.2 * fastrand::f64())).await;
                if registry.reconnect().await.is_err() {
                    continue;
                }
                match registry.register(name, record, ttl).await {
                    Ok(registration) => return Ok(registration),
                    Err(RegistryError::Unavailable(_)) => {}
                    Err(e) => return Err(e),
                }
            }
        };
        registration = tokio::select! {
            _ = term.recv() => break,
            _ = int.recv() => break,
            result = registered_again => result?,
        };
        println!("{name} is registered again");
    }
    registry.deregister(name).await?;
    println!("{name} is deregistered");
    Ok(())
}

fn print_list(servers: &[RegisteredEndpoint], as_json: bool) {
    for server in servers {
        let (name, lease) = (&server.name, server.lease);
        match &server.record {
            Ok(record) if as_json => {
                println!(
                    "{}",
                    json!({ "name": name, "lease": lease, "revision": server.revision, "entry": record })
                );
            }
            Ok(record) => {
                let state = json!(record.state);
                let state = state.as_str().unwrap_or_default();
                let zone = record.zone.as_deref().unwrap_or("-");
                println!(
                    "{name}  {}  {state}  size {}  zone {zone}  lease {lease:x}",
                    record.address, record.capacity
                );
            }
            Err(why) if as_json => {
                println!("{}", json!({ "name": name, "lease": lease, "wrong": why }))
            }
            Err(why) => println!("{name}  unreadable record: {why}"),
        }
    }
}

async fn watch(settings: Settings, keys: KeySpace, pool: String, max_lines: Option<usize>) {
    let (update_sender, mut updates) = mpsc::unbounded_channel();
    let seed = fastrand::u64(..);
    tokio::spawn(etcd::watch_endpoints(
        PlaintextConnector,
        settings,
        pool,
        keys,
        WatchLimits::default(),
        seed,
        update_sender,
    ));
    let mut lines_left = max_lines.unwrap_or(usize::MAX);
    while let (true, Some(update)) = (lines_left > 0, updates.recv().await) {
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
        lines_left -= 1;
    }
}
