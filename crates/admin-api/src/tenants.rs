//! Operations on tenants and the parts of their documents.

use std::collections::BTreeSet;

use multi_tenant::catalog::Name;
use serde_json::{Value, json};

use crate::access::Permission;
use crate::admin_state::{
    AdminState, ChangeDraft, PointerMapping, etag, tenant_not_found, tenant_to_json,
};
use crate::bodies::{Apply, TenantSummary};
use crate::call::{Call, Outcome, Page, Reply, StatusQuery};
use crate::document_part::{DocumentPart, ensure_name};
use crate::problem::Problem;

/// Returns the part of the document that the path addresses.
fn addressed_part<'c>(call: &'c Call, part: &'static str) -> DocumentPart<'c> {
    match part {
        "" => DocumentPart::Whole,
        "class" | "server" => DocumentPart::ListItem(part, call.path_parameter(part)),
        part => DocumentPart::Key(part),
    }
}

/// Lists the tenants that the caller may see.
pub fn list(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let limit = call.page_limit()?;
    let after = call.query.get("after").map_or("", String::as_str);
    let visible = admin
        .catalog()
        .names_after(after)
        .filter(|name| call.principal.can_see(name));
    let mut names: Vec<Name> = visible.take(limit + 1).cloned().collect();
    let more = names.len() > limit;
    names.truncate(limit);
    let next = names.last().filter(|_| more).map(|name| name.to_string());
    let mut items = Vec::new();
    for name in names {
        let Some((rev, tenant)) = admin.tenant(&name)? else {
            continue;
        };
        let (classes, servers) = (tenant.classes.len(), tenant.servers.len());
        items.push(TenantSummary {
            name: tenant.name,
            rev,
            classes,
            servers,
        });
    }
    let page = Page { items, next };
    let etag = call
        .principal
        .sees_all_tenants()
        .then(|| admin.service_etag());
    Ok(Reply {
        etag,
        ..Reply::ok(page)
    }
    .into())
}

/// Returns a document, or a part of it.
pub fn get(admin: &mut AdminState, call: &Call, part: &'static str) -> Result<Outcome, Problem> {
    let (rev, document) = admin.document(&call.principal, call.path_parameter("tenant"))?;
    let found = addressed_part(call, part)
        .get(&document)
        .ok_or_else(|| part_not_found(call, part))?;
    Ok(Reply {
        etag: Some(etag(rev, &document)),
        ..Reply::ok(found)
    }
    .into())
}

fn part_not_found(call: &Call, part: &str) -> Problem {
    match part {
        "class" | "server" => Problem::not_found(format!(
            "there is no {part} \"{}\"",
            call.path_parameter(part)
        )),
        part => Problem::not_found(format!("there are no {part}")),
    }
}

/// Lists the items of a list in a document by name.
pub fn list_items(
    admin: &mut AdminState,
    call: &Call,
    list: &'static str,
) -> Result<Outcome, Problem> {
    let limit = call.page_limit()?;
    let (rev, document) = admin.document(&call.principal, call.path_parameter("tenant"))?;
    let members = document[list].as_array().into_iter().flatten();
    let members = members.map(|m| (m["name"].as_str().unwrap_or_default().to_owned(), m.clone()));
    let page = call.page(members, limit)?;
    Ok(Reply {
        etag: Some(etag(rev, &document)),
        ..Reply::ok(page)
    }
    .into())
}

/// Adds a tenant.
pub fn add(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let name = call.body["name"].as_str().unwrap_or_default().to_owned();
    if admin.has_tenant(&name) {
        return Err(Problem::conflict(format!(
            "there is a tenant \"{name}\" already"
        )));
    }
    admin.change(
        call,
        ChangeDraft {
            action: "tenant.add",
            subject: Some(name.clone()),
            detail: None,
            location: Some(format!("/v1/tenants/{name}")),
            edits: vec![(name, Some(call.body.clone()), PointerMapping::default())],
        },
    )
}

/// Replaces the document, or the part of it that the path addresses.
pub fn put(admin: &mut AdminState, call: &Call, part: &'static str) -> Result<Outcome, Problem> {
    let (name, document_part) = (
        call.path_parameter("tenant").to_owned(),
        addressed_part(call, part),
    );
    let current = admin.document(&call.principal, &name);
    let mut body = call.body.clone();
    let name_problem = |message| {
        Problem::from_faults(vec![config_parser::ValidationError {
            pointer: "/name".into(),
            message,
        }])
    };
    document_part.set_name(&mut body).map_err(name_problem)?;
    let (base, tag, exists) = match &current {
        Ok((rev, document)) => (
            Some(document.clone()),
            Some(etag(*rev, document)),
            document_part.get(document).is_some(),
        ),
        Err(_) if part.is_empty() => (None, None, false),
        Err(problem) => return Err(problem.clone()),
    };
    if part.is_empty() {
        ensure_name(&mut body, &name).map_err(name_problem)?;
        if base.is_none() {
            // The tenant does not exist. A caller that may not add tenants learns nothing more.
            call.principal
                .authorize(Permission::Operator)
                .map_err(|_| tenant_not_found(&name))?;
        }
    }
    // A call that replaces the whole document has to name the revision that it replaces; for a part this is optional.
    let current_tag = if document_part == DocumentPart::Whole || exists || call.if_match.is_some() {
        tag.as_deref()
    } else {
        None
    };
    AdminState::check_precondition(call, current_tag, part.is_empty())?;
    let (document, pointer) = document_part.set(base.unwrap_or(Value::Null), body);
    let (action, detail) = match part {
        "" if exists => ("tenant.put", None),
        "" => ("tenant.add", None),
        "limits" => ("limits.put", None),
        "rules" => ("rules.put", None),
        "hosts" => ("hosts.put", None),
        "class" => (
            "class.put",
            Some(format!("class {}", call.path_parameter(part))),
        ),
        _ => (
            "server.put",
            Some(format!("server {}", call.path_parameter(part))),
        ),
    };
    let new = !exists && matches!(part, "" | "class" | "server");
    let location = new.then(|| {
        call.target
            .split([' ', '?'])
            .nth(1)
            .unwrap_or_default()
            .to_owned()
    });
    let edits = vec![(
        name.clone(),
        Some(document),
        PointerMapping::body_at(pointer),
    )];
    admin.change(
        call,
        ChangeDraft {
            action,
            subject: Some(name),
            detail,
            location,
            edits,
        },
    )
}

