//! The figures of a running proxy, wherever they go.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::net::{SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::process::Command;

use sockets::*;

const ON: &str = "figures.enabled = true\nfigures.flush_ms = 20\n";

/// A proxy with these settings and one backend, up.
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

fn served(client: &mut Client, requests: usize) {
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

/// The sum of a counter over lines.
fn sum(lines: &str, counter: &str, tags: &str) -> u64 {
    let of = |line: &str| -> Option<u64> {
        let (value, rest) = line
            .strip_prefix(counter)?
            .strip_prefix(':')?
            .split_once('|')?;
        (rest == format!("c|#{tags}")).then(|| value.parse().expect("a count"))
    };
    lines.lines().filter_map(of).sum()
}

fn end(proxy: &mut Proxy) -> String {
    proxy.terminate();
    assert!(proxy.wait().success());
    wait_for("the last figures", || {
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
fn they_go_to_standard_error_and_none_is_lost_at_the_end() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = proxy(
        &backend,
        "figures.enabled = true\nfigures.flush_ms = 600000\n",
        false,
    );
    let mut client = Client::new(&proxy);
    served(&mut client, 30);
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
    let log = end(&mut proxy);
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
        "only what the settings name: {log}"
    );
}

#[test]
fn off_means_off() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let file = path("off");
    let named = format!(
        "figures.enabled = false\nfigures.file = {}\nfigures.flush_ms = 1\n",
        file.display()
    );
    for properties in [String::new(), named] {
        let (_discovery, mut proxy) = proxy(&backend, &properties, false);
        served(&mut Client::new(&proxy), 3);
        proxy.terminate();
        assert!(proxy.wait().success());
        assert!(!proxy.log.lock().unwrap().contains("canvascart."));
    }
    assert!(!file.exists());
}

#[test]
fn they_arrive_by_udp_in_datagrams_within_the_bound() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let collector = UdpSocket::bind("127.0.0.1:0").unwrap();
    collector.set_read_timeout(Some(LIMIT)).unwrap();
    let to = collector.local_addr().unwrap();
    let on = format!("{ON}figures.batch_bytes = 512\nfigures.udp = {to}\n");
    let (_discovery, mut proxy) = proxy(&backend, &on, false);
    let mut client = Client::new(&proxy);
    let (mut lines, mut buffer) = (String::new(), [0; 4096]);
    let mut most = 0;
    for round in 1..=3 {
        served(&mut client, 20);
        while sum(&lines, "canvascart.requests", SERVED) < 20 * round {
            let size = collector.recv(&mut buffer).expect("figures");
            assert!(size <= 512, "{size}");
            most = most.max(size);
            lines += std::str::from_utf8(&buffer[..size]).expect("text");
            lines.push('\n');
        }
    }
    assert!(most > 256, "lines share datagrams: {most}");
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
        "whole lines"
    );
    proxy.terminate();
    assert!(proxy.wait().success());
    assert!(
        !proxy.log.lock().unwrap().contains("canvascart."),
        "not to standard error too"
    );
}

#[test]
fn a_collector_that_is_gone_changes_no_answer() {
    let backend = Backend::new(BackendAction::Write(ok("whole")));
    let closed = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let (_discovery, mut proxy) = proxy(&backend, &format!("{ON}figures.udp = {closed}\n"), false);
    let mut client = Client::new(&proxy);
    for n in 0..200 {
        let answer = client.ask(&page(&format!("r-{n}"))).expect("an answer");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "whole"));
    }
    proxy.terminate();
    assert!(proxy.wait().success());
    assert!(
        !proxy.log.lock().unwrap().contains("figures"),
        "an error of UDP is no news"
    );
}

#[test]
fn they_go_to_a_file_and_one_that_cannot_be_written_is_logged_once() {
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
    served(&mut Client::new(&first), 20);
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
    let nowhere = "figures.file = /no/such/directory/file\n";
    let (_discovery, mut second) = proxy(&backend, &format!("{ON}{nowhere}"), false);
    let mut client = Client::new(&second);
    served(&mut client, 100);
    wait_for("a word", || {
        second
            .log
            .lock()
            .unwrap()
            .contains("figures: /no/such/directory/file: ")
    });
    served(&mut client, 100);
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

#[test]
fn a_standard_error_that_nobody_reads_holds_nobody_up_and_the_lost_are_counted() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = proxy(&backend, ON, true);
    let mut client = Client::new(&proxy);
    // More than a pipe and the buffer hold.
    served(&mut client, 6000);
    let mut lines = proxy
        .unread_stderr
        .take()
        .expect("nobody else reads")
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
        "whole lines"
    );
    drop(lines); // and now nobody ever will
    served(&mut client, 200);
    proxy.terminate();
    assert!(proxy.wait().success());
}

#[test]
fn what_a_drill_affects_carries_its_tag() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let on =
        "figures.enabled = true\nfigures.flush_ms = 600000\ndrills.secret = s\ndrills.port = 0\n";
    let (_discovery, mut proxy) = proxy(&backend, on, false);
    let mut at: Option<SocketAddr> = None;
    wait_for("the side port", || {
        let log = proxy.log.lock().unwrap();
        at = log
            .lines()
            .find_map(|l| l.strip_prefix("canvascart-proxy: drills on ")?.parse().ok());
        at.is_some()
    });
    let at = at.expect("just seen").to_string();
    let drill = [
        "drill", "start", "--secret", "s", "--at", &at, "--class", "page",
    ];
    let deed = ["--delay", "1ms", "--share", "10%", "--for", "120s"];
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args(drill)
        .args(deed)
        .output()
        .unwrap();
    assert!(run.status.success());
    served(&mut Client::new(&proxy), 1000);
    // One whose client does not wait for its delayed answer is affected too.
    let run = Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args(drill)
        .args(["--delay", "60s", "--share", "100%", "--for", "120s"])
        .output()
        .unwrap();
    assert!(run.status.success());
    let mut left = Client::new(&proxy);
    left.send(&page("r-left"));
    wait_for("the drill", || {
        proxy
            .log
            .lock()
            .unwrap()
            .contains("drill=page-delay-60000ms id=r-left")
    });
    left.shutdown_write();
    assert!(left.is_closed());
    let log = end(&mut proxy);
    let gone = "class:page,tenant:acme,code:499,drill:page-delay-60000ms";
    assert_eq!(sum(&log, "canvascart.requests", gone), 1);
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
