//! Operations on a running proxy, on loopback sockets: operations listener, drain, upgrade, and reload of the configuration.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::Write;
use std::net::TcpStream;
use std::os::fd::AsRawFd;
use std::process::Command;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use sockets::*;

/// Starts a proxy with an operations listener and this endpoint.
fn proxy_with(backend: &Backend) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[backend]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            operations_enabled: true,
            ..Setup::default()
        },
    );
    (discovery, proxy)
}

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

#[test]
fn the_operations_listener_answers_valid_requests_and_rejects_others() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = proxy_with(&backend);
    let oversized = format!(
        "GET /_ready HTTP/1.1\r\nX: {}\r\n\r\n",
        "x".repeat(16 << 10)
    );
    for (text, expected) in [
        ("GET /_ready HTTP/1.1\r\nHost: x\r\n\r\n", 200),
        ("GET /_vars?x=1 HTTP/1.0\r\n\r\n", 200),
        (
            "PUT /_lameduck/off HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\nno",
            200,
        ),
        ("GET /_other HTTP/1.1\r\nHost: x\r\n\r\n", 404),
        (
            "PUT /_vars HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n",
            405,
        ),
        ("GET /_lameduck/on HTTP/1.1\r\nHost: x\r\n\r\n", 405),
        ("\u{1}\u{2}\r\n\r\n", 400),
        (&oversized, 431),
    ] {
        assert_eq!(
            status(proxy.send_to_operations(text)),
            expected,
            "{text:.60}"
        );
    }
    let rejected = proxy
        .call_operations("GET /_lameduck/on")
        .expect("an answer");
    assert_eq!(
        (rejected.header("allow"), rejected.header("connection")),
        (Some("PUT"), Some("close"))
    );
    assert!(
        proxy.is_up() && proxy.is_running(),
        "the rejected requests had no effect"
    );
}

#[test]
fn silent_connections_to_the_operations_listener_block_no_others() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&backend);
    let operations = proxy.operations_address.expect("an operations listener");
    let silent: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut stream = TcpStream::connect(operations).expect("the listener accepts");
            stream
                .write_all(if n % 2 == 0 { b"" } else { b"GET /_re" })
                .expect("the bytes are accepted");
            stream
        })
        .collect();
    let start = Instant::now();
    assert_eq!(status(proxy.call_operations("GET /_ready")), 200);
    assert!(
        start.elapsed() < Duration::from_secs(1),
        "{:?}",
        start.elapsed()
    );
    drop(silent);
}

#[test]
fn request_counters_add_up_over_all_results() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "r-full" => BackendAction::Write(empty("503 Full\r\nX-Not-Processed: 1")),
        "r-bad" => BackendAction::Write(empty("500 Oops")),
        "r-held" | "r-left" => BackendAction::Hold(endpoint_gate.clone(), ok("late")),
        _ => BackendAction::Write(ok("")),
    });
    let (_discovery, proxy) = proxy_with(&backend);
    assert_eq!(
        proxy.metric("node_answered{group=\"booking\"}"),
        0.0,
        "each class has its counters from the start"
    );
    let (mut waiting_client, mut leaving_client) = (Client::new(&proxy), Client::new(&proxy));
    waiting_client.send(&submit("r-held", "20", "x"));
    wait_for("the request to be sent", || {
        backend.seen().iter().any(|m| m.id() == "r-held")
    });
    leaving_client.send(&submit("r-left", "20", "x"));
    wait_for("two requests in flight", || {
        proxy.metric("node_current") == 2.0
    });
    drop(leaving_client);
    wait_for("one client to disconnect", || {
        proxy.metric("node_abandoned{group=\"submit\"}") == 1.0
    });
    assert_eq!(proxy.metric("node_current"), 1.0);
    gate.open();
    assert_eq!(status(waiting_client.answer()), 200);
    let ask = |id: &str| status(Client::new(&proxy).ask(&submit(id, "5", "x")));
    assert_eq!((ask("r-1"), ask("r-2"), ask("r-bad")), (200, 200, 502));
    assert_eq!(ask("r-full"), 503);
    assert_eq!(
        status(Client::new(&proxy).ask("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")),
        404
    );
    let var = |name: &str| proxy.metric(&format!("node_{name}{{group=\"submit\"}}"));
    assert_eq!(
        (var("answered"), var("deferred"), var("errored")),
        (3.0, 1.0, 1.0)
    );
    assert_eq!(
        var("taken"),
        var("answered") + var("deferred") + var("errored") + var("abandoned")
    );
    assert_eq!(proxy.metric("node_current"), 0.0);
    assert_eq!(proxy.metric("node_sends"), backend.seen().len() as f64);
    assert_eq!(
        (
            proxy.metric("node_cluster_size"),
            proxy.metric("node_conf_loaded")
        ),
        (1.0, 0.0)
    );
}

