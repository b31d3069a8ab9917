//! The `name=value` fields of a line.

use crate::error::LineError;

/// Fields of the type text, whose value extends to the end of the line.
const TEXT_FIELDS: [&str; 2] = ["params", "message"];

struct Field<'a> {
    name: &'a str,
    value: &'a str,
}

/// Fields of a line in their order.
pub struct Fields<'a>(Vec<Field<'a>>);

impl<'a> Fields<'a> {
    /// Splits the part of a line after its name.
    pub fn parse(text: &'a str) -> Result<Self, LineError> {
        let mut fields = Vec::new();
        let mut rest = text.trim_end_matches(['\r', '\n']);
        while !rest.is_empty() {
            let (part, after) = rest.split_once('\t').unwrap_or((rest, ""));
            if part.is_empty() {
                rest = after;
                continue;
            }
            let Some((name, value)) = part.split_once('=') else {
                let part = part.to_owned();
                return Err(LineError::NotAField { part });
            };
            if TEXT_FIELDS.contains(&name) {
                let value = &rest[name.len() + 1..];
                fields.push(Field { name, value });
                break;
            }
            fields.push(Field { name, value });
            rest = after;
        }
        Ok(Fields(fields))
    }

    /// Returns the first field of a name.
    pub fn optional_text(&self, name: &str) -> Option<&'a str> {
        let field = self.0.iter().find(|field| field.name == name)?;
        Some(field.value)
    }

    /// Returns a text.
    pub fn text(&self, name: &'static str) -> Result<&'a str, LineError> {
        self.optional_text(name)
            .ok_or(LineError::MissingField { name })
    }

    /// Returns a finite number.
    pub fn number(&self, name: &'static str) -> Result<f64, LineError> {
        self.optional_number(name)?
            .ok_or(LineError::MissingField { name })
    }

    /// Returns a finite number, if the field is there.
    pub fn optional_number(&self, name: &'static str) -> Result<Option<f64>, LineError> {
        let Some(value) = self.optional_text(name) else {
            return Ok(None);
        };
        match value.parse::<f64>() {
            Ok(number) if number.is_finite() => Ok(Some(number)),
            _ => Err(LineError::NotANumber {
                name,
                value: value.to_owned(),
            }),
        }
    }

    /// Returns an integer from 0.
    pub fn integer(&self, name: &'static str) -> Result<u64, LineError> {
        self.optional_integer(name)?
            .ok_or(LineError::MissingField { name })
    }

    /// Returns an integer from 0, if the field is there.
    pub fn optional_integer(&self, name: &'static str) -> Result<Option<u64>, LineError> {
        let Some(value) = self.optional_text(name) else {
            return Ok(None);
        };
        match value.parse() {
            Ok(number) => Ok(Some(number)),
            Err(_) => Err(LineError::NotAnInteger {
                name,
                value: value.to_owned(),
            }),
        }
    }
}
