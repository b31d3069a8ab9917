//! What a schema can't say: names that are there once, references that lead somewhere, figures that fit each other.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use config_parser::{DocumentError, DocumentSchema, Problem, ValidationError};

use crate::catalog::Catalog;
use crate::document::{Cluster, Service, Tenant, TenantBy};
use crate::routes::normalize_host;

/// Reads a service's configuration.
///
/// # Errors
/// All that is wrong with it, each with line and key.
pub fn parse(file: &str, text: &str) -> Result<Service, DocumentError> {
    let at_start = |message: String| DocumentError {
        file: file.to_owned(),
        problems: vec![Problem {
            line: 1,
            key: String::new(),
            message,
        }],
    };
    let (service, places) = schema_form()
        .map_err(at_start)?
        .deserialize_toml::<Service>(file, text)?;
    let problem = |f: ValidationError| {
        let key = f.key();
        Problem {
            line: places.line_of(&key),
            key,
            message: f.message,
        }
    };
    let problems: Vec<Problem> = validate(&service).into_iter().map(problem).collect();
    if problems.is_empty() {
        Ok(service)
    } else {
        Err(places.document_error(problems))
    }
}

/// The form of a service's configuration.
///
/// # Errors
/// As [`DocumentSchema::for_type`].
pub fn schema_form() -> Result<DocumentSchema, String> {
    DocumentSchema::for_type::<Service>()
}

/// What is wrong with a service whose form is right.
pub fn validate(service: &Service) -> Vec<ValidationError> {
    let names: BTreeSet<&str> = service.tenants.iter().map(|t| t.name.as_str()).collect();
    let mut faults = Faults(validate_without_tenants(service, |name| {
        names.contains(name)
    }));
    faults.once(
        "/tenant",
        service.tenants.iter().map(|t| t.name.as_str()),
        "name",
    );
    let mut hosts = BTreeMap::new();
    let mut shared: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    for (i, t) in service.tenants.iter().enumerate() {
        let at = format!("/tenant/{i}");
        tenant(&mut faults, &at, t);
        for (h, host) in t.hosts.iter().enumerate() {
            if hosts
                .insert(normalize_host(host), i)
                .is_some_and(|other| other != i)
            {
                faults.put(&format!("{at}/hosts/{h}"), "it is another tenant's, too");
            }
        }
        for (s, server) in t.servers.iter().enumerate() {
            let Some(connections) = server.connections else {
                continue;
            };
            let (first, whose) = *shared.entry(&server.address).or_insert((connections, i));
            if first != connections && whose != i {
                faults.put(
                    &format!("{at}/server/{s}/connections"),
                    "another tenant says otherwise of this server",
                );
            }
        }
    }
    faults.0
}

/// What is wrong with a service whose form is right, but for its tenants, of which these are there.
pub fn validate_without_tenants(
    service: &Service,
    is_there: impl Fn(&str) -> bool,
) -> Vec<ValidationError> {
    let mut faults = Faults::default();
    let p = &service.process;
    faults.within("/process/loop-share", p.loop_share.0, 0.01, 1.0);
    faults.within("/process/turning-share", p.rejection_share.0, 0.001, 1.0);
    if p.loop_share.0 + p.rejection_share.0 > 1.0 {
        faults.put(
            "/process/turning-share",
            "with loop-share it is more than the whole loop",
        );
    }
    faults.within("/process/newcomers", p.idle_reserve.0, 0.0, 0.5);
    if !(1_000.0..=86_400_000.0).contains(&p.idle_timeout.0) {
        faults.put("/process/rest-after", "it is not from 1 s to 24 h");
    }
    faults.once(
        "/listener",
        service.listeners.iter().map(|l| l.name.as_str()),
        "name",
    );
    // Port 0 is any that is free: two of them are two ports.
    let any = |a: &str| a.ends_with(":0");
    for (i, l) in service
        .listeners
        .iter()
        .enumerate()
        .filter(|(_, l)| !any(&l.address))
    {
        if service.listeners[..i]
            .iter()
            .any(|other| other.address == l.address)
        {
            faults.put(
                &format!("/listener/{i}/address"),
                format!("\"{}\" stands twice", l.address),
            );
        }
    }
    if let Some(admin) = &service.admin {
        faults.address("/admin/address", &admin.address);
        if service.state.is_none() {
            faults.put(
                "/state",
                "it is missing: the administration API needs a place for its versions",
            );
        }
        if admin
            .address
            .parse::<SocketAddr>()
            .is_ok_and(|a| !a.ip().is_loopback())
            && !admin.allow_remote
        {
            faults.put(
                "/admin/address",
                "it is not on loopback: tokens would pass as they are (anywhere = true)",
            );
        }
    }
    if let Some(cluster) = &service.cluster {
        in_cluster(&mut faults, cluster, service.state.is_some());
    }
    for (i, l) in service.listeners.iter().enumerate() {
        let at = format!("/listener/{i}");
        faults.address(&format!("{at}/address"), &l.address);
        match (l.tenant_by, &l.tenant) {
            (TenantBy::Listener, None) => faults.put(&format!("{at}/tenant"), "it is missing"),
            (TenantBy::Listener, Some(name)) if !is_there(name) => {
                faults.put(&format!("{at}/tenant"), "there is no such tenant");
            }
            (TenantBy::Host | TenantBy::Header, Some(_)) => {
                faults.put(
                    &format!("{at}/tenant"),
                    "it is only named where tenant-by is \"listener\"",
                );
            }
            _ => {}
        }
    }
    faults.0
}

