//! Compatibility tests: stored state, API documents, metric names, the command line and simulated runs stay the same as
//! in the previous version, which produced the fixtures in `compatibility/`.
//!
//! A `.sparse` file is a database file without its zero blocks: the file length, then each 512-byte block that is not
//! all zeros, preceded by its offset. Length and offsets are 8 bytes, little-endian.
#[path = "../../proxy-core/tests/sockets/mod.rs"]
mod sockets;

use std::collections::BTreeSet;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};

use serde_json::Value;
use sockets::wait_for;

const BLOCK: usize = 512;
const SCENARIOS: [&str; 4] = ["evening", "reset-storm", "shrink", "hung-server"];
const SEEDS: std::ops::RangeInclusive<u64> = 1..=10;
const CLUSTER_KEY: &str = "0123456789abcdef";

fn fixture(name: &str) -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR"))
        .join("tests/compatibility")
        .join(name)
}

fn read(name: &str) -> String {
    std::fs::read_to_string(fixture(name)).unwrap_or_else(|e| panic!("{name}: {e}"))
}

fn canvascart(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_canvascart"))
        .args(arguments)
        .output()
        .unwrap()
}

fn run_successfully(arguments: &[&str]) -> String {
    let run = canvascart(arguments);
    let errors = String::from_utf8_lossy(&run.stderr).into_owned();
    assert_eq!(run.status.code(), Some(0), "{arguments:?}: {errors}");
    String::from_utf8(run.stdout).unwrap()
}

/// Temporary directory, removed on drop.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("canvascart-before-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }

    /// Creates a state directory from fixtures of the previous version.
    fn state(name: &str, files: &[(&str, &str)]) -> Self {
        let directory = Directory::new(name);
        for (stored, file) in files {
            let bytes = std::fs::read(fixture(stored)).unwrap();
            let bytes = if stored.ends_with(".sparse") {
                expand_sparse(&bytes)
            } else {
                bytes
            };
            std::fs::write(directory.0.join(file), bytes).unwrap();
        }
        directory
    }

    fn path(&self) -> &str {
        self.0.to_str().unwrap()
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0);
    }
}

fn read_u64(bytes: &[u8]) -> usize {
    u64::from_le_bytes(bytes[..8].try_into().unwrap()) as usize
}

fn expand_sparse(sparse: &[u8]) -> Vec<u8> {
    let mut file = vec![0; read_u64(sparse)];
    for block in sparse[8..].chunks_exact(8 + BLOCK) {
        let at = read_u64(block);
        let length = BLOCK.min(file.len() - at);
        file[at..at + length].copy_from_slice(&block[8..8 + length]);
    }
    file
}

const STORE_FILES: [(&str, &str); 2] = [
    ("store-state.sparse", "state.redb"),
    ("store-last-good.snapshot", "last-good.snapshot"),
];
const MEMBER_FILES: [(&str, &str); 4] = [
    ("member-state.sparse", "state.redb"),
    ("member-log.sparse", "cluster.redb"),
    ("member-last-good.snapshot", "last-good.snapshot"),
    ("operator.token", "operator.token"),
];

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

