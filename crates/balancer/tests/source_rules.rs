//! Checks that `deploy/balancer.toml` lists all files that contain policy, which operators read on call, and that the
//! module has no other inputs than its events and respects the order of its layers.
use std::collections::BTreeSet;
use std::path::Path;

const ROOT: &str = include_str!("../src/lib.rs");

/// Files that make no decisions: types, records, encoding. The policy has to list all other files.
const NON_DECIDING: [&str; 14] = [
    "lib",
    "types",
    "settings",
    "health_snapshot",
    "event",
    "action",
    "hash",
    "ewma",
    "request",
    "endpoint",
    "in_flight",
    "gossip_message",
    "state",
    "health_transfer",
];

/// Returns the files that `deploy/balancer.toml` lists as the policy.
fn policy() -> BTreeSet<String> {
    let deploy = include_str!("../../../deploy/balancer.toml");
    let line = deploy
        .lines()
        .find_map(|l| l.strip_prefix("policy = ["))
        .expect("a line with the policy");
    let names = line
        .trim_end_matches(']')
        .split(',')
        .map(|name| name.trim().trim_matches('"'));
    names.map(str::to_owned).collect()
}

/// Returns the paths of all source files of this package, relative to the root of the repository.
fn sources() -> BTreeSet<String> {
    let source = Path::new(env!("CARGO_MANIFEST_DIR")).join("src");
    let package = Path::new(env!("CARGO_MANIFEST_DIR"))
        .file_name()
        .unwrap()
        .to_str()
        .unwrap();
    let name = |entry: std::io::Result<std::fs::DirEntry>| {
        entry.unwrap().file_name().into_string().unwrap()
    };
    let files = std::fs::read_dir(source).unwrap().map(name);
    files
        .map(|file| format!("crates/{package}/src/{file}"))
        .collect()
}

fn stem(path: &str) -> &str {
    path.rsplit('/').next().unwrap().trim_end_matches(".rs")
}

#[test]
fn the_policy_lists_every_deciding_module() {
    let deciding = |path: &&String| !NON_DECIDING.contains(&stem(path));
    let expected: BTreeSet<String> = sources().iter().filter(deciding).cloned().collect();
    assert!(!expected.is_empty());
    assert_eq!(
        policy(),
        expected,
        "the policy in deploy/balancer.toml differs from the files that make decisions"
    );
}

/// A file makes decisions if it emits actions or draws random numbers. The next test checks for constants.
#[test]
fn modules_outside_the_policy_make_no_decisions() {
    let named: BTreeSet<String> = FILES.iter().map(|(name, _)| (*name).to_owned()).collect();
    let present: BTreeSet<String> = sources().iter().map(|path| stem(path).to_owned()).collect();
    assert!(
        present
            .iter()
            .all(|name| name == "lib" || named.contains(name)),
        "a source file is missing in FILES"
    );
    for (name, text) in FILES.iter().filter(|(name, _)| NON_DECIDING.contains(name)) {
        for word in [
            "Vec<Action>",
            "out.push(",
            "rng.",
            "rng\n",
            "Action::Forward {",
            "Action::Reject {",
            "Action::Fail(",
            "Action::Timer {",
        ] {
            assert!(
                !text.contains(word),
                "{word} in {name}, which must not make decisions"
            );
        }
    }
}

/// Constants express policy, except those of the message encoding.
#[test]
fn modules_outside_the_policy_have_no_constants() {
    for (name, text) in FILES
        .iter()
        .filter(|(name, _)| NON_DECIDING.contains(name) && *name != "gossip_message")
    {
        let constant = text
            .lines()
            .map(|line| line.trim_start().trim_start_matches("pub(crate) "))
            .find(|line| line.starts_with("const ") && !line.starts_with("const fn"));
        assert_eq!(constant, None, "{name} must not contain constants");
    }
}

#[test]
fn the_crate_documentation_lists_the_interface_modules() {
    let head: String = ROOT.lines().take(8).collect();
    for file in ["types", "settings", "health_snapshot", "event", "action"] {
        assert!(head.contains(&format!("`{file}`")));
    }
}

/// All files of the module, from the lowest layer to the highest.
const FILES: [(&str, &str); 37] = [
    ("types", include_str!("../src/types.rs")),
    ("settings", include_str!("../src/settings.rs")),
    ("health_snapshot", include_str!("../src/health_snapshot.rs")),
    ("event", include_str!("../src/event.rs")),
    ("action", include_str!("../src/action.rs")),
    ("hash", include_str!("../src/hash.rs")),
    ("ewma", include_str!("../src/ewma.rs")),
    ("timing", include_str!("../src/timing.rs")),
    ("threshold", include_str!("../src/threshold.rs")),
    ("speed_bands", include_str!("../src/speed_bands.rs")),
    ("arrival_rate", include_str!("../src/arrival_rate.rs")),
    ("tenant_quota", include_str!("../src/tenant_quota.rs")),
    (
        "latency_estimator",
        include_str!("../src/latency_estimator.rs"),
    ),
    (
        "outlier_detection",
        include_str!("../src/outlier_detection.rs"),
    ),
    ("slow_start", include_str!("../src/slow_start.rs")),
    ("endpoint", include_str!("../src/endpoint.rs")),
    (
        "concurrency_limit",
        include_str!("../src/concurrency_limit.rs"),
    ),
    ("request", include_str!("../src/request.rs")),
    ("retry", include_str!("../src/retry.rs")),
    ("queue", include_str!("../src/queue.rs")),
    ("in_flight", include_str!("../src/in_flight.rs")),
    ("gossip_message", include_str!("../src/gossip_message.rs")),
    ("gossip", include_str!("../src/gossip.rs")),
    ("state", include_str!("../src/state.rs")),
    ("availability", include_str!("../src/availability.rs")),
    (
        "endpoint_selection",
        include_str!("../src/endpoint_selection.rs"),
    ),
    ("forwarding", include_str!("../src/forwarding.rs")),
    ("final_answer", include_str!("../src/final_answer.rs")),
    ("attempts", include_str!("../src/attempts.rs")),
    ("stall_detection", include_str!("../src/stall_detection.rs")),
    ("admission", include_str!("../src/admission.rs")),
    ("endpoint_list", include_str!("../src/endpoint_list.rs")),
    ("peer_reports", include_str!("../src/peer_reports.rs")),
    ("reconfiguration", include_str!("../src/reconfiguration.rs")),
    ("health_transfer", include_str!("../src/health_transfer.rs")),
    ("maintenance", include_str!("../src/maintenance.rs")),
    ("balancer", include_str!("../src/balancer.rs")),
];

#[test]
fn no_module_uses_clock_threads_globals_or_input() {
    for word in [
        "std::time",
        "std::thread",
        "std::io",
        "std::env",
        "static ",
        "println!",
        "unsafe {",
    ] {
        for (file, text) in FILES {
            assert!(!text.contains(word), "{word} in {file}");
        }
    }
}

/// Lower layers must not use higher ones. Otherwise a file outside the policy could make decisions by calling one
/// inside.
#[test]
fn no_module_uses_a_higher_layer() {
    for (own, (file, text)) in FILES.iter().enumerate() {
        for (higher, _) in &FILES[own + 1..] {
            assert!(
                !text.contains(&format!("crate::{higher}")),
                "{file} uses {higher}"
            );
        }
    }
}
