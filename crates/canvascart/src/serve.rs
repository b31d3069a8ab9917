//! `canvascart serve`: serves several tenants in one process, as configured by a file.

use std::cell::OnceCell;
use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use ::admin_api::{AdminState, Api, ClusterHandle, PlaneCommand, StartupProgress};
use ::endpoint_discovery::KeySpace;
use cluster_runtime::lease::SharedLease;
use cluster_runtime::member::MemberCommand;
use multi_tenant::data_plane::{DataPlane, StartDiscovery};
use multi_tenant::document::Service;
use multi_tenant::plan::Plan;
use multi_tenant::validation;
use tokio::runtime::Handle;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};
use tokio::task::LocalSet;

use crate::cluster;
use crate::demo::{self, Demo};

/// Exit code: the service could not be started.
const START_FAILED: u8 = 3;

/// Time for the release of an instance's lease to be sent before its process ends.
const LEASE_RELEASE_WAIT: Duration = Duration::from_millis(50);

const EXIT_CODES: &str = "Exit codes: 0 ended by a signal, 2 wrong usage or configuration, 3 could not be started.

SIGTERM and SIGINT end it once all accepted requests are answered. SIGHUP makes it reload the file; an invalid file or an
unavailable port changes nothing.";

#[derive(clap::Args)]
#[command(after_help = EXIT_CODES)]
pub struct ServeArguments {
    /// Configuration file, in TOML (docs/hosted.md).
    #[arg(long, value_name = "FILE", required_unless_present = "demo")]
    config: Option<PathBuf>,
    /// Serves two tenants from an emulated fleet in this process and prints the addresses; no state is kept.
    #[arg(long, conflicts_with_all = ["config", "check", "read_only_state"])]
    demo: bool,
    /// With --demo: number of processes of this program that form a cluster.
    #[arg(long, value_name = "N", requires = "demo", value_parser = clap::value_parser!(u8).range(1..=12))]
    instances: Option<u8>,
    /// Checks the configuration, reports all errors, and exits.
    #[arg(long)]
    check: bool,
    /// Opens the state read-only. If its store can't be used, the last known good state is served.
    #[arg(long)]
    read_only_state: bool,
}

#[derive(clap::Subcommand)]
pub enum Config {
    /// Prints the JSON Schema of the configuration of `serve`.
    Schema,
    /// Prints the OpenAPI document of the administration API.
    Openapi,
}

/// Prints a schema; returns the exit code.
///
/// # Errors
/// The schema can't be generated, which is a bug.
pub fn config(command: &Config) -> Result<u8, String> {
    let document = match command {
        Config::Schema => validation::schema_form()?.json_schema().clone(),
        Config::Openapi => ::admin_api::operations::openapi(),
    };
    println!(
        "{}",
        serde_json::to_string_pretty(&document).map_err(|e| e.to_string())?
    );
    Ok(0)
}

/// Serves until a signal ends it; returns the exit code.
///
/// # Errors
/// The configuration is invalid.
pub fn run(arguments: &ServeArguments) -> Result<u8, String> {
    if let Some(instances) = arguments.instances {
        return demo::run_cluster(usize::from(instances));
    }
    let demo = if arguments.demo {
        Some(Demo::new().map_err(|e| format!("--demo: {e}"))?)
    } else {
        None
    };
    let service = match (&demo, &arguments.config) {
        (Some(demo), _) => demo.service()?,
        (None, Some(file)) => read(file)?,
        (None, None) => return Err("--config FILE or --demo is required".into()),
    };
    if let (true, Some(file)) = (arguments.check, &arguments.config) {
        let (tenants, servers) = (
            service.tenants.len(),
            service
                .tenants
                .iter()
                .map(|t| t.servers.len())
                .sum::<usize>(),
        );
        let listeners = service.listeners.len();
        println!(
            "{}: good: {listeners} listeners, {tenants} tenants, {servers} servers",
            file.display()
        );
        return Ok(0);
    }
    proxy_core::service::set_log_name("canvascart");
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let outcome = LocalSet::new().block_on(&runtime, serve(service, arguments, demo.as_ref()));
    runtime.shutdown_background();
    Ok(outcome.unwrap_or_else(|e| {
        tracing::error!(error = e, "it could not be started");
        START_FAILED
    }))
}

