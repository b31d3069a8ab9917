//! The hosted service with an endpoint list that it follows in etcd, against a fake etcd.
mod hosted;

use std::collections::BTreeMap;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use endpoint_discovery::{EndpointRecord, EndpointState, KeySpace};
use etcd::api::PutRequest;
use etcd_fake::{FakeEtcd, NetworkState};
use hosted::sockets::{Backend, BackendAction, Latch, ok, wait_for};
use hosted::{Client, ServiceProcess, listener, tenant, text_backend};

/// Fake etcd cluster on its own runtime.
struct Etcd {
    runtime: tokio::runtime::Runtime,
    fake: FakeEtcd,
}

impl Etcd {
    fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let fake = runtime.block_on(FakeEtcd::start(3)).unwrap();
        Etcd { runtime, fake }
    }

    fn put(&self, pool: &str, name: &str, server: &Backend, state: EndpointState) {
        let record = EndpointRecord {
            capacity: 8.0,
            state,
            started_at_ms: Some(1),
            ..EndpointRecord::new(server.address)
        };
        let key = KeySpace::new("/canvascart/v1", pool)
            .endpoint_key(name)
            .into_bytes();
        let _on = self.runtime.enter();
        self.fake.with_store(|s| {
            s.put(
                0,
                &PutRequest {
                    key,
                    value: record.to_json().into_bytes(),
                    ..PutRequest::default()
                },
            )
            .unwrap();
        });
    }

    fn delete(&self, pool: &str, name: &str) {
        let key = KeySpace::new("/canvascart/v1", pool)
            .endpoint_key(name)
            .into_bytes();
        let request = etcd::api::DeleteRangeRequest {
            key,
            ..Default::default()
        };
        self.fake.with_store(|s| s.delete(0, &request));
    }

    fn table(&self) -> String {
        let all: Vec<String> = self
            .fake
            .endpoints()
            .iter()
            .map(|e| format!("{e:?}"))
            .collect();
        format!("fleet = {{ etcd = [{}] }}", all.join(", "))
    }
}

#[test]
fn removed_servers_get_no_new_requests_and_a_stalled_etcd_removes_none() {
    let etcd = Etcd::new();
    let (a, b) = (text_backend("a"), text_backend("b"));
    etcd.put("north", "a", &a, EndpointState::Up);
    let public = listener("public", "127.0.0.1:0", "host", "");
    let config = [public, tenant("north", &etcd.table(), &[])].concat();
    let service = ServiceProcess::start("etcd", &config);
    let at = service.addresses()["public"];
    wait_for("the first list", || {
        Client::new(at).get("north.example", "").status() == 200
    });
    for n in 0..4 {
        let (name, server, old) = if n % 2 == 0 {
            ("b", &b, "a")
        } else {
            ("a", &a, "b")
        };
        etcd.put("north", name, server, EndpointState::Up);
        if n % 3 == 0 {
            // The connections break during the removal and the log is compacted, so no watch reports the removal.
            (0..3).for_each(|m| etcd.fake.break_connections(m));
            etcd.delete("north", old);
            etcd.fake.with_store(|s| s.compact(s.revision()).unwrap());
        } else {
            etcd.delete("north", old);
        }
        let removed_at = Instant::now();
        let other = if n % 2 == 0 { &a } else { &b };
        let seen_before = loop {
            let response = Client::new(at).get("north.example", "");
            let late = removed_at.elapsed() > Duration::from_secs(1);
            if late {
                break other.seen().len();
            }
            assert!(
                matches!(response.status(), 200 | 503),
                "{}",
                response.status()
            );
        };
        let served = (0..20)
            .filter(|_| Client::new(at).get("north.example", "").status() == 200)
            .count();
        assert!(
            served > 0 && other.seen().len() == seen_before,
            "a server got a request more than 1 s after its removal"
        );
    }
    // Etcd stops responding: the endpoints stay in use.
    etcd.put("north", "b", &b, EndpointState::Up);
    let status = |service: &ServiceProcess| {
        service
            .logged("the list's state")
            .last()
            .map(|l| l["phase"].to_string())
    };
    etcd.fake.set_network_all(NetworkState::Stalled);
    wait_for("the list to become stale", || {
        status(&service).is_some_and(|s| s.contains("stale"))
    });
    assert!(
        service
            .logged("the list is stale: etcd says nothing; servers stay as they are")
            .len()
            == 1
    );
    assert_eq!(Client::new(at).get("north.example", "").status(), 200);
    etcd.fake.set_network_all(NetworkState::Up);
    wait_for("the watch to resume", || {
        status(&service).is_some_and(|s| s.contains("watching"))
    });
}

