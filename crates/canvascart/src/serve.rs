//! `canvascart serve`: many tenants in one process, as a configuration file says.

use std::path::{Path, PathBuf};
use std::rc::Rc;

use hosted::check;
use hosted::document::Service;
use hosted::plan::Plan;
use hosted::plane::Plane;
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::task::LocalSet;

/// It could not be started.
const NOT_STARTED: u8 = 3;

const CODES: &str = "Exit codes: 0 ended as told, 2 wrong usage or configuration, 3 could not be started.

SIGTERM and SIGINT end it once all that was taken is answered. SIGHUP makes it read the file anew; a file with an error in
it, or a port that can't be had, changes nothing.";

#[derive(clap::Args)]
#[command(after_help = CODES)]
pub struct Arguments {
    /// The configuration, in TOML (docs/hosted.md).
    #[arg(long, value_name = "FILE")]
    config: PathBuf,
    /// Checks the configuration, names all that is wrong with it, and ends.
    #[arg(long)]
    check: bool,
}

#[derive(clap::Subcommand)]
pub enum Config {
    /// Prints the JSON Schema of the configuration of `serve`.
    Schema,
}

/// Prints about the configuration; returns the exit code.
///
/// # Errors
/// The schema can't be made, which is a fault of the program.
pub fn config(command: &Config) -> Result<u8, String> {
    match command {
        Config::Schema => {
            let form = check::form()?;
            println!("{}", serde_json::to_string_pretty(form.schema()).map_err(|e| e.to_string())?);
        }
    }
    Ok(0)
}

/// Serves until it is told to end; returns the exit code.
///
/// # Errors
/// What is wrong with the configuration.
pub fn run(arguments: &Arguments) -> Result<u8, String> {
    let service = read(&arguments.config)?;
    if arguments.check {
        let (tenants, servers) =
            (service.tenants.len(), service.tenants.iter().map(|t| t.servers.len()).sum::<usize>());
        let listeners = service.listeners.len();
        println!(
            "{}: good: {listeners} listeners, {tenants} tenants, {servers} servers",
            arguments.config.display()
        );
        return Ok(0);
    }
    engine::service::log_as("canvascart");
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_all().build().map_err(|e| e.to_string())?;
    let outcome = LocalSet::new().block_on(&runtime, serve(service, &arguments.config));
    runtime.shutdown_background();
    Ok(outcome.unwrap_or_else(|e| {
        tracing::error!(error = e, "it could not be started");
        NOT_STARTED
    }))
}

fn read(file: &Path) -> Result<Service, String> {
    let name = file.display().to_string();
    let text = std::fs::read_to_string(file).map_err(|e| format!("{name}: {e}"))?;
    check::read(&name, &text).map_err(|e| e.to_string())
}

/// The signals that the service knows.
struct Signals {
    term: Signal,
    int: Signal,
    hup: Signal,
}

async fn serve(service: Service, file: &Path) -> Result<u8, String> {
    let on = |kind| signal(kind).map_err(|e| format!("signals: {e}"));
    let mut signals = Signals {
        term: on(SignalKind::terminate())?,
        int: on(SignalKind::interrupt())?,
        hup: on(SignalKind::hangup())?,
    };
    let plane = Plane::new(&service.process);
    plane.apply(service)?;
    loop {
        tokio::select! {
            _ = signals.term.recv() => break,
            _ = signals.int.recv() => break,
            _ = signals.hup.recv() => reload(&plane, file),
        }
    }
    tracing::info!("ends: what was taken is answered");
    plane.drain().await;
    for tenant in plane.status() {
        let (name, ms, refused) = (&tenant.name, tenant.loop_ms.round(), tenant.refused);
        tracing::info!(tenant = name, loop_ms = ms, ?refused, "ended");
    }
    Ok(0)
}

/// Reads the file anew and goes over to what it says.
fn reload(plane: &Rc<Plane>, file: &Path) {
    let next = match read(file) {
        Ok(next) => next,
        Err(e) => {
            for line in e.lines() {
                tracing::error!(error = line, "the new configuration is of no use, and nothing has changed");
            }
            return;
        }
    };
    if next.process != plane.document().process {
        tracing::warn!("[process] holds from start to end; what is new there waits for the next start");
    }
    match plane.apply(next) {
        Ok(plan) if plan.is_empty() => tracing::info!("the configuration is the same"),
        Ok(plan) => tell(&plan),
        Err(e) => tracing::error!(error = e, "the new configuration can't be had, and nothing has changed"),
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
        let (pool, servers, limits) = (change.pool, change.servers, change.limits);
        tracing::info!(tenant = name, pool, servers, limits, "tenant changed");
    }
    let (opened, closed) = (plan.opened.len(), plan.closed.len());
    tracing::info!(opened, closed, routes = plan.routes, "the new configuration is in effect");
}
