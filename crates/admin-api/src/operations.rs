//! The table of all operations. The routes and the OpenAPI document are made from it, so that they can't differ.

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
    Apply, AuditLine, ChangeResult, Comparison, NewToken, RollbackTarget, ServiceStatus, StepDown,
    TenantSummary, TokenRotation, TokenView, Version,
};
use crate::call::{Call, Outcome, Page};
use crate::problem::Problem;
use crate::{tenants, tokens, versions};

/// What a body looks like, in the terms of a schema.
type SchemaOf = fn(&mut SchemaGenerator) -> Value;

/// What an operation does.
#[derive(Clone, Copy)]
pub enum Handler {
    /// The desk decides it.
    State(fn(&mut AdminState, &Call) -> Result<Outcome, Problem>),
    /// A stream of events.
    Events,
    /// The OpenAPI document.
    OpenApi,
    /// Figures of this instance.
    Metrics,
    /// It concerns the cluster that this instance is one of.
    Cluster(ClusterOperation),
}

/// What concerns a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClusterOperation {
    /// How it looks.
    Status,
    /// A member is removed.
    RemoveMember,
    /// Another instance is to lead.
    StepDown,
    /// The instance that is asked has its newest disk, an operator says.
    ConfirmDisk,
    /// All that is agreed on, to be kept elsewhere.
    Backup,
    /// How far the start of the instance that is asked is.
    Recovery,
}

/// One operation of the API.
#[derive(Clone, Copy)]
pub struct Operation {
    /// The method.
    pub method: &'static str,
    /// The path; names in braces are its parameters.
    pub path: &'static str,
    /// Its name in the OpenAPI document.
    pub id: &'static str,
    /// What it does, in a line.
    pub summary: &'static str,
    /// What it asks of a token.
    pub permission: Permission,
    /// The parameters of the query that it looks at.
    pub query: &'static [&'static str],
    /// Its body, if it takes one, and whether it must be there.
    pub body: Option<(SchemaOf, bool)>,
    /// The status and the body of its answer.
    pub response: (u16, SchemaOf),
    /// What it does.
    pub handler: Handler,
}

impl Operation {
    /// What the desk makes of a call; one that was made before gets the answer that it got then.
    ///
    /// # Errors
    /// Why it is turned down.
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

    /// Whether it may change something.
    pub fn is_write(&self) -> bool {
        self.method != "GET"
    }
}

/// What parameters of the query mean.
const QUERY_PARAMETERS: &[(&str, &str, &str)] = &[
    (
        "limit",
        "integer",
        "Members of a page, from 1 to 1,000; 100 without it.",
    ),
    ("after", "string", "What `next` of the page before said."),
    ("dry-run", "boolean", "Only tells what would change."),
    ("from", "integer", "The older version."),
    (
        "to",
        "integer",
        "The newer version; the present one without it.",
    ),
    ("tenant", "string", "Only what concerns this tenant."),
];

fn schema_of<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    generator.subschema_for::<T>().to_value()
}