/// Reads a configuration.
///
/// # Errors
/// The file can't be read, or is invalid; the message names the lines.
pub fn read(file: &Path) -> Result<Service, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    validation::parse(&name, &text).map_err(|e| e.to_string())
}

/// Signals that the service handles.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

/// Administration API of a service with durable state, and the commands to the data plane that its calls produce.
struct Administration {
    api: Arc<Api>,
    plane_commands: UnboundedReceiver<PlaneCommand>,
    /// Address of the API's listener, if there is one.
    address: Option<SocketAddr>,
    /// Commands to the cluster member, if there is one.
    member: Option<UnboundedSender<MemberCommand>>,
}

async fn serve(
    service: Service,
    arguments: &ServeArguments,
    demo: Option<&Demo>,
) -> Result<u8, String> {
    let stream = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let mut signals = Signals {
        term: stream(SignalKind::terminate())?,
        int: stream(SignalKind::interrupt())?,
        hup: stream(SignalKind::hangup())?,
    };
    let lease = service
        .cluster
        .as_ref()
        .map(|_| Arc::new(SharedLease::default()));
    let gate = service
        .cluster
        .as_ref()
        .zip(lease.clone())
        .map(|(c, lease)| cluster::gate(c, lease));
    let plane = DataPlane::with_gate(&service.process, discovery_starter(), gate);
    let mut administration = match &service.state {
        Some(_) => Some(start_administration(
            &plane,
            &service,
            arguments.read_only_state,
            lease,
        )?),
        None => {
            plane.apply(&service)?;
            None
        }
    };
    if let (Some(demo), Some(administration)) = (demo, &administration) {
        demo.print_addresses(&plane, administration.address);
    }
    loop {
        let plane_command = async {
            match &mut administration {
                Some(administration) => administration.plane_commands.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.int.recv() => break,
            _ = signals.hup.recv() => match &arguments.config {
                Some(file) => reload(&plane, file, administration.as_mut()),
                None => tracing::info!("the demonstration has no configuration to reload"),
            },
            Some(plane_command) = plane_command => plane_command.execute(&plane),
        }
    }
    tracing::info!("shutting down: accepted requests are answered first");
    if let Some(Administration {
        api,
        mut plane_commands,
        member,
        ..
    }) = administration
    {
        if let Some(member) = member {
            leave_cluster(&plane, &mut plane_commands, &member).await;
        }
        api.admin_state().set_read_only("the service is ending");
        while let Ok(plane_command) = plane_commands.try_recv() {
            plane_command.execute(&plane);
        }
        api.write_snapshot();
    }
    plane.drain().await;
    let activation = plane.activation_status();
    let (wakes, rests, refused) = (
        activation.activations,
        activation.deactivations,
        activation.deferrals,
    );
    tracing::info!(
        tenants = activation.tenants,
        wakes,
        rests,
        refused,
        "tenant activations until the end"
    );
    for tenant in plane.status(MAX_LOGGED_TENANTS) {
        let (name, ms, refused) = (&tenant.name, tenant.loop_ms.round(), tenant.rejections);
        tracing::info!(tenant = name, loop_ms = ms, ?refused, "ended");
    }
    Ok(0)
}

/// Maximum number of tenants that are logged at the end.
const MAX_LOGGED_TENANTS: usize = 1024;

/// Shuts down an instance of a cluster: answers all accepted requests while still applying new versions, then releases the
/// lease, so that no change waits for this instance.
async fn leave_cluster(
    plane: &DataPlane,
    plane_commands: &mut UnboundedReceiver<PlaneCommand>,
    member: &UnboundedSender<MemberCommand>,
) {
    let drained = plane.drain();
    tokio::pin!(drained);
    loop {
        tokio::select! {
            () = &mut drained => break,
            Some(plane_command) = plane_commands.recv() => plane_command.execute(plane),
        }
    }
    let _ = member.send(MemberCommand::ReleaseLease); // a member that has ended has released its lease
    tokio::time::sleep(LEASE_RELEASE_WAIT).await;
}

/// Returns the function that starts watching a tenant's endpoints in etcd. All watches run on one separate thread, to keep their
/// work off the request loop; it starts with the first watch.
fn discovery_starter() -> StartDiscovery {
    let thread: OnceCell<Option<Handle>> = OnceCell::new();
    Box::new(move |tenant, settings, seed| {
        let (update_sender, updates) = tokio::sync::mpsc::unbounded_channel();
        let pool = settings.pool.clone().unwrap_or_else(|| tenant.name.clone());
        let keys = KeySpace::new(&settings.prefix, &pool);
        let mut limits = ::endpoint_discovery::WatchLimits::default();
        limits.table.mass_expiry_ratio = settings.mass_expiry_ratio.0;
        limits.table.retention_ms = settings.retention.0 as u64;
        let credentials = settings.user_file.as_ref().and_then(|file| match std::fs::read_to_string(file) {
            Ok(text) => text.trim().split_once(':').map(|(name, password)| (name.to_owned(), password.to_owned())),
            Err(e) => {
                tracing::error!(tenant = tenant.name, file, error = %e, "etcd credentials can't be read");
                None
            }
        });
        let etcd_settings = etcd::Settings {
            credentials,
            ..etcd::Settings::new(settings.etcd.clone())
        };
        let watch = etcd::watch_endpoints(
            etcd::PlaintextConnector,
            etcd_settings,
            tenant.name.clone(),
            keys,
            limits,
            seed,
            update_sender,
        );
        match thread.get_or_init(|| {
            start_discovery_thread()
                .map_err(|e| tracing::error!(error = %e, "the endpoint discovery thread can't be started"))
                .ok()
        }) {
            Some(handle) => drop(handle.spawn(watch)),
            None => tracing::error!(tenant = tenant.name, "its endpoint list can't be watched"),
        }
        updates
    })
}

fn start_discovery_thread() -> std::io::Result<Handle> {
    let (handle_sender, handle_receiver) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("lists".into())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let _ = handle_sender.send(
                runtime
                    .as_ref()
                    .map(|r| r.handle().clone())
                    .map_err(|e| std::io::Error::other(e.to_string())),
            );
            if let Ok(runtime) = runtime {
                runtime.block_on(std::future::pending::<()>());
            }
        })?;
    handle_receiver.recv().map_err(std::io::Error::other)?
}

