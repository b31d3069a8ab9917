//! Many instances of the hosted service as processes that act as one, joined through links of the lab's own.

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

use super::Line;
use crate::net::{Link, Mode};

/// How long anything is waited for.
const PATIENCE: Duration = Duration::from_secs(60);
/// From one look to the next.
const LOOK: Duration = Duration::from_millis(10);

/// What an instance's process has said of where it is.
#[derive(Clone, Debug, Default)]
struct Said {
    admin: Option<SocketAddr>,
    links: Option<SocketAddr>,
    public: Option<SocketAddr>,
    last: Vec<String>,
}

/// One instance.
struct Instance {
    name: String,
    config: PathBuf,
    state: PathBuf,
    child: Option<Child>,
    said: Arc<Mutex<Said>>,
}

/// What all instances are told.
#[derive(Clone, Debug)]
pub struct Terms {
    /// Lines of `[cluster]` beside names and addresses.
    pub cluster: String,
    /// Tables of tenants.
    pub tenants: String,
    /// How many zones.
    pub zones: usize,
}

/// The instances, and the links from each to each.
pub struct Fleet {
    command: Vec<String>,
    instances: Vec<Instance>,
    links: BTreeMap<(usize, usize), Link>,
    /// The first operator's token, which outlasts its founder's directory.
    token: OnceLock<String>,
}

impl Drop for Fleet {
    fn drop(&mut self) {
        (0..self.instances.len()).for_each(|i| self.kill(i));
    }
}