/// What a path names already need not have its name in the body.
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
        "How the service and its tenants fare";
    GET "/v1/tenants" "listTenants" Read PAGE_QUERY [] 200 Page<TenantSummary>, state(tenants::list),
        "The tenants";
    POST "/v1/tenants" "addTenant" Operator DRY_RUN_QUERY [Tenant] 201 ChangeResult, state(tenants::add),
        "Adds a tenant";
    GET "/v1/tenants/{tenant}" "getTenant" Read NO_QUERY [] 200 Tenant, state(|d, c| tenants::get(d, c, "")),
        "A tenant's document";
    PUT "/v1/tenants/{tenant}" "putTenant" Write DRY_RUN_QUERY [WithoutName<Tenant>] 200 ChangeResult, state(|d, c| tenants::put(d, c, "")),
        "Replaces a tenant's document; an operator also adds one so. Needs If-Match where the tenant is there";
    DELETE "/v1/tenants/{tenant}" "removeTenant" Operator DRY_RUN_QUERY [] 200 ChangeResult, state(|d, c| tenants::remove(d, c, "")),
        "Takes a tenant away, and revokes its tokens. Needs If-Match";
    GET "/v1/tenants/{tenant}/limits" "getLimits" Read NO_QUERY [] 200 Limits, state(|d, c| tenants::get(d, c, "limits")),
        "What a tenant may have";
    PUT "/v1/tenants/{tenant}/limits" "putLimits" Operator DRY_RUN_QUERY [Limits] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "limits")), "Sets what a tenant may have; what it holds beyond that it keeps";
    GET "/v1/tenants/{tenant}/rules" "getRules" Read NO_QUERY [] 200 Rules, state(|d, c| tenants::get(d, c, "rules")),
        "A tenant's rules";
    PUT "/v1/tenants/{tenant}/rules" "putRules" Write DRY_RUN_QUERY [Rules] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "rules")), "Sets a tenant's rules; its module is made anew";
    GET "/v1/tenants/{tenant}/hosts" "getHosts" Read NO_QUERY [] 200 Vec<String>, state(|d, c| tenants::get(d, c, "hosts")),
        "The hosts that lead to a tenant";
    PUT "/v1/tenants/{tenant}/hosts" "putHosts" Operator DRY_RUN_QUERY [Vec<String>] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "hosts")), "Sets the hosts that lead to a tenant";
    GET "/v1/tenants/{tenant}/classes" "listClasses" Read PAGE_QUERY [] 200 Page<Class>,
        state(|d, c| tenants::list_items(d, c, "class")), "A tenant's classes";
    GET "/v1/tenants/{tenant}/classes/{class}" "getClass" Read NO_QUERY [] 200 Class,
        state(|d, c| tenants::get(d, c, "class")), "A class";
    PUT "/v1/tenants/{tenant}/classes/{class}" "putClass" Write DRY_RUN_QUERY [WithoutName<Class>] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "class")), "Adds or replaces a class; the module is made anew";
    DELETE "/v1/tenants/{tenant}/classes/{class}" "removeClass" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::remove(d, c, "class")), "Takes a class away; requests under way end under the old one";
    GET "/v1/tenants/{tenant}/servers" "listServers" Read PAGE_QUERY [] 200 Page<Server>,
        state(|d, c| tenants::list_items(d, c, "server")), "A tenant's servers";
    GET "/v1/tenants/{tenant}/servers/{server}" "getServer" Read NO_QUERY [] 200 Server,
        state(|d, c| tenants::get(d, c, "server")), "A server";
    PUT "/v1/tenants/{tenant}/servers/{server}" "putServer" Write DRY_RUN_QUERY [WithoutName<Server>] 200 ChangeResult,
        state(|d, c| tenants::put(d, c, "server")), "Adds or replaces a server";
    DELETE "/v1/tenants/{tenant}/servers/{server}" "removeServer" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::remove(d, c, "server")), "Takes a server away; it gets nothing new";
    POST "/v1/tenants/{tenant}/servers/{server}/drain" "drainServer" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::set_server_state(d, c, "draining")), "The server ends what it has and gets nothing new";
    POST "/v1/tenants/{tenant}/servers/{server}/resume" "resumeServer" Write DRY_RUN_QUERY [] 200 ChangeResult,
        state(|d, c| tenants::set_server_state(d, c, "up")), "The server takes new work again";
    GET "/v1/tenants/{tenant}/pool" "getPool" Read NO_QUERY [] 200 TenantStatus, state(tenants::pool),
        "How a tenant's pool fares";
    GET "/v1/tenants/{tenant}/versions" "listTenantVersions" Read PAGE_QUERY [] 200 Page<Version>, state(versions::list_of_tenant),
        "A tenant's revisions, the newest first";
    GET "/v1/tenants/{tenant}/versions/{rev}" "getTenantVersion" Read NO_QUERY [] 200 Tenant,
        state(versions::get_of_tenant), "A tenant's document as it was";
    GET "/v1/tenants/{tenant}/diff" "diffTenant" Read RANGE_QUERY [] 200 Comparison, state(versions::diff_tenant),
        "What differs between two revisions of a tenant";
    POST "/v1/tenants/{tenant}/rollback" "rollbackTenant" Write DRY_RUN_QUERY [RollbackTarget] 200 ChangeResult,
        state(versions::rollback_tenant), "Makes a tenant what it was, as a new revision. Needs If-Match";
    GET "/v1/versions" "listVersions" AllTenants PAGE_QUERY [] 200 Page<Version>, state(versions::list),
        "The service's versions, the newest first";
    GET "/v1/versions/{version}" "getVersion" AllTenants NO_QUERY [] 200 Apply, state(versions::get),
        "All tenants as they were";
    GET "/v1/diff" "diff" AllTenants RANGE_QUERY [] 200 Comparison, state(versions::diff),
        "What differs between two versions";
    POST "/v1/rollback" "rollback" Operator DRY_RUN_QUERY [RollbackTarget] 200 ChangeResult, state(versions::rollback),
        "Makes all tenants what they were, as a new version. Needs If-Match";
    POST "/v1/apply" "apply" Write DRY_RUN_QUERY [Apply] 200 ChangeResult, state(tenants::apply),
        "Makes several tenants what is said here, as one version";
    GET "/v1/audit" "listAudit" Read AUDIT_QUERY [] 200 Page<AuditLine>, state(versions::audit),
        "Who changed what, the newest first";
    GET "/v1/tokens" "listTokens" Read PAGE_QUERY [] 200 Page<TokenView>, state(tokens::list),
        "The tokens, without their secrets";
    POST "/v1/tokens" "addToken" Write NO_QUERY [NewToken] 201 TokenView, state(tokens::add),
        "Makes a token; the answer holds it whole, this once";
    GET "/v1/tokens/{token}" "getToken" Read NO_QUERY [] 200 TokenView, state(tokens::get),
        "A token, without its secret";
    DELETE "/v1/tokens/{token}" "revokeToken" Write NO_QUERY [] 200 TokenView, state(tokens::revoke),
        "Ends a token at once";
    POST "/v1/tokens/{token}/rotate" "rotateToken" Write NO_QUERY [TokenRotation, false] 200 TokenView, state(tokens::rotate),
        "Gives a token another secret; the former one stays good for a while";
    GET "/v1/events" "events" Read NO_QUERY [] 200 String, Handler::Events,
        "Server-sent events: versions as they take effect, and how tenants fare";
    GET "/v1/figures" "figures" AllTenants NO_QUERY [] 200 String, Handler::Metrics,
        "Figures of this instance, as Prometheus text: the cluster's, and how tenants fare";
    GET "/v1/cluster" "clusterStatus" AllTenants NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::Status),
        "How the cluster looks: from here, and from the instance that leads";
    DELETE "/v1/cluster/members/{member}" "removeMember" Operator NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::RemoveMember),
        "Removes a member that is gone for good, once it surely decides nothing any more";
    POST "/v1/cluster/step-down" "stepDown" Operator NO_QUERY [StepDown, false] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::StepDown),
        "Lets another instance lead";
    GET "/v1/cluster/recovery" "recovery" AllTenants NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::Recovery),
        "How far the start of the instance that is asked is: its phases, and what it waits for";
    GET "/v1/cluster/backup" "backup" Operator NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::Backup),
        "All that is agreed on, to be kept elsewhere: `canvascart cluster restore` begins anew from it";
    POST "/v1/cluster/vouch" "vouch" Operator NO_QUERY [] 200 Map<String, Value>, Handler::Cluster(ClusterOperation::ConfirmDisk),
        "Says that the instance that is asked has its newest disk, where those who could say so are gone for good";
    GET "/v1/openapi.json" "openapi" Public NO_QUERY [] 200 Map<String, Value>, Handler::OpenApi,
        "This document";
}

/// The OpenAPI document.
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

/// The parameters that a path holds.
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
                "The tag of the revision that the call is meant for, or *.",
            ),
            (
                "Idempotency-Key",
                "A repetition with the same key changes nothing and gets the first answer.",
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
                "description": "why it was turned down",
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
