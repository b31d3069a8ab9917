//! Operations on tokens.

use crate::access::{Principal, Role, Token, new_id, new_secret};
use crate::admin_state::{AdminState, tenant_not_found};
use crate::bodies::{NewToken, TokenRotation, TokenView};
use crate::call::{Call, Outcome, Reply};
use crate::problem::Problem;

/// Maximum number of stored tokens.
const MAX_TOKENS: usize = 20_000;

fn view(id: &str, token: &Token, token_text: Option<String>) -> TokenView {
    TokenView {
        id: id.to_owned(),
        name: token.name.clone(),
        role: token.role,
        tenant: token.tenant.clone(),
        created_ms: token.created_ms,
        expires_ms: token.expires_ms,
        overlap_until_ms: token.overlap_end_ms(),
        token: token_text,
    }
}

/// Returns whether the caller may see a token: one limited to a tenant sees that tenant's tokens only.
fn can_see_token(principal: &Principal, token: &Token) -> bool {
    principal.sees_all_tenants() || principal.tenant == token.tenant
}

fn find<'d>(admin: &'d AdminState, call: &Call) -> Result<(&'d String, &'d Token), Problem> {
    let found = admin.tokens().get_key_value(call.path_parameter("token"));
    found
        .filter(|(_, t)| can_see_token(&call.principal, t))
        .ok_or_else(|| Problem::not_found("there is no such token"))
}

/// Lists the tokens that the caller may see.
pub fn list(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let visible = admin
        .tokens()
        .iter()
        .filter(|(_, t)| can_see_token(&call.principal, t));
    let page = call.page(
        visible.map(|(id, t)| (id.clone(), view(id, t, None))),
        call.page_limit()?,
    )?;
    Ok(Reply::ok(page).into())
}

/// Returns a token.
pub fn get(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let (id, token) = find(admin, call)?;
    Ok(Reply::ok(view(id, token, None)).into())
}

/// Checks whether the caller may create this token.
fn check_new_token(principal: &Principal, new: &NewToken) -> Result<(), Problem> {
    match (new.role, &new.tenant) {
        (Role::Operator, Some(_)) => Err(field_problem(
            "/tenant",
            "an operator's token is for all tenants",
        )),
        (Role::TenantAdmin, None) => Err(field_problem(
            "/tenant",
            "a tenant admin's token names its tenant",
        )),
        (_, tenant)
            if principal.is_operator() || (tenant.is_some() && *tenant == principal.tenant) =>
        {
            Ok(())
        }
        (_, Some(tenant)) if !principal.can_see(tenant) => Err(tenant_not_found(tenant)),
        _ => Err(Problem::forbidden(
            "only operators make tokens for all tenants",
        )),
    }
}

fn field_problem(pointer: &str, what: &str) -> Problem {
    Problem::from_faults(vec![config_parser::ValidationError {
        pointer: pointer.into(),
        message: what.into(),
    }])
}

/// Creates a token; the reply contains the token text, this once.
pub fn add(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let new: NewToken = call.parse_body()?;
    check_new_token(&call.principal, &new)?;
    if let Some(tenant) = &new.tenant {
        admin.document(&call.principal, tenant)?;
    }
    // Expired tokens do not count.
    let expired: Vec<String> = admin
        .tokens()
        .iter()
        .filter(|(_, t)| t.expires_ms.is_some_and(|end| end <= call.now_ms))
        .map(|(id, _)| id.clone())
        .collect();
    if admin.tokens().len() - expired.len() >= MAX_TOKENS {
        return Err(Problem::busy(format!(
            "there are {MAX_TOKENS} tokens already; revoke some"
        )));
    }
    let id = new_id()?;
    let (token_text, secret) = new_secret(&id)?;
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
        ..Reply::ok(view(&id, &token, Some(token_text)))
    };
    admin.change_tokens(call, "token.add", new.tenant, &id, Some(token), reply)
}

/// Returns a token that the caller may change: any for an operator, those of the tenant for a tenant admin.
fn find_writable(admin: &AdminState, call: &Call) -> Result<(String, Token), Problem> {
    let (id, token) = find(admin, call)?;
    if !call.principal.is_operator() && token.tenant != call.principal.tenant {
        return Err(Problem::forbidden(
            "only operators change tokens for all tenants",
        ));
    }
    Ok((id.clone(), token.clone()))
}

/// Replaces the secret of a token; the previous one stays valid for a while.
pub fn rotate(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let TokenRotation { overlap_s } = if call.body.is_null() {
        TokenRotation::default()
    } else {
        call.parse_body()?
    };
    let (id, mut token) = find_writable(admin, call)?;
    let (token_text, secret) = new_secret(&id)?;
    token.rotate(
        secret,
        call.now_ms.saturating_add(overlap_s.saturating_mul(1000)),
    );
    let reply = Reply::ok(view(&id, &token, Some(token_text)));
    let subject = token.tenant.clone();
    admin.change_tokens(call, "token.rotate", subject, &id, Some(token), reply)
}

/// Revokes a token at once.
pub fn revoke(admin: &mut AdminState, call: &Call) -> Result<Outcome, Problem> {
    let (id, token) = find_writable(admin, call)?;
    let operators = admin
        .tokens()
        .values()
        .filter(|t| t.role == Role::Operator)
        .count();
    if token.role == Role::Operator && operators == 1 {
        return Err(Problem::conflict(
            "it is the last operator's token; make another first",
        ));
    }
    let reply = Reply::ok(view(&id, &token, None));
    admin.change_tokens(call, "token.revoke", token.tenant, &id, None, reply)
}
