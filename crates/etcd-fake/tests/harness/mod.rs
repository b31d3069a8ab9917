//! An endpoint watcher connected to a fake etcd, and the list that results from its updates.
#![allow(dead_code)] // each test uses a different subset
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use endpoint_discovery::{
    BackoffLimits, Endpoint, KeySpace, ListChange, Phase, TableLimits, WatchLimits,
};
use etcd::api::{DeleteRangeRequest, PutRequest};
use etcd::{DiscoveryUpdate, PlaintextConnector, Settings};
use etcd_fake::FakeEtcd;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// Limit of every wait; generous, so that a loaded machine does not fail tests.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

pub fn keys() -> KeySpace {
    KeySpace::new("/canvascart/v1", "pool")
}

/// Returns a stored record whose start time identifies the incarnation of the endpoint.
pub fn value(incarnation: u64) -> Vec<u8> {
    format!(r#"{{"address":"127.0.0.1:9000","born-ms":{incarnation}}}"#).into_bytes()
}

pub fn put_request(name: &str, value: Vec<u8>) -> PutRequest {
    PutRequest {
        key: keys().endpoint_key(name).into_bytes(),
        value,
        ..PutRequest::default()
    }
}

pub fn delete_request(name: &str) -> DeleteRangeRequest {
    DeleteRangeRequest {
        key: keys().endpoint_key(name).into_bytes(),
        ..DeleteRangeRequest::default()
    }
}

pub fn put(etcd: &FakeEtcd, name: &str, incarnation: u64) {
    etcd.with_store(|s| s.put(0, &put_request(name, value(incarnation))).unwrap());
}

pub fn delete(etcd: &FakeEtcd, name: &str) {
    etcd.with_store(|s| s.delete(0, &delete_request(name)));
}

/// Returns limits with short timeouts, to keep tests fast. Flap suppression is off, because the tests flap on purpose.
pub fn short_limits() -> WatchLimits {
    WatchLimits {
        progress_interval_ms: 100,
        silence_timeout_ms: 300,
        staleness_ms: 400,
        backoff: BackoffLimits {
            initial_ms: 20,
            max_ms: 200,
            ..BackoffLimits::default()
        },
        rollback_ms: 60_000,
        table: TableLimits {
            flap_count: usize::MAX,
            ..TableLimits::default()
        },
    }
}

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

pub struct WatchHarness {
    updates: mpsc::UnboundedReceiver<DiscoveryUpdate>,
    endpoints: BTreeMap<String, Endpoint>,
    phase: Phase,
    pub retained: usize,
    /// Incarnation of each removed endpoint at its last removal.
    removed: BTreeMap<String, u64>,
    /// Names of all endpoints that were ever removed.
    ever_removed: BTreeSet<String>,
}

impl WatchHarness {
    pub async fn start(etcd: &FakeEtcd, limits: WatchLimits) -> Self {
        WatchHarness::start_with_credentials(etcd, limits, None).await
    }

    pub async fn start_with_credentials(
        etcd: &FakeEtcd,
        limits: WatchLimits,
        credentials: Option<(&str, &str)>,
    ) -> Self {
        let credentials =
            credentials.map(|(name, password)| (name.to_owned(), password.to_owned()));
        let settings = Settings {
            endpoints: etcd.endpoints(),
            credentials,
            page_size: 500,
        };
        let (update_sender, updates) = mpsc::unbounded_channel();
        let seed = fastrand::u64(..);
        tokio::spawn(etcd::watch_endpoints(
            PlaintextConnector,
            settings,
            "pool".into(),
            keys(),
            limits,
            seed,
            update_sender,
        ));
        WatchHarness {
            updates,
            endpoints: BTreeMap::new(),
            phase: Phase::Listing,
            retained: 0,
            removed: BTreeMap::new(),
            ever_removed: BTreeSet::new(),
        }
    }

    fn apply(&mut self, update: DiscoveryUpdate) {
        match update {
            DiscoveryUpdate::Status(status) => {
                (self.phase, self.retained) = (status.phase, status.endpoints.retained)
            }
            DiscoveryUpdate::List(ListChange::Complete(all)) => {
                self.endpoints = all.into_iter().map(|s| (s.name.clone(), s)).collect();
            }
            DiscoveryUpdate::List(ListChange::Upserted(endpoint)) => {
                let incarnation = endpoint.started_at_ms;
                if let Some(removed) = self.removed.get(&endpoint.name) {
                    assert!(
                        incarnation > *removed,
                        "removed endpoint {} reappeared unchanged: incarnation {incarnation} after {removed}",
                        endpoint.name
                    );
                }
                self.endpoints.insert(endpoint.name.clone(), endpoint);
            }
            DiscoveryUpdate::List(ListChange::Removed(name)) => {
                let endpoint = self
                    .endpoints
                    .remove(&name)
                    .expect("only listed endpoints are removed");
                self.removed.insert(name.clone(), endpoint.started_at_ms);
                self.ever_removed.insert(name);
            }
        }
    }

    pub async fn wait(&mut self, ms: u64) {
        let end = tokio::time::Instant::now() + Duration::from_millis(ms);
        while let Ok(Some(update)) = tokio::time::timeout_at(end, self.updates.recv()).await {
            self.apply(update);
        }
    }

    pub async fn until(&mut self, what: &str, condition: impl Fn(&Self) -> bool) {
        let started = Instant::now();
        while !condition(self) {
            assert!(
                started.elapsed() < WAIT_TIMEOUT,
                "timed out waiting for {what}: {:?}, {:?}",
                self.names(),
                self.phase
            );
            if let Ok(Some(update)) = tokio::time::timeout(WAIT_TIMEOUT, self.updates.recv()).await
            {
                self.apply(update);
            }
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.endpoints.keys().cloned().collect()
    }

    pub fn endpoint(&self, name: &str) -> Option<&Endpoint> {
        self.endpoints.get(name)
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn ever_removed(&self, names: &[&str]) -> Vec<String> {
        names
            .iter()
            .filter(|n| self.ever_removed.contains(**n))
            .map(|n| (*n).to_owned())
            .collect()
    }
}
