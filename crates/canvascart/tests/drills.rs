//! Fault injection drills on a running proxy, through `canvascart drill` and the proxy's side port.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::{Command, Output};
use std::time::{Duration, Instant};

use sockets::*;

const ON: &str = "drills.secret = opensesame\ndrills.port = 0\n";

fn setup(properties: &str) -> Setup {
    Setup {
        properties: Some(properties.into()),
        ..Setup::default()
    }
}

/// Starts a proxy with these settings and one backend, and waits until it is ready.
fn proxy(backend: &Backend, properties: &str) -> (Discovery, Proxy) {
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[backend]));
    let proxy = Proxy::up(&discovery, &setup(properties));
    (discovery, proxy)
}

/// Reads the address of the side port from the proxy's log.
fn side_port(proxy: &Proxy) -> SocketAddr {
    let mut address = None;
    wait_for("the side port", || {
        let log = proxy.log.lock().unwrap();
        address = log
            .lines()
            .find_map(|l| l.strip_prefix("canvascart-proxy: drills on ")?.parse().ok());
        address.is_some()
    });
    address.expect("set by the wait")
}

fn drill(arguments: &[&str]) -> Output {
    let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart"));
    command
        .arg("drill")
        .args(arguments)
        .env_remove("NODE_LISTEN")
        .output()
        .unwrap()
}

/// Starts or stops a drill at a proxy. Returns the exit code and the output.
fn run_at(proxy: &Proxy, secret: &str, arguments: &[&str]) -> (Option<i32>, String) {
    let port = side_port(proxy).to_string();
    let (subcommand, rest) = arguments.split_first().expect("a subcommand");
    let run = drill(&[&[*subcommand, "--secret", secret, "--at", &port], rest].concat());
    let output = [run.stdout, run.stderr].concat();
    (
        run.status.code(),
        String::from_utf8_lossy(&output).into_owned(),
    )
}

fn count(log: &str, expected: &str) -> usize {
    log.lines().filter(|l| l.contains(expected)).count()
}

#[test]
fn share_of_one_class_is_aborted_and_the_balancer_sees_every_request() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, proxy) = proxy(&backend, ON);
    let start = [
        "start", "--class", "page", "--abort", "--share", "10%", "--for", "120s",
    ];
    let output = run_at(&proxy, "opensesame", &start);
    assert_eq!(
        output,
        (Some(0), "drill=page-abort on 10% for 120 s\n".into())
    );
    let mut client = Client::new(&proxy);
    let mut codes = Vec::new();
    for n in 0..1000 {
        codes.push(
            client
                .ask(&page(&format!("r-{n}")))
                .expect("a response")
                .status(),
        );
        if n % 10 == 0 {
            let other = client.ask(&submit(&format!("r-other-{n}"), "5", "x"));
            assert_eq!(
                other.expect("a response").status(),
                200,
                "the drill affected another class"
            );
        }
    }
    assert_eq!(codes.iter().filter(|c| **c == 500).count(), 100);
    assert_eq!(codes.iter().filter(|c| **c == 200).count(), 900);
    assert_eq!(
        backend.seen().len(),
        1100,
        "a request was not sent exactly once"
    );
    wait_for("a log line per request", || {
        count(&proxy.log.lock().unwrap(), "drill=page-abort id=r-") == 100
    });
    let affected = codes
        .iter()
        .position(|c| *c == 500)
        .expect("100 aborted requests");
    assert!(proxy.log.lock().unwrap().contains(&format!(
        "canvascart-proxy: drill=page-abort id=r-{affected}\n"
    )));
}

