//! A call as the desk takes it, and what comes of it.

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

/// A call that was read whole.
#[derive(Clone, Debug)]
pub struct Call {
    /// Its id, where it was passed on by another instance, or may be.
    pub id: Option<String>,
    /// Who calls.
    pub principal: Principal,
    /// What the path names, by its parameters.
    pub path: BTreeMap<String, String>,
    /// The query.
    pub query: BTreeMap<String, String>,
    /// The headers If-Match, If-None-Match and Idempotency-Key, where they are there.
    pub if_match: Option<String>,
    /// As above.
    pub if_none_match: Option<String>,
    /// As above.
    pub idempotency_key: Option<String>,
    /// Method and target, by which a repetition is told from another call.
    pub target: String,
    /// The body; null where there is none.
    pub body: Value,
    /// Unix time.
    pub now_ms: u64,
}

/// What a caller gets.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The status.
    pub status: u16,
    /// The entity tag, if it has one.
    pub etag: Option<String>,
    /// Where the thing is, if it is new.
    pub location: Option<String>,
    /// The body.
    pub body: Value,
}

/// What the plane has to be asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StatusQuery {
    /// How one tenant fares.
    Pool(String),
    /// How the service fares: so many tenants at this version; whether nothing can be changed.
    Service {
        /// The version, where the caller may know it.
        version: Option<u64>,
        /// Why nothing can be changed, if so.
        read_only: Option<String>,
        /// The one tenant that the caller may see; all without it.
        #[serde(rename = "own")]
        tenant: Option<String>,
    },
}

/// What comes of a call.
#[derive(Clone, Debug)]
pub enum Outcome {
    /// An answer.
    Reply(Reply),
    /// What is stored must be carried out; then this is the answer, and the event is told.
    Change(Box<(PreparedChange, Reply, VersionEvent)>),
    /// This is to be agreed on with others; then it is stored, and this is the answer.
    Propose(Box<(AgreedChange, Reply)>),
    /// The plane knows.
    Status(StatusQuery),
}

impl Reply {
    /// An answer without an entity tag.
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

/// A part of a list.
#[derive(Clone, Debug, Serialize, JsonSchema)]
pub struct Page<T> {
    /// The members.
    pub items: Vec<T>,
    /// What `after` must say for those that follow; none at the end.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub next: Option<String>,
}

/// So many members a page has at most, and without a word.
pub const MAX_PAGE_ITEMS: usize = 1000;
const DEFAULT_PAGE_ITEMS: usize = 100;

impl Call {
    /// A parameter of the path; the routes see that it is there.
    pub fn path_parameter(&self, key: &str) -> &str {
        self.path.get(key).map_or("", String::as_str)
    }

    /// A number that the path names.
    ///
    /// # Errors
    /// It is none, so that nothing is there.
    pub fn path_number(&self, key: &str) -> Result<u64, Problem> {
        self.path_parameter(key)
            .parse()
            .map_err(|_| Problem::not_found(format!("{key} is a number")))
    }

    /// A number in the query.
    ///
    /// # Errors
    /// It is none.
    pub fn query_number(&self, key: &str) -> Result<Option<u64>, Problem> {
        let parse = |text: &String| {
            text.parse()
                .map_err(|_| Problem::malformed(format!("the query's {key} is no number")))
        };
        self.query.get(key).map(parse).transpose()
    }

    /// How many members a page is to have.
    ///
    /// # Errors
    /// The query says something else than a number from 1 to 1,000.
    pub fn page_limit(&self) -> Result<usize, Problem> {
        match self.query_number("limit")? {
            None => Ok(DEFAULT_PAGE_ITEMS),
            Some(n) if (1..=MAX_PAGE_ITEMS as u64).contains(&n) => Ok(n as usize),
            Some(_) => Err(Problem::malformed(format!(
                "the query's limit is from 1 to {MAX_PAGE_ITEMS}"
            ))),
        }
    }

    /// Whether nothing is to change in earnest.
    ///
    /// # Errors
    /// The query says something else than true or false.
    pub fn dry_run(&self) -> Result<bool, Problem> {
        match self.query.get("dry-run").map(String::as_str) {
            None | Some("false") => Ok(false),
            Some("true" | "") => Ok(true),
            Some(_) => Err(Problem::malformed("the query's dry-run is true or false")),
        }
    }

    /// The page of named members that follows `after`, by name.
    ///
    /// # Errors
    /// As [`Call::limit`].
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

    /// The body.
    ///
    /// # Errors
    /// It has another form.
    pub fn parse_body<T: DeserializeOwned + JsonSchema>(&self) -> Result<T, Problem> {
        let form = config_parser::DocumentSchema::for_type::<T>().map_err(Problem::internal)?;
        form.deserialize(&self.body).map_err(Problem::from_faults)
    }
}
