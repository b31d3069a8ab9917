//! Checks of a new settings object before it replaces the one in effect.

use std::mem::discriminant;

use serde_json::{Map, Value};

/// Maximum number of classes and of tenants that a process may know, removed ones included.
pub const MAX_NAMES: usize = 256;

/// Keys that the platform calls optional: a new object may omit them although the former one had them.
const OPTIONAL_KEYS: [&str; 5] = [
    "aimStretch",
    "passesDeadline",
    "warmKeys",
    "cpuUsPerRequest",
    "hints",
];

const KNOWN_EFFECTS: [&str; 3] = ["idempotent", "deduplicated", "at_most_once"];

/// An invalid value in a new settings object, with its position.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {reason}")]
pub struct ReloadError {
    /// Path of the key, such as `settings.classes[0].deadline`.
    pub key: String,
    /// Reason why its value is invalid.
    #[source]
    pub reason: InvalidSetting,
}

impl ReloadError {
    pub(crate) fn new(key: impl Into<String>, reason: InvalidSetting) -> Self {
        ReloadError {
            key: key.into(),
            reason,
        }
    }
}

/// Reason why a value is invalid.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum InvalidSetting {
    /// A key of the former object is missing.
    #[error("the key is missing")]
    MissingKey,
    /// The value's type differs from that of the former object.
    #[error("{found} instead of {expected}")]
    WrongType {
        /// Type of the new value.
        found: &'static str,
        /// Type of the former value.
        expected: &'static str,
    },
    /// The list of classes is missing or empty.
    #[error("there is no class")]
    NoClasses,
    /// A class has no name.
    #[error("there is no name")]
    MissingName,
    /// Two classes have the same name.
    #[error("'{name}' occurs twice")]
    DuplicateClass {
        /// The name.
        name: String,
    },
    /// Two tenants (`accounts` in the object) have the same name.
    #[error("the name occurs twice")]
    DuplicateAccount,
    /// A value is not a number above 0.
    #[error("{value} is not greater than 0")]
    NotPositive {
        /// The value.
        value: Value,
    },
    /// The effect of a class is unknown.
    #[error("{value} is not a known effect")]
    UnknownEffect {
        /// The value.
        value: Value,
    },
    /// The process has known too many classes or tenants.
    #[error("over {max} names since the process started")]
    TooManyNames {
        /// The maximum, [`MAX_NAMES`].
        max: usize,
    },
}

/// Checks that `new` has each key that `former` has, with a value of the same type.
///
/// Each entry of a list must have the keys that all former entries had.
pub(crate) fn check_shape(key: &str, former: &Value, new: &Value) -> Result<(), ReloadError> {
    if discriminant(former) != discriminant(new) {
        let reason = InvalidSetting::WrongType {
            found: type_name(new),
            expected: type_name(former),
        };
        return Err(ReloadError::new(key, reason));
    }
    match (former, new) {
        (Value::Object(former), Value::Object(new)) => check_object_shape(key, former, new),
        (Value::Array(former), Value::Array(new)) => {
            let Some(common) = common_shape(former) else {
                return Ok(());
            };
            for (index, entry) in new.iter().enumerate() {
                check_shape(&format!("{key}[{index}]"), &common, entry)?;
            }
            Ok(())
        }
        _ => Ok(()),
    }
}

fn check_object_shape(
    key: &str,
    former: &Map<String, Value>,
    new: &Map<String, Value>,
) -> Result<(), ReloadError> {
    for (name, former_value) in former {
        let key = format!("{key}.{name}");
        match new.get(name) {
            Some(new_value) => check_shape(&key, former_value, new_value)?,
            None if OPTIONAL_KEYS.contains(&name.as_str()) => {}
            None => return Err(ReloadError::new(key, InvalidSetting::MissingKey)),
        }
    }
    Ok(())
}

/// Returns the first entry, without the keys that another entry lacks; none for an empty list.
fn common_shape(entries: &[Value]) -> Option<Value> {
    let (first, others) = entries.split_first()?;
    let Value::Object(first) = first else {
        return Some(first.clone());
    };
    let in_all = |name: &String| others.iter().all(|other| other.get(name).is_some());
    let common = first
        .iter()
        .filter(|(name, _)| in_all(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect();
    Some(Value::Object(common))
}

fn type_name(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a flag",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Checks the values of a settings object by themselves.
pub(crate) fn check_settings(object: &Value) -> Result<(), ReloadError> {
    let classes = entries(&object["classes"]);
    if classes.is_empty() {
        return Err(ReloadError::new(
            "settings.classes",
            InvalidSetting::NoClasses,
        ));
    }
    for index in 0..classes.len() {
        check_class(classes, index)?;
    }
    let attempts = &object["ceilings"]["maxAttempts"];
    if !attempts.is_null() {
        check_positive("settings.ceilings.maxAttempts", attempts)?;
    }
    let accounts = entries(&object["accounts"]);
    for (index, account) in accounts.iter().enumerate() {
        if is_named(&accounts[..index], &account["name"]) {
            let key = format!("settings.accounts[{index}].name");
            return Err(ReloadError::new(key, InvalidSetting::DuplicateAccount));
        }
    }
    Ok(())
}

fn check_class(classes: &[Value], index: usize) -> Result<(), ReloadError> {
    let class = &classes[index];
    let key = |name: &str| format!("settings.classes[{index}].{name}");
    let name = class["name"].as_str().unwrap_or_default();
    if name.is_empty() {
        return Err(ReloadError::new(key("name"), InvalidSetting::MissingName));
    }
    if is_named(&classes[..index], &class["name"]) {
        let name = name.to_owned();
        let reason = InvalidSetting::DuplicateClass { name };
        return Err(ReloadError::new(key("name"), reason));
    }
    check_positive(&key("deadline"), &class["deadline"])?;
    if !class["promise"].is_null() {
        check_positive(&key("promise"), &class["promise"])?;
    }
    let effect = &class["effect"];
    if !KNOWN_EFFECTS.contains(&effect.as_str().unwrap_or_default()) {
        let value = effect.clone();
        let reason = InvalidSetting::UnknownEffect { value };
        return Err(ReloadError::new(key("effect"), reason));
    }
    Ok(())
}

fn check_positive(key: &str, value: &Value) -> Result<(), ReloadError> {
    if value.as_f64().is_some_and(|number| number > 0.0) {
        return Ok(());
    }
    let value = value.clone();
    Err(ReloadError::new(key, InvalidSetting::NotPositive { value }))
}

fn entries(list: &Value) -> &[Value] {
    list.as_array().map_or(&[], Vec::as_slice)
}

fn is_named(entries: &[Value], name: &Value) -> bool {
    entries.iter().any(|entry| entry["name"] == *name)
}
