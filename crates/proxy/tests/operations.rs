//! What operators do to a running proxy, on loopback sockets.
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

/// A proxy with a door and this backend.
fn proxy_with(backend: &Backend) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.say(&all_up(&[backend]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            door: true,
            ..Setup::default()
        },
    );
    (discovery, proxy)
}

fn status(answer: Option<Message>) -> u16 {
    answer.expect("an answer").status()
}

#[test]
fn the_door_answers_each_call_and_says_no_to_the_rest() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, mut proxy) = proxy_with(&backend);
    let long = format!(
        "GET /_ready HTTP/1.1\r\nX: {}\r\n\r\n",
        "x".repeat(16 << 10)
    );
    for (text, wanted) in [
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
        (&long, 431),
    ] {
        assert_eq!(status(proxy.knock(text)), wanted, "{text:.60}");
    }
    let refused = proxy.call("GET /_lameduck/on").expect("an answer");
    assert_eq!(
        (refused.header("allow"), refused.header("connection")),
        (Some("PUT"), Some("close"))
    );
    assert!(
        proxy.is_up() && proxy.runs(),
        "none of it has changed anything"
    );
}

#[test]
fn callers_that_say_nothing_hold_nobody_up() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (_discovery, proxy) = proxy_with(&backend);
    let door = proxy.door.expect("a door");
    let silent: Vec<TcpStream> = (0..40)
        .map(|n| {
            let mut stream = TcpStream::connect(door).expect("the door is open");
            stream
                .write_all(if n % 2 == 0 { b"" } else { b"GET /_re" })
                .expect("it takes it");
            stream
        })
        .collect();
    let asked = Instant::now();
    assert_eq!(status(proxy.call("GET /_ready")), 200);
    assert!(
        asked.elapsed() < Duration::from_secs(1),
        "{:?}",
        asked.elapsed()
    );
    drop(silent);
}

#[test]
fn the_figures_add_up_after_all_kinds_of_ends() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "r-full" => Deed::Write(empty("503 Full\r\nX-Not-Processed: 1")),
        "r-bad" => Deed::Write(empty("500 Oops")),
        "r-held" | "r-left" => Deed::Hold(held.clone(), ok("late")),
        _ => Deed::Write(ok("")),
    });
    let (_discovery, proxy) = proxy_with(&backend);
    assert_eq!(
        proxy.var("node_answered{group=\"booking\"}"),
        0.0,
        "every class from the start"
    );
    let (mut holds, mut leaves) = (Client::new(&proxy), Client::new(&proxy));
    holds.send(&submit("r-held", "20", "x"));
    wait_for("both to be sent", || {
        backend.seen().iter().any(|m| m.id() == "r-held")
    });
    leaves.send(&submit("r-left", "20", "x"));
    wait_for("two held", || proxy.var("node_current") == 2.0);
    drop(leaves);
    wait_for("one has left", || {
        proxy.var("node_abandoned{group=\"submit\"}") == 1.0
    });
    assert_eq!(proxy.var("node_current"), 1.0);
    gate.open();
    assert_eq!(status(holds.answer()), 200);
    let ask = |id: &str| status(Client::new(&proxy).ask(&submit(id, "5", "x")));
    assert_eq!((ask("r-1"), ask("r-2"), ask("r-bad")), (200, 200, 502));
    assert_eq!(ask("r-full"), 503);
    assert_eq!(
        status(Client::new(&proxy).ask("GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")),
        404
    );
    let var = |name: &str| proxy.var(&format!("node_{name}{{group=\"submit\"}}"));
    assert_eq!(
        (var("answered"), var("deferred"), var("errored")),
        (3.0, 1.0, 1.0)
    );
    assert_eq!(
        var("taken"),
        var("answered") + var("deferred") + var("errored") + var("abandoned")
    );
    assert_eq!(proxy.var("node_current"), 0.0);
    assert_eq!(proxy.var("node_sends"), backend.seen().len() as f64);
    assert_eq!(
        (
            proxy.var("node_cluster_size"),
            proxy.var("node_conf_loaded")
        ),
        (1.0, 0.0)
    );
}

