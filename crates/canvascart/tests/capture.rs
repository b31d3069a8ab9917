//! The capture of a running proxy, and `canvascart capture replay`.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::process::{Command, Output};

use sockets::*;

const ON: &str = "capture.enabled = true\n";

fn setup(properties: &str) -> Setup {
    Setup {
        properties: Some(properties.into()),
        ..Setup::default()
    }
}

/// A proxy with these settings and one backend, up.
fn proxy(backend: &Backend, setup: &Setup) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[backend]));
    let proxy = Proxy::up(&discovery, setup);
    (discovery, proxy)
}

fn records(log: &str) -> Vec<String> {
    log.lines()
        .filter(|l| l.starts_with("r "))
        .map(str::to_owned)
        .collect()
}

/// Ends the proxy and returns what it has written.
fn end(mut proxy: Proxy, wanted: usize) -> String {
    proxy.terminate();
    assert!(proxy.wait().success());
    wait_for("the capture", || {
        records(&proxy.log.lock().unwrap()).len() >= wanted
    });
    let log = proxy.log.lock().unwrap();
    log.clone()
}

fn replay(capture: &str) -> Output {
    let file = config_file(capture);
    let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart"));
    let run = command
        .args(["capture", "replay"])
        .arg(&file)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&file);
    run
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

/// What a busy little day with one server leaves behind.
fn one_server_day() -> String {
    let backend = Backend::with(|request| match request.id() {
        "r-full" => BackendAction::Write(empty("503 Busy\r\nX-Not-Processed: 1")),
        "r-error" => BackendAction::Write(empty("500 Oops")),
        "r-cut" => BackendAction::WriteAndClose(String::new()),
        _ => BackendAction::Write(ok("")),
    });
    let (discovery, proxy) = proxy(&backend, &setup(ON));
    let mut client = Client::new(&proxy);
    for n in 0..40 {
        assert_eq!(
            client
                .ask(&page(&format!("r-a{n}")))
                .expect("an answer")
                .status(),
            200
        );
        assert_eq!(
            client
                .ask(&submit(&format!("r-b{n}"), "2", "x"))
                .expect("an answer")
                .status(),
            200
        );
    }
    for (id, code) in [("r-full", 503), ("r-error", 502), ("r-cut", 502)] {
        assert_eq!(
            client
                .ask(&submit(id, "0.4", "x"))
                .expect("an answer")
                .status(),
            code,
            "{id}"
        );
        assert_eq!(
            client
                .ask(&page(&format!("{id}-next")))
                .expect("an answer")
                .status(),
            200
        );
    }
    // The server moves on: a new one takes its place.
    discovery.publish(&list(2, true, &[host("s-new", backend.address, "up", 0)]));
    let mut n = 0;
    wait_for("the new list", || {
        n += 1;
        client
            .ask(&page(&format!("r-c{n}")))
            .is_some_and(|m| m.status() == 200)
            && n > 20
    });
    end(proxy, 106)
}