/// Computes a 64-bit FNV-1a hash.
fn fnv1a(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |hash, b| {
        (hash ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[test]
fn simulated_runs_match_recorded_output() {
    let mut runs = String::new();
    for scenario in SCENARIOS {
        for seed in SEEDS {
            let run = canvascart(&[
                "lab",
                "sim",
                scenario,
                "--seed",
                &seed.to_string(),
                "--json",
            ]);
            let code = run.status.code().unwrap();
            runs += &format!("{scenario} {seed} {code} {:016x}\n", fnv1a(&run.stdout));
        }
    }
    assert_eq!(
        runs,
        read("lab-sim.txt"),
        "simulated runs differ from the recorded ones; current runs:\n{runs}"
    );
}

/// Collects the commands, usage lines and options from the help pages, recursively and without descriptions.
fn collect_commands(path: &[&str], found: &mut Vec<String>) {
    let help = run_successfully(&[path, &["--help"]].concat());
    let mut options = BTreeSet::new();
    let mut commands = Vec::new();
    let mut section = "";
    for line in help.lines() {
        if !line.starts_with(' ') && line.ends_with(':') {
            section = line;
        }
        let trimmed = line.trim();
        if section == "Commands:" && line.starts_with("  ") && !line.starts_with("   ") {
            commands.extend(trimmed.split_whitespace().next().map(str::to_owned));
        } else if section != "Commands:" && trimmed.starts_with('-') && !trimmed.starts_with("- ") {
            let option = trimmed.split("  ").next().unwrap_or(trimmed);
            options.insert(option.to_owned());
        }
    }
    let usage = help
        .lines()
        .find(|line| line.starts_with("Usage:"))
        .unwrap_or("");
    found.push(format!(
        "{} | {usage} | {}",
        path.join(" "),
        Vec::from_iter(options).join(", ")
    ));
    for command in commands.iter().filter(|c| *c != "help") {
        collect_commands(&[path, &[command.as_str()]].concat(), found);
    }
}

#[test]
fn commands_and_options_match_recorded_ones() {
    let mut found = Vec::new();
    collect_commands(&[], &mut found);
    let found = found.join("\n") + "\n";
    assert_eq!(
        found,
        read("command-line.txt"),
        "the command line differs from the recorded one; current commands:\n{found}"
    );
}

/// Removes descriptions and summaries from a JSON document.
fn without_descriptions(value: &Value) -> Value {
    match value {
        Value::Object(map) => {
            let is_description = |key: &str| matches!(key, "description" | "summary");
            // A property named `description` holds an object and is kept.
            let remaining = map
                .iter()
                .filter(|(key, value)| !(is_description(key) && value.is_string()));
            remaining
                .map(|(key, value)| (key.clone(), without_descriptions(value)))
                .collect()
        }
        Value::Array(all) => all.iter().map(without_descriptions).collect(),
        other => other.clone(),
    }
}

#[test]
fn api_document_and_schema_differ_only_in_descriptions() {
    for (name, command) in [("openapi.json", "openapi"), ("serve.schema.json", "schema")] {
        let before: Value = serde_json::from_str(&read(name)).unwrap();
        let now: Value = serde_json::from_str(&run_successfully(&["config", command])).unwrap();
        assert_eq!(
            without_descriptions(&now),
            without_descriptions(&before),
            "{name}"
        );
        let properties = read(name).matches('"').count();
        assert!(properties > 500, "{name} contains too few properties");
    }
}

fn export_store(directory: &Directory) -> String {
    let file = directory.0.join("export.jsonl");
    run_successfully(&[
        "store",
        "export",
        "--state",
        directory.path(),
        "-o",
        file.to_str().unwrap(),
    ]);
    std::fs::read_to_string(file).unwrap()
}

#[test]
fn previous_version_store_is_checked_and_exported_unchanged() {
    let directory = Directory::state("store", &STORE_FILES);
    let output = run_successfully(&["store", "check", "--state", directory.path()]);
    assert_eq!(
        output,
        format!(
            "{}: good: version 3, 1 documents, 2 tokens\n",
            directory.path()
        )
    );
    assert_eq!(export_store(&directory), read("store.export.jsonl"));
    let copy = Directory::new("copy");
    run_successfully(&[
        "store",
        "import",
        "--state",
        copy.path(),
        fixture("store.export.jsonl").to_str().unwrap(),
    ]);
    assert_eq!(export_store(&copy), read("store.export.jsonl"));
}

#[test]
fn damaged_previous_version_store_is_rejected_with_recovery_command() {
    let directory = Directory::state("damaged", &STORE_FILES);
    let file = directory.0.join("state.redb");
    let mut bytes = std::fs::read(&file).unwrap();
    let find = |bytes: &[u8], text: &[u8]| bytes.windows(text.len()).position(|w| w == text);
    while let Some(at) = find(&bytes, b"north.example") {
        bytes[at] = b'N';
    }
    std::fs::write(&file, bytes).unwrap();
    let run = canvascart(&["store", "check", "--state", directory.path()]);
    let output = String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).into_owned();
    assert_eq!(run.status.code(), Some(3), "{output}");
    assert!(
        output.contains("the store is damaged") && output.contains("canvascart store import"),
        "{output}"
    );
    let missing = canvascart(&["store", "check", "--state", "/no/such/directory"]);
    assert_eq!(missing.status.code(), Some(3));
}

/// Cluster member process, killed on drop.
struct Member {
    child: Child,
    admin: SocketAddr,
    _key: Directory,
}

impl Member {
    fn configuration(directory: &Directory, name: &str) -> (String, SocketAddr, Directory) {
        let key = Directory::new(&format!("{name}-key"));
        let file = key.0.join("cluster.key");
        std::fs::write(&file, CLUSTER_KEY).unwrap();
        Command::new("chmod")
            .arg("600")
            .arg(&file)
            .status()
            .unwrap();
        let (admin, public, peer) = (free_address(), free_address(), free_address());
        let text = format!(
            "[state]\ndirectory = {:?}\n[admin]\naddress = \"{admin}\"\n\
             [[listener]]\nname = \"public\"\naddress = \"{public}\"\ntenant-by = \"host\"\n\
             [cluster]\nname = \"loans\"\ninstance = \"a\"\naddress = \"{peer}\"\nzone = \"east\"\n\
             key-file = {file:?}\nlease = \"2 s\"\nchange-lease = \"1500 ms\"\ndeadline = \"8 s\"\n",
            directory.path()
        );
        let config = key.0.join("serve.toml");
        std::fs::write(&config, text).unwrap();
        (config.to_str().unwrap().to_owned(), admin, key)
    }

    fn start(directory: &Directory, name: &str) -> Self {
        let (config, admin, key) = Member::configuration(directory, name);
        let child = Command::new(env!("CARGO_BIN_EXE_canvascart"))
            .args(["serve", "--config", &config])
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        let member = Member {
            child,
            admin,
            _key: key,
        };
        wait_for("the configuration version to take effect", || {
            member.get("/v1/tenants/north/limits").0 == 200
        });
        member
    }

    fn get(&self, path: &str) -> (u16, String) {
        let Ok(mut stream) = TcpStream::connect(self.admin) else {
            return (0, String::new());
        };
        let token = read("operator.token");
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\nAuthorization: Bearer {}\r\n\r\n",
            token.trim()
        );
        let mut response = String::new();
        let written = stream.write_all(head.as_bytes());
        if written
            .and_then(|()| stream.read_to_string(&mut response))
            .is_err()
        {
            return (0, String::new());
        }
        let status = response
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        let body = response.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        (status, body.to_owned())
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Returns the metric names with their label names, without values.
fn metric_names(figures: &str) -> String {
    let name = |line: &str| {
        let (name, _) = line.rsplit_once(' ')?;
        let (name, labels) = name.split_once('{').unwrap_or((name, ""));
        let labels: Vec<&str> = labels
            .split(',')
            .filter_map(|l| l.split_once('=').map(|(key, _)| key))
            .collect();
        Some(format!("{name}{{{}}}", labels.join(",")))
    };
    let lines = figures.lines().filter(|line| !line.starts_with('#'));
    let all: BTreeSet<String> = lines.filter_map(name).collect();
    Vec::from_iter(all).join("\n") + "\n"
}

#[test]
fn member_resumes_from_previous_version_state_and_log() {
    let directory = Directory::state("member", &MEMBER_FILES);
    let member = Member::start(&directory, "member");
    let limits: Value = serde_json::from_str(&member.get("/v1/tenants/north/limits").1).unwrap();
    assert_eq!(limits["in-flight"], 600, "{limits}");
    let servers = member.get("/v1/tenants/north/servers").1;
    assert!(
        servers.contains("\"n1\"") && servers.contains("draining"),
        "{servers}"
    );
    let versions = member.get("/v1/versions").1;
    assert!(
        versions.contains("server.drain") && versions.contains("the first start"),
        "{versions}"
    );
    let status = member.get("/v1/cluster").1;
    assert!(
        status.contains("5201b60ab4fcffcb7df9c238d1f3e875"),
        "{status}"
    );
    let figures = metric_names(&member.get("/v1/figures").1);
    assert_eq!(
        figures,
        read("figures.txt"),
        "metric names differ from the recorded ones; current names:\n{figures}"
    );
}

#[test]
fn previous_version_backup_is_restored() {
    let directory = Directory::new("restored");
    let (config, _, _key) = Member::configuration(&directory, "restored");
    let backup = fixture("member.backup");
    run_successfully(&[
        "cluster",
        "restore",
        "--config",
        &config,
        "--backup",
        backup.to_str().unwrap(),
        "--yes",
    ]);
    std::fs::copy(
        fixture("operator.token"),
        directory.0.join("operator.token"),
    )
    .unwrap();
    let member = Member::start(&directory, "restored-member");
    let limits: Value = serde_json::from_str(&member.get("/v1/tenants/north/limits").1).unwrap();
    assert_eq!(limits["in-flight"], 600, "{limits}");
}

#[test]
fn previous_version_capture_is_replayed() {
    let run = canvascart(&[
        "capture",
        "replay",
        fixture("capture.log").to_str().unwrap(),
    ]);
    assert_eq!(
        run.status.code(),
        Some(0),
        "{}",
        String::from_utf8_lossy(&run.stderr)
    );
    assert_eq!(
        String::from_utf8_lossy(&run.stdout),
        read("capture.replayed.txt")
    );
}
