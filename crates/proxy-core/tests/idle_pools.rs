//! Guards against idle pools that use processor time in a process of many tenants.
use std::cell::Cell;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use balancer::{Class, Costs, Discovery, Idempotency, Limits, Millis, Settings, WeightMeaning};
use proxy_core::account::TenantAccount;
use proxy_core::service::{Host, PoolSettings, Process};
use settings::{ConnectionSettings, Names};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Counts the polls of its pool.
#[derive(Default)]
struct PollCounter(Cell<u64>);

impl TenantAccount for PollCounter {
    fn acquire_client_connection(&self) -> Result<(), Millis> {
        Ok(())
    }
    fn release_client_connection(&self) {}
    fn begin_request(&self, _: u64) -> Result<(), Millis> {
        Ok(())
    }
    fn end_request(&self, _: u64, _: Millis) {}
    fn begin_work(&self) {
        self.0.set(self.0.get() + 1);
    }
    fn end_work(&self, _: bool) {}
    fn may_read(&self, _: &Waker) -> bool {
        true
    }
    fn may_accept(&self, _: &Waker) -> bool {
        true
    }
    fn acquire_endpoint_connection(&self, _: u64) -> bool {
        true
    }
    fn release_endpoint_connection(&self, _: u64) {}
}

fn pool_settings() -> PoolSettings {
    let class = Class {
        latency_objective: 100.0,
        deadline: 1000.0,
        objective_work_multiple: 0.0,
        priority_weight: 1.0,
        late_weight_fraction: 0.0,
        idempotency: Idempotency::Idempotent,
    };
    let settings = Settings {
        proxy_index: 0,
        proxy_count: 1,
        zone: None,
        classes: vec![class],
        tenants: Vec::new(),
        over_quota_weight_fraction: 1.0,
        weight_by_work: false,
        discovery: Discovery::Pushed,
        weight_meaning: WeightMeaning::Capacity,
        key_affinity: false,
        gossip_enabled: false,
        max_retry_after: None,
        costs: Costs::default(),
        limits: Limits {
            initial_capacity_fraction: 0.2,
            warm_up: 10_000.0,
            overload_multiple: 1.0,
            overload_window: 1000.0,
            max_attempts: 3,
        },
    };
    let names = Names {
        classes: vec!["lookup".into()],
        ..Names::default()
    };
    PoolSettings {
        settings,
        names,
        connections: ConnectionSettings {
            connect_timeout: 250.0,
            idle_timeout: 1000.0,
        },
        seed: 1,
    }
}

fn endpoint() -> Host {
    Host {
        host: "a".into(),
        dial: "127.0.0.1:9".parse().ok(),
        site: None,
        class: None,
        block: None,
        health: "up".into(),
        share: Some(4.0),
        born_ms: 0.0,
    }
}

#[tokio::test(start_paused = true)]
async fn an_idle_pool_sleeps_and_wakes_for_endpoint_updates() {
    let run = async {
        let polls = Rc::new(PollCounter::default());
        let ended = Rc::new(Cell::new(false));
        let on_end = ended.clone();
        let process = Process::new(16);
        let running = process.start(pool_settings(), Some(polls.clone()), move |end| {
            on_end.set(end.is_ok())
        });
        running.feed.replace_all(vec![endpoint()]);
        sleep(Duration::from_secs(5)).await;
        assert!(running.pool.is_ready());
        assert!(
            polls.0.get() > 100,
            "the balancer's tick runs at first: {}",
            polls.0.get()
        );
        sleep(Duration::from_secs(10)).await;
        for _ in 0..3 {
            let polls_when_idle = polls.0.get();
            sleep(Duration::from_secs(3600)).await;
            assert_eq!(
                polls.0.get(),
                polls_when_idle,
                "the pool was polled while idle"
            );
            running.feed.replace_all(vec![endpoint()]);
            sleep(Duration::from_secs(5)).await;
            assert!(
                polls.0.get() > polls_when_idle + 100,
                "the pool is awake and its tick runs again"
            );
            assert!(
                polls.0.get() < polls_when_idle + 2 * 5000 / 20 + 20,
                "only one tick timer runs: {}",
                polls.0.get() - polls_when_idle
            );
            sleep(Duration::from_secs(10)).await;
        }
        drop(running);
        sleep(Duration::from_secs(1)).await;
        assert!(
            ended.get(),
            "a sleeping pool ends when its last reference is dropped"
        );
    };
    LocalSet::new().run_until(run).await;
}
