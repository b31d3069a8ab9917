//! A scenario: a fleet, its proxies, the load on them and what goes wrong, as one TOML file.
//!
//! The file is the schema's own type: an unknown key, a missing unit or a value out of its range is an error that
//! names file, line and key, and all values out of range are named at once.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use serde::Deserialize;

use config_parser::KeyPositions;

use crate::units::{Bytes, Fraction, Milliseconds, Rate};
use crate::{Problem, ScenarioError};

/// What an experiment plays.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scenario {
    /// One line on what it shows.
    pub title: String,
    /// How long new requests keep coming.
    pub length: Milliseconds,
    /// The servers.
    pub fleet: Fleet,
    /// The proxies.
    #[serde(default)]
    pub proxies: Proxies,
    /// How the list of servers reaches them.
    #[serde(default)]
    pub list: ListSource,
    /// The network between all of them.
    #[serde(default)]
    pub network: Network,
    /// How much is asked for.
    pub load: Load,
    /// How clients behave.
    #[serde(default)]
    pub clients: Clients,
    /// What is asked for.
    #[serde(rename = "class")]
    pub classes: Vec<Class>,
    /// Who asks.
    #[serde(rename = "tenant", default)]
    pub tenants: Vec<Tenant>,
    /// What goes wrong, and when.
    #[serde(rename = "fault", default)]
    pub faults: Vec<Fault>,
    /// The figures of the rules.
    #[serde(default)]
    pub rules: Rules,
}

/// The servers.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fleet {
    /// How many there are at the start.
    pub servers: usize,
    /// Where they stand, dealt in turn; the proxies likewise.
    #[serde(default = "one_zone")]
    pub zones: Vec<String>,
    /// Their kinds of machine.
    #[serde(rename = "kind")]
    pub kinds: Vec<Kind>,
    /// The part of its capacity that a process starts with.
    #[serde(default = "percent::<20>")]
    pub cold_from: Fraction,
    /// How long a process takes to be warm; its capacity rises evenly.
    #[serde(default = "seconds::<10>")]
    pub cold: Milliseconds,
    /// Requests held for each core above which a server slows down.
    #[serde(default = "crowded_from")]
    pub crowded_from: f64,
    /// The part of its capacity that each request beyond that costs, for each core.
    #[serde(default = "percent::<5>")]
    pub crowding: Fraction,
    /// Work of a new connection on a standard core.
    #[serde(default = "ms::<1>")]
    pub handshake: Milliseconds,
    /// Connections that a server holds for each core.
    #[serde(default = "connections")]
    pub connections_per_core: u32,
    /// How long an idle connection stays open.
    #[serde(default = "seconds::<10>")]
    pub idle: Milliseconds,
    /// The part of the work that a key saves on a server that has served it of late.
    #[serde(default)]
    pub key_gain: Fraction,
    /// Keys that a server remembers for each core.
    #[serde(default = "key_memory")]
    pub keys_per_core: usize,
    /// How long it remembers them.
    #[serde(default = "seconds::<8>")]
    pub key_span: Milliseconds,
    /// What a client that goes away spares a server.
    #[serde(default)]
    pub cancels: Cancels,
}

/// What an attempt given up spares its server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Cancels {
    /// Nothing: all is worked off.
    Nothing,
    /// What waits is dropped, what is in work is worked off.
    #[default]
    Waiting,
    /// All of it.
    All,
}

/// A kind of machine.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Kind {
    /// Its name.
    pub name: String,
    /// Its part of the servers.
    #[serde(default = "percent::<100>")]
    pub share: Fraction,
    /// Cores of a server.
    #[serde(default = "two")]
    pub cores: u32,
    /// The speed of a core; 1 is the standard.
    #[serde(default = "one")]
    pub speed: f64,
    /// How far speeds lie apart, as a standard deviation relative to the mean.
    #[serde(default = "percent::<10>")]
    pub speed_spread: Fraction,
    /// Requests in work for each core.
    #[serde(default = "one")]
    pub slots_per_core: f64,
    /// Requests that wait for each core; more are turned away unseen.
    #[serde(default = "queue")]
    pub queue_per_core: f64,
}

/// The proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Proxies {
    /// How many there are.
    pub count: usize,
    /// How long the front before them goes on sending to one that has died.
    pub notice: Milliseconds,
    /// Memory that a proxy may take, in MiB; real processes only.
    pub memory_mb: u64,
    /// Descriptors that a proxy may hold; real processes only.
    pub sockets: usize,
    /// The most that a refused client is asked to wait; zero where refusals name no time.
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