#[test]
fn the_gauge_of_unhealthy_endpoints_counts_ejected_but_no_draining_or_removed_ones() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (discovery, proxy) = proxy_with(&backend);
    let unused = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    discovery.publish(&list(
        2,
        false,
        &[
            host("s-gone", unused, "up", 0),
            host("s-drains", backend.address, "draining", 0),
        ],
    ));
    wait_for("the list", || proxy.metric("node_cluster_size") == 3.0);
    let mut n = 0;
    wait_for("the unreachable endpoint to be ejected", || {
        n += 1;
        assert_eq!(
            status(Client::new(&proxy).ask(&page(&format!("r-{n}")))),
            200
        );
        proxy.metric("node_cluster_unhealthy") == 1.0
    });
    discovery.publish(&list(3, true, &[host("s-0", backend.address, "up", 0)]));
    wait_for("the removal of the others", || {
        proxy.metric("node_cluster_size") == 1.0
    });
    assert_eq!(proxy.metric("node_cluster_unhealthy"), 0.0);
}

#[test]
fn a_drain_closes_client_connections_and_loses_no_request() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "r-held" => BackendAction::Hold(endpoint_gate.clone(), ok("late")),
        _ => BackendAction::Write(ok("")),
    });
    let (_discovery, mut proxy) = proxy_with(&backend);
    let (mut idle, mut used, mut busy) = (
        Client::new(&proxy),
        Client::new(&proxy),
        Client::new(&proxy),
    );
    assert_eq!(
        (
            status(idle.ask(&page("r-1"))),
            status(used.ask(&page("r-2")))
        ),
        (200, 200)
    );
    busy.send(&page("r-held"));
    wait_for("a request in flight", || {
        proxy.metric("node_current") == 1.0
    });
    assert_eq!(status(proxy.call_operations("PUT /_lameduck/on")), 200);
    assert!(!proxy.is_up(), "the drain begins at once");
    assert_eq!(status(proxy.call_operations("GET /_ready")), 503);
    let last = used
        .ask(&page("r-3"))
        .expect("an answer on a connection in use");
    assert_eq!(
        (last.status(), last.header("connection")),
        (200, Some("close"))
    );
    let drain_start = Instant::now();
    assert!(idle.is_closed() && used.is_closed());
    assert!(
        drain_start.elapsed() < Duration::from_secs(3),
        "{:?}",
        drain_start.elapsed()
    );
    // New clients are still served, with one request per connection.
    let mut late = Client::new(&proxy);
    assert_eq!(
        late.ask(&page("r-4"))
            .expect("an answer")
            .header("connection"),
        Some("close")
    );
    gate.open();
    assert_eq!(busy.answer().expect("its answer").text(), "late");
    assert_eq!(
        status(proxy.call_operations("PUT /_lameduck/on")),
        200,
        "repeated call"
    );
    assert_eq!(status(proxy.call_operations("PUT /_lameduck/off")), 200);
    assert!(proxy.is_up() && proxy.is_running());
    let mut back = Client::new(&proxy);
    assert_eq!(
        (
            status(back.ask(&page("r-5"))),
            status(back.ask(&page("r-6")))
        ),
        (200, 200)
    );
}

