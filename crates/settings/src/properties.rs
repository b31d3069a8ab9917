//! The operators' own settings for the features: a file of one `key = value` a line.
//!
//! Whatever is unknown, repeated or out of range is an error that names file, line and key: a slip must stop
//! the start instead of leaving a feature silently as it was.

use std::collections::BTreeMap;
use std::fmt;
use std::io::Read as _;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Bytes of a file; a longer one is no settings file.
const MOST: u64 = 64 << 10;

/// What is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Error {
    file: String,
    line: Option<usize>,
    key: Option<String>,
    what: String,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}", self.file)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        if let Some(key) = &self.key {
            write!(f, ": {key}")?;
        }
        write!(f, ": {}", self.what)
    }
}

impl std::error::Error for Error {}

/// The settings of all features. The default is what holds with no file: everything off.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Features {
    /// `client.*`
    pub client: client::Settings,
    /// `capture.*`
    pub capture: Capture,
    /// `drills.*`
    pub drills: Drills,
    /// `figures.*`
    pub figures: Figures,
}

/// How a line of figures is written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// StatsD, with tags as DogStatsD has them.
    Statsd,
    /// InfluxDB's line protocol.
    Influx,
}

/// Whether the proxy tells figures, how and where.
#[derive(Clone, Debug, PartialEq)]
pub struct Figures {
    /// Whether it does.
    pub enabled: bool,
    /// In which form.
    pub format: Format,
    /// How often.
    pub flush: Duration,
    /// Bytes of a datagram.
    pub batch_bytes: usize,
    /// A file to which they go in place of standard error.
    pub file: Option<PathBuf>,
    /// Where they go as datagrams in place of standard error.
    pub udp: Option<SocketAddr>,
}

impl Default for Figures {
    fn default() -> Self {
        Figures {
            enabled: false,
            format: Format::Statsd,
            flush: Duration::from_millis(1000),
            batch_bytes: 1400,
            file: None,
            udp: None,
        }
    }
}

/// Whether and where the proxy keeps what it saw and chose.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Capture {
    /// Whether it does.
    pub enabled: bool,
    /// Where its segments go to files too.
    pub dir: Option<PathBuf>,
}

/// Who may start drills, where, and for how long.
#[derive(Clone, Debug, PartialEq)]
pub struct Drills {
    /// What the side port wants to hear; without it drills are off.
    pub secret: Option<Secret>,
    /// The side port, on the host on which the proxy listens; 0 lets the system choose one.
    pub port: Option<u16>,
    /// The longest drill.
    pub most: Duration,
}

impl Default for Drills {
    fn default() -> Self {
        Drills {
            secret: None,
            port: None,
            most: Duration::from_secs(300),
        }
    }
}

/// A word that is neither shown nor logged.
#[derive(Clone, PartialEq, Eq)]
pub struct Secret(String);

impl Secret {
    /// Any row of visible ASCII characters.
    pub fn new(text: &str) -> Result<Self, String> {
        let good = !text.is_empty() && text.bytes().all(|b| b.is_ascii_graphic());
        good.then(|| Secret(text.to_owned()))
            .ok_or("a secret is a row of visible ASCII characters".into())
    }

    /// The word itself.
    pub fn bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        f.write_str("Secret(…)")
    }
}

impl Features {
    /// Reads a file whole.
    pub fn read(path: &Path) -> Result<Self, Error> {
        let file = path.display().to_string();
        let whole = |e: std::io::Error| Error {
            file: file.clone(),
            line: None,
            key: None,
            what: e.to_string(),
        };
        let mut text = String::new();
        std::fs::File::open(path)
            .map_err(whole)?
            .take(MOST + 1)
            .read_to_string(&mut text)
            .map_err(whole)?;
        if text.len() as u64 > MOST {
            return Err(Error {
                file,
                line: None,
                key: None,
                what: format!("over {MOST} bytes"),
            });
        }
        Features::parse(&file, &text)
    }

