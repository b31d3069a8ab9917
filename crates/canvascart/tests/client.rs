//! `canvascart client` against stub servers on loopback.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::net::{SocketAddr, TcpListener};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use sockets::*;

/// Starts a stub that sends these responses in turn and repeats the last one.
fn stub(responses: &[&str]) -> Backend {
    let responses: Vec<BackendAction> = responses
        .iter()
        .map(|a| BackendAction::Write((*a).to_owned()))
        .collect();
    stub_with_actions(responses)
}

fn stub_with_actions(actions: Vec<BackendAction>) -> Backend {
    let next = AtomicUsize::new(0);
    Backend::with(move |_| {
        actions[next.fetch_add(1, Ordering::SeqCst).min(actions.len() - 1)].clone()
    })
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

const BUSY_RETRY_AFTER: &str = "HTTP/1.1 503 Busy\r\nRetry-After: 0.5\r\nContent-Length: 0\r\n\r\n";

#[test]
fn checkout_rejected_once_succeeds_on_the_second_attempt() {
    let stub = stub(&[BUSY_RETRY_AFTER, &ok("borrowed")]);
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
        "Retry-After was not honoured: {took:?}"
    );
    let seen = stub.seen();
    let [first, second] = &seen[..] else {
        panic!("{} attempts", seen.len())
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
    let remaining = |m: &Message| m.header("x-timeout").unwrap().parse::<f64>().unwrap();
    assert!(
        remaining(first) <= 2.0 && remaining(first) > 1.0,
        "{}",
        remaining(first)
    );
    assert!(
        remaining(second) <= remaining(first) - 0.5,
        "{} after {}",
        remaining(second),
        remaining(first)
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
    let expected = [
        "content-length",
        "host",
        "x-request-id",
        "x-retried",
        "x-tenant-id",
        "x-timeout",
    ];
    assert_eq!(names, expected, "unexpected headers in a checkout");
}

/// Guards against a checkout that runs twice: after an error or a broken connection the server may have processed it.
#[test]
fn checkout_that_may_have_run_is_never_retried() {
    let cut = ok("0123456789").replace("0123456789", "01234");
    for action in [
        BackendAction::Write(empty("500 Oops")),
        BackendAction::Write(empty("502 Bad")),
        BackendAction::Write(empty("504 Late")),
        BackendAction::WriteAndClose(String::new()),
        BackendAction::WriteAndClose(cut),
        BackendAction::Write(ok(&"x".repeat((64 << 10) + 1))),
    ] {
        let stub = stub_with_actions(vec![action, BackendAction::Write(ok("twice"))]);
        let run = client(&target(stub.address), &["checkout"]);
        assert_eq!(
            (run.status.code(), stub.seen().len()),
            (Some(1), 1),
            "{}",
            text(&run.stderr)
        );
    }
    let closed_address = TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let run = client(&target(closed_address), &["checkout"]);
    let log = text(&run.stderr);
    assert_eq!(run.status.code(), Some(1), "{log}");
    assert!(log.contains("try 1: ") && !log.contains("try 2: "), "{log}");
}

#[test]
fn lookup_is_retried_after_a_broken_connection_and_an_error() {
    let stub = stub_with_actions(vec![
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
fn attempts_and_the_deadline_bound_a_call() {
    let busy = stub(&[&empty("429 Slow")]);
    let run = client(
        &(target(busy.address) + "client.max_tries = 2"),
        &["checkout"],
    );
    assert_eq!(
        (run.status.code(), busy.seen().len()),
        (Some(3), 2),
        "{}",
        text(&run.stderr)
    );
    // A Retry-After beyond the deadline ends the call at once.
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
        "the client did not give up at once"
    );
    // A server that does not respond and a connection that is never accepted both end at the deadline.
    let latch = Latch::default();
    let silent = stub_with_actions(vec![BackendAction::Hold(latch.clone(), ok("late"))]);
    let (full_backlog, _fill) = full_listener();
    for address in [silent.address, full_backlog.local_addr().unwrap()] {
        let run = client(
            &(target(address) + "client.deadline.lookup = 200 ms"),
            &["lookup"],
        );
        assert_eq!(run.status.code(), Some(4), "{}", text(&run.stderr));
    }
    latch.open();
}

#[test]
fn usage_errors_are_reported_and_send_nothing() {
    let stub = stub(&[&ok("")]);
    let good = target(stub.address);
    for (properties, arguments, expected) in [
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
            run.status.code() == Some(2) && log.contains(expected),
            "{expected}: {log}"
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
fn help_lists_the_exit_codes() {
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
