//! The table of all operations. The routes and the OpenAPI document are made from it, so that they can't differ.

use std::borrow::Cow;
use std::marker::PhantomData;

use multi_tenant::data_plane::TenantStatus;
use multi_tenant::document::{Class, Limits, Rules, Server, Tenant};
use schemars::generate::SchemaSettings;
use schemars::{JsonSchema, Schema, SchemaGenerator};
use serde_json::{Map, Value, json};

use crate::access::Needs;
use crate::answers::{
    Apply, Back, Compared, Line, Listed, NewToken, Rotate, ServiceStatus, StepDown, TokenView,
    Version, Written,
};
use crate::call::{Call, Outcome, Page};
use crate::desk::Desk;
use crate::problem::Problem;
use crate::{tenants, tokens, versions};

/// What a body looks like, in the terms of a schema.
type Shape = fn(&mut SchemaGenerator) -> Value;

/// What an operation does.
#[derive(Clone, Copy)]
pub enum Act {
    /// The desk decides it.
    Desk(fn(&mut Desk, &Call) -> Result<Outcome, Problem>),
    /// A stream of events.
    Events,
    /// The OpenAPI document.
    Document,
    /// Figures of this instance.
    Figures,
    /// It concerns the cluster that this instance is one of.
    Together(Joint),
}

/// What concerns a cluster.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Joint {
    /// How it looks.
    Status,
    /// A member is removed.
    Remove,
    /// Another instance is to lead.
    StepDown,
    /// The instance that is asked has its newest disk, an operator says.
    Vouch,
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
    pub needs: Needs,
    /// The parameters of the query that it looks at.
    pub query: &'static [&'static str],
    /// Its body, if it takes one, and whether it must be there.
    pub body: Option<(Shape, bool)>,
    /// The status and the body of its answer.
    pub answer: (u16, Shape),
    /// What it does.
    pub act: Act,
}

impl Operation {
    /// What the desk makes of a call; one that was made before gets the answer that it got then.
    ///
    /// # Errors
    /// Why it is turned down.
    pub fn act_on(&self, desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
        let Act::Desk(act) = self.act else {
            return Err(Problem::internal("it is no operation of the desk"));
        };
        let repeated = if self.writes() && !call.dry_run()? {
            desk.repeated(call)?
        } else {
            None
        };
        match repeated {
            Some(reply) => Ok(Outcome::Reply(reply)),
            None => act(desk, call),
        }
    }

    /// Whether it may change something.
    pub fn writes(&self) -> bool {
        self.method != "GET"
    }
}

