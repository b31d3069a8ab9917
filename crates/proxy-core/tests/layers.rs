//! Which part of the engine may use which: a part uses only those below it, so that no circle stands.
use std::path::Path;

/// The parts from the lowest up.
const LAYERS: [&str; 30] = [
    "backoff",
    "json_stream",
    "line_writer",
    "log",
    "clock",
    "gate",
    "account",
    "framing",
    "connection",
    "inherited",
    "config",
    "hosts",
    "stream",
    "message",
    "vars",
    "inbox",
    "load_report",
    "lifecycle",
    "upstream",
    "capture",
    "discovery",
    "peers",
    "drills",
    "figures",
    "driver",
    "pool",
    "frontend",
    "ops",
    "service",
    "process",
];

/// The names that follow `crate::` in a text, `crate::{a, b}` included.
fn used(text: &str) -> Vec<String> {
    let mut names = Vec::new();
    for rest in text.split("crate::").skip(1) {
        let list = rest
            .strip_prefix('{')
            .and_then(|r| r.split_once('}'))
            .map_or(rest, |(list, _)| list);
        let several = list.len() != rest.len();
        let name = |part: &str| {
            part.trim()
                .split(|c: char| !c.is_alphanumeric() && c != '_')
                .next()
                .map(str::to_owned)
        };
        names.extend(
            list.split(',')
                .take(if several { usize::MAX } else { 1 })
                .filter_map(name),
        );
    }
    names
}

#[test]
fn each_part_uses_only_those_below_it() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut seen = 0;
    for file in std::fs::read_dir(&source).unwrap() {
        let file = file.unwrap().path();
        let name = file.file_stem().unwrap().to_str().unwrap().to_owned();
        if name == "lib" {
            continue;
        }
        let own = LAYERS
            .iter()
            .position(|l| *l == name)
            .unwrap_or_else(|| panic!("{name} has no layer"));
        for other in used(&std::fs::read_to_string(&file).unwrap()) {
            // The macro that logs a line is the log's, and stands at the root.
            let other = if other == "note" { "log" } else { &other };
            let place = LAYERS
                .iter()
                .position(|l| *l == other)
                .unwrap_or_else(|| panic!("{other} in {name}"));
            assert!(place <= own, "{name} uses {other}, which stands above it");
            seen += 1;
        }
    }
    assert!(seen > 30, "only {seen} uses were found");
}

#[test]
fn uses_are_found() {
    assert_eq!(
        used("use crate::log;\nuse crate::{a, b};\ncrate::c::d(x, y)"),
        ["log", "a", "b", "c"]
    );
}
