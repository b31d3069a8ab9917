//! Test fixture: a cluster of `canvascart serve` processes, and calls to its administration API.
#![allow(dead_code)] // each test binary uses a subset

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use lab::service::changes::{DecisionLog, InjectedFault, RunOptions, start_fleet, start_server};
use lab::service::fleet::Fleet;
use serde_json::{Value, json};

/// Cluster settings with short leases and deadlines.
pub const SHORT_LEASES: &str = "lease = \"2 s\"\nchange-lease = \"1500 ms\"\ndeadline = \"8 s\"";

pub fn command() -> Vec<String> {
    vec![env!("CARGO_BIN_EXE_canvascart").to_owned()]
}

/// Temporary directory, removed on drop.
pub struct Directory(pub PathBuf);

impl Directory {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let n = NEXT.fetch_add(1, Ordering::Relaxed);
        Directory(
            std::env::temp_dir().join(format!("canvascart-cluster-{}-{n}", std::process::id())),
        )
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

/// Starts a cluster with one tenant and this many instances.
pub fn fleet(directory: &Directory, instances: usize, cluster: &str) -> Fleet {
    let server_address = start_server(&DecisionLog::default()).unwrap();
    let command = command();
    let options = RunOptions {
        command: &command,
        instances,
        changes: 0,
        cluster,
        seed: 1,
        dir: &directory.0,
        injected_fault: InjectedFault::None,
    };
    start_fleet(&options, server_address).unwrap()
}

/// Sets the tenant's in-flight limit at an instance. Returns the response status and body.
pub fn set_limit(fleet: &Fleet, i: usize, limit: u64, extra_headers: &str) -> (u16, Value) {
    let body = json!({ "in-flight": limit }).to_string();
    let extra_headers = format!("If-Match: *\r\n{extra_headers}");
    let (status, body) = fleet
        .admin_connection(i)
        .unwrap()
        .call("PUT", "/v1/tenants/a/limits", &extra_headers, &body)
        .unwrap();
    (status, serde_json::from_slice(&body).unwrap())
}

pub fn limit(fleet: &Fleet, i: usize) -> u64 {
    let limits = fleet
        .admin_connection(i)
        .unwrap()
        .json("GET", "/v1/tenants/a/limits", "", &Value::Null)
        .unwrap();
    limits["in-flight"].as_u64().unwrap()
}

/// Returns the instances that vote.
pub fn voters(fleet: &Fleet) -> Vec<usize> {
    let status = fleet.status(0).unwrap();
    let members = status["leader"]["members"].as_array().unwrap().clone();
    let votes: BTreeSet<&str> = members
        .iter()
        .filter(|m| m["votes"] == true)
        .filter_map(|m| m["name"].as_str())
        .collect();
    (0..fleet.count())
        .filter(|i| votes.contains(fleet.name(*i)))
        .collect()
}

/// Waits until three members in three zones vote, and returns them. Until then votes still move: a member of another
/// zone gets its vote before the member that it replaces loses it.
pub fn settled_voters(fleet: &Fleet) -> Vec<usize> {
    let has_one_voter_per_zone = |fleet: &Fleet| {
        let status = fleet.status(0).unwrap();
        let members = status["leader"]["members"].as_array();
        let voting = members.into_iter().flatten().filter(|m| m["votes"] == true);
        let zones: Vec<&str> = voting.filter_map(|m| m["zone"].as_str()).collect();
        zones.len() == 3 && BTreeSet::from_iter(&zones).len() == 3
    };
    fleet
        .wait("one voter in each zone", has_one_voter_per_zone)
        .unwrap();
    voters(fleet)
}
