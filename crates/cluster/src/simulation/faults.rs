//! Faults that a test injects into a simulation.

use crate::rules::Micros;

use super::Simulation;
use super::instance::DiskCopy;
use super::network::Link;

impl Simulation {
    /// Copies an instance's disk.
    pub fn copy_disk(&self, index: usize) -> DiskCopy {
        let instance = &self.instances[index];
        DiskCopy {
            id: instance.id,
            disk: instance.disk.clone(),
        }
    }

    /// Restores the disk of an instance whose process does not run.
    pub fn restore_disk(&mut self, index: usize, copy: &DiskCopy) {
        let instance = &mut self.instances[index];
        instance.id = copy.id;
        instance.disk = copy.disk.clone();
        instance.is_disk_restored = true;
    }

    /// Kills the process of an instance.
    pub fn kill(&mut self, index: usize) {
        self.instances[index].node = None;
    }

    /// Pauses the process of an instance, or resumes it with all messages that came meanwhile.
    pub fn pause(&mut self, index: usize, is_paused: bool) {
        self.instances[index].is_paused = is_paused;
        for event in std::mem::take(&mut self.instances[index].deferred_events) {
            self.events.push(self.now, event);
        }
        self.schedule_tick(index);
    }

    /// Cuts the link from one instance to another, or repairs it.
    pub fn cut(&mut self, from: usize, to: usize, is_cut: bool) {
        self.network.set_cut(Link { from, to }, is_cut);
    }

    /// Cuts or repairs all links of an instance.
    pub fn isolate(&mut self, index: usize, is_cut: bool) {
        for other in (0..self.instances.len()).filter(|other| *other != index) {
            self.cut(index, other, is_cut);
            self.cut(other, index, is_cut);
        }
    }

    /// Adds to the delay of the link from one instance to another.
    pub fn delay(&mut self, from: usize, to: usize, extra: Micros) {
        self.network.set_extra_delay(Link { from, to }, extra);
    }

    /// Sets the duration of a write of an instance; its messages wait for its writes.
    pub fn set_write_duration(&mut self, index: usize, duration: Micros) {
        self.instances[index].write_duration = duration;
    }

    /// Sets the fault that an instance finds in each change.
    pub fn set_validation_fault(&mut self, index: usize, fault: Option<&str>) {
        self.instances[index].validation_fault = fault.map(str::to_owned);
    }
}