/// Removes a tenant, or an item of a list.
pub fn remove(admin: &mut AdminState, call: &Call, part: &'static str) -> Result<Outcome, Problem> {
    let (name, document_part) = (
        call.path_parameter("tenant").to_owned(),
        addressed_part(call, part),
    );
    let (rev, document) = admin.document(&call.principal, &name)?;
    AdminState::check_precondition(call, Some(&etag(rev, &document)), part.is_empty())?;
    let next = match document_part {
        DocumentPart::Whole => None,
        document_part => Some(
            document_part
                .remove(document)
                .ok_or_else(|| part_not_found(call, part))?,
        ),
    };
    let (action, detail) = match part {
        "" => ("tenant.remove", None),
        "class" => (
            "class.remove",
            Some(format!("class {}", call.path_parameter(part))),
        ),
        _ => (
            "server.remove",
            Some(format!("server {}", call.path_parameter(part))),
        ),
    };
    let edits = vec![(name.clone(), next, PointerMapping::default())];
    admin.change(
        call,
        ChangeDraft {
            action,
            subject: Some(name),
            detail,
            location: None,
            edits,
        },
    )
}

/// Sets a server's state to draining or up.
pub fn set_server_state(
    admin: &mut AdminState,
    call: &Call,
    state: &'static str,
) -> Result<Outcome, Problem> {
    let (name, document_part) = (
        call.path_parameter("tenant").to_owned(),
        addressed_part(call, "server"),
    );
    let (rev, document) = admin.document(&call.principal, &name)?;
    AdminState::check_precondition(call, Some(&etag(rev, &document)), false)?;
    let mut server = document_part
        .get(&document)
        .ok_or_else(|| part_not_found(call, "server"))?
        .clone();
    server["state"] = json!(state);
    let (next, pointer) = document_part.set(document, server);
    let action = if state == "up" {
        "server.resume"
    } else {
        "server.drain"
    };
    let detail = Some(format!("server {}", call.path_parameter("server")));
    let edits = vec![(name.clone(), Some(next), PointerMapping::body_at(pointer))];
    admin.change(
        call,
        ChangeDraft {
            action,
            subject: Some(name),
            detail,
            location: None,
            edits,
        },
    )
}

/// Replaces several tenants in one version.
pub fn apply(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let apply: Apply = call.parse_body()?;
    // A caller limited to one tenant has that tenant's entity tag, and sees no other tenant.
    let tag = match &call.principal.tenant {
        None => Some(admin.service_etag()),
        Some(own) => admin
            .document(&call.principal, own)
            .ok()
            .map(|(rev, d)| etag(rev, &d)),
    };
    AdminState::check_precondition(call, tag.as_deref(), false)?;
    let mut edits = Vec::new();
    let mut names = BTreeSet::new();
    for (index, tenant) in apply.tenants.iter().enumerate() {
        if !call.principal.can_see(&tenant.name) {
            return Err(tenant_not_found(&tenant.name));
        }
        if !names.insert(tenant.name.as_str()) {
            let message = format!("\"{}\" stands twice", tenant.name);
            return Err(Problem::from_faults(vec![config_parser::ValidationError {
                pointer: format!("/tenant/{index}/name"),
                message,
            }]));
        }
        let document = tenant_to_json(tenant)?;
        let mapping = PointerMapping {
            document_in_body: format!("/tenant/{index}"),
            ..PointerMapping::default()
        };
        edits.push((tenant.name.clone(), Some(document), mapping));
    }
    if apply.prune {
        call.principal.authorize(Permission::Operator)?;
        let removed = admin
            .tenant_names()
            .filter(|name| !names.contains(&***name));
        edits.extend(removed.map(|name| (name.to_string(), None, PointerMapping::default())));
    }
    let subject = match edits.as_slice() {
        [(one, ..)] => Some(one.clone()),
        _ => None,
    };
    admin.change(
        call,
        ChangeDraft {
            action: "apply",
            subject,
            detail: None,
            location: None,
            edits,
        },
    )
}

/// Returns the status of a tenant's pool.
pub fn pool(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let name = call.path_parameter("tenant");
    admin.document(&call.principal, name)?;
    Ok(Outcome::Status(StatusQuery::Pool(name.to_owned())))
}

/// Returns the status of the service.
pub fn status(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let version = call.principal.sees_all_tenants().then(|| admin.version());
    let read_only = admin.read_only().map(str::to_owned);
    Ok(Outcome::Status(StatusQuery::Service {
        version,
        read_only,
        tenant: call.principal.tenant.clone(),
    }))
}
