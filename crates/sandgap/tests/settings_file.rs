//! The file with the features' settings, through the command line of the proxy.
#[path = "../../engine/tests/sockets/mod.rs"]
mod sockets;

use std::process::{Command, Output};

use sockets::*;

/// Runs the proxy with these arguments; it must end by itself.
fn run(arguments: &[&str]) -> Output {
    let file = config_file(&config("127.0.0.1:1".parse().unwrap(), &Setup::default()));
    let mut command = Command::new(env!("CARGO_BIN_EXE_sandgap"));
    let run = command.args(arguments).env("NODE_CONFIG", &file).output().unwrap();
    let _ = std::fs::remove_file(&file);
    run
}

#[test]
fn a_bad_file_stops_the_start_and_is_named() {
    for (text, word) in [
        ("# fine\nno.such.key = 1\n", ":2: no.such.key: no such key"),
        ("a.key = 1\na.key = 1\n", ":2: a.key: stands in line 1 already"),
        ("a.key\n", ":1: a.key: there is no value"),
    ] {
        let file = config_file(text);
        let name = file.to_str().unwrap();
        let run = run(&["--properties", name]);
        let _ = std::fs::remove_file(&file);
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success() && log.contains(&format!("{name}{word}")), "{word}: {log}");
    }
}

#[test]
fn a_command_line_that_cannot_be_read_stops_the_start() {
    for arguments in [&["--properties"][..], &["--prop", "x"], &["--properties", "x", "y"], &["x"]] {
        let run = run(arguments);
        let log = String::from_utf8_lossy(&run.stderr).into_owned();
        assert!(!run.status.success() && log.contains("usage: sandgap"), "{arguments:?}: {log}");
    }
}

#[test]
fn the_file_in_service_is_good() {
    let service = include_str!("../../../deploy/canvascart.properties").to_owned();
    let backend = Backend::new(Deed::Write(ok("served")));
    let discovery = Discovery::new();
    discovery.say(&all_up(&[&backend]));
    let proxy = Proxy::up(&discovery, &Setup { properties: Some(service), ..Setup::default() });
    assert_eq!(Client::new(&proxy).ask(&page("r-1")).expect("an answer").text(), "served");
}
