//! Texts of errors, which stay short whatever the document is.

use serde_json::Value;

/// How many faults of a document are listed at once; the others are counted.
pub const MOST_LISTED: usize = 50;

/// The longest place of a fault and the longest words about it, in bytes as JSON writes them: together under 1 KB.
pub(crate) const MOST_OF_PLACE: usize = 256;
pub(crate) const MOST_OF_WHAT: usize = 700;

/// How much of a string or number is quoted, in characters.
const MOST_QUOTED: usize = 64;

/// The line behind the last fault that is listed.
pub(crate) fn rest(more: usize) -> String {
    format!("and {more} more")
}

/// So many of something, which ends in `s` when there are several.
pub(crate) fn counted(n: usize, unit: &str) -> String {
    match unit
        .strip_suffix('y')
        .filter(|stem| n != 1 && !stem.ends_with('e'))
    {
        Some(stem) => format!("{n} {stem}ies"),
        None => format!("{n} {unit}{}", if n == 1 { "" } else { "s" }),
    }
}

/// A value as errors name it: a string or number as JSON writes it, cut when it is long; a list or an object by its
/// length.
pub(crate) fn quoted(value: &Value) -> String {
    match value {
        Value::String(text) => match text.char_indices().nth(MOST_QUOTED) {
            Some((end, _)) => {
                format!(
                    "{} and on ({})",
                    Value::from(&text[..end]),
                    counted(text.chars().count(), "character")
                )
            }
            None => value.to_string(),
        },
        Value::Array(entries) => format!("a list of {}", counted(entries.len(), "entry")),
        Value::Object(keys) => format!("an object of {}", counted(keys.len(), "key")),
        _ => value.to_string().chars().take(MOST_QUOTED).collect(),
    }
}

/// What a reader of values said, whose words may have a whole value in their middle.
pub(crate) fn shortened(words: &str) -> String {
    let end = words.char_indices().nth(MOST_QUOTED);
    let start = words.char_indices().rev().nth(MOST_QUOTED - 1);
    match (end, start) {
        (Some((end, _)), Some((start, _))) if start > end + 2 * MOST_QUOTED => cut(
            &format!("{}\u{2026}{}", &words[..end], &words[start..]),
            MOST_OF_WHAT,
        ),
        _ => cut(words, MOST_OF_WHAT),
    }
}

/// The beginning of a text that JSON writes in no more than so many bytes, with an ellipsis where it was cut.
pub(crate) fn cut(text: &str, most: usize) -> String {
    let written = |c: char| match c {
        '"' | '\\' => 2,
        c if c.is_ascii_control() => 6,
        c => c.len_utf8(),
    };
    let mut length = 0;
    for (at, c) in text.char_indices() {
        length += written(c);
        if length > most {
            // Half of a JSON Pointer's escape would be no pointer.
            return format!("{}\u{2026}", text[..at].trim_end_matches('~'));
        }
    }
    text.to_owned()
}