/// How the list of servers reaches the proxies.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct ListSource {
    /// From a change to its word at a proxy, at least.
    pub delay: Milliseconds,
    /// And up to this much more, drawn for each proxy and change; order is kept.
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

/// The network, one way.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Network {
    /// Within a zone.
    pub same: Milliseconds,
    /// From one zone to another.
    pub cross: Milliseconds,
    /// From a client to its proxy.
    pub client: Milliseconds,
    /// How far single messages deviate, at most.
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

/// How much is asked for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Load {
    /// As a part of what the warm fleet can do at the start.
    pub level: Option<Fraction>,
    /// Or as first tries a second.
    pub rate: Option<Rate>,
    /// How far a wave swings it about that mean.
    #[serde(default)]
    pub swing: Fraction,
    /// How long one wave is.
    #[serde(default = "seconds::<10>")]
    pub period: Milliseconds,
    /// Distinct keys.
    #[serde(default = "keys")]
    pub keys: u64,
    /// The exponent of their popularity (Zipf).
    #[serde(default = "one")]
    pub zipf: f64,
}

/// How clients behave.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Clients {
    /// Further tries after the first.
    pub retries: u32,
    /// The part of the class's deadline after which a try is given up.
    pub patience: Fraction,
    /// The wait before a further try.
    pub backoff: Milliseconds,
    /// The part of the clients that waits as long as a refusal says, where that is longer.
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
    /// Its name, the first part of the path.
    pub name: String,
    /// Its part of the requests.
    pub share: Fraction,
    /// Mean work on a standard core.
    pub work: Milliseconds,
    /// How far the work of single requests lies apart, as a standard deviation relative to the mean (lognormal).
    #[serde(default = "one")]
    pub spread: f64,
    /// An answer within this span earns the full worth.
    pub aim: Milliseconds,
    /// How long a client waits with all its tries.
    pub deadline: Milliseconds,
    /// What an answer in time is worth.
    #[serde(default = "one")]
    pub worth: f64,
    /// The part of the worth that a later answer still earns.
    #[serde(default)]
    pub late_worth: Fraction,
    /// Whether it may run more than once.
    pub effect: Effect,
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Effect {
    /// Repeating it does no harm.
    Safe,
    /// It must never run twice.
    Unsafe,
}

/// Who asks.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    /// Its name.
    pub name: String,
    /// Its part of what the fleet can do.
    pub share: Fraction,
    /// What it asks for, relative to its share.
    #[serde(default = "one")]
    pub usage: f64,
}

/// The figures of the rules.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Rules {
    /// A final answer counts up to this long after its deadline.
    pub answer_slack: Milliseconds,
    /// Sends to a server whose drain or end has been told end within this span.
    pub drain_grace: Milliseconds,
    /// A cold server falls over when it is sent more than this multiple of its present capacity...
    pub fall_multiple: f64,
    /// ...for this span.
    pub fall: Milliseconds,
    /// Attempts that a request may have.
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

/// Something that goes wrong. Which keys go with which kind is [`FaultKind::keys`].
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Fault {
    /// What it is.
    pub kind: FaultKind,
    /// When it begins.
    pub at: Milliseconds,
    /// How long it lasts.
    #[serde(rename = "for", default)]
    pub span: Milliseconds,
    /// Of what it strikes, which part it strikes.
    pub share: Option<Fraction>,
    /// How strong it is.
    pub factor: Option<f64>,
    /// Servers replaced at a time, as a part of the fleet.
    pub batch: Option<Fraction>,
    /// From a server's drain to its end.
    pub drain: Option<Milliseconds>,
    /// Where in an answer a connection breaks.
    #[serde(rename = "where")]
    pub place: Option<Break>,
    /// One side of a partition, by the zone's name.
    pub from: Option<String>,
    /// The other side.
    pub to: Option<String>,
    /// Peers a second.
    pub rate: Option<Rate>,
    /// Bytes of a body.
    pub size: Option<Bytes>,
}

impl Fault {
    /// Whether it lasts at a time.
    pub fn holds(&self, at: balancer::Millis) -> bool {
        self.at.0 <= at && at < self.at.0 + self.span.0
    }
}

/// Where in an answer a connection breaks.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Break {
    /// While its server still works on the request, or lets it wait: what the break spares the server is as for any
    /// client that goes away.
    During,
    /// Before the answer's first byte; the request has run.
    Before,
    /// Between the answer's first byte and its last.
    Inside,
    /// After the whole answer, when the connection is idle.
    After,
}

