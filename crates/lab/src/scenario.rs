//! Scenarios: a fleet, its proxies, the load and the faults, as one TOML file.
//!
//! The file is deserialized into the types of this module. An unknown key, a missing unit or a value out of range is an error
//! that names file, line and key; all values out of range are reported together.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use serde::Deserialize;

use config_parser::KeyPositions;

use crate::units::{Bytes, Fraction, Milliseconds, Rate};
use crate::{Problem, ScenarioError};

/// Scenario of an experiment.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// Purpose in one line.
    pub title: String,
    /// Duration for which clients send new requests.
    pub length: Milliseconds,
    /// Servers.
    pub fleet: Fleet,
    /// Proxies.
    #[serde(default)]
    pub proxies: Proxies,
    /// Distribution of the server list to the proxies.
    #[serde(default)]
    pub list: ListSource,
    /// Network latency between clients, proxies and servers.
    #[serde(default)]
    pub network: Network,
    /// Request rate and keys.
    pub load: Load,
    /// Behaviour of clients.
    #[serde(default)]
    pub clients: Clients,
    /// Classes of requests.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Tenants that send requests.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// Faults to inject.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
    /// Limits of the rules that the oracle checks.
    #[serde(default)]
    pub rules: Rules,
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// Number of servers at the start.
    pub servers: usize,
    /// Zones, assigned to servers in turn, and to proxies in the same way.
    #[serde(default = "default_zones")]
    pub zones: Vec<String>,
    /// Machine types.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// Fraction of its capacity with which a server process starts.
    #[serde(default = "percent::<20>")]
    pub cold_from: Fraction,
    /// Warm-up time of a server process; its capacity rises linearly.
    #[serde(default = "seconds::<10>")]
    pub cold: Milliseconds,
    /// Requests per core above which a server slows down.
    #[serde(default = "default_crowded_from")]
    pub crowded_from: f64,
    /// Fraction of its capacity lost for each further request per core.
    #[serde(default = "percent::<5>")]
    pub crowding: Fraction,
    /// Work for a new connection on a standard core.
    #[serde(default = "ms::<1>")]
    pub handshake: Milliseconds,
    /// Maximum of connections to a server per core.
    #[serde(default = "default_connections_per_core")]
    pub connections_per_core: u32,
    /// Time after which an idle connection is closed.
    #[serde(default = "seconds::<10>")]
    pub idle: Milliseconds,
    /// Fraction of the work saved on a server that has recently served the same key.
    #[serde(default)]
    pub key_gain: Fraction,
    /// Recent keys that a server remembers per core.
    #[serde(default = "default_keys_per_core")]
    pub keys_per_core: usize,
    /// Time for which a server remembers a key.
    #[serde(default = "seconds::<8>")]
    pub key_span: Milliseconds,
    /// Work that a server saves when a client disconnects.
    #[serde(default)]
    pub cancels: Cancels,
}

/// Work that a server saves when an attempt is abandoned.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cancels {
    /// None: the server completes every request.
    Nothing,
    /// Queued requests are dropped, running requests are completed.
    #[default]
    Waiting,
    /// Queued and running requests are dropped.
    All,
}

/// A machine type.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Name.
    pub name: String,
    /// Fraction of the servers.
    #[serde(default = "percent::<100>")]
    pub share: Fraction,
    /// Cores per server.
    #[serde(default = "two")]
    pub cores: u32,
    /// Speed of a core relative to the standard core, which has speed 1.
    #[serde(default = "one")]
    pub speed: f64,
    /// Standard deviation of speeds relative to the mean.
    #[serde(default = "percent::<10>")]
    pub speed_spread: Fraction,
    /// Concurrent requests per core.
    #[serde(default = "one")]
    pub slots_per_core: f64,
    /// Queued requests per core; further requests are rejected without being processed.
    #[serde(default = "default_queue_per_core")]
    pub queue_per_core: f64,
}

/// The proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Proxies {
    /// Number of proxies.
    pub count: usize,
    /// Time for which the load balancer in front still sends requests to a proxy that has died.
    pub notice: Milliseconds,
    /// Memory limit of a proxy in MiB; real processes only.
    pub memory_mb: u64,
    /// File descriptor limit of a proxy; real processes only.
    pub sockets: usize,
    /// Maximum retry delay that a rejection asks for; zero if rejections name no delay.
    pub retry_after: Milliseconds,
}

