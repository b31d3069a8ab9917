//! Metrics export of a running proxy: to standard error, a file and UDP.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;

use sockets::*;

const ON: &str = "figures.enabled = true\nfigures.flush_ms = 20\n";

/// Starts a proxy with these settings and one backend, and waits until it is ready.
fn proxy(backend: &Backend, properties: &str, leave_stderr_unread: bool) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[backend]));
    let properties = Some(properties.to_owned());
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            properties,
            leave_stderr_unread,
            ..Setup::default()
        },
    );
    (discovery, proxy)
}

fn send_requests(client: &mut Client, requests: usize) {
    for n in 0..requests {
        assert_eq!(
            client
                .ask(&page(&format!("r-{n}")))
                .expect("an answer")
                .status(),
            200
        );
    }
}

/// Sums a counter with these tags over exported lines.
fn sum(lines: &str, counter: &str, tags: &str) -> u64 {
    let counter_value = |line: &str| -> Option<u64> {
        let (value, rest) = line
            .strip_prefix(counter)?
            .strip_prefix(':')?
            .split_once('|')?;
        (rest == format!("c|#{tags}")).then(|| value.parse().expect("a count"))
    };
    lines.lines().filter_map(counter_value).sum()
}

fn terminate(proxy: &mut Proxy) -> String {
    proxy.terminate();
    assert!(proxy.wait().success());
    wait_for("the last metrics", || {
        proxy
            .log
            .lock()
            .unwrap()
            .contains("canvascart.inflight:0|g|")
    });
    proxy.log.lock().unwrap().clone()
}

fn path(name: &str) -> PathBuf {
    std::env::temp_dir().join(format!(
        "canvascart-proxy-figures-{}-{name}",
        std::process::id()
    ))
}

const SERVED: &str = "class:page,tenant:acme,code:200";

#[test]
fn metrics_go_to_standard_error_and_are_flushed_at_shutdown() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = proxy(
        &backend,
        "figures.enabled = true\nfigures.flush_ms = 600000\n",
        false,
    );
    let mut client = Client::new(&proxy);
    send_requests(&mut client, 30);
    assert_eq!(
        client
            .ask(&page("r-x").replace("acme", "r-y:1|c"))
            .expect("an answer")
            .status(),
        400
    );
    assert_eq!(
        client
            .ask(&page("r-x").replace("/page", "/r,ef"))
            .expect("an answer")
            .status(),
        404
    );
    let log = terminate(&mut proxy);
    assert_eq!(sum(&log, "canvascart.requests", SERVED), 30);
    assert_eq!(
        sum(
            &log,
            "canvascart.requests",
            "class:page,tenant:other,code:400"
        ),
        1
    );
    assert_eq!(
        sum(
            &log,
            "canvascart.requests",
            "class:other,tenant:acme,code:404"
        ),
        1
    );
    let timers = log
        .lines()
        .filter(|l| l.starts_with("canvascart.latency_ms:"));
    assert_eq!(
        timers
            .filter(|l| l.ends_with(&format!("|ms|#{SERVED}")))
            .count(),
        30
    );
    assert!(
        !log.contains("r-y") && !log.contains("r,ef"),
        "labels contain names that are not configured: {log}"
    );
}

#[test]
fn disabled_metrics_write_nothing() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let file = path("off");
    let named = format!(
        "figures.enabled = false\nfigures.file = {}\nfigures.flush_ms = 1\n",
        file.display()
    );
    for properties in [String::new(), named] {
        let (_discovery, mut proxy) = proxy(&backend, &properties, false);
        send_requests(&mut Client::new(&proxy), 3);
        proxy.terminate();
        assert!(proxy.wait().success());
        assert!(!proxy.log.lock().unwrap().contains("canvascart."));
    }
    assert!(!file.exists());
}

#[test]
fn metrics_are_sent_in_udp_datagrams_within_the_size_limit() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let collector = UdpSocket::bind("127.0.0.1:0").unwrap();
    collector.set_read_timeout(Some(LIMIT)).unwrap();
    let to = collector.local_addr().unwrap();
    let on = format!("{ON}figures.batch_bytes = 512\nfigures.udp = {to}\n");
    let (_discovery, mut proxy) = proxy(&backend, &on, false);
    let mut client = Client::new(&proxy);
    let (mut lines, mut buffer) = (String::new(), [0; 4096]);
    let mut max_datagram_bytes = 0;
    for round in 1..=3 {
        send_requests(&mut client, 20);
        while sum(&lines, "canvascart.requests", SERVED) < 20 * round {
            let size = collector.recv(&mut buffer).expect("metrics datagram");
            assert!(size <= 512, "{size}");
            max_datagram_bytes = max_datagram_bytes.max(size);
            lines += std::str::from_utf8(&buffer[..size]).expect("text");
            lines.push('\n');
        }
    }
    assert!(
        max_datagram_bytes > 256,
        "lines were not batched into datagrams: {max_datagram_bytes}"
    );
    assert_eq!(sum(&lines, "canvascart.requests", SERVED), 60);
    assert_eq!(
        lines
            .lines()
            .filter(|l| l.starts_with("canvascart.latency_ms:"))
            .count(),
        60
    );
    assert!(
        lines.lines().all(|l| l.starts_with("canvascart.")),
        "a line is truncated"
    );
    proxy.terminate();
    assert!(proxy.wait().success());
    assert!(
        !proxy.log.lock().unwrap().contains("canvascart."),
        "metrics were also written to standard error"
    );
}

