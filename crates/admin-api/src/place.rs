//! Parts of a tenant's document, as paths name them: the whole, one table, or one member of a list by its name.

use serde_json::{Map, Value};

/// A part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place<'a> {
    /// All of it.
    Whole,
    /// One of its keys.
    Part(&'static str),
    /// The member of a list that has this name.
    Member(&'static str, &'a str),
}

fn position(list: &[Value], name: &str) -> Option<usize> {
    list.iter().position(|m| m["name"] == name)
}

impl Place<'_> {
    /// The part, if it is there.
    pub fn get<'v>(&self, document: &'v Value) -> Option<&'v Value> {
        match self {
            Place::Whole => Some(document),
            Place::Part(key) => document.get(key),
            Place::Member(list, name) => {
                let list = document.get(list)?.as_array()?;
                list.get(position(list, name)?)
            }
        }
    }

    /// The document with this part put there, and the pointer to where that is.
    pub fn put(&self, mut document: Value, part: Value) -> (Value, String) {
        match self {
            Place::Whole => (part, String::new()),
            Place::Part(key) => {
                if let Some(map) = document.as_object_mut() {
                    map.insert((*key).to_owned(), part);
                }
                (document, format!("/{key}"))
            }
            Place::Member(key, name) => {
                let mut at = 0;
                if let Some(map) = document.as_object_mut() {
                    let list = map.entry(*key).or_insert_with(|| Value::Array(Vec::new()));
                    if let Some(list) = list.as_array_mut() {
                        at = position(list, name).unwrap_or(list.len());
                        if at == list.len() {
                            list.push(part)
                        } else {
                            list[at] = part
                        }
                    }
                }
                (document, format!("/{key}/{at}"))
            }
        }
    }

    /// The document without this part; none if it was not there.
    pub fn take(&self, mut document: Value) -> Option<Value> {
        match self {
            Place::Whole => None,
            Place::Part(key) => document.as_object_mut()?.remove(*key).map(|_| document),
            Place::Member(key, name) => {
                let list = document.get_mut(key)?.as_array_mut()?;
                let at = position(list, name)?;
                list.remove(at);
                Some(document)
            }
        }
    }

    /// The part's name goes into what is put there, where it lacks one.
    ///
    /// # Errors
    /// It has another.
    pub fn name(&self, part: &mut Value) -> Result<(), String> {
        let Place::Member(_, name) = self else {
            return Ok(());
        };
        named(part, name)
    }
}

/// Sees that an object has this name; it gets it where it has none.
///
/// # Errors
/// It has another.
pub fn named(part: &mut Value, name: &str) -> Result<(), String> {
    let Some(map): Option<&mut Map<String, Value>> = part.as_object_mut() else {
        return Ok(());
    };
    let has = map.entry("name").or_insert_with(|| name.into());
    if *has == name {
        Ok(())
    } else {
        Err(format!("the path says \"{name}\""))
    }
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn members_are_found_put_and_taken_by_name() {
        let document = json!({ "name": "t", "server": [{ "name": "a", "size": 1 }] });
        let (a, b) = (Place::Member("server", "a"), Place::Member("server", "b"));
        assert_eq!(
            (a.get(&document).unwrap()["size"].clone(), b.get(&document)),
            (json!(1), None)
        );
        let (next, at) = b.put(document.clone(), json!({ "name": "b" }));
        assert_eq!(
            (next["server"].as_array().unwrap().len(), at.as_str()),
            (2, "/server/1")
        );
        let (next, at) = a.put(next, json!({ "name": "a", "size": 2 }));
        assert_eq!(
            (&next["server"][0]["size"], at.as_str()),
            (&json!(2), "/server/0")
        );
        assert_eq!(a.take(next).unwrap()["server"], json!([{ "name": "b" }]));
        assert_eq!(b.take(document.clone()), None);
        let class = Place::Member("class", "x");
        assert_eq!(
            class.put(document, json!({ "name": "x" })).0["class"],
            json!([{ "name": "x" }])
        );
        let mut part = json!({});
        assert!(a.name(&mut part).is_ok() && part["name"] == "a" && b.name(&mut part).is_err());
    }
}
