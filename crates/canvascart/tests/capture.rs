//! Request capture of a running proxy, and `canvascart capture replay`.
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

/// Starts a proxy with these settings and one backend, and waits until it is ready.
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

/// Terminates the proxy and returns its log, which must have at least this many request records.
fn terminate(mut proxy: Proxy, min_records: usize) -> String {
    proxy.terminate();
    assert!(proxy.wait().success());
    wait_for("the capture", || {
        records(&proxy.log.lock().unwrap()).len() >= min_records
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

/// Captures successful, rejected, failed and reset requests to one server, and a change of the server list.
fn capture_with_one_server() -> String {
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
                .expect("a response")
                .status(),
            200
        );
        assert_eq!(
            client
                .ask(&submit(&format!("r-b{n}"), "2", "x"))
                .expect("a response")
                .status(),
            200
        );
    }
    for (id, code) in [("r-full", 503), ("r-error", 502), ("r-cut", 502)] {
        assert_eq!(
            client
                .ask(&submit(id, "0.4", "x"))
                .expect("a response")
                .status(),
            code,
            "{id}"
        );
        assert_eq!(
            client
                .ask(&page(&format!("{id}-next")))
                .expect("a response")
                .status(),
            200
        );
    }
    // The server is replaced by one with another name.
    discovery.publish(&list(2, true, &[host("s-new", backend.address, "up", 0)]));
    let mut n = 0;
    wait_for("the new list", || {
        n += 1;
        client
            .ask(&page(&format!("r-c{n}")))
            .is_some_and(|m| m.status() == 200)
            && n > 20
    });
    terminate(proxy, 106)
}

#[test]
fn replay_with_one_server_has_no_difference_and_detects_altered_records() {
    let log = capture_with_one_server();
    let first = log
        .lines()
        .find(|l| l.starts_with("h "))
        .expect("a head line");
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
    let unaltered = replay(&log);
    let stdout = text(&unaltered.stdout);
    assert_eq!(
        unaltered.status.code(),
        Some(0),
        "{stdout}{}",
        text(&unaltered.stderr)
    );
    assert!(
        stdout.starts_with(&format!("0 of {count} decisions differ; 0 never")),
        "{stdout}"
    );
    // Altered records: another server, another status code.
    let altered = log
        .replace(
            "r r-b7 submit acme sid=7f dl=2000ms seq=1 -> s-0 200",
            "r r-b7 submit acme sid=7f dl=2000ms seq=1 -> s-9 200",
        )
        .replace("seq=1 -> s-0:error 502", "seq=1 -> s-0:error 503");
    let run = replay(&altered);
    let stdout = text(&run.stdout);
    assert_eq!(run.status.code(), Some(1), "{stdout}");
    assert!(
        stdout.contains("  then: s-9 200\n  now:  s-0 200\n"),
        "{stdout}"
    );
    assert!(
        stdout.contains("  then: s-0:error 503\n  now:  s-0:error 502\n"),
        "{stdout}"
    );
    assert!(
        stdout.contains(&format!("2 of {count} decisions differ")),
        "{stdout}"
    );
    // A log collector prepends a timestamp to each line.
    let stamped: String = log.lines().map(|l| format!("[23.18] {l}\n")).collect();
    let run = replay(&stamped);
    assert_eq!(
        (run.status.code(), text(&run.stdout)),
        (Some(0), text(&unaltered.stdout))
    );
    // The last line is truncated.
    let truncated = replay(log.trim_end().trim_end_matches(char::is_numeric));
    let stdout = text(&truncated.stdout);
    assert!(
        truncated.status.code() == Some(0)
            && stdout.contains(&format!("0 of {} decisions", count - 1)),
        "{stdout}"
    );
    assert!(stdout.ends_with(" 1 truncated\n"), "{stdout}");
}

#[test]
fn replay_of_concurrent_clients_with_one_server_has_no_difference() {
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
                    assert_eq!(client.ask(&request).expect("a response").status(), 200);
                }
            });
        }
    });
    let log = terminate(proxy, 240);
    let run = replay(&log);
    let stdout = text(&run.stdout);
    assert!(
        run.status.code() == Some(0) && stdout.starts_with("0 of 240 decisions differ"),
        "{stdout}"
    );
}

const HEAD: &str = "h 1 seed=000000000000002a node=n0 start=1764583465000 segment=3\n";
const SETTINGS: &str =
    "s {\"classes\":[{\"name\":\"page\",\"effect\":\"idempotent\",\"deadline\":900}]}\n";
const LIST: &str =
    "l seq=7 at=90000.000 whole hosts=1\nb s-a site=- class=- block=- share=- born=0 up\n";

#[test]
fn remainder_of_a_wrapped_ring_buffer_is_replayed_and_foreign_lines_are_skipped() {
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
    let stdout = text(&run.stdout);
    assert_eq!(run.status.code(), Some(0), "{stdout}{}", text(&run.stderr));
    assert_eq!(
        stdout,
        "0 of 5 decisions differ; 1 never reached the module; skipped: 3 foreign lines, 1 truncated\n"
    );
}

