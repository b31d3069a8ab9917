//! A fleet of processes that act as one, and what is asked of it.
#![allow(dead_code)] // each test file uses its own part

use std::collections::BTreeSet;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering};

use lab::service::changes::{DecisionLog, InjectedFault, RunOptions, start_fleet, start_server};
use lab::service::fleet::Fleet;
use serde_json::{Value, json};

pub const SOON: &str = "lease = \"2 s\"\nchange-lease = \"1500 ms\"\ndeadline = \"8 s\"";

pub fn command() -> Vec<String> {
    vec![env!("CARGO_BIN_EXE_canvascart").to_owned()]
}

/// A directory that goes with the test.
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

pub fn fleet(directory: &Directory, instances: usize, cluster: &str) -> Fleet {
    let at = start_server(&DecisionLog::default()).unwrap();
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
    start_fleet(&options, at).unwrap()
}

/// Sets the tenant's limit at an instance; the status and the body.
pub fn set(fleet: &Fleet, i: usize, n: u64, more: &str) -> (u16, Value) {
    let body = json!({ "in-flight": n }).to_string();
    let more = format!("If-Match: *\r\n{more}");
    let (status, body) = fleet
        .admin_connection(i)
        .unwrap()
        .call("PUT", "/v1/tenants/a/limits", &more, &body)
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

/// Those who have a vote.
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

/// Waits until three members in three zones have a vote, and returns them. Before that votes still move: a member of
/// another zone gets its vote before the one that it replaces loses it.
pub fn settled_voters(fleet: &Fleet) -> Vec<usize> {
    let one_in_each_zone = |fleet: &Fleet| {
        let status = fleet.status(0).unwrap();
        let members = status["leader"]["members"].as_array();
        let voting = members.into_iter().flatten().filter(|m| m["votes"] == true);
        let zones: Vec<&str> = voting.filter_map(|m| m["zone"].as_str()).collect();
        zones.len() == 3 && BTreeSet::from_iter(&zones).len() == 3
    };
    fleet
        .wait("a voter in each zone", one_in_each_zone)
        .unwrap();
    voters(fleet)
}
