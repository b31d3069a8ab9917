//! Lenient access to members of JSON objects: a missing or unusable value yields the default.

use serde_json::Value;

/// Returns a finite number that is not negative.
pub(crate) fn number(object: &Value, key: &str, default: f64) -> f64 {
    object[key]
        .as_f64()
        .filter(|number| number.is_finite() && *number >= 0.0)
        .unwrap_or(default)
}

pub(crate) fn flag(object: &Value, key: &str, default: bool) -> bool {
    object[key].as_bool().unwrap_or(default)
}

pub(crate) fn text<'a>(object: &'a Value, key: &str) -> &'a str {
    object[key].as_str().unwrap_or("")
}

pub(crate) fn list<'a>(object: &'a Value, key: &str) -> &'a [Value] {
    object[key].as_array().map_or(&[], Vec::as_slice)
}

pub(crate) fn strings(object: &Value, key: &str) -> Vec<String> {
    list(object, key)
        .iter()
        .filter_map(Value::as_str)
        .map(str::to_owned)
        .collect()
}

/// Returns the member `name` of each object in a list.
pub(crate) fn names(object: &Value, key: &str) -> Vec<String> {
    list(object, key)
        .iter()
        .map(|entry| text(entry, "name").to_owned())
        .collect()
}
