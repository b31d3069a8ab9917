//! How instances start, among several processes: what each phase waits for, and what is told of it.
mod together;

use std::time::{Duration, Instant};

use endpoint_discovery::{EndpointRecord, KeySpace};
use etcd::api::PutRequest;
use etcd_fake::{FakeEtcd, NetworkState};
use lab::net::Mode;
use lab::service::HttpConnection;
use lab::service::changes::{DecisionLog, start_server};
use lab::service::fleet::{Fleet, FleetSettings};
use serde_json::Value;
use together::{Directory, SOON, command};

/// Five instances with a tenant whose servers stand in the policy, and one whose list is followed in etcd.
fn start(directory: &Directory, etcd: &FakeEtcd, cluster: &str) -> Fleet {
    let at = start_server(&DecisionLog::default()).unwrap();
    let class = "[[tenant.class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"300 ms\"\ndeadline = \"2 s\"\n";
    let members: Vec<String> = etcd.endpoints().iter().map(|e| format!("{e:?}")).collect();
    let tenants = format!(
        "[[tenant]]\nname = \"a\"\n{class}[[tenant.server]]\nname = \"s\"\naddress = \"{at}\"\nsize = 64\nwarm = true\n\
         [[tenant]]\nname = \"b\"\nfleet = {{ etcd = [{}] }}\n{class}",
        members.join(", ")
    );
    let terms = FleetSettings {
        cluster: format!("{SOON}\n{cluster}"),
        tenants,
        zones: 3,
    };
    let mut fleet = Fleet::new(&command(), 5, &terms, &directory.0).unwrap();
    (0..5).for_each(|i| fleet.start(i).unwrap());
    let key = KeySpace::new("/canvascart/v1", "b")
        .endpoint_key("s")
        .into_bytes();
    etcd.with_store(|s| {
        s.put(
            0,
            &PutRequest {
                key,
                value: EndpointRecord::new(at).to_json().into_bytes(),
                ..PutRequest::default()
            },
        )
    })
    .unwrap();
    fleet.wait("the founding", |f| f.token().is_ok()).unwrap();
    fleet
}

fn standin() -> (tokio::runtime::Runtime, FakeEtcd) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let standin = runtime.block_on(FakeEtcd::start(1)).unwrap();
    (runtime, standin)
}

fn told(fleet: &Fleet, i: usize) -> Value {
    fleet
        .admin_connection(i)
        .unwrap()
        .json("GET", "/v1/cluster/recovery", "", &Value::Null)
        .unwrap()["start"]
        .clone()
}

/// Whether an instance is in a phase, as it says; one that does not know the token yet says nothing.
fn is_at(fleet: &Fleet, i: usize, phase: &str) -> bool {
    let told = fleet
        .admin_connection(i)
        .and_then(|mut l| l.json("GET", "/v1/cluster/recovery", "", &Value::Null));
    told.is_ok_and(|t| t["start"]["phase"] == phase)
}

fn asks(fleet: &Fleet, i: usize, tenant: &str) -> u16 {
    let mut line = HttpConnection::new(
        fleet.public(i).unwrap(),
        &format!("X-Tenant-Id: {tenant}\r\n"),
    );
    line.call("GET", "/lookup/1", "", "").unwrap().0
}

#[test]
fn a_list_that_can_not_be_had_keeps_other_tenants_waiting_for_so_long_at_most() {
    let directory = Directory::new();
    let (_runtime, etcd) = standin();
    etcd.set_network_all(NetworkState::Stalled);
    let mut fleet = start(&directory, &etcd, "list-wait = \"6 s\"");
    // Long enough that it is seen waiting though the machine pauses while five processes start.
    fleet.wait("the lists", |f| is_at(f, 0, "list")).unwrap();
    let waits = told(&fleet, 0);
    assert_eq!(waits["waits-for"], "the lists of b", "{waits}");
    assert_eq!(waits["at-most-ms"], 6000);
    assert!(
        !fleet.is_up(0) && asks(&fleet, 0, "a") == 503,
        "it takes nothing yet"
    );
    fleet.ready().unwrap();
    let done = told(&fleet, 0);
    assert_eq!(
        (done["phase"].as_str(), done["unsure"][0].as_str()),
        (Some("serving"), Some("b")),
        "{done}"
    );
    let list = done["took"]
        .as_array()
        .unwrap()
        .iter()
        .find(|t| t["phase"] == "list")
        .unwrap()
        .clone();
    assert!(list["ms"].as_u64().unwrap() >= 6000, "{done}");
    assert_eq!((asks(&fleet, 0, "a"), asks(&fleet, 0, "b")), (200, 503));
    // With the list there again a start waits for nothing, and both are served.
    etcd.set_network_all(NetworkState::Up);
    fleet.wait("its list", |f| asks(f, 0, "b") == 200).unwrap();
    let leader = fleet.leader().unwrap();
    let again = (0..5).find(|i| *i != leader).unwrap();
    fleet.kill(again);
    fleet.start(again).unwrap();
    fleet.ready().unwrap();
    assert_eq!(
        (asks(&fleet, again, "a"), asks(&fleet, again, "b")),
        (200, 200)
    );
    assert_eq!(
        told(&fleet, again)["unsure"].as_array().map(Vec::len),
        Some(0)
    );
}

#[test]
fn where_the_file_says_so_nothing_is_taken_before_the_last_list_is_known() {
    let directory = Directory::new();
    let (_runtime, etcd) = standin();
    etcd.set_network_all(NetworkState::Stalled);
    let fleet = start(
        &directory,
        &etcd,
        "list-wait = \"500 ms\"\nwhen-list-unknown = \"refuse\"",
    );
    fleet
        .wait("the lists", |f| (0..5).all(|i| is_at(f, i, "list")))
        .unwrap();
    let end = Instant::now() + Duration::from_millis(1500);
    while Instant::now() < end {
        assert!((0..5).all(|i| !fleet.is_up(i)));
        std::thread::sleep(Duration::from_millis(50));
    }
    etcd.set_network_all(NetworkState::Up);
    fleet.ready().unwrap();
    assert_eq!((asks(&fleet, 3, "a"), asks(&fleet, 3, "b")), (200, 200));
}

#[test]
fn one_that_hears_nobody_says_what_it_waits_for_and_takes_nothing() {
    let directory = Directory::new();
    let (_runtime, etcd) = standin();
    let mut fleet = start(&directory, &etcd, "");
    fleet.ready().unwrap();
    let leader = fleet.leader().unwrap();
    let alone = (0..5).find(|i| *i != leader).unwrap();
    fleet.kill(alone);
    fleet.isolate(alone, Mode::Cut);
    fleet.start(alone).unwrap();
    fleet
        .wait("its word", |f| {
            told(f, alone)["waits-for"] == "an instance that leads"
        })
        .unwrap();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(told(&fleet, alone)["phase"], "members");
    assert!(!fleet.is_up(alone) && asks(&fleet, alone, "a") == 503);
    fleet.isolate(alone, Mode::Pass);
    fleet.ready().unwrap();
    let took = told(&fleet, alone)["took"].clone();
    let members = took
        .as_array()
        .unwrap()
        .iter()
        .find(|t| t["phase"] == "members")
        .unwrap()["ms"]
        .as_u64();
    assert!(members.unwrap() >= 1000, "{took}");
}
