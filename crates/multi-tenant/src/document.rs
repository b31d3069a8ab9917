//! The service's configuration document: the process, its listeners and its tenants. The JSON schema
//! is derived from these types.

use config_parser::units::{Bytes, Fraction, Milliseconds};
use schemars::JsonSchema;
use serde::{Deserialize, Serialize};

/// Configuration of the whole service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Service {
    /// Limits of the process.
    #[serde(default)]
    pub process: Process,
    /// Listeners that accept requests.
    #[serde(rename = "listener")]
    #[schemars(length(min = 1, max = 64))]
    pub listeners: Vec<Listener>,
    /// Address of the administration API.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Admin")]
    pub admin: Option<Admin>,
    /// Storage of the configuration versions.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "StateStore")]
    pub state: Option<StateStore>,
    /// Cluster that this instance belongs to.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(with = "Cluster")]
    pub cluster: Option<Cluster>,
    /// Tenants. With `state` these are only imported into an empty store.
    #[serde(rename = "tenant", default)]
    #[schemars(length(max = 100_000))]
    pub tenants: Vec<Tenant>,
}

/// Limits of the process, shared by all tenants. They can't be changed while the process runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Process {
    /// Maximum number of client connections.
    #[schemars(range(min = 16, max = 1_000_000))]
    pub sockets: u64,
    /// Maximum number of connections to servers.
    #[schemars(range(min = 16, max = 1_000_000))]
    pub server_sockets: u64,
    /// Maximum number of requests without a final response.
    #[schemars(range(min = 1, max = 1_000_000))]
    pub in_flight: u64,
    /// Maximum memory for buffered request data.
    pub bytes: Bytes,
    /// Fraction of the event loop's time for processing admitted requests.
    pub loop_share: Fraction,
    /// Fraction of the event loop's time for rejecting requests.
    #[serde(rename = "turning-share")]
    pub rejection_share: Fraction,
    /// Fraction of each resource that tenants above their share leave free for idle tenants.
    #[serde(rename = "newcomers")]
    pub idle_reserve: Fraction,
    /// Maximum number of active tenants, which have a pool in memory; all others are inactive. Tenants
    /// with endpoint discovery are always active and count towards it.
    #[schemars(range(min = 1, max = 100_000))]
    #[serde(rename = "resident-tenants")]
    pub max_active_tenants: u64,
    /// Time without requests after which a tenant is deactivated.
    #[serde(rename = "rest-after")]
    pub idle_timeout: Milliseconds,
    /// Seed of the random numbers of load balancing; random at each start if it is missing.
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

/// Address of the administration API. It needs `state` and can't be changed while the process runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Admin {
    /// Address and port, on loopback unless `anywhere` is set: tokens are sent without encryption.
    pub address: String,
    /// Allows an address other than loopback.
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

/// Storage of the configuration versions. It can't be changed while the process runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Durable")]
pub struct StateStore {
    /// Directory; it is created if it doesn't exist.
    #[schemars(length(min = 1))]
    pub directory: String,
    /// Number of versions kept for a rollback.
    #[serde(default = "default_keep_versions")]
    #[schemars(range(min = 1, max = 1_000_000))]
    pub keep_versions: u64,
}

fn default_keep_versions() -> u64 {
    1000
}

/// Cluster of instances. It needs `state`, where its log is stored, and can't be changed while the
/// process runs. Settings marked as agreed are fixed for all instances when the cluster is created.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Cluster {
    /// Name of the cluster.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub name: String,
    /// Name of this instance in the cluster.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub instance: String,
    /// Address and port for connections from other instances.
    pub address: String,
    /// Zone of this instance; voters are spread over zones.
    #[serde(default = "default_zone")]
    #[schemars(length(min = 1, max = 64))]
    pub zone: String,
    /// File with the key that all instances share, of at least 16 bytes.
    pub key_file: String,
    /// Other instances and their addresses. A cluster is created once all of these are reachable and list
    /// the same instances.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub peers: std::collections::BTreeMap<String, String>,
    /// Number of voters (agreed).
    #[serde(default = "default_voters")]
    #[schemars(range(min = 1, max = 9))]
    pub voters: usize,
    /// Time for which an instance may serve requests after its last contact with the leader (agreed).
    #[serde(default = "default_lease")]
    pub lease: Milliseconds,
    /// Lease of an instance that is ready to apply a pending change (agreed).
    #[serde(default = "default_change_lease")]
    pub change_lease: Milliseconds,
    /// Maximum deviation of a clock's rate from true time (agreed).
    #[serde(default = "default_drift")]
    pub drift: Fraction,
    /// Time after which an undecided change is abandoned (agreed).
    #[serde(default = "one_minute")]
    pub deadline: Milliseconds,
    /// Behavior of an instance that has lost contact with the cluster (agreed).
    #[serde(default)]
    pub when_cut_off: WhenCutOff,
    /// Maximum time that a request waits for a change to take effect.
    #[serde(rename = "hold", default = "default_max_wait")]
    pub max_wait: Milliseconds,
    /// Approximate retry delay sent to rejected clients.
    #[serde(default = "one_second")]
    pub retry_after: Milliseconds,
    /// Number of entries after which the log is compacted; an instance that lags by more receives a
    /// snapshot of the state.
    #[serde(default = "default_log_entries")]
    #[schemars(range(min = 16, max = 1_000_000))]
    pub log_entries: u64,
    /// Maximum time that the instance waits after its start for the server lists of all tenants with
    /// endpoint discovery.
    #[serde(default = "default_list_wait")]
    pub list_wait: Milliseconds,
    /// Behavior after this time if server lists are still unknown.
    #[serde(default)]
    pub when_list_unknown: WhenListUnknown,
    /// Adds the header X-Canvascart-Decided, with the version and time of the routing decision, to responses
    /// and to requests to servers.
    #[serde(rename = "stamps", default)]
    pub send_stamps: bool,
}

