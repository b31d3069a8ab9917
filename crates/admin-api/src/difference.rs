//! Differences between two documents. Items of lists are matched by name, not by position.

use std::collections::BTreeSet;

use schemars::JsonSchema;
use serde::{Deserialize, Serialize};
use serde_json::Value;

/// A difference.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize, JsonSchema)]
#[serde(rename_all = "kebab-case")]
pub struct Difference {
    /// Path of the difference, such as `/server/n1/state`: keys, and the names of list items.
    pub path: String,
    /// The old value; missing if there was none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub from: Option<Value>,
    /// The new value; missing if there is none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub to: Option<Value>,
}

/// Maximum number of differences reported.
pub const MAX_DIFFERENCES: usize = 1000;

/// Returns the differences between two values, with paths below `path`.
pub fn compare(path: &str, from: Option<&Value>, to: Option<&Value>) -> Vec<Difference> {
    let mut all = Vec::new();
    collect_differences(path.to_owned(), from, to, &mut all);
    all
}

fn collect_differences(
    path: String,
    from: Option<&Value>,
    to: Option<&Value>,
    all: &mut Vec<Difference>,
) {
    if from == to || all.len() >= MAX_DIFFERENCES {
        return;
    }
    match (from, to) {
        (Some(Value::Object(a)), Some(Value::Object(b))) => {
            let keys: BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            for key in keys {
                collect_differences(format!("{path}/{key}"), a.get(key), b.get(key), all);
            }
        }
        (Some(Value::Array(a)), Some(Value::Array(b))) if all_named(a) && all_named(b) => {
            let name = |v: &Value| v["name"].as_str().unwrap_or_default().to_owned();
            let names: BTreeSet<String> = a.iter().chain(b).map(name).collect();
            let position =
                |list: &'_ [Value], name: &str| list.iter().position(|v| v["name"] == name);
            for name in names {
                let (from, to) = (
                    position(a, &name).map(|i| &a[i]),
                    position(b, &name).map(|i| &b[i]),
                );
                collect_differences(format!("{path}/{name}"), from, to, all);
            }
        }
        (from, to) => all.push(Difference {
            path,
            from: from.cloned(),
            to: to.cloned(),
        }),
    }
}

fn all_named(list: &[Value]) -> bool {
    list.iter().all(|v| v["name"].is_string())
}

#[cfg(test)]
mod tests {
    use serde_json::json;

    use super::*;

    #[test]
    fn list_items_are_compared_by_name() {
        let a = json!({ "limits": { "weight": 1 }, "hosts": ["x"], "server": [{ "name": "n", "size": 1 }, { "name": "m" }] });
        let b = json!({ "limits": { "weight": 2 }, "hosts": ["y"], "server": [{ "name": "o" }, { "name": "n", "size": 2 }] });
        let all: Vec<(String, bool, bool)> = compare("", Some(&a), Some(&b))
            .into_iter()
            .map(|d| (d.path, d.from.is_some(), d.to.is_some()))
            .collect();
        let expected = [
            ("/hosts", true, true),
            ("/limits/weight", true, true),
            ("/server/m", true, false),
            ("/server/n/size", true, true),
            ("/server/o", false, true),
        ];
        assert_eq!(all, expected.map(|(p, f, t)| (p.to_owned(), f, t)));
        assert!(compare("", Some(&a), Some(&a)).is_empty());
        assert_eq!(compare("/t", None, Some(&a)).len(), 1);
    }
}
