//! Proxy processes: starting, monitoring, killing and stopping them.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::{SocketAddr, TcpListener as StdListener};
use std::os::fd::AsRawFd;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use std::time::Duration;

use rand::Rng;
use rustix::process::{Pid, Signal, kill_process};
use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use tokio::net::TcpStream;
use tokio::process::{Child, Command};
use tokio::time::{Instant, sleep, timeout};

use super::http::{Connection, StartLine};
use super::list_agent::Agent;
use super::operator_actions;
use super::reserved_port::ReservedPort;
use super::run_state::RunState;
use crate::ledger::{ProcessExit, ProxyId, Usage};
use crate::random::{Purpose, stream};
use crate::scenario::{Effect, FaultKind, Scenario};

/// Maximum time for a proxy to come up.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Backlog of an inherited listener.
const BACKLOG: i32 = 1024;
/// Interval between checks of a process.
const CHECK_INTERVAL: Duration = Duration::from_millis(200);
/// Interval at which the front load balancer checks whether a proxy accepts clients, in ms; new connections may arrive
/// for this long after a drain begins.
const FRONT_CHECK_INTERVAL_MS: f64 = 200.0;
/// Time after the longest deadline at which the old process of an upgrade is killed, in ms.
const UPGRADE_EXIT_GRACE_MS: f64 = 700.0;

/// One proxy, across restarts and upgrades of its process.
pub struct Proxy {
    run: Rc<RunState>,
    number: ProxyId,
    command: Vec<String>,
    /// Client address; it does not change with a restart.
    pub address: SocketAddr,
    /// Reserves the port from before the first start until after the last.
    _port: ReservedPort,
    /// Client listener inherited by the processes, if the scenario has upgrades.
    inherited_listener: Option<StdListener>,
    /// Ports of the operations listeners of its processes, the current one last, if the scenario has operator actions.
    operations_ports: RefCell<Vec<ReservedPort>>,
    discovery: SocketAddr,
    agent: Rc<Agent>,
    config_file: PathBuf,
    log_file: PathBuf,
    seed: u64,
    starts: Cell<u64>,
    process: RefCell<Option<Child>>,
    /// Whether the process was killed or told to exit.
    expected: Cell<bool>,
    /// Time until which the front load balancer still sends to the proxy although it is down.
    pub front_stops_at: Cell<Option<f64>>,
    /// CPU time of all its processes so far, in seconds.
    cpu: Cell<f64>,
    cpu_of_earlier_processes: Cell<f64>,
}

/// Returns the settings object in the format of the platform's protocol.
pub fn settings_json(s: &Scenario, proxy: ProxyId) -> Value {
    let of = crate::settings::for_proxy(s, proxy);
    let class = |c: &crate::scenario::Class| {
        json!({
            "name": c.name,
            "promise": c.aim.0,
            "deadline": c.deadline.0,
            "worth": c.worth,
            "lateShare": c.late_worth.0,
            "effect": if c.effect == Effect::Safe { "idempotent" } else { "at_most_once" },
        })
    };
    let tenants = s.tenants.iter().zip(&of.tenants);
    json!({
        "classes": s.classes.iter().map(class).collect::<Vec<_>>(),
        "accounts": tenants
            .map(|(t, a)| json!({ "name": t.name, "share": t.share.0, "allowancePerS": a.quota_per_second }))
            .collect::<Vec<_>>(),
        "zones": s.fleet.zones,
        "flavors": s.fleet.kinds.iter().map(|k| k.name.as_str()).collect::<Vec<_>>(),
        "zone": s.fleet.zones[proxy % s.fleet.zones.len()],
        "myNumber": proxy,
        "nInstances": s.proxies.count,
        "overShareWorth": of.over_quota_weight_fraction,
        "worthBy": "request",
        "discovery": "pushed",
        "weightSource": "nominal",
        "extra": { "warmKeys": of.key_affinity },
        "ceilings": {
            "retryAfter": of.max_retry_after.is_some(),
            "maxRetryAfter": s.proxies.retry_after.0,
            "dialTimeout": 250.0,
            "idleClose": s.fleet.idle.0,
            "mayTell": false,
            "maxAttempts": s.rules.max_attempts,
        },
        "rules": {
            "startCapacity": of.limits.initial_capacity_fraction,
            "cold": of.limits.warm_up,
            "fallMultiple": of.limits.overload_multiple,
            "fall": of.limits.overload_window,
            "drainGrace": s.rules.drain_grace.0,
            "answerSlack": s.rules.answer_slack.0,
        },
        "prices": { "crossZone": of.costs.cross_zone },
    })
}

