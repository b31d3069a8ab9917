//! Operations on versions: lists, single versions, differences, rollback, and the audit log.

use std::collections::BTreeSet;

use config_store::{AuditEntry, DocumentRevision};
use serde_json::Value;

use crate::access::Permission;
use crate::admin_state::{
    AdminState, ChangeDraft, PointerMapping, etag, scope, tenant_from_scope, tenant_not_found,
};
use crate::bodies::{Actor, AuditEntryView, Comparison, RollbackTarget, Version};
use crate::call::{Call, Outcome, Page, Reply};
use crate::difference;
use crate::problem::Problem;

/// Returns the number below which a page begins; lists are ordered from newest to oldest.
fn page_start(call: &Call) -> Result<u64, Problem> {
    Ok(call.query_number("after")?.unwrap_or(u64::MAX))
}

/// Builds a page from items of which one more was read than fits.
fn page<T>(mut items: Vec<T>, limit: usize, number: impl Fn(&T) -> u64) -> Page<T> {
    let more = items.len() > limit;
    items.truncate(limit);
    let next = items
        .last()
        .filter(|_| more)
        .map(|last| number(last).to_string());
    Page { items, next }
}

fn version_entry(number: u64, entry: AuditEntry, tenants: Vec<String>, gone: bool) -> Version {
    Version {
        number,
        at_ms: entry.at_ms,
        by: Actor::from(&entry.author),
        action: entry.action,
        detail: entry.detail,
        tenants,
        gone,
    }
}

/// Lists the service's versions, newest first.
pub fn list(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let limit = call.page_limit()?;
    let to_version = |(number, entry): (u64, AuditEntry)| {
        let tenants = entry
            .edits
            .iter()
            .filter_map(|e| tenant_from_scope(&e.scope))
            .collect();
        version_entry(number, entry, tenants, false)
    };
    let items = admin
        .store()?
        .versions(page_start(call)?, limit + 1)?
        .into_iter()
        .map(to_version)
        .collect();
    Ok(Reply::ok(page(items, limit, |version: &Version| version.number)).into())
}

/// Lists a tenant's revisions, newest first.
pub fn list_of_tenant(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let (limit, name) = (call.page_limit()?, visible_tenant(call)?);
    let store = admin.store()?;
    let rows = store.history(&scope(name), page_start(call)?, limit + 1)?;
    if rows.is_empty() && !call.query.contains_key("after") {
        return Err(tenant_not_found(name));
    }
    let mut items = Vec::new();
    for (rev, row) in rows {
        // Truncation of the audit log leaves revisions whose authors are no longer known.
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
        items.push(version_entry(
            rev,
            entry,
            Vec::new(),
            row.document.is_none(),
        ));
    }
    Ok(Reply::ok(page(items, limit, |version: &Version| version.number)).into())
}

/// Returns the tenant in the path if the caller may see it.
fn visible_tenant(call: &Call) -> Result<&str, Problem> {
    let name = call.path_parameter("tenant");
    if call.principal.can_see(name) {
        Ok(name)
    } else {
        Err(tenant_not_found(name))
    }
}

fn revision(admin: &AdminState, tenant: &str, rev: u64) -> Result<DocumentRevision, Problem> {
    let found = admin.store()?.revision(&scope(tenant), rev)?;
    let is_future = rev >= admin.store()?.next_revision(&scope(tenant))?;
    found.ok_or_else(|| match is_future {
        true => Problem::not_found(format!("there is no revision {rev} of \"{tenant}\"")),
        false => Problem::gone(format!(
            "revision {rev} of \"{tenant}\" is not kept any more"
        )),
    })
}

/// Returns a revision of a tenant's document.
pub fn get_of_tenant(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let (name, rev) = (visible_tenant(call)?, call.path_number("rev")?);
    let row = revision(admin, name, rev)?;
    let document = row
        .document
        .ok_or_else(|| Problem::not_found("the tenant was gone with this revision"))?;
    Ok(Reply {
        etag: Some(etag(rev, &document)),
        ..Reply::ok(document)
    }
    .into())
}

/// Returns all tenants' documents of a version, as one document that `apply` accepts.
pub fn get(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let tenants = documents_at(admin, call.path_number("version")?)?;
    let tenants: Vec<Value> = tenants.into_iter().map(|(_, d)| d).collect();
    Ok(Reply::ok(serde_json::json!({ "tenant": tenants })).into())
}

