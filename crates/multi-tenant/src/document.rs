//! What an operator writes: the process, its listeners and its tenants. The types are the schema.

use config_parser::units::{Bytes, Fraction, Milliseconds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// The whole service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// What the process has.
    #[serde(default)]
    pub process: Process,
    /// Where requests come in.
    #[serde(rename = "listener")]
    #[schemars(length(min = 1, max = 64))]
    pub listeners: Vec<Listener>,
    /// Where the administration API is.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Admin")]
    pub admin: Option<Admin>,
    /// Where versions are kept.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "StateStore")]
    pub state: Option<StateStore>,
    /// The other instances that this one acts as one with.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Cluster")]
    pub cluster: Option<Cluster>,
    /// Who is served. With `state` these are taken into the first, empty state alone.
    #[serde(rename = "tenant", default)]
    #[schemars(length(max = 100_000))]
    pub tenants: Vec<Tenant>,
}

/// What the process has, to be shared by all tenants. It holds from start to end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Process {
    /// Connections of clients.
    #[schemars(range(min = 16, max = 1_000_000))]
    pub sockets: u64,
    /// Connections to servers.
    #[schemars(range(min = 16, max = 1_000_000))]
    pub server_sockets: u64,
    /// Requests that lack their final answer.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub in_flight: u64,
    /// Memory for requests.
    pub bytes: Bytes,
    /// The part of the event loop's time for requests that are let in.
    pub loop_share: Fraction,
    /// The part of it for turning others away.
    #[serde(rename = "turning-share")]
    pub rejection_share: Fraction,
    /// The part of each stock that tenants beyond their shares leave to idle ones.
    #[serde(rename = "newcomers")]
    pub idle_reserve: Fraction,
    /// Tenants that are held in full at once; all others are at rest. Those whose list is followed always are, and count.
    #[schemars(range(min = 1, max = 100_000))]
    #[serde(rename = "resident-tenants")]
    pub max_active_tenants: u64,
    /// A tenant that nothing was asked of for this span is put to rest.
    #[serde(rename = "rest-after")]
    pub idle_timeout: Milliseconds,
    /// What the modules' draws come from; drawn anew at each start if it is not named.
    pub seed: Option<u64>,
}

impl Default for Process {
    fn default() -> Self {
        Process {
            sockets: 4096,
            server_sockets: 2048,
            in_flight: 2048,
            bytes: Bytes(64.0 * 1024.0 * 1024.0),
            loop_share: Fraction(0.85),
            rejection_share: Fraction(0.1),
            idle_reserve: Fraction(0.0625),
            max_active_tenants: 1024,
            idle_timeout: Milliseconds(30_000.0),
            seed: None,
        }
    }
}

/// Where the administration API is. It needs `state`, and holds from start to end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Admin {
    /// Address and port, on loopback unless `anywhere` is set: tokens pass as they are.
    pub address: String,
    /// Whether the address may be other than loopback.
    #[serde(rename = "anywhere")]
    pub allow_remote: bool,
}

impl Default for Admin {
    fn default() -> Self {
        Admin {
            address: "127.0.0.1:7070".into(),
            allow_remote: false,
        }
    }
}

/// Where versions are kept. It holds from start to end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Durable")]
pub struct StateStore {
    /// The directory; made if it is not there.
    #[schemars(length(min = 1))]
    pub directory: String,
    /// Versions that can be gone back to.
    #[serde(default = "versions")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub keep_versions: u64,
}

fn versions() -> u64 {
    1000
}