impl Default for Proxies {
    fn default() -> Self {
        let (notice, retry_after) = (Milliseconds(2000.0), Milliseconds(1200.0));
        Proxies {
            count: 3,
            notice,
            memory_mb: 128,
            sockets: 1024,
            retry_after,
        }
    }
}

/// Distribution of the server list to the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct ListSource {
    /// Minimum delay from a change to its notification at a proxy.
    pub delay: Milliseconds,
    /// Maximum additional delay, drawn at random for each proxy and change; the order of changes is kept.
    pub spread: Milliseconds,
}

impl Default for ListSource {
    fn default() -> Self {
        ListSource {
            delay: Milliseconds(700.0),
            spread: Milliseconds(800.0),
        }
    }
}

/// Network latency in one direction.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Network {
    /// Within a zone.
    pub same: Milliseconds,
    /// From one zone to another.
    pub cross: Milliseconds,
    /// From a client to its proxy.
    pub client: Milliseconds,
    /// Maximum deviation of a single message, as a fraction.
    pub jitter: Fraction,
}

impl Default for Network {
    fn default() -> Self {
        Network {
            same: Milliseconds(0.2),
            cross: Milliseconds(2.0),
            client: Milliseconds(0.5),
            jitter: Fraction(0.25),
        }
    }
}

/// Request rate and keys.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Load {
    /// Request rate as a fraction of the capacity of the initial, warm fleet.
    pub level: Option<Fraction>,
    /// Request rate as first attempts per second; alternative to `level`.
    pub rate: Option<Rate>,
    /// Amplitude of the periodic variation about the mean, as a fraction.
    #[serde(default)]
    pub swing: Fraction,
    /// Period of the variation.
    #[serde(default = "seconds::<10>")]
    pub period: Milliseconds,
    /// Number of distinct keys.
    #[serde(default = "default_keys")]
    pub keys: u64,
    /// Zipf exponent of their popularity.
    #[serde(default = "one")]
    pub zipf: f64,
}

/// Behaviour of clients.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Clients {
    /// Maximum of retries after the first attempt.
    pub retries: u32,
    /// Timeout of an attempt as a fraction of the class's deadline.
    pub patience: Fraction,
    /// Delay before a retry.
    pub backoff: Milliseconds,
    /// Fraction of clients that honour a longer retry delay from a rejection.
    pub honour: Fraction,
}

impl Default for Clients {
    fn default() -> Self {
        Clients {
            retries: 2,
            patience: Fraction(0.5),
            backoff: Milliseconds(100.0),
            honour: Fraction(0.3),
        }
    }
}

/// A class of requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Name, which is the first segment of the path.
    pub name: String,
    /// Fraction of the requests.
    pub share: Fraction,
    /// Mean work on a standard core.
    pub work: Milliseconds,
    /// Standard deviation of the work relative to the mean (lognormal).
    #[serde(default = "one")]
    pub spread: f64,
    /// Latency objective: a response within it earns the full priority weight.
    pub aim: Milliseconds,
    /// Time limit for a request including all attempts.
    pub deadline: Milliseconds,
    /// Priority weight of a response in time.
    #[serde(default = "one")]
    pub worth: f64,
    /// Fraction of the priority weight that a later response earns.
    #[serde(default)]
    pub late_worth: Fraction,
    /// Effect of running a request more than once.
    pub effect: Effect,
}

/// Effect of running a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// The request can be repeated.
    Safe,
    /// The request must never run twice.
    Unsafe,
}

/// A tenant that sends requests.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    /// Name.
    pub name: String,
    /// Fraction of the fleet's capacity.
    pub share: Fraction,
    /// Request rate relative to its share.
    #[serde(default = "one")]
    pub usage: f64,
}

/// Limits of the rules that the oracle checks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Rules {
    /// Time after its deadline up to which a final response is accepted.
    pub answer_slack: Milliseconds,
    /// Time after the announcement of a drain or removal by which requests to that server must stop.
    pub drain_grace: Milliseconds,
    /// A cold server fails when its load exceeds this multiple of its current capacity for the time `fall`.
    pub fall_multiple: f64,
    /// Duration of overload after which a cold server fails.
    pub fall: Milliseconds,
    /// Maximum of attempts per request.
    pub max_attempts: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            answer_slack: Milliseconds(8.0),
            drain_grace: Milliseconds(1000.0),
            fall_multiple: 3.0,
            fall: Milliseconds(1000.0),
            max_attempts: 5,
        }
    }
}