/// What is wrong with a change of a service that is right: for each fault which of the edits it is in, with a pointer into that
/// tenant's document, or none where it is in what does not change and no longer fits, with a pointer into the whole. It looks at what
/// changes and at what that touches, and at nothing else.
pub fn validate_edits(
    now: &Catalog,
    edits: &[(String, Option<Tenant>)],
) -> Vec<(Option<usize>, ValidationError)> {
    let mut all = Vec::new();
    let place: BTreeMap<&str, usize> = edits
        .iter()
        .enumerate()
        .map(|(i, (name, _))| (name.as_str(), i))
        .collect();
    let stays = |name: &str| !place.contains_key(name);
    let mut hosts: BTreeMap<String, usize> = BTreeMap::new();
    let mut limits: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    for (i, (name, tenant)) in edits.iter().enumerate() {
        let mut faults = Faults::default();
        let Some(t) = tenant else {
            let names = |l: &crate::document::Listener| l.tenant.as_deref() == Some(name);
            for (l, _) in now
                .base()
                .listeners
                .iter()
                .enumerate()
                .filter(|(_, l)| names(l))
            {
                faults.put(&format!("/listener/{l}/tenant"), "there is no such tenant");
            }
            all.extend(faults.0.into_iter().map(|f| (None, f)));
            continue;
        };
        self::tenant(&mut faults, "", t);
        for (h, host) in t.hosts.iter().enumerate() {
            let others = now.tenant_of_host(host).is_some_and(|of| stays(of))
                || hosts
                    .insert(normalize_host(host), i)
                    .is_some_and(|other| other != i);
            if others {
                faults.put(&format!("/hosts/{h}"), "it is another tenant's, too");
            }
        }
        for (s, server) in t.servers.iter().enumerate() {
            let Some(connections) = server.connections else {
                continue;
            };
            let other = now
                .users_of_server(&server.address)
                .find(|(of, _)| stays(of))
                .map(|(_, limit)| limit);
            let (first, whose) = *limits.entry(&server.address).or_insert((connections, i));
            if other.is_some_and(|limit| limit != connections) || first != connections && whose != i
            {
                faults.put(
                    &format!("/server/{s}/connections"),
                    "another tenant says otherwise of this server",
                );
            }
        }
        all.extend(faults.0.into_iter().map(|f| (Some(i), f)));
    }
    all
}

/// What is wrong with what is said of the cluster.
fn in_cluster(faults: &mut Faults, c: &Cluster, has_state: bool) {
    if !has_state {
        faults.put("/state", "it is missing: a cluster's log needs a place");
    }
    faults.address("/cluster/address", &c.address);
    for (name, address) in &c.peers {
        if *name == c.instance {
            faults.put(
                &format!("/cluster/peers/{name}"),
                "it is this instance itself",
            );
        }
        faults.address(&format!("/cluster/peers/{name}"), address);
    }
    faults.within("/cluster/lease", c.lease.0, 500.0, 600_000.0);
    faults.within("/cluster/change-lease", c.change_lease.0, 500.0, 600_000.0);
    faults.within("/cluster/drift", c.drift.0, 0.0, 0.2);
    faults.within("/cluster/hold", c.max_wait.0, 0.0, 10_000.0);
    faults.within("/cluster/retry-after", c.retry_after.0, 1.0, 3.6e6);
    faults.within("/cluster/list-wait", c.list_wait.0, 0.0, 3.6e6);
    if c.change_lease.0 > c.lease.0 {
        faults.put("/cluster/change-lease", "it is at most the lease");
    }
    if c.deadline.0 < 2.0 * c.lease.0 || c.deadline.0 > 3.6e6 {
        faults.put(
            "/cluster/deadline",
            "it is from twice the lease, so that a change outlasts the lease of an instance that is gone, to an hour",
        );
    }
}

