//! Settings that follow others in a running process: the file is checked whole and taken whole, or not at all.
//!
//! Classes and tenants keep the numbers that they have once been given, as requests under way refer to them: new ones come
//! after the others, and those that vanish stay known, though nothing new may come for them.

use std::fmt;

use balancer::Settings;
use serde_json::Value;

use crate::{Names, parse};

/// Classes and tenants that one process may ever know: each vanished one is remembered.
pub const MOST: usize = 256;

/// Keys that the platform's page calls optional: a file may come without them although the one before had them.
const OPTIONAL: [&str; 5] = [
    "aimStretch",
    "passesDeadline",
    "warmKeys",
    "cpuUsPerRequest",
    "hints",
];

/// What is wrong with a file, and where in it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    /// The key, with those that it stands under.
    pub key: String,
    /// What is wrong with it.
    pub reason: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        write!(f, "{}: {}", self.key, self.reason)
    }
}

fn fault<T>(key: impl Into<String>, reason: impl Into<String>) -> Result<T, Fault> {
    Err(Fault {
        key: key.into(),
        reason: reason.into(),
    })
}

/// Settings with the names that go with them.
#[derive(Clone, Debug)]
pub struct Terms {
    /// What the module decides by.
    pub settings: Settings,
    /// The names of its numbers.
    pub names: Names,
    /// For each class, whether requests may come for it.
    pub open: Vec<bool>,
    /// For each tenant, likewise.
    pub known: Vec<bool>,
    /// The object that they were read from.
    pub given: Value,
}

impl Terms {
    /// The settings that a process starts with.
    pub fn new(given: Value) -> Self {
        let (settings, names) = parse(&given);
        Terms {
            given,
            ..Terms::of(settings, names)
        }
    }

    /// Settings that did not come from the platform's object, and that nothing follows.
    pub fn of(settings: Settings, names: Names) -> Self {
        let (open, known) = (
            vec![true; names.classes.len()],
            vec![true; names.tenants.len()],
        );
        Terms {
            settings,
            names,
            open,
            known,
            given: Value::Null,
        }
    }

    /// Those that follow them, read from `next`.
    ///
    /// # Errors
    /// The first thing that is wrong with the file.
    pub fn followed_by(&self, next: &Value) -> Result<Terms, Fault> {
        like("settings", &self.given, next)?;
        check(next)?;
        let (mut settings, new) = parse(next);
        let mut names = Names {
            classes: self.names.classes.clone(),
            tenants: self.names.tenants.clone(),
            ..new
        };
        let (classes, open) = numbered(
            &mut names.classes,
            &new.classes,
            &self.settings.classes,
            &settings.classes,
        );
        let (tenants, known) = numbered(
            &mut names.tenants,
            &new.tenants,
            &self.settings.tenants,
            &settings.tenants,
        );
        (settings.classes, settings.tenants) = (classes, tenants);
        for (key, many) in [
            ("settings.classes", open.len()),
            ("settings.accounts", known.len()),
        ] {
            if many > MOST {
                return fault(key, format!("over {MOST} names since the process started"));
            }
        }
        Ok(Terms {
            settings,
            names,
            open,
            known,
            given: next.clone(),
        })
    }
}

/// Puts what is new in its place: under the number that its name has, or after all others.
fn numbered<T: Clone>(
    names: &mut Vec<String>,
    new: &[String],
    old: &[T],
    given: &[T],
) -> (Vec<T>, Vec<bool>) {
    let (mut items, mut there) = (old.to_vec(), vec![false; old.len()]);
    for (name, item) in new.iter().zip(given) {
        match names.iter().position(|n| n == name) {
            Some(place) => (items[place], there[place]) = (item.clone(), true),
            None => {
                names.push(name.clone());
                items.push(item.clone());
                there.push(true);
            }
        }
    }
    (items, there)
}

fn kind(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a flag",
        Value::Number(_) => "a number",
        Value::String(_) => "text",
        Value::Array(_) => "a list",
        Value::Object(_) => "an object",
    }
}