#[test]
fn servers_that_are_closed_are_told_of_and_those_that_drain_or_left_are_not() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (discovery, proxy) = proxy_with(&backend);
    let nobody = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    discovery.say(&list(
        2,
        false,
        &[
            host("s-gone", nobody, "up", 0),
            host("s-drains", backend.address, "draining", 0),
        ],
    ));
    wait_for("the list", || proxy.var("node_cluster_size") == 3.0);
    let mut n = 0;
    wait_for("the dead server to be closed", || {
        n += 1;
        assert_eq!(
            status(Client::new(&proxy).ask(&page(&format!("r-{n}")))),
            200
        );
        proxy.var("node_cluster_unhealthy") == 1.0
    });
    discovery.say(&list(3, true, &[host("s-0", backend.address, "up", 0)]));
    wait_for("those that left", || proxy.var("node_cluster_size") == 1.0);
    assert_eq!(proxy.var("node_cluster_unhealthy"), 0.0);
}

#[test]
fn a_drain_sends_clients_away_and_loses_no_request() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "r-held" => Deed::Hold(held.clone(), ok("late")),
        _ => Deed::Write(ok("")),
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
    wait_for("one under way", || proxy.var("node_current") == 1.0);
    assert_eq!(status(proxy.call("PUT /_lameduck/on")), 200);
    assert!(!proxy.is_up(), "at once");
    assert_eq!(status(proxy.call("GET /_ready")), 503);
    let last = used
        .ask(&page("r-3"))
        .expect("a connection in use is answered");
    assert_eq!(
        (last.status(), last.header("connection")),
        (200, Some("close"))
    );
    let called = Instant::now();
    assert!(idle.is_closed() && used.is_closed());
    assert!(
        called.elapsed() < Duration::from_secs(3),
        "{:?}",
        called.elapsed()
    );
    // Who still comes is served, once a connection.
    let mut late = Client::new(&proxy);
    assert_eq!(
        late.ask(&page("r-4"))
            .expect("an answer")
            .header("connection"),
        Some("close")
    );
    gate.open();
    assert_eq!(busy.answer().expect("its answer").text(), "late");
    assert_eq!(status(proxy.call("PUT /_lameduck/on")), 200, "said again");
    assert_eq!(status(proxy.call("PUT /_lameduck/off")), 200);
    assert!(proxy.is_up() && proxy.runs());
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
fn a_process_told_to_end_in_a_drain_ends_and_cannot_be_called_back() {
    let gate = Gate::default();
    let backend = Backend::new(Deed::Hold(gate.clone(), ok("late")));
    let (_discovery, mut proxy) = proxy_with(&backend);
    let mut busy = Client::new(&proxy);
    busy.send(&page("r-held"));
    wait_for("one under way", || proxy.var("node_current") == 1.0);
    assert_eq!(status(proxy.call("PUT /_lameduck/on")), 200);
    proxy.terminate();
    wait_for("it leaves", || {
        proxy
            .call("GET /_ready")
            .is_some_and(|m| m.text().starts_with("leaving"))
    });
    assert_eq!(status(proxy.call("PUT /_lameduck/off")), 409);
    assert_eq!(status(proxy.call("PUT /_lameduck/on")), 200);
    gate.open();
    assert_eq!(busy.answer().expect("its answer").text(), "late");
    assert!(proxy.wait().success());
}

#[test]
fn without_an_address_there_is_no_door() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup::default());
    assert!(proxy.door.is_none() && !proxy.log.lock().unwrap().contains("door"));
    assert_eq!(
        status(Client::new(&proxy).ask("GET /_vars HTTP/1.1\r\nHost: x\r\n\r\n")),
        404
    );
}

/// A process that takes its clients from a listener that the test holds.
fn generation(discovery: &Discovery, listener: &std::net::TcpListener) -> Proxy {
    let held = Some(listener.as_raw_fd());
    Proxy::start(
        discovery,
        &Setup {
            door: true,
            held,
            ..Setup::default()
        },
    )
}

fn ready(proxy: &Proxy) -> bool {
    proxy.call("GET /_ready").is_some_and(|m| m.status() == 200)
}