/// What can go wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum FaultKind {
    /// Servers are replaced by cold ones, some at a time.
    RollingDeploy,
    /// Servers drain and leave for good.
    Shrink,
    /// Proxies are killed outright and come back after the span with nothing but an old list.
    ProxyKill,
    /// Proxies are told to end, and started anew.
    ProxyRestart,
    /// A part of the answers breaks.
    Resets,
    /// A part of the answers never comes, on connections that stay open.
    LostAnswers,
    /// Servers go on, many times slower.
    Slow,
    /// Servers take requests and say nothing.
    Hang,
    /// Servers refuse new connections.
    RefuseConnects,
    /// Servers answer a part of the requests with an error, at once.
    Errors,
    /// The list says nothing, not even that it lives.
    ListSilent,
    /// The list lives, and tells no change.
    ListStale,
    /// Nothing passes from one zone to another.
    Partition,
    /// The load changes by a factor.
    LoadStep,
    /// One key takes a part of the load.
    Launch,
    /// Clients try again at once, and do not listen to refusals.
    Impatient,
    /// A part of the clients reads its answers slowly; real sockets only.
    SlowReaders,
    /// Peers send garbage; real sockets only.
    Garbage,
    /// A second process is started beside each proxy struck and takes its place; real sockets only.
    Upgrade,
    /// Operators send the clients of proxies away, and take them back after the span; real sockets only.
    Drain,
    /// Proxies are given other settings, and theirs back after the span; real sockets only.
    Retune,
    /// A part of the requests is large: bodies that come in two halves with a pause between, or answers; real sockets only.
    LargeBodies,
}

impl FaultKind {
    /// The keys that a fault of this kind must have, beside `kind` and `at`.
    pub fn keys(self) -> &'static [&'static str] {
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

fn one_zone() -> Vec<String> {
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

fn crowded_from() -> f64 {
    6.0
}

fn connections() -> u32 {
    400
}

fn key_memory() -> usize {
    25
}

fn queue() -> f64 {
    20.0
}

fn keys() -> u64 {
    1000
}

/// The most of a thing, so that no scenario asks for more than a machine holds.
const MOST_SERVERS: usize = 20_000;
const MOST_PROXIES: usize = 1_000;
/// Bytes of a large body; the lab's ends keep each whole.
const LARGEST: f64 = 33_554_432.0;
const DAY: f64 = 86_400_000.0;

/// Gathers what is wrong with a scenario.
struct Check<'a> {
    places: &'a KeyPositions,
    problems: Vec<Problem>,
}

impl Check<'_> {
    fn that(&mut self, fine: bool, key: &str, what: impl FnOnce() -> String) {
        if !fine {
            self.problems.push(Problem {
                line: self.places.line_of(key),
                key: key.to_owned(),
                message: what(),
            });
        }
    }

    fn within(&mut self, key: &str, value: f64, range: RangeInclusive<f64>) {
        let (low, high) = (*range.start(), *range.end());
        self.that(range.contains(&value), key, || {
            format!("{value} is not within {low} and {high}")
        });
    }

    /// A share that is more than nothing and no more than all.
    fn part(&mut self, key: &str, value: Fraction) {
        self.that(value.0 > 0.0 && value.0 <= 1.0, key, || {
            format!("{value} is not within 0 and 100 %")
        });
    }

    fn span(&mut self, key: &str, value: Milliseconds, range: RangeInclusive<f64>) {
        let (low, high) = (Milliseconds(*range.start()), Milliseconds(*range.end()));
        self.that(range.contains(&value.0), key, || {
            format!("{value} is not within {low} and {high}")
        });
    }

    /// Names that are there, differ, and can stand in a path.
    fn names<'n>(&mut self, key: &str, names: impl Iterator<Item = &'n str>) {
        let mut seen = BTreeSet::new();
        for (i, name) in names.enumerate() {
            let key = if key.contains('#') {
                key.replace('#', &i.to_string())
            } else {
                key.to_owned()
            };
            let plain = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
            self.that(!name.is_empty() && name.chars().all(plain), &key, || {
                format!("{name:?} is not made of letters, digits, '-', '_' and '.'")
            });
            self.that(seen.insert(name), &key, || format!("{name:?} stands twice"));
        }
    }

    fn shares(&mut self, key: &str, shares: impl Iterator<Item = f64>) {
        let sum: f64 = shares.sum();
        self.that((sum - 1.0).abs() < 1e-6, key, || {
            format!("the shares add up to {}, not to 100 %", Fraction(sum))
        });
    }
}