/// Whether `next` has each key that `now` has, with a value of the same kind. Of the entries of a list each must have what
/// all entries had before.
fn like(key: &str, now: &Value, next: &Value) -> Result<(), Fault> {
    if std::mem::discriminant(now) != std::mem::discriminant(next) {
        return fault(key, format!("{} in place of {}", kind(next), kind(now)));
    }
    match (now, next) {
        (Value::Object(now), Value::Object(next)) => {
            for (name, value) in now {
                let key = format!("{key}.{name}");
                match next.get(name) {
                    Some(next) => like(&key, value, next)?,
                    None if OPTIONAL.contains(&name.as_str()) => {}
                    None => return fault(key, "the key is missing"),
                }
            }
        }
        (Value::Array(now), Value::Array(next)) => {
            let Some((first, others)) = now.split_first() else {
                return Ok(());
            };
            let common = match first {
                Value::Object(first) => {
                    let in_all = |name: &String| others.iter().all(|o| o.get(name).is_some());
                    let kept = first.iter().filter(|(name, _)| in_all(name));
                    Value::Object(kept.map(|(n, v)| (n.clone(), v.clone())).collect())
                }
                other => other.clone(),
            };
            for (place, entry) in next.iter().enumerate() {
                like(&format!("{key}[{place}]"), &common, entry)?;
            }
        }
        _ => {}
    }
    Ok(())
}

/// Whether settings make sense by themselves.
fn check(all: &Value) -> Result<(), Fault> {
    let classes = all["classes"].as_array().map_or(&[][..], Vec::as_slice);
    if classes.is_empty() {
        return fault("settings.classes", "there is no class");
    }
    let over_0 = |key: String, value: &Value| match value.as_f64() {
        Some(number) if number > 0.0 => Ok(()),
        _ => fault(key, format!("{value} is not over 0")),
    };
    for (place, class) in classes.iter().enumerate() {
        let key = |name: &str| format!("settings.classes[{place}].{name}");
        match class["name"].as_str() {
            None | Some("") => return fault(key("name"), "there is no name"),
            Some(name) if classes[..place].iter().any(|c| c["name"] == name) => {
                return fault(key("name"), format!("'{name}' stands there twice"));
            }
            Some(_) => {}
        }
        over_0(key("deadline"), &class["deadline"])?;
        if !class["promise"].is_null() {
            over_0(key("promise"), &class["promise"])?;
        }
        let effect = class["effect"].as_str().unwrap_or_default();
        if !["idempotent", "deduplicated", "at_most_once"].contains(&effect) {
            return fault(key("effect"), format!("{} is no effect", class["effect"]));
        }
    }
    let attempts = &all["ceilings"]["maxAttempts"];
    if !attempts.is_null() {
        over_0("settings.ceilings.maxAttempts".into(), attempts)?;
    }
    let accounts = all["accounts"].as_array().map_or(&[][..], Vec::as_slice);
    for (place, account) in accounts.iter().enumerate() {
        if accounts[..place]
            .iter()
            .any(|a| a["name"] == account["name"])
        {
            return fault(
                format!("settings.accounts[{place}].name"),
                "it stands there twice",
            );
        }
    }
    Ok(())
}

#[cfg(test)]
mod tests {
    use balancer::Idempotency;
    use serde_json::json;

    use super::*;

    fn given() -> Value {
        json!({
            "classes": [
                {"name": "lookup", "effect": "idempotent", "promise": 200.0, "deadline": 900.0, "worth": 2.0},
                {"name": "checkout", "effect": "at_most_once", "promise": 300.0, "deadline": 800.0, "worth": 9.0,
                 "aimStretch": 1.5}],
            "accounts": [{"name": "nord", "share": 0.8, "allowancePerS": 80.0}],
            "ceilings": {"maxAttempts": 5, "retryAfter": true},
            "extra": {"warmKeys": true},
            "rules": {"cold": 9000.0}
        })
    }