#[test]
fn a_process_terminated_during_a_drain_exits_and_the_drain_cannot_be_ended() {
    let gate = Latch::default();
    let backend = Backend::new(BackendAction::Hold(gate.clone(), ok("late")));
    let (_discovery, mut proxy) = proxy_with(&backend);
    let mut busy = Client::new(&proxy);
    busy.send(&page("r-held"));
    wait_for("a request in flight", || {
        proxy.metric("node_current") == 1.0
    });
    assert_eq!(status(proxy.call_operations("PUT /_lameduck/on")), 200);
    proxy.terminate();
    wait_for("the shutdown", || {
        proxy
            .call_operations("GET /_ready")
            .is_some_and(|m| m.text().starts_with("leaving"))
    });
    assert_eq!(status(proxy.call_operations("PUT /_lameduck/off")), 409);
    assert_eq!(status(proxy.call_operations("PUT /_lameduck/on")), 200);
    gate.open();
    assert_eq!(busy.answer().expect("its answer").text(), "late");
    assert!(proxy.wait().success());
}

#[test]
fn without_an_address_there_is_no_operations_listener() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    assert!(proxy.operations_address.is_none() && !proxy.log.lock().unwrap().contains("door"));
    assert_eq!(
        status(Client::new(&proxy).ask("GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")),
        404
    );
}

/// Starts a process that inherits its listener from the test.
fn start_with_listener(discovery: &Discovery, listener: &std::net::TcpListener) -> Proxy {
    let inherited_socket = Some(listener.as_raw_fd());
    Proxy::start(
        discovery,
        &Setup {
            operations_enabled: true,
            inherited_socket,
            ..Setup::default()
        },
    )
}

fn ready(proxy: &Proxy) -> bool {
    proxy
        .call_operations("GET /_ready")
        .is_some_and(|m| m.status() == 200)
}

/// Clients that send requests without a pause, each on a connection that it keeps open as long as the proxy does.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(address: std::net::SocketAddr, count: usize) -> Self {
        let (stop, answered) = (
            Arc::new(AtomicBool::new(false)),
            Arc::new(AtomicUsize::new(0)),
        );
        let client = |c: usize| {
            let (stop, answered) = (stop.clone(), answered.clone());
            thread::spawn(move || {
                let (mut lost, mut n, mut kept) = (Vec::new(), 0, None);
                while !stop.load(Ordering::SeqCst) {
                    n += 1;
                    let mut client: Client = kept.take().unwrap_or_else(|| Client::to(address));
                    let id = format!("r-{c}-{n}");
                    let text = if n % 2 == 0 {
                        submit(&id, "5", "x")
                    } else {
                        page(&id)
                    };
                    match client.ask(&text) {
                        // If the machine stalls, the proxy may take the endpoint for hanging and reject requests.
                        Some(m) if matches!(m.status(), 200 | 503) => {
                            answered.fetch_add(usize::from(m.status() == 200), Ordering::SeqCst);
                            kept = (m.header("connection") != Some("close")).then_some(client);
                        }
                        other => lost.push(format!("{id}: {:?}", other.map(|m| m.first))),
                    }
                }
                lost
            })
        };
        let clients = (0..count).map(client).collect();
        Load {
            stop,
            answered,
            clients,
        }
    }

    /// Waits for a number of further answers.
    fn wait_for_answers(&self, more: usize) {
        let expected = self.answered.load(Ordering::SeqCst) + more;
        wait_for("more answers", || {
            self.answered.load(Ordering::SeqCst) >= expected
        });
    }

    /// Stops the clients and returns the requests without an answer or with an unexpected one.
    fn stop(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .flat_map(|c| c.join().expect("no panic"))
            .collect()
    }
}