/// Instances that act as one. It needs `state`, where its log is kept, and holds from start to end. What says so is agreed on
/// when the cluster is founded, and holds for all.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cluster {
    /// The cluster's name.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub name: String,
    /// This instance's name in it.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub instance: String,
    /// Address and port for the others.
    pub address: String,
    /// Where this instance stands; those with a vote are spread over zones.
    #[serde(default = "here")]
    #[schemars(length(min = 1, max = 64))]
    pub zone: String,
    /// The file with the key that all instances share: 16 bytes at least.
    pub key_file: String,
    /// Other instances and their addresses. A cluster is founded once all that stand here are there and name the same.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub peers: std::collections::BTreeMap<String, String>,
    /// How many instances have a vote (agreed on).
    #[serde(default = "three")]
    #[schemars(range(min = 1, max = 9))]
    pub voters: usize,
    /// How long an instance decides by itself after it was last heard (agreed on).
    #[serde(default = "lease")]
    pub lease: Milliseconds,
    /// The same for one that has said that it can take a change under way (agreed on).
    #[serde(default = "change_lease")]
    pub change_lease: Milliseconds,
    /// No clock runs faster or slower than true time by more than this (agreed on).
    #[serde(default = "drift")]
    pub drift: Fraction,
    /// A change that is not decided within this span is given up (agreed on).
    #[serde(default = "minute")]
    pub deadline: Milliseconds,
    /// What an instance does that hears from nobody (agreed on).
    #[serde(default)]
    pub when_cut_off: WhenCutOff,
    /// A request waits for so long at most for a change to take hold.
    #[serde(rename = "hold", default = "hold")]
    pub max_wait: Milliseconds,
    /// A refused client is asked to come again after about so long.
    #[serde(default = "second")]
    pub retry_after: Milliseconds,
    /// Entries after which the log is shortened; one that lags by more gets the whole state.
    #[serde(default = "log_entries")]
    #[schemars(range(min = 16, max = 1_000_000))]
    pub log_entries: u64,
    /// After its start the instance waits for so long at most until all lists that are followed are known.
    #[serde(default = "list_wait")]
    pub list_wait: Milliseconds,
    /// What it does then, where some are still unknown.
    #[serde(default)]
    pub when_list_unknown: WhenListUnknown,
    /// Answers, and requests to servers, tell by X-Canvascart-Decided under which version and when they were decided.
    #[serde(rename = "stamps", default)]
    pub send_stamps: bool,
}

/// What an instance does that lacks tenants' lists when it has waited for long enough after its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WhenListUnknown {
    /// It takes requests; those of tenants whose list is not known are refused by their own pools.
    #[default]
    Serve,
    /// It refuses all until the last list is known.
    #[serde(rename = "refuse")]
    Reject,
}

/// What an instance does that hears from nobody.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WhenCutOff {
    /// Its lease runs out, and it refuses; changes go on without it.
    #[default]
    #[serde(rename = "refuse")]
    Reject,
    /// It serves on; a change waits for it, and is given up at its deadline.
    Serve,
}

fn here() -> String {
    "here".into()
}

fn list_wait() -> Milliseconds {
    Milliseconds(10_000.0)
}

fn log_entries() -> u64 {
    1024
}

fn three() -> usize {
    3
}

fn lease() -> Milliseconds {
    Milliseconds(15_000.0)
}

fn change_lease() -> Milliseconds {
    Milliseconds(3000.0)
}

fn drift() -> Fraction {
    Fraction(0.02)
}

fn hold() -> Milliseconds {
    Milliseconds(200.0)
}

fn second() -> Milliseconds {
    Milliseconds(1000.0)
}

/// Where requests come in.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listener {
    /// Its name, in logs and figures.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub name: String,
    /// Address and port.
    pub address: String,
    /// How a request names its tenant.
    pub tenant_by: TenantBy,
    /// The tenant of all requests, where it is by listener.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
}

/// How a request names its tenant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum TenantBy {
    /// All requests of the listener are one tenant's.
    Listener,
    /// By the header Host, as the tenants' `hosts` say.
    Host,
    /// By the header X-Tenant-Id, which holds the tenant's name.
    Header,
}

/// Who is served, by a pool of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    /// Its name, by which all else refers to it.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub name: String,
    /// The hosts that are its own, where a listener tells tenants by host.
    #[serde(default)]
    #[schemars(length(max = 100))]
    pub hosts: Vec<String>,
    /// What it may have.
    #[serde(default)]
    pub limits: Limits,
    /// What its servers are told of and how they fail.
    #[serde(default)]
    pub rules: Rules,
    /// What is asked for.
    #[serde(rename = "class")]
    #[schemars(length(min = 1, max = 64))]
    pub classes: Vec<Class>,
    /// Where its list of servers is followed; without it, `server` is the list.
    #[serde(rename = "fleet", default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<DiscoverySettings>,
    /// Its servers.
    #[serde(rename = "server", default)]
    #[schemars(length(max = 10_000))]
    pub servers: Vec<Server>,
}

/// Where a tenant's list of servers is followed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Fleet")]
pub struct DiscoverySettings {
    /// Members of etcd, such as `http://127.0.0.1:2379`.
    #[schemars(length(min = 1, max = 16))]
    pub etcd: Vec<String>,
    /// What the keys begin with.
    #[serde(default = "prefix")]
    #[schemars(length(min = 1, max = 256))]
    pub prefix: String,
    /// The pool's name in the keys; the tenant's without it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub pool: Option<String>,
    /// A file with NAME:PASSWORD, where etcd asks for them.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user_file: Option<String>,
    /// When more than this part of the servers with leases lose them together, they are held for `hold`; 100 % for never.
    #[serde(rename = "guard", default = "half")]
    pub mass_expiry_ratio: Fraction,
    /// As above.
    #[serde(rename = "hold", default = "minute")]
    pub retention: Milliseconds,
}

