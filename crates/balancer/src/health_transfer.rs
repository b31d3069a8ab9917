//! Transfer of endpoint health between instances of the module: creates health snapshots of the state and restores
//! them. Makes no decisions. The snapshot's types are in `health_snapshot`.

use crate::endpoint::EndpointRecord;
use crate::health_snapshot::{EndpointHealth, HealthSnapshot};
use crate::state::State;
use crate::types::{ClassId, EndpointState, Millis};

impl State {
    /// Creates a snapshot of ejections and slow start budgets.
    pub fn health_snapshot(&self, now: Millis) -> HealthSnapshot {
        let endpoints = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.entry.state != EndpointState::Removed)
            .filter_map(|endpoint| self.endpoint_health(endpoint, now))
            .collect();
        HealthSnapshot {
            proxy_count: self.settings.proxy_count,
            endpoints,
        }
    }

    fn endpoint_health(&self, endpoint: &EndpointRecord, now: Millis) -> Option<EndpointHealth> {
        let started_at = endpoint.entry.started_at;
        let health = EndpointHealth {
            id: endpoint.entry.id,
            started_at,
            overall: endpoint.health.overall_snapshot(now),
            by_class: endpoint
                .health
                .class_snapshots(now)
                .map(|(class, ejection)| (ClassId(class), ejection))
                .collect(),
            slow_start: endpoint
                .slow_start
                .snapshot(started_at, &self.settings.limits, now),
        };
        let has_content =
            health.overall.is_some() || !health.by_class.is_empty() || health.slow_start.is_some();
        has_content.then_some(health)
    }

    /// Restores a snapshot for the endpoints that are listed. Health of a previous process of an endpoint is ignored.
    pub fn restore_health(&mut self, snapshot: &HealthSnapshot, now: Millis) {
        for index in self.restore_records(snapshot) {
            self.refresh_endpoint(index, self.capacity_fraction(index, now), now);
        }
    }

    fn restore_records(&mut self, snapshot: &HealthSnapshot) -> Vec<usize> {
        let mut restored = Vec::new();
        for health in &snapshot.endpoints {
            let Some(&index) = self.endpoint_index.get(&health.id) else {
                continue;
            };
            let endpoint = &mut self.endpoints[index];
            if endpoint.entry.started_at != health.started_at {
                continue;
            }
            if let Some(ejection) = &health.overall {
                endpoint.health.restore_overall(ejection);
            }
            for (class, ejection) in &health.by_class {
                endpoint.health.restore_class(class.0, ejection);
            }
            if let Some(budget) = health.slow_start {
                let proxy_count = self.settings.proxy_count;
                endpoint
                    .slow_start
                    .restore(budget, snapshot.proxy_count, proxy_count);
            }
            restored.push(index);
        }
        restored
    }
}
