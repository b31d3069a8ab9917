//! Validates what the schema can't express: unique names, references, and values that depend on others.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use config_parser::{DocumentError, DocumentSchema, Problem, ValidationError};

use crate::catalog::Catalog;
use crate::document::{Cluster, Service, Tenant, TenantBy};
use crate::routes::normalize_host;

/// Parses and validates the configuration of a service.
///
/// # Errors
/// All errors in it, each with line and key.
pub fn parse(file: &str, text: &str) -> Result<Service, DocumentError> {
    let error_at_start = |message: String| DocumentError {
        file: file.to_owned(),
        problems: vec![Problem {
            line: 1,
            key: String::new(),
            message,
        }],
    };
    let (service, positions) = schema_form()
        .map_err(error_at_start)?
        .deserialize_toml::<Service>(file, text)?;
    let problem = |fault: ValidationError| {
        let key = fault.key();
        Problem {
            line: positions.line_of(&key),
            key,
            message: fault.message,
        }
    };
    let problems: Vec<Problem> = validate(&service).into_iter().map(problem).collect();
    if problems.is_empty() {
        Ok(service)
    } else {
        Err(positions.document_error(problems))
    }
}

/// Returns the schema of a service's configuration.
///
/// # Errors
/// As [`DocumentSchema::for_type`].
pub fn schema_form() -> Result<DocumentSchema, String> {
    DocumentSchema::for_type::<Service>()
}

/// Validates a service that matches the schema.
pub fn validate(service: &Service) -> Vec<ValidationError> {
    let names: BTreeSet<&str> = service
        .tenants
        .iter()
        .map(|tenant| tenant.name.as_str())
        .collect();
    let mut faults = Faults(validate_without_tenants(service, |name| {
        names.contains(name)
    }));
    faults.check_unique(
        "/tenant",
        service.tenants.iter().map(|tenant| tenant.name.as_str()),
        "name",
    );
    let mut hosts = BTreeMap::new();
    let mut shared: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    for (index, tenant) in service.tenants.iter().enumerate() {
        let at = format!("/tenant/{index}");
        validate_tenant(&mut faults, &at, tenant);
        for (host_index, host) in tenant.hosts.iter().enumerate() {
            if hosts
                .insert(normalize_host(host), index)
                .is_some_and(|other| other != index)
            {
                faults.add(
                    &format!("{at}/hosts/{host_index}"),
                    "the host is already used by another tenant",
                );
            }
        }
        for (server_index, server) in tenant.servers.iter().enumerate() {
            let Some(connections) = server.connections else {
                continue;
            };
            let (first_limit, first_user) = *shared
                .entry(&server.address)
                .or_insert((connections, index));
            if first_limit != connections && first_user != index {
                faults.add(
                    &format!("{at}/server/{server_index}/connections"),
                    "another tenant sets a different limit for this server",
                );
            }
        }
    }
    faults.0
}

/// Validates a service that matches the schema, except for its tenants; `tenant_exists` returns true for the
/// names of existing tenants.
pub fn validate_without_tenants(
    service: &Service,
    tenant_exists: impl Fn(&str) -> bool,
) -> Vec<ValidationError> {
    let mut faults = Faults::default();
    let process = &service.process;
    faults.check_range("/process/loop-share", process.loop_share.0, 0.01, 1.0);
    faults.check_range(
        "/process/turning-share",
        process.rejection_share.0,
        0.001,
        1.0,
    );
    if process.loop_share.0 + process.rejection_share.0 > 1.0 {
        faults.add(
            "/process/turning-share",
            "the sum with loop-share is greater than 1",
        );
    }
    faults.check_range("/process/newcomers", process.idle_reserve.0, 0.0, 0.5);
    if !(1_000.0..=86_400_000.0).contains(&process.idle_timeout.0) {
        faults.add("/process/rest-after", "must be from 1 s to 24 h");
    }
    faults.check_unique(
        "/listener",
        service
            .listeners
            .iter()
            .map(|listener| listener.name.as_str()),
        "name",
    );
    // Port 0 selects a free port, so that two listeners with it don't conflict.
    let has_port_zero = |address: &str| address.ends_with(":0");
    for (index, listener) in service
        .listeners
        .iter()
        .enumerate()
        .filter(|(_, listener)| !has_port_zero(&listener.address))
    {
        if service.listeners[..index]
            .iter()
            .any(|other| other.address == listener.address)
        {
            faults.add(
                &format!("/listener/{index}/address"),
                format!("\"{}\" is used twice", listener.address),
            );
        }
    }
    if let Some(admin) = &service.admin {
        faults.check_address("/admin/address", &admin.address);
        if service.state.is_none() {
            faults.add(
                "/state",
                "is missing: the administration API requires a directory for its versions",
            );
        }
        if admin
            .address
            .parse::<SocketAddr>()
            .is_ok_and(|a| !a.ip().is_loopback())
            && !admin.allow_remote
        {
            faults.add(
                "/admin/address",
                "is not a loopback address: tokens would be sent without encryption (set anywhere = true to allow this)",
            );
        }
    }
    if let Some(cluster) = &service.cluster {
        validate_cluster(&mut faults, cluster, service.state.is_some());
    }
    for (index, listener) in service.listeners.iter().enumerate() {
        let at = format!("/listener/{index}");
        faults.check_address(&format!("{at}/address"), &listener.address);
        match (listener.tenant_by, &listener.tenant) {
            (TenantBy::Listener, None) => faults.add(&format!("{at}/tenant"), "is missing"),
            (TenantBy::Listener, Some(name)) if !tenant_exists(name) => {
                faults.add(&format!("{at}/tenant"), "unknown tenant");
            }
            (TenantBy::Host | TenantBy::Header, Some(_)) => {
                faults.add(
                    &format!("{at}/tenant"),
                    "is only allowed if tenant-by is \"listener\"",
                );
            }
            _ => {}
        }
    }
    faults.0
}

