//! `canvascart client` against stubs on loopback, and against the proxy.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sockets::*;

/// A stub that gives these answers in turn, the last one for ever.
fn stub(answers: &[&str]) -> Backend {
    let answers: Vec<BackendAction> = answers
        .iter()
        .map(|a| BackendAction::Write((*a).to_owned()))
        .collect();
    with(answers)
}

fn with(deeds: Vec<BackendAction>) -> Backend {
    let next = AtomicUsize::new(0);
    Backend::with(move |_| deeds[next.fetch_add(1, Ordering::SeqCst).min(deeds.len() - 1)].clone())
}

fn client(properties: &str, arguments: &[&str]) -> Output {
    let file = config_file(properties);
    let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart"));
    command.arg("client").arg("--properties").arg(&file);
    let run = command
        .args(["--tenant", "biblio-estrie", "--sid", "7f3a"])
        .args(arguments)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&file);
    run
}

fn target(address: SocketAddr) -> String {
    format!("client.target = {address}\n")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

const AGAIN: &str = "HTTP/1.1 503 Busy\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";

#[test]
fn a_checkout_refused_once_is_served_by_the_second_try() {
    let stub = stub(&[AGAIN, &ok("borrowed")]);
    let began = Instant::now();
    let run = client(&target(stub.address), &["checkout", "--body", "a book"]);
    let took = began.elapsed();
    assert_eq!(
        (run.status.code(), text(&run.stdout)),
        (Some(0), "borrowed".into()),
        "{}",
        text(&run.stderr)
    );
    assert!(
        took >= Duration::from_millis(500),
        "the wait is honoured: {took:?}"
    );
    let seen = stub.seen();
    let [first, second] = &seen[..] else {
        panic!("{} tries", seen.len())
    };
    for message in [first, second] {
        assert_eq!(message.first, "POST /checkout?sid=7f3a HTTP/1.1");
        assert_eq!(
            (message.header("x-tenant-id"), message.text().as_str()),
            (Some("biblio-estrie"), "a book")
        );
        assert_eq!(
            message.header("host"),
            Some(stub.address.to_string().as_str())
        );
    }
    assert_ne!(first.id(), second.id());
    assert_eq!(
        (first.header("x-retried"), second.header("x-retried")),
        (None, Some("1"))
    );
    let left = |m: &Message| m.header("x-timeout").unwrap().parse::<f64>().unwrap();
    assert!(left(first) <= 2.0 && left(first) > 1.0, "{}", left(first));
    assert!(
        left(second) <= left(first) - 0.5,
        "{} after {}",
        left(second),
        left(first)
    );
    let decimals = first
        .header("x-timeout")
        .unwrap()
        .split_once('.')
        .map(|(_, d)| d.len());
    assert_eq!(decimals, Some(3));
    let mut names: Vec<String> = second
        .headers
        .iter()
        .map(|(n, _)| n.to_lowercase())
        .collect();
    names.sort();
    let wanted = [
        "content-length",
        "host",
        "x-request-id",
        "x-retried",
        "x-tenant-id",
        "x-timeout",
    ];
    assert_eq!(names, wanted, "a checkout has no further header");
}

#[test]
fn a_checkout_that_may_have_run_is_never_sent_again() {
    let cut = ok("0123456789").replace("0123456789", "01234");
    for deed in [
        BackendAction::Write(empty("500 Oops")),
        BackendAction::Write(empty("502 Bad")),
        BackendAction::Write(empty("504 Late")),
        BackendAction::WriteAndClose(String::new()),
        BackendAction::WriteAndClose(cut),
        BackendAction::Write(ok(&"x".repeat((64 << 10) + 1))),
    ] {
        let stub = with(vec![deed, BackendAction::Write(ok("twice"))]);
        let run = client(&target(stub.address), &["checkout"]);
        assert_eq!(
            (run.status.code(), stub.seen().len()),
            (Some(1), 1),
            "{}",
            text(&run.stderr)
        );
    }
    let nobody = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let run = client(&target(nobody), &["checkout"]);
    let log = text(&run.stderr);
    assert_eq!(run.status.code(), Some(1), "{log}");
    assert!(log.contains("try 1: ") && !log.contains("try 2: "), "{log}");
}

#[test]
fn a_lookup_goes_again_after_a_broken_connection_and_an_error() {
    let stub = with(vec![
        BackendAction::WriteAndClose(String::new()),
        BackendAction::Write(empty("502 Bad")),
        BackendAction::Write(ok(&"x".repeat(64 << 10))),
    ]);
    let run = client(
        &(target(stub.address) + "client.mark_retries = false"),
        &["lookup"],
    );
    assert_eq!(run.status.code(), Some(0), "{}", text(&run.stderr));
    assert_eq!(run.stdout.len(), 64 << 10);
    let seen = stub.seen();
    assert_eq!(seen.len(), 3);
    assert!(
        seen.iter()
            .all(|m| m.first == "GET /lookup?sid=7f3a HTTP/1.1" && m.header("x-retried").is_none())
    );
}

#[test]
fn tries_and_the_deadline_bound_a_call() {
    let refused = stub(&[&empty("429 Slow")]);
    let run = client(
        &(target(refused.address) + "client.max_tries = 2"),
        &["checkout"],
    );
    assert_eq!(
        (run.status.code(), refused.seen().len()),
        (Some(3), 2),
        "{}",
        text(&run.stderr)
    );
    // A wait past the deadline is not waited for.
    let later = stub(&["HTTP/1.1 503 Busy\r\nRetry-After: 20\r\nContent-Length: 0\r\n\r\n"]);
    let began = Instant::now();
    let run = client(
        &(target(later.address) + "client.deadline.checkout = 15000"),
        &["checkout"],
    );
    assert_eq!(
        (run.status.code(), later.seen().len()),
        (Some(3), 1),
        "{}",
        text(&run.stderr)
    );
    assert!(
        began.elapsed() < Duration::from_secs(14),
        "it gave up at once"
    );
    // Silence ends with the deadline, and so does a connection that never comes up.
    let gate = Latch::default();
    let silent = with(vec![BackendAction::Hold(gate.clone(), ok("late"))]);
    let (full, _fill) = full_listener();
    for address in [silent.address, full.local_addr().unwrap()] {
        let run = client(
            &(target(address) + "client.deadline.lookup = 200 ms"),
            &["lookup"],
        );
        assert_eq!(run.status.code(), Some(4), "{}", text(&run.stderr));
    }
    gate.open();
}

#[test]
fn wrong_usage_sends_nothing_and_says_why() {
    let stub = stub(&[&ok("")]);
    let good = target(stub.address);
    for (properties, arguments, word) in [
        ("", &["lookup"][..], "--target"),
        (
            "client.max_trys = 3",
            &["lookup"],
            ":1: client.max_trys: no such key",
        ),
        (&good, &["renewal"], "renewal"),
        (&good, &["lookup", "--body", "x"], "a lookup has no body"),
        (&good, &["lookup", "--target", "nowhere"], "HOST:PORT"),
    ] {
        let run = client(properties, arguments);
        let log = text(&run.stderr);
        assert!(
            run.status.code() == Some(2) && log.contains(word),
            "{word}: {log}"
        );
    }
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args([
            "client",
            "lookup",
            "--target",
            &stub.address.to_string(),
            "--tenant",
            "a",
            "--sid",
            "a b",
        ])
        .output()
        .unwrap();
    assert!(
        run.status.code() == Some(2) && text(&run.stderr).contains("sid"),
        "{}",
        text(&run.stderr)
    );
    assert!(stub.seen().is_empty());
}

#[test]
fn help_names_the_exit_codes() {
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args(["client", "--help"])
        .output()
        .unwrap();
    assert!(
        run.status.success() && text(&run.stdout).contains("3 refused"),
        "{}",
        text(&run.stdout)
    );
}