fn documents_at(admin: &AdminState, version: u64) -> Result<Vec<(String, Value)>, Problem> {
    let documents =
        admin
            .store()?
            .documents_at(version)?
            .ok_or_else(|| match version > admin.version() {
                true => Problem::not_found(format!("there is no version {version}")),
                false => Problem::gone(format!("version {version} is not kept any more")),
            })?;
    Ok(documents
        .into_iter()
        .filter_map(|(scope, document)| Some((tenant_from_scope(&scope)?, document)))
        .collect())
}

/// Returns the range of a comparison: `from`, and `to` or the current number.
fn compared_range(call: &Call, now: u64) -> Result<(u64, u64), Problem> {
    let from = call
        .query_number("from")?
        .ok_or_else(|| Problem::malformed("the query lacks from"))?;
    Ok((from, call.query_number("to")?.unwrap_or(now)))
}

/// Compares two versions of the service.
pub fn diff(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let (from, to) = compared_range(call, admin.version())?;
    let object = |all: Vec<(String, Value)>| Value::Object(all.into_iter().collect());
    let (from_document, to_document) = (
        object(documents_at(admin, from)?),
        object(documents_at(admin, to)?),
    );
    Ok(Reply::ok(Comparison {
        from,
        to,
        differences: difference::compare("", Some(&from_document), Some(&to_document)),
    })
    .into())
}

/// Compares two revisions of a tenant.
pub fn diff_tenant(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let name = visible_tenant(call)?;
    let now = admin.store()?.next_revision(&scope(name))? - 1;
    let (from, to) = compared_range(call, now)?;
    let (from_document, to_document) = (
        revision(admin, name, from)?.document,
        revision(admin, name, to)?.document,
    );
    Ok(Reply::ok(Comparison {
        from,
        to,
        differences: difference::compare("", from_document.as_ref(), to_document.as_ref()),
    })
    .into())
}

/// Restores an earlier revision of a tenant as a new revision; the revisions in between are kept.
pub fn rollback_tenant(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let name = visible_tenant(call)?.to_owned();
    let RollbackTarget { to } = call.parse_body()?;
    let now = admin
        .document(&call.principal, &name)
        .ok()
        .map(|(rev, d)| etag(rev, &d));
    if now.is_none() {
        call.principal
            .authorize(Permission::Operator)
            .map_err(|_| tenant_not_found(&name))?;
    }
    AdminState::check_precondition(call, now.as_deref(), true)?;
    let document = revision(admin, &name, to)?.document;
    let edits = vec![(name.clone(), document, PointerMapping::default())];
    let detail = Some(format!("to revision {to}"));
    admin.change(
        call,
        ChangeDraft {
            action: "tenant.rollback",
            subject: Some(name),
            detail,
            location: None,
            edits,
        },
    )
}

/// Restores all tenants of an earlier version.
pub fn rollback(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let RollbackTarget { to } = call.parse_body()?;
    AdminState::check_precondition(call, Some(&admin.service_etag()), true)?;
    let documents = documents_at(admin, to)?;
    let names: BTreeSet<&str> = documents.iter().map(|(name, _)| name.as_str()).collect();
    let removed = admin
        .tenant_names()
        .filter(|name| !names.contains(&***name));
    let mut edits: Vec<_> = removed
        .map(|name| (name.to_string(), None, PointerMapping::default()))
        .collect();
    edits.extend(
        documents
            .into_iter()
            .map(|(name, document)| (name, Some(document), PointerMapping::default())),
    );
    let detail = Some(format!("to version {to}"));
    admin.change(
        call,
        ChangeDraft {
            action: "rollback",
            subject: None,
            detail,
            location: None,
            edits,
        },
    )
}

/// Lists the audit log, newest first.
pub fn audit(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let limit = call.page_limit()?;
    let requested = call.query.get("tenant").map(String::as_str);
    let subject = match (&call.principal.tenant, requested) {
        (Some(own), Some(other)) if own != other => return Err(tenant_not_found(other)),
        (Some(own), _) => Some(own.as_str()),
        (None, requested) => requested,
    };
    let lines = admin
        .store()?
        .audit_log(subject, page_start(call)?, limit + 1)?;
    let items = lines
        .into_iter()
        .map(|(number, entry)| AuditEntryView::visible_to(number, entry, &call.principal))
        .collect();
    Ok(Reply::ok(page(items, limit, |entry: &AuditEntryView| entry.number)).into())
}
