//! Life of a host's process as a state machine.

use statig::prelude::*;

use crate::HostPhase;

/// What moves a host through its life.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifecycleEvent {
    /// The configuration is read and the peers are joined.
    Ready,
    /// An operator or the platform wants the host to stop.
    Drain,
    /// Everything is handed over and every answer is given.
    Drained,
}

/// Storage of the machine; the state says all.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct HostLifecycle;

#[state_machine(initial = "State::starting()", state(derive(Clone, Copy, Debug, Eq, PartialEq)))]
impl HostLifecycle {
    #[state]
    fn starting(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Ready => Transition(State::serving()),
            LifecycleEvent::Drain => Transition(State::draining()),
            LifecycleEvent::Drained => Handled,
        }
    }

    #[state]
    fn serving(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Drain => Transition(State::draining()),
            LifecycleEvent::Ready | LifecycleEvent::Drained => Handled,
        }
    }

    /// Readiness fails, nothing new is taken, and what runs comes to its end.
    #[state]
    fn draining(event: &LifecycleEvent) -> Outcome<State> {
        match event {
            LifecycleEvent::Drained => Transition(State::stopped()),
            LifecycleEvent::Ready | LifecycleEvent::Drain => Handled,
        }
    }

    #[state]
    fn stopped() -> Outcome<State> {
        Handled
    }
}

impl State {
    pub(crate) fn phase(self) -> HostPhase {
        match self {
            Self::Starting {} => HostPhase::Starting,
            Self::Serving {} => HostPhase::Serving,
            Self::Draining {} => HostPhase::Draining,
            Self::Stopped {} => HostPhase::Stopped,
        }
    }
}
