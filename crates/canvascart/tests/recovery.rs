//! Startup of cluster instances: what each phase waits for, and what the recovery status reports.
mod cluster_fixture;

use std::time::{Duration, Instant};

use cluster_fixture::{Directory, SHORT_LEASES, command};
use endpoint_discovery::{EndpointRecord, KeySpace};
use etcd::api::PutRequest;
use etcd_fake::{FakeEtcd, NetworkState};
use lab::net::Mode;
use lab::service::HttpConnection;
use lab::service::changes::{DecisionLog, start_server};
use lab::service::fleet::{Fleet, FleetSettings};
use serde_json::Value;

/// Starts five instances with tenant `a`, whose server is in the configuration, and tenant `b`, whose endpoint list is
/// in etcd.
fn start(directory: &Directory, etcd: &FakeEtcd, cluster: &str) -> Fleet {
    let at = start_server(&DecisionLog::default()).unwrap();
    let class = "[[tenant.class]]\nname = \"lookup\"\neffect = \"safe\"\naim = \"300 ms\"\ndeadline = \"2 s\"\n";
    let members: Vec<String> = etcd.endpoints().iter().map(|e| format!("{e:?}")).collect();
    let tenants = format!(
        "[[tenant]]\nname = \"a\"\n{class}[[tenant.server]]\nname = \"s\"\naddress = \"{at}\"\nsize = 64\nwarm = true\n\
         [[tenant]]\nname = \"b\"\nfleet = {{ etcd = [{}] }}\n{class}",
        members.join(", ")
    );
    let settings = FleetSettings {
        cluster: format!("{SHORT_LEASES}\n{cluster}"),
        tenants,
        zones: 3,
    };
    let mut fleet = Fleet::new(&command(), 5, &settings, &directory.0).unwrap();
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
    fleet
        .wait("the cluster to be founded", |f| f.token().is_ok())
        .unwrap();
    fleet
}

fn start_fake_etcd() -> (tokio::runtime::Runtime, FakeEtcd) {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let etcd = runtime.block_on(FakeEtcd::start(1)).unwrap();
    (runtime, etcd)
}

fn startup_status(fleet: &Fleet, i: usize) -> Value {
    fleet
        .admin_connection(i)
        .unwrap()
        .json("GET", "/v1/cluster/recovery", "", &Value::Null)
        .unwrap()["start"]
        .clone()
}

/// Returns true if an instance reports this phase. An instance that does not know the token yet reports nothing.
fn is_in_phase(fleet: &Fleet, i: usize, phase: &str) -> bool {
    let status = fleet
        .admin_connection(i)
        .and_then(|mut l| l.json("GET", "/v1/cluster/recovery", "", &Value::Null));
    status.is_ok_and(|t| t["start"]["phase"] == phase)
}

fn lookup_status(fleet: &Fleet, i: usize, tenant: &str) -> u16 {
    let mut line = HttpConnection::new(
        fleet.public(i).unwrap(),
        &format!("X-Tenant-Id: {tenant}\r\n"),
    );
    line.call("GET", "/lookup/1", "", "").unwrap().0
}

#[test]
fn unavailable_list_delays_other_tenants_for_the_configured_wait_at_most() {
    let directory = Directory::new();
    let (_runtime, etcd) = start_fake_etcd();
    etcd.set_network_all(NetworkState::Stalled);
    let mut fleet = start(&directory, &etcd, "list-wait = \"6 s\"");
    // The wait of 6 s is long enough to be observed even if starting five processes is slow.
    fleet
        .wait("the list phase", |f| is_in_phase(f, 0, "list"))
        .unwrap();
    let status = startup_status(&fleet, 0);
    assert_eq!(status["waits-for"], "the lists of b", "{status}");
    assert_eq!(status["at-most-ms"], 6000);
    assert!(
        !fleet.is_up(0) && lookup_status(&fleet, 0, "a") == 503,
        "the instance serves before its lists are known"
    );
    fleet.ready().unwrap();
    let done = startup_status(&fleet, 0);
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
    assert_eq!(
        (lookup_status(&fleet, 0, "a"), lookup_status(&fleet, 0, "b")),
        (200, 503)
    );
    // Once etcd responds again, a restarted instance does not wait and serves both tenants.
    etcd.set_network_all(NetworkState::Up);
    fleet
        .wait("the list of b", |f| lookup_status(f, 0, "b") == 200)
        .unwrap();
    let leader = fleet.leader().unwrap();
    let restarted = (0..5).find(|i| *i != leader).unwrap();
    fleet.kill(restarted);
    fleet.start(restarted).unwrap();
    fleet.ready().unwrap();
    assert_eq!(
        (
            lookup_status(&fleet, restarted, "a"),
            lookup_status(&fleet, restarted, "b")
        ),
        (200, 200)
    );
    assert_eq!(
        startup_status(&fleet, restarted)["unsure"]
            .as_array()
            .map(Vec::len),
        Some(0)
    );
}

#[test]
fn with_when_list_unknown_refuse_no_instance_serves_before_all_lists_are_known() {
    let directory = Directory::new();
    let (_runtime, etcd) = start_fake_etcd();
    etcd.set_network_all(NetworkState::Stalled);
    let fleet = start(
        &directory,
        &etcd,
        "list-wait = \"500 ms\"\nwhen-list-unknown = \"refuse\"",
    );
    fleet
        .wait("the list phase", |f| {
            (0..5).all(|i| is_in_phase(f, i, "list"))
        })
        .unwrap();
    let end = Instant::now() + Duration::from_millis(1500);
    while Instant::now() < end {
        assert!((0..5).all(|i| !fleet.is_up(i)));
        std::thread::sleep(Duration::from_millis(50));
    }
    etcd.set_network_all(NetworkState::Up);
    fleet.ready().unwrap();
    assert_eq!(
        (lookup_status(&fleet, 3, "a"), lookup_status(&fleet, 3, "b")),
        (200, 200)
    );
}

#[test]
fn isolated_instance_reports_what_it_waits_for_and_does_not_serve() {
    let directory = Directory::new();
    let (_runtime, etcd) = start_fake_etcd();
    let mut fleet = start(&directory, &etcd, "");
    fleet.ready().unwrap();
    let leader = fleet.leader().unwrap();
    let isolated = (0..5).find(|i| *i != leader).unwrap();
    fleet.kill(isolated);
    fleet.isolate(isolated, Mode::Cut);
    fleet.start(isolated).unwrap();
    fleet
        .wait("the reported reason", |f| {
            startup_status(f, isolated)["waits-for"] == "an instance that leads"
        })
        .unwrap();
    std::thread::sleep(Duration::from_secs(1));
    assert_eq!(startup_status(&fleet, isolated)["phase"], "members");
    assert!(!fleet.is_up(isolated) && lookup_status(&fleet, isolated, "a") == 503);
    fleet.isolate(isolated, Mode::Pass);
    fleet.ready().unwrap();
    let took = startup_status(&fleet, isolated)["took"].clone();
    let members = took
        .as_array()
        .unwrap()
        .iter()
        .find(|t| t["phase"] == "members")
        .unwrap()["ms"]
        .as_u64();
    assert!(members.unwrap() >= 1000, "{took}");
}
