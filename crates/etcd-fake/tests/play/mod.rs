//! A follower of a stand-in, and what it has told.
#![allow(dead_code)] // each test file uses its own part
use std::collections::{BTreeMap, BTreeSet};
use std::time::{Duration, Instant};

use endpoint_discovery::{Keys, Limits, Phase, Rules, Server, Told};
use etcd::api::{DeleteRangeRequest, PutRequest};
use etcd::{Plain, Settings, Update};
use etcd_fake::Standin;
use tokio::sync::mpsc;
use tokio::task::LocalSet;

/// No wait takes longer, however loaded the machine.
const LIMIT: Duration = Duration::from_secs(30);

pub fn keys() -> Keys {
    Keys::new("/canvascart/v1", "pool")
}

/// A server's value; its birth tells which making of it this is.
pub fn value(made: u64) -> Vec<u8> {
    format!(r#"{{"address":"127.0.0.1:9000","born-ms":{made}}}"#).into_bytes()
}

pub fn put_request(name: &str, value: Vec<u8>) -> PutRequest {
    PutRequest {
        key: keys().of(name).into_bytes(),
        value,
        ..PutRequest::default()
    }
}

pub fn delete_request(name: &str) -> DeleteRangeRequest {
    DeleteRangeRequest {
        key: keys().of(name).into_bytes(),
        ..DeleteRangeRequest::default()
    }
}

pub fn put(standin: &Standin, name: &str, made: u64) {
    standin.store(|s| s.put(0, &put_request(name, value(made))).unwrap());
}

pub fn delete(standin: &Standin, name: &str) {
    standin.store(|s| s.delete(0, &delete_request(name)));
}

/// Limits whose spans are short, so that tests are. Flapping is on purpose here, and not held back.
pub fn quick() -> Limits {
    Limits {
        ask: 100,
        silence: 300,
        stale: 400,
        backoff: (20, 200),
        turned_back: 60_000,
        rules: Rules {
            flaps: usize::MAX,
            ..Rules::default()
        },
        ..Limits::default()
    }
}

pub fn run(test: impl Future<Output = ()>) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .unwrap();
    LocalSet::new().block_on(&runtime, test);
}

pub struct Play {
    updates: mpsc::UnboundedReceiver<Update>,
    up: BTreeMap<String, Server>,
    phase: Phase,
    pub held: usize,
    /// The making of each server that it was last told is gone.
    gone: BTreeMap<String, u64>,
    missing: BTreeSet<String>,
}

impl Play {
    pub async fn follow(standin: &Standin, limits: Limits) -> Self {
        Play::follow_as(standin, limits, None).await
    }

    pub async fn follow_as(standin: &Standin, limits: Limits, user: Option<(&str, &str)>) -> Self {
        let user = user.map(|(name, password)| (name.to_owned(), password.to_owned()));
        let settings = Settings {
            endpoints: standin.endpoints(),
            user,
            page: 500,
        };
        let (to, updates) = mpsc::unbounded_channel();
        let seed = fastrand::u64(..);
        tokio::spawn(etcd::follow(
            Plain,
            settings,
            "pool".into(),
            keys(),
            limits,
            seed,
            to,
        ));
        Play {
            updates,
            up: BTreeMap::new(),
            phase: Phase::Listing,
            held: 0,
            gone: BTreeMap::new(),
            missing: BTreeSet::new(),
        }
    }

    fn take(&mut self, update: Update) {
        match update {
            Update::Status(status) => (self.phase, self.held) = (status.phase, status.servers[2]),
            Update::Told(Told::Whole(all)) => {
                self.up = all.into_iter().map(|s| (s.name.clone(), s)).collect();
            }
            Update::Told(Told::Is(server)) => {
                let made = server.born_ms;
                if let Some(gone) = self.gone.get(&server.name) {
                    assert!(
                        made > *gone,
                        "{} came back as it was: {made} after {gone}",
                        server.name
                    );
                }
                self.up.insert(server.name.clone(), server);
            }
            Update::Told(Told::Gone(name)) => {
                let server = self.up.remove(&name).expect("only who is there goes");
                self.gone.insert(name.clone(), server.born_ms);
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

    pub fn server(&self, name: &str) -> Option<&Server> {
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