#[test]
fn unreachable_udp_collector_does_not_affect_responses() {
    let backend = Backend::new(BackendAction::Write(ok("whole")));
    let closed_address = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (_discovery, mut proxy) = proxy(
        &backend,
        &format!("{ON}figures.udp = {closed_address}\n"),
        false,
    );
    let mut client = Client::new(&proxy);
    for n in 0..200 {
        let answer = client.ask(&page(&format!("r-{n}"))).expect("an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "whole"));
    }
    proxy.terminate();
    assert!(proxy.wait().success());
    assert!(
        !proxy.log.lock().unwrap().contains("figures"),
        "UDP send errors are not logged"
    );
}

#[test]
fn metrics_go_to_a_file_and_a_write_error_is_logged_once() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let file = path("file");
    let (_discovery, mut first) = proxy(
        &backend,
        &format!(
            "{ON}figures.format = influx\nfigures.file = {}\n",
            file.display()
        ),
        false,
    );
    send_requests(&mut Client::new(&first), 20);
    first.terminate();
    assert!(first.wait().success());
    let lines = std::fs::read_to_string(&file).unwrap();
    let points = |start: &str| lines.lines().filter(|l| l.starts_with(start)).count();
    assert_eq!(
        points("canvascart.latency_ms,class=page,tenant=acme,code=200 value="),
        20,
        "{lines}"
    );
    assert!(points("canvascart.requests,class=page,tenant=acme,code=200 value=") > 0);
    std::fs::remove_file(&file).unwrap();
    let unwritable = "figures.file = /no/such/directory/file\n";
    let (_discovery, mut second) = proxy(&backend, &format!("{ON}{unwritable}"), false);
    let mut client = Client::new(&second);
    send_requests(&mut client, 100);
    wait_for("the error log line", || {
        second
            .log
            .lock()
            .unwrap()
            .contains("figures: /no/such/directory/file: ")
    });
    send_requests(&mut client, 100);
    second.terminate();
    assert!(second.wait().success());
    assert_eq!(
        second
            .log
            .lock()
            .unwrap()
            .matches("figures: /no/such")
            .count(),
        1
    );
}

/// Guards against a proxy that stalls because nobody drains the pipe of its standard error.
#[test]
fn unread_standard_error_does_not_block_and_dropped_metrics_are_counted() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = proxy(&backend, ON, true);
    let mut client = Client::new(&proxy);
    // More output than the pipe and the buffer hold.
    send_requests(&mut client, 6000);
    let mut lines = proxy
        .unread_stderr
        .take()
        .expect("standard error has no other reader")
        .map_while(Result::ok);
    let mut before = Vec::new();
    let dropped = lines.find_map(|line| {
        let dropped = line
            .strip_prefix("canvascart.figures_dropped:")
            .map(str::to_owned);
        before.push(line);
        dropped
    });
    let dropped = dropped.expect("the proxy still runs");
    let count: u64 = dropped
        .strip_suffix("|c")
        .expect("a counter")
        .parse()
        .expect("a number");
    assert!(count > 0);
    assert!(
        before
            .iter()
            .all(|l| l.starts_with("canvascart.") || l.starts_with("canvascart-proxy: ")),
        "a line is truncated"
    );
    drop(lines); // closes the read end of the pipe
    send_requests(&mut client, 200);
    proxy.terminate();
    assert!(proxy.wait().success());
}

#[test]
fn requests_affected_by_a_drill_carry_its_tag() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let on =
        "figures.enabled = true\nfigures.flush_ms = 600000\ndrills.secret = s\ndrills.port = 0\n";
    let (_discovery, mut proxy) = proxy(&backend, on, false);
    let mut side_port: Option<SocketAddr> = None;
    wait_for("the side port", || {
        let log = proxy.log.lock().unwrap();
        side_port = log
            .lines()
            .find_map(|l| l.strip_prefix("canvascart-proxy: drills on ")?.parse().ok());
        side_port.is_some()
    });
    let side_port = side_port.expect("set by the wait").to_string();
    let drill = [
        "drill", "start", "--secret", "s", "--at", &side_port, "--class", "page",
    ];
    let delay_arguments = ["--delay", "1ms", "--share", "10%", "--for", "120s"];
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args(drill)
        .args(delay_arguments)
        .output()
        .unwrap();
    assert!(run.status.success());
    send_requests(&mut Client::new(&proxy), 1000);
    // A request whose client disconnects during the delay is tagged too.
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args(drill)
        .args(["--delay", "60s", "--share", "100%", "--for", "120s"])
        .output()
        .unwrap();
    assert!(run.status.success());
    let mut leaving_client = Client::new(&proxy);
    leaving_client.send(&page("r-left"));
    wait_for("the drill", || {
        proxy
            .log
            .lock()
            .unwrap()
            .contains("drill=page-delay-60000ms id=r-left")
    });
    leaving_client.shutdown_write();
    assert!(leaving_client.is_closed());
    let log = terminate(&mut proxy);
    let disconnected = "class:page,tenant:acme,code:499,drill:page-delay-60000ms";
    assert_eq!(sum(&log, "canvascart.requests", disconnected), 1);
    assert_eq!(
        sum(
            &log,
            "canvascart.requests",
            &format!("{SERVED},drill:page-delay-1ms")
        ),
        100
    );
    assert_eq!(sum(&log, "canvascart.requests", SERVED), 900);
}
