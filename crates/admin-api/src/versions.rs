//! Operations on versions: lists, single ones, differences, going back, and the audit log.

use std::collections::BTreeSet;

use config_store::{AuditEntry, DocumentRevision};
use serde_json::Value;

use crate::access::Needs;
use crate::answers::{Back, By, Compared, Line, Version};
use crate::call::{Call, Outcome, Page, Reply};
use crate::desk::{Desk, Draft, Frame, etag, no_tenant, scope, tenant_of};
use crate::difference;
use crate::problem::Problem;

/// Below which number a page of the newest first begins.
fn below(call: &Call) -> Result<u64, Problem> {
    Ok(call.query_number("after")?.unwrap_or(u64::MAX))
}

/// A page of numbered members, of which one more was read than fits.
fn page<T>(mut items: Vec<T>, limit: usize, number: impl Fn(&T) -> u64) -> Page<T> {
    let more = items.len() > limit;
    items.truncate(limit);
    let next = items
        .last()
        .filter(|_| more)
        .map(|last| number(last).to_string());
    Page { items, next }
}

fn version(number: u64, entry: AuditEntry, tenants: Vec<String>, gone: bool) -> Version {
    Version {
        number,
        at_ms: entry.at_ms,
        by: By::from(&entry.author),
        action: entry.action,
        detail: entry.detail,
        tenants,
        gone,
    }
}

/// The service's versions, the newest first.
pub fn all(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let limit = call.limit()?;
    let one = |(number, entry): (u64, AuditEntry)| {
        let tenants = entry
            .edits
            .iter()
            .filter_map(|e| tenant_of(&e.scope))
            .collect();
        version(number, entry, tenants, false)
    };
    let items = desk
        .store()?
        .versions(below(call)?, limit + 1)?
        .into_iter()
        .map(one)
        .collect();
    Ok(Reply::of(page(items, limit, |v: &Version| v.number)).into())
}

/// A tenant's revisions, the newest first.
pub fn of_tenant(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let (limit, name) = (call.limit()?, seen(call)?);
    let store = desk.store()?;
    let rows = store.history(&scope(name), below(call)?, limit + 1)?;
    if rows.is_empty() && !call.query.contains_key("after") {
        return Err(no_tenant(name));
    }
    let mut items = Vec::new();
    for (rev, row) in rows {
        // A log that was cut short leaves revisions whose makers are not known any more.
        let unknown = || AuditEntry {
            at_ms: 0,
            author: config_store::Author {
                id: String::new(),
                name: "not kept".into(),
            },
            action: "not kept".into(),
            subject: None,
            detail: None,
            version: None,
            edits: Vec::new(),
            follows_version_gap: false,
        };
        let entry = store.audit_entry(row.audit_entry)?.unwrap_or_else(unknown);
        items.push(version(rev, entry, Vec::new(), row.document.is_none()));
    }
    Ok(Reply::of(page(items, limit, |v: &Version| v.number)).into())
}

/// The tenant that a path names, if the caller may know of it.
fn seen(call: &Call) -> Result<&str, Problem> {
    let name = call.name("tenant");
    if call.who.sees(name) {
        Ok(name)
    } else {
        Err(no_tenant(name))
    }
}

fn revision(desk: &Desk, tenant: &str, rev: u64) -> Result<DocumentRevision, Problem> {
    let found = desk.store()?.revision(&scope(tenant), rev)?;
    let newer = rev >= desk.store()?.next_revision(&scope(tenant))?;
    found.ok_or_else(|| match newer {
        true => Problem::not_found(format!("there is no revision {rev} of \"{tenant}\"")),
        false => Problem::gone(format!(
            "revision {rev} of \"{tenant}\" is not kept any more"
        )),
    })
}

/// A tenant's document as it was.
pub fn one_of_tenant(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let (name, rev) = (seen(call)?, call.number("rev")?);
    let row = revision(desk, name, rev)?;
    let document = row
        .document
        .ok_or_else(|| Problem::not_found("the tenant was gone with this revision"))?;
    Ok(Reply {
        etag: Some(etag(rev, &document)),
        ..Reply::of(document)
    }
    .into())
}