/// Behavior of an instance that lacks server lists of tenants when its wait after the start is over.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WhenListUnknown {
    /// Accepts requests; the pools of tenants whose list is unknown reject theirs.
    #[default]
    Serve,
    /// Rejects all requests until the last list is known.
    #[serde(rename = "refuse")]
    Reject,
}

/// Behavior of an instance that has lost contact with the cluster.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum WhenCutOff {
    /// Rejects requests when its lease has expired; changes continue without it.
    #[default]
    #[serde(rename = "refuse")]
    Reject,
    /// Continues to serve; a change waits for it and is abandoned at its deadline.
    Serve,
}

fn default_zone() -> String {
    "here".into()
}

fn default_list_wait() -> Milliseconds {
    Milliseconds(10_000.0)
}

fn default_log_entries() -> u64 {
    1024
}

fn default_voters() -> usize {
    3
}

fn default_lease() -> Milliseconds {
    Milliseconds(15_000.0)
}

fn default_change_lease() -> Milliseconds {
    Milliseconds(3000.0)
}

fn default_drift() -> Fraction {
    Fraction(0.02)
}

fn default_max_wait() -> Milliseconds {
    Milliseconds(200.0)
}

fn one_second() -> Milliseconds {
    Milliseconds(1000.0)
}

/// Listener that accepts requests.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Listener {
    /// Name in logs and metrics.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub name: String,
    /// Address and port.
    pub address: String,
    /// Source of the tenant of a request.
    pub tenant_by: TenantBy,
    /// Tenant of all requests if `tenant-by` is `listener`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub tenant: Option<String>,
}

/// Source of the tenant of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum TenantBy {
    /// The listener; all its requests belong to one tenant.
    Listener,
    /// The header Host, which is matched with the `hosts` of the tenants.
    Host,
    /// The header X-Tenant-Id, which contains the name of the tenant.
    Header,
}

/// Tenant, which is served by a pool of its own.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Tenant {
    /// Unique name of the tenant.
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub name: String,
    /// Host names of the tenant, for listeners with `tenant-by` set to `host`.
    #[serde(default)]
    #[schemars(length(max = 100))]
    pub hosts: Vec<String>,
    /// Limits on shared resources.
    #[serde(default)]
    pub limits: Limits,
    /// Properties of its servers and rules for retries and timeouts.
    #[serde(default)]
    pub rules: Rules,
    /// Classes of requests.
    #[serde(rename = "class")]
    #[schemars(length(min = 1, max = 64))]
    pub classes: Vec<Class>,
    /// Endpoint discovery; without it `server` is the list of servers.
    #[serde(rename = "fleet", default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<DiscoverySettings>,
    /// Servers of the tenant.
    #[serde(rename = "server", default)]
    #[schemars(length(max = 10_000))]
    pub servers: Vec<Server>,
}

/// Endpoint discovery of a tenant's servers in etcd.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Fleet")]
pub struct DiscoverySettings {
    /// URLs of etcd members, such as `http://127.0.0.1:2379`.
    #[schemars(length(min = 1, max = 16))]
    pub etcd: Vec<String>,
    /// Prefix of the keys.
    #[serde(default = "default_prefix")]
    #[schemars(length(min = 1, max = 256))]
    pub prefix: String,
    /// Name of the pool in the keys; the name of the tenant if it is missing.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(regex(pattern = r"^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$"))]
    pub pool: Option<String>,
    /// File with NAME:PASSWORD if etcd requires authentication.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub user_file: Option<String>,
    /// Fraction of the servers with leases: if more than it lose their leases at the same time, these
    /// servers are retained for `hold`. 100 % disables this.
    #[serde(rename = "guard", default = "default_mass_expiry_ratio")]
    pub mass_expiry_ratio: Fraction,
    /// Time for which such servers are retained.
    #[serde(rename = "hold", default = "one_minute")]
    pub retention: Milliseconds,
}