#[test]
fn share_of_requests_is_delayed_until_the_drill_is_stopped() {
    let backend = Backend::new(BackendAction::Write(ok("whole")));
    let (_discovery, proxy) = proxy(&backend, ON);
    let start = [
        "start", "--class", "page", "--delay", "20ms", "--share", "20%", "--for", "120s",
    ];
    let output = run_at(&proxy, "opensesame", &start);
    assert_eq!(
        output,
        (Some(0), "drill=page-delay-20ms on 20% for 120 s\n".into())
    );
    let mut client = Client::new(&proxy);
    let mut elapsed_times = Vec::new();
    for n in 0..1000 {
        let began = Instant::now();
        let answer = client.ask(&page(&format!("r-{n}"))).expect("a response");
        assert_eq!((answer.status(), answer.text().as_str()), (200, "whole"));
        elapsed_times.push(began.elapsed());
    }
    wait_for("a log line per request", || {
        count(&proxy.log.lock().unwrap(), "drill=page-delay-20ms id=r-") == 200
    });
    let log = proxy.log.lock().unwrap().clone();
    for line in log
        .lines()
        .filter_map(|l| l.strip_prefix("canvascart-proxy: drill=page-delay-20ms id=r-"))
    {
        let n: usize = line.parse().expect("a number");
        assert!(
            elapsed_times[n] >= Duration::from_millis(20),
            "request {n}: {:?}",
            elapsed_times[n]
        );
    }
    let output = run_at(&proxy, "opensesame", &["stop", "--class", "page"]);
    assert_eq!(output, (Some(0), "drill=page-delay-20ms stopped\n".into()));
    for n in 0..50 {
        assert_eq!(
            client
                .ask(&page(&format!("r-after-{n}")))
                .expect("a response")
                .status(),
            200
        );
    }
    assert_eq!(
        run_at(&proxy, "opensesame", &["stop"]),
        (Some(0), "no drill runs\n".into())
    );
    assert_eq!(count(&proxy.log.lock().unwrap(), "id=r-after"), 0);
}

#[test]
fn duration_is_capped_and_the_drill_ends_by_itself() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, proxy) = proxy(&backend, &format!("{ON}drills.max_seconds = 1\n"));
    let start = [
        "start", "--class", "page", "--abort", "--share", "100%", "--for", "1h",
    ];
    let began = Instant::now();
    let output = run_at(&proxy, "opensesame", &start);
    assert_eq!(
        output,
        (
            Some(0),
            "drill=page-abort on 100% for 1 s, cut to the limit\n".into()
        )
    );
    let mut client = Client::new(&proxy);
    let mut n = 0;
    wait_for("the end of the drill", || {
        n += 1;
        client
            .ask(&page(&format!("r-{n}")))
            .expect("a response")
            .status()
            == 200
    });
    assert!(began.elapsed() >= Duration::from_secs(1));
    wait_for("the log line", || {
        proxy
            .log
            .lock()
            .unwrap()
            .contains("drill=page-abort has ended")
    });
}

#[test]
fn wrong_secret_and_invalid_values_are_rejected_and_logged_without_the_secret() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, mut proxy) = proxy(&backend, ON);
    let start = [
        "start", "--class", "page", "--abort", "--share", "100%", "--for", "1h",
    ];
    let (code, output) = run_at(&proxy, "opensesamy", &start);
    assert!(
        code == Some(1) && output.contains("the secret is wrong"),
        "{output}"
    );
    wait_for("the log line", || {
        proxy
            .log
            .lock()
            .unwrap()
            .contains("drills: a wrong secret from 127.0.0.1:")
    });
    for (n, value, expected) in [
        (2, "renewal", "no class 'renewal'"),
        (5, "200%", "'share'"),
        (7, "ever", "'for'"),
    ] {
        let mut bad = start;
        bad[n] = value;
        let (code, output) = run_at(&proxy, "opensesame", &bad);
        assert!(
            code == Some(1) && output.contains(expected),
            "{expected}: {output}"
        );
    }
    assert_eq!(
        Client::new(&proxy)
            .ask(&page("r-1"))
            .expect("a response")
            .status(),
        200
    );
    assert!(proxy.is_running());
    let log = proxy.log.lock().unwrap().clone();
    assert!(!log.contains("opensesam"), "{log}");
}

