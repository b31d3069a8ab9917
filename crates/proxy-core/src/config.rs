//! Configuration of a proxy: the file that NODE_CONFIG names, parsed into typed settings.

use std::net::SocketAddr;
use std::path::Path;

use serde::Deserialize;
use serde_json::Value;
use settings::{ConnectionSettings, ReloadableSettings, stable_hash};

/// Layout of the file; unknown keys are ignored.
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

/// Memory limit in MB if the file sets none.
const DEFAULT_MEMORY_MB: f64 = 192.0;

/// Addresses at which proxies exchange datagrams.
pub struct PeerAddresses {
    pub listen: SocketAddr,
    /// Address of each proxy, in the order of their indexes.
    pub peers: Vec<SocketAddr>,
    pub all: SocketAddr,
}

/// Configuration of all parts of the proxy.
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    /// Address of the operations listener, if there is one.
    pub ops: Option<SocketAddr>,
    /// Inherited descriptor of the clients' listening socket, if the platform provides it.
    pub inherited: Option<std::os::fd::RawFd>,
    pub seed: u64,
    /// Maximum number of open file descriptors.
    pub sockets: usize,
    /// Memory limit in bytes.
    pub memory: usize,
    pub peers: Option<PeerAddresses>,
    /// Endpoint list as last received, in discovery's format; it may be outdated or null.
    pub cached_list: Value,
    pub reloadable: ReloadableSettings,
    pub connections: ConnectionSettings,
    pub initial_keys: InitialKeys,
}

/// Reads the file; the message of an error names the file and the reason.
pub fn read(path: &Path) -> Result<Config, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse(&text).map_err(|e| format!("{}: {e}", path.display()))
}

/// Settings that a reload at SIGHUP can change.
pub struct Change {
    pub discovery: SocketAddr,
    pub reloadable: ReloadableSettings,
    pub connections: ConnectionSettings,
}

/// Reads the file again for a reload. One invalid value rejects the complete file; the message of an error names the
/// file, the key and the reason.
pub fn read_change(
    path: &Path,
    initial_keys: &InitialKeys,
    current: &ReloadableSettings,
) -> Result<Change, String> {
    let text = std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))?;
    parse_change(&text, initial_keys, current).map_err(|e| format!("{}: {e}", path.display()))
}

fn parse_change(
    text: &str,
    initial_keys: &InitialKeys,
    current: &ReloadableSettings,
) -> Result<Change, String> {
    if text.trim().is_empty() {
        return Err("the file is empty".into());
    }
    let document: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    if let Some(key) = initial_keys
        .keys
        .iter()
        .find(|key| document.get(key.as_str()).is_none())
    {
        return Err(format!("{key}: the key is missing"));
    }
    let file = File::deserialize(&document).map_err(|e| e.to_string())?;
    let reloadable = current.reload(&file.settings).map_err(|e| e.to_string())?;
    if reloadable.settings.proxy_index >= reloadable.settings.proxy_count {
        return Err(format!(
            "settings.myNumber: {} of {}",
            reloadable.settings.proxy_index, reloadable.settings.proxy_count
        ));
    }
    Ok(Change {
        discovery: file.discovery,
        connections: ConnectionSettings::from_json(&file.settings),
        reloadable,
    })
}

/// Keys of the file that the process started with, which a reloaded file must have, too.
pub struct InitialKeys {
    keys: Vec<String>,
}

/// Keys that a reloaded file may omit: the operations listener and the peers take effect only at the start, and the
/// endpoint list comes from discovery.
const OPTIONAL_AT_RELOAD: [&str; 5] = ["known", "ops", "peer_listen", "peers", "peers_all"];

fn parse(text: &str) -> Result<Config, String> {
    let document: Value = serde_json::from_str(text).map_err(|e| e.to_string())?;
    let file = File::deserialize(&document).map_err(|e| e.to_string())?;
    let keys = document
        .as_object()
        .into_iter()
        .flatten()
        .map(|(key, _)| key.clone());
    let keys = keys
        .filter(|key| !OPTIONAL_AT_RELOAD.contains(&key.as_str()))
        .collect();
    if !file.settings.is_object() {
        return Err("'settings' is no object".into());
    }
    let connections = ConnectionSettings::from_json(&file.settings);
    let reloadable = ReloadableSettings::from_json(file.settings);
    let (settings, names) = (&reloadable.settings, &reloadable.names);
    if settings.classes.is_empty() || names.classes.iter().any(String::is_empty) {
        return Err("'settings' has no named classes".into());
    }
    // With a wrong index this proxy would claim another proxy's share of the endpoints.
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
            .unwrap_or(DEFAULT_MEMORY_MB)
            * 1e6) as usize,
        peers,
        cached_list: file.known,
        connections,
        initial_keys: InitialKeys { keys },
        reloadable,
    })
}

