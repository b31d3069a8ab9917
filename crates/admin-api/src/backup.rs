//! A backup of the agreed state of a cluster, with a checksum.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// Version of the backup format that this program writes.
const FORMAT_VERSION: u64 = 1;

/// A backup.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub struct Backup {
    /// Version of the format.
    pub canvascart_backup: u64,
    /// The id of the cluster.
    pub cluster: String,
    /// The version in effect.
    pub version: u64,
    /// Creation time in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// SHA-256 checksum of the state, in hexadecimal.
    pub sha256: String,
    /// The state, as `canvascart store export` writes it.
    pub state: String,
}

fn checksum(state: &str) -> String {
    Sha256::digest(state.as_bytes())
        .iter()
        .map(|b| format!("{b:02x}"))
        .collect()
}

impl Backup {
    /// Creates a backup of a state.
    pub fn new(cluster: &str, version: u64, at_ms: u64, state: String) -> Self {
        let (cluster, sha256) = (cluster.to_owned(), checksum(&state));
        Backup {
            canvascart_backup: FORMAT_VERSION,
            cluster,
            version,
            at_ms,
            sha256,
            state,
        }
    }

    /// Parses a backup and verifies that it is complete.
    ///
    /// # Errors
    /// The text is incomplete, has another format, or does not match its checksum.
    pub fn parse(text: &str) -> Result<Self, String> {
        let backup: Backup =
            serde_json::from_str(text).map_err(|e| format!("it is no whole backup: {e}"))?;
        if backup.canvascart_backup != FORMAT_VERSION {
            return Err(format!(
                "canvascart-backup: its form is {}, and this program knows {FORMAT_VERSION}",
                backup.canvascart_backup
            ));
        }
        if backup.sha256 != checksum(&backup.state) {
            return Err("state: its sum does not fit: it is damaged".into());
        }
        Ok(backup)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn incomplete_or_damaged_backups_are_rejected() {
        let backup = Backup::new("c", 7, 1, "{\"a\":1}\n".into());
        let text = serde_json::to_string(&backup).expect("it can be written");
        assert_eq!(Backup::parse(&text), Ok(backup));
        assert!(
            (0..text.len()).all(|n| Backup::parse(&text[..n]).is_err()),
            "cut off"
        );
        let damaged = text.replace("\\\"a\\\"", "\\\"b\\\"");
        assert!(damaged != text && Backup::parse(&damaged).is_err_and(|e| e.contains("sum")));
        assert!(
            Backup::parse(&text.replace("backup\":1", "backup\":9"))
                .is_err_and(|e| e.contains("form is 9"))
        );
    }
}
