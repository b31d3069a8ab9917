//! The table of all operations. The routes and the OpenAPI document are built from it, so they always agree.

use std::borrow::Cow;
use std::marker::PhantomData;

use multi_tenant::data_plane::TenantStatus;
use multi_tenant::document::{Class, Limits, Rules, Server, Tenant};
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, Schema, SchemaGenerator};
use serde_json::{Map, Value, json};

use crate::access::Permission;
use crate::admin_state::AdminState;
use crate::bodies::{
    Apply, AuditEntryView, ChangeResult, Comparison, NewToken, RollbackTarget, ServiceStatus,
    StepDown, TenantSummary, TokenRotation, TokenView, Version,
};
use crate::call::{Call, Outcome, Page};
use crate::problem::Problem;
use crate::{tenants, tokens, versions};

/// Generates the schema of a body.
type SchemaOf = fn(&mut SchemaGenerator) -> Value;

/// The handler of an operation.
#[derive(Clone, Copy)]
pub enum Handler {
    /// Decided by the state of the administration API.
    State(fn(&mut AdminState, &Call) -> Result<Outcome, Problem>),
    /// An event stream.
    Events,
    /// The OpenAPI document.
    OpenApi,
    /// Metrics of this instance.
    Metrics,
    /// An operation on the cluster that this instance belongs to.
    Cluster(ClusterOperation),
}

/// An operation on a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterOperation {
    /// Returns the status.
    Status,
    /// Removes a member.
    RemoveMember,
    /// Transfers leadership to another instance.
    StepDown,
    /// Records an operator's confirmation that the called instance has its newest disk.
    ConfirmDisk,
    /// Returns a backup of the agreed state.
    Backup,
    /// Returns the progress of the called instance's startup.
    Recovery,
}

/// One operation of the API.
#[derive(Clone, Copy)]
pub struct Operation {
    /// The HTTP method.
    pub method: &'static str,
    /// The path, with parameters in braces.
    pub path: &'static str,
    /// Id in the OpenAPI document.
    pub id: &'static str,
    /// Summary in one line.
    pub summary: &'static str,
    /// The permission that it requires.
    pub permission: Permission,
    /// The query parameters that it accepts.
    pub query: &'static [&'static str],
    /// The body, if it takes one, and whether the body is required.
    pub body: Option<(SchemaOf, bool)>,
    /// The status and the body of a successful reply.
    pub response: (u16, SchemaOf),
    /// The handler.
    pub handler: Handler,
}

impl Operation {
    /// Decides a call. A repeated write gets the reply of the first one.
    ///
    /// # Errors
    /// The reason for the rejection.
    pub fn run(&self, admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
        let Handler::State(decide) = self.handler else {
            return Err(Problem::internal("it is no operation of the desk"));
        };
        let earlier = if self.is_write() && !call.dry_run()? {
            admin.earlier_reply(call)?
        } else {
            None
        };
        match earlier {
            Some(reply) => Ok(Outcome::Reply(reply)),
            None => decide(admin, call),
        }
    }

    /// Returns whether the operation may change something.
    pub fn is_write(&self) -> bool {
        self.method != "GET"
    }
}

/// Query parameters: name, type and description.
const QUERY_PARAMETERS: &[(&str, &str, &str)] = &[
    (
        "limit",
        "integer",
        "Number of items in a page, from 1 to 1,000; 100 by default.",
    ),
    (
        "after",
        "string",
        "The value of `next` in the previous page.",
    ),
    ("dry-run", "boolean", "Only reports what would change."),
    ("from", "integer", "The older version."),
    (
        "to",
        "integer",
        "The newer version; the current one by default.",
    ),
    ("tenant", "string", "Only entries about this tenant."),
];

fn schema_of<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    generator.subschema_for::<T>().to_value()
}

/// A body whose name may be omitted, because the path contains it.
struct WithoutName<T>(PhantomData<T>);

impl<T: JsonSchema> JsonSchema for WithoutName<T> {
    fn schema_name() -> Cow<'static, str> {
        format!("Unnamed{}", T::schema_name()).into()
    }

    fn json_schema(generator: &mut SchemaGenerator) -> Schema {
        let mut schema = T::json_schema(generator);
        if let Some(required) = schema.get_mut("required").and_then(Value::as_array_mut) {
            required.retain(|key| key != "name");
        }
        schema
    }
}

const PAGE_QUERY: &[&str] = &["limit", "after"];
const DRY_RUN_QUERY: &[&str] = &["dry-run"];
const NO_QUERY: &[&str] = &[];