    /// Reads the text of a file; `file` is its name in errors.
    pub fn parse(file: &str, text: &str) -> Result<Self, Error> {
        let mut entries = Entries::parse(file, text)?;
        let (client, capture, drills) = (entries.client()?, entries.capture()?, entries.drills()?);
        let features = Features {
            client,
            capture,
            drills,
            figures: entries.figures()?,
        };
        entries.finish()?;
        Ok(features)
    }
}

/// The lines of a file that nobody has asked for yet.
struct Entries<'a> {
    file: &'a str,
    /// By key: the line's number and the value.
    left: BTreeMap<&'a str, (usize, &'a str)>,
}

impl<'a> Entries<'a> {
    fn parse(file: &'a str, text: &'a str) -> Result<Self, Error> {
        let mut entries = Entries {
            file,
            left: BTreeMap::new(),
        };
        for (n, line) in text.lines().enumerate() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            let (key, value) = line
                .split_once('=')
                .map_or((line, None), |(k, v)| (k.trim(), Some(v.trim())));
            let Some(value) = value.filter(|v| !v.is_empty()) else {
                return Err(entries.error(
                    n + 1,
                    key,
                    "there is no value: 'key = value' is wanted",
                ));
            };
            if let Some((first, _)) = entries.left.insert(key, (n + 1, value)) {
                return Err(entries.error(n + 1, key, format!("stands in line {first} already")));
            }
        }
        Ok(entries)
    }

    /// The value of a key, if it stands in the file, as `read` understands it.
    fn take<T>(
        &mut self,
        key: &str,
        read: impl FnOnce(&str) -> Result<T, String>,
    ) -> Result<Option<T>, Error> {
        let Some((line, value)) = self.left.remove(key) else {
            return Ok(None);
        };
        read(value)
            .map(Some)
            .map_err(|what| self.error(line, key, what))
    }

    fn client(&mut self) -> Result<client::Settings, Error> {
        let default = client::Settings::default();
        Ok(client::Settings {
            target: self.take("client.target", host_and_port)?,
            lookup_deadline: self
                .take("client.deadline.lookup", span)?
                .unwrap_or(default.lookup_deadline),
            checkout_deadline: self
                .take("client.deadline.checkout", span)?
                .unwrap_or(default.checkout_deadline),
            max_tries: self
                .take("client.max_tries", whole(1..=100))?
                .unwrap_or(default.max_tries),
            mark_retries: self
                .take("client.mark_retries", flag)?
                .unwrap_or(default.mark_retries),
        })
    }

    fn capture(&mut self) -> Result<Capture, Error> {
        Ok(Capture {
            enabled: self.take("capture.enabled", flag)?.unwrap_or(false),
            dir: self.take("capture.dir", |text| Ok(PathBuf::from(text)))?,
        })
    }

    fn drills(&mut self) -> Result<Drills, Error> {
        let most = self.take("drills.max_seconds", whole(1..=86_400))?;
        Ok(Drills {
            secret: self.take("drills.secret", Secret::new)?,
            port: self.take("drills.port", whole(0..=65_535))?,
            most: most.map_or(Drills::default().most, Duration::from_secs),
        })
    }

    fn figures(&mut self) -> Result<Figures, Error> {
        let default = Figures::default();
        // One line has to fit into a datagram, and a datagram into an IP packet.
        let batch = self.take("figures.batch_bytes", whole(512..=65_507))?;
        Ok(Figures {
            enabled: self
                .take("figures.enabled", flag)?
                .unwrap_or(default.enabled),
            format: self
                .take("figures.format", format)?
                .unwrap_or(default.format),
            flush: self
                .take("figures.flush_ms", span)?
                .unwrap_or(default.flush),
            batch_bytes: batch.unwrap_or(default.batch_bytes),
            file: self.take("figures.file", |text| Ok(PathBuf::from(text)))?,
            udp: self.take("figures.udp", address)?,
        })
    }

    fn error(&self, line: usize, key: &str, what: impl Into<String>) -> Error {
        Error {
            file: self.file.into(),
            line: Some(line),
            key: Some(key.into()),
            what: what.into(),
        }
    }

    /// Whatever nobody has asked for is unknown.
    fn finish(self) -> Result<(), Error> {
        match self.left.iter().min_by_key(|(_, (line, _))| line) {
            Some((key, (line, _))) => Err(self.error(*line, key, "no such key")),
            None => Ok(()),
        }
    }
}

