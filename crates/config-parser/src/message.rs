//! Parts of error messages. Their length is limited for any document.

use serde_json::Value;

/// Maximum number of errors that are listed for a document; further ones are counted.
pub const MAX_LISTED_ERRORS: usize = 50;

/// Maximum lengths of an error's position and message, in bytes of their JSON encoding: together under 1 KB.
pub(crate) const MAX_POSITION_BYTES: usize = 256;
pub(crate) const MAX_MESSAGE_BYTES: usize = 700;

/// Maximum number of characters that are quoted of a string or number.
const MAX_QUOTED_CHARS: usize = 64;

/// Returns the message after the last listed error.
pub(crate) fn omitted_count(omitted: usize) -> String {
    format!("and {omitted} more")
}

/// Formats a count with its unit, in the singular or plural.
pub(crate) fn count(number: usize, unit: &str) -> String {
    match unit
        .strip_suffix('y')
        .filter(|stem| number != 1 && !stem.ends_with('e'))
    {
        Some(stem) => format!("{number} {stem}ies"),
        None => format!("{number} {unit}{}", if number == 1 { "" } else { "s" }),
    }
}

/// Formats a value for an error message: a string or number as JSON, truncated if it is long; a list or object by its
/// length.
pub(crate) fn quote(value: &Value) -> String {
    match value {
        Value::String(text) => match text.char_indices().nth(MAX_QUOTED_CHARS) {
            Some((end, _)) => {
                format!(
                    "{}\u{2026} ({})",
                    Value::from(&text[..end]),
                    count(text.chars().count(), "character")
                )
            }
            None => value.to_string(),
        },
        Value::Array(entries) => format!("a list of {}", count(entries.len(), "entry")),
        Value::Object(keys) => format!("an object of {}", count(keys.len(), "key")),
        _ => value.to_string().chars().take(MAX_QUOTED_CHARS).collect(),
    }
}

/// Shortens a deserializer's message, which may quote a whole value: keeps the beginning and the end, which states the
/// error.
pub(crate) fn shorten(message: &str) -> String {
    let end = message.char_indices().nth(MAX_QUOTED_CHARS);
    let start = message.char_indices().rev().nth(MAX_QUOTED_CHARS - 1);
    match (end, start) {
        (Some((end, _)), Some((start, _))) if start > end + 2 * MAX_QUOTED_CHARS => truncate(
            &format!("{}\u{2026}{}", &message[..end], &message[start..]),
            MAX_MESSAGE_BYTES,
        ),
        _ => truncate(message, MAX_MESSAGE_BYTES),
    }
}

/// Truncates a text to a maximum length in bytes of its JSON encoding; an ellipsis marks a truncated one.
pub(crate) fn truncate(text: &str, max_bytes: usize) -> String {
    let encoded_length = |c: char| match c {
        '"' | '\\' => 2,
        c if c.is_ascii_control() => 6,
        c => c.len_utf8(),
    };
    let mut length = 0;
    for (offset, c) in text.char_indices() {
        length += encoded_length(c);
        if length > max_bytes {
            // A pointer that ends in half of an escape sequence (`~0`, `~1`) would be invalid.
            return format!("{}\u{2026}", text[..offset].trim_end_matches('~'));
        }
    }
    text.to_owned()
}
