//! Command line of the proxy and the file with the features' settings.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::process::{Command, Output};

use sockets::*;

/// Runs the proxy with these arguments and waits until it exits.
fn run(arguments: &[&str]) -> Output {
    let file = config_file(&config("127.0.0.1:1".parse().unwrap(), &Setup::default()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"));
    let run = command
        .args(arguments)
        .env("NODE_CONFIG", &file)
        .output()
        .unwrap();
    let _ = std::fs::remove_file(&file);
    run
}

#[test]
fn an_invalid_file_fails_the_start_and_is_named() {
    for (text, reason) in [
        ("# fine\nno.such.key = 1\n", ":2: no.such.key: no such key"),
        ("a.key = 1\na.key = 1\n", ":2: a.key: already set in line 1"),
        ("a.key\n", ":1: a.key: there is no value"),
    ] {
        let file = config_file(text);
        let name = file.to_str().unwrap();
        let run = run(&["--properties", name]);
        let _ = std::fs::remove_file(&file);
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(
            !run.status.success() && log.contains(&format!("{name}{reason}")),
            "{reason}: {log}"
        );
    }
}

#[test]
fn an_invalid_command_line_fails_the_start() {
    for arguments in [
        &["--properties"][..],
        &["--prop", "x"],
        &["--properties", "x", "y"],
        &["x"],
    ] {
        let run = run(arguments);
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(
            !run.status.success() && log.contains("usage: canvascart-proxy"),
            "{arguments:?}: {log}"
        );
    }
}

#[test]
fn the_deployed_file_is_valid() {
    let deployed = include_str!("../../../deploy/canvascart.properties").to_owned();
    let backend = Backend::new(BackendAction::Write(ok("served")));
    let discovery = Discovery::new();
    discovery.publish(&all_up(&[&backend]));
    let proxy = Proxy::up(
        &discovery,
        &Setup {
            properties: Some(deployed),
            ..Setup::default()
        },
    );
    assert_eq!(
        Client::new(&proxy)
            .ask(&page("r-1"))
            .expect("an answer")
            .text(),
        "served"
    );
}

#[test]
fn help_and_version_exit_successfully() {
    for (flag, expected) in [
        ("--help", "NODE_CONFIG"),
        ("-h", "usage: canvascart-proxy"),
        ("--version", "canvascart-proxy 0."),
        ("-V", "canvascart-proxy 0."),
    ] {
        let run = Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"))
            .arg(flag)
            .env_remove("NODE_CONFIG")
            .output()
            .unwrap();
        let output = String::from_utf8_lossy(&run.stdout).into_owned();
        assert!(
            run.status.success() && output.contains(expected) && run.stderr.is_empty(),
            "{flag}: {output}"
        );
    }
}

#[test]
fn the_example_configuration_starts_a_proxy_that_serves() {
    let backend = Backend::new(BackendAction::Write(ok("served")));
    let example = include_str!("../../../deploy/proxy.example.json");
    let text = example.replace("127.0.0.1:9000", "127.0.0.1:0");
    let text = text.replace("127.0.0.1:9100", &backend.address.to_string());
    assert_ne!(text, example);
    let file = config_file(&text.replace("127.0.0.1:8500", "127.0.0.1:1"));
    let mut command = Command::new(env!("CARGO_BIN_EXE_canvascart-proxy"));
    let mut child = command
        .env("NODE_CONFIG", &file)
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let lines = std::io::BufRead::lines(std::io::BufReader::new(child.stderr.take().unwrap()));
    let address = lines
        .map_while(Result::ok)
        .find_map(|l| l.split_once("listens on ").map(|(_, a)| a.to_owned()));
    let address: std::net::SocketAddr = address.expect("the listener's log line").parse().unwrap();
    let ask = |text: &str| {
        use std::io::{Read as _, Write as _};
        let mut stream = std::net::TcpStream::connect(address).unwrap();
        stream.write_all(text.as_bytes()).unwrap();
        let mut response = String::new();
        stream
            .read_to_string(&mut response)
            .map(|_| response)
            .unwrap_or_default()
    };
    wait_for("/up", || {
        ask("GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n").contains(" 200 ")
    });
    let lookup = "GET /lookup?sid=1 HTTP/1.1\r\nHost: x\r\nConnection: close\r\nX-Request-ID: r-1\r\n\
                  X-Tenant-Id: example-library\r\nX-Timeout: 2.000\r\n\r\n";
    let response = ask(lookup);
    child.kill().unwrap();
    child.wait().unwrap();
    let _ = std::fs::remove_file(&file);
    assert!(
        response.contains(" 200 ") && response.ends_with("served"),
        "{response}"
    );
}
