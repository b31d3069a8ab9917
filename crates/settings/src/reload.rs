//! Settings that change in a running process: a new object is applied completely or not at all.
//!
//! Classes and tenants keep their indices, because requests in progress refer to them. New ones are appended; removed
//! ones stay known, but no new request may use them.

use balancer::Settings;
use serde_json::Value;

use crate::names::Names;
use crate::platform::PlatformSettings;
use crate::reload_check::{InvalidSetting, MAX_NAMES, ReloadError, check_settings, check_shape};

/// Settings in effect, with what is needed to follow a change.
#[derive(Clone, Debug)]
pub struct ReloadableSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, tenants, zones and machine types.
    pub names: Names,
    /// For each class, true if it accepts new requests.
    pub accepted_classes: Vec<bool>,
    /// For each tenant, true if it may send new requests.
    pub accepted_tenants: Vec<bool>,
    /// Object from which the settings were read.
    pub source: Value,
}

impl ReloadableSettings {
    /// Reads the settings with which a process starts.
    pub fn from_json(source: Value) -> Self {
        let platform = PlatformSettings::from_json(&source);
        ReloadableSettings {
            source,
            ..ReloadableSettings::fixed(platform.settings, platform.names)
        }
    }

    /// Wraps settings from another source, which cannot be reloaded.
    pub fn fixed(settings: Settings, names: Names) -> Self {
        ReloadableSettings {
            accepted_classes: vec![true; names.classes.len()],
            accepted_tenants: vec![true; names.tenants.len()],
            settings,
            names,
            source: Value::Null,
        }
    }

    /// Returns the settings that follow these ones.
    ///
    /// # Errors
    /// The first value of the new object that is invalid.
    pub fn reload(&self, source: &Value) -> Result<ReloadableSettings, ReloadError> {
        check_shape("settings", &self.source, source)?;
        check_settings(source)?;
        let PlatformSettings {
            mut settings,
            mut names,
        } = PlatformSettings::from_json(source);
        let classes = merge(
            Named::new(&self.names.classes, &self.settings.classes),
            Named::new(&names.classes, &settings.classes),
        );
        let tenants = merge(
            Named::new(&self.names.tenants, &self.settings.tenants),
            Named::new(&names.tenants, &settings.tenants),
        );
        check_name_count("settings.classes", classes.names.len())?;
        check_name_count("settings.accounts", tenants.names.len())?;
        names.classes = classes.names;
        names.tenants = tenants.names;
        settings.classes = classes.items;
        settings.tenants = tenants.items;
        Ok(ReloadableSettings {
            settings,
            names,
            accepted_classes: classes.accepted,
            accepted_tenants: tenants.accepted,
            source: source.clone(),
        })
    }
}

fn check_name_count(key: &str, count: usize) -> Result<(), ReloadError> {
    if count > MAX_NAMES {
        return Err(ReloadError::new(
            key,
            InvalidSetting::TooManyNames { max: MAX_NAMES },
        ));
    }
    Ok(())
}

/// Items with their names, in the same order.
#[derive(Clone, Copy)]
struct Named<'a, T> {
    names: &'a [String],
    items: &'a [T],
}

impl<'a, T> Named<'a, T> {
    fn new(names: &'a [String], items: &'a [T]) -> Self {
        Named { names, items }
    }
}

struct Merged<T> {
    names: Vec<String>,
    items: Vec<T>,
    accepted: Vec<bool>,
}

/// Merges new items into former ones: an item replaces the former one of its name or is appended.
fn merge<T: Clone>(former: Named<T>, new: Named<T>) -> Merged<T> {
    let mut merged = Merged {
        names: former.names.to_vec(),
        items: former.items.to_vec(),
        accepted: vec![false; former.items.len()],
    };
    for (name, item) in new.names.iter().zip(new.items) {
        match merged.names.iter().position(|known| known == name) {
            Some(index) => {
                merged.items[index] = item.clone();
                merged.accepted[index] = true;
            }
            None => {
                merged.names.push(name.clone());
                merged.items.push(item.clone());
                merged.accepted.push(true);
            }
        }
    }
    merged
}
