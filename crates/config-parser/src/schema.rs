//! Checks by schema: the types are the schema, so that what is printed, what is checked and what is read can't differ.

use jsonschema::error::ValidationErrorKind;
use jsonschema::{ValidationError, Validator};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::message::{self, MOST_LISTED};
use crate::positions::{DocumentError, Places, Problem};
use crate::units;

/// One thing that is wrong with a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// Where, as a JSON Pointer (RFC 6901).
    pub pointer: String,
    /// What.
    pub what: String,
}

impl Fault {
    /// Where, with dots, as errors about a file name it.
    pub fn key(&self) -> String {
        let part = |p: &str| p.replace("~1", "/").replace("~0", "~");
        self.pointer
            .split('/')
            .skip(1)
            .map(part)
            .collect::<Vec<_>>()
            .join(".")
    }
}

/// The form that values of a type have.
pub struct Form {
    schema: Value,
    validator: Validator,
}

impl Form {
    /// The form of a type.
    ///
    /// # Errors
    /// The type's schema is no valid one, which is a fault of the type.
    pub fn of<T: JsonSchema>() -> Result<Self, String> {
        let schema = schemars::schema_for!(T).to_value();
        let validator = jsonschema::validator_for(&schema).map_err(|e| e.to_string())?;
        Ok(Form { schema, validator })
    }

    /// The JSON Schema.
    pub fn schema(&self) -> &Value {
        &self.schema
    }

    /// All that is wrong with a value: the first [`MOST_LISTED`] faults and, when there are more, one that counts
    /// the rest. None of them is longer than 1 KB, whatever the value is.
    pub fn faults(&self, value: &Value) -> Vec<Fault> {
        let (found, more) = self.first_faults(value);
        let bounded = |f: Fault| Fault {
            pointer: message::cut(&f.pointer, message::MOST_OF_PLACE),
            what: f.what,
        };
        let rest = (more > 0).then(|| Fault {
            pointer: String::new(),
            what: message::rest(more),
        });
        found.into_iter().map(bounded).chain(rest).collect()
    }

    /// The first [`MOST_LISTED`] faults, with their places whole, and how many there are beyond.
    fn first_faults(&self, value: &Value) -> (Vec<Fault>, usize) {
        let (mut faults, mut more) = (Vec::new(), 0);
        for error in self.validator.iter_errors(value) {
            let at = error.instance_path().as_str();
            let below = |key: &str| format!("{at}/{}", key.replace('~', "~0").replace('/', "~1"));
            let mut put = |pointer: &dyn Fn() -> String, what: &dyn Fn() -> String| {
                if faults.len() < MOST_LISTED {
                    faults.push(Fault {
                        pointer: pointer(),
                        what: message::cut(&what(), message::MOST_OF_WHAT),
                    });
                } else {
                    more += 1;
                }
            };
            match error.kind() {
                ValidationErrorKind::AdditionalProperties { unexpected } => {
                    unexpected
                        .iter()
                        .for_each(|key| put(&|| below(key), &|| "there is no such key".into()));
                }
                ValidationErrorKind::Required { property } => {
                    put(&|| below(property.as_str().unwrap_or_default()), &|| {
                        "it is missing".into()
                    });
                }
                _ => put(&|| at.to_owned(), &|| words(&error)),
            }
        }
        (faults, more)
    }

    /// Reads a value.
    ///
    /// # Errors
    /// What is wrong with it, as [`Form::faults`] lists it.
    pub fn read<T: DeserializeOwned>(&self, value: &Value) -> Result<T, Vec<Fault>> {
        let faults = self.faults(value);
        if faults.is_empty() {
            deserialized(value).map_err(|fault| vec![fault])
        } else {
            Err(faults)
        }
    }

    /// Reads a text in TOML, whose file is named so in errors; also where its keys stand.
    ///
    /// # Errors
    /// It is not TOML, or what is wrong with it, bounded as [`Places::problems`] says.
    pub fn read_toml<T: DeserializeOwned>(
        &self,
        file: &str,
        text: &str,
    ) -> Result<(T, Places), DocumentError> {
        let (value, places) = toml(file, text)?;
        let (mut faults, more) = self.first_faults(&value);
        if faults.is_empty() {
            match deserialized(&value) {
                Ok(read) => return Ok((read, places)),
                Err(fault) => faults.push(fault),
            }
        }
        let problem = |f: Fault| {
            let key = f.key();
            Problem {
                line: places.line_of(&key),
                key,
                what: f.what,
            }
        };
        Err(places.problems_and_more(faults.into_iter().map(problem).collect(), more))
    }
}

/// Reads a text in TOML, whose file is named so in errors, without a look at its form; also where its keys stand.
///
/// # Errors
/// It is not TOML.
pub fn toml(file: &str, text: &str) -> Result<(Value, Places), DocumentError> {
    let places = Places::new(file, text)?;
    let value = toml::from_str(text).map_err(|e| places.error(&e))?;
    Ok((value, places))
}

/// Reads a value whose form is right.
fn deserialized<T: DeserializeOwned>(value: &Value) -> Result<T, Fault> {
    T::deserialize(value).map_err(|e| Fault {
        pointer: String::new(),
        what: message::shortened(&e.to_string()),
    })
}

/// What an error says. Of the value there is a short quotation at most: it may be as long as the document.
fn words(error: &ValidationError) -> String {
    let value = error.instance();
    let length = match &**value {
        Value::String(text) => text.chars().count(),
        Value::Array(entries) => entries.len(),
        Value::Object(keys) => keys.len(),
        _ => 0,
    };
    let most = |unit: &str, limit: &u64| {
        let are = if *limit == 1 { "is" } else { "are" };
        format!(
            "it has {}, and at most {limit} {are} allowed",
            message::counted(length, unit)
        )
    };
    let least = |unit: &str, limit: &u64| {
        let are = if *limit == 1 { "is" } else { "are" };
        format!(
            "it has {}, and at least {limit} {are} needed",
            message::counted(length, unit)
        )
    };
    let otherwise = || error.masked_with(message::quoted(value)).to_string();
    match error.kind() {
        ValidationErrorKind::MaxItems { limit } => most("entry", limit),
        ValidationErrorKind::MinItems { limit } => least("entry", limit),
        ValidationErrorKind::MaxLength { limit } => most("character", limit),
        ValidationErrorKind::MinLength { limit } => least("character", limit),
        ValidationErrorKind::MaxProperties { limit } => most("key", limit),
        ValidationErrorKind::MinProperties { limit } => least("key", limit),
        ValidationErrorKind::Enum { options } => format!("it is one of {options}"),
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            options(context).map_or_else(otherwise, |options| format!("it is one of {options}"))
        }
        ValidationErrorKind::Pattern { pattern } => units::meaning(pattern)
            .map_or_else(otherwise, |meaning| {
                format!("{} is not {meaning}", message::quoted(value))
            }),
        // The value that it speaks of is a key, and the inner error's.
        ValidationErrorKind::PropertyNames { error } => words(error),
        _ => otherwise(),
    }
}

/// The values that a choice between constants offers: enums whose members have descriptions are written so.
fn options(context: &[Vec<ValidationError>]) -> Option<String> {
    let constant = |errors: &Vec<ValidationError>| match errors.first()?.kind() {
        ValidationErrorKind::Constant { expected_value } => Some(expected_value.to_string()),
        _ => None,
    };
    let all = context
        .iter()
        .map(constant)
        .collect::<Option<Vec<String>>>()?;
    (!all.is_empty()).then(|| all.join(", "))
}
