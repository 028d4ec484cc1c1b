//! Health of an upstream as a state machine.

use statig::prelude::*;

use crate::ProbeOutcome;

/// What is learnt about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthEvent {
    /// A probe has ended.
    Probed(ProbeOutcome),
    /// A request to it broke, was refused, or was not answered.
    RequestFailed,
}

/// Storage of the machine; the state says all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamHealth;

/// What follows from the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthStatus {
    /// It takes requests.
    Serving,
    /// It takes none, and finishes what it has.
    NotServing,
    /// It is gone, with what it had.
    Gone,
}

#[state_machine(initial = "State::joining()", state(derive(Clone, Copy, Debug, Eq, PartialEq)))]
impl UpstreamHealth {
    /// It is in the configuration and was never probed; it is given work, since most new upstreams are well.
    #[state]
    fn joining(event: &HealthEvent) -> Outcome<State> {
        Self::next(event)
    }

    #[state]
    fn serving(event: &HealthEvent) -> Outcome<State> {
        Self::next(event)
    }

    /// A request to it failed, and a probe has to tell why. It gets no new work meanwhile.
    #[state]
    fn suspect(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Handled,
            HealthEvent::Probed(_) => Self::next(event),
        }
    }

    /// It says that it takes no new work.
    #[state]
    fn draining(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Handled,
            HealthEvent::Probed(_) => Self::next(event),
        }
    }

    /// It gives no answer at all.
    #[state]
    fn gone(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Handled,
            HealthEvent::Probed(_) => Self::next(event),
        }
    }

    fn next(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Transition(State::suspect()),
            HealthEvent::Probed(ProbeOutcome::Well { .. }) => Transition(State::serving()),
            HealthEvent::Probed(ProbeOutcome::Refusing) => Transition(State::draining()),
            HealthEvent::Probed(ProbeOutcome::Silent) => Transition(State::gone()),
        }
    }
}

impl State {
    pub(crate) fn verdict(self) -> HealthStatus {
        match self {
            Self::Joining {} | Self::Serving {} => HealthStatus::Serving,
            Self::Suspect {} | Self::Draining {} => HealthStatus::NotServing,
            Self::Gone {} => HealthStatus::Gone,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Joining {} => "joining",
            Self::Serving {} => "serving",
            Self::Suspect {} => "suspect",
            Self::Draining {} => "draining",
            Self::Gone {} => "gone",
        }
    }
}