/// A fault. The keys of each kind are listed by [`FaultKind::required_keys`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// Kind of fault.
    pub kind: FaultKind,
    /// Start time.
    pub at: Milliseconds,
    /// Duration.
    #[serde(rename = "for", default)]
    pub span: Milliseconds,
    /// Affected fraction.
    pub share: Option<Fraction>,
    /// Strength.
    pub factor: Option<f64>,
    /// Servers replaced at a time, as a fraction of the fleet.
    pub batch: Option<Fraction>,
    /// Time from a server's drain to its removal.
    pub drain: Option<Milliseconds>,
    /// Point in a response at which the connection breaks.
    #[serde(rename = "where")]
    pub break_point: Option<BreakPoint>,
    /// Zone on one side of a partition.
    pub from: Option<String>,
    /// Zone on the other side.
    pub to: Option<String>,
    /// Peers per second.
    pub rate: Option<Rate>,
    /// Body size in bytes.
    pub size: Option<Bytes>,
}

impl Fault {
    /// Returns true if the fault is active at a time.
    pub fn is_active(&self, at: balancer::Millis) -> bool {
        self.at.0 <= at && at < self.at.0 + self.span.0
    }
}

/// Point in a response at which a connection breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum BreakPoint {
    /// While the server processes or queues the request; the server saves the same work as for any disconnected client
    /// ([`Cancels`]).
    During,
    /// Before the first byte of the response; the request has run.
    Before,
    /// Between the first and the last byte of the response.
    Inside,
    /// After the response, while the connection is idle.
    After,
}

/// Kinds of faults.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers are replaced by cold ones in batches.
    RollingDeploy,
    /// Servers drain and are removed.
    Shrink,
    /// Proxies are killed (SIGKILL) and restart after the duration with only an old list.
    ProxyKill,
    /// Proxies are asked to stop, and are started again.
    ProxyRestart,
    /// A fraction of the responses is broken off by a reset.
    Resets,
    /// A fraction of the responses never arrives; the connections stay open.
    LostAnswers,
    /// Servers process requests slower by a factor.
    Slow,
    /// Servers accept requests and never respond.
    Hang,
    /// Servers refuse new connections.
    RefuseConnects,
    /// Servers respond to a fraction of the requests with an immediate error.
    Errors,
    /// The list source sends nothing, not even heartbeats.
    ListSilent,
    /// The list source sends heartbeats but no changes.
    ListStale,
    /// No messages pass between two zones.
    Partition,
    /// The load changes by a factor.
    LoadStep,
    /// One key receives a fraction of the load.
    Launch,
    /// Clients retry immediately and ignore the retry delay of rejections.
    Impatient,
    /// A fraction of the clients reads responses slowly; real sockets only.
    SlowReaders,
    /// Peers send garbage; real sockets only.
    Garbage,
    /// A second process is started for each affected proxy and replaces it; real sockets only.
    Upgrade,
    /// Operators drain proxies of their clients and undo this after the duration; real sockets only.
    Drain,
    /// Proxies get other settings, and the original ones after the duration; real sockets only.
    Retune,
    /// A fraction of the requests has large bodies, sent in two halves with a pause, or large responses; real sockets only.
    LargeBodies,
}

impl FaultKind {
    /// Returns the keys that a fault of this kind requires in addition to `kind` and `at`.
    pub fn required_keys(self) -> &'static [&'static str] {
        use FaultKind::*;
        match self {
            RollingDeploy => &["for", "share", "batch", "drain"],
            Shrink => &["for", "share", "drain"],
            ProxyKill | ProxyRestart => &["for", "share"],
            Resets => &["for", "share", "where"],
            LostAnswers | Hang | RefuseConnects | SlowReaders | Launch => &["for", "share"],
            Slow => &["for", "share", "factor"],
            Errors => &["for", "share", "factor"],
            ListSilent | ListStale | Impatient => &["for"],
            Partition => &["for", "from", "to"],
            LoadStep => &["for", "factor"],
            Garbage => &["for", "rate"],
            Upgrade => &["share"],
            Drain | Retune => &["for", "share"],
            LargeBodies => &["for", "share", "size"],
        }
    }
}