#[test]
fn invalid_captures_are_errors() {
    for (capture, expected) in [
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
            run.status.code() == Some(3) && log.contains(expected),
            "{expected}: {log}"
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
fn disabled_capture_writes_nothing() {
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
                .expect("a response")
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

/// Guards against forged records: clients choose the request ids, which are written to the capture.
#[test]
fn each_request_has_one_escaped_record_however_it_ended() {
    let latch = Latch::default();
    let held_latch = latch.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-left" | "r-held" => BackendAction::Hold(held_latch.clone(), ok("")),
        _ => BackendAction::Write(ok("")),
    });
    let (_discovery, proxy) = proxy(&backend, &setup(ON));
    let mut client = Client::new(&proxy);
    assert_eq!(
        client
            .ask(&submit("r-x 200 -> s-9,%", "5", "x"))
            .expect("a response")
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
    let mut leaving_client = Client::new(&proxy);
    leaving_client.send(&submit("r-left", "5", "x"));
    wait_for("the request", || backend.seen().len() == 2);
    leaving_client.shutdown_write();
    assert!(leaving_client.is_closed());
    // A request that ends after the signal is written after the ring buffer.
    let mut held_client = Client::new(&proxy);
    held_client.send(&submit("r-held", "5", "x"));
    wait_for("the request", || backend.seen().len() == 3);
    proxy.terminate();
    wait_for("the ring buffer", || {
        records(&proxy.log.lock().unwrap()).len() == 3
    });
    latch.open();
    assert_eq!(held_client.answer().expect("a response").status(), 200);
    let log = terminate(proxy, 4);
    let common = " acme sid=7f dl=";
    let expected = [
        format!("r r-x%20200%20-%3E%20s-9%2C%25 submit{common}5000ms seq=1 -> s-0 200"),
        format!("r r-short page{common}10ms seq=1 -> - 503"),
        format!("r r-left submit{common}5000ms seq=1 -> s-0:out 499"),
        format!("r r-held submit{common}5000ms seq=1 -> s-0 200"),
    ];
    assert_eq!(records(&log), expected);
}

#[test]
fn request_rejected_before_the_balancer_has_a_record() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let setup_with_few_sockets = Setup {
        sockets: 64,
        ..setup(ON)
    };
    let (_discovery, proxy) = proxy(&backend, &setup_with_few_sockets);
    // Incomplete request heads occupy all connections that are served; further connections are rejected.
    let mut incomplete_clients: Vec<Client> = (0..20).map(|_| Client::new(&proxy)).collect();
    incomplete_clients
        .iter_mut()
        .for_each(|c| c.send("GET /page HTTP/1.1\r\nHost"));
    let mut n = 0;
    wait_for("a rejection", || {
        n += 1;
        let mut client = Client::new(&proxy);
        let rejected = client
            .ask(&page(&format!("r-{n}")))
            .is_some_and(|m| m.text() == "too many connections");
        incomplete_clients.push(client);
        rejected || n > 30
    });
    drop(incomplete_clients);
    let log = terminate(proxy, 1);
    assert!(log.contains(" -> (front) 503\n"), "{log}");
}

/// Guards against a proxy that stalls because nobody drains the pipe of its standard error.
#[test]
fn unread_standard_error_does_not_block_requests() {
    let latch = Latch::default();
    let held_latch = latch.clone();
    let backend = Backend::with(move |request| match request.id() {
        "r-held" => BackendAction::Hold(held_latch.clone(), ok("held")),
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
        // Far more output than a pipe holds.
        assert_eq!(
            client
                .ask(&page(&format!("r-{n}")))
                .expect("a response")
                .status(),
            200
        );
    }
    let mut held_client = Client::new(&proxy);
    held_client.send(&submit("r-held", "5", "x"));
    wait_for("the request", || {
        backend.seen().iter().any(|m| m.id() == "r-held")
    });
    proxy.terminate();
    assert_eq!(
        Client::new(&proxy)
            .ask(&page("r-new"))
            .expect("a response")
            .status(),
        200
    );
    latch.open();
    assert_eq!(held_client.answer().expect("a response").text(), "held");
    assert!(proxy.wait().success());
    let log = proxy.read_remaining_stderr();
    assert!(
        log.lines().any(|l| l.starts_with("r r-0 page")),
        "the beginning of the capture is missing from the pipe"
    );
    assert!(
        !records(&log).iter().any(|r| r.starts_with("r r-1999 ")),
        "more than the pipe holds was written"
    );
}

#[test]
fn segments_are_written_to_files_and_an_unwritable_directory_does_not_affect_requests() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let dir = std::env::temp_dir().join(format!("canvascart-proxy-capture-{}", std::process::id()));
    std::fs::create_dir(&dir).unwrap();
    let on = format!("{ON}capture.dir = {}\n", dir.display());
    for _start in 0..2 {
        let (_discovery, proxy) = proxy(&backend, &setup(&on));
        let mut client = Client::new(&proxy);
        // More records than a segment holds.
        let sid = "7".repeat(120);
        for n in 0..1000 {
            let request = page(&format!("r-{n}-{}", "x".repeat(100)))
                .replace("sid=7f", &format!("sid={sid}"));
            assert_eq!(client.ask(&request).expect("a response").status(), 200);
        }
        terminate(proxy, 1000);
    }
    let mut files: Vec<_> = std::fs::read_dir(&dir)
        .unwrap()
        .map(|e| e.unwrap().path())
        .collect();
    files.sort();
    assert_eq!(files.len(), 4, "expected two segments per start: {files:?}");
    let mut replayed_records = 0;
    for file in &files {
        let capture = std::fs::read_to_string(file).unwrap();
        replayed_records += records(&capture).len();
        let run = replay(&capture);
        assert_eq!(run.status.code(), Some(0), "{}", text(&run.stdout));
    }
    assert_eq!(replayed_records, 2000);
    std::fs::remove_dir_all(&dir).unwrap();
    let (_discovery, proxy) = proxy(&backend, &setup(&on));
    assert_eq!(
        Client::new(&proxy)
            .ask(&page("r-1"))
            .expect("a response")
            .status(),
        200
    );
    let log = terminate(proxy, 1);
    assert!(
        log.contains("canvascart-proxy: capture: ") && log.contains("No such file"),
        "{log}"
    );
}
