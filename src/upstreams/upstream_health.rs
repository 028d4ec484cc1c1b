//! Health of an upstream as a state machine.

use statig::prelude::*;

use crate::UpstreamProbe;

/// What is learnt about an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthEvidence {
    /// A probe has ended.
    Probed(UpstreamProbe),
    /// A request to it broke, was refused, or was not answered.
    RequestFailed,
}

/// Storage of the machine; the state says all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamHealth;

/// What follows from the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthVerdict {
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
    fn joining(event: &HealthEvidence) -> Outcome<State> {
        Self::next(event)
    }

    #[state]
    fn serving(event: &HealthEvidence) -> Outcome<State> {
        Self::next(event)
    }

    /// A request to it failed, and a probe has to tell why. It gets no new work meanwhile.
    #[state]
    fn suspect(event: &HealthEvidence) -> Outcome<State> {
        match event {
            HealthEvidence::RequestFailed => Handled,
            HealthEvidence::Probed(_) => Self::next(event),
        }
    }

    /// It says that it takes no new work.
    #[state]
    fn draining(event: &HealthEvidence) -> Outcome<State> {
        match event {
            HealthEvidence::RequestFailed => Handled,
            HealthEvidence::Probed(_) => Self::next(event),
        }
    }

    /// It gives no answer at all.
    #[state]
    fn gone(event: &HealthEvidence) -> Outcome<State> {
        match event {
            HealthEvidence::RequestFailed => Handled,
            HealthEvidence::Probed(_) => Self::next(event),
        }
    }

    fn next(event: &HealthEvidence) -> Outcome<State> {
        match event {
            HealthEvidence::RequestFailed => Transition(State::suspect()),
            HealthEvidence::Probed(UpstreamProbe::Well { .. }) => Transition(State::serving()),
            HealthEvidence::Probed(UpstreamProbe::Refusing) => Transition(State::draining()),
            HealthEvidence::Probed(UpstreamProbe::Silent) => Transition(State::gone()),
        }
    }
}

impl State {
    pub(crate) fn verdict(self) -> HealthVerdict {
        match self {
            Self::Joining {} | Self::Serving {} => HealthVerdict::Serving,
            Self::Suspect {} | Self::Draining {} => HealthVerdict::NotServing,
            Self::Gone {} => HealthVerdict::Gone,
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
