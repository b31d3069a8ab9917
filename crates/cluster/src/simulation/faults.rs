//! Faults that a test injects into a simulation.

use crate::rules::Micros;

use super::Simulation;
use super::member::DiskCopy;
use super::network::Link;

impl Simulation {
    /// Copies a member's disk.
    pub fn copy_disk(&self, index: usize) -> DiskCopy {
        let member = &self.members[index];
        DiskCopy {
            id: member.id,
            disk: member.disk.clone(),
        }
    }

    /// Restores the disk of a member whose process is not running.
    pub fn restore_disk(&mut self, index: usize, copy: &DiskCopy) {
        let member = &mut self.members[index];
        member.id = copy.id;
        member.disk = copy.disk.clone();
        member.is_disk_restored = true;
    }

    /// Kills the process of a member.
    pub fn kill(&mut self, index: usize) {
        self.members[index].node = None;
    }

    /// Pauses the process of a member, or resumes it and delivers the events deferred meanwhile.
    pub fn pause(&mut self, index: usize, is_paused: bool) {
        self.members[index].is_paused = is_paused;
        for event in std::mem::take(&mut self.members[index].deferred_events) {
            self.events.push(self.now, event);
        }
        self.schedule_tick(index);
    }

    /// Cuts or repairs the link from one member to another.
    pub fn cut(&mut self, from: usize, to: usize, is_cut: bool) {
        self.network.set_cut(Link { from, to }, is_cut);
    }

    /// Cuts or repairs all links of a member.
    pub fn isolate(&mut self, index: usize, is_cut: bool) {
        for other in (0..self.members.len()).filter(|other| *other != index) {
            self.cut(index, other, is_cut);
            self.cut(other, index, is_cut);
        }
    }

    /// Sets an additional delay of the link from one member to another.
    pub fn delay(&mut self, from: usize, to: usize, extra: Micros) {
        self.network.set_extra_delay(Link { from, to }, extra);
    }

    /// Sets the duration of a member's disk writes; its messages wait for them.
    pub fn set_write_duration(&mut self, index: usize, duration: Micros) {
        self.members[index].write_duration = duration;
    }

    /// Sets the fault that a member reports for each change.
    pub fn set_validation_fault(&mut self, index: usize, fault: Option<&str>) {
        self.members[index].validation_fault = fault.map(str::to_owned);
    }
}