/// What is wrong with one tenant, whose document stands at this pointer.
fn tenant(faults: &mut Faults, at: &str, t: &Tenant) {
    let classes = t.classes.iter().map(|c| c.name.as_str());
    faults.once(&format!("{at}/class"), classes, "name");
    faults.once(
        &format!("{at}/server"),
        t.servers.iter().map(|s| s.name.as_str()),
        "name",
    );
    for (i, host) in t.hosts.iter().enumerate() {
        let good = |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | ':' | '[' | ']');
        if host.is_empty() || !host.chars().all(good) {
            faults.put(&format!("{at}/hosts/{i}"), "it is no name of a host");
        }
    }
    for (i, c) in t.classes.iter().enumerate() {
        faults.within(
            &format!("{at}/class/{i}/deadline"),
            c.deadline.0,
            1.0,
            3.6e6,
        );
        faults.within(
            &format!("{at}/class/{i}/late-worth"),
            c.late_weight_fraction.0,
            0.0,
            1.0,
        );
        if c.latency_objective.0 > c.deadline.0 || c.latency_objective.0 <= 0.0 {
            faults.put(
                &format!("{at}/class/{i}/aim"),
                "it is more than nothing and at most the deadline",
            );
        }
    }
    faults.within(
        &format!("{at}/limits/burst"),
        t.limits.burst.0,
        1.0,
        10_000.0,
    );
    if let Some(share) = t.limits.loop_share {
        faults.within(&format!("{at}/limits/loop-share"), share.0, 0.001, 1.0);
    }
    faults.within(
        &format!("{at}/rules/cold-from"),
        t.rules.initial_capacity.0,
        0.01,
        1.0,
    );
    faults.within(&format!("{at}/rules/cold"), t.rules.warm_up.0, 0.0, 3.6e6);
    faults.within(
        &format!("{at}/rules/dial-timeout"),
        t.rules.connect_timeout.0,
        1.0,
        60_000.0,
    );
    faults.within(
        &format!("{at}/rules/idle-close"),
        t.rules.idle_timeout.0,
        100.0,
        3.6e6,
    );
    faults.within(
        &format!("{at}/rules/retry-after"),
        t.rules.retry_after.0,
        1.0,
        3.6e6,
    );
    if let Some(fleet) = &t.discovery {
        if !t.servers.is_empty() {
            faults.put(
                &format!("{at}/server"),
                "its servers are followed by fleet, and not named here",
            );
        }
        for (i, url) in fleet.etcd.iter().enumerate() {
            let address = url
                .strip_prefix("http://")
                .and_then(|a| a.trim_end_matches('/').parse::<SocketAddr>().ok());
            if address.is_none() {
                faults.put(
                    &format!("{at}/fleet/etcd/{i}"),
                    format!("\"{url}\" is not like \"http://127.0.0.1:2379\""),
                );
            }
        }
        faults.within(
            &format!("{at}/fleet/guard"),
            fleet.mass_expiry_ratio.0,
            0.01,
            1.0,
        );
        faults.within(&format!("{at}/fleet/hold"), fleet.retention.0, 0.0, 3.6e6);
    }
    for (i, s) in t.servers.iter().enumerate() {
        faults.address(&format!("{at}/server/{i}/address"), &s.address);
    }
}

#[derive(Default)]
struct Faults(Vec<ValidationError>);

impl Faults {
    fn put(&mut self, pointer: &str, what: impl Into<String>) {
        self.0.push(ValidationError {
            pointer: pointer.to_owned(),
            message: what.into(),
        });
    }

    fn within(&mut self, pointer: &str, value: f64, least: f64, most: f64) {
        if !(least..=most).contains(&value) {
            self.put(
                pointer,
                format!("it is from {least} to {most} (in ms, or as a part of 1)"),
            );
        }
    }

    fn address(&mut self, pointer: &str, text: &str) {
        if text.parse::<SocketAddr>().is_err() {
            self.put(
                pointer,
                format!("\"{text}\" is no address with a port, such as \"127.0.0.1:8080\""),
            );
        }
    }

    /// No two of a list have the same key.
    fn once<'a>(&mut self, list: &str, keys: impl Iterator<Item = &'a str>, key: &str) {
        let mut seen = BTreeSet::new();
        for (i, value) in keys.enumerate() {
            if !seen.insert(value) {
                self.put(
                    &format!("{list}/{i}/{key}"),
                    format!("\"{value}\" stands twice"),
                );
            }
        }
    }
}
