//! The platform's settings object, mapped to the decision module's settings.
//!
//! This is the only module that knows the platform's key names. A missing value gets a conservative default; checks of
//! a whole object are in `reload_check`.

use balancer::{
    Class, Costs, DeduplicationScope, Discovery, Idempotency, Limits, Millis, Settings, Tenant,
    WeightMeaning, ZoneId,
};
use serde_json::Value;

use crate::json::{flag, list, names, number, strings, text};
use crate::names::{Names, intern};

const DEFAULT_DEADLINE: Millis = 1000.0;
const DEFAULT_MAX_RETRY_AFTER: Millis = 1000.0;
const DEFAULT_WARM_UP: Millis = 30_000.0;
const DEFAULT_OVERLOAD_WINDOW: Millis = 1000.0;
const DEFAULT_CONNECT_TIMEOUT: Millis = 250.0;
const DEFAULT_IDLE_TIMEOUT: Millis = 15_000.0;
const MAX_PROXY_COUNT: f64 = 65_536.0;

/// Limits of connections to endpoints.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ConnectionSettings {
    /// Time after which an attempt to connect has failed.
    pub connect_timeout: Millis,
    /// Time after which an endpoint closes an idle connection at the latest.
    pub idle_timeout: Millis,
}

impl ConnectionSettings {
    /// Reads the limits from the platform's settings object.
    pub fn from_json(object: &Value) -> Self {
        let ceilings = &object["ceilings"];
        ConnectionSettings {
            connect_timeout: number(ceilings, "dialTimeout", DEFAULT_CONNECT_TIMEOUT),
            idle_timeout: number(ceilings, "idleClose", DEFAULT_IDLE_TIMEOUT),
        }
    }
}

/// The decision module's settings with the names of its indices.
#[derive(Clone, Debug)]
pub struct PlatformSettings {
    /// Settings of the decision module.
    pub settings: Settings,
    /// Names of the classes, tenants, zones and machine types.
    pub names: Names,
}

impl PlatformSettings {
    /// Reads the platform's settings object.
    pub fn from_json(object: &Value) -> Self {
        let mut names = Names {
            classes: names(object, "classes"),
            tenants: names(object, "accounts"),
            zones: strings(object, "zones"),
            machine_types: strings(object, "flavors"),
        };
        let zone = object["zone"]
            .as_str()
            .map(|zone| ZoneId(intern(&mut names.zones, zone) as u32));
        let ceilings = &object["ceilings"];
        let may_send_retry_after = flag(ceilings, "retryAfter", false);
        let max_retry_after = number(ceilings, "maxRetryAfter", DEFAULT_MAX_RETRY_AFTER);
        let settings = Settings {
            proxy_index: number(object, "myNumber", 0.0) as u32,
            proxy_count: number(object, "nInstances", 1.0).clamp(1.0, MAX_PROXY_COUNT) as u32,
            zone,
            classes: list(object, "classes").iter().map(class).collect(),
            tenants: list(object, "accounts").iter().map(tenant).collect(),
            over_quota_weight_fraction: number(object, "overShareWorth", 1.0),
            weight_by_work: text(object, "worthBy") == "work",
            discovery: discovery(object),
            weight_meaning: weight_meaning(object),
            key_affinity: flag(&object["extra"], "warmKeys", false),
            gossip_enabled: flag(ceilings, "mayTell", false),
            max_retry_after: may_send_retry_after.then_some(max_retry_after),
            costs: Costs {
                cross_zone: number(&object["prices"], "crossZone", 0.0),
            },
            limits: limits(object),
        };
        PlatformSettings { settings, names }
    }
}

fn class(object: &Value) -> Class {
    let deadline = number(object, "deadline", DEFAULT_DEADLINE);
    Class {
        latency_objective: number(object, "promise", deadline).min(deadline),
        deadline,
        objective_work_multiple: number(object, "aimStretch", 0.0),
        priority_weight: number(object, "worth", 1.0),
        late_weight_fraction: number(object, "lateShare", 0.0),
        idempotency: idempotency(object),
    }
}

/// Reads a class's idempotency. An unknown value counts as not idempotent, so that no request runs twice by mistake.
fn idempotency(class: &Value) -> Idempotency {
    match text(class, "effect") {
        "idempotent" => Idempotency::Idempotent,
        "deduplicated" => match deduplication_scope(class) {
            Some(scope) => Idempotency::IdempotencyKey {
                scope,
                deduplication_window: number(class, "window", 0.0),
            },
            None => Idempotency::NonIdempotent,
        },
        _ => Idempotency::NonIdempotent,
    }
}

fn deduplication_scope(class: &Value) -> Option<DeduplicationScope> {
    match text(class, "dedupScope") {
        "all" => Some(DeduplicationScope::All),
        "zone" => Some(DeduplicationScope::Zone),
        "cell" => Some(DeduplicationScope::Cell),
        _ => None,
    }
}

fn tenant(object: &Value) -> Tenant {
    Tenant {
        quota_per_second: number(object, "allowancePerS", f64::MAX),
    }
}

fn discovery(object: &Value) -> Discovery {
    match text(object, "discovery") {
        "on_request" => Discovery::OnRequest,
        _ => Discovery::Pushed,
    }
}

fn weight_meaning(object: &Value) -> WeightMeaning {
    match text(object, "weightSource") {
        "nominal" | "rough" => WeightMeaning::Capacity,
        "live" => WeightMeaning::AvailableCapacity,
        _ => WeightMeaning::Unspecified,
    }
}

fn limits(object: &Value) -> Limits {
    let rules = &object["rules"];
    Limits {
        initial_capacity_fraction: number(rules, "startCapacity", 0.0),
        warm_up: number(rules, "cold", DEFAULT_WARM_UP),
        overload_multiple: number(rules, "fallMultiple", 1.0),
        overload_window: number(rules, "fall", DEFAULT_OVERLOAD_WINDOW),
        max_attempts: number(&object["ceilings"], "maxAttempts", 1.0).max(1.0) as u32,
    }
}