    #[test]
    fn classes_keep_their_numbers_come_and_go() {
        let first = Terms::new(given());
        let mut next = given();
        next["classes"][0] = json!({"name": "renewal", "effect": "at_most_once", "promise": 100.0, "deadline": 400.0,
            "worth": 3.0});
        next["accounts"]
            .as_array_mut()
            .unwrap()
            .push(json!({"name": "est", "share": 0.2, "allowancePerS": 9.0}));
        next["extra"] = json!({});
        let second = first.followed_by(&next).expect("a good file");
        assert_eq!(second.names.classes, ["lookup", "checkout", "renewal"]);
        assert_eq!(second.open, [false, true, true]);
        assert_eq!(second.settings.classes[2].deadline, 400.0);
        assert_eq!(second.names.tenants, ["nord", "est"]);
        let mut back = given();
        back["classes"][0]["effect"] = json!("at_most_once");
        back["ceilings"]["maxAttempts"] = json!(2);
        let third = second.followed_by(&back).expect("a good file");
        assert_eq!(
            (third.open.as_slice(), &third.known[..]),
            (&[true, true, false][..], &[true, false][..])
        );
        assert_eq!(
            third.settings.classes[0].idempotency,
            Idempotency::NonIdempotent
        );
        assert_eq!(
            (
                third.settings.limits.max_attempts,
                third.settings.classes.len()
            ),
            (2, 3)
        );
    }

    #[test]
    fn what_is_wrong_is_named_with_its_key() {
        let change = |edit: &dyn Fn(&mut Value)| {
            let mut next = given();
            edit(&mut next);
            Terms::new(given())
                .followed_by(&next)
                .expect_err("a broken file")
        };
        let drop = |v: &mut Value, key: &str| drop(v.as_object_mut().unwrap().remove(key));
        type Edit<'a> = &'a dyn Fn(&mut Value);
        let cases: [(&str, Edit); 14] = [
            ("settings.classes: the key is missing", &|v| {
                drop(v, "classes")
            }),
            ("settings.ceilings.maxAttempts: the key is missing", &|v| {
                drop(&mut v["ceilings"], "maxAttempts")
            }),
            ("settings.rules: the key is missing", &|v| drop(v, "rules")),
            ("settings.classes[1].deadline: the key is missing", &|v| {
                drop(&mut v["classes"][1], "deadline")
            }),
            ("settings.classes[0].deadline: 0 is not", &|v| {
                v["classes"][0]["deadline"] = json!(0)
            }),
            ("settings.classes[0].deadline: -1.0 is not", &|v| {
                v["classes"][0]["deadline"] = json!(-1.0)
            }),
            ("settings.classes[0].deadline: text in place", &|v| {
                v["classes"][0]["deadline"] = json!("9")
            }),
            ("settings.classes[0].promise: 0 is not", &|v| {
                v["classes"][0]["promise"] = json!(0)
            }),
            ("settings.ceilings.maxAttempts: 0 is not", &|v| {
                v["ceilings"]["maxAttempts"] = json!(0)
            }),
            ("settings.classes[1].name: 'lookup' stands", &|v| {
                v["classes"][1]["name"] = json!("lookup")
            }),
            ("settings.classes[0].effect: \"odd\" is no", &|v| {
                v["classes"][0]["effect"] = json!("odd")
            }),
            ("settings.classes: there is no class", &|v| {
                v["classes"] = json!([])
            }),
            ("settings.classes: an object in place", &|v| {
                v["classes"] = json!({})
            }),
            ("settings: text in place of an object", &|v| *v = json!("x")),
        ];
        for (wanted, edit) in cases {
            let said = change(edit).to_string();
            assert!(said.starts_with(wanted), "{wanted} - {said}");
        }
    }

    #[test]
    fn names_are_bounded_over_all_files() {
        let mut terms = Terms::new(given());
        for n in 0.. {
            let mut next = given();
            next["classes"][0]["name"] = json!(format!("class-{n}"));
            match terms.followed_by(&next) {
                Ok(followed) => terms = followed,
                Err(fault) => {
                    assert!(n > 200 && fault.key == "settings.classes", "{n}: {fault}");
                    break;
                }
            }
        }
    }
}