fn flag(text: &str) -> Result<bool, String> {
    text.parse()
        .map_err(|_| format!("'{text}' is neither true nor false"))
}

fn format(text: &str) -> Result<Format, String> {
    match text {
        "statsd" => Ok(Format::Statsd),
        "influx" => Ok(Format::Influx),
        _ => Err(format!("'{text}' is neither statsd nor influx")),
    }
}

fn address(text: &str) -> Result<SocketAddr, String> {
    let address = text.parse().ok().filter(|a: &SocketAddr| a.port() > 0);
    address.ok_or(format!("'{text}' is no IP address with a port"))
}

fn whole<T: TryFrom<u64>>(range: RangeInclusive<u64>) -> impl Fn(&str) -> Result<T, String> {
    move |text| {
        let number = text
            .parse()
            .ok()
            .filter(|n| range.contains(n))
            .and_then(|n| T::try_from(n).ok());
        number.ok_or(format!(
            "'{text}' is no whole number from {} to {}",
            range.start(),
            range.end()
        ))
    }
}

/// Milliseconds; the unit may be named.
fn span(text: &str) -> Result<Duration, String> {
    let number = text.strip_suffix("ms").unwrap_or(text).trim_end();
    whole(1..=3_600_000)(number)
        .map(Duration::from_millis)
        .map_err(|e| format!("{e}, in ms"))
}

