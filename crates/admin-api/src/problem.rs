//! Problem documents (RFC 9457).

use std::borrow::Cow;

use config_parser::ValidationError;
use config_store::StoreError;
use serde::Serialize;
use serde_json::{Value, json};

/// Bytes of a text in an answer or in the log: what somebody sent is not told back whole.
const MAX_TEXT_BYTES: usize = 1024;
/// Bytes of all fields that an answer names.
const MAX_FIELDS_BYTES: usize = 64 << 10;

/// A text as an answer or the log has it: one that is too long is cut, and says how long it was.
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

/// Why a call was turned down.
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    /// The status.
    pub status: u16,
    /// The last part of its type, by which programs tell problems apart.
    pub kind: &'static str,
    /// What kind of problem it is.
    pub title: &'static str,
    /// What is wrong this time.
    pub detail: String,
    /// Which fields are wrong.
    pub faults: Vec<ValidationError>,
}

/// A field that is wrong.
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

            /// All kinds: status, the last part of the type, and title.
            pub const KINDS: &[(u16, &str, &str)] = &[$(($status, $kind, $title)),*];
        }
    };
}

kinds! {
    /// The call can't be read.
    malformed = 400, "malformed", "The request can't be read";
    /// It has no good token.
    unauthorized = 401, "unauthorized", "No valid token";
    /// Its token has no right to it.
    forbidden = 403, "forbidden", "The token does not allow this";
    /// There is no such thing, or none that the token may see.
    not_found = 404, "not-found", "There is no such thing";
    /// It is there, but not for this method.
    wrong_method = 405, "wrong-method", "Not a method of this resource";
    /// It does not fit the rest of the service.
    conflict = 409, "conflict", "It does not fit the rest of the service";
    /// The instances of the cluster did not all take it.
    change_aborted = 409, "given-up", "Not all instances can take it";
    /// It is no longer kept.
    gone = 410, "gone", "It is no longer kept";
    /// Someone else has changed it meanwhile.
    lost_update = 412, "lost-update", "It has been changed meanwhile";
    /// The body is too large.
    too_large = 413, "too-large", "The body is too large";
    /// The body is not JSON.
    not_json = 415, "not-json", "The body must be application/json";
    /// The document is wrong.
    invalid = 422, "invalid", "The document is wrong";
    /// It must say which revision it is meant for.
    precondition_required = 428, "precondition-required", "If-Match is missing";
    /// Too much at once.
    busy = 429, "busy", "Too much at once";
    /// A fault of the program.
    internal = 500, "internal", "The service has failed";
    /// No instance of the cluster leads.
    no_leader = 503, "no-leader", "No instance of the cluster leads";
    /// Nothing can be changed now.
    read_only = 503, "read-only", "The state is read-only";
    /// The disk is full.
    disk_full = 507, "full", "The disk is full";
}

impl Problem {
    /// A document with these faults.
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

    /// The document, as application/problem+json.
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
