//! The outside stays: state, documents, figures, command lines and simulated runs of the version before are read and
//! written the same. The fixtures in `compatibility/` were made by that version.
//!
//! A `.sparse` file is a database file without its empty blocks: its length, then each block of 512 bytes that is not
//! all zeros, behind its offset (little-endian, 8 bytes each).
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
const KEY: &str = "0123456789abcdef";

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

fn stdout(arguments: &[&str]) -> String {
    let run = canvascart(arguments);
    let errors = String::from_utf8_lossy(&run.stderr).into_owned();
    assert_eq!(run.status.code(), Some(0), "{arguments:?}: {errors}");
    String::from_utf8(run.stdout).unwrap()
}

/// A directory that goes with the test.
struct Directory(PathBuf);

impl Directory {
    fn new(name: &str) -> Self {
        let path =
            std::env::temp_dir().join(format!("canvascart-before-{}-{name}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap();
        Directory(path)
    }

    /// A state directory as the version before left it.
    fn state(name: &str, files: &[(&str, &str)]) -> Self {
        let directory = Directory::new(name);
        for (stored, file) in files {
            let bytes = std::fs::read(fixture(stored)).unwrap();
            let bytes = if stored.ends_with(".sparse") {
                expanded(&bytes)
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

fn number(bytes: &[u8]) -> usize {
    u64::from_le_bytes(bytes[..8].try_into().unwrap()) as usize
}

fn expanded(sparse: &[u8]) -> Vec<u8> {
    let mut file = vec![0; number(sparse)];
    for block in sparse[8..].chunks_exact(8 + BLOCK) {
        let at = number(block);
        let length = BLOCK.min(file.len() - at);
        file[at..at + length].copy_from_slice(&block[8..8 + length]);
    }
    file
}

const STORE: [(&str, &str); 2] = [
    ("store-state.sparse", "state.redb"),
    ("store-last-good.snapshot", "last-good.snapshot"),
];
const MEMBER: [(&str, &str); 4] = [
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

/// FNV-1a over 64 bits.
fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| {
        (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3)
    })
}

#[test]
fn simulated_runs_write_the_recorded_bytes() {
    let mut played = String::new();
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
            played += &format!("{scenario} {seed} {code} {:016x}\n", hash(&run.stdout));
        }
    }
    assert_eq!(
        played,
        read("lab-sim.txt"),
        "simulated runs differ; these were played:\n{played}"
    );
}

/// Whatever a help page says, its commands and options without their descriptions.
fn surface(path: &[&str], found: &mut Vec<String>) {
    let help = stdout(&[path, &["--help"]].concat());
    let mut options = BTreeSet::new();
    let mut commands = Vec::new();
    let mut section = "";
    for line in help.lines() {
        if !line.starts_with(' ') && line.ends_with(':') {
            section = line;
        }
        let word = line.trim();
        if section == "Commands:" && line.starts_with("  ") && !line.starts_with("   ") {
            commands.extend(word.split_whitespace().next().map(str::to_owned));
        } else if section != "Commands:" && word.starts_with('-') && !word.starts_with("- ") {
            let named = word.split("  ").next().unwrap_or(word);
            options.insert(named.to_owned());
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
        surface(&[path, &[command.as_str()]].concat(), found);
    }
}

#[test]
fn commands_and_options_are_the_recorded_ones() {
    let mut found = Vec::new();
    surface(&[], &mut found);
    let found = found.join("\n") + "\n";
    assert_eq!(
        found,
        read("command-line.txt"),
        "the command line differs; it is now:\n{found}"
    );
}

/// A document without what it tells people.
fn without_descriptions(value: &Value) -> Value {
    match value {
        Value::Object(map) => {
            let told = |key: &str| matches!(key, "description" | "summary");
            // A property may be called `description` itself: then it holds an object.
            let kept = map
                .iter()
                .filter(|(key, value)| !(told(key) && value.is_string()));
            kept.map(|(key, value)| (key.clone(), without_descriptions(value)))
                .collect()
        }
        Value::Array(all) => all.iter().map(without_descriptions).collect(),
        other => other.clone(),
    }
}

#[test]
fn the_api_document_and_the_schema_differ_at_most_in_descriptions() {
    for (name, command) in [("openapi.json", "openapi"), ("serve.schema.json", "schema")] {
        let before: Value = serde_json::from_str(&read(name)).unwrap();
        let now: Value = serde_json::from_str(&stdout(&["config", command])).unwrap();
        assert_eq!(
            without_descriptions(&now),
            without_descriptions(&before),
            "{name}"
        );
        let properties = read(name).matches('"').count();
        assert!(properties > 500, "{name} holds next to nothing");
    }
}

fn exported(directory: &Directory) -> String {
    let file = directory.0.join("export.jsonl");
    stdout(&[
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
fn a_store_of_the_version_before_is_checked_and_exported_as_by_it() {
    let directory = Directory::state("store", &STORE);
    let told = stdout(&["store", "check", "--state", directory.path()]);
    assert_eq!(
        told,
        format!(
            "{}: good: version 3, 1 documents, 2 tokens\n",
            directory.path()
        )
    );
    assert_eq!(exported(&directory), read("store.export.jsonl"));
    let copy = Directory::new("copy");
    stdout(&[
        "store",
        "import",
        "--state",
        copy.path(),
        fixture("store.export.jsonl").to_str().unwrap(),
    ]);
    assert_eq!(exported(&copy), read("store.export.jsonl"));
}

#[test]
fn a_damaged_store_of_the_version_before_is_refused_with_what_to_do() {
    let directory = Directory::state("damaged", &STORE);
    let file = directory.0.join("state.redb");
    let mut bytes = std::fs::read(&file).unwrap();
    let find = |bytes: &[u8], text: &[u8]| bytes.windows(text.len()).position(|w| w == text);
    while let Some(at) = find(&bytes, b"north.example") {
        bytes[at] = b'N';
    }
    std::fs::write(&file, bytes).unwrap();
    let run = canvascart(&["store", "check", "--state", directory.path()]);
    let told = String::from_utf8_lossy(&[run.stdout, run.stderr].concat()).into_owned();
    assert_eq!(run.status.code(), Some(3), "{told}");
    assert!(
        told.contains("the store is damaged") && told.contains("canvascart store import"),
        "{told}"
    );
    let missing = canvascart(&["store", "check", "--state", "/no/such/directory"]);
    assert_eq!(missing.status.code(), Some(3));
}

/// A member of a cluster that runs until the test ends.
struct Member {
    child: Child,
    admin: SocketAddr,
    _key: Directory,
}

impl Member {
    fn configuration(directory: &Directory, name: &str) -> (String, SocketAddr, Directory) {
        let key = Directory::new(&format!("{name}-key"));
        let file = key.0.join("cluster.key");
        std::fs::write(&file, KEY).unwrap();
        Command::new("chmod")
            .arg("600")
            .arg(&file)
            .status()
            .unwrap();
        let (admin, public, links) = (free_address(), free_address(), free_address());
        let text = format!(
            "[state]\ndirectory = {:?}\n[admin]\naddress = \"{admin}\"\n\
             [[listener]]\nname = \"public\"\naddress = \"{public}\"\ntenant-by = \"host\"\n\
             [cluster]\nname = \"loans\"\ninstance = \"a\"\naddress = \"{links}\"\nzone = \"east\"\n\
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
        wait_for("the version in effect", || {
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
        let mut answer = String::new();
        let asked = stream.write_all(head.as_bytes());
        if asked
            .and_then(|()| stream.read_to_string(&mut answer))
            .is_err()
        {
            return (0, String::new());
        }
        let status = answer
            .split(' ')
            .nth(1)
            .and_then(|code| code.parse().ok())
            .unwrap_or(0);
        let body = answer.split_once("\r\n\r\n").map_or("", |(_, body)| body);
        (status, body.to_owned())
    }
}

impl Drop for Member {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The names of figures with their labels' names, without values.
fn names(figures: &str) -> String {
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
fn a_member_of_the_version_before_goes_on_with_its_state_and_log() {
    let directory = Directory::state("member", &MEMBER);
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
    let figures = names(&member.get("/v1/figures").1);
    assert_eq!(
        figures,
        read("figures.txt"),
        "names of figures differ; they are now:\n{figures}"
    );
}

#[test]
fn a_backup_of_the_version_before_is_restored() {
    let directory = Directory::new("restored");
    let (config, _, _key) = Member::configuration(&directory, "restored");
    let backup = fixture("member.backup");
    stdout(&[
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
fn a_capture_of_the_version_before_is_replayed() {
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
