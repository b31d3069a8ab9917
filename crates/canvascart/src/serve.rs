//! `canvascart serve`: many tenants in one process, as a configuration file says.

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

/// It could not be started.
const NOT_STARTED: u8 = 3;

/// How long an instance that ends waits for its last word to go out.
const PARTING: Duration = Duration::from_millis(50);

const CODES: &str = "Exit codes: 0 ended as told, 2 wrong usage or configuration, 3 could not be started.

SIGTERM and SIGINT end it once all that was taken is answered. SIGHUP makes it read the file anew; a file with an error in
it, or a port that can't be had, changes nothing.";

#[derive(clap::Args)]
#[command(after_help = CODES)]
pub struct Arguments {
    /// The configuration, in TOML (docs/hosted.md).
    #[arg(long, value_name = "FILE", required_unless_present = "demo")]
    config: Option<PathBuf>,
    /// Serves two tenants from an emulated fleet in this process, and tells where; nothing of it is kept.
    #[arg(long, conflicts_with_all = ["config", "check", "read_only_state"])]
    demo: bool,
    /// With --demo: so many processes of this program that act as one.
    #[arg(long, value_name = "N", requires = "demo", value_parser = clap::value_parser!(u8).range(1..=12))]
    instances: Option<u8>,
    /// Checks the configuration, names all that is wrong with it, and ends.
    #[arg(long)]
    check: bool,
    /// Changes nothing in the state. If its store can't be used, the last known good state is served.
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

/// Prints about the configuration; returns the exit code.
///
/// # Errors
/// The schema can't be made, which is a fault of the program.
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

/// Serves until it is told to end; returns the exit code.
///
/// # Errors
/// What is wrong with the configuration.
pub fn run(arguments: &Arguments) -> Result<u8, String> {
    if let Some(instances) = arguments.instances {
        return demo::among(usize::from(instances));
    }
    let demo = if arguments.demo {
        Some(Demo::new().map_err(|e| format!("--demo: {e}"))?)
    } else {
        None
    };
    let service = match (&demo, &arguments.config) {
        (Some(demo), _) => demo.service()?,
        (None, Some(file)) => read(file)?,
        (None, None) => return Err("give --config FILE, or --demo".into()),
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
        NOT_STARTED
    }))
}

/// Reads a configuration.
///
/// # Errors
/// What is wrong with it, and where.
pub fn read(file: &Path) -> Result<Service, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    validation::parse(&name, &text).map_err(|e| e.to_string())
}

/// The signals that the service knows.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

/// The administration API and the orders that come of it, where there is durable state.
struct Administration {
    api: Arc<Api>,
    orders: UnboundedReceiver<PlaneCommand>,
    /// Where the API listens, if it does.
    address: Option<SocketAddr>,
    /// The cluster's member, where there is one.
    member: Option<UnboundedSender<MemberCommand>>,
}