/// Clients that go on asking, each on a connection that it keeps as long as it may.
struct Load {
    stop: Arc<AtomicBool>,
    answered: Arc<AtomicUsize>,
    clients: Vec<thread::JoinHandle<Vec<String>>>,
}

impl Load {
    fn start(address: std::net::SocketAddr, many: usize) -> Self {
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
                        // On a machine that stalls the module may hold the server for hung, and refuse.
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
        let clients = (0..many).map(client).collect();
        Load {
            stop,
            answered,
            clients,
        }
    }

    /// Waits for so many more answers.
    fn go_on(&self, more: usize) {
        let wanted = self.answered.load(Ordering::SeqCst) + more;
        wait_for("more answers", || {
            self.answered.load(Ordering::SeqCst) >= wanted
        });
    }

    /// Requests that got no answer, or another than was wanted.
    fn end(self) -> Vec<String> {
        self.stop.store(true, Ordering::SeqCst);
        self.clients
            .into_iter()
            .flat_map(|c| c.join().expect("no panic"))
            .collect()
    }
}

#[test]
fn two_upgrades_in_a_row_lose_no_request() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let listener = held_listener();
    let mut serves = generation(&discovery, &listener);
    wait_for("the first", || ready(&serves));
    let load = Load::start(listener.local_addr().unwrap(), 4);
    load.go_on(50);
    for _ in 0..2 {
        let next = generation(&discovery, &listener);
        wait_for("the next", || ready(&next));
        load.go_on(20);
        serves.terminate();
        assert!(serves.wait().success());
        serves = next;
        load.go_on(50);
        assert!(
            serves.var("node_answered{group=\"page\"}") > 0.0,
            "it takes clients"
        );
    }
    assert_eq!(load.end(), Vec::<String>::new());
    let posts = backend
        .seen()
        .into_iter()
        .filter(|m| m.first.starts_with("POST"));
    let ids: Vec<String> = posts.map(|m| m.id().to_owned()).collect();
    let once: std::collections::BTreeSet<&String> = ids.iter().collect();
    assert_eq!(once.len(), ids.len(), "none was sent twice");
}

#[test]
fn a_process_without_a_list_leaves_the_shared_queue_alone_and_may_die() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (discovery, silent) = (Discovery::new(), Discovery::new());
    discovery.say(&all_up(&[&backend]));
    let listener = held_listener();
    let first = generation(&discovery, &listener);
    wait_for("the first", || ready(&first));
    let load = Load::start(listener.local_addr().unwrap(), 2);
    let second = generation(&silent, &listener);
    assert_eq!(status(second.call("GET /_ready")), 503);
    load.go_on(50);
    for _ in 0..50 {
        assert!(first.is_up(), "it answers for the two");
    }
    assert_eq!(second.var("node_taken{group=\"page\"}"), 0.0);
    second.signal("-KILL");
    load.go_on(50);
    assert_eq!(load.end(), Vec::<String>::new());
}