#[test]
fn request_at_a_draining_or_removed_server_is_completed() {
    let etcd = Etcd::new();
    let latch = Latch::default();
    let (old_backend, new_backend) = (
        Backend::new(BackendAction::Hold(latch.clone(), ok("held"))),
        text_backend("fresh"),
    );
    etcd.put("north", "held", &old_backend, EndpointState::Up);
    // A checkout waits until its deadline only if a late response has a priority weight. Otherwise it waits until its
    // latency objective, which a lookup held at the server before the drain is reported would also use up.
    let late = tenant("north", &etcd.table(), &[])
        .replace("\"unsafe\"", "\"unsafe\"\nlate-worth = \"50 %\"");
    let config = [listener("public", "127.0.0.1:0", "host", ""), late].concat();
    let service = ServiceProcess::start("etcd-drain", &config);
    let at = service.addresses()["public"];
    let mut waiting = Client::new(at);
    wait_for("a request at the server", || {
        if old_backend.seen().is_empty() {
            waiting = Client::new(at);
            waiting.send(
                "POST",
                "/checkout/1",
                "north.example",
                "Content-Length: 0\r\n",
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        !old_backend.seen().is_empty()
    });
    etcd.put("north", "fresh", &new_backend, EndpointState::Up);
    etcd.put("north", "held", &old_backend, EndpointState::Draining);
    wait_for("requests to go to the other server", || {
        Client::new(at).get("north.example", "").text() == "fresh"
    });
    // A request may have gone there before the drain was reported; none does afterwards.
    let before = old_backend.seen().len();
    for _ in 0..20 {
        assert_eq!(Client::new(at).get("north.example", "").text(), "fresh");
    }
    etcd.delete("north", "held");
    assert_eq!(old_backend.seen().len(), before);
    latch.open();
    assert_eq!(waiting.response().text(), "held");
}

/// Registered server process, killed on drop.
struct Server(Child);

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn servers_are_registered_drained_and_deregistered_by_command() {
    let etcd = Etcd::new();
    let endpoint = etcd.fake.endpoints()[0].clone();
    let fleet = |arguments: &[&str]| {
        let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
            .args(["fleet", "--etcd", &endpoint, "--pool", "north"])
            .args(arguments)
            .output()
            .unwrap();
        (
            run.status.code().unwrap(),
            String::from_utf8([run.stdout, run.stderr].concat()).unwrap(),
        )
    };
    assert_eq!(fleet(&["list"]), (0, String::new()));
    let mut server = Server(
        Command::new(env!("CARGO_BIN_EXE_canvascart"))
            .args([
                "fleet", "--etcd", &endpoint, "--pool", "north", "register", "n1",
            ])
            .args([
                "--address",
                "127.0.0.1:9001",
                "--zone",
                "east",
                "--ttl",
                "2",
            ])
            .stdout(Stdio::null())
            .stderr(Stdio::null())
            .spawn()
            .unwrap(),
    );
    wait_for("the registration", || {
        fleet(&["list"])
            .1
            .contains("n1  127.0.0.1:9001  up  size 1  zone east")
    });
    assert_eq!(
        fleet(&["register", "n1", "--address", "127.0.0.1:9002"]).0,
        4,
        "a name in use was accepted"
    );
    assert_eq!(fleet(&["drain", "n1"]).0, 0);
    assert!(
        fleet(&["list", "--json"])
            .1
            .contains("\"state\":\"draining\"")
    );
    assert_eq!(fleet(&["resume", "n1"]).0, 0);
    assert_eq!(fleet(&["drain", "n2"]).0, 4);
    // The registration is renewed and outlasts its lease; when the server exits, it is removed.
    std::thread::sleep(Duration::from_millis(2500));
    assert!(fleet(&["list"]).1.contains("n1"));
    let watched = fleet(&["watch", "--most", "3"]).1;
    let lines: Vec<BTreeMap<String, serde_json::Value>> = watched
        .lines()
        .filter_map(|l| serde_json::from_str(l).ok())
        .collect();
    assert!(
        lines.iter().any(|l| l.get("whole").is_some_and(|n| n == 1)),
        "{watched}"
    );
    let id = server.0.id().to_string();
    assert!(
        Command::new("kill")
            .args(["-s", "TERM", &id])
            .status()
            .unwrap()
            .success()
    );
    assert!(server.0.wait().unwrap().success());
    assert_eq!(
        fleet(&["list"]),
        (0, String::new()),
        "the server did not deregister"
    );
    assert_eq!(fleet(&["release"]).0, 0);
    etcd.fake.set_network_all(NetworkState::Down);
    assert_eq!(fleet(&["list"]).0, 3);
}

#[test]
fn followers_measurement_reports_the_last_request_after_a_removal() {
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args([
            "lab",
            "followers",
            "--servers",
            "50",
            "--removals",
            "3",
            "--no-stampede",
        ])
        .output()
        .unwrap();
    let stdout = String::from_utf8(run.stdout).unwrap();
    assert_eq!(
        run.status.code(),
        Some(0),
        "{stdout}{}",
        String::from_utf8_lossy(&run.stderr)
    );
    assert!(stdout.contains("last request"), "{stdout}");
}
