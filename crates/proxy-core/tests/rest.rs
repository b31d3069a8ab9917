//! A pool of a process of many tenants takes no time while it has nothing to do.
use std::cell::Cell;
use std::rc::Rc;
use std::task::Waker;
use std::time::Duration;

use balancer::{Class, Costs, Discovery, Idempotency, Limits, Millis, Settings, WeightMeaning};
use proxy_core::account::Account;
use proxy_core::service::{Host, Process, Terms};
use settings::{ConnectionSettings, Names};
use tokio::task::LocalSet;
use tokio::time::sleep;

/// Counts how often its pool has had a turn.
#[derive(Default)]
struct Turns(Cell<u64>);

impl Account for Turns {
    fn connect(&self) -> Result<(), Millis> {
        Ok(())
    }
    fn disconnect(&self) {}
    fn begin(&self, _: u64) -> Result<(), Millis> {
        Ok(())
    }
    fn end(&self, _: u64, _: Millis) {}
    fn works(&self) {
        self.0.set(self.0.get() + 1);
    }
    fn worked(&self, _: bool) {}
    fn may_read(&self, _: &Waker) -> bool {
        true
    }
    fn may_accept(&self, _: &Waker) -> bool {
        true
    }
    fn visit(&self, _: u64) -> bool {
        true
    }
    fn leave(&self, _: u64) {}
}

fn terms() -> Terms {
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
    Terms {
        settings,
        names,
        connections: ConnectionSettings {
            connect_timeout: 250.0,
            idle_timeout: 1000.0,
        },
        seed: 1,
    }
}

fn server() -> Host {
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
async fn a_pool_without_work_rests_and_wakes_for_what_it_is_told() {
    let run = async {
        let turns = Rc::new(Turns::default());
        let ended = Rc::new(Cell::new(false));
        let tell = ended.clone();
        let process = Process::new(16);
        let running = process.start(terms(), Some(turns.clone()), move |end| {
            tell.set(end.is_ok())
        });
        running.feed.whole(vec![server()]);
        sleep(Duration::from_secs(5)).await;
        assert!(running.pool.is_ready());
        assert!(
            turns.0.get() > 100,
            "the module's tick runs at first: {}",
            turns.0.get()
        );
        sleep(Duration::from_secs(10)).await;
        for _ in 0..3 {
            let rested = turns.0.get();
            sleep(Duration::from_secs(3600)).await;
            assert_eq!(turns.0.get(), rested, "an idle hour took turns");
            running.feed.whole(vec![server()]);
            sleep(Duration::from_secs(5)).await;
            assert!(
                turns.0.get() > rested + 100,
                "it has woken: its tick runs again"
            );
            assert!(
                turns.0.get() < rested + 2 * 5000 / 20 + 20,
                "and only one: {}",
                turns.0.get() - rested
            );
            sleep(Duration::from_secs(10)).await;
        }
        drop(running);
        sleep(Duration::from_secs(1)).await;
        assert!(ended.get(), "a pool that rests ends when nobody holds it");
    };
    LocalSet::new().run_until(run).await;
}
