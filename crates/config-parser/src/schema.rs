//! Validation by JSON Schema. Schemas are generated from the types that values are deserialized into, so that the
//! published schema, the validation and the deserialization agree.

use jsonschema::error::ValidationErrorKind;
use jsonschema::{ValidationError as SchemaError, Validator};
use schemars::JsonSchema;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::message::{self, MAX_LISTED_ERRORS};
use crate::positions::{DocumentError, KeyPositions, Problem};
use crate::units;

/// Error in a value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ValidationError {
    /// Position in the value, as a JSON Pointer (RFC 6901).
    pub pointer: String,
    /// Description of the error.
    pub message: String,
}

impl ValidationError {
    /// Returns the position as a dotted key, as errors about a file name it.
    pub fn key(&self) -> String {
        let unescape = |part: &str| part.replace("~1", "/").replace("~0", "~");
        self.pointer
            .split('/')
            .skip(1)
            .map(unescape)
            .collect::<Vec<_>>()
            .join(".")
    }
}

/// JSON Schema of a type, with its validator.
pub struct DocumentSchema {
    schema: Value,
    validator: Validator,
}

impl DocumentSchema {
    /// Creates the schema of a type.
    ///
    /// # Errors
    /// The generated schema is invalid, which is a bug in the type's definition.
    pub fn for_type<T: JsonSchema>() -> Result<Self, String> {
        let schema = schemars::schema_for!(T).to_value();
        let validator = jsonschema::validator_for(&schema).map_err(|e| e.to_string())?;
        Ok(DocumentSchema { schema, validator })
    }

    /// Returns the JSON Schema.
    pub fn json_schema(&self) -> &Value {
        &self.schema
    }

    /// Returns the errors in a value: the first [`MAX_LISTED_ERRORS`] and, if there are more, a last one with the number of the others.
    /// Each is shorter than 1 KB for any value.
    pub fn validate(&self, value: &Value) -> Vec<ValidationError> {
        let (errors, omitted) = self.first_errors(value);
        let truncated = |error: ValidationError| ValidationError {
            pointer: message::truncate(&error.pointer, message::MAX_POSITION_BYTES),
            message: error.message,
        };
        let summary = (omitted > 0).then(|| ValidationError {
            pointer: String::new(),
            message: message::omitted_count(omitted),
        });
        errors.into_iter().map(truncated).chain(summary).collect()
    }

    /// Returns the first [`MAX_LISTED_ERRORS`] errors, with untruncated positions, and the number of further ones.
    fn first_errors(&self, value: &Value) -> (Vec<ValidationError>, usize) {
        let (mut errors, mut omitted) = (Vec::new(), 0);
        for error in self.validator.iter_errors(value) {
            let position = error.instance_path().as_str();
            let member =
                |key: &str| format!("{position}/{}", key.replace('~', "~0").replace('/', "~1"));
            let mut add = |pointer: &dyn Fn() -> String, description: &dyn Fn() -> String| {
                if errors.len() < MAX_LISTED_ERRORS {
                    errors.push(ValidationError {
                        pointer: pointer(),
                        message: message::truncate(&description(), message::MAX_MESSAGE_BYTES),
                    });
                } else {
                    omitted += 1;
                }
            };
            match error.kind() {
                ValidationErrorKind::AdditionalProperties { unexpected } => {
                    unexpected
                        .iter()
                        .for_each(|key| add(&|| member(key), &|| "there is no such key".into()));
                }
                ValidationErrorKind::Required { property } => {
                    add(&|| member(property.as_str().unwrap_or_default()), &|| {
                        "it is missing".into()
                    });
                }
                _ => add(&|| position.to_owned(), &|| describe(&error)),
            }
        }
        (errors, omitted)
    }

    /// Validates and deserializes a value.
    ///
    /// # Errors
    /// The errors in the value, as [`DocumentSchema::validate`] lists them.
    pub fn deserialize<T: DeserializeOwned>(
        &self,
        value: &Value,
    ) -> Result<T, Vec<ValidationError>> {
        let errors = self.validate(value);
        if errors.is_empty() {
            deserialize_valid(value).map_err(|error| vec![error])
        } else {
            Err(errors)
        }
    }

