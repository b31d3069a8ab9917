//! `canvascart serve --demo`: two tenants, an emulated fleet in this process, and an administration API, with nothing to
//! write first.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use ::lab::service::fleet::{Fleet, Terms};
use ::lab::{demo, experiment, shipped};
use multi_tenant::data_plane::DataPlane;
use multi_tenant::document::Service;
use multi_tenant::validation;
use serde_json::{Value, json};

/// What instances of a demonstration go by: leases that run out while somebody looks on.
const CLUSTER: &str = "lease = \"5 s\"\nchange-lease = \"2 s\"\ndeadline = \"20 s\"";

/// The scenario whose fleet it is.
const SCENARIO: &str = "evening";
/// The tenants, and their weights.
const TENANTS: [(&str, f64); 2] = [("north", 2.0), ("south", 1.0)];

/// The demonstration's fleet and files; the files go with it.
pub struct Demo {
    members: Vec<demo::Member>,
    classes: Value,
    directory: PathBuf,
}

impl Drop for Demo {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.directory); // in the place for what does not last, anyway
    }
}

impl Demo {
    /// Starts the fleet.
    ///
    /// # Errors
    /// A port, a thread or the directory can't be had.
    pub fn new() -> io::Result<Self> {
        let text = shipped::text(SCENARIO).unwrap_or_default();
        let scenario = experiment::with_settings(SCENARIO, text, &[]).map_err(io::Error::other)?;
        let members = demo::start(&scenario, 1)?;
        let class = |c: &::lab::scenario::Class| {
            let effect = match c.effect {
                ::lab::scenario::Effect::Safe => "safe",
                ::lab::scenario::Effect::Unsafe => "unsafe",
            };
            json!({
                "name": c.name, "effect": effect, "aim": c.aim.to_string(), "deadline": c.deadline.to_string(),
                "worth": c.worth, "late-worth": c.late_worth.to_string(),
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

    /// The service: the fleet's servers are dealt to the tenants in turn, and the last one is shared.
    ///
    /// # Errors
    /// A fault of the program.
    pub fn service(&self) -> Result<Service, String> {
        let server = |m: &demo::Member, connections: Option<u64>| {
            let mut server = json!({
                "name": m.name, "address": m.address, "size": 4.0 * m.cores, "zone": m.zone, "kind": m.kind,
            });
            if let Some(connections) = connections {
                server["connections"] = connections.into();
            }
            server
        };
        let (shared, own) = self.members.split_last().ok_or("the fleet is empty")?;
        let tenant = |(n, (name, weight)): (usize, &(&str, f64))| {
            let mine = own.iter().skip(n).step_by(TENANTS.len());
            let servers: Vec<Value> = mine
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
        let faults = validation::validate(&service);
        let all: Vec<String> = faults
            .iter()
            .map(|f| format!("{}: {}", f.key(), f.message))
            .collect();
        if all.is_empty() {
            Ok(service)
        } else {
            Err(all.join("\n"))
        }
    }

    /// Tells where everything is.
    pub fn tell(&self, plane: &DataPlane, admin: Option<SocketAddr>) {
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
        println!("  the API's document: http://{admin}/v1/openapi.json");
    }
}

/// The same fleet behind several processes of this program that act as one, until it is ended; returns the exit code.
///
/// # Errors
/// A process does not come up.
pub fn among(count: usize) -> Result<u8, String> {
    let text = |e: io::Error| format!("--demo: {e}");
    let demo = Demo::new().map_err(text)?;
    let tenants = toml::to_string(&json!({ "tenant": demo.service()?.tenants }))
        .map_err(|e| e.to_string())?;
    let terms = Terms {
        cluster: CLUSTER.into(),
        tenants,
        zones: 3,
    };
    let command = [std::env::current_exe()
        .map_err(text)?
        .to_string_lossy()
        .into_owned()];
    let mut fleet = Fleet::new(&command, count, &terms, &demo.directory).map_err(text)?;
    for i in 0..count {
        fleet.start(i).map_err(text)?;
    }
    fleet.ready().map_err(text)?;
    println!(
        "Two tenants on an emulated fleet of {} servers, behind {count} instances that act as one:",
        demo.members.len()
    );
    for i in 0..count {
        let at = |a: Option<SocketAddr>| a.map_or("-".into(), |a| format!("http://{a}"));
        println!(
            "  {}  process {:<8} {}/lookup/1   administration {}",
            fleet.name(i),
            fleet.id(i).unwrap_or(0),
            at(fleet.public(i)),
            at(fleet.admin(i))
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
    println!("Ask for something:        curl -H 'X-Tenant-Id: north' ADDRESS/lookup/1");
    println!("Look:                     canvascart cluster {admin} {token} status");
    println!("Change something:         canvascart admin {admin} {token} limits north weight=3");
    println!(
        "Stop one and change again: kill -STOP PROCESS; the change waits for its lease of 5 s; kill -CONT PROCESS"
    );
    println!("Kill the one that leads:  kill -9 PROCESS; another leads within 3 s");
    println!("Ctrl-C ends all.");
    crate::block_on(tokio::signal::ctrl_c())?.map_err(text)?;
    Ok(0)
}
