//! Runs the hosted service with durable state as a process and tests it and its administration API over real sockets.

pub mod change_latency;
pub mod changes;
pub mod cost;
pub mod crash_recovery;
pub mod fleet;
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

/// Connect and read timeout of a call.
const CALL_TIMEOUT: Duration = Duration::from_secs(30);

/// Returns a quantile of measured values, or NaN if there are none.
pub(crate) fn quantile(values: &[f64], q: f64) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    sorted
        .get((q * (sorted.len().max(1) - 1) as f64).round() as usize)
        .copied()
        .unwrap_or(f64::NAN)
}

/// A service process that is killed on drop.
pub struct Service {
    child: Child,
    /// Addresses of its listeners by name.
    pub listeners: BTreeMap<String, SocketAddr>,
    /// Address of its administration API, if it has one.
    pub admin: Option<SocketAddr>,
}

impl Drop for Service {
    fn drop(&mut self) {
        self.kill();
    }
}

impl Service {
    /// Starts a service with a command that accepts the arguments of `canvascart`; waits until this number of listeners, and the
    /// administration API if there is one, are ready.
    ///
    /// # Errors
    /// The service does not start; the error contains the last line of its log.
    pub fn start(
        command: &[String],
        config: &Path,
        listeners: usize,
        has_admin_api: bool,
    ) -> io::Result<Self> {
        Service::start_with_process_id(command, config, listeners, has_admin_api, |_| ())
    }

    /// Like [`Service::start`], but passes the process id to `on_spawn` before the service is ready.
    ///
    /// # Errors
    /// See [`Service::start`].
    pub fn start_with_process_id(
        command: &[String],
        config: &Path,
        listeners: usize,
        has_admin_api: bool,
        on_spawn: impl FnOnce(u32),
    ) -> io::Result<Self> {
        let (program, arguments) = command
            .split_first()
            .ok_or_else(|| io::Error::other("the service command is empty"))?;
        let mut child = Command::new(program)
            .args(arguments)
            .args(["--log-format", "json", "--log", "info", "serve", "--config"])
            .arg(config)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        on_spawn(child.id());
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("the process has no log output"))?;
        let mut service = Service {
            child,
            listeners: BTreeMap::new(),
            admin: None,
        };
        let mut lines = BufReader::new(stderr).lines();
        let mut last_line = String::new();
        while service.listeners.len() < listeners || has_admin_api && service.admin.is_none() {
            let Some(line) = lines.next().transpose()? else {
                return Err(io::Error::other(format!(
                    "the service did not start: {last_line}"
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
                _ => last_line = line,
            }
        }
        thread::spawn(move || lines.for_each(drop)); // a full stderr pipe would block the service
        Ok(service)
    }

    /// Returns the address of a listener.
    ///
    /// # Errors
    /// There is no listener with this name.
    pub fn listener(&self, name: &str) -> io::Result<SocketAddr> {
        let address = self.listeners.get(name).copied();
        address.ok_or_else(|| io::Error::other(format!("the service has no listener {name}")))
    }

    /// Opens a connection to its administration API.
    ///
    /// # Errors
    /// The service has no administration API, or there is no token.
    pub fn admin_connection(&self, files: &ServiceFiles) -> io::Result<HttpConnection> {
        let address = self
            .admin
            .ok_or_else(|| io::Error::other("the service has no administration API"))?;
        Ok(HttpConnection::admin(address, &files.token()?))
    }

    /// Returns its process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns its exit status if it has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Kills the process (SIGKILL).
    pub fn kill(&mut self) {
        let _ = self.child.kill(); // the process may have exited
        let _ = self.child.wait();
    }
}

/// An HTTP connection that sends requests in sequence and reconnects when closed.
pub struct HttpConnection {
    address: SocketAddr,
    stream: Option<BufReader<TcpStream>>,
    /// Headers sent with every request.
    headers: String,
}

impl HttpConnection {
    /// Creates a connection that is opened by the first request.
    pub fn new(address: SocketAddr, headers: &str) -> Self {
        HttpConnection {
            address,
            stream: None,
            headers: headers.to_owned(),
        }
    }

    /// Creates a connection to an administration API with a token.
    pub fn admin(address: SocketAddr, token: &str) -> Self {
        HttpConnection::new(
            address,
            &format!(
                "Authorization: Bearer {}\r\nContent-Type: application/json\r\n",
                token.trim()
            ),
        )
    }

    /// Sends a request; returns the status and the body of the response.
    ///
    /// # Errors
    /// The connection fails; the request may have taken effect.
    pub fn call(
        &mut self,
        method: &str,
        target: &str,
        extra_headers: &str,
        body: &str,
    ) -> io::Result<(u16, Vec<u8>)> {
        let mut stream = match self.stream.take() {
            Some(stream) => stream,
            None => {
                let stream = TcpStream::connect_timeout(&self.address, CALL_TIMEOUT)?;
                stream.set_read_timeout(Some(CALL_TIMEOUT))?;
                stream.set_nodelay(true)?;
                BufReader::new(stream)
            }
        };
        let mut text = format!(
            "{method} {target} HTTP/1.1\r\nHost: lab\r\n{}{extra_headers}",
            self.headers
        );
        let _ = write!(text, "Content-Length: {}\r\n\r\n{body}", body.len()); // writing to a string cannot fail
        stream.get_mut().write_all(text.as_bytes())?;
        let (mut status, mut length, mut closes_connection) = (0, 0, false);
        loop {
            let mut line = String::new();
            if stream.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let line = line.trim_end().to_ascii_lowercase();
            match line.split_once(": ") {
                _ if line.is_empty() => break,
                Some(("content-length", n)) => length = n.parse().map_err(io::Error::other)?,
                Some(("connection", "close")) => closes_connection = true,
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
        if !closes_connection {
            self.stream = Some(stream);
        }
        Ok((status, body))
    }

    /// Calls the API and parses the response.
    ///
    /// # Errors
    /// See [`HttpConnection::call`]; also a status other than 2xx, with the response in the error.
    pub fn json(
        &mut self,
        method: &str,
        target: &str,
        extra_headers: &str,
        body: &Value,
    ) -> io::Result<Value> {
        let text = if body.is_null() {
            String::new()
        } else {
            body.to_string()
        };
        let (status, body) = self.call(method, target, extra_headers, &text)?;
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

/// Paths of a service's configuration and state.
pub struct ServiceFiles {
    /// The configuration file.
    pub config: PathBuf,
    /// The state directory.
    pub state: PathBuf,
}

impl ServiceFiles {
    /// Recreates a directory with a configuration; `tables` is appended to the configuration.
    ///
    /// # Errors
    /// A file operation fails.
    pub fn new(dir: &Path, tables: &str) -> io::Result<Self> {
        let files = ServiceFiles {
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
            files.state.display().to_string()
        );
        std::fs::write(&files.config, text)?;
        Ok(files)
    }

    /// Reads the first operator's token.
    ///
    /// # Errors
    /// The service has not created it yet.
    pub fn token(&self) -> io::Result<String> {
        std::fs::read_to_string(self.state.join("operator.token"))
    }
}
