//! A hosted service as a process on loopback, and clients of it.
#![allow(dead_code)] // each test file uses its own part
#[path = "../../../proxy-core/tests/sockets/mod.rs"]
pub mod sockets;

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

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

/// A tenant with these servers; `more` goes into its table.
pub fn tenant(name: &str, more: &str, servers: &[(&str, SocketAddr)]) -> String {
    let server = |(n, a): &(&str, SocketAddr)| {
        format!("[[tenant.server]]\nname = \"{n}\"\naddress = \"{a}\"\nsize = 8\nwarm = true\n")
    };
    let servers: String = servers.iter().map(server).collect();
    format!(
        "[[tenant]]\nname = \"{name}\"\nhosts = [\"{name}.example\"]\n{more}\n{CLASSES}\n{servers}\n"
    )
}

pub fn listener(name: &str, address: &str, by: &str, more: &str) -> String {
    format!(
        "[[listener]]\nname = \"{name}\"\naddress = \"{address}\"\ntenant-by = \"{by}\"\n{more}\n"
    )
}

pub struct Running {
    pub child: Child,
    pub file: PathBuf,
    log: Arc<Mutex<Vec<serde_json::Value>>>,
}

impl Running {
    /// Starts a service and waits until all its listeners are up.
    pub fn start(name: &str, config: &str) -> Self {
        let running = Running::begin(name, config, &[]);
        let listeners = config.matches("[[listener]]").count();
        wait_for("the listeners", || running.addresses().len() == listeners);
        running
    }

    /// Starts a service, with more arguments, and waits for nothing.
    pub fn begin(name: &str, config: &str, more: &[&str]) -> Self {
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
            .args(more)
            .stderr(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()
            .unwrap();
        let log: Arc<Mutex<Vec<serde_json::Value>>> = Arc::default();
        let (lines, to) = (
            BufReader::new(child.stderr.take().unwrap()).lines(),
            log.clone(),
        );
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let value = serde_json::from_str(&line).unwrap_or(serde_json::Value::String(line));
                to.lock().unwrap().push(value);
            }
        });
        Running { child, file, log }
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
        let one = |l: serde_json::Value| {
            Some((
                l["listener"].as_str()?.to_owned(),
                l["address"].as_str()?.parse().ok()?,
            ))
        };
        self.logged("listens").into_iter().filter_map(one).collect()
    }

    /// Gives it another configuration and waits for a word on it.
    pub fn change(&self, config: &str, word: &str) {
        let before = self.logged(word).len();
        std::fs::write(&self.file, config).unwrap();
        self.signal("HUP");
        wait_for(word, || self.logged(word).len() > before);
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

    pub fn wait(&mut self) -> ExitStatus {
        let mut status = None;
        wait_for("the service's end", || {
            status = self.child.try_wait().unwrap();
            status.is_some()
        });
        status.unwrap()
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.file);
        if thread::panicking() {
            eprintln!("the service's log: {:#?}", self.log.lock().unwrap());
        }
    }
}

/// One connection to a service.
pub struct Client(pub BufReader<TcpStream>);

impl Client {
    pub fn new(address: SocketAddr) -> Self {
        let stream = TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(LIMIT)).unwrap();
        Client(BufReader::new(stream))
    }

    pub fn send(&mut self, method: &str, path: &str, host: &str, more: &str) {
        let text = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n{more}\r\n");
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    pub fn answer(&mut self) -> Message {
        read_message(&mut self.0).expect("an answer")
    }

    pub fn get(&mut self, host: &str, more: &str) -> Message {
        self.send("GET", "/lookup/1", host, more);
        self.answer()
    }
}

pub fn says(text: &'static str) -> Backend {
    Backend::new(BackendAction::Write(ok(text)))
}