#[test]
fn two_upgrades_in_a_row_lose_no_request() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let listener = inheritable_listener();
    let mut current = start_with_listener(&discovery, &listener);
    wait_for("the first process", || ready(&current));
    let load = Load::start(listener.local_addr().unwrap(), 4);
    load.wait_for_answers(50);
    for _ in 0..2 {
        let next = start_with_listener(&discovery, &listener);
        wait_for("the next process", || ready(&next));
        load.wait_for_answers(20);
        current.terminate();
        assert!(current.wait().success());
        current = next;
        load.wait_for_answers(50);
        assert!(
            current.metric("node_answered{group=\"page\"}") > 0.0,
            "the new process serves clients"
        );
    }
    assert_eq!(load.stop(), Vec::<String>::new());
    let posts = backend
        .seen()
        .into_iter()
        .filter(|m| m.first.starts_with("POST"));
    let ids: Vec<String> = posts.map(|m| m.id().to_owned()).collect();
    let once: std::collections::BTreeSet<&String> = ids.iter().collect();
    assert_eq!(once.len(), ids.len(), "none was sent twice");
}

#[test]
fn a_process_without_a_list_accepts_nothing_from_the_shared_listener_and_may_be_killed() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (discovery, silent) = (Discovery::new(), Discovery::new());
    discovery.publish(&all_up(&[&backend]));
    let listener = inheritable_listener();
    let first = start_with_listener(&discovery, &listener);
    wait_for("the first process", || ready(&first));
    let load = Load::start(listener.local_addr().unwrap(), 2);
    let second = start_with_listener(&silent, &listener);
    assert_eq!(status(second.call_operations("GET /_ready")), 503);
    load.wait_for_answers(50);
    for _ in 0..50 {
        assert!(first.is_up(), "the first process accepts all connections");
    }
    assert_eq!(second.metric("node_taken{group=\"page\"}"), 0.0);
    second.signal("-KILL");
    load.wait_for_answers(50);
    assert_eq!(load.stop(), Vec::<String>::new());
}

#[test]
fn a_connection_queued_when_the_old_process_is_killed_is_served_by_the_new_one() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let listener = inheritable_listener();
    let address = listener.local_addr().unwrap();
    let mut first = start_with_listener(&discovery, &listener);
    wait_for("the first process", || ready(&first));
    first.signal("-KILL");
    let _ = first.wait();
    let mut queued_client = Client::to(address); // no process accepts
    queued_client.send(&page("r-1"));
    let second = start_with_listener(&discovery, &listener);
    assert_eq!(status(queued_client.answer()), 200);
    assert!(ready(&second));
}

#[test]
fn a_descriptor_that_is_no_listener_fails_the_start_with_the_reason() {
    let file = config_file(&config("127.0.0.1:1".parse().unwrap(), &Setup::default()));
    for (value, reason) in [
        ("three", "'three' is no descriptor"),
        ("-1", "'-1' is no descriptor"),
        ("0", "descriptor 0: it is no"),
        ("77", "descriptor 77:"),
    ] {
        let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"));
        command.stdin(
            std::os::unix::net::UnixStream::pair()
                .map(|(a, _)| std::os::fd::OwnedFd::from(a))
                .unwrap(),
        );
        let run = command
            .env("NODE_CONFIG", &file)
            .env("NODE_SOCKET_FD", value)
            .output()
            .unwrap();
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(
            !run.status.success() && log.contains("NODE_SOCKET_FD") && log.contains(reason),
            "{value}: {log}"
        );
    }
    let _ = std::fs::remove_file(&file);
}

/// Adds a class to a configuration.
fn with_class(text: &str, name: &str, effect: &str) -> String {
    let class = format!(
        r#""classes":[{{"name":"{name}","effect":"{effect}","promise":1000,"deadline":5000,"worth":1}},"#
    );
    text.replace("\"classes\":[", &class)
}

fn get(class: &str, id: &str) -> String {
    page(id).replace("/page", &format!("/{class}"))
}