#[test]
fn restart_ends_every_drill_and_releases_delayed_responses() {
    let backend = Backend::new(BackendAction::Write(ok("held")));
    let (discovery, mut first) = proxy(&backend, ON);
    let start = [
        "start", "--class", "page", "--delay", "60s", "--share", "100%", "--for", "120s",
    ];
    assert_eq!(run_at(&first, "opensesame", &start).0, Some(0));
    let mut client = Client::new(&first);
    let began = Instant::now();
    client.send(&page("r-1"));
    wait_for("the drill", || {
        first
            .log
            .lock()
            .unwrap()
            .contains("drill=page-delay-60000ms id=r-1")
    });
    first.terminate();
    assert_eq!(client.answer().expect("a response").text(), "held");
    assert!(first.wait().success());
    let second = Proxy::up(&discovery, &setup(ON));
    assert_eq!(
        Client::new(&second)
            .ask(&page("r-2"))
            .expect("a response")
            .text(),
        "held"
    );
    assert!(began.elapsed() < Duration::from_secs(60));
    assert_eq!(
        run_at(&second, "opensesame", &["stop"]),
        (Some(0), "no drill runs\n".into())
    );
}

#[test]
fn side_port_opens_only_with_both_secret_and_port() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    for properties in [
        "",
        "drills.secret = opensesame\n",
        "drills.port = 0\n",
        "drills.max_seconds = 9\n",
    ] {
        let (_discovery, mut proxy) = proxy(&backend, properties);
        proxy.terminate();
        assert!(proxy.wait().success());
        assert!(
            !proxy.log.lock().unwrap().contains("drills on"),
            "{properties}"
        );
    }
}

#[test]
fn side_port_limits_body_size_and_connections() {
    let backend = Backend::new(BackendAction::Write(ok("")));
    let (_discovery, proxy) = proxy(&backend, ON);
    let port = side_port(&proxy);
    let connect = || {
        let stream = TcpStream::connect(port).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        stream
    };
    let read_to_end = |mut stream: TcpStream| {
        let mut bytes = Vec::new();
        let _ = stream.read_to_end(&mut bytes); // the connection may end with a reset
        String::from_utf8_lossy(&bytes).into_owned()
    };
    let mut large = connect();
    let head = "POST /drill HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer opensesame\r\nContent-Length: 4097\r\n\r\n";
    large.write_all(head.as_bytes()).unwrap();
    let _ = large.write_all(&[b' '; 4097]); // the proxy may have closed the connection
    let answer = read_to_end(large);
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
    // Silent connections occupy all places only until they time out.
    let silent: Vec<TcpStream> = (0..8).map(|_| connect()).collect();
    for stream in silent {
        let answer = read_to_end(stream);
        assert!(!answer.contains(" 200 "), "{answer}");
    }
    assert_eq!(
        run_at(&proxy, "opensesame", &["stop"]),
        (Some(0), "no drill runs\n".into())
    );
}

#[test]
fn command_finds_the_side_port_and_reports_errors() {
    let closed_address = std::net::TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let file = config_file(&format!("drills.port = {}\n", closed_address.port()));
    let stop_arguments = [
        "stop",
        "--secret",
        "s",
        "--properties",
        file.to_str().unwrap(),
    ];
    let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart"));
    let run = command
        .arg("drill")
        .args(stop_arguments)
        .env("NODE_LISTEN", "127.0.0.1:9000")
        .output()
        .unwrap();
    let output = String::from_utf8_lossy(&run.stderr).into_owned();
    assert!(
        run.status.code() == Some(3)
            && output.contains(&format!("127.0.0.1:{}: ", closed_address.port())),
        "{output}"
    );
    for (arguments, expected) in [
        (&stop_arguments[..], "NODE_LISTEN"),
        (&["stop", "--secret", "s"], "--at"),
        (
            &["stop", "--secret", "two words", "--at", "127.0.0.1:1"],
            "secret",
        ),
        (
            &[
                "start", "--secret", "s", "--class", "page", "--share", "1%", "--for", "1s",
            ],
            "--delay",
        ),
    ] {
        let run = drill(arguments);
        let output = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(
            run.status.code() == Some(2) && output.contains(expected),
            "{expected}: {output}"
        );
    }
    let _ = std::fs::remove_file(&file);
}
