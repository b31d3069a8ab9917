//! Test fixture: the hosted service as a process on loopback, and HTTP clients for it.
#![allow(dead_code)] // each test binary uses a subset
#[path = "../../../proxy-core/tests/sockets/mod.rs"]
pub mod sockets;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};

use sockets::{Backend, BackendAction, LIMIT, Message, ok, read_message, wait_for};

const CLASSES: &str = r#"
[[tenant.class]]
name = "lookup"
effect = "safe"
aim = "2 s"
deadline = "20 s"

[[tenant.class]]
name = "checkout"
effect = "unsafe"
aim = "2 s"
deadline = "20 s"
"#;

/// Formats a tenant's configuration with these servers; `extra` is added to its table.
pub fn tenant(name: &str, extra: &str, servers: &[(&str, SocketAddr)]) -> String {
    let server = |(n, a): &(&str, SocketAddr)| {
        format!("[[tenant.server]]\nname = \"{n}\"\naddress = \"{a}\"\nsize = 8\nwarm = true\n")
    };
    let servers: String = servers.iter().map(server).collect();
    format!(
        "[[tenant]]\nname = \"{name}\"\nhosts = [\"{name}.example\"]\n{extra}\n{CLASSES}\n{servers}\n"
    )
}

pub fn listener(name: &str, address: &str, by: &str, extra: &str) -> String {
    format!(
        "[[listener]]\nname = \"{name}\"\naddress = \"{address}\"\ntenant-by = \"{by}\"\n{extra}\n"
    )
}

/// Service process, killed on drop. Its JSON log is collected, and printed if the test panics.
pub struct ServiceProcess {
    pub child: Child,
    pub file: PathBuf,
    log: Arc<Mutex<Vec<serde_json::Value>>>,
    /// Reads the log until the process closes it.
    log_reader: Option<JoinHandle<()>>,
}

impl ServiceProcess {
    /// Starts the service and waits until all listeners are open.
    pub fn start(name: &str, config: &str) -> Self {
        let service = ServiceProcess::spawn_with_args(name, config, &[]);
        let listeners = config.matches("[[listener]]").count();
        wait_for("the listeners", || service.addresses().len() == listeners);
        service
    }

    /// Starts the service with additional arguments, without waiting for readiness.
    pub fn spawn_with_args(name: &str, config: &str, extra: &[&str]) -> Self {
        let file = std::env::temp_dir().join(format!(
            "canvascart-serve-{}-{name}.toml",
            std::process::id()
        ));
        std::fs::write(&file, config).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_canvascart"))
            .args([
                "--log-format",
                "json",
                "--log",
                "info",
                "serve",
                "--config",
                file.to_str().unwrap(),
            ])
            .args(extra)
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let log: Arc<Mutex<Vec<serde_json::Value>>> = Arc::default();
        let (lines, sink) = (
            BufReader::new(child.stderr.take().unwrap()).lines(),
            log.clone(),
        );
        let log_reader = thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let value = serde_json::from_str(&line).unwrap_or(serde_json::Value::String(line));
                sink.lock().unwrap().push(value);
            }
        });
        ServiceProcess {
            child,
            file,
            log,
            log_reader: Some(log_reader),
        }
    }

    pub fn logged(&self, message: &str) -> Vec<serde_json::Value> {
        self.log
            .lock()
            .unwrap()
            .iter()
            .filter(|l| l["message"] == message)
            .cloned()
            .collect()
    }

    pub fn addresses(&self) -> BTreeMap<String, SocketAddr> {
        let listener_address = |l: serde_json::Value| {
            Some((
                l["listener"].as_str()?.to_owned(),
                l["address"].as_str()?.parse().ok()?,
            ))
        };
        self.logged("listens")
            .into_iter()
            .filter_map(listener_address)
            .collect()
    }

    /// Replaces the configuration, sends SIGHUP and waits for a log message.
    pub fn reload_config(&self, config: &str, message: &str) {
        let before = self.logged(message).len();
        std::fs::write(&self.file, config).unwrap();
        self.signal("HUP");
        wait_for(message, || self.logged(message).len() > before);
    }

    pub fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        assert!(
            Command::new("kill")
                .args(["-s", name, &id])
                .status()
                .unwrap()
                .success()
        );
    }

    /// Waits until the service exits and its whole log is read.
    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the service to exit", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        if let Some(log_reader) = self.log_reader.take() {
            log_reader.join().expect("the log is read");
        }
        status.unwrap()
    }
}

impl Drop for ServiceProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        if thread::panicking() {
            eprintln!("service log: {:#?}", self.log.lock().unwrap());
        }
    }
}

/// HTTP connection to the service.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, method: &str, path: &str, host: &str, extra: &str) {
        let text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{extra}\r\n");
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn response(&mut self) -> Message {
        read_message(&mut self.0).expect("a response")
    }

    pub fn get(&mut self, host: &str, extra: &str) -> Message {
        self.send("GET", "/lookup/1", host, extra);
        self.response()
    }
}

/// Starts a backend that responds with this text.
pub fn text_backend(text: &'static str) -> Backend {
    Backend::new(BackendAction::Write(ok(text)))
}