impl Scenario {
    /// Reads and checks a scenario; `file` is the name that errors use.
    ///
    /// # Errors
    /// All that is wrong with it, each with its line and key.
    pub fn parse(file: &str, text: &str) -> Result<Self, ScenarioError> {
        let places = KeyPositions::new(file, text)?;
        let scenario: Scenario = toml::from_str(text).map_err(|e| places.syntax_error(&e))?;
        let mut check = Check {
            places: &places,
            problems: Vec::new(),
        };
        scenario.check(&mut check);
        let problems = check.problems;
        if problems.is_empty() {
            Ok(scenario)
        } else {
            Err(places.document_error(problems))
        }
    }

    fn check(&self, check: &mut Check) {
        check.span("length", self.length, 100.0..=DAY);
        self.check_fleet(check);
        let p = &self.proxies;
        check.within("proxies.count", p.count as f64, 1.0..=MOST_PROXIES as f64);
        check.within("proxies.sockets", p.sockets as f64, 64.0..=1_048_576.0);
        check.within("proxies.memory-mb", p.memory_mb as f64, 4.0..=1_048_576.0);
        check.span("proxies.notice", p.notice, 0.0..=DAY);
        check.span("proxies.retry-after", p.retry_after, 0.0..=600_000.0);
        check.span("list.delay", self.list.delay, 0.0..=600_000.0);
        check.span("list.spread", self.list.spread, 0.0..=600_000.0);
        for (key, span) in [
            ("network.same", self.network.same),
            ("network.cross", self.network.cross),
            ("network.client", self.network.client),
        ] {
            check.span(key, span, 0.001..=10_000.0);
        }
        check.within("network.jitter", self.network.jitter.0, 0.0..=0.9);
        self.check_load(check);
        self.check_classes(check);
        let r = &self.rules;
        check.within("rules.fall-multiple", r.fall_multiple, 1.0..=1000.0);
        check.span("rules.fall", r.fall, 1.0..=600_000.0);
        check.within("rules.max-attempts", f64::from(r.max_attempts), 1.0..=100.0);
        for (i, fault) in self.faults.iter().enumerate() {
            self.check_fault(check, i, fault);
        }
    }

    fn check_fleet(&self, check: &mut Check) {
        let f = &self.fleet;
        check.within("fleet.servers", f.servers as f64, 1.0..=MOST_SERVERS as f64);
        check.that(!f.zones.is_empty(), "fleet.zones", || {
            "there is none".into()
        });
        check.names("fleet.zones", f.zones.iter().map(String::as_str));
        check.names("fleet.kind.#.name", f.kinds.iter().map(|k| k.name.as_str()));
        check.shares("fleet.kind", f.kinds.iter().map(|k| k.share.0));
        for (i, k) in f.kinds.iter().enumerate() {
            let key = |name: &str| format!("fleet.kind.{i}.{name}");
            check.within(&key("cores"), f64::from(k.cores), 1.0..=1024.0);
            check.within(&key("speed"), k.speed, 0.01..=100.0);
            check.within(&key("speed-spread"), k.speed_spread.0, 0.0..=1.0);
            check.within(&key("slots-per-core"), k.slots_per_core, 0.5..=1000.0);
            check.within(&key("queue-per-core"), k.queue_per_core, 0.0..=100_000.0);
        }
        check.part("fleet.cold-from", f.cold_from);
        check.span("fleet.cold", f.cold, 0.0..=DAY);
        check.within("fleet.crowded-from", f.crowded_from, 0.0..=1e6);
        check.within("fleet.crowding", f.crowding.0, 0.0..=1.0);
        check.span("fleet.handshake", f.handshake, 0.0..=1000.0);
        check.within(
            "fleet.connections-per-core",
            f64::from(f.connections_per_core),
            1.0..=1e6,
        );
        check.span("fleet.idle", f.idle, 100.0..=DAY);
        check.within("fleet.key-gain", f.key_gain.0, 0.0..=0.95);
    }

