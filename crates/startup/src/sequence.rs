//! State machine of a startup.

use crate::conditions::{Conditions, Membership};
use crate::phase::{CompletedPhase, Phase};
use crate::report::{PhaseDuration, StartupReport, describe_timeout, describe_wait, micros_to_ms};
use crate::settings::{Micros, StartupSettings, UnknownListPolicy};

/// Readiness of an instance to accept requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Readiness {
    /// The instance may not accept requests yet.
    NotReady,
    /// The instance may accept requests; its policy and all endpoint lists are known to be current.
    Ready,
    /// The instance may accept requests, although some endpoint lists are unknown.
    ReadyWithUnknownLists,
}

/// Startup of one instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StartupSequence {
    settings: StartupSettings,
    phase: Phase,
    phase_entered_at: Micros,
    completed: Vec<CompletedPhase>,
    conditions: Conditions,
    /// Names of tenants whose endpoint list was unknown when the instance became ready.
    unknown_lists: Vec<String>,
}

impl StartupSequence {
    /// Creates a startup that enters the phase [`Phase::Store`] at `now`.
    pub fn new(now: Micros, settings: StartupSettings) -> Self {
        StartupSequence {
            settings,
            phase: Phase::Store,
            phase_entered_at: now,
            completed: Vec::new(),
            conditions: Conditions::default(),
            unknown_lists: Vec::new(),
        }
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the time at which the current phase was entered.
    pub fn phase_entered_at(&self) -> Micros {
        self.phase_entered_at
    }

    /// Returns the completed phases, in the order in which they first completed.
    pub fn completed(&self) -> &[CompletedPhase] {
        &self.completed
    }

    /// Records that the store is open, which completes the phase [`Phase::Store`].
    pub fn store_opened(&mut self, now: Micros) {
        if self.phase == Phase::Store {
            self.enter(now, Phase::Members);
        }
    }

    /// Advances the phase according to the conditions at `now`. A ready instance stays ready; from then on, its lease controls when it may
    /// decide.
    pub fn update(&mut self, now: Micros, conditions: Conditions) -> Readiness {
        self.conditions = conditions;
        if self.phase == Phase::Members && self.conditions.membership == Membership::Led {
            self.enter(now, Phase::Policy);
        }
        if self.phase == Phase::Policy && self.conditions.is_policy_current {
            self.enter(now, Phase::List);
        }
        // The policy may become outdated while the instance waits for lists.
        if self.phase == Phase::List && !self.conditions.is_policy_current {
            self.enter(now, Phase::Policy);
        }
        if self.phase == Phase::List && self.is_list_phase_over(now) {
            self.unknown_lists
                .clone_from(&self.conditions.unknown_lists);
            self.enter(now, Phase::Serving);
        }
        self.readiness()
    }

    /// Returns the progress at `now`.
    pub fn report(&self, now: Micros) -> StartupReport {
        let has_timeout = self.phase == Phase::List;
        StartupReport {
            phase: self.phase,
            phase_elapsed_ms: micros_to_ms(now.saturating_sub(self.phase_entered_at)),
            waits_for: describe_wait(self.phase, &self.conditions),
            timeout_ms: has_timeout.then_some(micros_to_ms(self.settings.list_timeout)),
            after_timeout: describe_timeout(self.phase, self.settings.unknown_list_policy),
            completed: self.completed.iter().map(PhaseDuration::from).collect(),
            unknown_lists: self.unknown_lists.clone(),
        }
    }

    fn is_list_phase_over(&self, now: Micros) -> bool {
        let timeout_at = self
            .phase_entered_at
            .saturating_add(self.settings.list_timeout);
        let serves_after_timeout = self.settings.unknown_list_policy == UnknownListPolicy::Serve;
        let is_timeout_over = now >= timeout_at && serves_after_timeout;
        self.conditions.unknown_lists.is_empty() || is_timeout_over
    }

    fn readiness(&self) -> Readiness {
        if self.phase != Phase::Serving {
            Readiness::NotReady
        } else if self.unknown_lists.is_empty() {
            Readiness::Ready
        } else {
            Readiness::ReadyWithUnknownLists
        }
    }

    fn enter(&mut self, now: Micros, phase: Phase) {
        let duration = now.saturating_sub(self.phase_entered_at);
        let ended = self.phase;
        // The duration of a phase that is entered again is added to its earlier duration.
        match self.completed.iter_mut().find(|known| known.phase == ended) {
            Some(known) => known.duration += duration,
            None => self.completed.push(CompletedPhase {
                phase: ended,
                duration,
            }),
        }
        self.phase = phase;
        self.phase_entered_at = now;
    }
}