fn default_zones() -> Vec<String> {
    vec!["here".into()]
}

fn percent<const N: u32>() -> Fraction {
    Fraction(f64::from(N) / 100.0)
}

fn seconds<const N: u32>() -> Milliseconds {
    Milliseconds(f64::from(N) * 1000.0)
}

fn ms<const N: u32>() -> Milliseconds {
    Milliseconds(f64::from(N))
}

fn one() -> f64 {
    1.0
}

fn two() -> u32 {
    2
}

fn default_crowded_from() -> f64 {
    6.0
}

fn default_connections_per_core() -> u32 {
    400
}

fn default_keys_per_core() -> usize {
    25
}

fn default_queue_per_core() -> f64 {
    20.0
}

fn default_keys() -> u64 {
    1000
}

/// Maximum of servers; it keeps the memory of a scenario within that of one machine.
const MAX_SERVERS: usize = 20_000;
/// Maximum of proxies; it keeps the memory of a scenario within that of one machine.
const MAX_PROXIES: usize = 1_000;
/// Maximum size of a large body; the lab's clients and servers keep each body in memory.
const MAX_LARGE_BODY_BYTES: f64 = 33_554_432.0;
const DAY_MS: f64 = 86_400_000.0;

/// Collects the problems of a scenario.
struct Validator<'a> {
    positions: &'a KeyPositions,
    problems: Vec<Problem>,
}

impl Validator<'_> {
    fn require(&mut self, valid: bool, key: &str, message: impl FnOnce() -> String) {
        if !valid {
            self.problems.push(Problem {
                line: self.positions.line_of(key),
                key: key.to_owned(),
                message: message(),
            });
        }
    }

    fn check_range(&mut self, key: &str, value: f64, range: RangeInclusive<f64>) {
        let (min, max) = (*range.start(), *range.end());
        self.require(range.contains(&value), key, || {
            format!("{value} is not within {min} and {max}")
        });
    }

    /// Requires a fraction above 0 and at most 100 %.
    fn check_fraction(&mut self, key: &str, value: Fraction) {
        self.require(value.0 > 0.0 && value.0 <= 1.0, key, || {
            format!("{value} is not within 0 and 100 %")
        });
    }

    fn check_span(&mut self, key: &str, value: Milliseconds, range: RangeInclusive<f64>) {
        let (min, max) = (Milliseconds(*range.start()), Milliseconds(*range.end()));
        self.require(range.contains(&value.0), key, || {
            format!("{value} is not within {min} and {max}")
        });
    }

    /// Requires names that are not empty, are distinct, and can be used in a path.
    fn check_names<'n>(&mut self, key: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let key = if key.contains('#') {
                key.replace('#', &i.to_string())
            } else {
                key.to_owned()
            };
            let is_allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            self.require(
                !name.is_empty() && name.chars().all(is_allowed),
                &key,
                || format!("{name:?} is not made of letters, digits, '-', '_' and '.'"),
            );
            self.require(seen.insert(name), &key, || format!("{name:?} stands twice"));
        }
    }

    fn check_shares(&mut self, key: &str, shares: impl Iterator<Item = f64>) {
        let sum: f64 = shares.sum();
        self.require((sum - 1.0).abs() < 1e-6, key, || {
            format!("the shares add up to {}, not to 100 %", Fraction(sum))
        });
    }
}