impl Proxy {
    /// Creates a proxy that is not started yet; its files are written to `dir`.
    ///
    /// # Errors
    /// Fails if no port is available.
    pub fn new(
        run: Rc<RunState>,
        number: ProxyId,
        command: Vec<String>,
        discovery: SocketAddr,
        agent: Rc<Agent>,
        seed: u64,
        dir: &Path,
    ) -> io::Result<Rc<Self>> {
        let port = ReservedPort::reserve()?;
        let upgrades = operator_actions::has(&run.scenario, &[FaultKind::Upgrade]);
        let inherited_listener = if upgrades {
            Some(listen(port.address())?)
        } else {
            None
        };
        Ok(Rc::new(Proxy {
            address: port.address(),
            _port: port,
            inherited_listener,
            operations_ports: RefCell::default(),
            config_file: dir.join(format!("proxy-{number}.json")),
            log_file: dir.join(format!("proxy-{number}.log")),
            run,
            number,
            command,
            discovery,
            agent,
            seed,
            starts: Cell::new(0),
            process: RefCell::new(None),
            expected: Cell::new(false),
            front_stops_at: Cell::new(None),
            cpu: Cell::new(0.0),
            cpu_of_earlier_processes: Cell::new(0.0),
        }))
    }

    /// Starts a process and waits until it is up.
    ///
    /// # Errors
    /// Fails if the process can't be started, exits during start, or does not come up in time.
    pub async fn start(&self) -> io::Result<()> {
        let child = self.spawn()?;
        *self.process.borrow_mut() = Some(child);
        self.expected.set(false);
        self.cpu_of_earlier_processes.set(self.cpu.get());
        let end = Instant::now() + START_TIMEOUT;
        while !self.is_up().await {
            if let Some(status) = self.exit_status() {
                let why = format!(
                    "proxy {} ended at its start ({status}): see {}",
                    self.number,
                    self.log_file.display()
                );
                return Err(io::Error::other(why));
            }
            if Instant::now() >= end {
                return Err(io::Error::other(format!(
                    "proxy {} did not come up",
                    self.number
                )));
            }
            sleep(Duration::from_millis(5)).await;
        }
        self.front_stops_at.set(None);
        tracing::info!(proxy = self.number, address = %self.address, starts = self.starts.get(), "proxy is up");
        Ok(())
    }

    /// Starts a second process beside the running one; once it is ready, the old one is told to exit.
    ///
    /// # Errors
    /// Fails if the new process can't be started or does not come up.
    pub async fn upgrade(&self) -> io::Result<()> {
        let mut next = self.spawn()?;
        let end = Instant::now() + START_TIMEOUT;
        while !self.call_operations("GET /_ready").await {
            let ended = next.try_wait()?.is_some();
            if ended || Instant::now() >= end {
                return Err(io::Error::other(format!(
                    "proxy {}: the upgraded process did not come up",
                    self.number
                )));
            }
            sleep(Duration::from_millis(5)).await;
        }
        let old = self.process.borrow_mut().replace(next);
        self.cpu_of_earlier_processes.set(self.cpu.get());
        let Some(mut old) = old else { return Ok(()) };
        if let Some(pid) = old
            .id()
            .and_then(|id| Pid::from_raw(i32::try_from(id).ok()?))
        {
            let _ = kill_process(pid, Signal::TERM); // the process may have exited already
        }
        tracing::info!(
            at_ms = self.run.now(),
            proxy = self.number,
            "proxy has been upgraded"
        );
        let longest = self
            .run
            .scenario
            .classes
            .iter()
            .map(|c| c.deadline.0)
            .fold(0.0, f64::max);
        let exit_timeout = Duration::from_secs_f64((longest + UPGRADE_EXIT_GRACE_MS) / 1000.0);
        if timeout(exit_timeout, old.wait()).await.is_err() {
            let _ = old.kill().await;
        }
        Ok(())
    }

    /// Starts or ends the drain of its clients.
    ///
    /// # Errors
    /// Fails if the operations listener rejects the request or does not respond.
    pub async fn drain(&self, on: bool) -> io::Result<()> {
        let call = if on {
            "PUT /_lameduck/on"
        } else {
            "PUT /_lameduck/off"
        };
        if !self.call_operations(call).await {
            return Err(io::Error::other(format!(
                "proxy {}: {call} was not accepted",
                self.number
            )));
        }
        self.front_stops_at
            .set(on.then(|| self.run.now() + FRONT_CHECK_INTERVAL_MS));
        Ok(())
    }

