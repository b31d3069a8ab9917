//! Operations on tenants and the parts of their documents.

use std::collections::BTreeSet;

use multi_tenant::catalog::Name;
use serde_json::{Value, json};

use crate::access::Needs;
use crate::answers::{Apply, Listed};
use crate::call::{Ask, Call, Outcome, Page, Reply};
use crate::desk::{Desk, Draft, Frame, etag, no_tenant, written_out};
use crate::place::{Place, named};
use crate::problem::Problem;

/// A part of a document that a path names.
fn place<'c>(call: &'c Call, part: &'static str) -> Place<'c> {
    match part {
        "" => Place::Whole,
        "class" | "server" => Place::Member(part, call.name(part)),
        part => Place::Part(part),
    }
}

/// All tenants that the caller sees.
pub fn list(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let limit = call.limit()?;
    let after = call.query.get("after").map_or("", String::as_str);
    let seen = desk
        .catalog()
        .names_after(after)
        .filter(|name| call.who.sees(name));
    let mut names: Vec<Name> = seen.take(limit + 1).cloned().collect();
    let more = names.len() > limit;
    names.truncate(limit);
    let next = names.last().filter(|_| more).map(|name| name.to_string());
    let mut items = Vec::new();
    for name in names {
        let Some((rev, tenant)) = desk.tenant(&name)? else {
            continue;
        };
        let (classes, servers) = (tenant.classes.len(), tenant.servers.len());
        items.push(Listed {
            name: tenant.name,
            rev,
            classes,
            servers,
        });
    }
    let page = Page { items, next };
    let etag = call.who.oversees().then(|| desk.service_tag());
    Ok(Reply {
        etag,
        ..Reply::of(page)
    }
    .into())
}

/// A document, or a part of it.
pub fn get(desk: &mut Desk, call: &Call, part: &'static str) -> Result<Outcome, Problem> {
    let (rev, document) = desk.document(&call.who, call.name("tenant"))?;
    let found = place(call, part)
        .get(&document)
        .ok_or_else(|| no_part(call, part))?;
    Ok(Reply {
        etag: Some(etag(rev, &document)),
        ..Reply::of(found)
    }
    .into())
}

fn no_part(call: &Call, part: &str) -> Problem {
    match part {
        "class" | "server" => {
            Problem::not_found(format!("there is no {part} \"{}\"", call.name(part)))
        }
        part => Problem::not_found(format!("there are no {part}")),
    }
}

/// A list in a document, by name.
pub fn members(desk: &mut Desk, call: &Call, list: &'static str) -> Result<Outcome, Problem> {
    let limit = call.limit()?;
    let (rev, document) = desk.document(&call.who, call.name("tenant"))?;
    let members = document[list].as_array().into_iter().flatten();
    let members = members.map(|m| (m["name"].as_str().unwrap_or_default().to_owned(), m.clone()));
    let page = call.page(members, limit)?;
    Ok(Reply {
        etag: Some(etag(rev, &document)),
        ..Reply::of(page)
    }
    .into())
}

/// A new tenant.
pub fn add(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let name = call.body["name"].as_str().unwrap_or_default().to_owned();
    if desk.has(&name) {
        return Err(Problem::conflict(format!(
            "there is a tenant \"{name}\" already"
        )));
    }
    desk.change(
        call,
        Draft {
            action: "tenant.add",
            subject: Some(name.clone()),
            detail: None,
            location: Some(format!("/v1/tenants/{name}")),
            edits: vec![(name, Some(call.body.clone()), Frame::default())],
        },
    )
}

/// Puts a document or a part of it where the path says.
pub fn put(desk: &mut Desk, call: &Call, part: &'static str) -> Result<Outcome, Problem> {
    let (name, place) = (call.name("tenant").to_owned(), place(call, part));
    let now = desk.document(&call.who, &name);
    let mut body = call.body.clone();
    let differs = |message| {
        Problem::faults(vec![config_parser::ValidationError {
            pointer: "/name".into(),
            message,
        }])
    };
    place.name(&mut body).map_err(differs)?;
    let (base, tag, there) = match &now {
        Ok((rev, document)) => (
            Some(document.clone()),
            Some(etag(*rev, document)),
            place.get(document).is_some(),
        ),
        Err(_) if part.is_empty() => (None, None, false),
        Err(problem) => return Err(problem.clone()),
    };
    if part.is_empty() {
        named(&mut body, &name).map_err(differs)?;
        if base.is_none() {
            // A tenant that is not there: who may not add any learns no more than that.
            call.who.may(Needs::Operate).map_err(|_| no_tenant(&name))?;
        }
    }
    // What replaces the whole must say what it replaces; a part stands for itself.
    let now = if place == Place::Whole || there || call.if_match.is_some() {
        tag.as_deref()
    } else {
        None
    };
    Desk::matches(call, now, part.is_empty())?;
    let (document, at) = place.put(base.unwrap_or(Value::Null), body);
    let (action, detail) = match part {
        "" if there => ("tenant.put", None),
        "" => ("tenant.add", None),
        "limits" => ("limits.put", None),
        "rules" => ("rules.put", None),
        "hosts" => ("hosts.put", None),
        "class" => ("class.put", Some(format!("class {}", call.name(part)))),
        _ => ("server.put", Some(format!("server {}", call.name(part)))),
    };
    let new = !there && matches!(part, "" | "class" | "server");
    let location = new.then(|| {
        call.target
            .split([' ', '?'])
            .nth(1)
            .unwrap_or_default()
            .to_owned()
    });
    let edits = vec![(name.clone(), Some(document), Frame::part(at))];
    desk.change(
        call,
        Draft {
            action,
            subject: Some(name),
            detail,
            location,
            edits,
        },
    )
}

