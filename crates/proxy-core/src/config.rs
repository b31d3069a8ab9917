//! What a proxy is told at its start: NODE_CONFIG, read into typed settings.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use settings::{ConnectionSettings, ReloadableSettings, stable_hash};

/// The file as it stands; unknown keys are passed over.
#[derive(Deserialize)]
struct File {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    seed: Value,
    #[serde(default)]
    limits: Limits,
    ops: Option<SocketAddr>,
    peer_listen: Option<SocketAddr>,
    #[serde(default)]
    peers: Vec<SocketAddr>,
    peers_all: Option<SocketAddr>,
    #[serde(default)]
    known: Value,
    settings: Value,
}

#[derive(Deserialize, Default)]
struct Limits {
    sockets: Option<usize>,
    memory_mb: Option<f64>,
}

/// Memory that is reckoned with where the file tells no limit.
const MEMORY_MB: f64 = 192.0;

/// Where proxies exchange datagrams.
pub struct PeerAddresses {
    pub listen: SocketAddr,
    /// One address a proxy, in the order of their numbers.
    pub peers: Vec<SocketAddr>,
    pub all: SocketAddr,
}

/// All that the parts of the proxy need to know.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Where operators call, if anywhere.
    pub ops: Option<SocketAddr>,
    /// The descriptor of the clients' listening socket, where the platform holds it.
    pub inherited: Option<std::os::fd::RawFd>,
    pub seed: u64,
    /// File descriptors that the process may hold.
    pub sockets: usize,
    /// Bytes of memory that it may have.
    pub memory: usize,
    pub peers: Option<PeerAddresses>,
    /// The list of backends as last seen, in discovery's form; perhaps old, perhaps nothing.
    pub known: Value,
    pub terms: ReloadableSettings,
    pub connections: ConnectionSettings,
    pub started: Started,
}

/// Reads the file; the message of an error names what is wrong with it.
pub fn read(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// What a file at SIGHUP can change.
pub struct Change {
    pub discovery: SocketAddr,
    pub terms: ReloadableSettings,
    pub connections: ConnectionSettings,
}

/// Reads a file that has been put in the place of the one that the process started with: all of it is good, or none of
/// it counts. The message of an error names the file, the key and the reason.
pub fn read_change(
    path: &Path,
    started: &Started,
    now: &ReloadableSettings,
) -> Result<Change, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    change(&text, started, now).map_err(|e| format!("{}: {e}", path.display()))
}

fn change(text: &str, started: &Started, now: &ReloadableSettings) -> Result<Change, String> {
    if text.trim().is_empty() {
        return Err("the file is empty".into());
    }
    let whole: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    if let Some(key) = started
        .keys
        .iter()
        .find(|key| whole.get(key.as_str()).is_none())
    {
        return Err(format!("{key}: the key is missing"));
    }
    let file = File::deserialize(&whole).map_err(|e| e.to_string())?;
    let terms = now.reload(&file.settings).map_err(|e| e.to_string())?;
    if terms.settings.proxy_index >= terms.settings.proxy_count {
        return Err(format!(
            "settings.myNumber: {} of {}",
            terms.settings.proxy_index, terms.settings.proxy_count
        ));
    }
    Ok(Change {
        discovery: file.discovery,
        connections: ConnectionSettings::from_json(&file.settings),
        terms,
    })
}

/// What the file had that the process started with. One that follows it must have that, too.
pub struct Started {
    keys: Vec<String>,
}

/// What a file may do without: where the door is and who the peers are counts at the start alone, and the list comes
/// from discovery.
const SPARED: [&str; 5] = ["known", "ops", "peer_listen", "peers", "peers_all"];

fn parse(text: &str) -> Result<Config, String> {
    let whole: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let file = File::deserialize(&whole).map_err(|e| e.to_string())?;
    let keys = whole
        .as_object()
        .into_iter()
        .flatten()
        .map(|(key, _)| key.clone());
    let keys = keys.filter(|key| !SPARED.contains(&key.as_str())).collect();
    if !file.settings.is_object() {
        return Err("'settings' is no object".into());
    }
    let connections = ConnectionSettings::from_json(&file.settings);
    let terms = ReloadableSettings::from_json(file.settings);
    let (settings, names) = (&terms.settings, &terms.names);
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err("'settings' has no named classes".into());
    }
    // A wrong number would make this proxy claim another's part of the servers.
    if settings.proxy_index >= settings.proxy_count {
        return Err(format!(
            "'settings': proxy number {} of {}",
            settings.proxy_index, settings.proxy_count
        ));
    }
    let peers = match (file.peer_listen, file.peers_all) {
        (Some(listen), Some(all)) if settings.gossip_enabled => Some(PeerAddresses {
            listen,
            peers: file.peers,
            all,
        }),
        _ => None,
    };
    Ok(Config {
        name: file.name,
        listen: file.listen,
        discovery: file.discovery,
        ops: file.ops,
        inherited: None,
        seed: seed(&file.seed).ok_or("'seed' is neither text nor a whole number")?,
        sockets: file.limits.sockets.unwrap_or(1024).max(64),
        memory: (file
            .limits
            .memory_mb
            .filter(|mb| *mb > 0.0)
            .unwrap_or(MEMORY_MB)
            * 1e6) as usize,
        peers,
        known: file.known,
        connections,
        started: Started { keys },
        terms,
    })
}