    /// Validates and deserializes a TOML text; returns the positions of its keys too. `file` is its name in errors.
    ///
    /// # Errors
    /// The text is not TOML, or has validation errors, listed up to the limit of [`KeyPositions::document_error`].
    pub fn deserialize_toml<T: DeserializeOwned>(
        &self,
        file: &str,
        text: &str,
    ) -> Result<(T, KeyPositions), DocumentError> {
        let (value, positions) = parse_toml(file, text)?;
        let (mut errors, omitted) = self.first_errors(&value);
        if errors.is_empty() {
            match deserialize_valid(&value) {
                Ok(document) => return Ok((document, positions)),
                Err(error) => errors.push(error),
            }
        }
        let problem = |error: ValidationError| {
            let key = error.key();
            Problem {
                line: positions.line_of(&key),
                key,
                message: error.message,
            }
        };
        Err(positions
            .document_error_with_omitted(errors.into_iter().map(problem).collect(), omitted))
    }
}

/// Parses a TOML text without validation; returns the positions of its keys too. `file` is its name in errors.
///
/// # Errors
/// The text is not TOML.
pub fn parse_toml(file: &str, text: &str) -> Result<(Value, KeyPositions), DocumentError> {
    let positions = KeyPositions::new(file, text)?;
    let value = toml::from_str(text).map_err(|e| positions.syntax_error(&e))?;
    Ok((value, positions))
}

/// Deserializes a value that the schema accepts. Types may reject more than their schemas express.
fn deserialize_valid<T: DeserializeOwned>(value: &Value) -> Result<T, ValidationError> {
    T::deserialize(value).map_err(|e| ValidationError {
        pointer: String::new(),
        message: message::shorten(&e.to_string()),
    })
}

/// Describes an error. The value, which may be as long as the document, is quoted only in short.
fn describe(error: &SchemaError) -> String {
    let value = error.instance();
    let length = match &**value {
        Value::String(text) => text.chars().count(),
        Value::Array(entries) => entries.len(),
        Value::Object(keys) => keys.len(),
        _ => 0,
    };
    let too_large = |unit: &str, limit: &u64| {
        let verb = if *limit == 1 { "is" } else { "are" };
        format!(
            "it has {}, and at most {limit} {verb} allowed",
            message::count(length, unit)
        )
    };
    let too_small = |unit: &str, limit: &u64| {
        let verb = if *limit == 1 { "is" } else { "are" };
        format!(
            "it has {}, and at least {limit} {verb} needed",
            message::count(length, unit)
        )
    };
    let default = || error.masked_with(message::quote(value)).to_string();
    match error.kind() {
        ValidationErrorKind::MaxItems { limit } => too_large("entry", limit),
        ValidationErrorKind::MinItems { limit } => too_small("entry", limit),
        ValidationErrorKind::MaxLength { limit } => too_large("character", limit),
        ValidationErrorKind::MinLength { limit } => too_small("character", limit),
        ValidationErrorKind::MaxProperties { limit } => too_large("key", limit),
        ValidationErrorKind::MinProperties { limit } => too_small("key", limit),
        ValidationErrorKind::Enum { options } => format!("it must be one of {options}"),
        ValidationErrorKind::OneOfNotValid { context } | ValidationErrorKind::AnyOf { context } => {
            allowed_values(context)
                .map_or_else(default, |values| format!("it must be one of {values}"))
        }
        ValidationErrorKind::Pattern { pattern } => units::describe_pattern(pattern)
            .map_or_else(default, |description| {
                format!("{} is not {description}", message::quote(value))
            }),
        // The inner error describes the invalid key; the outer one would quote the whole object.
        ValidationErrorKind::PropertyNames { error } => describe(error),
        _ => default(),
    }
}

/// Returns the allowed values if each alternative is a constant, as in the schema of an enum whose variants have
/// descriptions.
fn allowed_values(context: &[Vec<SchemaError>]) -> Option<String> {
    let constant = |errors: &Vec<SchemaError>| match errors.first()?.kind() {
        ValidationErrorKind::Constant { expected_value } => Some(expected_value.to_string()),
        _ => None,
    };
    let values = context
        .iter()
        .map(constant)
        .collect::<Option<Vec<String>>>()?;
    (!values.is_empty()).then(|| values.join(", "))
}