    /// Writes changed settings (one more class and fewer attempts) or the original ones, and has the process reload
    /// them.
    ///
    /// # Errors
    /// Fails if the file can't be written or the process can't be signalled.
    pub fn reconfigure(&self, other: bool) -> io::Result<()> {
        let mut config = self.config();
        if other {
            let settings = &mut config["settings"];
            settings["ceilings"]["maxAttempts"] = 2.into();
            if let Some(classes) = settings["classes"].as_array_mut() {
                let mut more = classes[0].clone();
                more["name"] = "more".into();
                classes.push(more);
            }
        }
        std::fs::write(&self.config_file, config.to_string())?;
        let child = self.process.borrow();
        let pid = child
            .as_ref()
            .and_then(Child::id)
            .and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        pid.map_or(Ok(()), |pid| Ok(kill_process(pid, Signal::HUP)?))
    }

    /// Returns whether a request to the current operations listener succeeds.
    async fn call_operations(&self, call: &str) -> bool {
        let Some(operations_address) = self
            .operations_ports
            .borrow()
            .last()
            .map(ReservedPort::address)
        else {
            return false;
        };
        let response_ok = async {
            let mut connection =
                Connection::new(TcpStream::connect(operations_address).await.ok()?);
            connection
                .write(format!("{call} HTTP/1.1\r\nHost: lab\r\n\r\n").as_bytes())
                .await
                .ok()?;
            connection
                .read(false)
                .await
                .ok()
                .map(|m| matches!(m.start, StartLine::Response(200..=299)))
        };
        timeout(Duration::from_secs(1), response_ok)
            .await
            .ok()
            .flatten()
            .unwrap_or(false)
    }

    /// Returns the configuration of a new process.
    fn config(&self) -> Value {
        let mut seeds = stream(self.seed, Purpose::Modules);
        seeds.set_word_pos(self.number as u128 * 4096 + u128::from(self.starts.get()) * 2);
        let mut config = json!({
            "name": format!("proxy-{}", self.number),
            "listen": self.address,
            "discovery": self.discovery,
            "seed": format!("{:016x}", seeds.random::<u64>()),
            "limits": {
                "cores": 1.0,
                "memory_mb": self.run.scenario.proxies.memory_mb,
                "sockets": self.run.scenario.proxies.sockets,
            },
            "known": self.agent.cached_list(),
            "settings": settings_json(&self.run.scenario, self.number),
        });
        if let Some(operations_address) = self.operations_ports.borrow().last() {
            config["ops"] = json!(operations_address.address());
        }
        config
    }