impl Fleet {
    /// So many instances, each with a directory of its own below `dir`; none runs yet.
    ///
    /// # Errors
    /// What the system says.
    pub fn new(command: &[String], count: usize, terms: &Terms, dir: &Path) -> io::Result<Self> {
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
            let own = dir.join(name(i));
            std::fs::create_dir_all(&own)?;
            let peers = links.iter().filter(|((from, _), _)| *from == i);
            let peers: Vec<String> = peers
                .map(|((_, to), l)| format!("{} = \"{}\"", name(*to), l.address))
                .collect();
            let text = format!(
                "[state]\ndirectory = {:?}\n[admin]\naddress = \"127.0.0.1:0\"\n[cluster]\nname = \"lab\"\ninstance = \
                 \"{}\"\naddress = \"127.0.0.1:0\"\nzone = \"z{}\"\nkey-file = {:?}\npeers = {{ {} }}\n{}\n\
                 [[listener]]\nname = \"public\"\naddress = \"127.0.0.1:0\"\ntenant-by = \"header\"\n{}",
                own.join("state").display().to_string(),
                name(i),
                i % terms.zones.max(1),
                key.display().to_string(),
                peers.join(", "),
                // Stamps, unless the terms say something of them.
                if terms.cluster.contains("stamps") {
                    terms.cluster.clone()
                } else {
                    format!("{}\nstamps = true", terms.cluster)
                },
                terms.tenants,
            );
            let config = own.join("serve.toml");
            std::fs::write(&config, text)?;
            let state = own.join("state");
            instances.push(Instance {
                name: name(i),
                config,
                state,
                child: None,
                said: Arc::default(),
            });
        }
        Ok(Fleet {
            command: command.to_vec(),
            instances,
            links,
            token: OnceLock::new(),
        })
    }

    /// How many instances there are.
    pub fn count(&self) -> usize {
        self.instances.len()
    }

    /// An instance's name.
    pub fn name(&self, i: usize) -> &str {
        &self.instances[i].name
    }

    /// The number of an instance's process.
    pub fn id(&self, i: usize) -> Option<u32> {
        self.instances[i].child.as_ref().map(Child::id)
    }

    /// The directory of an instance's state.
    pub fn state(&self, i: usize) -> &Path {
        &self.instances[i].state
    }

    /// An instance's configuration.
    pub fn config(&self, i: usize) -> &Path {
        &self.instances[i].config
    }

    /// Starts an instance's process, and leads its links to it.
    ///
    /// # Errors
    /// It does not come up; what it said last.
    pub fn start(&mut self, i: usize) -> io::Result<()> {
        let (program, arguments) = self
            .command
            .split_first()
            .ok_or_else(|| io::Error::other("no service is named"))?;
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
            .ok_or_else(|| io::Error::other("it has no log"))?;
        instance.child = Some(child);
        let said: Arc<Mutex<Said>> = Arc::default();
        instance.said = said.clone();
        thread::spawn(move || {
            for line in BufReader::new(stderr).lines().map_while(Result::ok) {
                let value: Value = serde_json::from_str(&line).unwrap_or_default();
                let address = value["address"].as_str().and_then(|a| a.parse().ok());
                let mut said = said.lock().unwrap_or_else(PoisonError::into_inner);
                match (value["message"].as_str(), address) {
                    (Some("listens"), Some(_)) => said.public = address,
                    (Some("the administration API listens"), Some(_)) => said.admin = address,
                    (Some("listening for members"), Some(_)) => said.links = address,
                    _ => {}
                }
                said.last.push(line);
                if said.last.len() > 40 {
                    said.last.remove(0);
                }
            }
        });
        self.wait("the instance's start", |f| {
            f.said(i).links.is_some() && f.said(i).admin.is_some()
        })?;
        let at = self.said(i).links;
        for ((_, to), link) in &self.links {
            if let (true, Some(at)) = (*to == i, at) {
                link.set_target(at);
            }
        }
        Ok(())
    }

    fn said(&self, i: usize) -> Said {
        self.instances[i]
            .said
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// What an instance's log says last.
    pub fn log(&self, i: usize) -> String {
        self.said(i).last.join("\n")
    }

    /// Waits until something holds.
    ///
    /// # Errors
    /// It does not in time.
    pub fn wait(&self, what: &str, holds: impl Fn(&Self) -> bool) -> io::Result<()> {
        let end = Instant::now() + PATIENCE;
        while !holds(self) {
            if Instant::now() > end {
                return Err(io::Error::other(format!("{what}: not in time")));
            }
            thread::sleep(LOOK);
        }
        Ok(())
    }

    fn signal(&self, i: usize, signal: Signal) {
        let id = self.instances[i]
            .child
            .as_ref()
            .and_then(|c| Pid::from_raw(c.id() as i32));
        if let Some(id) = id {
            let _ = kill_process(id, signal); // it may have ended
        }
    }

    /// Kills an instance's process (SIGKILL).
    pub fn kill(&mut self, i: usize) {
        if let Some(mut child) = self.instances[i].child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
        self.instances[i].said = Arc::default();
    }

    /// Stops an instance's process (SIGSTOP), or lets it go on.
    pub fn pause(&self, i: usize, paused: bool) {
        self.signal(i, if paused { Signal::STOP } else { Signal::CONT });
    }

    /// Sets what happens at failpoints of an instance that runs, `NAME=ACTIONS` a line, and waits until it does.
    ///
    /// # Errors
    /// The instance's program has none: it is no test build.
    pub fn fail(&self, i: usize, points: &str) -> io::Result<()> {
        let file = self.instances[i].config.with_file_name("failpoints");
        let aside = file.with_extension("new");
        std::fs::write(&aside, points)?;
        std::fs::rename(aside, &file)?;
        let taken = file.with_extension("taken");
        self.wait("the failpoints", |_| {
            std::fs::read_to_string(&taken).is_ok_and(|t| t == points)
        })
    }

    /// Whether an instance's process is there.
    pub fn runs(&self, i: usize) -> bool {
        self.instances[i].child.is_some()
    }

    /// What the link from one instance to another does.
    pub fn link(&self, from: usize, to: usize, mode: Mode) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.set_mode(mode);
        }
    }

    /// How long what passes from one to another takes.
    pub fn delay(&self, from: usize, to: usize, delay: Duration) {
        if let Some(link) = self.links.get(&(from, to)) {
            link.set_delay(delay);
        }
    }

    /// What all links from and to an instance do.
    pub fn isolate(&self, i: usize, mode: Mode) {
        let own = self
            .links
            .iter()
            .filter(|((from, to), _)| *from == i || *to == i);
        own.for_each(|(_, link)| link.set_mode(mode));
    }

    /// Where an instance takes requests, if it does.
    pub fn public(&self, i: usize) -> Option<SocketAddr> {
        self.said(i).public
    }

    /// Where an instance's administration API is.
    pub fn admin(&self, i: usize) -> Option<SocketAddr> {
        self.said(i).admin
    }

    /// The first operator's token, which its founder has.
    ///
    /// # Errors
    /// There is none yet.
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

    /// A connection to an instance's administration API.
    ///
    /// # Errors
    /// It has none.
    pub fn line(&self, i: usize) -> io::Result<Line> {
        let at = self
            .admin(i)
            .ok_or_else(|| io::Error::other("the instance does not run"))?;
        Ok(Line::admin(at, &self.token()?))
    }

    /// Whether an instance says that it takes requests.
    pub fn is_up(&self, i: usize) -> bool {
        let up = |at| {
            Line::new(at, "")
                .call("GET", "/up", "", "")
                .is_ok_and(|(status, _)| status == 200)
        };
        self.public(i).is_some_and(up)
    }

    /// Waits until all that run take requests.
    ///
    /// # Errors
    /// They do not in time.
    pub fn ready(&self) -> io::Result<()> {
        self.wait("all instances take requests", |f| {
            (0..f.count()).all(|i| !f.runs(i) || f.is_up(i))
        })
    }

    /// How the cluster looks from an instance.
    ///
    /// # Errors
    /// It does not say.
    pub fn status(&self, i: usize) -> io::Result<Value> {
        self.line(i)?.json("GET", "/v1/cluster", "", &Value::Null)
    }

    /// The instance that leads, as another says.
    pub fn leader(&self) -> Option<usize> {
        let said = (0..self.count()).filter(|i| self.runs(*i)).find_map(|i| {
            let status = self.status(i).ok()?;
            status["leader"]["name"].as_str().map(str::to_owned)
        })?;
        self.instances.iter().position(|i| i.name == said)
    }
}