fn default_prefix() -> String {
    "/canvascart/v1".into()
}

fn default_mass_expiry_ratio() -> Fraction {
    Fraction(0.5)
}

fn one_minute() -> Milliseconds {
    Milliseconds(60_000.0)
}

/// Limits of a tenant on resources that all tenants share. Maximum values apply even while other tenants
/// are idle; without one, only the tenant's fair share applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Weight of the tenant's share relative to other tenants.
    #[schemars(range(min = 0.001, max = 1000.0))]
    pub weight: f64,
    /// Maximum number of client connections.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub sockets: Option<u64>,
    /// Maximum number of requests in flight.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub in_flight: Option<u64>,
    /// Maximum memory for buffered request data.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub bytes: Option<Bytes>,
    /// Maximum fraction of the event loop's time.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub loop_share: Option<Fraction>,
    /// Event loop time that the tenant may use at once after it was idle.
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

/// Properties of a tenant's servers and rules for retries and timeouts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Rules {
    /// Maximum number of attempts for a request.
    #[schemars(range(min = 1, max = 10))]
    pub max_attempts: u32,
    /// Fraction of its capacity that a server has when it has just started.
    #[serde(rename = "cold-from")]
    pub initial_capacity: Fraction,
    /// Time from the start of a server until it has its full capacity.
    #[serde(rename = "cold")]
    pub warm_up: Milliseconds,
    /// Timeout for opening a connection to a server.
    #[serde(rename = "dial-timeout")]
    pub connect_timeout: Milliseconds,
    /// Idle time after which servers close a connection.
    #[serde(rename = "idle-close")]
    pub idle_timeout: Milliseconds,
    /// Maximum retry delay sent to rejected clients.
    pub retry_after: Milliseconds,
    /// Zone of this process.
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

/// Class of requests, selected by the first segment of the request path.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Class {
    /// Name of the class.
    #[schemars(regex(pattern = r"^[A-Za-z0-9._~-]{1,64}$"))]
    pub name: String,
    /// Idempotency of the requests.
    #[serde(rename = "effect")]
    pub idempotency: Idempotency,
    /// Latency objective: a response within this time counts with the full weight.
    #[serde(rename = "aim")]
    pub latency_objective: Milliseconds,
    /// Maximum time that a client waits for the response.
    pub deadline: Milliseconds,
    /// Priority weight of a response within the latency objective, relative to other classes.
    #[serde(rename = "worth", default = "default_priority_weight")]
    #[schemars(range(min = 0.0, max = 1e6))]
    pub priority_weight: f64,
    /// Fraction of the weight for a response after the latency objective.
    #[serde(rename = "late-worth", default)]
    pub late_weight_fraction: Fraction,
}

fn default_priority_weight() -> f64 {
    1.0
}

/// Idempotency of requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
#[schemars(rename = "Effect")]
pub enum Idempotency {
    /// A request may be repeated, such as a lookup with GET.
    #[serde(rename = "safe")]
    Idempotent,
    /// A request must not run twice, such as a checkout with POST.
    #[serde(rename = "unsafe")]
    NonIdempotent,
}

/// Server of a tenant, an endpoint of its pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Server {
    /// Name, unique within the tenant.
    #[schemars(length(min = 1, max = 128))]
    pub name: String,
    /// Address and port.
    pub address: String,
    /// Approximate number of requests that the server processes at once.
    #[serde(rename = "size", default = "default_capacity")]
    #[schemars(range(min = 0.01, max = 10_000.0))]
    pub capacity: f64,
    /// Zone of the server.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Machine type of the server.
    #[serde(rename = "kind", default, skip_serializing_if = "Option::is_none")]
    pub machine_type: Option<String>,
    /// State of the server.
    #[serde(default)]
    pub state: State,
    /// Maximum number of concurrent attempts of all tenants together, for a server that several tenants use.
    /// All of them have to set the same value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    #[schemars(range(min = 1, max = 100_000))]
    pub connections: Option<u64>,
    /// Skips the warm-up; otherwise a server that is added to a running service counts as just started.
    #[serde(default, skip_serializing_if = "is_false")]
    pub warm: bool,
}

fn default_capacity() -> f64 {
    1.0
}

#[expect(
    clippy::trivially_copy_pass_by_ref,
    reason = "signature required by serde"
)]
fn is_false(flag: &bool) -> bool {
    !flag
}

/// State of a server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts new requests.
    #[default]
    Up,
    /// Finishes its requests and accepts no new ones.
    Draining,
}