#[test]
fn with_one_server_a_replay_finds_no_difference_and_one_altered_by_hand_shows() {
    let log = one_server_day();
    let first = log.lines().find(|l| l.starts_with("h ")).expect("a head");
    assert!(first.contains(" seed=8c1f30d27a5be964 node=n0 "), "{first}");
    assert!(
        log.contains("r r-b7 submit acme sid=7f dl=2000ms seq=1 -> s-0 200\n"),
        "{log}"
    );
    assert!(
        log.contains("r r-full submit acme sid=7f dl=400ms seq=1 -> s-0:full 503\n"),
        "{log}"
    );
    assert!(
        log.contains("r r-error submit acme sid=7f dl=400ms seq=1 -> s-0:error 502\n"),
        "{log}"
    );
    assert!(
        log.contains("r r-cut submit acme sid=7f dl=400ms seq=1 -> s-0:reset 502\n"),
        "{log}"
    );
    let count = records(&log).len();
    let same = replay(&log);
    let said = text(&same.stdout);
    assert_eq!(same.status.code(), Some(0), "{said}{}", text(&same.stderr));
    assert!(
        said.starts_with(&format!("0 of {count} decisions differ; 0 never")),
        "{said}"
    );
    // By hand: another server, another code.
    let altered = log
        .replace(
            "r r-b7 submit acme sid=7f dl=2000ms seq=1 -> s-0 200",
            "r r-b7 submit acme sid=7f dl=2000ms seq=1 -> s-9 200",
        )
        .replace("seq=1 -> s-0:error 502", "seq=1 -> s-0:error 503");
    let run = replay(&altered);
    let said = text(&run.stdout);
    assert_eq!(run.status.code(), Some(1), "{said}");
    assert!(
        said.contains("  then: s-9 200\n  now:  s-0 200\n"),
        "{said}"
    );
    assert!(
        said.contains("  then: s-0:error 503\n  now:  s-0:error 502\n"),
        "{said}"
    );
    assert!(
        said.contains(&format!("2 of {count} decisions differ")),
        "{said}"
    );
    // As a log's keeper hands it on, with the time before each line.
    let stamped: String = log.lines().map(|l| format!("[23.18] {l}\n")).collect();
    let run = replay(&stamped);
    assert_eq!(
        (run.status.code(), text(&run.stdout)),
        (Some(0), text(&same.stdout))
    );
    // Cut in its last line.
    let cut = replay(log.trim_end().trim_end_matches(char::is_numeric));
    let said = text(&cut.stdout);
    assert!(
        cut.status.code() == Some(0) && said.contains(&format!("0 of {} decisions", count - 1)),
        "{said}"
    );
    assert!(said.ends_with(" 1 truncated\n"), "{said}");
}

#[test]
fn with_one_server_clients_that_come_at_once_make_no_difference_either() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, proxy) = proxy(&backend, &setup(ON));
    std::thread::scope(|scope| {
        for c in 0..8 {
            let proxy = &proxy;
            scope.spawn(move || {
                let mut client = Client::new(proxy);
                for n in 0..30 {
                    let id = format!("r-{c}-{n}");
                    let request = if n % 3 == 0 {
                        submit(&id, "5", "x")
                    } else {
                        page(&id)
                    };
                    assert_eq!(client.ask(&request).expect("an answer").status(), 200);
                }
            });
        }
    });
    let log = end(proxy, 240);
    let run = replay(&log);
    let said = text(&run.stdout);
    assert!(
        run.status.code() == Some(0) && said.starts_with("0 of 240 decisions differ"),
        "{said}"
    );
}

const HEAD: &str = "h 1 seed=000000000000002a node=n0 start=1764583465000 segment=3\n";
const SETTINGS: &str =
    "s {\"classes\":[{\"name\":\"page\",\"effect\":\"idempotent\",\"deadline\":900}]}\n";
const LIST: &str =
    "l seq=7 at=90000.000 whole hosts=1\nb s-a site=- class=- block=- share=- born=0 up\n";

#[test]
fn what_is_left_of_a_wrapped_ring_is_replayed_alone_and_foreign_lines_are_skipped() {
    let capture = format!(
        "canvascart-proxy: a line\nr early page - sid=- dl=900ms seq=6 -> s-a 200\n{HEAD}{SETTINGS}{LIST}\
         r one page - sid=7f dl=900ms seq=7 -> s-a 200\ncanvascart.requests:1|c|#class:page\n\
         r two page - sid=- dl=900ms seq=7 -> (front) 503\n\
         l seq=8 at=90100.000 changes hosts=2\nb s-a site=- class=- block=- share=- born=0 gone\n\
         b s-b site=- class=- block=- share=- born=0 up\n\
         r under-way page - sid=- dl=900ms seq=7 -> s-a 200\nr three page - sid=- dl=900ms seq=8 -> s-b 200\n\
         r left page - sid=- dl=900ms seq=8 -> s-b:out 499\n\
         {}{SETTINGS}l seq=8 at=90200.000 whole hosts=1\n\
         b s-b site=- class=- block=- share=- born=0 up\nr four page - sid=- dl=900ms seq=8 -> s-b 200\nr cut pa",
        HEAD.replace("segment=3", "segment=4")
    );
    let run = replay(&capture);
    let said = text(&run.stdout);
    assert_eq!(run.status.code(), Some(0), "{said}{}", text(&run.stderr));
    assert_eq!(
        said,
        "0 of 5 decisions differ; 1 never reached the module; skipped: 3 foreign lines, 1 truncated\n"
    );
}