    fn spawn(&self) -> io::Result<Child> {
        self.starts.set(self.starts.get() + 1);
        if operator_actions::has(
            &self.run.scenario,
            &[FaultKind::Upgrade, FaultKind::Drain, FaultKind::Retune],
        ) {
            self.operations_ports
                .borrow_mut()
                .push(ReservedPort::reserve()?);
        }
        let config = self.config();
        std::fs::write(&self.config_file, config.to_string())?;
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(&self.log_file)?;
        let (program, arguments) = self
            .command
            .split_first()
            .ok_or_else(|| io::Error::other("the command to start a proxy is empty"))?;
        let mut command = Command::new(program);
        if let Some(listener) = &self.inherited_listener {
            command.env("NODE_SOCKET_FD", listener.as_raw_fd().to_string());
        }
        command
            .args(arguments)
            .env("NODE_CONFIG", &self.config_file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .kill_on_drop(true)
            .spawn()
            .map_err(|e| io::Error::new(e.kind(), format!("{program}: {e}")))
    }

    async fn is_up(&self) -> bool {
        let response_ok = async {
            let mut connection = Connection::new(TcpStream::connect(self.address).await.ok()?);
            connection
                .write(b"GET /up HTTP/1.1\r\nHost: lab\r\nConnection: close\r\n\r\n")
                .await
                .ok()?;
            connection
                .read(false)
                .await
                .ok()
                .map(|m| m.start == StartLine::Response(200))
        };
        timeout(Duration::from_secs(1), response_ok)
            .await
            .ok()
            .flatten()
            .unwrap_or(false)
    }

    /// Returns the exit status of the process if it has exited.
    fn exit_status(&self) -> Option<String> {
        let mut child = self.process.borrow_mut();
        let status = child.as_mut()?.try_wait().ok().flatten()?;
        *child = None;
        Some(status.to_string())
    }

    fn signal(&self, signal: Signal) {
        let child = self.process.borrow();
        let pid = child
            .as_ref()
            .and_then(Child::id)
            .and_then(|id| Pid::from_raw(i32::try_from(id).ok()?));
        if let Some(pid) = pid {
            self.expected.set(true);
            let _ = kill_process(pid, signal); // the process may have exited already
        }
    }

    /// Kills the process; the front load balancer detects it after a delay.
    pub async fn kill(&self) {
        self.signal(Signal::KILL);
        let child = self.process.borrow_mut().take();
        if let Some(mut child) = child {
            let _ = child.wait().await;
        }
        let now = self.run.now();
        self.run
            .ledger
            .borrow_mut()
            .process_exits
            .push(ProcessExit {
                proxy: self.number,
                at: now,
                expected: true,
            });
        self.front_stops_at
            .set(Some(now + self.run.scenario.proxies.notice.0));
        tracing::info!(at_ms = now, proxy = self.number, "proxy was killed");
    }

    /// Tells the process to exit; the front load balancer stops sending to it at once.
    pub fn terminate(&self) {
        let now = self.run.now();
        self.front_stops_at.set(Some(now));
        tracing::info!(at_ms = now, proxy = self.number, "proxy is told to end");
        self.signal(Signal::TERM);
    }

    /// Checks the process periodically: its resource usage, and whether it has exited.
    pub async fn watch(self: Rc<Self>) {
        loop {
            sleep(CHECK_INTERVAL).await;
            self.check_process();
        }
    }

    fn check_process(&self) {
        let pid = self.process.borrow().as_ref().and_then(Child::id);
        if let Some(pid) = pid {
            let at = self.run.now();
            let memory_mb = resident_mb(pid).unwrap_or(0.0);
            let descriptors =
                std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, Iterator::count);
            if let Some(seconds) = cpu_seconds(pid) {
                self.cpu.set(self.cpu_of_earlier_processes.get() + seconds);
            }
            let mut ledger = self.run.ledger.borrow_mut();
            let proxy = self.number;
            match ledger.usage.iter_mut().find(|u| u.proxy == proxy) {
                Some(u) => {
                    u.memory_mb = u.memory_mb.max(memory_mb);
                    u.descriptors = u.descriptors.max(descriptors);
                    u.at = at;
                }
                None => ledger.usage.push(Usage {
                    proxy,
                    at,
                    memory_mb,
                    descriptors,
                }),
            }
        }
        if let Some(status) = self.exit_status() {
            if !self.expected.get() {
                let (at_ms, log) = (self.run.now(), self.log_file.display());
                tracing::warn!(at_ms, proxy = self.number, status, %log, "proxy ended by itself");
            }
            let (proxy, at, expected) = (self.number, self.run.now(), self.expected.get());
            self.run
                .ledger
                .borrow_mut()
                .process_exits
                .push(ProcessExit {
                    proxy,
                    at,
                    expected,
                });
            self.front_stops_at.set(
                self.front_stops_at
                    .get()
                    .or(Some(at + self.run.scenario.proxies.notice.0)),
            );
        }
    }

    /// Returns the CPU time of all its processes so far, in seconds.
    pub fn cpu_seconds(&self) -> f64 {
        self.check_process();
        self.cpu.get()
    }

    /// Stops the process and waits for its exit; kills it after a timeout.
    pub async fn stop(&self) {
        self.signal(Signal::TERM);
        let child = self.process.borrow_mut().take();
        if let Some(mut child) = child
            && timeout(Duration::from_secs(5), child.wait()).await.is_err()
        {
            let _ = child.kill().await;
        }
    }
}

/// Creates a listener that child processes inherit.
fn listen(address: SocketAddr) -> io::Result<StdListener> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(BACKLOG)?;
    socket.set_cloexec(false)?;
    Ok(socket.into())
}

/// Returns the resident memory of a process in MiB, from `/proc`.
pub fn resident_mb(pid: u32) -> Option<f64> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"))?;
    line.split_whitespace()
        .next()?
        .parse::<f64>()
        .ok()
        .map(|kb| kb / 1024.0)
}

/// Returns user and system time of a process in seconds; the kernel reports them in hundredths of a second.
pub fn cpu_seconds(pid: u32) -> Option<f64> {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    let rest = stat.rsplit_once(") ")?.1;
    let mut fields = rest.split(' ').skip(11);
    let (user, system): (f64, f64) = (fields.next()?.parse().ok()?, fields.next()?.parse().ok()?);
    Some((user + system) / 100.0)
}