    fn check_load(&self, check: &mut Check) {
        let l = &self.load;
        let one = l.level.is_some() != l.rate.is_some();
        check.that(one, "load", || "it has either a level or a rate".into());
        if let Some(level) = l.level {
            check.within("load.level", level.0, 0.001..=20.0);
        }
        if let Some(rate) = l.rate {
            check.within("load.rate", rate.0, 0.01..=1e6);
        }
        check.within("load.swing", l.swing.0, 0.0..=1.0);
        check.span("load.period", l.period, 100.0..=DAY);
        check.within("load.keys", l.keys as f64, 1.0..=1e8);
        check.within("load.zipf", l.zipf, 0.0..=5.0);
        let c = &self.clients;
        check.within("clients.retries", f64::from(c.retries), 0.0..=100.0);
        check.part("clients.patience", c.patience);
        check.span("clients.backoff", c.backoff, 0.0..=60_000.0);
        check.within("clients.honour", c.honour.0, 0.0..=1.0);
    }

    fn check_classes(&self, check: &mut Check) {
        check.that(!self.classes.is_empty(), "class", || "there is none".into());
        check.names("class.#.name", self.classes.iter().map(|c| c.name.as_str()));
        check.shares("class", self.classes.iter().map(|c| c.share.0));
        for (i, c) in self.classes.iter().enumerate() {
            let key = |name: &str| format!("class.{i}.{name}");
            check.span(&key("work"), c.work, 0.01..=600_000.0);
            check.within(&key("spread"), c.spread, 0.0..=10.0);
            check.span(&key("deadline"), c.deadline, 20.0..=600_000.0);
            check.span(&key("aim"), c.aim, 10.0..=c.deadline.0);
            check.within(&key("worth"), c.worth, 0.0..=1e6);
            check.within(&key("late-worth"), c.late_worth.0, 0.0..=1.0);
        }
        if !self.tenants.is_empty() {
            check.names(
                "tenant.#.name",
                self.tenants.iter().map(|t| t.name.as_str()),
            );
            check.shares("tenant", self.tenants.iter().map(|t| t.share.0));
            for (i, t) in self.tenants.iter().enumerate() {
                check.within(&format!("tenant.{i}.usage"), t.usage, 0.0..=1000.0);
            }
        }
    }

    fn check_fault(&self, check: &mut Check, i: usize, fault: &Fault) {
        let key = |name: &str| format!("fault.{i}.{name}");
        let kind = fault.kind;
        let has = [
            ("share", fault.share.is_some()),
            ("factor", fault.factor.is_some()),
            ("batch", fault.batch.is_some()),
            ("drain", fault.drain.is_some()),
            ("where", fault.place.is_some()),
            ("from", fault.from.is_some()),
            ("to", fault.to.is_some()),
            ("rate", fault.rate.is_some()),
            ("size", fault.size.is_some()),
            ("for", fault.span.0 > 0.0),
        ];
        for (name, given) in has {
            let wanted = kind.keys().contains(&name);
            check.that(!given || wanted, &key(name), || {
                format!("it does not go with {kind:?}")
            });
            check.that(given || !wanted, &key("kind"), || {
                format!("{kind:?} needs the key '{name}'")
            });
        }
        check.span(&key("at"), fault.at, 0.0..=self.length.0);
        for (name, share) in [("share", fault.share), ("batch", fault.batch)] {
            if let Some(share) = share {
                check.part(&key(name), share);
            }
        }
        if let Some(factor) = fault.factor {
            let range = if kind == FaultKind::Errors {
                0.0..=1.0
            } else {
                0.001..=1000.0
            };
            check.within(&key("factor"), factor, range);
        }
        if let Some(rate) = fault.rate {
            check.within(&key("rate"), rate.0, 0.01..=10_000.0);
        }
        if let Some(size) = fault.size {
            check.within(&key("size"), size.0, 1.0..=LARGEST);
        }
        for (name, zone) in [("from", &fault.from), ("to", &fault.to)] {
            let known = zone.as_ref().is_none_or(|z| self.fleet.zones.contains(z));
            check.that(known, &key(name), || "there is no such zone".into());
        }
    }

    /// What the warm fleet of the start can do, as work of a standard core for each ms.
    pub fn capacity(&self) -> f64 {
        let f = &self.fleet;
        let per_server: f64 = f
            .kinds
            .iter()
            .map(|k| k.share.0 * f64::from(k.cores) * k.speed)
            .sum();
        per_server * f.servers as f64
    }

    /// Mean work of a request, in ms of a standard core.
    pub fn mean_work(&self) -> f64 {
        self.classes.iter().map(|c| c.share.0 * c.work.0).sum()
    }

    /// First tries for each ms, without waves and steps.
    pub fn rate(&self) -> f64 {
        match (self.load.rate, self.load.level) {
            (Some(rate), _) => rate.0 / 1000.0,
            (None, level) => level.map_or(0.0, |l| l.0) * self.capacity() / self.mean_work(),
        }
    }
}
