//! Problem documents (RFC 9457).

use std::borrow::Cow;

use config_parser::ValidationError;
use config_store::StoreError;
use serde::Serialize;
use serde_json::{Value, json};

/// Maximum length of a text in a reply or in the log, so that a long request is not repeated in full.
const MAX_TEXT_BYTES: usize = 1024;
/// Maximum size of all fields listed in a reply.
const MAX_FIELDS_BYTES: usize = 64 << 10;

/// Truncates a long text for a reply or the log, and appends its original length.
pub fn truncated(text: &str) -> Cow<'_, str> {
    if text.len() <= MAX_TEXT_BYTES {
        return text.into();
    }
    let is_boundary = |end: &usize| text.is_char_boundary(*end);
    let head = &text[..(0..=MAX_TEXT_BYTES - 64)
        .rev()
        .find(is_boundary)
        .unwrap_or(0)];
    format!("{head}... (cut: it has {} bytes)", text.len()).into()
}

/// The reason why a call was rejected.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The HTTP status.
    pub status: u16,
    /// The last part of the type URI, by which programs distinguish problems.
    pub kind: &'static str,
    /// The title of this kind of problem.
    pub title: &'static str,
    /// The explanation of this occurrence.
    pub detail: String,
    /// The invalid fields.
    pub faults: Vec<ValidationError>,
}

/// An invalid field.
#[derive(Serialize)]
struct Field<'a> {
    pointer: &'a str,
    detail: &'a str,
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident = $status:literal, $kind:literal, $title:literal;)*) => {
        impl Problem {
            $($(#[$doc])* pub fn $name(detail: impl Into<String>) -> Self {
                Problem { status: $status, kind: $kind, title: $title, detail: detail.into(), faults: Vec::new() }
            })*

            /// All kinds: status, last part of the type URI, and title.
            pub const KINDS: &[(u16, &str, &str)] = &[$(($status, $kind, $title)),*];
        }
    };
}

kinds! {
    /// The request can't be read.
    malformed = 400, "malformed", "The request can't be read";
    /// The token is missing or not valid.
    unauthorized = 401, "unauthorized", "No valid token";
    /// The token lacks the permission.
    forbidden = 403, "forbidden", "The token does not allow this";
    /// The resource does not exist, or the caller may not see it.
    not_found = 404, "not-found", "There is no such thing";
    /// The resource exists, but does not support this method.
    wrong_method = 405, "wrong-method", "Not a method of this resource";
    /// The change conflicts with the rest of the service.
    conflict = 409, "conflict", "It does not fit the rest of the service";
    /// The cluster aborted the change, because not all members can apply it.
    change_aborted = 409, "given-up", "Not all instances can take it";
    /// The version or revision is no longer kept.
    gone = 410, "gone", "It is no longer kept";
    /// Another call has changed the resource.
    lost_update = 412, "lost-update", "It has been changed meanwhile";
    /// The body is too large.
    too_large = 413, "too-large", "The body is too large";
    /// The body is not JSON.
    not_json = 415, "not-json", "The body must be application/json";
    /// The document is invalid.
    invalid = 422, "invalid", "The document is wrong";
    /// The call has to name the revision that it is meant for.
    precondition_required = 428, "precondition-required", "If-Match is missing";
    /// Too many calls, streams or tokens.
    busy = 429, "busy", "Too much at once";
    /// An internal error.
    internal = 500, "internal", "The service has failed";
    /// No member of the cluster leads.
    no_leader = 503, "no-leader", "No instance of the cluster leads";
    /// The state is read-only.
    read_only = 503, "read-only", "The state is read-only";
    /// The disk is full.
    disk_full = 507, "full", "The disk is full";
}

impl Problem {
    /// Creates the problem of a document with these faults.
    pub fn from_faults(faults: Vec<ValidationError>) -> Self {
        let detail = match faults.as_slice() {
            [one] => format!("{}: {}", one.pointer, one.message),
            many => format!("{} fields are wrong", many.len()),
        };
        Problem {
            faults,
            ..Problem::invalid(detail)
        }
    }

    /// Returns the application/problem+json document.
    pub fn body(&self, instance: &str) -> Value {
        let field = |f: &'_ ValidationError| {
            json!(Field {
                pointer: &truncated(&f.pointer),
                detail: &truncated(&f.message)
            })
        };
        let mut body = json!({
            "type": format!("/problems/{}", self.kind),
            "title": self.title,
            "status": self.status,
            "detail": truncated(&self.detail),
            "instance": truncated(instance),
        });
        if !self.faults.is_empty() {
            let mut bytes = 0;
            let listed = self.faults.iter().take_while(|f| {
                bytes +=
                    f.pointer.len().min(MAX_TEXT_BYTES) + f.message.len().min(MAX_TEXT_BYTES) + 32;
                bytes <= MAX_FIELDS_BYTES
            });
            body["errors"] = listed.map(field).collect();
        }
        body
    }
}

impl From<StoreError> for Problem {
    fn from(error: StoreError) -> Self {
        match error {
            StoreError::DiskFull => {
                Problem::disk_full("nothing has changed; make room and try again")
            }
            e => {
                tracing::error!(error = %e, "the store has failed");
                Problem::internal("the store has failed; the log says why")
            }
        }
    }
}