/// Parses a hexadecimal seed. Other text is hashed, so that it gives the same seed each time.
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

    const VALID: &str = r#"{"name":"n0","listen":"127.0.0.1:9000","discovery":"127.0.0.1:8500","seed":"8c1f",
        "limits":{"sockets":512},"peer_listen":"127.0.0.1:1","peers":["127.0.0.1:1"],"peers_all":"127.0.0.1:2",
        "known":null,"settings":{"classes":[{"name":"page","effect":"idempotent","deadline":900}],
        "nInstances":1,"myNumber":0,"ceilings":{"mayTell":true,"dialTimeout":120,"idleClose":30000}}}"#;

    #[test]
    fn a_valid_file_is_read_completely() {
        let config = parse(VALID).expect("good");
        assert_eq!((config.seed, config.sockets), (0x8c1f, 512));
        assert_eq!(
            config.connections,
            ConnectionSettings {
                connect_timeout: 120.0,
                idle_timeout: 30_000.0
            }
        );
        assert_eq!(config.reloadable.names.classes, ["page"]);
        assert_eq!(config.peers.expect("gossip is enabled").peers.len(), 1);
    }

    #[test]
    fn peers_are_ignored_if_the_settings_disable_gossip() {
        assert!(
            parse(&VALID.replace("\"mayTell\":true", "\"mayTell\":false"))
                .expect("good")
                .peers
                .is_none()
        );
    }

    #[test]
    fn a_reloaded_file_is_valid_as_a_whole_or_rejected_as_a_whole() {
        let first = parse(VALID).expect("good");
        let error = |text: &str| {
            parse_change(text, &first.initial_keys, &first.reloadable)
                .err()
                .unwrap_or_default()
        };
        let changed_file = VALID
            .replace(":8500", ":8600")
            .replace("\"deadline\":900", "\"deadline\":700");
        let reloaded =
            parse_change(&changed_file, &first.initial_keys, &first.reloadable).expect("good");
        assert_eq!(
            (
                reloaded.discovery.port(),
                reloaded.reloadable.settings.classes[0].deadline
            ),
            (8600, 700.0)
        );
        assert_eq!(
            error(&VALID.replace("\"known\":null,", "")),
            "",
            "the key is optional"
        );
        for (text, reason) in [
            (String::new(), "empty"),
            ("  \n".into(), "empty"),
            (changed_file[..changed_file.len() / 2].into(), "line"),
            (
                changed_file.replace("\"limits\":{\"sockets\":512},", ""),
                "limits: the key is missing",
            ),
            (
                changed_file.replace("\"discovery\"", "\"discoverer\""),
                "discovery: the key is missing",
            ),
            (
                changed_file.replace("127.0.0.1:8600", "nowhere"),
                "socket address",
            ),
            (
                changed_file.replace("\"deadline\":700", "\"deadline\":0"),
                "settings.classes[0].deadline: 0 is not",
            ),
            (
                changed_file.replace("\"myNumber\":0", "\"myNumber\":1"),
                "settings.myNumber: 1 of 1",
            ),
            (
                changed_file
                    .replace("\"settings\":{", "\"settings\":[{")
                    .replace("}}}", "}}]}"),
                "settings: a list",
            ),
            ("[]".into(), "the key is missing"),
        ] {
            assert!(error(&text).contains(reason), "{reason}: {}", error(&text));
        }
    }

    #[test]
    fn errors_name_the_invalid_value() {
        for (from, to, reason) in [
            ("127.0.0.1:9000", "nowhere", "socket address"),
            ("\"seed\":\"8c1f\",", "", "seed"),
            ("\"name\":\"page\",", "", "classes"),
            ("\"myNumber\":0", "\"myNumber\":3", "number 3 of 1"),
            ("{\"name\"", "{\"name", "line"),
        ] {
            let error = parse(&VALID.replace(from, to)).err().expect(to);
            assert!(error.contains(reason), "{to}: {error}");
        }
    }
}