/// Opens the durable state, applies it, and starts the administration API on a thread of its own, and in a cluster the member.
fn start_administration(
    plane: &Rc<DataPlane>,
    file: &Service,
    read_only: bool,
    lease: Option<Arc<SharedLease>>,
) -> Result<Administration, String> {
    let (started_at, now_ms) = (Instant::now(), unix_ms());
    let admin_state = AdminState::open(file, read_only, now_ms)?;
    if admin_state.version() > 0 && !file.tenants.is_empty() {
        tracing::info!(
            version = admin_state.version(),
            "tenants come from the durable state; those of the file are ignored"
        );
    }
    plane.apply_catalog(admin_state.catalog().clone())?;
    let (version, tenants) = (admin_state.version(), admin_state.catalog().len());
    tracing::info!(version, tenants, "the state is in effect");
    let (member_commands, command_receiver) = unbounded_channel();
    let member = lease.as_ref().map(|_| member_commands.clone());
    let start = file
        .cluster
        .as_ref()
        .map(|c| StartupProgress::new(started_at, cluster::startup_settings(c)));
    let cluster_handle = member
        .clone()
        .zip(start)
        .map(|(commands, start)| ClusterHandle::new(commands, file.clone(), start));
    let (api, plane_commands) = Api::with_cluster(admin_state, cluster_handle);
    let member_events = match (&file.cluster, lease) {
        (Some(_), Some(lease)) => Some(cluster::join(file, &api, command_receiver, lease)?),
        _ => None,
    };
    let mut api_address = None;
    let listener = match &file.admin {
        Some(settings) => {
            let error_text = |e: std::io::Error| format!("admin: {}: {e}", settings.address);
            let listener = TcpListener::bind(&settings.address).map_err(error_text)?;
            listener.set_nonblocking(true).map_err(error_text)?;
            let address = listener.local_addr().map_err(error_text)?;
            tracing::info!(%address, "the administration API listens");
            api_address = Some(address);
            Some(listener)
        }
        None => None,
    };
    if listener.is_some() || member_events.is_some() {
        let served = api.clone();
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(async {
                let follower = member_events.map(|events| {
                    tokio::spawn(served.clone().run_startup());
                    tokio::spawn(served.clone().handle_member_events(events))
                });
                match (listener, follower) {
                    (Some(listener), _) => served.serve(listener).await,
                    (None, Some(follower)) => follower.await.map_err(std::io::Error::other),
                    (None, None) => Ok(()),
                }
            })
        };
        let run = move || {
            if let Err(e) = run() {
                tracing::error!(error = %e, "the administration API has ended");
            }
        };
        std::thread::Builder::new()
            .name("admin".into())
            .spawn(run)
            .map_err(|e| e.to_string())?;
    }
    Ok(Administration {
        api,
        plane_commands,
        address: api_address,
        member,
    })
}