/// Checks an address with a port; the host may be a name.
pub fn host_and_port(text: &str) -> Result<String, String> {
    let port = text
        .rsplit_once(':')
        .filter(|(host, _)| !host.is_empty())
        .map(|(_, port)| port);
    let good = port
        .and_then(|p| p.parse::<u16>().ok())
        .is_some_and(|p| p > 0);
    let plain = text.bytes().all(|b| b.is_ascii_graphic());
    if good && plain {
        Ok(text.to_owned())
    } else {
        Err(format!("'{text}' is not HOST:PORT"))
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn error(text: &str) -> String {
        Features::parse("f", text).expect_err(text).to_string()
    }

    #[test]
    fn nothing_but_comments_leaves_all_off() {
        assert_eq!(
            Features::parse("f", "# a comment\r\n\n   # another\n"),
            Ok(Features::default())
        );
    }

    #[test]
    fn what_is_wrong_is_named_with_file_line_and_key() {
        assert_eq!(error("\nno.such = 1\n"), "f:2: no.such: no such key");
        assert_eq!(error("b = 1\na = 1\n"), "f:1: b: no such key");
        assert_eq!(
            error("a.key = 1\n#\n a.key=2\n"),
            "f:3: a.key: stands in line 1 already"
        );
        assert!(error("a.key\n").starts_with("f:1: a.key: there is no value"));
        assert!(error("a.key = \n").starts_with("f:1: a.key: there is no value"));
    }

    #[test]
    fn the_client_s_settings_are_read_and_have_their_defaults() {
        let of = |text: &str| Features::parse("f", text).expect(text).client;
        let default = of("");
        assert_eq!(default.target, None);
        assert_eq!(default.lookup_deadline, Duration::from_millis(2500));
        assert_eq!(default.checkout_deadline, Duration::from_millis(2000));
        assert_eq!((default.max_tries, default.mark_retries), (3, true));
        let set = of(
            "client.target = 127.0.0.1:9000\nclient.deadline.lookup = 900 ms\n\
            client.deadline.checkout=800\nclient.max_tries = 1\nclient.mark_retries = false",
        );
        let wanted = client::Settings {
            target: Some("127.0.0.1:9000".into()),
            lookup_deadline: Duration::from_millis(900),
            checkout_deadline: Duration::from_millis(800),
            max_tries: 1,
            mark_retries: false,
        };
        assert_eq!(set, wanted);
        for (line, word) in [
            ("client.target = 127.0.0.1", "HOST:PORT"),
            ("client.target = :9000", "HOST:PORT"),
            ("client.target = a b:9000", "HOST:PORT"),
            ("client.deadline.lookup = 0", "from 1 to"),
            ("client.deadline.checkout = 2 s", "from 1 to"),
            ("client.max_tries = 101", "from 1 to 100"),
            ("client.mark_retries = yes", "neither true nor false"),
        ] {
            let error = error(line);
            assert!(
                error.contains(word) && error.starts_with("f:1: client."),
                "{line}: {error}"
            );
        }
    }

    #[test]
    fn the_capture_is_off_unless_it_is_switched_on() {
        let of = |text: &str| Features::parse("f", text).expect(text).capture;
        assert_eq!(
            of(""),
            Capture {
                enabled: false,
                dir: None
            }
        );
        let set = of("capture.enabled = true\ncapture.dir = /var/lib/x y");
        assert_eq!(
            set,
            Capture {
                enabled: true,
                dir: Some("/var/lib/x y".into())
            }
        );
        assert!(error("capture.enabled = 1").contains("f:1: capture.enabled: '1' is neither"));
    }

    #[test]
    fn drills_are_off_without_a_secret_and_it_is_never_shown() {
        let of = |text: &str| Features::parse("f", text).expect(text).drills;
        assert_eq!(
            of(""),
            Drills {
                secret: None,
                port: None,
                most: Duration::from_secs(300)
            }
        );
        let set = of("drills.secret = open=sesame\ndrills.port = 9100\ndrills.max_seconds = 9");
        assert_eq!((set.port, set.most), (Some(9100), Duration::from_secs(9)));
        assert_eq!(
            set.secret.as_ref().map(Secret::bytes),
            Some(&b"open=sesame"[..])
        );
        assert!(!format!("{set:?}").contains("sesame"));
        assert!(!error("drills.secret = open sesame").contains("sesame"));
        for line in [
            "drills.port = 65536",
            "drills.port = -1",
            "drills.max_seconds = 0",
        ] {
            assert!(error(line).contains("no whole number from"), "{line}");
        }
    }

    #[test]
    fn the_figures_settings_are_read_and_have_their_defaults() {
        let of = |text: &str| Features::parse("f", text).expect(text).figures;
        let default = of("");
        assert!(!default.enabled && default.format == Format::Statsd);
        assert_eq!(
            (default.flush, default.batch_bytes),
            (Duration::from_millis(1000), 1400)
        );
        assert_eq!((default.file, default.udp), (None, None));
        let set = of(
            "figures.enabled = true\nfigures.format = influx\nfigures.flush_ms = 50\n\
            figures.batch_bytes = 512\nfigures.file = /var/log/x\nfigures.udp = 127.0.0.1:8125",
        );
        let wanted = Figures {
            enabled: true,
            format: Format::Influx,
            flush: Duration::from_millis(50),
            batch_bytes: 512,
            file: Some("/var/log/x".into()),
            udp: "127.0.0.1:8125".parse().ok(),
        };
        assert_eq!(set, wanted);
        for (line, word) in [
            ("figures.format = graphite", "neither statsd nor influx"),
            ("figures.flush_ms = 0", "from 1 to"),
            ("figures.batch_bytes = 511", "from 512 to"),
            ("figures.udp = 127.0.0.1", "no IP address with a port"),
            ("figures.udp = 127.0.0.1:0", "no IP address with a port"),
        ] {
            assert!(error(line).contains(word), "{line}: {}", error(line));
        }
    }

    #[test]
    fn a_file_that_cannot_be_read_is_named() {
        let error = Features::read(Path::new("/no/such/file"))
            .expect_err("nothing there")
            .to_string();
        assert!(error.starts_with("/no/such/file: "), "{error}");
    }
}