macro_rules! operations {
    ($($method:ident $path:literal $id:literal $permission:ident $query:ident [$($body:ty $(, $required:literal)?)?] $status:literal
       $response:ty, $handler:expr, $summary:literal;)*) => {
        /// All operations.
        pub const OPERATIONS: &[Operation] = &[$(Operation {
            method: stringify!($method),
            path: $path,
            id: $id,
            summary: $summary,
            permission: Permission::$permission,
            query: $query,
            body: operations!(@body $($body $(, $required)?)?),
            response: ($status, schema_of::<$response>),
            handler: $handler,
        }),*];
    };
    (@body) => { None };
    (@body $body:ty) => { Some((schema_of::<$body>, true)) };
    (@body $body:ty, $required:literal) => { Some((schema_of::<$body>, $required)) };
}

const fn state(decide: fn(&mut AdminState, &Call) -> Result<Outcome, Problem>) -> Handler {
    Handler::State(decide)
}

const AUDIT_QUERY: &[&str] = &["limit", "after", "tenant"];
const RANGE_QUERY: &[&str] = &["from", "to"];

operations! {
    GET "/v1/status" "getStatus" Read NO_QUERY [] 200 ServiceStatus, state(tenants::status),
        "Returns the status of the service and its tenants";
    GET "/v1/tenants" "listTenants" Read PAGE_QUERY [] 200 Page<TenantSummary>, state(tenants::list),
        "Lists the tenants";
    POST "/v1/tenants" "addTenant" Operator DRY_RUN_QUERY [Tenant] 201 ChangeResult, state(tenants::add),
        "Adds a tenant";
    GET "/v1/tenants/{tenant}" "getTenant" Read NO_QUERY [] 200 Tenant, state(|d, c| tenants::get(d, c, "")),
        "Returns a tenant's document";
    PUT "/v1/tenants/{tenant}" "putTenant" Write DRY_RUN_QUERY [WithoutName<Tenant>] 200 ChangeResult, state(|d, c| tenants::put(d, c, "")),
        "Replaces a tenant's document; an operator may also add a tenant this way. Requires If-Match if the tenant exists";
    DELETE "/v1/tenants/{tenant}" "removeTenant" Operator DRY_RUN_QUERY [] 200 ChangeResult, state(|d, c| tenants::remove(d, c, "")),
        "Removes a tenant and revokes its tokens. Requires If-Match";
    GET "/v1/tenants/{tenant}/limits" "getLimits" Read NO_QUERY [] 200 Limits, state(|d, c| tenants::get(d, c, "limits")),
        "Returns a tenant's limits";
    PUT "/v1/tenants/{tenant}/limits" "putLimits" Operator DRY_RUN_QUERY [Limits] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "limits")), "Sets a tenant's limits; what the tenant already uses above a new limit is not taken away";
    GET "/v1/tenants/{tenant}/rules" "getRules" Read NO_QUERY [] 200 Rules, state(|d, c| tenants::get(d, c, "rules")),
        "Returns a tenant's rules";
    PUT "/v1/tenants/{tenant}/rules" "putRules" Write DRY_RUN_QUERY [Rules] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "rules")), "Sets a tenant's rules; its decision module is replaced";
    GET "/v1/tenants/{tenant}/hosts" "getHosts" Read NO_QUERY [] 200 Vec<String>, state(|d, c| tenants::get(d, c, "hosts")),
        "Returns the hosts that route to a tenant";
    PUT "/v1/tenants/{tenant}/hosts" "putHosts" Operator DRY_RUN_QUERY [Vec<String>] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "hosts")), "Sets the hosts that route to a tenant";
    GET "/v1/tenants/{tenant}/classes" "listClasses" Read PAGE_QUERY [] 200 Page<Class>,
        state(|d, c| tenants::list_items(d, c, "class")), "Lists a tenant's classes";
    GET "/v1/tenants/{tenant}/classes/{class}" "getClass" Read NO_QUERY [] 200 Class,
        state(|d, c| tenants::get(d, c, "class")), "Returns a class";
    PUT "/v1/tenants/{tenant}/classes/{class}" "putClass" Write DRY_RUN_QUERY [WithoutName<Class>] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "class")), "Adds or replaces a class; the decision module is replaced";
    DELETE "/v1/tenants/{tenant}/classes/{class}" "removeClass" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::remove(d, c, "class")), "Removes a class; requests in flight finish under the old one";
    GET "/v1/tenants/{tenant}/servers" "listServers" Read PAGE_QUERY [] 200 Page<Server>,
        state(|d, c| tenants::list_items(d, c, "server")), "Lists a tenant's servers";
    GET "/v1/tenants/{tenant}/servers/{server}" "getServer" Read NO_QUERY [] 200 Server,
        state(|d, c| tenants::get(d, c, "server")), "Returns a server";
    PUT "/v1/tenants/{tenant}/servers/{server}" "putServer" Write DRY_RUN_QUERY [WithoutName<Server>] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "server")), "Adds or replaces a server";
    DELETE "/v1/tenants/{tenant}/servers/{server}" "removeServer" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::remove(d, c, "server")), "Removes a server; it gets no new requests";
    POST "/v1/tenants/{tenant}/servers/{server}/drain" "drainServer" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::set_server_state(d, c, "draining")), "Drains a server: it finishes its requests and gets no new ones";
    POST "/v1/tenants/{tenant}/servers/{server}/resume" "resumeServer" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::set_server_state(d, c, "up")), "Ends the drain of a server: it gets new requests again";
    GET "/v1/tenants/{tenant}/pool" "getPool" Read NO_QUERY [] 200 TenantStatus, state(tenants::pool),
        "Returns the status of a tenant's pool";
    GET "/v1/tenants/{tenant}/versions" "listTenantVersions" Read PAGE_QUERY [] 200 Page<Version>, state(versions::list_of_tenant),
        "Lists a tenant's revisions, newest first";
    GET "/v1/tenants/{tenant}/versions/{rev}" "getTenantVersion" Read NO_QUERY [] 200 Tenant,
        state(versions::get_of_tenant), "Returns a revision of a tenant's document";
    GET "/v1/tenants/{tenant}/diff" "diffTenant" Read RANGE_QUERY [] 200 Comparison, state(versions::diff_tenant),
        "Compares two revisions of a tenant";
    POST "/v1/tenants/{tenant}/rollback" "rollbackTenant" Write DRY_RUN_QUERY [RollbackTarget] 200 ChangeResult,
        state(versions::rollback_tenant), "Restores an earlier revision of a tenant as a new revision. Requires If-Match";
    GET "/v1/versions" "listVersions" AllTenants PAGE_QUERY [] 200 Page<Version>, state(versions::list),
        "Lists the service's versions, newest first";
    GET "/v1/versions/{version}" "getVersion" AllTenants NO_QUERY [] 200 Apply, state(versions::get),
        "Returns all tenants of a version";
    GET "/v1/diff" "diff" AllTenants RANGE_QUERY [] 200 Comparison, state(versions::diff),
        "Compares two versions";
    POST "/v1/rollback" "rollback" Operator DRY_RUN_QUERY [RollbackTarget] 200 ChangeResult, state(versions::rollback),
        "Restores all tenants of an earlier version as a new version. Requires If-Match";
    POST "/v1/apply" "apply" Write DRY_RUN_QUERY [Apply] 200 ChangeResult, state(tenants::apply),
        "Replaces several tenants in one version";
    GET "/v1/audit" "listAudit" Read AUDIT_QUERY [] 200 Page<AuditEntryView>, state(versions::audit),
        "Lists the audit log, newest first";
    GET "/v1/tokens" "listTokens" Read PAGE_QUERY [] 200 Page<TokenView>, state(tokens::list),
        "Lists the tokens, without their secrets";
    POST "/v1/tokens" "addToken" Write NO_QUERY [NewToken] 201 TokenView, state(tokens::add),
        "Creates a token; the reply contains the token text, this once";
    GET "/v1/tokens/{token}" "getToken" Read NO_QUERY [] 200 TokenView, state(tokens::get),
        "Returns a token, without its secret";
    DELETE "/v1/tokens/{token}" "revokeToken" Write NO_QUERY [] 200 TokenView, state(tokens::revoke),
        "Revokes a token at once";
    POST "/v1/tokens/{token}/rotate" "rotateToken" Write NO_QUERY [TokenRotation, false] 200 TokenView, state(tokens::rotate),
        "Replaces the secret of a token; the previous one stays valid for a while";
    GET "/v1/events" "events" Read NO_QUERY [] 200 String, Handler::Events,
        "Server-sent events: versions as they take effect, and the status of tenants";
    GET "/v1/figures" "figures" AllTenants NO_QUERY [] 200 String, Handler::Metrics,
        "Metrics of this instance as Prometheus text, for the cluster and the tenants";
    GET "/v1/cluster" "clusterStatus" AllTenants NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::Status),
        "Returns the cluster status as seen by this instance and by the leader";
    DELETE "/v1/cluster/members/{member}" "removeMember" Operator NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::RemoveMember),
        "Removes a member that is permanently lost, once it can no longer decide requests";
    POST "/v1/cluster/step-down" "stepDown" Operator NO_QUERY [StepDown, false] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::StepDown),
        "Transfers leadership to another instance";
    GET "/v1/cluster/recovery" "recovery" AllTenants NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::Recovery),
        "Returns the progress of the called instance's startup: its phases, and what it waits for";
    GET "/v1/cluster/backup" "backup" Operator NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::Backup),
        "Returns a backup of the agreed state, from which `canvascart cluster restore` starts a new cluster";
    POST "/v1/cluster/vouch" "vouch" Operator NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::ConfirmDisk),
        "Confirms that the called instance has its newest disk, if the members that could confirm it are permanently lost";
    GET "/v1/openapi.json" "openapi" Public NO_QUERY [] 200 Map<String, Value>, Handler::OpenApi,
        "This document";
}