/// Validates a change of a valid service. Each fault has the index of its edit and a pointer into the
/// document of that tenant, or no index and a pointer into the whole document if the change invalidates an
/// unchanged part. Only the edits and what they affect are checked.
pub fn validate_edits(
    current: &Catalog,
    edits: &[(String, Option<Tenant>)],
) -> Vec<(Option<usize>, ValidationError)> {
    let mut all_faults = Vec::new();
    let edit_index: BTreeMap<&str, usize> = edits
        .iter()
        .enumerate()
        .map(|(index, (name, _))| (name.as_str(), index))
        .collect();
    let is_unchanged = |name: &str| !edit_index.contains_key(name);
    let mut hosts: BTreeMap<String, usize> = BTreeMap::new();
    let mut limits: BTreeMap<&str, (u64, usize)> = BTreeMap::new();
    for (index, (name, tenant)) in edits.iter().enumerate() {
        let mut faults = Faults::default();
        let Some(tenant) = tenant else {
            let names_tenant =
                |listener: &crate::document::Listener| listener.tenant.as_deref() == Some(name);
            for (listener_index, _) in current
                .base()
                .listeners
                .iter()
                .enumerate()
                .filter(|(_, listener)| names_tenant(listener))
            {
                faults.add(
                    &format!("/listener/{listener_index}/tenant"),
                    "unknown tenant",
                );
            }
            all_faults.extend(faults.0.into_iter().map(|f| (None, f)));
            continue;
        };
        self::validate_tenant(&mut faults, "", tenant);
        for (host_index, host) in tenant.hosts.iter().enumerate() {
            let used_by_other = current
                .tenant_of_host(host)
                .is_some_and(|tenant| is_unchanged(tenant))
                || hosts
                    .insert(normalize_host(host), index)
                    .is_some_and(|other| other != index);
            if used_by_other {
                faults.add(
                    &format!("/hosts/{host_index}"),
                    "the host is already used by another tenant",
                );
            }
        }
        for (server_index, server) in tenant.servers.iter().enumerate() {
            let Some(connections) = server.connections else {
                continue;
            };
            let existing_limit = current
                .users_of_server(&server.address)
                .find(|(tenant, _)| is_unchanged(tenant))
                .map(|(_, limit)| limit);
            let (first_limit, first_user) = *limits
                .entry(&server.address)
                .or_insert((connections, index));
            if existing_limit.is_some_and(|limit| limit != connections)
                || first_limit != connections && first_user != index
            {
                faults.add(
                    &format!("/server/{server_index}/connections"),
                    "another tenant sets a different limit for this server",
                );
            }
        }
        all_faults.extend(faults.0.into_iter().map(|f| (Some(index), f)));
    }
    all_faults
}

/// Validates the settings of the cluster.
fn validate_cluster(faults: &mut Faults, cluster: &Cluster, has_state: bool) {
    if !has_state {
        faults.add(
            "/state",
            "is missing: a cluster requires a directory for its log",
        );
    }
    faults.check_address("/cluster/address", &cluster.address);
    for (name, address) in &cluster.peers {
        if *name == cluster.instance {
            faults.add(&format!("/cluster/peers/{name}"), "is this instance itself");
        }
        faults.check_address(&format!("/cluster/peers/{name}"), address);
    }
    faults.check_range("/cluster/lease", cluster.lease.0, 500.0, 600_000.0);
    faults.check_range(
        "/cluster/change-lease",
        cluster.change_lease.0,
        500.0,
        600_000.0,
    );
    faults.check_range("/cluster/drift", cluster.drift.0, 0.0, 0.2);
    faults.check_range("/cluster/hold", cluster.max_wait.0, 0.0, 10_000.0);
    faults.check_range("/cluster/retry-after", cluster.retry_after.0, 1.0, 3.6e6);
    faults.check_range("/cluster/list-wait", cluster.list_wait.0, 0.0, 3.6e6);
    if cluster.change_lease.0 > cluster.lease.0 {
        faults.add("/cluster/change-lease", "must be at most the lease");
    }
    if cluster.deadline.0 < 2.0 * cluster.lease.0 || cluster.deadline.0 > 3.6e6 {
        faults.add(
            "/cluster/deadline",
            "must be at least twice the lease, so that a change outlasts the lease of an unreachable instance, and at most 1 h",
        );
    }
}

