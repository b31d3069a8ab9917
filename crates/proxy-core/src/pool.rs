//! Pool: one balancer with its driver, and what frontends need to hand requests to it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use balancer::{ClassId, Idempotency, Key, TenantId};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use settings::{Names, ReloadableSettings, stable_hash};

use crate::account::TenantAccount;
use crate::body_memory::BodyMemory;
use crate::capture::Capture;
use crate::drills::Drills;
use crate::figures::MetricsExporter;
use crate::inbox::{Inbox, Input};
use crate::lifecycle::SharedLifecycle;
use crate::message::{class_name, sid};
use crate::vars::Counters;

/// Optional features that take part in answering requests; each is present only if it is enabled.
#[derive(Clone, Default)]
pub(crate) struct Features {
    pub(crate) capture: Option<Rc<Capture>>,
    pub(crate) drills: Option<Rc<Drills>>,
    pub(crate) figures: Option<Rc<MetricsExporter>>,
}

impl Features {
    /// Passes on names from changed settings. Drills keep the classes of the start.
    pub(crate) fn update_names(&self, names: &Names) {
        if let Some(capture) = &self.capture {
            capture.update_names(names);
        }
        if let Some(figures) = &self.figures {
            figures.update_names(names);
        }
    }
}

/// A pool as frontends see it. When the last reference is dropped the pool is retired: its driver ends once all
/// active requests are answered.
pub struct Pool {
    pub(crate) inbox: Inbox,
    /// The current settings.
    pub(crate) reloadable: RefCell<Rc<ReloadableSettings>>,
    /// The lifecycle state: the endpoint list is known, and clients are accepted.
    pub(crate) lifecycle: Rc<SharedLifecycle>,
    pub(crate) counts: Rc<Counters>,
    /// Memory for request and response bodies.
    pub(crate) body_memory: Rc<BodyMemory>,
    pub(crate) features: Features,
    /// The tenant's account, in a process of many tenants.
    pub(crate) account: Option<Rc<dyn TenantAccount>>,
    /// True if a request must have the headers that the platform's protocol requires. Otherwise a request without a
    /// timeout gets its class's deadline, and the request ID may be missing.
    pub(crate) requires_headers: bool,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.inbox.send(Input::Retire);
    }
}

impl Pool {
    /// Returns the longest deadline of all classes.
    pub(crate) fn max_deadline(&self) -> Duration {
        let reloadable = self.reloadable.borrow();
        let max_deadline = reloadable
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .fold(0.0, f64::max);
        Duration::from_secs_f64(max_deadline.min(1e6) / 1000.0)
    }

    /// Parses what the balancer needs from a request's head; an invalid request is rejected.
    pub(crate) fn parse_head(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<RequestHead, (StatusCode, &'static str)> {
        let bad_request = |text| (StatusCode::BAD_REQUEST, text);
        let ReloadableSettings {
            settings,
            names,
            accepted_classes,
            accepted_tenants,
            ..
        } = &**self.reloadable.borrow();
        let class = names
            .classes
            .iter()
            .position(|c| c == class_name(uri))
            .filter(|c| accepted_classes[*c]);
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class"))?;
        let expected_method = if settings.classes[class].idempotency == Idempotency::Idempotent {
            Method::GET
        } else {
            Method::POST
        };
        if *method != expected_method {
            return Err((
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this class",
            ));
        }
        let needs_key = matches!(
            settings.classes[class].idempotency,
            Idempotency::IdempotencyKey { .. }
        );
        if needs_key != single_header(headers, "idempotency-key")?.is_some()
            && *method == Method::POST
        {
            return Err(bad_request("Idempotency-Key does not fit the class"));
        }
        if single_header(headers, "x-request-id")?.is_none_or(str::is_empty)
            && self.requires_headers
        {
            return Err(bad_request("X-Request-ID is missing"));
        }
        let tenant = match single_header(headers, "x-tenant-id")? {
            _ if names.tenants.is_empty() => None,
            Some(name) => {
                let tenant = names
                    .tenants
                    .iter()
                    .position(|t| t == name)
                    .filter(|t| accepted_tenants[*t]);
                Some(TenantId(tenant.ok_or(bad_request("no such tenant"))?))
            }
            None => return Err(bad_request("X-Tenant-Id is missing")),
        };
        let number = |name: &'static str| -> Result<Option<f64>, _> {
            let Some(text) = single_header(headers, name)? else {
                return Ok(None);
            };
            let number = text
                .trim()
                .parse::<f64>()
                .ok()
                .filter(|x| x.is_finite() && *x >= 0.0);
            number.map(Some).ok_or(bad_request("a header is no number"))
        };
        let max_timeout = settings.classes[class].deadline / 1000.0;
        let timeout = match number("x-timeout")? {
            Some(timeout) => timeout.min(max_timeout),
            None if self.requires_headers => return Err(bad_request("X-Timeout is missing")),
            None => max_timeout,
        };
        let timeout = Duration::from_secs_f64(timeout);
        let work_hint = number("x-cost")?.map(|us| us / 1000.0);
        let key = sid(uri).map(|s| Key(stable_hash(s)));
        Ok(RequestHead {
            class: ClassId(class),
            tenant,
            key,
            work_hint,
            timeout,
        })
    }
}

/// The parsed head of a request.
pub(crate) struct RequestHead {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) key: Option<Key>,
    pub(crate) work_hint: Option<f64>,
    pub(crate) timeout: Duration,
}

/// Returns the value of a header that may occur at most once.
fn single_header<'a>(
    headers: &'a HeaderMap,
    name: &str,
) -> Result<Option<&'a str>, (StatusCode, &'static str)> {
    let mut values = headers.get_all(name).iter();
    let value = values.next().map(|v| v.to_str()).transpose();
    match (value, values.next()) {
        (Ok(value), None) => Ok(value),
        _ => Err((
            StatusCode::BAD_REQUEST,
            "a header is malformed or stands twice",
        )),
    }
}
