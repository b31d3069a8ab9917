//! A follower of a stand-in, and what it has told.
#![allow(dead_code)] // each test file uses its own part
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

/// No wait takes longer, however loaded the machine.
const LIMIT: Duration = Duration::from_secs(30);

pub fn keys() -> KeySpace {
    KeySpace::new("/canvascart/v1", "pool")
}

/// A server's value; its birth tells which making of it this is.
pub fn value(made: u64) -> Vec<u8> {
    format!(r#"{{"address":"127.0.0.1:9000","born-ms":{made}}}"#).into_bytes()
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

pub fn put(standin: &FakeEtcd, name: &str, made: u64) {
    standin.with_store(|s| s.put(0, &put_request(name, value(made))).unwrap());
}

pub fn delete(standin: &FakeEtcd, name: &str) {
    standin.with_store(|s| s.delete(0, &delete_request(name)));
}

/// WatchLimits whose spans are short, so that tests are. Flapping is on purpose here, and not held back.
pub fn quick() -> WatchLimits {
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
    up: BTreeMap<String, Endpoint>,
    phase: Phase,
    pub held: usize,
    /// The making of each server that it was last told is gone.
    gone: BTreeMap<String, u64>,
    missing: BTreeSet<String>,
}

impl WatchHarness {
    pub async fn follow(standin: &FakeEtcd, limits: WatchLimits) -> Self {
        WatchHarness::follow_as(standin, limits, None).await
    }

    pub async fn follow_as(
        standin: &FakeEtcd,
        limits: WatchLimits,
        credentials: Option<(&str, &str)>,
    ) -> Self {
        let credentials =
            credentials.map(|(name, password)| (name.to_owned(), password.to_owned()));
        let settings = Settings {
            endpoints: standin.endpoints(),
            credentials,
            page_size: 500,
        };
        let (to, updates) = mpsc::unbounded_channel();
        let seed = fastrand::u64(..);
        tokio::spawn(etcd::watch_endpoints(
            PlaintextConnector,
            settings,
            "pool".into(),
            keys(),
            limits,
            seed,
            to,
        ));
        WatchHarness {
            updates,
            up: BTreeMap::new(),
            phase: Phase::Listing,
            held: 0,
            gone: BTreeMap::new(),
            missing: BTreeSet::new(),
        }
    }

    fn take(&mut self, update: DiscoveryUpdate) {
        match update {
            DiscoveryUpdate::Status(status) => {
                (self.phase, self.held) = (status.phase, status.endpoints.retained)
            }
            DiscoveryUpdate::List(ListChange::Complete(all)) => {
                self.up = all.into_iter().map(|s| (s.name.clone(), s)).collect();
            }
            DiscoveryUpdate::List(ListChange::Upserted(server)) => {
                let made = server.started_at_ms;
                if let Some(gone) = self.gone.get(&server.name) {
                    assert!(
                        made > *gone,
                        "{} came back as it was: {made} after {gone}",
                        server.name
                    );
                }
                self.up.insert(server.name.clone(), server);
            }
            DiscoveryUpdate::List(ListChange::Removed(name)) => {
                let server = self.up.remove(&name).expect("only who is there goes");
                self.gone.insert(name.clone(), server.started_at_ms);
                self.missing.insert(name);
            }
        }
    }

    pub async fn wait(&mut self, ms: u64) {
        let end = tokio::time::Instant::now() + Duration::from_millis(ms);
        while let Ok(Some(update)) = tokio::time::timeout_at(end, self.updates.recv()).await {
            self.take(update);
        }
    }

    pub async fn until(&mut self, what: &str, holds: impl Fn(&Self) -> bool) {
        let began = Instant::now();
        while !holds(self) {
            assert!(
                began.elapsed() < LIMIT,
                "waited in vain for {what}: {:?}, {:?}",
                self.names(),
                self.phase
            );
            if let Ok(Some(update)) = tokio::time::timeout(LIMIT, self.updates.recv()).await {
                self.take(update);
            }
        }
    }

    pub fn names(&self) -> Vec<String> {
        self.up.keys().cloned().collect()
    }

    pub fn server(&self, name: &str) -> Option<&Endpoint> {
        self.up.get(name)
    }

    pub fn phase(&self) -> Phase {
        self.phase
    }

    pub fn ever_missing(&self, names: &[&str]) -> Vec<String> {
        names
            .iter()
            .filter(|n| self.missing.contains(**n))
            .map(|n| (*n).to_owned())
            .collect()
    }
}
