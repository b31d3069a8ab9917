//! A parsed API call, and its outcome.

use std::collections::BTreeMap;

use multi_tenant::plan::PreparedChange;
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::access::Principal;
use crate::admin_state::AgreedChange;
use crate::events::VersionEvent;
use crate::problem::Problem;

/// An API call whose request was read completely.
#[derive(Clone, Debug)]
pub struct Call {
    /// Id of the call if another instance forwarded it, or may forward it again.
    pub id: Option<String>,
    /// The authenticated caller.
    pub principal: Principal,
    /// Parameters of the path by name.
    pub path: BTreeMap<String, String>,
    /// Parameters of the query by name.
    pub query: BTreeMap<String, String>,
    /// The If-Match header.
    pub if_match: Option<String>,
    /// The If-None-Match header.
    pub if_none_match: Option<String>,
    /// The Idempotency-Key header.
    pub idempotency_key: Option<String>,
    /// Method and target, part of the fingerprint that distinguishes a repetition from a different call.
    pub target: String,
    /// The body; null if there is none.
    pub body: Value,
    /// Time of the call in milliseconds since the Unix epoch.
    pub now_ms: u64,
}

/// The reply to a call.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The entity tag, if there is one.
    pub etag: Option<String>,
    /// The location of a new resource.
    pub location: Option<String>,
    /// The body.
    pub body: Value,
}

/// A query that the plane has to answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// The status of one tenant.
    Pool(String),
    /// The status of the service and its tenants.
    Service {
        /// The version, if the caller may see it.
        version: Option<u64>,
        /// The reason why nothing can be changed, if the state is read-only.
        read_only: Option<String>,
        /// The only tenant that the caller may see; `None` for all.
        #[serde(rename = "own")]
        tenant: Option<String>,
    },
}

/// The outcome of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// The call is complete.
    Reply(Reply),
    /// The change is stored. The plane has to apply it; then the reply is sent and the event is published.
    Change(Box<(PreparedChange, Reply, VersionEvent)>),
    /// The members of the cluster have to agree on the change; then it is stored and the reply is sent.
    Propose(Box<(AgreedChange, Reply)>),
    /// The plane has to answer the query.
    Status(StatusQuery),
}

impl Reply {
    /// Returns a reply with status 200 and without an entity tag.
    pub fn ok(body: impl Serialize) -> Self {
        let body = serde_json::to_value(body).unwrap_or_default();
        Reply {
            status: 200,
            etag: None,
            location: None,
            body,
        }
    }
}

impl From<Reply> for Outcome {
    fn from(reply: Reply) -> Self {
        Outcome::Reply(reply)
    }
}

/// A page of a list.
#[derive(Clone, Debug, Serialize, JsonSchema)]
pub struct Page<T> {
    /// The items.
    pub items: Vec<T>,
    /// Value of `after` for the next page; missing on the last page.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// Maximum and default number of items in a page.
pub const MAX_PAGE_ITEMS: usize = 1000;
const DEFAULT_PAGE_ITEMS: usize = 100;

impl Call {
    /// Returns a parameter of the path; the router ensures that it exists.
    pub fn path_parameter(&self, key: &str) -> &str {
        self.path.get(key).map_or("", String::as_str)
    }

    /// Returns a parameter of the path as a number.
    ///
    /// # Errors
    /// The parameter is not a number, so the resource does not exist.
    pub fn path_number(&self, key: &str) -> Result<u64, Problem> {
        self.path_parameter(key)
            .parse()
            .map_err(|_| Problem::not_found(format!("{key} is a number")))
    }

    /// Returns a parameter of the query as a number.
    ///
    /// # Errors
    /// The parameter is not a number.
    pub fn query_number(&self, key: &str) -> Result<Option<u64>, Problem> {
        let parse = |text: &String| {
            text.parse()
                .map_err(|_| Problem::malformed(format!("the query's {key} is no number")))
        };
        self.query.get(key).map(parse).transpose()
    }

    /// Returns the requested number of items in a page.
    ///
    /// # Errors
    /// The parameter is not a number from 1 to 1,000.
    pub fn page_limit(&self) -> Result<usize, Problem> {
        match self.query_number("limit")? {
            None => Ok(DEFAULT_PAGE_ITEMS),
            Some(n) if (1..=MAX_PAGE_ITEMS as u64).contains(&n) => Ok(n as usize),
            Some(_) => Err(Problem::malformed(format!(
                "the query's limit is from 1 to {MAX_PAGE_ITEMS}"
            ))),
        }
    }

    /// Returns whether the call is a dry run.
    ///
    /// # Errors
    /// The parameter is neither true nor false.
    pub fn dry_run(&self) -> Result<bool, Problem> {
        match self.query.get("dry-run").map(String::as_str) {
            None | Some("false") => Ok(false),
            Some("true" | "") => Ok(true),
            Some(_) => Err(Problem::malformed("the query's dry-run is true or false")),
        }
    }

    /// Returns the page of items that follows `after`, ordered by name.
    ///
    /// # Errors
    /// As for [`Call::page_limit`].
    pub fn page<T>(
        &self,
        members: impl Iterator<Item = (String, T)>,
        limit: usize,
    ) -> Result<Page<T>, Problem> {
        let after = self.query.get("after").map_or("", String::as_str);
        let mut all: Vec<(String, T)> = members.filter(|(name, _)| name.as_str() > after).collect();
        all.sort_by(|a, b| a.0.cmp(&b.0));
        let more = all.len() > limit;
        all.truncate(limit);
        let next = all.last().filter(|_| more).map(|(name, _)| name.clone());
        Ok(Page {
            items: all.into_iter().map(|(_, m)| m).collect(),
            next,
        })
    }

    /// Parses the body.
    ///
    /// # Errors
    /// The body does not match the type.
    pub fn parse_body<T: DeserializeOwned + JsonSchema>(&self) -> Result<T, Problem> {
        let form = config_parser::DocumentSchema::for_type::<T>().map_err(Problem::internal)?;
        form.deserialize(&self.body).map_err(Problem::from_faults)
    }
}
