//! Runs several instances of the hosted service as processes of one cluster, connected through links that can inject faults.

use std::collections::BTreeMap;
use std::io::{self, BufRead as _, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::{Pid, Signal, kill_process};
use serde_json::Value;

use super::HttpConnection;
use crate::net::{Link, Mode};

/// Time limit of every wait.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between two checks of a condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Addresses and last lines from the log of an instance's process.
#[derive(Clone, Debug, Default)]
struct LogState {
    admin: Option<SocketAddr>,
    links: Option<SocketAddr>,
    public: Option<SocketAddr>,
    last_lines: Vec<String>,
}

/// An instance of the service.
struct Instance {
    name: String,
    config: PathBuf,
    state: PathBuf,
    child: Option<Child>,
    log_state: Arc<Mutex<LogState>>,
}

/// Configuration that all instances share.
#[derive(Clone, Debug)]
pub struct FleetSettings {
    /// Lines of `[cluster]` other than names and addresses.
    pub cluster: String,
    /// Configuration tables of the tenants.
    pub tenants: String,
    /// Number of zones.
    pub zones: usize,
}

/// Instances with a link for each ordered pair.
pub struct Fleet {
    command: Vec<String>,
    instances: Vec<Instance>,
    links: BTreeMap<(usize, usize), Link>,
    /// The first operator's token, kept because the directory of the founding instance can be deleted.
    token: OnceLock<String>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.instances.len()).for_each(|i| self.kill(i));
    }
}

impl Fleet {
    /// Prepares `count` instances, each with its own directory below `dir`; starts none.
    ///
    /// # Errors
    /// A file or a socket operation fails.
    pub fn new(
        command: &[String],
        count: usize,
        settings: &FleetSettings,
        dir: &Path,
    ) -> io::Result<Self> {
        match std::fs::remove_dir_all(dir) {
            Err(e) if e.kind() != io::ErrorKind::NotFound => return Err(e),
            _ => std::fs::create_dir_all(dir)?,
        }
        let key = dir.join("cluster.key");
        std::fs::write(&key, "the lab's own key, on loopback alone\n")?;
        let name = |i: usize| format!("i{i:02}");
        let mut links = BTreeMap::new();
        for (from, to) in (0..count)
            .flat_map(|a| (0..count).map(move |b| (a, b)))
            .filter(|(a, b)| a != b)
        {
            links.insert((from, to), Link::new()?);
        }
        let mut instances = Vec::new();
        for i in 0..count {
            let directory = dir.join(name(i));
            std::fs::create_dir_all(&directory)?;
            let peers = links.iter().filter(|((from, _), _)| *from == i);
            let peers: Vec<String> = peers
                .map(|((_, to), l)| format!("{} = \"{}\"", name(*to), l.address))
                .collect();
            let text = format!(
                "[state]\ndirectory = {:?}\n[admin]\naddress = \"127.0.0.1:0\"\n[cluster]\nname = \"lab\"\ninstance = \
                 \"{}\"\naddress = \"127.0.0.1:0\"\nzone = \"z{}\"\nkey-file = {:?}\npeers = {{ {} }}\n{}\n\
                 [[listener]]\nname = \"public\"\naddress = \"127.0.0.1:0\"\ntenant-by = \"header\"\n{}",
                directory.join("state").display().to_string(),
                name(i),
                i % settings.zones.max(1),
                key.display().to_string(),
                peers.join(", "),
                // Decision stamps are on unless the settings configure them.
                if settings.cluster.contains("stamps") {
                    settings.cluster.clone()
                } else {
                    format!("{}\nstamps = true", settings.cluster)
                },
                settings.tenants,
            );
            let config = directory.join("serve.toml");
            std::fs::write(&config, text)?;
            let state = directory.join("state");
            instances.push(Instance {
                name: name(i),
                config,
                state,
                child: None,
                log_state: Arc::default(),
            });
        }
        Ok(Fleet {
            command: command.to_vec(),
            instances,
            links,
            token: OnceLock::new(),
        })
    }

