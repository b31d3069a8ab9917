//! The hosted service with durable state as a process, and its administration API: what is asked of both over real sockets.

pub mod changes;
pub mod cost;
pub mod fleet;
pub mod kills;
pub mod pace;
pub mod recover;
pub mod tenants;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::thread;
use std::time::Duration;

use serde_json::Value;

/// No call takes longer.
const PATIENCE: Duration = Duration::from_secs(30);

/// A quantile of what was measured.
pub(crate) fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
        .get((q * (sorted.len().max(1) - 1) as f64).round() as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// A service that is killed when it is no longer needed.
pub struct Service {
    child: Child,
    /// Where its listeners are.
    pub listeners: BTreeMap<String, SocketAddr>,
    /// Where its administration API is, if it has one.
    pub admin: Option<SocketAddr>,
}

impl Drop for Service {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Service {
    /// Starts a service by a command that takes the arguments of `canvascart`, and waits until so many listeners are up, and its
    /// administration API if it has one.
    ///
    /// # Errors
    /// It does not come up; what it said last.
    pub fn start(
        command: &[String],
        config: &Path,
        listeners: usize,
        administered: bool,
    ) -> io::Result<Self> {
        Service::start_seen(command, config, listeners, administered, |_| ())
    }

    /// As [`Service::start`]; its process is told as soon as there is one, while it is still coming up.
    ///
    /// # Errors
    /// As [`Service::start`].
    pub fn start_seen(
        command: &[String],
        config: &Path,
        listeners: usize,
        administered: bool,
        seen: impl FnOnce(u32),
    ) -> io::Result<Self> {
        let (program, arguments) = command
            .split_first()
            .ok_or_else(|| io::Error::other("no service is named"))?;
        let mut child = Command::new(program)
            .args(arguments)
            .args(["--log-format", "json", "--log", "info", "serve", "--config"])
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        seen(child.id());
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("it has no log"))?;
        let mut service = Service {
            child,
            listeners: BTreeMap::new(),
            admin: None,
        };
        let mut lines = BufReader::new(stderr).lines();
        let mut said = String::new();
        while service.listeners.len() < listeners || administered && service.admin.is_none() {
            let Some(line) = lines.next().transpose()? else {
                return Err(io::Error::other(format!(
                    "the service did not come up: {said}"
                )));
            };
            let value: Value = serde_json::from_str(&line).unwrap_or_default();
            let address = value["address"].as_str().and_then(|a| a.parse().ok());
            match (
                value["message"].as_str(),
                value["listener"].as_str(),
                address,
            ) {
                (Some("listens"), Some(name), Some(address)) => {
                    service.listeners.insert(name.to_owned(), address);
                }
                (Some("the administration API listens"), _, address) => service.admin = address,
                _ => said = line,
            }
        }
        thread::spawn(move || lines.for_each(drop)); // a log that nobody reads would stop it
        Ok(service)
    }

    /// Where a listener is.
    ///
    /// # Errors
    /// There is none of this name.
    pub fn listener(&self, name: &str) -> io::Result<SocketAddr> {
        let found = self.listeners.get(name).copied();
        found.ok_or_else(|| io::Error::other(format!("the service has no listener {name}")))
    }

    /// A connection to its administration API.
    ///
    /// # Errors
    /// It has none, or no token is there.
    pub fn line(&self, place: &Place) -> io::Result<Line> {
        let at = self
            .admin
            .ok_or_else(|| io::Error::other("the service has no administration API"))?;
        Ok(Line::admin(at, &place.token()?))
    }

    /// Its process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// How it ended, if it did without being killed here.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Ends it at once, wherever it is (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill(); // it may have ended
        let _ = self.child.wait();
    }
}

/// A connection over which requests go one after another.
pub struct Line {
    to: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
    /// Headers of every request.
    headers: String,
}

impl Line {
    /// A connection to an address, made when it is needed.
    pub fn new(to: SocketAddr, headers: &str) -> Self {
        Line {
            to,
            stream: None,
            headers: headers.to_owned(),
        }
    }

    /// A connection to an administration API with a token.
    pub fn admin(to: SocketAddr, token: &str) -> Self {
        Line::new(
            to,
            &format!(
                "Authorization: Bearer {}\r\nContent-Type: application/json\r\n",
                token.trim()
            ),
        )
    }

    /// Sends a request and reads its answer: the status and the body.
    ///
    /// # Errors
    /// The connection breaks; the request may have had its effect.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        more: &str,
        body: &str,
    ) -> io::Result<(u16, Vec<u8>)> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.to, PATIENCE)?;
                stream.set_read_timeout(Some(PATIENCE))?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        let mut text = format!(
            "{method} {target} HTTP/1.1\r\nHost: lab\r\n{}{more}",
            self.headers
        );
        let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len()); // a string takes all
        stream.get_mut().write_all(text.as_bytes())?;
        let (mut status, mut length, mut closes) = (0, 0, false);
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_ascii_lowercase();
            match line.split_once(": ") {
                _ if line.is_empty() => break,
                Some(("content-length", n)) => length = n.parse().map_err(io::Error::other)?,
                Some(("connection", "close")) => closes = true,
                None => {
                    status = line
                        .split(' ')
                        .nth(1)
                        .and_then(|s| s.parse().ok())
                        .unwrap_or(0)
                }
                _ => {}
            }
        }
        let mut body = vec![0; length];
        stream.read_exact(&mut body)?;
        if !closes {
            self.stream = Some(stream);
        }
        Ok((status, body))
    }

    /// Calls the API; anything but a 2xx is an error.
    ///
    /// # Errors
    /// As [`Line::call`], and what the API says.
    pub fn json(
        &mut self,
        method: &str,
        target: &str,
        more: &str,
        body: &Value,
    ) -> io::Result<Value> {
        let text = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let (status, body) = self.call(method, target, more, &text)?;
        let value: Value = serde_json::from_slice(&body)?;
        if (200..300).contains(&status) {
            Ok(value)
        } else {
            Err(io::Error::other(format!(
                "{method} {target}: {status}: {value}"
            )))
        }
    }
}

/// A service's files: its configuration and its state.
pub struct Place {
    /// The configuration.
    pub config: PathBuf,
    /// The state's directory.
    pub state: PathBuf,
}

impl Place {
    /// Makes them anew in a directory; `tables` is the rest of the configuration.
    ///
    /// # Errors
    /// What the system says.
    pub fn new(dir: &Path, tables: &str) -> io::Result<Self> {
        let place = Place {
            config: dir.join("serve.toml"),
            state: dir.join("state"),
        };
        match std::fs::remove_dir_all(dir) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => std::fs::create_dir_all(dir)?,
        }
        let text = format!(
            "[state]\ndirectory = {:?}\n[admin]\naddress = \"127.0.0.1:0\"\n[[listener]]\nname = \"public\"\naddress = \
             \"127.0.0.1:0\"\ntenant-by = \"header\"\n{tables}",
            place.state.display().to_string()
        );
        std::fs::write(&place.config, text)?;
        Ok(place)
    }

    /// The first operator's token.
    ///
    /// # Errors
    /// There is none yet.
    pub fn token(&self) -> io::Result<String> {
        std::fs::read_to_string(self.state.join("operator.token"))
    }
}
