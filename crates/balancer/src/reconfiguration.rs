//! Reconfiguration at run time: new settings, and a new number of proxies.

use crate::settings::Settings;
use crate::state::{State, max_latency_objective};
use crate::types::Millis;

impl State {
    /// Takes over new settings; the estimates stay, and so do requests in progress. Settings that lack a class or
    /// tenant are ignored, as indices would change their meaning under requests that hold them.
    pub fn update_settings(&mut self, settings: Settings, now: Millis) {
        let present = &self.settings;
        if settings.classes.len() < present.classes.len()
            || settings.tenants.len() < present.tenants.len()
        {
            return;
        }
        self.settings = Settings {
            proxy_index: present.proxy_index,
            proxy_count: present.proxy_count,
            zone: present.zone,
            discovery: present.discovery,
            weight_meaning: present.weight_meaning,
            key_affinity: present.key_affinity,
            gossip_enabled: present.gossip_enabled,
            ..settings
        };
        self.max_latency_objective = max_latency_objective(&self.settings.classes);
        self.resize(now);
    }

    /// Makes room for new classes and tenants.
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

    /// Takes over a new number of proxies and this one's index among them; shared capacity is divided anew.
    pub fn update_proxy_count(&mut self, proxy_index: u32, proxy_count: u32, now: Millis) {
        let former_count = self.settings.proxy_count;
        let unchanged = proxy_index == self.settings.proxy_index && proxy_count == former_count;
        if proxy_index >= proxy_count || unchanged {
            return;
        }
        for from in proxy_count as usize..self.gossip.proxies() {
            self.forget_peer(from, now);
        }
        self.gossip.resize(proxy_count);
        self.settings.proxy_index = proxy_index;
        self.settings.proxy_count = proxy_count;
        for index in 0..self.endpoints.len() {
            let endpoint = &mut self.endpoints[index];
            endpoint.slots.ownership = None;
            endpoint.slow_start.divide(former_count, proxy_count);
            self.refresh_slots(index);
            self.refresh_endpoint(index, self.capacity_fraction(index, now), now);
        }
    }
}