/// Hexadecimal as a rule; other text still gives the same number each time.
fn seed(value: &Value) -> Option<u64> {
    match value {
        Value::String(text) => {
            Some(u64::from_str_radix(text, 16).unwrap_or_else(|_| stable_hash(text)))
        }
        other => other.as_u64(),
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    const GOOD: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
        "limits":{"sockets":512},"peer_listen":"127.0.0.1:1","peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:2",
        "known":null,"settings":{"classes":[{"name":"page","effect":"idempotent","deadline":900}],
        "nInstances":1,"myNumber":0,"ceilings":{"mayTell":true,"dialTimeout":120,"idleClose":30000}}}"#;

    #[test]
    fn a_good_file_is_read_whole() {
        let config = parse(GOOD).expect("good");
        assert_eq!((config.seed, config.sockets), (0x8c1f, 512));
        assert_eq!(
            config.connections,
            ConnectionSettings {
                connect_timeout: 120.0,
                idle_timeout: 30_000.0
            }
        );
        assert_eq!(config.terms.names.classes, ["page"]);
        assert_eq!(config.peers.expect("peers are allowed").peers.len(), 1);
    }

    #[test]
    fn peers_are_left_alone_where_the_settings_forbid_them() {
        assert!(
            parse(&GOOD.replace("\"mayTell\":true", "\"mayTell\":false"))
                .expect("good")
                .peers
                .is_none()
        );
    }

    #[test]
    fn a_file_that_follows_is_good_as_a_whole_or_counts_for_nothing() {
        let first = parse(GOOD).expect("good");
        let said = |text: &str| {
            change(text, &first.started, &first.terms)
                .err()
                .unwrap_or_default()
        };
        let moved = GOOD
            .replace(":8500", ":8600")
            .replace("\"deadline\":900", "\"deadline\":700");
        let taken = change(&moved, &first.started, &first.terms).expect("good");
        assert_eq!(
            (
                taken.discovery.port(),
                taken.terms.settings.classes[0].deadline
            ),
            (8600, 700.0)
        );
        assert_eq!(
            said(&GOOD.replace("\"known\":null,", "")),
            "",
            "it may go without"
        );
        for (text, word) in [
            (String::new(), "empty"),
            ("  \n".into(), "empty"),
            (moved[..moved.len() / 2].into(), "line"),
            (
                moved.replace("\"limits\":{\"sockets\":512},", ""),
                "limits: the key is missing",
            ),
            (
                moved.replace("\"discovery\"", "\"discoverer\""),
                "discovery: the key is missing",
            ),
            (moved.replace("127.0.0.1:8600", "nowhere"), "socket address"),
            (
                moved.replace("\"deadline\":700", "\"deadline\":0"),
                "settings.classes[0].deadline: 0 is not",
            ),
            (
                moved.replace("\"myNumber\":0", "\"myNumber\":1"),
                "settings.myNumber: 1 of 1",
            ),
            (
                moved
                    .replace("\"settings\":{", "\"settings\":[{")
                    .replace("}}}", "}}]}"),
                "settings: a list",
            ),
            ("[]".into(), "the key is missing"),
        ] {
            assert!(said(&text).contains(word), "{word}: {}", said(&text));
        }
    }

    #[test]
    fn what_is_wrong_is_named() {
        for (from, to, word) in [
            ("127.0.0.1:9000", "nowhere", "socket address"),
            ("\"seed\":\"8c1f\",", "", "seed"),
            ("\"name\":\"page\",", "", "classes"),
            ("\"myNumber\":0", "\"myNumber\":3", "number 3 of 1"),
            ("{\"name\"", "{\"name", "line"),
        ] {
            let error = parse(&GOOD.replace(from, to)).err().expect(to);
            assert!(error.contains(word), "{to}: {error}");
        }
    }
}
