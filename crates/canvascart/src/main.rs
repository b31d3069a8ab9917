//! Command-line program of the proxy: client, drills, captures, testbed, multi-tenant service and its administration.

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

/// Runs, administers and tests the proxy.
#[derive(Parser)]
#[command(name = "canvascart", version)]
struct CommandLine {
    #[command(flatten)]
    log: log::LogArguments,
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Sends a lookup or a checkout to a proxy, with retries where they are safe.
    Client(client::ClientArguments),
    /// Reads captures of a proxy.
    #[command(subcommand)]
    Capture(capture::Command),
    /// Injects delays or failures into requests at a proxy.
    #[command(subcommand)]
    Drill(drill::Command),
    /// Runs scenarios on an emulated fleet and checks the rules.
    #[command(subcommand)]
    Lab(lab::Command),
    /// Serves several tenants in one process, each with its own servers, classes and limits.
    Serve(serve::ServeArguments),
    /// Administers a running `serve`: tenants, servers, classes, limits, versions, tokens.
    Admin(admin::AdminArguments),
    /// Administers a cluster of `serve` instances.
    Cluster(cluster::ClusterArguments),
    /// Registers, drains, lists and watches servers in etcd.
    Fleet(fleet::FleetArguments),
    /// Checks, exports and imports the durable state of a `serve` that is not running.
    #[command(subcommand)]
    Store(state::Command),
    /// Prints schemas of `serve`: its configuration and its administration API.
    #[command(subcommand)]
    Config(serve::Config),
    /// Runs a proxy like the program canvascart-proxy, so that tests and the lab need no second binary.
    #[command(hide = true)]
    Proxy {
        #[arg(trailing_var_arg = true, allow_hyphen_values = true)]
        arguments: Vec<OsString>,
    },
}

/// Option for the feature settings.
#[derive(clap::Args)]
struct Properties {
    /// File with the feature settings.
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

/// Runs a future to completion on a runtime of its own. Does not wait for background work that is still running, such as a DNS lookup.
fn block_on<F: Future>(future: F) -> Result<F::Output, String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(|e| e.to_string())?;
    let output = runtime.block_on(future);
    runtime.shutdown_background();
    Ok(output)
}

/// Exit code of a wrong command line or file, the same as for clap's own errors.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let arguments = CommandLine::parse();
    if let Err(message) = arguments.log.start() {
        eprintln!("canvascart: {message}");
        return ExitCode::from(USAGE_ERROR);
    }
    #[cfg(feature = "failpoints")]
    failpoints::watch_file();
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
    ExitCode::from(outcome.unwrap_or_else(|message| {
        eprintln!("canvascart: {message}");
        USAGE_ERROR
    }))
}

#[cfg(test)]
#[path = "../tests/unit/command_line.rs"]
mod tests;