/// All tenants' documents as they were, as one document that `apply` takes.
pub fn one(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let tenants = at(desk, call.number("version")?)?;
    let tenants: Vec<Value> = tenants.into_iter().map(|(_, d)| d).collect();
    Ok(Reply::of(serde_json::json!({ "tenant": tenants })).into())
}

fn at(desk: &Desk, version: u64) -> Result<Vec<(String, Value)>, Problem> {
    let documents =
        desk.store()?
            .documents_at(version)?
            .ok_or_else(|| match version > desk.version() {
                true => Problem::not_found(format!("there is no version {version}")),
                false => Problem::gone(format!("version {version} is not kept any more")),
            })?;
    Ok(documents
        .into_iter()
        .filter_map(|(s, d)| Some((tenant_of(&s)?, d)))
        .collect())
}

/// The two numbers that a query compares: `from`, and `to` or the present one.
fn two(call: &Call, now: u64) -> Result<(u64, u64), Problem> {
    let from = call
        .query_number("from")?
        .ok_or_else(|| Problem::malformed("the query lacks from"))?;
    Ok((from, call.query_number("to")?.unwrap_or(now)))
}

/// What differs between two versions of the service.
pub fn diff(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let (from, to) = two(call, desk.version())?;
    let object = |all: Vec<(String, Value)>| Value::Object(all.into_iter().collect());
    let (a, b) = (object(at(desk, from)?), object(at(desk, to)?));
    Ok(Reply::of(Compared {
        from,
        to,
        differences: difference::between("", Some(&a), Some(&b)),
    })
    .into())
}

/// What differs between two revisions of a tenant.
pub fn diff_of_tenant(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let name = seen(call)?;
    let now = desk.store()?.next_revision(&scope(name))? - 1;
    let (from, to) = two(call, now)?;
    let (a, b) = (
        revision(desk, name, from)?.document,
        revision(desk, name, to)?.document,
    );
    Ok(Reply::of(Compared {
        from,
        to,
        differences: difference::between("", a.as_ref(), b.as_ref()),
    })
    .into())
}

/// Makes a tenant what it was. That is a new revision; nothing that came between is lost.
pub fn back_of_tenant(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let name = seen(call)?.to_owned();
    let Back { to } = call.read()?;
    let now = desk
        .document(&call.who, &name)
        .ok()
        .map(|(rev, d)| etag(rev, &d));
    if now.is_none() {
        call.who.may(Needs::Operate).map_err(|_| no_tenant(&name))?;
    }
    Desk::matches(call, now.as_deref(), true)?;
    let document = revision(desk, &name, to)?.document;
    let edits = vec![(name.clone(), document, Frame::default())];
    let detail = Some(format!("to revision {to}"));
    desk.change(
        call,
        Draft {
            action: "tenant.rollback",
            subject: Some(name),
            detail,
            location: None,
            edits,
        },
    )
}

/// Makes all tenants what they were.
pub fn back(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let Back { to } = call.read()?;
    Desk::matches(call, Some(&desk.service_tag()), true)?;
    let was = at(desk, to)?;
    let there: BTreeSet<&str> = was.iter().map(|(name, _)| name.as_str()).collect();
    let gone = desk.names().filter(|name| !there.contains(&***name));
    let mut edits: Vec<_> = gone
        .map(|name| (name.to_string(), None, Frame::default()))
        .collect();
    edits.extend(
        was.into_iter()
            .map(|(name, d)| (name, Some(d), Frame::default())),
    );
    let detail = Some(format!("to version {to}"));
    desk.change(
        call,
        Draft {
            action: "rollback",
            subject: None,
            detail,
            location: None,
            edits,
        },
    )
}

/// The audit log, the newest first.
pub fn audit(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let limit = call.limit()?;
    let asked = call.query.get("tenant").map(String::as_str);
    let subject = match (&call.who.tenant, asked) {
        (Some(own), Some(other)) if own != other => return Err(no_tenant(other)),
        (Some(own), _) => Some(own.as_str()),
        (None, asked) => asked,
    };
    let lines = desk.store()?.audit_log(subject, below(call)?, limit + 1)?;
    let items = lines
        .into_iter()
        .map(|(n, entry)| Line::of(n, entry, &call.who))
        .collect();
    Ok(Reply::of(page(items, limit, |l: &Line| l.number)).into())
}