/// Takes a tenant away, or a member of a list.
pub fn remove(desk: &mut Desk, call: &Call, part: &'static str) -> Result<Outcome, Problem> {
    let (name, place) = (call.name("tenant").to_owned(), place(call, part));
    let (rev, document) = desk.document(&call.who, &name)?;
    Desk::matches(call, Some(&etag(rev, &document)), part.is_empty())?;
    let next = match place {
        Place::Whole => None,
        place => Some(place.take(document).ok_or_else(|| no_part(call, part))?),
    };
    let (action, detail) = match part {
        "" => ("tenant.remove", None),
        "class" => ("class.remove", Some(format!("class {}", call.name(part)))),
        _ => ("server.remove", Some(format!("server {}", call.name(part)))),
    };
    let edits = vec![(name.clone(), next, Frame::default())];
    desk.change(
        call,
        Draft {
            action,
            subject: Some(name),
            detail,
            location: None,
            edits,
        },
    )
}

/// Tells a server to end what it has, or to take new work again.
pub fn drain(desk: &mut Desk, call: &Call, state: &'static str) -> Result<Outcome, Problem> {
    let (name, place) = (call.name("tenant").to_owned(), place(call, "server"));
    let (rev, document) = desk.document(&call.who, &name)?;
    Desk::matches(call, Some(&etag(rev, &document)), false)?;
    let mut server = place
        .get(&document)
        .ok_or_else(|| no_part(call, "server"))?
        .clone();
    server["state"] = json!(state);
    let (next, at) = place.put(document, server);
    let action = if state == "up" {
        "server.resume"
    } else {
        "server.drain"
    };
    let detail = Some(format!("server {}", call.name("server")));
    let edits = vec![(name.clone(), Some(next), Frame::part(at))];
    desk.change(
        call,
        Draft {
            action,
            subject: Some(name),
            detail,
            location: None,
            edits,
        },
    )
}

/// Several tenants at once, as one version.
pub fn apply(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let apply: Apply = call.read()?;
    // Who sees one tenant alone has its tag, and knows no other.
    let tag = match &call.who.tenant {
        None => Some(desk.service_tag()),
        Some(own) => desk
            .document(&call.who, own)
            .ok()
            .map(|(rev, d)| etag(rev, &d)),
    };
    Desk::matches(call, tag.as_deref(), false)?;
    let mut edits = Vec::new();
    let mut named = BTreeSet::new();
    for (i, tenant) in apply.tenants.iter().enumerate() {
        if !call.who.sees(&tenant.name) {
            return Err(no_tenant(&tenant.name));
        }
        if !named.insert(tenant.name.as_str()) {
            let message = format!("\"{}\" stands twice", tenant.name);
            return Err(Problem::faults(vec![config_parser::ValidationError {
                pointer: format!("/tenant/{i}/name"),
                message,
            }]));
        }
        let document = written_out(tenant)?;
        let frame = Frame {
            above: format!("/tenant/{i}"),
            ..Frame::default()
        };
        edits.push((tenant.name.clone(), Some(document), frame));
    }
    if apply.prune {
        call.who.may(Needs::Operate)?;
        let gone = desk.names().filter(|name| !named.contains(&***name));
        edits.extend(gone.map(|name| (name.to_string(), None, Frame::default())));
    }
    let subject = match edits.as_slice() {
        [(one, ..)] => Some(one.clone()),
        _ => None,
    };
    desk.change(
        call,
        Draft {
            action: "apply",
            subject,
            detail: None,
            location: None,
            edits,
        },
    )
}

/// How a tenant's pool fares.
pub fn pool(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let name = call.name("tenant");
    desk.document(&call.who, name)?;
    Ok(Outcome::Ask(Ask::Pool(name.to_owned())))
}

/// How the service fares.
pub fn status(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let version = call.who.oversees().then(|| desk.version());
    let read_only = desk.read_only().map(str::to_owned);
    Ok(Outcome::Ask(Ask::Service {
        version,
        read_only,
        own: call.who.tenant.clone(),
    }))
}