fn prefix() -> String {
    "/canvascart/v1".into()
}

fn half() -> Fraction {
    Fraction(0.5)
}

fn minute() -> Milliseconds {
    Milliseconds(60_000.0)
}

/// What a tenant may have of what all share. Caps hold however idle the others are; without one there is only the share.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Its share beside the others'.
    #[schemars(range(min = 0.001, max = 1000.0))]
    pub weight: f64,
    /// Connections of its clients.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sockets: Option<u64>,
    /// Its requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u64>,
    /// Memory for its requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes: Option<Bytes>,
    /// Its part of the event loop's time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loop_share: Option<Fraction>,
    /// The event loop's time that it may use at once after it was idle.
    pub burst: Milliseconds,
}

impl Default for Limits {
    fn default() -> Self {
        Limits {
            weight: 1.0,
            sockets: None,
            in_flight: None,
            bytes: None,
            loop_share: None,
            burst: Milliseconds(10.0),
        }
    }
}

/// What is known of a tenant's servers, and the figures of the rules.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Rules {
    /// Attempts allowed for one request.
    #[schemars(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// The part of its capacity that a server has when it has just started.
    #[serde(rename = "cold-from")]
    pub initial_capacity: Fraction,
    /// How long a server takes until it has all of it.
    #[serde(rename = "cold")]
    pub warm_up: Milliseconds,
    /// A connection to a server that is not up within this span has failed.
    #[serde(rename = "dial-timeout")]
    pub connect_timeout: Milliseconds,
    /// A server closes a connection that has stood idle for this span.
    #[serde(rename = "idle-close")]
    pub idle_timeout: Milliseconds,
    /// The longest wait that a refused client is asked for.
    pub retry_after: Milliseconds,
    /// The zone that this process stands in.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
}

impl Default for Rules {
    fn default() -> Self {
        Rules {
            max_attempts: 3,
            initial_capacity: Fraction(0.2),
            warm_up: Milliseconds(10_000.0),
            connect_timeout: Milliseconds(250.0),
            idle_timeout: Milliseconds(15_000.0),
            retry_after: Milliseconds(2000.0),
            zone: None,
        }
    }
}

/// A class of requests; the first segment of a request's path names it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Its name.
    #[schemars(regex(pattern = r"^[A-Za-z0-9._~-]{1,64}$"))]
    pub name: String,
    /// Whether a request may run more than once.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// An answer within this span earns the full worth.
    #[serde(rename = "aim")]
    pub latency_objective: Milliseconds,
    /// The whole wait that a client is ready for.
    pub deadline: Milliseconds,
    /// What an answer in time is worth, beside other classes.
    #[serde(rename = "worth", default = "one")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub priority_weight: f64,
    /// The part of it that a late answer still earns.
    #[serde(rename = "late-worth", default)]
    pub late_weight_fraction: Fraction,
}

fn one() -> f64 {
    1.0
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Effect")]
pub enum Idempotency {
    /// Repeating it does no harm (a lookup; GET).
    #[serde(rename = "safe")]
    Idempotent,
    /// It must never run twice (a checkout; POST).
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// A server of a tenant.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Server {
    /// Its name, the tenant's own.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// Address and port.
    pub address: String,
    /// Requests that it works on at once, about.
    #[serde(rename = "size", default = "size")]
    #[schemars(range(min = 0.01, max = 10_000.0))]
    pub capacity: f64,
    /// Where it stands.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Its kind of machine.
    #[serde(rename = "kind", default, skip_serializing_if = "Option::is_none")]
    pub machine_type: Option<String>,
    /// Whether it takes new work.
    #[serde(default)]
    pub state: State,
    /// Attempts that it takes at once of all tenants that use it, where several do; then all must say the same.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 100_000))]
    pub connections: Option<u64>,
    /// It has been running for long. A server that joins a running service counts as just started otherwise.
    #[serde(default, skip_serializing_if = "is_false")]
    pub warm: bool,
}

fn size() -> f64 {
    1.0
}

#[expect(clippy::trivially_copy_pass_by_ref, reason = "serde's way to ask")]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Whether a server takes new work.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It does.
    #[default]
    Up,
    /// It ends what it has.
    Draining,
}