async fn serve(service: Service, arguments: &Arguments, demo: Option<&Demo>) -> Result<u8, String> {
    let on = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let mut signals = Signals {
        term: on(SignalKind::terminate())?,
        int: on(SignalKind::interrupt())?,
        hup: on(SignalKind::hangup())?,
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
    let plane = DataPlane::with_gate(&service.process, lists(), gate);
    let mut administration = match &service.state {
        Some(_) => Some(administer(
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
        demo.tell(&plane, administration.address);
    }
    loop {
        let order = async {
            match &mut administration {
                Some(administration) => administration.orders.recv().await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.int.recv() => break,
            _ = signals.hup.recv() => match &arguments.config {
                Some(file) => reload(&plane, file, administration.as_mut()),
                None => tracing::info!("the demonstration has no configuration to read anew"),
            },
            Some(order) = order => order.execute(&plane),
        }
    }
    tracing::info!("ends: what was taken is answered");
    if let Some(Administration {
        api,
        mut orders,
        member,
        ..
    }) = administration
    {
        if let Some(member) = member {
            end_among(&plane, &mut orders, &member).await;
        }
        api.admin_state().set_read_only("the service is ending");
        while let Ok(order) = orders.try_recv() {
            order.execute(&plane);
        }
        api.write_snapshot();
    }
    plane.drain().await;
    let residency = plane.activation_status();
    let (wakes, rests, refused) = (
        residency.activations,
        residency.deactivations,
        residency.deferrals,
    );
    tracing::info!(
        tenants = residency.tenants,
        wakes,
        rests,
        refused,
        "residency at the end"
    );
    for tenant in plane.status(MOST_TOLD) {
        let (name, ms, refused) = (&tenant.name, tenant.loop_ms.round(), tenant.rejections);
        tracing::info!(tenant = name, loop_ms = ms, ?refused, "ended");
    }
    Ok(0)
}

/// Tenants that get a line at the end.
const MOST_TOLD: usize = 1024;

/// Ends an instance of a cluster: what was taken is answered, under whatever version takes hold meanwhile; then it holds
/// nothing that a change would wait for.
async fn end_among(
    plane: &DataPlane,
    orders: &mut UnboundedReceiver<PlaneCommand>,
    member: &UnboundedSender<MemberCommand>,
) {
    let drained = plane.drain();
    tokio::pin!(drained);
    loop {
        tokio::select! {
            () = &mut drained => break,
            Some(order) = orders.recv() => order.execute(plane),
        }
    }
    let _ = member.send(MemberCommand::ReleaseLease); // one that has ended rests already
    tokio::time::sleep(PARTING).await;
}

/// Follows tenants' lists on a thread of its own, so that no list takes time of the loop that serves. The thread is there once
/// the first list is.
fn lists() -> StartDiscovery {
    let thread: OnceCell<Option<Handle>> = OnceCell::new();
    Box::new(move |tenant, settings, seed| {
        let (to, updates) = tokio::sync::mpsc::unbounded_channel();
        let pool = settings.pool.clone().unwrap_or_else(|| tenant.name.clone());
        let keys = KeySpace::new(&settings.prefix, &pool);
        let mut limits = ::endpoint_discovery::WatchLimits::default();
        limits.table.mass_expiry_ratio = settings.mass_expiry_ratio.0;
        limits.table.retention_ms = settings.retention.0 as u64;
        let credentials = settings.user_file.as_ref().and_then(|file| match std::fs::read_to_string(file) {
            Ok(text) => text.trim().split_once(':').map(|(n, p)| (n.to_owned(), p.to_owned())),
            Err(e) => {
                tracing::error!(tenant = tenant.name, file, error = %e, "etcd's user can't be read");
                None
            }
        });
        let etcd = etcd::Settings {
            credentials,
            ..etcd::Settings::new(settings.etcd.clone())
        };
        let follow = etcd::watch_endpoints(
            etcd::PlaintextConnector,
            etcd,
            tenant.name.clone(),
            keys,
            limits,
            seed,
            to,
        );
        match thread.get_or_init(|| {
            lists_thread()
                .map_err(|e| tracing::error!(error = %e, "lists"))
                .ok()
        }) {
            Some(handle) => drop(handle.spawn(follow)),
            None => tracing::error!(tenant = tenant.name, "its list can't be followed"),
        }
        updates
    })
}

fn lists_thread() -> std::io::Result<Handle> {
    let (tell, told) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("lists".into())
        .spawn(move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build();
            let _ = tell.send(
                runtime
                    .as_ref()
                    .map(|r| r.handle().clone())
                    .map_err(|e| std::io::Error::other(e.to_string())),
            );
            if let Ok(runtime) = runtime {
                runtime.block_on(std::future::pending::<()>());
            }
        })?;
    told.recv().map_err(std::io::Error::other)?
}

/// Opens the state, serves what it says, and starts the administration API on a thread of its own; in a cluster, the member too.
fn administer(
    plane: &Rc<DataPlane>,
    file: &Service,
    read_only: bool,
    lease: Option<Arc<SharedLease>>,
) -> Result<Administration, String> {
    let (began, now_ms) = (Instant::now(), unix_ms());
    let admin_state = AdminState::open(file, read_only, now_ms)?;
    if admin_state.version() > 0 && !file.tenants.is_empty() {
        tracing::info!(
            version = admin_state.version(),
            "tenants are the state's; those of the file are not looked at"
        );
    }
    plane.apply_catalog(admin_state.catalog().clone())?;
    let (version, tenants) = (admin_state.version(), admin_state.catalog().len());
    tracing::info!(version, tenants, "the state is in effect");
    let (said, hears) = unbounded_channel();
    let member = lease.as_ref().map(|_| said.clone());
    let start = file
        .cluster
        .as_ref()
        .map(|c| StartupProgress::new(began, cluster::start(c)));
    let cluster_handle = member
        .clone()
        .zip(start)
        .map(|(said, start)| ClusterHandle::new(said, file.clone(), start));
    let (api, orders) = Api::with_cluster(admin_state, cluster_handle);
    let told = match (&file.cluster, lease) {
        (Some(_), Some(lease)) => Some(cluster::join(file, &api, hears, lease)?),
        _ => None,
    };
    let mut listens = None;
    let listener = match &file.admin {
        Some(settings) => {
            let at = |e: std::io::Error| format!("admin: {}: {e}", settings.address);
            let listener = TcpListener::bind(&settings.address).map_err(at)?;
            listener.set_nonblocking(true).map_err(at)?;
            let address = listener.local_addr().map_err(at)?;
            tracing::info!(%address, "the administration API listens");
            listens = Some(address);
            Some(listener)
        }
        None => None,
    };
    if listener.is_some() || told.is_some() {
        let served = api.clone();
        let run = move || {
            let runtime = tokio::runtime::Builder::new_current_thread()
                .enable_all()
                .build()?;
            runtime.block_on(async {
                let follows = told.map(|told| {
                    tokio::spawn(served.clone().run_startup());
                    tokio::spawn(served.clone().handle_member_events(told))
                });
                match (listener, follows) {
                    (Some(listener), _) => served.serve(listener).await,
                    (None, Some(follows)) => follows.await.map_err(std::io::Error::other),
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
        orders,
        address: listens,
        member,
    })
}

/// Unix time.
pub fn unix_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis() as u64
}

/// Reads the file anew and goes over to what it says; where there is durable state, to its listeners alone.
fn reload(plane: &Rc<DataPlane>, file: &Path, administration: Option<&mut Administration>) {
    let next = match read(file) {
        Ok(next) => next,
        Err(e) => {
            for line in e.lines() {
                tracing::error!(
                    error = line,
                    "the new configuration is of no use, and nothing has changed"
                );
            }
            return;
        }
    };
    let now = plane.catalog();
    let now = now.base();
    if (&next.process, &next.admin, &next.state, &next.cluster)
        != (&now.process, &now.admin, &now.state, &now.cluster)
    {
        tracing::warn!(
            "[process], [admin], [state] and [cluster] hold from start to end; what is new there waits for the next start"
        );
    }
    let done = match administration {
        None => plane.apply(&next),
        Some(Administration { api, orders, .. }) => {
            // While the state is locked nothing is stored; what is stored is carried out first.
            let mut admin_state = api.admin_state();
            while let Ok(order) = orders.try_recv() {
                order.execute(plane);
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
    match done {
        Ok(plan) if plan.is_empty() => tracing::info!("the configuration is the same"),
        Ok(plan) => tell(&plan),
        Err(e) => tracing::error!(
            error = e,
            "the new configuration can't be had, and nothing has changed"
        ),
    }
}

fn tell(plan: &Plan) {
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
