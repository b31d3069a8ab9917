//! Checks that each module of the crate uses only modules of lower layers, so that there are no cycles.
use std::path::Path;

/// The modules, from the lowest layer up.
const LAYERS: [&str; 48] = [
    "backoff",
    "memory_queue",
    "body_memory",
    "body_buffer",
    "bounded_read",
    "socket_options",
    "client_presence",
    "write_window",
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
    "body_arrival",
    "upload",
    "upload_receiving",
    "upload_sender",
    "stream",
    "request_fields",
    "message",
    "response_arrival",
    "exchange",
    "request_body",
    "request_end",
    "vars",
    "inbox",
    "load_report",
    "lifecycle",
    "attempt_control",
    "upstream",
    "attempt_report",
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

/// Returns the names that follow `crate::` in a source text, including those in `crate::{a, b}`.
fn used_modules(text: &str) -> Vec<String> {
    let mut names = Vec::new();
    for rest in text.split("crate::").skip(1) {
        let list = rest
            .strip_prefix('{')
            .and_then(|r| r.split_once('}'))
            .map_or(rest, |(list, _)| list);
        let is_group = list.len() != rest.len();
        let name = |part: &str| {
            part.trim()
                .split(|c: char| !c.is_alphanumeric() && c != '_')
                .next()
                .map(str::to_owned)
        };
        names.extend(
            list.split(',')
                .take(if is_group { usize::MAX } else { 1 })
                .filter_map(name),
        );
    }
    names
}

#[test]
fn each_module_uses_only_lower_layers() {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let mut use_count = 0;
    for file in std::fs::read_dir(&source).unwrap() {
        let file = file.unwrap().path();
        let name = file.file_stem().unwrap().to_str().unwrap().to_owned();
        if name == "lib" {
            continue;
        }
        let own_layer = LAYERS
            .iter()
            .position(|l| *l == name)
            .unwrap_or_else(|| panic!("{name} has no layer"));
        for used_module in used_modules(&std::fs::read_to_string(&file).unwrap()) {
            // The logging macro belongs to the log module but is exported at the crate root.
            let used_module = if used_module == "note" {
                "log"
            } else {
                &used_module
            };
            let used_layer = LAYERS
                .iter()
                .position(|l| *l == used_module)
                .unwrap_or_else(|| panic!("{used_module} in {name} has no layer"));
            assert!(
                used_layer <= own_layer,
                "{name} uses {used_module} of a higher layer"
            );
            use_count += 1;
        }
    }
    assert!(use_count > 30, "only {use_count} uses were found");
}

#[test]
fn used_modules_are_found() {
    assert_eq!(
        used_modules("use crate::log;\nuse crate::{a, b};\ncrate::c::d(x, y)"),
        ["log", "a", "b", "c"]
    );
}
