//! `canvascart serve --demo`: two tenants on an emulated fleet in this process, with an administration API and without a
//! configuration file.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use ::lab::service::fleet::{Fleet, FleetSettings};
use ::lab::{demo, experiment, shipped};
use multi_tenant::data_plane::DataPlane;
use multi_tenant::document::Service;
use multi_tenant::validation;
use serde_json::{Value, json};

/// Cluster settings of the demonstration: leases short enough to watch them expire.
const CLUSTER_SETTINGS: &str = "lease = \"5 s\"\nchange-lease = \"2 s\"\ndeadline = \"20 s\"";

/// Scenario that defines the emulated fleet.
const SCENARIO: &str = "evening";
/// Names of the tenants, and their weights.
const TENANTS: [(&str, f64); 2] = [("north", 2.0), ("south", 1.0)];

/// Emulated fleet and state directory of the demonstration; the directory is removed on drop.
pub struct Demo {
    members: Vec<demo::DemoServer>,
    classes: Value,
    directory: PathBuf,
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory); // best effort: it is in the system's temporary directory
    }
}

impl Demo {
    /// Starts the emulated fleet.
    ///
    /// # Errors
    /// A port or a thread is not available.
    pub fn new() -> io::Result<Self> {
        let text = shipped::text(SCENARIO).unwrap_or_default();
        let scenario = experiment::with_settings(SCENARIO, text, &[]).map_err(io::Error::other)?;
        let members = demo::start(&scenario, 1)?;
        let class = |class: &::lab::scenario::Class| {
            let effect = match class.effect {
                ::lab::scenario::Effect::Safe => "safe",
                ::lab::scenario::Effect::Unsafe => "unsafe",
            };
            json!({
                "name": class.name, "effect": effect, "aim": class.aim.to_string(), "deadline": class.deadline.to_string(),
                "worth": class.worth, "late-worth": class.late_worth.to_string(),
            })
        };
        let classes = scenario.classes.iter().map(class).collect();
        let directory =
            std::env::temp_dir().join(format!("canvascart-demo-{}", std::process::id()));
        Ok(Demo {
            members,
            classes,
            directory,
        })
    }

    /// Builds the configuration: the servers are assigned to the tenants in turn, and all tenants share the last one.
    ///
    /// # Errors
    /// The configuration is invalid, which is a bug.
    pub fn service(&self) -> Result<Service, String> {
        let server = |member: &demo::DemoServer, connections: Option<u64>| {
            let mut server = json!({
                "name": member.name, "address": member.address, "size": 4.0 * member.cores, "zone": member.zone, "kind": member.kind,
            });
            if let Some(connections) = connections {
                server["connections"] = connections.into();
            }
            server
        };
        let (shared, own) = self.members.split_last().ok_or("the fleet is empty")?;
        let tenant = |(index, (name, weight)): (usize, &(&str, f64))| {
            let tenant_servers = own.iter().skip(index).step_by(TENANTS.len());
            let servers: Vec<Value> = tenant_servers
                .map(|m| server(m, None))
                .chain([server(shared, Some(16))])
                .collect();
            json!({
                "name": name, "hosts": [format!("{name}.example")], "limits": { "weight": weight },
                "class": self.classes, "server": servers,
            })
        };
        let listener = |(name, _): &(&str, f64)| json!({ "name": name, "address": "127.0.0.1:0", "tenant-by": "listener", "tenant": name });
        let document = json!({
            "admin": { "address": "127.0.0.1:0" },
            "state": { "directory": self.directory.display().to_string() },
            "listener": TENANTS.iter().map(listener).collect::<Vec<_>>(),
            "tenant": TENANTS.iter().enumerate().map(tenant).collect::<Vec<_>>(),
        });
        let service: Service = serde_json::from_value(document).map_err(|e| e.to_string())?;
        let errors = validation::validate(&service);
        let messages: Vec<String> = errors
            .iter()
            .map(|e| format!("{}: {}", e.key(), e.message))
            .collect();
        if messages.is_empty() {
            Ok(service)
        } else {
            Err(messages.join("\n"))
        }
    }

    /// Prints the addresses and the administration command.
    pub fn print_addresses(&self, plane: &DataPlane, admin: Option<SocketAddr>) {
        println!(
            "Two tenants on an emulated fleet of {} servers, until Ctrl-C:",
            self.members.len()
        );
        for (name, address) in plane.listener_addresses() {
            println!(
                "  {name:<6} http://{address}/lookup/1     (POST http://{address}/checkout/1)"
            );
        }
        let Some(admin) = admin else { return };
        let token = self.directory.join(::admin_api::OPERATOR_TOKEN_FILE);
        println!("Administration:");
        println!(
            "  canvascart admin --url http://{admin} --token-file {} status",
            token.display()
        );
        println!("  API document: http://{admin}/v1/openapi.json");
    }
}

/// Runs the same fleet behind a cluster of `count` processes of this program until Ctrl-C; returns the exit code.
///
/// # Errors
/// A process does not start.
pub fn run_cluster(count: usize) -> Result<u8, String> {
    let error_text = |e: io::Error| format!("--demo: {e}");
    let demo = Demo::new().map_err(error_text)?;
    let tenants = toml::to_string(&json!({ "tenant": demo.service()?.tenants }))
        .map_err(|e| e.to_string())?;
    let settings = FleetSettings {
        cluster: CLUSTER_SETTINGS.into(),
        tenants,
        zones: 3,
    };
    let command = [std::env::current_exe()
        .map_err(error_text)?
        .to_string_lossy()
        .into_owned()];
    let mut fleet = Fleet::new(&command, count, &settings, &demo.directory).map_err(error_text)?;
    for i in 0..count {
        fleet.start(i).map_err(error_text)?;
    }
    fleet.ready().map_err(error_text)?;
    println!(
        "Two tenants on an emulated fleet of {} servers, behind a cluster of {count} instances:",
        demo.members.len()
    );
    for i in 0..count {
        let url = |a: Option<SocketAddr>| a.map_or("-".into(), |a| format!("http://{a}"));
        println!(
            "  {}  process {:<8} {}/lookup/1   administration {}",
            fleet.name(i),
            fleet.process_id(i).unwrap_or(0),
            url(fleet.public(i)),
            url(fleet.admin(i))
        );
    }
    let admin = fleet
        .admin(0)
        .map_or(String::new(), |a| format!("--url http://{a}"));
    let token = format!(
        "--token-file {}",
        fleet
            .state(0)
            .join(::admin_api::OPERATOR_TOKEN_FILE)
            .display()
    );
    println!("Send a request:           curl -H 'X-Tenant-Id: north' ADDRESS/lookup/1");
    println!("Show the cluster's state: canvascart cluster {admin} {token} status");
    println!("Change a limit:           canvascart admin {admin} {token} limits north weight=3");
    println!(
        "Pause one, change again:  kill -STOP PROCESS; the change waits for its lease of 5 s; kill -CONT PROCESS"
    );
    println!("Kill the leader:          kill -9 PROCESS; another one leads within 3 s");
    println!("Ctrl-C stops all processes.");
    crate::block_on(tokio::signal::ctrl_c())?.map_err(error_text)?;
    Ok(0)
}
