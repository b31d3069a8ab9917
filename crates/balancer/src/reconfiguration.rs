//! Reconfiguration at run time: changes of settings and of the number of proxies.

use crate::settings::Settings;
use crate::state::{State, max_latency_objective};
use crate::types::Millis;

impl State {
    /// Applies new settings; estimates and requests in progress are not affected. Ignores settings with fewer classes or
    /// tenants than before, because requests in progress refer to them by index.
    pub fn update_settings(&mut self, settings: Settings, now: Millis) {
        let current = &self.settings;
        if settings.classes.len() < current.classes.len()
            || settings.tenants.len() < current.tenants.len()
        {
            return;
        }
        self.settings = Settings {
            proxy_index: current.proxy_index,
            proxy_count: current.proxy_count,
            zone: current.zone,
            discovery: current.discovery,
            weight_meaning: current.weight_meaning,
            key_affinity: current.key_affinity,
            gossip_enabled: current.gossip_enabled,
            ..settings
        };
        self.max_latency_objective = max_latency_objective(&self.settings.classes);
        self.resize(now);
    }

    /// Adds state for new classes and tenants.
    fn resize(&mut self, now: Millis) {
        let classes = self.settings.classes.len();
        self.queue.resize(classes);
        self.latency.add_classes(&self.settings.classes);
        self.outliers.resize(classes);
        self.quotas.resize(self.settings.tenants.len());
        for endpoint in &mut self.endpoints {
            endpoint.health.resize(classes, now);
        }
    }

    /// Applies a new number of proxies and this proxy's index among them, and redistributes shared capacity.
    pub fn update_proxy_count(&mut self, proxy_index: u32, proxy_count: u32, now: Millis) {
        let previous_count = self.settings.proxy_count;
        let unchanged = proxy_index == self.settings.proxy_index && proxy_count == previous_count;
        if proxy_index >= proxy_count || unchanged {
            return;
        }
        for from in proxy_count as usize..self.gossip.proxies() {
            self.remove_peer_report(from, now);
        }
        self.gossip.resize(proxy_count);
        self.settings.proxy_index = proxy_index;
        self.settings.proxy_count = proxy_count;
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            endpoint.slots.ownership = None;
            endpoint.slow_start.divide(previous_count, proxy_count);
            self.refresh_slots(index);
            self.refresh_endpoint(index, self.capacity_fraction(index, now), now);
        }
    }
}
