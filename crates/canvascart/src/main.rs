//! The operators' command.

mod admin;
mod capture;
mod client;
mod cluster;
mod demo;
mod drill;
#[cfg(feature = "failpoints")]
mod failpoints;
mod fleet;
mod lab;
mod log;
mod replay;
mod serve;
mod state;

use std::ffi::OsString;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use settings::properties::FeatureSettings;

/// Tools for those who run and use the proxy.
#[derive(Parser)]
#[command(name = "canvascart", version)]
struct Arguments {
    #[command(flatten)]
    log: log::Arguments,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Asks a proxy for a lookup or a checkout, and tries again where that is safe.
    Client(client::Arguments),
    /// Reads what a proxy has captured.
    #[command(subcommand)]
    Capture(capture::Command),
    /// Rehearses slow or failing servers at a proxy.
    #[command(subcommand)]
    Drill(drill::Command),
    /// Plays scenarios on an emulated fleet, and judges the rules.
    #[command(subcommand)]
    Lab(lab::Command),
    /// Serves many tenants in one process, each with servers, classes and limits of its own.
    Serve(serve::Arguments),
    /// Administers a running `serve`: tenants, servers, classes, limits, versions, tokens.
    Admin(admin::Arguments),
    /// Looks after the instances of a `serve` that act as one.
    Cluster(cluster::Arguments),
    /// Registers servers in etcd, drains them, lists them, watches them.
    Fleet(fleet::Arguments),
    /// Looks after the durable state of a `serve` that does not run.
    #[command(subcommand)]
    Store(state::Command),
    /// Tells of the configuration of `serve`.
    #[command(subcommand)]
    Config(serve::Config),
    /// Runs a proxy, as the program canvascart-proxy does: for tests and the lab, which need nothing else built.
    #[command(hide = true)]
    Proxy {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

/// The file with the features' settings.
#[derive(clap::Args)]
struct Properties {
    /// The file with the features' settings.
    #[arg(long, value_name = "FILE")]
    properties: Option<PathBuf>,
}

impl Properties {
    fn read(&self) -> Result<FeatureSettings, String> {
        let read = |file: &Path| FeatureSettings::read(file).map_err(|e| e.to_string());
        self.properties
            .as_deref()
            .map_or_else(|| Ok(FeatureSettings::default()), read)
    }
}

/// Runs a future to its end on a runtime of its own. What it leaves behind, such as the look-up of a name, does
/// not outlast it.
fn block_on<F: Future>(future: F) -> Result<F::Output, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let output = runtime.block_on(future);
    runtime.shutdown_background();
    Ok(output)
}

/// What the command line or a file gets wrong, as clap's own errors.
const USAGE: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    if let Err(text) = arguments.log.start() {
        eprintln!("canvascart: {text}");
        return ExitCode::from(USAGE);
    }
    #[cfg(feature = "failpoints")]
    failpoints::follow();
    let outcome = match arguments.command {
        Command::Client(arguments) => client::run(arguments),
        Command::Capture(command) => capture::run(command),
        Command::Drill(command) => drill::run(command),
        Command::Lab(command) => lab::run(command),
        Command::Serve(arguments) => serve::run(&arguments),
        Command::Admin(arguments) => admin::run(arguments),
        Command::Cluster(arguments) => cluster::run(arguments),
        Command::Fleet(arguments) => fleet::run(arguments),
        Command::Store(command) => state::run(&command),
        Command::Config(command) => serve::config(&command),
        Command::Proxy { arguments } => return proxy_core::process::main(arguments.into_iter()),
    };
    ExitCode::from(outcome.unwrap_or_else(|text| {
        eprintln!("canvascart: {text}");
        USAGE
    }))
}