/// Returns the OpenAPI document.
pub fn openapi() -> Value {
    let settings =
        SchemaSettings::draft2020_12().with(|s| s.definitions_path = "/components/schemas".into());
    let mut generator = settings.into_generator();
    let mut paths: Map<String, Value> = Map::new();
    for operation in OPERATIONS {
        let path = paths.entry(operation.path).or_insert_with(|| json!({}));
        path[operation.method.to_lowercase()] = describe(operation, &mut generator);
    }
    let mut schemas = generator.take_definitions(true);
    schemas.insert("Problem".into(), problem_schema());
    json!({
        "openapi": "3.1.0",
        "info": {
            "title": "canvascart administration",
            "version": "1",
            "description": "Tenants of the hosted service: servers, classes, limits, versions, tokens. See docs/admin-api.md.",
        },
        "security": [{ "token": [] }],
        "paths": paths,
        "components": {
            "securitySchemes": { "token": { "type": "http", "scheme": "bearer" } },
            "schemas": schemas,
        },
    })
}

/// Returns the parameters of a path.
fn path_parameters(path: &str) -> impl Iterator<Item = &str> {
    path.split('/')
        .filter_map(|part| part.strip_prefix('{')?.strip_suffix('}'))
}

fn describe(operation: &Operation, generator: &mut SchemaGenerator) -> Value {
    let in_path = path_parameters(operation.path)
        .map(|name| json!({ "name": name, "in": "path", "required": true, "schema": { "type": "string" } }));
    let accepted = QUERY_PARAMETERS
        .iter()
        .filter(|(name, ..)| operation.query.contains(name));
    let in_query = accepted.map(|(name, kind, what)| {
        let required = *name == "from";
        json!({ "name": name, "in": "query", "required": required, "description": what, "schema": { "type": kind } })
    });
    let mut parameters: Vec<Value> = in_path.chain(in_query).collect();
    if operation.is_write() {
        for (name, what) in [
            (
                "If-Match",
                "The entity tag of the revision that the call is meant for, or *.",
            ),
            (
                "Idempotency-Key",
                "A repetition with the same key changes nothing and gets the first reply.",
            ),
        ] {
            parameters.push(
                json!({ "name": name, "in": "header", "description": what, "schema": { "type": "string" } }),
            );
        }
    }
    let (status, answer) = operation.response;
    let media = match operation.handler {
        Handler::Events => "text/event-stream",
        Handler::Metrics => "text/plain",
        _ => "application/json",
    };
    let mut described = json!({
        "operationId": operation.id,
        "summary": operation.summary,
        "parameters": parameters,
        "responses": {
            status.to_string(): { "description": "done", "content": { media: { "schema": answer(generator) } } },
            "default": {
                "description": "the reason for the rejection",
                "content": { "application/problem+json": { "schema": { "$ref": "#/components/schemas/Problem" } } },
            },
        },
    });
    if operation.permission == Permission::Public {
        described["security"] = json!([]);
    }
    if let Some((body, required)) = operation.body {
        described["requestBody"] = json!({ "required": required, "content": { "application/json": { "schema": body(generator) } } });
    }
    described
}

fn problem_schema() -> Value {
    let kinds: Vec<String> = Problem::KINDS
        .iter()
        .map(|(_, kind, _)| format!("/problems/{kind}"))
        .collect();
    json!({
        "type": "object",
        "description": "A problem document (RFC 9457).",
        "required": ["type", "title", "status", "detail", "instance"],
        "properties": {
            "type": { "enum": kinds },
            "title": { "type": "string" },
            "status": { "type": "integer" },
            "detail": { "type": "string" },
            "instance": { "type": "string" },
            "errors": {
                "type": "array",
                "items": {
                    "type": "object",
                    "required": ["pointer", "detail"],
                    "properties": { "pointer": { "type": "string" }, "detail": { "type": "string" } },
                },
            },
        },
    })
}
