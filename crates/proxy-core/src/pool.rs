//! A pool: one decision module with its driver, and what fronts need to know to hand it requests.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use balancer::{ClassId, Idempotency, Key, TenantId};
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode, Uri};
use settings::{Names, ReloadableSettings, stable_hash};

use crate::account::Account;
use crate::capture::Capture;
use crate::drills::Drills;
use crate::figures::MetricsExporter;
use crate::inbox::{Inbox, Input};
use crate::lifecycle::SharedLifecycle;
use crate::message::{class_of, sid};
use crate::stream::Room;
use crate::vars::Counters;

/// The features that have a part in how requests are answered; each is there only where it is on.
#[derive(Clone, Default)]
pub(crate) struct Features {
    pub(crate) capture: Option<Rc<Capture>>,
    pub(crate) drills: Option<Rc<Drills>>,
    pub(crate) figures: Option<Rc<MetricsExporter>>,
}

impl Features {
    /// The settings have changed, and with them the names. Drills act on the classes of the start.
    pub(crate) fn rename(&self, names: &Names) {
        if let Some(capture) = &self.capture {
            capture.update_names(names);
        }
        if let Some(figures) = &self.figures {
            figures.update_names(names);
        }
    }
}

/// What fronts know of a pool. When the last of them lets go of it, it is retired: its driver ends once all that it
/// holds has been answered.
pub struct Pool {
    pub(crate) inbox: Inbox,
    /// The settings in service.
    pub(crate) terms: RefCell<Rc<ReloadableSettings>>,
    /// Whether the module has a list, and what else says whether clients are taken.
    pub(crate) life: Rc<SharedLifecycle>,
    pub(crate) counts: Rc<Counters>,
    /// Memory for what passes through.
    pub(crate) room: Rc<Room>,
    pub(crate) features: Features,
    /// The tenant's account, in a process of many.
    pub(crate) account: Option<Rc<dyn Account>>,
    /// Whether a request must have the headers that the platform's protocol asks for. Otherwise one that names no time-out
    /// has its class's deadline, and one may go without a number.
    pub(crate) strict: bool,
}

impl Drop for Pool {
    fn drop(&mut self) {
        self.inbox.put(Input::Retire);
    }
}

impl Pool {
    /// The longest wait that a client is ready for.
    pub(crate) fn longest(&self) -> Duration {
        let terms = self.terms.borrow();
        let longest = terms
            .settings
            .classes
            .iter()
            .map(|c| c.deadline)
            .fold(0.0, f64::max);
        Duration::from_secs_f64(longest.min(1e6) / 1000.0)
    }

    /// Reads what the module has to know; what can't be right goes no further.
    pub(crate) fn read(
        &self,
        method: &Method,
        uri: &Uri,
        headers: &HeaderMap,
    ) -> Result<Asked, (StatusCode, &'static str)> {
        let bad = |text| (StatusCode::BAD_REQUEST, text);
        let ReloadableSettings {
            settings,
            names,
            accepted_classes,
            accepted_tenants,
            ..
        } = &**self.terms.borrow();
        let class = names
            .classes
            .iter()
            .position(|c| c == class_of(uri))
            .filter(|c| accepted_classes[*c]);
        let class = class.ok_or((StatusCode::NOT_FOUND, "no such class"))?;
        let wanted = if settings.classes[class].idempotency == Idempotency::Idempotent {
            Method::GET
        } else {
            Method::POST
        };
        if *method != wanted {
            return Err((
                StatusCode::METHOD_NOT_ALLOWED,
                "not the method of this class",
            ));
        }
        let keyed = matches!(
            settings.classes[class].idempotency,
            Idempotency::IdempotencyKey { .. }
        );
        if keyed != one(headers, "idempotency-key")?.is_some() && *method == Method::POST {
            return Err(bad("Idempotency-Key does not fit the class"));
        }
        if one(headers, "x-request-id")?.is_none_or(str::is_empty) && self.strict {
            return Err(bad("X-Request-ID is missing"));
        }
        let tenant = match one(headers, "x-tenant-id")? {
            _ if names.tenants.is_empty() => None,
            Some(name) => {
                let tenant = names
                    .tenants
                    .iter()
                    .position(|t| t == name)
                    .filter(|t| accepted_tenants[*t]);
                Some(TenantId(tenant.ok_or(bad("no such tenant"))?))
            }
            None => return Err(bad("X-Tenant-Id is missing")),
        };
        let number = |name: &'static str| -> Result<Option<f64>, _> {
            let Some(text) = one(headers, name)? else {
                return Ok(None);
            };
            let number = text
                .trim()
                .parse::<f64>()
                .ok()
                .filter(|x| x.is_finite() && *x >= 0.0);
            number.map(Some).ok_or(bad("a header is no number"))
        };
        let most = settings.classes[class].deadline / 1000.0;
        let patience = match number("x-timeout")? {
            Some(patience) => patience.min(most),
            None if self.strict => return Err(bad("X-Timeout is missing")),
            None => most,
        };
        let patience = Duration::from_secs_f64(patience);
        let hint = number("x-cost")?.map(|us| us / 1000.0);
        let key = sid(uri).map(|s| Key(stable_hash(s)));
        Ok(Asked {
            class: ClassId(class),
            tenant,
            key,
            hint,
            patience,
        })
    }
}

/// What a request's head says.
pub(crate) struct Asked {
    pub(crate) class: ClassId,
    pub(crate) tenant: Option<TenantId>,
    pub(crate) key: Option<Key>,
    pub(crate) hint: Option<f64>,
    pub(crate) patience: Duration,
}

/// A header that may stand once.
fn one<'a>(
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