impl Scenario {
    /// Parses and validates a scenario; `file` is the file name in errors.
    ///
    /// # Errors
    /// Returns all problems, each with its line and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let positions = KeyPositions::new(file, text)?;
        let scenario: Scenario = toml::from_str(text).map_err(|e| positions.syntax_error(&e))?;
        let mut validator = Validator {
            positions: &positions,
            problems: Vec::new(),
        };
        scenario.check(&mut validator);
        let problems = validator.problems;
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(positions.document_error(problems))
        }
    }

    fn check(&self, validator: &mut Validator) {
        validator.check_span("length", self.length, 100.0..=DAY_MS);
        self.check_fleet(validator);
        let p = &self.proxies;
        validator.check_range("proxies.count", p.count as f64, 1.0..=MAX_PROXIES as f64);
        validator.check_range("proxies.sockets", p.sockets as f64, 64.0..=1_048_576.0);
        validator.check_range("proxies.memory-mb", p.memory_mb as f64, 4.0..=1_048_576.0);
        validator.check_span("proxies.notice", p.notice, 0.0..=DAY_MS);
        validator.check_span("proxies.retry-after", p.retry_after, 0.0..=600_000.0);
        validator.check_span("list.delay", self.list.delay, 0.0..=600_000.0);
        validator.check_span("list.spread", self.list.spread, 0.0..=600_000.0);
        for (key, span) in [
            ("network.same", self.network.same),
            ("network.cross", self.network.cross),
            ("network.client", self.network.client),
        ] {
            validator.check_span(key, span, 0.001..=10_000.0);
        }
        validator.check_range("network.jitter", self.network.jitter.0, 0.0..=0.9);
        self.check_load(validator);
        self.check_classes(validator);
        let r = &self.rules;
        validator.check_range("rules.fall-multiple", r.fall_multiple, 1.0..=1000.0);
        validator.check_span("rules.fall", r.fall, 1.0..=600_000.0);
        validator.check_range("rules.max-attempts", f64::from(r.max_attempts), 1.0..=100.0);
        for (i, fault) in self.faults.iter().enumerate() {
            self.check_fault(validator, i, fault);
        }
    }

    fn check_fleet(&self, validator: &mut Validator) {
        let f = &self.fleet;
        validator.check_range("fleet.servers", f.servers as f64, 1.0..=MAX_SERVERS as f64);
        validator.require(!f.zones.is_empty(), "fleet.zones", || {
            "there is none".into()
        });
        validator.check_names("fleet.zones", f.zones.iter().map(String::as_str));
        validator.check_names("fleet.kind.#.name", f.kinds.iter().map(|k| k.name.as_str()));
        validator.check_shares("fleet.kind", f.kinds.iter().map(|k| k.share.0));
        for (i, k) in f.kinds.iter().enumerate() {
            let key = |name: &str| format!("fleet.kind.{i}.{name}");
            validator.check_range(&key("cores"), f64::from(k.cores), 1.0..=1024.0);
            validator.check_range(&key("speed"), k.speed, 0.01..=100.0);
            validator.check_range(&key("speed-spread"), k.speed_spread.0, 0.0..=1.0);
            validator.check_range(&key("slots-per-core"), k.slots_per_core, 0.5..=1000.0);
            validator.check_range(&key("queue-per-core"), k.queue_per_core, 0.0..=100_000.0);
        }
        validator.check_fraction("fleet.cold-from", f.cold_from);
        validator.check_span("fleet.cold", f.cold, 0.0..=DAY_MS);
        validator.check_range("fleet.crowded-from", f.crowded_from, 0.0..=1e6);
        validator.check_range("fleet.crowding", f.crowding.0, 0.0..=1.0);
        validator.check_span("fleet.handshake", f.handshake, 0.0..=1000.0);
        validator.check_range(
            "fleet.connections-per-core",
            f64::from(f.connections_per_core),
            1.0..=1e6,
        );
        validator.check_span("fleet.idle", f.idle, 100.0..=DAY_MS);
        validator.check_range("fleet.key-gain", f.key_gain.0, 0.0..=0.95);
    }

    fn check_load(&self, validator: &mut Validator) {
        let l = &self.load;
        let one = l.level.is_some() != l.rate.is_some();
        validator.require(one, "load", || "it has either a level or a rate".into());
        if let Some(level) = l.level {
            validator.check_range("load.level", level.0, 0.001..=20.0);
        }
        if let Some(rate) = l.rate {
            validator.check_range("load.rate", rate.0, 0.01..=1e6);
        }
        validator.check_range("load.swing", l.swing.0, 0.0..=1.0);
        validator.check_span("load.period", l.period, 100.0..=DAY_MS);
        validator.check_range("load.keys", l.keys as f64, 1.0..=1e8);
        validator.check_range("load.zipf", l.zipf, 0.0..=5.0);
        let c = &self.clients;
        validator.check_range("clients.retries", f64::from(c.retries), 0.0..=100.0);
        validator.check_fraction("clients.patience", c.patience);
        validator.check_span("clients.backoff", c.backoff, 0.0..=60_000.0);
        validator.check_range("clients.honour", c.honour.0, 0.0..=1.0);
    }

    fn check_classes(&self, validator: &mut Validator) {
        validator.require(!self.classes.is_empty(), "class", || "there is none".into());
        validator.check_names("class.#.name", self.classes.iter().map(|c| c.name.as_str()));
        validator.check_shares("class", self.classes.iter().map(|c| c.share.0));
        for (i, c) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("class.{i}.{name}");
            validator.check_span(&key("work"), c.work, 0.01..=600_000.0);
            validator.check_range(&key("spread"), c.spread, 0.0..=10.0);
            validator.check_span(&key("deadline"), c.deadline, 20.0..=600_000.0);
            validator.check_span(&key("aim"), c.aim, 10.0..=c.deadline.0);
            validator.check_range(&key("worth"), c.worth, 0.0..=1e6);
            validator.check_range(&key("late-worth"), c.late_worth.0, 0.0..=1.0);
        }
        if !self.tenants.is_empty() {
            validator.check_names(
                "tenant.#.name",
                self.tenants.iter().map(|t| t.name.as_str()),
            );
            validator.check_shares("tenant", self.tenants.iter().map(|t| t.share.0));
            for (i, t) in self.tenants.iter().enumerate() {
                validator.check_range(&format!("tenant.{i}.usage"), t.usage, 0.0..=1000.0);
            }
        }
    }

    fn check_fault(&self, validator: &mut Validator, i: usize, fault: &Fault) {
        let key = |name: &str| format!("fault.{i}.{name}");
        let kind = fault.kind;
        let has = [
            ("share", fault.share.is_some()),
            ("factor", fault.factor.is_some()),
            ("batch", fault.batch.is_some()),
            ("drain", fault.drain.is_some()),
            ("where", fault.break_point.is_some()),
            ("from", fault.from.is_some()),
            ("to", fault.to.is_some()),
            ("rate", fault.rate.is_some()),
            ("size", fault.size.is_some()),
            ("for", fault.span.0 > 0.0),
        ];
        for (name, present) in has {
            let required = kind.required_keys().contains(&name);
            validator.require(!present || required, &key(name), || {
                format!("it does not go with {kind:?}")
            });
            validator.require(present || !required, &key("kind"), || {
                format!("{kind:?} needs the key '{name}'")
            });
        }
        validator.check_span(&key("at"), fault.at, 0.0..=self.length.0);
        for (name, share) in [("share", fault.share), ("batch", fault.batch)] {
            if let Some(share) = share {
                validator.check_fraction(&key(name), share);
            }
        }
        if let Some(factor) = fault.factor {
            let range = if kind == FaultKind::Errors {
                0.0..=1.0
            } else {
                0.001..=1000.0
            };
            validator.check_range(&key("factor"), factor, range);
        }
        if let Some(rate) = fault.rate {
            validator.check_range(&key("rate"), rate.0, 0.01..=10_000.0);
        }
        if let Some(size) = fault.size {
            validator.check_range(&key("size"), size.0, 1.0..=MAX_LARGE_BODY_BYTES);
        }
        for (name, zone) in [("from", &fault.from), ("to", &fault.to)] {
            let known = zone.as_ref().is_none_or(|z| self.fleet.zones.contains(z));
            validator.require(known, &key(name), || "there is no such zone".into());
        }
    }

    /// Returns the capacity of the initial, warm fleet in ms of standard core work per ms.
    pub fn capacity(&self) -> f64 {
        let f = &self.fleet;
        let per_server: f64 = f
            .kinds
            .iter()
            .map(|k| k.share.0 * f64::from(k.cores) * k.speed)
            .sum();
        per_server * f.servers as f64
    }

    /// Returns the mean work of a request in ms of a standard core.
    pub fn mean_work(&self) -> f64 {
        self.classes.iter().map(|c| c.share.0 * c.work.0).sum()
    }

    /// Returns the mean rate of first attempts per ms, without variation and load steps.
    pub fn rate(&self) -> f64 {
        match (self.load.rate, self.load.level) {
            (Some(rate), _) => rate.0 / 1000.0,
            (None, level) => level.map_or(0.0, |l| l.0) * self.capacity() / self.mean_work(),
        }
    }
}