/// Validates a tenant; `at` is the pointer to its document.
fn validate_tenant(faults: &mut Faults, at: &str, tenant: &Tenant) {
    let classes = tenant.classes.iter().map(|class| class.name.as_str());
    faults.check_unique(&format!("{at}/class"), classes, "name");
    faults.check_unique(
        &format!("{at}/server"),
        tenant.servers.iter().map(|server| server.name.as_str()),
        "name",
    );
    for (index, host) in tenant.hosts.iter().enumerate() {
        let is_valid =
            |c: char| c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | ':' | '[' | ']');
        if host.is_empty() || !host.chars().all(is_valid) {
            faults.add(&format!("{at}/hosts/{index}"), "is not a valid host");
        }
    }
    for (index, class) in tenant.classes.iter().enumerate() {
        faults.check_range(
            &format!("{at}/class/{index}/deadline"),
            class.deadline.0,
            1.0,
            3.6e6,
        );
        faults.check_range(
            &format!("{at}/class/{index}/late-worth"),
            class.late_weight_fraction.0,
            0.0,
            1.0,
        );
        if class.latency_objective.0 > class.deadline.0 || class.latency_objective.0 <= 0.0 {
            faults.add(
                &format!("{at}/class/{index}/aim"),
                "must be greater than 0 and at most the deadline",
            );
        }
    }
    faults.check_range(
        &format!("{at}/limits/burst"),
        tenant.limits.burst.0,
        1.0,
        10_000.0,
    );
    if let Some(share) = tenant.limits.loop_share {
        faults.check_range(&format!("{at}/limits/loop-share"), share.0, 0.001, 1.0);
    }
    faults.check_range(
        &format!("{at}/rules/cold-from"),
        tenant.rules.initial_capacity.0,
        0.01,
        1.0,
    );
    faults.check_range(
        &format!("{at}/rules/cold"),
        tenant.rules.warm_up.0,
        0.0,
        3.6e6,
    );
    faults.check_range(
        &format!("{at}/rules/dial-timeout"),
        tenant.rules.connect_timeout.0,
        1.0,
        60_000.0,
    );
    faults.check_range(
        &format!("{at}/rules/idle-close"),
        tenant.rules.idle_timeout.0,
        100.0,
        3.6e6,
    );
    faults.check_range(
        &format!("{at}/rules/retry-after"),
        tenant.rules.retry_after.0,
        1.0,
        3.6e6,
    );
    if let Some(discovery) = &tenant.discovery {
        if !tenant.servers.is_empty() {
            faults.add(
                &format!("{at}/server"),
                "is not allowed together with fleet, which discovers the servers",
            );
        }
        for (index, url) in discovery.etcd.iter().enumerate() {
            let address = url
                .strip_prefix("http://")
                .and_then(|a| a.trim_end_matches('/').parse::<SocketAddr>().ok());
            if address.is_none() {
                faults.add(
                    &format!("{at}/fleet/etcd/{index}"),
                    format!("\"{url}\" is not a URL like \"http://127.0.0.1:2379\""),
                );
            }
        }
        faults.check_range(
            &format!("{at}/fleet/guard"),
            discovery.mass_expiry_ratio.0,
            0.01,
            1.0,
        );
        faults.check_range(
            &format!("{at}/fleet/hold"),
            discovery.retention.0,
            0.0,
            3.6e6,
        );
    }
    for (index, server) in tenant.servers.iter().enumerate() {
        faults.check_address(&format!("{at}/server/{index}/address"), &server.address);
    }
}

#[derive(Default)]
struct Faults(Vec<ValidationError>);

impl Faults {
    fn add(&mut self, pointer: &str, what: impl Into<String>) {
        self.0.push(ValidationError {
            pointer: pointer.to_owned(),
            message: what.into(),
        });
    }

    fn check_range(&mut self, pointer: &str, value: f64, min: f64, max: f64) {
        if !(min..=max).contains(&value) {
            self.add(
                pointer,
                format!("must be from {min} to {max} (in ms, or as a fraction of 1)"),
            );
        }
    }

    fn check_address(&mut self, pointer: &str, text: &str) {
        if text.parse::<SocketAddr>().is_err() {
            self.add(
                pointer,
                format!("\"{text}\" is not an address with a port, such as \"127.0.0.1:8080\""),
            );
        }
    }

    /// Checks that the values of a key are unique within a list.
    fn check_unique<'a>(&mut self, list: &str, keys: impl Iterator<Item = &'a str>, key: &str) {
        let mut seen = BTreeSet::new();
        for (index, value) in keys.enumerate() {
            if !seen.insert(value) {
                self.add(
                    &format!("{list}/{index}/{key}"),
                    format!("\"{value}\" is used twice"),
                );
            }
        }
    }
}