#[test]
fn a_reload_applies_all_settings_and_adds_and_removes_classes() {
    let gate = Latch::default();
    let endpoint_gate = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "r-held" => BackendAction::Hold(endpoint_gate.clone(), ok("late")),
        _ => BackendAction::Write(ok("")),
    });
    let (discovery, mut proxy) = proxy_with(&backend);
    let setup = Setup {
        operations_enabled: true,
        ..Setup::default()
    };
    let first = config(discovery.address, &setup);
    let ask = |text: &str| status(Client::new(&proxy).ask(text));
    assert_eq!(ask(&get("notice", "r-1")), 404);
    proxy.reconfigure(&with_class(&first, "notice", "idempotent"));
    wait_for("the reload", || proxy.metric("node_conf_loaded") == 1.0);
    assert_eq!(ask(&get("notice", "r-2")), 200);
    assert_eq!(proxy.metric("node_answered{group=\"notice\"}"), 1.0);
    // A stricter effect for requests that arrive from now on: another method and no retries.
    let mut in_flight = Client::new(&proxy);
    in_flight.send(&get("notice", "r-held"));
    wait_for("a request in flight", || {
        proxy.metric("node_current") == 1.0
    });
    proxy.reconfigure(&with_class(&first, "notice", "at_most_once"));
    wait_for("the reload", || proxy.metric("node_conf_loaded") == 2.0);
    assert_eq!(ask(&get("notice", "r-3")), 405);
    assert_eq!(
        ask(&submit("r-4", "5", "x").replace("/submit", "/notice")),
        200
    );
    // The class is removed. A request in flight ends with the settings it began with, and the counters stay.
    proxy.reconfigure(&first);
    wait_for("the reload", || proxy.metric("node_conf_loaded") == 3.0);
    assert_eq!(ask(&get("notice", "r-5")), 404);
    gate.open();
    assert_eq!(in_flight.answer().expect("its answer").text(), "late");
    wait_for("the count", || {
        proxy.metric("node_answered{group=\"notice\"}") == 3.0
    });
    assert_eq!(ask(&page("r-6")), 200);
    assert!(proxy.is_running());
}

#[test]
fn an_invalid_file_changes_nothing_and_is_named() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (discovery, mut proxy) = proxy_with(&backend);
    let elsewhere = Discovery::new();
    let valid = with_class(
        &config(elsewhere.address, &Setup::default()),
        "notice",
        "idempotent",
    );
    let invalid = [
        (String::new(), "the file is empty"),
        (valid[..valid.len() / 2].to_owned(), "EOF"),
        (
            valid.replace("\"maxAttempts\":6,", ""),
            "settings.ceilings.maxAttempts: the key is missing",
        ),
        (
            valid.replace("\"maxAttempts\":6", "\"maxAttempts\":0"),
            "settings.ceilings.maxAttempts: 0 is not greater than 0",
        ),
        (
            valid.replace("\"deadline\":5000", "\"deadline\":0"),
            "settings.classes[0].deadline: 0 is not greater than 0",
        ),
        (
            valid.replace("\"name\":\"notice\"", "\"name\":\"page\""),
            "'page' occurs twice",
        ),
    ];
    for (n, (text, reason)) in invalid.iter().enumerate() {
        proxy.reconfigure(text);
        wait_for("the counter", || {
            proxy.metric("node_conf_invalid") == (n + 1) as f64
        });
        wait_for(reason, || {
            proxy
                .log
                .lock()
                .unwrap()
                .lines()
                .any(|l| l.contains(reason) && l.contains(".json: "))
        });
        assert_eq!(status(Client::new(&proxy).ask(&get("notice", "r-1"))), 404);
    }
    assert!(
        elsewhere.requests.lock().unwrap().is_empty(),
        "the address of discovery in the file is not used either"
    );
    assert_eq!(proxy.metric("node_conf_loaded"), 0.0);
    // After a burst of signals the newest file is in effect.
    for n in 0..20 {
        let name = format!("class-{n}");
        proxy.reconfigure(&with_class(
            &config(discovery.address, &Setup::default()),
            &name,
            "idempotent",
        ));
    }
    wait_for("the newest file", || {
        status(Client::new(&proxy).ask(&get("class-19", "r-2"))) == 200
    });
    assert_eq!(
        status(Client::new(&proxy).ask(&get("class-18", "r-3"))),
        404
    );
    assert!(proxy.is_running());
}
