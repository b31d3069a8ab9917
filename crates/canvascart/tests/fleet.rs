//! The hosted service with a list that it follows in etcd, against the stand-in.
mod hosted;

use std::collections::BTreeMap;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use endpoint_discovery::{EndpointRecord, EndpointState, KeySpace};
use etcd::api::PutRequest;
use etcd_fake::{FakeEtcd, NetworkState};
use hosted::sockets::{Backend, BackendAction, Latch, ok, wait_for};
use hosted::{Client, Running, listener, says, tenant};

/// A stand-in on a runtime of its own.
struct Etcd {
    runtime: tokio::runtime::Runtime,
    standin: FakeEtcd,
}

impl Etcd {
    fn new() -> Self {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(2)
            .enable_all()
            .build()
            .unwrap();
        let standin = runtime.block_on(FakeEtcd::start(3)).unwrap();
        Etcd { runtime, standin }
    }

    fn put(&self, pool: &str, name: &str, server: &Backend, state: EndpointState) {
        let entry = EndpointRecord {
            capacity: 8.0,
            state,
            started_at_ms: Some(1),
            ..EndpointRecord::new(server.address)
        };
        let key = KeySpace::new("/canvascart/v1", pool)
            .endpoint_key(name)
            .into_bytes();
        let _on = self.runtime.enter();
        self.standin.with_store(|s| {
            s.put(
                0,
                &PutRequest {
                    key,
                    value: entry.to_json().into_bytes(),
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
        self.standin.with_store(|s| s.delete(0, &request));
    }

    fn table(&self) -> String {
        let all: Vec<String> = self
            .standin
            .endpoints()
            .iter()
            .map(|e| format!("{e:?}"))
            .collect();
        format!("fleet = {{ etcd = [{}] }}", all.join(", "))
    }
}

#[test]
fn removals_end_new_work_at_once_and_silence_ends_none() {
    let etcd = Etcd::new();
    let (a, b) = (says("a"), says("b"));
    etcd.put("north", "a", &a, EndpointState::Up);
    let public = listener("public", "127.0.0.1:0", "host", "");
    let config = [public, tenant("north", &etcd.table(), &[])].concat();
    let service = Running::start("etcd", &config);
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
            // Cut off while it goes, and compacted, so that the removal itself is never told.
            (0..3).for_each(|m| etcd.standin.break_connections(m));
            etcd.delete("north", old);
            etcd.standin
                .with_store(|s| s.compact(s.revision()).unwrap());
        } else {
            etcd.delete("north", old);
        }
        let told = Instant::now();
        let other = if n % 2 == 0 { &a } else { &b };
        let last = loop {
            let answer = Client::new(at).get("north.example", "");
            let late = told.elapsed() > Duration::from_secs(1);
            if late {
                break other.seen().len();
            }
            assert!(matches!(answer.status(), 200 | 503), "{}", answer.status());
        };
        let seen = (0..20)
            .filter(|_| Client::new(at).get("north.example", "").status() == 200)
            .count();
        assert!(
            seen > 0 && other.seen().len() == last,
            "new work went to a server that was gone for 1 s"
        );
    }
    // Etcd goes quiet, and a server dies: its healthy neighbour goes on.
    etcd.put("north", "b", &b, EndpointState::Up);
    let status = |service: &Running| {
        service
            .logged("the list's state")
            .last()
            .map(|l| l["phase"].to_string())
    };
    etcd.standin.set_network_all(NetworkState::Stalled);
    wait_for("it is stale", || {
        status(&service).is_some_and(|s| s.contains("stale"))
    });
    assert!(
        service
            .logged("the list is stale: etcd says nothing; servers stay as they are")
            .len()
            == 1
    );
    assert_eq!(Client::new(at).get("north.example", "").status(), 200);
    etcd.standin.set_network_all(NetworkState::Up);
    wait_for("it watches again", || {
        status(&service).is_some_and(|s| s.contains("watching"))
    });
}

#[test]
fn a_request_at_a_server_that_drains_or_goes_gets_its_answer() {
    let etcd = Etcd::new();
    let gate = Latch::default();
    let (held, fresh) = (
        Backend::new(BackendAction::Hold(gate.clone(), ok("held"))),
        says("fresh"),
    );
    etcd.put("north", "held", &held, EndpointState::Up);
    // A checkout is waited for until its deadline only where a late answer is worth something; else until its aim, which a lookup
    // that is held at the server before the drain is told takes as well.
    let late = tenant("north", &etcd.table(), &[])
        .replace("\"unsafe\"", "\"unsafe\"\nlate-worth = \"50 %\"");
    let config = [listener("public", "127.0.0.1:0", "host", ""), late].concat();
    let service = Running::start("etcd-drain", &config);
    let at = service.addresses()["public"];
    let mut waiting = Client::new(at);
    wait_for("a request at the server", || {
        if held.seen().is_empty() {
            waiting = Client::new(at);
            waiting.send(
                "POST",
                "/checkout/1",
                "north.example",
                "Content-Length: 0\r\n",
            );
            std::thread::sleep(Duration::from_millis(100));
        }
        !held.seen().is_empty()
    });
    etcd.put("north", "fresh", &fresh, EndpointState::Up);
    etcd.put("north", "held", &held, EndpointState::Draining);
    wait_for("work goes elsewhere", || {
        Client::new(at).get("north.example", "").text() == "fresh"
    });
    // One may have gone there before the drain was told; none does afterwards.
    let before = held.seen().len();
    for _ in 0..20 {
        assert_eq!(Client::new(at).get("north.example", "").text(), "fresh");
    }
    etcd.delete("north", "held");
    assert_eq!(held.seen().len(), before);
    gate.open();
    assert_eq!(waiting.answer().text(), "held");
}

struct Server(Child);

impl Drop for Server {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn servers_are_registered_drained_and_taken_away_from_the_command_line() {
    let etcd = Etcd::new();
    let endpoint = etcd.standin.endpoints()[0].clone();
    let fleet = |arguments: &[&str]| {
        let ran = Command::new(env!("CARGO_BIN_EXE_canvascart"))
            .args(["fleet", "--etcd", &endpoint, "--pool", "north"])
            .args(arguments)
            .output()
            .unwrap();
        (
            ran.status.code().unwrap(),
            String::from_utf8([ran.stdout, ran.stderr].concat()).unwrap(),
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
        "the name is taken"
    );
    assert_eq!(fleet(&["drain", "n1"]).0, 0);
    assert!(
        fleet(&["list", "--json"])
            .1
            .contains("\"state\":\"draining\"")
    );
    assert_eq!(fleet(&["resume", "n1"]).0, 0);
    assert_eq!(fleet(&["drain", "n2"]).0, 4);
    // Renewed again and again, it outlasts its lease; killed, it does not.
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
        "it has left on purpose"
    );
    assert_eq!(fleet(&["release"]).0, 0);
    etcd.standin.set_network_all(NetworkState::Down);
    assert_eq!(fleet(&["list"]).0, 3);
}

#[test]
fn following_is_measured_and_keeps_the_rule_on_removals() {
    let ran = Command::new(env!("CARGO_BIN_EXE_canvascart"))
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
    let said = String::from_utf8(ran.stdout).unwrap();
    assert_eq!(
        ran.status.code(),
        Some(0),
        "{said}{}",
        String::from_utf8_lossy(&ran.stderr)
    );
    assert!(said.contains("last request"), "{said}");
}