/// Returns the Unix time.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Reloads the configuration file and applies it; with durable state, only its listeners are applied.
fn reload(plane: &Rc<DataPlane>, file: &Path, administration: Option<&mut Administration>) {
    let next = match read(file) {
        Ok(next) => next,
        Err(e) => {
            for line in e.lines() {
                tracing::error!(
                    error = line,
                    "the new configuration is invalid; nothing has changed"
                );
            }
            return;
        }
    };
    let current = plane.catalog();
    let current = current.base();
    if (&next.process, &next.admin, &next.state, &next.cluster)
        != (
            &current.process,
            &current.admin,
            &current.state,
            &current.cluster,
        )
    {
        tracing::warn!(
            "changes of [process], [admin], [state] and [cluster] take effect at the next start"
        );
    }
    let result = match administration {
        None => plane.apply(&next),
        Some(Administration {
            api,
            plane_commands,
            ..
        }) => {
            // Holding the state's lock prevents new commits; commands of earlier commits are executed first.
            let mut admin_state = api.admin_state();
            while let Ok(plane_command) = plane_commands.try_recv() {
                plane_command.execute(plane);
            }
            admin_state.prepare_reload(&next).and_then(|prepared| {
                let (plan, catalog) = (prepared.plan.clone(), prepared.next.clone());
                plane.apply_prepared(prepared)?;
                admin_state.finish_reload(catalog);
                drop(admin_state);
                api.configuration_reloaded(next);
                Ok(plan)
            })
        }
    };
    match result {
        Ok(plan) if plan.is_empty() => tracing::info!("the configuration is the same"),
        Ok(plan) => log_plan(&plan),
        Err(e) => tracing::error!(
            error = e,
            "the new configuration can't be applied; nothing has changed"
        ),
    }
}

fn log_plan(plan: &Plan) {
    for name in &plan.added {
        tracing::info!(tenant = name, "tenant added");
    }
    for name in &plan.removed {
        tracing::info!(tenant = name, "tenant removed");
    }
    for (name, change) in &plan.changed {
        let (pool, servers, limits) = (change.settings, change.servers, change.limits);
        tracing::info!(tenant = name, pool, servers, limits, "tenant changed");
    }
    let (opened, closed) = (plan.opened.len(), plan.closed.len());
    tracing::info!(
        opened,
        closed,
        routes = plan.routes,
        "the new configuration is in effect"
    );
}
