//! Parts of a tenant's document, as paths address them: the whole document, one key, or one item of a list by its name.

use serde_json::{Map, Value};

/// A part of a document.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DocumentPart<'a> {
    /// The whole document.
    Whole,
    /// The value of a key.
    Key(&'static str),
    /// The item of a list that has this name.
    ListItem(&'static str, &'a str),
}

fn position(list: &[Value], name: &str) -> Option<usize> {
    list.iter().position(|item| item["name"] == name)
}

impl DocumentPart<'_> {
    /// Returns the part, if it exists.
    pub fn get<'v>(&self, document: &'v Value) -> Option<&'v Value> {
        match self {
            DocumentPart::Whole => Some(document),
            DocumentPart::Key(key) => document.get(key),
            DocumentPart::ListItem(list, name) => {
                let list = document.get(list)?.as_array()?;
                list.get(position(list, name)?)
            }
        }
    }

    /// Returns the document with this part set, and the pointer to the part.
    pub fn set(&self, mut document: Value, part: Value) -> (Value, String) {
        match self {
            DocumentPart::Whole => (part, String::new()),
            DocumentPart::Key(key) => {
                if let Some(map) = document.as_object_mut() {
                    map.insert((*key).to_owned(), part);
                }
                (document, format!("/{key}"))
            }
            DocumentPart::ListItem(key, name) => {
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

    /// Returns the document without this part; `None` if the part did not exist.
    pub fn remove(&self, mut document: Value) -> Option<Value> {
        match self {
            DocumentPart::Whole => None,
            DocumentPart::Key(key) => document.as_object_mut()?.remove(*key).map(|_| document),
            DocumentPart::ListItem(key, name) => {
                let list = document.get_mut(key)?.as_array_mut()?;
                let at = position(list, name)?;
                list.remove(at);
                Some(document)
            }
        }
    }

    /// Sets the part's name in `part` if it has none.
    ///
    /// # Errors
    /// `part` has a different name.
    pub fn set_name(&self, part: &mut Value) -> Result<(), String> {
        let DocumentPart::ListItem(_, name) = self else {
            return Ok(());
        };
        ensure_name(part, name)
    }
}

/// Sets the name of an object if it has none.
///
/// # Errors
/// The object has a different name.
pub fn ensure_name(part: &mut Value, name: &str) -> Result<(), String> {
    let Some(map): Option<&mut Map<String, Value>> = part.as_object_mut() else {
        return Ok(());
    };
    let current = map.entry("name").or_insert_with(|| name.into());
    if *current == name {
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
    fn list_items_are_found_set_and_removed_by_name() {
        let document = json!({ "name": "t", "server": [{ "name": "a", "size": 1 }] });
        let (a, b) = (
            DocumentPart::ListItem("server", "a"),
            DocumentPart::ListItem("server", "b"),
        );
        assert_eq!(
            (a.get(&document).unwrap()["size"].clone(), b.get(&document)),
            (json!(1), None)
        );
        let (next, at) = b.set(document.clone(), json!({ "name": "b" }));
        assert_eq!(
            (next["server"].as_array().unwrap().len(), at.as_str()),
            (2, "/server/1")
        );
        let (next, at) = a.set(next, json!({ "name": "a", "size": 2 }));
        assert_eq!(
            (&next["server"][0]["size"], at.as_str()),
            (&json!(2), "/server/0")
        );
        assert_eq!(a.remove(next).unwrap()["server"], json!([{ "name": "b" }]));
        assert_eq!(b.remove(document.clone()), None);
        let class = DocumentPart::ListItem("class", "x");
        assert_eq!(
            class.set(document, json!({ "name": "x" })).0["class"],
            json!([{ "name": "x" }])
        );
        let mut part = json!({});
        assert!(
            a.set_name(&mut part).is_ok() && part["name"] == "a" && b.set_name(&mut part).is_err()
        );
    }
}
