//! Operations on tokens.

use crate::access::{Role, Token, Who, new_id, new_secret};
use crate::answers::{NewToken, Rotate, TokenView};
use crate::call::{Call, Outcome, Reply};
use crate::desk::{Desk, no_tenant};
use crate::problem::Problem;

/// Tokens that are kept at most.
const MOST: usize = 20_000;

fn view(id: &str, token: &Token, whole: Option<String>) -> TokenView {
    TokenView {
        id: id.to_owned(),
        name: token.name.clone(),
        role: token.role,
        tenant: token.tenant.clone(),
        created_ms: token.created_ms,
        expires_ms: token.expires_ms,
        overlap_until_ms: token.overlap_ms(),
        token: whole,
    }
}

/// Whether a caller may know of a token: its tenant's, or all.
fn sees(who: &Who, token: &Token) -> bool {
    who.oversees() || who.tenant == token.tenant
}

fn find<'d>(desk: &'d Desk, call: &Call) -> Result<(&'d String, &'d Token), Problem> {
    let found = desk.tokens().get_key_value(call.name("token"));
    found
        .filter(|(_, t)| sees(&call.who, t))
        .ok_or_else(|| Problem::not_found("there is no such token"))
}

/// All tokens that the caller may know of.
pub fn list(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let seen = desk.tokens().iter().filter(|(_, t)| sees(&call.who, t));
    let page = call.page(
        seen.map(|(id, t)| (id.clone(), view(id, t, None))),
        call.limit()?,
    )?;
    Ok(Reply::of(page).into())
}

/// One token.
pub fn get(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let (id, token) = find(desk, call)?;
    Ok(Reply::of(view(id, token, None)).into())
}

/// Whether a caller may make a token like this.
fn may_make(who: &Who, new: &NewToken) -> Result<(), Problem> {
    match (new.role, &new.tenant) {
        (Role::Operator, Some(_)) => {
            Err(fault("/tenant", "an operator's token is for all tenants"))
        }
        (Role::TenantAdmin, None) => {
            Err(fault("/tenant", "a tenant admin's token names its tenant"))
        }
        (_, tenant) if who.operates() || (tenant.is_some() && *tenant == who.tenant) => Ok(()),
        (_, Some(tenant)) if !who.sees(tenant) => Err(no_tenant(tenant)),
        _ => Err(Problem::forbidden(
            "only operators make tokens for all tenants",
        )),
    }
}

fn fault(pointer: &str, what: &str) -> Problem {
    Problem::faults(vec![config_parser::ValidationError {
        pointer: pointer.into(),
        message: what.into(),
    }])
}

/// A new token, told whole this once.
pub fn add(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let new: NewToken = call.read()?;
    may_make(&call.who, &new)?;
    if let Some(tenant) = &new.tenant {
        desk.document(&call.who, tenant)?;
    }
    // Those that have ended make room for others.
    let ended: Vec<String> = desk
        .tokens()
        .iter()
        .filter(|(_, t)| t.expires_ms.is_some_and(|end| end <= call.now_ms))
        .map(|(id, _)| id.clone())
        .collect();
    if desk.tokens().len() - ended.len() >= MOST {
        return Err(Problem::busy(format!(
            "there are {MOST} tokens already; revoke some"
        )));
    }
    let id = new_id()?;
    let (whole, secret) = new_secret(&id)?;
    let token = Token {
        name: new.name,
        role: new.role,
        tenant: new.tenant.clone(),
        created_ms: call.now_ms,
        expires_ms: new
            .expires_in_s
            .map(|s| call.now_ms.saturating_add(s.saturating_mul(1000))),
        secrets: vec![secret],
    };
    let reply = Reply {
        status: 201,
        location: Some(format!("/v1/tokens/{id}")),
        ..Reply::of(view(&id, &token, Some(whole)))
    };
    desk.change_tokens(call, "token.add", new.tenant, &id, Some(token), reply)
}

/// A token that a caller may change: an operator any, a tenant admin those of its tenant.
fn owned(desk: &Desk, call: &Call) -> Result<(String, Token), Problem> {
    let (id, token) = find(desk, call)?;
    if !call.who.operates() && token.tenant != call.who.tenant {
        return Err(Problem::forbidden(
            "only operators change tokens for all tenants",
        ));
    }
    Ok((id.clone(), token.clone()))
}

/// Gives a token another secret; the former one stays good for a while.
pub fn rotate(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let Rotate { overlap_s } = if call.body.is_null() {
        Rotate::default()
    } else {
        call.read()?
    };
    let (id, mut token) = owned(desk, call)?;
    let (whole, secret) = new_secret(&id)?;
    token.rotate(
        secret,
        call.now_ms.saturating_add(overlap_s.saturating_mul(1000)),
    );
    let reply = Reply::of(view(&id, &token, Some(whole)));
    let subject = token.tenant.clone();
    desk.change_tokens(call, "token.rotate", subject, &id, Some(token), reply)
}

/// Ends a token at once.
pub fn revoke(desk: &mut Desk, call: &Call) -> Result<Outcome, Problem> {
    let (id, token) = owned(desk, call)?;
    let operators = desk
        .tokens()
        .values()
        .filter(|t| t.role == Role::Operator)
        .count();
    if token.role == Role::Operator && operators == 1 {
        return Err(Problem::conflict(
            "it is the last operator's token; make another first",
        ));
    }
    let reply = Reply::of(view(&id, &token, None));
    desk.change_tokens(call, "token.revoke", token.tenant, &id, None, reply)
}