/// What parameters of the query mean.
const QUERY: &[(&str, &str, &str)] = &[
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

fn shape<T: JsonSchema>(generator: &mut SchemaGenerator) -> Value {
    generator.subschema_for::<T>().to_value()
}

/// What a path names already need not have its name in the body.
struct Unnamed<T>(PhantomData<T>);

impl<T: JsonSchema> JsonSchema for Unnamed<T> {
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

const PAGED: &[&str] = &["limit", "after"];
const DRY: &[&str] = &["dry-run"];
const NONE: &[&str] = &[];

macro_rules! operations {
    ($($method:ident $path:literal $id:literal $needs:ident $query:ident [$($body:ty $(, $must:literal)?)?] $status:literal
       $answer:ty, $act:expr, $summary:literal;)*) => {
        /// All operations.
        pub const OPERATIONS: &[Operation] = &[$(Operation {
            method: stringify!($method),
            path: $path,
            id: $id,
            summary: $summary,
            needs: Needs::$needs,
            query: $query,
            body: operations!(@body $($body $(, $must)?)?),
            answer: ($status, shape::<$answer>),
            act: $act,
        }),*];
    };
    (@body) => { None };
    (@body $body:ty) => { Some((shape::<$body>, true)) };
    (@body $body:ty, $must:literal) => { Some((shape::<$body>, $must)) };
}

const fn desk(act: fn(&mut Desk, &Call) -> Result<Outcome, Problem>) -> Act {
    Act::Desk(act)
}

const AUDIT: &[&str] = &["limit", "after", "tenant"];
const SPAN: &[&str] = &["from", "to"];

operations! {
    GET "/v1/status" "getStatus" Read NONE [] 200 ServiceStatus, desk(tenants::status),
        "How the service and its tenants fare";
    GET "/v1/tenants" "listTenants" Read PAGED [] 200 Page<Listed>, desk(tenants::list),
        "The tenants";
    POST "/v1/tenants" "addTenant" Operate DRY [Tenant] 201 Written, desk(tenants::add),
        "Adds a tenant";
    GET "/v1/tenants/{tenant}" "getTenant" Read NONE [] 200 Tenant, desk(|d, c| tenants::get(d, c, "")),
        "A tenant's document";
    PUT "/v1/tenants/{tenant}" "putTenant" Write DRY [Unnamed<Tenant>] 200 Written, desk(|d, c| tenants::put(d, c, "")),
        "Replaces a tenant's document; an operator also adds one so. Needs If-Match where the tenant is there";
    DELETE "/v1/tenants/{tenant}" "removeTenant" Operate DRY [] 200 Written, desk(|d, c| tenants::remove(d, c, "")),
        "Takes a tenant away, and revokes its tokens. Needs If-Match";
    GET "/v1/tenants/{tenant}/limits" "getLimits" Read NONE [] 200 Limits, desk(|d, c| tenants::get(d, c, "limits")),
        "What a tenant may have";
    PUT "/v1/tenants/{tenant}/limits" "putLimits" Operate DRY [Limits] 200 Written,
        desk(|d, c| tenants::put(d, c, "limits")), "Sets what a tenant may have; what it holds beyond that it keeps";
    GET "/v1/tenants/{tenant}/rules" "getRules" Read NONE [] 200 Rules, desk(|d, c| tenants::get(d, c, "rules")),
        "A tenant's rules";
    PUT "/v1/tenants/{tenant}/rules" "putRules" Write DRY [Rules] 200 Written,
        desk(|d, c| tenants::put(d, c, "rules")), "Sets a tenant's rules; its module is made anew";
    GET "/v1/tenants/{tenant}/hosts" "getHosts" Read NONE [] 200 Vec<String>, desk(|d, c| tenants::get(d, c, "hosts")),
        "The hosts that lead to a tenant";
    PUT "/v1/tenants/{tenant}/hosts" "putHosts" Operate DRY [Vec<String>] 200 Written,
        desk(|d, c| tenants::put(d, c, "hosts")), "Sets the hosts that lead to a tenant";
    GET "/v1/tenants/{tenant}/classes" "listClasses" Read PAGED [] 200 Page<Class>,
        desk(|d, c| tenants::members(d, c, "class")), "A tenant's classes";
    GET "/v1/tenants/{tenant}/classes/{class}" "getClass" Read NONE [] 200 Class,
        desk(|d, c| tenants::get(d, c, "class")), "A class";
    PUT "/v1/tenants/{tenant}/classes/{class}" "putClass" Write DRY [Unnamed<Class>] 200 Written,
        desk(|d, c| tenants::put(d, c, "class")), "Adds or replaces a class; the module is made anew";
    DELETE "/v1/tenants/{tenant}/classes/{class}" "removeClass" Write DRY [] 200 Written,
        desk(|d, c| tenants::remove(d, c, "class")), "Takes a class away; requests under way end under the old one";
    GET "/v1/tenants/{tenant}/servers" "listServers" Read PAGED [] 200 Page<Server>,
        desk(|d, c| tenants::members(d, c, "server")), "A tenant's servers";
    GET "/v1/tenants/{tenant}/servers/{server}" "getServer" Read NONE [] 200 Server,
        desk(|d, c| tenants::get(d, c, "server")), "A server";
    PUT "/v1/tenants/{tenant}/servers/{server}" "putServer" Write DRY [Unnamed<Server>] 200 Written,
        desk(|d, c| tenants::put(d, c, "server")), "Adds or replaces a server";
    DELETE "/v1/tenants/{tenant}/servers/{server}" "removeServer" Write DRY [] 200 Written,
        desk(|d, c| tenants::remove(d, c, "server")), "Takes a server away; it gets nothing new";
    POST "/v1/tenants/{tenant}/servers/{server}/drain" "drainServer" Write DRY [] 200 Written,
        desk(|d, c| tenants::drain(d, c, "draining")), "The server ends what it has and gets nothing new";
    POST "/v1/tenants/{tenant}/servers/{server}/resume" "resumeServer" Write DRY [] 200 Written,
        desk(|d, c| tenants::drain(d, c, "up")), "The server takes new work again";
    GET "/v1/tenants/{tenant}/pool" "getPool" Read NONE [] 200 TenantStatus, desk(tenants::pool),
        "How a tenant's pool fares";
    GET "/v1/tenants/{tenant}/versions" "listTenantVersions" Read PAGED [] 200 Page<Version>, desk(versions::of_tenant),
        "A tenant's revisions, the newest first";
    GET "/v1/tenants/{tenant}/versions/{rev}" "getTenantVersion" Read NONE [] 200 Tenant,
        desk(versions::one_of_tenant), "A tenant's document as it was";
    GET "/v1/tenants/{tenant}/diff" "diffTenant" Read SPAN [] 200 Compared, desk(versions::diff_of_tenant),
        "What differs between two revisions of a tenant";
    POST "/v1/tenants/{tenant}/rollback" "rollbackTenant" Write DRY [Back] 200 Written,
        desk(versions::back_of_tenant), "Makes a tenant what it was, as a new revision. Needs If-Match";
    GET "/v1/versions" "listVersions" Oversee PAGED [] 200 Page<Version>, desk(versions::all),
        "The service's versions, the newest first";
    GET "/v1/versions/{version}" "getVersion" Oversee NONE [] 200 Apply, desk(versions::one),
        "All tenants as they were";
    GET "/v1/diff" "diff" Oversee SPAN [] 200 Compared, desk(versions::diff),
        "What differs between two versions";
    POST "/v1/rollback" "rollback" Operate DRY [Back] 200 Written, desk(versions::back),
        "Makes all tenants what they were, as a new version. Needs If-Match";
    POST "/v1/apply" "apply" Write DRY [Apply] 200 Written, desk(tenants::apply),
        "Makes several tenants what is said here, as one version";
    GET "/v1/audit" "listAudit" Read AUDIT [] 200 Page<Line>, desk(versions::audit),
        "Who changed what, the newest first";
    GET "/v1/tokens" "listTokens" Read PAGED [] 200 Page<TokenView>, desk(tokens::list),
        "The tokens, without their secrets";
    POST "/v1/tokens" "addToken" Write NONE [NewToken] 201 TokenView, desk(tokens::add),
        "Makes a token; the answer holds it whole, this once";
    GET "/v1/tokens/{token}" "getToken" Read NONE [] 200 TokenView, desk(tokens::get),
        "A token, without its secret";
    DELETE "/v1/tokens/{token}" "revokeToken" Write NONE [] 200 TokenView, desk(tokens::revoke),
        "Ends a token at once";
    POST "/v1/tokens/{token}/rotate" "rotateToken" Write NONE [Rotate, false] 200 TokenView, desk(tokens::rotate),
        "Gives a token another secret; the former one stays good for a while";
    GET "/v1/events" "events" Read NONE [] 200 String, Act::Events,
        "Server-sent events: versions as they take effect, and how tenants fare";
    GET "/v1/figures" "figures" Oversee NONE [] 200 String, Act::Figures,
        "Figures of this instance, as Prometheus text: the cluster's, and how tenants fare";
    GET "/v1/cluster" "clusterStatus" Oversee NONE [] 200 Map<String, Value>, Act::Together(Joint::Status),
        "How the cluster looks: from here, and from the instance that leads";
    DELETE "/v1/cluster/members/{member}" "removeMember" Operate NONE [] 200 Map<String, Value>, Act::Together(Joint::Remove),
        "Removes a member that is gone for good, once it surely decides nothing any more";
    POST "/v1/cluster/step-down" "stepDown" Operate NONE [StepDown, false] 200 Map<String, Value>, Act::Together(Joint::StepDown),
        "Lets another instance lead";
    GET "/v1/cluster/recovery" "recovery" Oversee NONE [] 200 Map<String, Value>, Act::Together(Joint::Recovery),
        "How far the start of the instance that is asked is: its phases, and what it waits for";
    GET "/v1/cluster/backup" "backup" Operate NONE [] 200 Map<String, Value>, Act::Together(Joint::Backup),
        "All that is agreed on, to be kept elsewhere: `canvascart cluster restore` begins anew from it";
    POST "/v1/cluster/vouch" "vouch" Operate NONE [] 200 Map<String, Value>, Act::Together(Joint::Vouch),
        "Says that the instance that is asked has its newest disk, where those who could say so are gone for good";
    GET "/v1/openapi.json" "openapi" Nothing NONE [] 200 Map<String, Value>, Act::Document,
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
        path[operation.method.to_lowercase()] = described(operation, &mut generator);
    }
    let mut schemas = generator.take_definitions(true);
    schemas.insert("Problem".into(), problem());
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
fn names(path: &str) -> impl Iterator<Item = &str> {
    path.split('/')
        .filter_map(|part| part.strip_prefix('{')?.strip_suffix('}'))
}

fn described(operation: &Operation, generator: &mut SchemaGenerator) -> Value {
    let in_path = names(operation.path)
        .map(|name| json!({ "name": name, "in": "path", "required": true, "schema": { "type": "string" } }));
    let asked = QUERY
        .iter()
        .filter(|(name, ..)| operation.query.contains(name));
    let in_query = asked.map(|(name, kind, what)| {
        let required = *name == "from";
        json!({ "name": name, "in": "query", "required": required, "description": what, "schema": { "type": kind } })
    });
    let mut parameters: Vec<Value> = in_path.chain(in_query).collect();
    if operation.writes() {
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
    let (status, answer) = operation.answer;
    let media = match operation.act {
        Act::Events => "text/event-stream",
        Act::Figures => "text/plain",
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
    if operation.needs == Needs::Nothing {
        described["security"] = json!([]);
    }
    if let Some((body, required)) = operation.body {
        described["requestBody"] = json!({ "required": required, "content": { "application/json": { "schema": body(generator) } } });
    }
    described
}

fn problem() -> Value {
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