#[test]
fn what_waits_when_the_old_process_dies_is_the_new_ones() {
    let backend = Backend::new(Deed::Write(ok("")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let listener = held_listener();
    let address = listener.local_addr().unwrap();
    let mut first = generation(&discovery, &listener);
    wait_for("the first", || ready(&first));
    first.signal("-KILL");
    let _ = first.wait();
    let mut waits = Client::to(address); // nobody accepts
    waits.send(&page("r-1"));
    let second = generation(&discovery, &listener);
    assert_eq!(status(waits.answer()), 200);
    assert!(ready(&second));
}

#[test]
fn a_descriptor_that_is_no_listener_stops_the_start_with_a_word_why() {
    let file = config_file(&config("127.0.0.1:1".parse().unwrap(), &Setup::default()));
    for (value, word) in [
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
            !run.status.success() && log.contains("NODE_SOCKET_FD") && log.contains(word),
            "{value}: {log}"
        );
    }
    let _ = std::fs::remove_file(&file);
}

/// The class of a test's own that a file brings or takes away.
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
fn new_settings_are_taken_whole_and_classes_come_and_go() {
    let gate = Gate::default();
    let held = gate.clone();
    let backend = Backend::with(move |m| match m.id() {
        "r-held" => Deed::Hold(held.clone(), ok("late")),
        _ => Deed::Write(ok("")),
    });
    let (discovery, mut proxy) = proxy_with(&backend);
    let setup = Setup {
        door: true,
        ..Setup::default()
    };
    let first = config(discovery.address, &setup);
    let ask = |text: &str| status(Client::new(&proxy).ask(text));
    assert_eq!(ask(&get("notice", "r-1")), 404);
    proxy.reconfigure(&with_class(&first, "notice", "idempotent"));
    wait_for("the file", || proxy.var("node_conf_loaded") == 1.0);
    assert_eq!(ask(&get("notice", "r-2")), 200);
    assert_eq!(proxy.var("node_answered{group=\"notice\"}"), 1.0);
    // A stricter effect, for those that come from now on: another method, and no repeats.
    let mut under_way = Client::new(&proxy);
    under_way.send(&get("notice", "r-held"));
    wait_for("one under way", || proxy.var("node_current") == 1.0);
    proxy.reconfigure(&with_class(&first, "notice", "at_most_once"));
    wait_for("the file", || proxy.var("node_conf_loaded") == 2.0);
    assert_eq!(ask(&get("notice", "r-3")), 405);
    assert_eq!(
        ask(&submit("r-4", "5", "x").replace("/submit", "/notice")),
        200
    );
    // It vanishes; what is under way ends as it began, and its counts stay.
    proxy.reconfigure(&first);
    wait_for("the file", || proxy.var("node_conf_loaded") == 3.0);
    assert_eq!(ask(&get("notice", "r-5")), 404);
    gate.open();
    assert_eq!(under_way.answer().expect("its answer").text(), "late");
    wait_for("the count", || {
        proxy.var("node_answered{group=\"notice\"}") == 3.0
    });
    assert_eq!(ask(&page("r-6")), 200);
    assert!(proxy.runs());
}

#[test]
fn a_broken_file_leaves_all_as_it_was_and_is_named() {
    let backend = Backend::new(Deed::Write(ok("")));
    let (discovery, mut proxy) = proxy_with(&backend);
    let elsewhere = Discovery::new();
    let good = with_class(
        &config(elsewhere.address, &Setup::default()),
        "notice",
        "idempotent",
    );
    let broken = [
        (String::new(), "the file is empty"),
        (good[..good.len() / 2].to_owned(), "EOF"),
        (
            good.replace("\"maxAttempts\":6,", ""),
            "settings.ceilings.maxAttempts: the key is missing",
        ),
        (
            good.replace("\"maxAttempts\":6", "\"maxAttempts\":0"),
            "settings.ceilings.maxAttempts: 0 is not greater than 0",
        ),
        (
            good.replace("\"deadline\":5000", "\"deadline\":0"),
            "settings.classes[0].deadline: 0 is not greater than 0",
        ),
        (
            good.replace("\"name\":\"notice\"", "\"name\":\"page\""),
            "'page' occurs twice",
        ),
    ];
    for (n, (text, word)) in broken.iter().enumerate() {
        proxy.reconfigure(text);
        wait_for("a count", || {
            proxy.var("node_conf_invalid") == (n + 1) as f64
        });
        wait_for(word, || {
            proxy
                .log
                .lock()
                .unwrap()
                .lines()
                .any(|l| l.contains(word) && l.contains(".json: "))
        });
        assert_eq!(status(Client::new(&proxy).ask(&get("notice", "r-1"))), 404);
    }
    assert!(
        elsewhere.asked.lock().unwrap().is_empty(),
        "discovery's address is of the file, too"
    );
    assert_eq!(proxy.var("node_conf_loaded"), 0.0);
    // Signals in a burst end with the newest file.
    for n in 0..20 {
        let name = format!("class-{n}");
        proxy.reconfigure(&with_class(
            &config(discovery.address, &Setup::default()),
            &name,
            "idempotent",
        ));
    }
    wait_for("the newest", || {
        status(Client::new(&proxy).ask(&get("class-19", "r-2"))) == 200
    });
    assert_eq!(
        status(Client::new(&proxy).ask(&get("class-18", "r-3"))),
        404
    );
    assert!(proxy.runs());
}
