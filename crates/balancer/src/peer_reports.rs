//! Exchange of reports with other proxies: effects of received reports on availability, and sending of reports.

use crate::action::Action;
use crate::gossip_message;
use crate::state::State;
use crate::types::Millis;

impl State {
    /// Applies a message of another proxy.
    pub fn receive_gossip(&mut self, from: usize, bytes: &[u8], now: Millis) {
        let Some(message) = self.gossip.decode(from, bytes) else {
            return;
        };
        let changed = self.gossip.receive(from, message, &mut self.endpoints, now);
        for index in changed {
            self.update_availability(index, now);
        }
    }

    /// Drops reports that are too old.
    pub fn remove_stale_reports(&mut self, now: Millis) {
        for from in 0..self.gossip.proxies() {
            if self.gossip.is_stale(from, now) {
                self.remove_peer_report(from, now);
            }
        }
    }

    /// Drops the report of another proxy.
    pub fn remove_peer_report(&mut self, from: usize, now: Millis) {
        for index in self.gossip.remove_report(from, &mut self.endpoints) {
            self.update_availability(index, now);
        }
    }

    /// Sends a message to the other proxies if one is due.
    pub fn send_gossip(&mut self, now: Millis, out: &mut Vec<Action>) {
        let enabled = self.settings.gossip_enabled && self.settings.proxy_count > 1;
        let in_flight = self.in_flight.occupied();
        if enabled && self.gossip.is_message_due(in_flight, now) {
            self.gossip.record_message(in_flight, now);
            let message = gossip_message::encode(self.settings.zone, &self.endpoints, now);
            out.push(Action::Broadcast(message));
        }
    }
}