    /// Returns the number of instances.
    pub fn count(&self) -> usize {
        self.instances.len()
    }

    /// Returns the name of an instance.
    pub fn name(&self, i: usize) -> &str {
        &self.instances[i].name
    }

    /// Returns the process id of an instance.
    pub fn process_id(&self, i: usize) -> Option<u32> {
        self.instances[i].child.as_ref().map(Child::id)
    }

    /// Returns the state directory of an instance.
    pub fn state(&self, i: usize) -> &Path {
        &self.instances[i].state
    }

    /// Returns the configuration file of an instance.
    pub fn config(&self, i: usize) -> &Path {
        &self.instances[i].config
    }

    /// Starts an instance's process and points the links to its address.
    ///
    /// # Errors
    /// The process does not start in time.
    pub fn start(&mut self, i: usize) -> io::Result<()> {
        let (program, arguments) = self
            .command
            .split_first()
            .ok_or_else(|| io::Error::other("the service command is empty"))?;
        let instance = &mut self.instances[i];
        let mut child = Command::new(program)
            .args(arguments)
            .args(["--log-format", "json", "--log", "info", "serve", "--config"])
            .arg(&instance.config)
            .env(
                "CANVASCART_FAILPOINTS",
                instance.config.with_file_name("failpoints"),
            )
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()?;
        let stderr = child
            .stderr
            .take()
            .ok_or_else(|| io::Error::other("the process has no log output"))?;
        instance.child = Some(child);
        let log_state: Arc<Mutex<LogState>> = Arc::default();
        instance.log_state = log_state.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let value: Value = serde_json::from_str(&line).unwrap_or_default();
                let address = value["address"].as_str().and_then(|a| a.parse().ok());
                let mut log_state = log_state.lock().unwrap_or_else(PoisonError::into_inner);
                match (value["message"].as_str(), address) {
                    (Some("listens"), Some(_)) => log_state.public = address,
                    (Some("the administration API listens"), Some(_)) => log_state.admin = address,
                    (Some("listening for members"), Some(_)) => log_state.links = address,
                    _ => {}
                }
                log_state.last_lines.push(line);
                if log_state.last_lines.len() > 40 {
                    log_state.last_lines.remove(0);
                }
            }
        });
        self.wait("the instance's start", |f| {
            f.log_state(i).links.is_some() && f.log_state(i).admin.is_some()
        })?;
        let address = self.log_state(i).links;
        for ((_, to), link) in &self.links {
            if let (true, Some(address)) = (*to == i, address) {
                link.set_target(address);
            }
        }
        Ok(())
    }

    fn log_state(&self, i: usize) -> LogState {
        self.instances[i]
            .log_state
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns the last lines of an instance's log.
    pub fn log(&self, i: usize) -> String {
        self.log_state(i).last_lines.join("\n")
    }

    /// Waits until a condition holds; `condition` names it in the error.
    ///
    /// # Errors
    /// The condition does not hold in time.
    pub fn wait(&self, condition: &str, holds: impl Fn(&Self) -> bool) -> io::Result<()> {
        let end = Instant::now() + WAIT_TIMEOUT;
        while !holds(self) {
            if Instant::now() > end {
                return Err(io::Error::other(format!(
                    "timed out waiting for {condition}"
                )));
            }
            thread::sleep(POLL_INTERVAL);
        }
        Ok(())
    }

    fn signal(&self, i: usize, signal: Signal) {
        let id = self.instances[i]
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal); // the process may have exited
        }
    }

    /// Kills an instance's process (SIGKILL).
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.instances[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.instances[i].log_state = Arc::default();
    }

    /// Stops an instance's process (SIGSTOP) or continues it (SIGCONT).
    pub fn pause(&self, i: usize, paused: bool) {
        self.signal(i, if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Sets the failpoints of a running instance, one `NAME=ACTIONS` per line, and waits until they are active.
    ///
    /// # Errors
    /// The instance's program has no failpoints, because it is not a test build.
    pub fn set_failpoints(&self, i: usize, points: &str) -> io::Result<()> {
        let file = self.instances[i].config.with_file_name("failpoints");
        let temporary_file = file.with_extension("new");
        std::fs::write(&temporary_file, points)?;
        std::fs::rename(temporary_file, &file)?;
        let applied_file = file.with_extension("taken");
        self.wait("the failpoints", |_| {
            std::fs::read_to_string(&applied_file).is_ok_and(|t| t == points)
        })
    }

    /// Returns true if an instance's process was started and not killed.
    pub fn is_running(&self, i: usize) -> bool {
        self.instances[i].child.is_some()
    }

    /// Sets the mode of the link from one instance to another.
    pub fn link(&self, from: usize, to: usize, mode: Mode) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.set_mode(mode);
        }
    }

    /// Sets the delay of the link from one instance to another.
    pub fn delay(&self, from: usize, to: usize, delay: Duration) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.set_delay(delay);
        }
    }

    /// Sets the mode of all links from and to an instance.
    pub fn isolate(&self, i: usize, mode: Mode) {
        let affected = self
            .links
            .iter()
            .filter(|((from, to), _)| *from == i || *to == i);
        affected.for_each(|(_, link)| link.set_mode(mode));
    }

    /// Returns the address at which an instance accepts requests, if it does.
    pub fn public(&self, i: usize) -> Option<SocketAddr> {
        self.log_state(i).public
    }

    /// Returns the address of an instance's administration API.
    pub fn admin(&self, i: usize) -> Option<SocketAddr> {
        self.log_state(i).admin
    }

    /// Returns the first operator's token, which the founding instance stores.
    ///
    /// # Errors
    /// No instance has a token yet.
    pub fn token(&self) -> io::Result<String> {
        if let Some(token) = self.token.get() {
            return Ok(token.clone());
        }
        let tokens = self
            .instances
            .iter()
            .map(|i| std::fs::read_to_string(i.state.join("operator.token")));
        let token = tokens
            .into_iter()
            .find(Result::is_ok)
            .unwrap_or_else(|| Err(io::ErrorKind::NotFound.into()))?;
        Ok(self.token.get_or_init(|| token).clone())
    }

    /// Opens a connection to an instance's administration API.
    ///
    /// # Errors
    /// The instance is not running, or there is no token.
    pub fn admin_connection(&self, i: usize) -> io::Result<HttpConnection> {
        let address = self
            .admin(i)
            .ok_or_else(|| io::Error::other("the instance is not running"))?;
        Ok(HttpConnection::admin(address, &self.token()?))
    }

    /// Returns true if an instance reports that it accepts requests.
    pub fn is_up(&self, i: usize) -> bool {
        let accepts = |address| {
            HttpConnection::new(address, "")
                .call("GET", "/up", "", "")
                .is_ok_and(|(status, _)| status == 200)
        };
        self.public(i).is_some_and(accepts)
    }

    /// Waits until all running instances accept requests.
    ///
    /// # Errors
    /// An instance does not accept requests in time.
    pub fn ready(&self) -> io::Result<()> {
        self.wait("all instances to accept requests", |f| {
            (0..f.count()).all(|i| !f.is_running(i) || f.is_up(i))
        })
    }

    /// Returns the cluster status that an instance reports.
    ///
    /// # Errors
    /// The instance does not respond.
    pub fn status(&self, i: usize) -> io::Result<Value> {
        self.admin_connection(i)?
            .json("GET", "/v1/cluster", "", &Value::Null)
    }

    /// Returns the leader that the first responding instance reports.
    pub fn leader(&self) -> Option<usize> {
        let leader = (0..self.count())
            .filter(|i| self.is_running(*i))
            .find_map(|i| {
                let status = self.status(i).ok()?;
                status["leader"]["name"].as_str().map(str::to_owned)
            })?;
        self.instances.iter().position(|i| i.name == leader)
    }
}