#[test]
fn what_is_no_capture_is_an_error() {
    for (capture, word) in [
        ("canvascart-proxy: a line\n", "no header of a capture"),
        (LIST, "no header of a capture"),
        ("", "no header of a capture"),
        (HEAD, "settings are missing"),
        (&format!("{HEAD}s {{x}}\n"), "the capture's settings"),
        (
            &format!("{HEAD}{SETTINGS}{LIST}r a odd - sid=- dl=9ms seq=7 -> s-a 200\n"),
            "no class 'odd'",
        ),
    ] {
        let run = replay(capture);
        let log = text(&run.stderr);
        assert!(
            run.status.code() == Some(3) && log.contains(word),
            "{word}: {log}"
        );
    }
    let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart"));
    let run = command
        .args(["capture", "replay", "/no/such/file"])
        .output()
        .unwrap();
    assert!(run.status.code() == Some(3) && text(&run.stderr).contains("/no/such/file"));
}

#[test]
fn off_means_off() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    for properties in [
        None,
        Some("capture.enabled = false\ncapture.dir = /no/such/dir\n".to_owned()),
    ] {
        let (_discovery, mut proxy) = proxy(
            &backend,
            &Setup {
                properties,
                ..Setup::default()
            },
        );
        assert_eq!(
            Client::new(&proxy)
                .ask(&page("r-1"))
                .expect("an answer")
                .status(),
            200
        );
        proxy.terminate();
        assert!(proxy.wait().success());
        let log = proxy.log.lock().unwrap().clone();
        assert!(
            !log.lines()
                .any(|l| l.starts_with("h ") || l.starts_with("r ")),
            "{log}"
        );
    }
}

#[test]
fn each_request_has_its_line_however_it_ended_and_none_can_forge_one() {
    let gate = Latch::default();
    let held = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-left" | "r-held" => BackendAction::Hold(held.clone(), ok("")),
        _ => BackendAction::Write(ok("")),
    });
    let (_discovery, proxy) = proxy(&backend, &setup(ON));
    let mut client = Client::new(&proxy);
    assert_eq!(
        client
            .ask(&submit("r-x 200 -> s-9,%", "5", "x"))
            .expect("an answer")
            .status(),
        200
    );
    assert_eq!(
        client
            .ask(&page("r-short").replace("Timeout: 5", "Timeout: 0.01"))
            .unwrap()
            .status(),
        503
    );
    let mut left = Client::new(&proxy);
    left.send(&submit("r-left", "5", "x"));
    wait_for("the request", || backend.seen().len() == 2);
    left.shutdown_write();
    assert!(left.is_closed());
    // One that ends after the signal follows the ring.
    let mut late = Client::new(&proxy);
    late.send(&submit("r-held", "5", "x"));
    wait_for("the request", || backend.seen().len() == 3);
    proxy.terminate();
    wait_for("the ring", || {
        records(&proxy.log.lock().unwrap()).len() == 3
    });
    gate.open();
    assert_eq!(late.answer().expect("an answer").status(), 200);
    let log = end(proxy, 4);
    let sure = " acme sid=7f dl=";
    let wanted = [
        format!("r r-x%20200%20-%3E%20s-9%2C%25 submit{sure}5000ms seq=1 -> s-0 200"),
        format!("r r-short page{sure}10ms seq=1 -> - 503"),
        format!("r r-left submit{sure}5000ms seq=1 -> s-0:out 499"),
        format!("r r-held submit{sure}5000ms seq=1 -> s-0 200"),
    ];
    assert_eq!(records(&log), wanted);
}

