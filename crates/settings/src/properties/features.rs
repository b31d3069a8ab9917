//! Settings of the features and the mapping of the file's keys to them.

use std::fs::File;
use std::io::{self, Read as _};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use super::entries::Entries;
use super::error::{ParseError, ReadError};
use super::value::{Secret, ValueError, boolean, duration, host_and_port, integer, socket_address};

/// Maximum length of a properties file.
const MAX_FILE_BYTES: u64 = 64 << 10;

/// Settings of all features. By default every feature is off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FeatureSettings {
    /// Retrying client (`client.*`).
    pub client: client::Settings,
    /// Capture of requests and decisions (`capture.*`).
    pub capture: CaptureSettings,
    /// Fault injection (`drills.*`).
    pub fault_injection: FaultInjectionSettings,
    /// Metrics (`figures.*`).
    pub metrics: MetricsSettings,
}

/// Format of metrics lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MetricsFormat {
    /// StatsD, with tags in the form of DogStatsD.
    Statsd,
    /// InfluxDB's line protocol.
    Influx,
}

/// Settings of the proxy's metrics.
#[derive(Clone, Debug, PartialEq)]
pub struct MetricsSettings {
    /// True if metrics are written.
    pub enabled: bool,
    /// Format of a line.
    pub format: MetricsFormat,
    /// Interval between writes.
    pub flush_interval: Duration,
    /// Maximum length of a datagram.
    pub max_datagram_bytes: usize,
    /// File that receives the metrics instead of standard error.
    pub file: Option<PathBuf>,
    /// Address that receives the metrics as datagrams instead of standard error.
    pub udp_address: Option<SocketAddr>,
}

impl Default for MetricsSettings {
    fn default() -> Self {
        MetricsSettings {
            enabled: false,
            format: MetricsFormat::Statsd,
            flush_interval: Duration::from_millis(1000),
            max_datagram_bytes: 1400,
            file: None,
            udp_address: None,
        }
    }
}

/// Settings of the capture of requests and decisions.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CaptureSettings {
    /// True if the proxy captures.
    pub enabled: bool,
    /// Directory for the segments, if they are written to files too.
    pub directory: Option<PathBuf>,
}

/// Settings of fault injection.
#[derive(Clone, Debug, PartialEq)]
pub struct FaultInjectionSettings {
    /// Secret that its port requires; without it fault injection is off.
    pub secret: Option<Secret>,
    /// Port of fault injection, on the host on which the proxy listens; 0 lets the system choose one.
    pub port: Option<u16>,
    /// Maximum duration of an injected fault.
    pub max_duration: Duration,
}

impl Default for FaultInjectionSettings {
    fn default() -> Self {
        FaultInjectionSettings {
            secret: None,
            port: None,
            max_duration: Duration::from_secs(300),
        }
    }
}

impl FeatureSettings {
    /// Reads a properties file.
    ///
    /// # Errors
    /// The file can't be read, is too long, or its first invalid line.
    pub fn read(path: &Path) -> Result<Self, ReadError> {
        let file = path.display().to_string();
        let text = match read_text(path) {
            Ok(text) => text,
            Err(source) => return Err(ReadError::Io { file, source }),
        };
        if text.len() as u64 > MAX_FILE_BYTES {
            let max_bytes = MAX_FILE_BYTES;
            return Err(ReadError::TooLong { file, max_bytes });
        }
        Ok(FeatureSettings::parse(&file, &text)?)
    }

    /// Parses the text of a properties file; `file` is its name in errors.
    ///
    /// # Errors
    /// The first invalid line.
    pub fn parse(file: &str, text: &str) -> Result<Self, ParseError> {
        let mut entries = Entries::parse(file, text)?;
        let features = FeatureSettings {
            client: client_settings(&mut entries)?,
            capture: capture_settings(&mut entries)?,
            fault_injection: fault_injection_settings(&mut entries)?,
            metrics: metrics_settings(&mut entries)?,
        };
        entries.finish()?;
        Ok(features)
    }
}

/// Reads a file up to one byte more than its maximum length.
fn read_text(path: &Path) -> io::Result<String> {
    let mut text = String::new();
    File::open(path)?
        .take(MAX_FILE_BYTES + 1)
        .read_to_string(&mut text)?;
    Ok(text)
}

fn client_settings(entries: &mut Entries) -> Result<client::Settings, ParseError> {
    let default = client::Settings::default();
    Ok(client::Settings {
        target: entries.take("client.target", host_and_port)?,
        lookup_deadline: entries
            .take("client.deadline.lookup", duration)?
            .unwrap_or(default.lookup_deadline),
        checkout_deadline: entries
            .take("client.deadline.checkout", duration)?
            .unwrap_or(default.checkout_deadline),
        max_attempts: entries
            .take("client.max_tries", integer(1..=100))?
            .unwrap_or(default.max_attempts),
        mark_retries: entries
            .take("client.mark_retries", boolean)?
            .unwrap_or(default.mark_retries),
    })
}

fn capture_settings(entries: &mut Entries) -> Result<CaptureSettings, ParseError> {
    Ok(CaptureSettings {
        enabled: entries.take("capture.enabled", boolean)?.unwrap_or(false),
        directory: entries.take("capture.dir", path)?,
    })
}

fn fault_injection_settings(entries: &mut Entries) -> Result<FaultInjectionSettings, ParseError> {
    let default = FaultInjectionSettings::default();
    let max_seconds = entries.take("drills.max_seconds", integer(1..=86_400))?;
    Ok(FaultInjectionSettings {
        secret: entries.take("drills.secret", Secret::new)?,
        port: entries.take("drills.port", integer(0..=65_535))?,
        max_duration: max_seconds.map_or(default.max_duration, Duration::from_secs),
    })
}

fn metrics_settings(entries: &mut Entries) -> Result<MetricsSettings, ParseError> {
    let default = MetricsSettings::default();
    // A metrics line must fit into a datagram, and a datagram into an IP packet.
    let max_datagram_bytes = entries.take("figures.batch_bytes", integer(512..=65_507))?;
    Ok(MetricsSettings {
        enabled: entries
            .take("figures.enabled", boolean)?
            .unwrap_or(default.enabled),
        format: entries
            .take("figures.format", metrics_format)?
            .unwrap_or(default.format),
        flush_interval: entries
            .take("figures.flush_ms", duration)?
            .unwrap_or(default.flush_interval),
        max_datagram_bytes: max_datagram_bytes.unwrap_or(default.max_datagram_bytes),
        file: entries.take("figures.file", path)?,
        udp_address: entries.take("figures.udp", socket_address)?,
    })
}

fn metrics_format(text: &str) -> Result<MetricsFormat, ValueError> {
    match text {
        "statsd" => Ok(MetricsFormat::Statsd),
        "influx" => Ok(MetricsFormat::Influx),
        _ => Err(ValueError::NotMetricsFormat {
            text: text.to_owned(),
        }),
    }
}

fn path(text: &str) -> Result<PathBuf, ValueError> {
    Ok(PathBuf::from(text))
}