#[test]
fn a_refusal_before_the_module_has_its_line_too() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let few = Setup {
        sockets: 64,
        ..setup(ON)
    };
    let (_discovery, proxy) = proxy(&backend, &few);
    // Half-sent heads hold all places that are served; the few beyond them are refused.
    let mut stuck: Vec<Client> = (0..20).map(|_| Client::new(&proxy)).collect();
    stuck
        .iter_mut()
        .for_each(|c| c.send("GET /page HTTP/1.1\r\nHost"));
    let mut n = 0;
    wait_for("a refusal", || {
        n += 1;
        let mut client = Client::new(&proxy);
        let refused = client
            .ask(&page(&format!("r-{n}")))
            .is_some_and(|m| m.text() == "too many connections");
        stuck.push(client);
        refused || n > 30
    });
    drop(stuck);
    let log = end(proxy, 1);
    assert!(log.contains(" -> (front) 503\n"), "{log}");
}

#[test]
fn a_standard_error_that_nobody_reads_holds_nobody_up() {
    let gate = Latch::default();
    let held = gate.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => BackendAction::Hold(held.clone(), ok("held")),
        _ => BackendAction::Write(ok("")),
    });
    let (_discovery, mut proxy) = proxy(
        &backend,
        &Setup {
            leave_stderr_unread: true,
            ..setup(ON)
        },
    );
    let mut client = Client::new(&proxy);
    for n in 0..2000 {
        // Far more than a pipe holds.
        assert_eq!(
            client
                .ask(&page(&format!("r-{n}")))
                .expect("an answer")
                .status(),
            200
        );
    }
    let mut busy = Client::new(&proxy);
    busy.send(&submit("r-held", "5", "x"));
    wait_for("the request", || {
        backend.seen().iter().any(|m| m.id() == "r-held")
    });
    proxy.terminate();
    assert_eq!(
        Client::new(&proxy)
            .ask(&page("r-new"))
            .expect("an answer")
            .status(),
        200
    );
    gate.open();
    assert_eq!(busy.answer().expect("an answer").text(), "held");
    assert!(proxy.wait().success());
    let log = proxy.read_remaining_stderr();
    assert!(
        log.lines().any(|l| l.starts_with("r r-0 page")),
        "its beginning is in the pipe"
    );
    assert!(
        !records(&log).iter().any(|r| r.starts_with("r r-1999 ")),
        "the rest had no room"
    );
}

#[test]
fn segments_go_to_files_and_an_unwritable_directory_harms_nothing() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let dir = std::env::temp_dir().join(format!("canvascart-proxy-capture-{}", std::process::id()));
    std::fs::create_dir(&dir).unwrap();
    let on = format!("{ON}capture.dir = {}\n", dir.display());
    for _start in 0..2 {
        let (_discovery, proxy) = proxy(&backend, &setup(&on));
        let mut client = Client::new(&proxy);
        // More than a segment holds.
        let sid = "7".repeat(120);
        for n in 0..1000 {
            let request = page(&format!("r-{n}-{}", "x".repeat(100)))
                .replace("sid=7f", &format!("sid={sid}"));
            assert_eq!(client.ask(&request).expect("an answer").status(), 200);
        }
        end(proxy, 1000);
    }
    let mut files: Vec<_> = std::fs::read_dir(&dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    files.sort();
    assert_eq!(files.len(), 4, "two segments of each start: {files:?}");
    let mut whole = 0;
    for file in &files {
        let capture = std::fs::read_to_string(file).unwrap();
        whole += records(&capture).len();
        let run = replay(&capture);
        assert_eq!(run.status.code(), Some(0), "{}", text(&run.stdout));
    }
    assert_eq!(whole, 2000);
    std::fs::remove_dir_all(&dir).unwrap();
    let (_discovery, proxy) = proxy(&backend, &setup(&on));
    assert_eq!(
        Client::new(&proxy)
            .ask(&page("r-1"))
            .expect("an answer")
            .status(),
        200
    );
    let log = end(proxy, 1);
    assert!(
        log.contains("canvascart-proxy: capture: ") && log.contains("No such file"),
        "{log}"
    );
}
