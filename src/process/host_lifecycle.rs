//! State machine of a host's lifecycle: starting, serving, draining, stopped.

use statig::prelude::*;

use crate::HostPhase;

/// Event that may change a host's phase. A phase ignores events that don't apply to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum LifecycleEvent {
    /// The configuration is loaded, and the host has joined its peers.
    Ready,
    /// An operator or a signal has requested a shutdown.
    Drain,
    /// Draining has finished: shards are handed over and requests answered, or the timeout has passed.
    Drained,
}

/// State machine of a host. It has no data besides its state.
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

    /// The readiness check fails, shards and queues are handed over, and requests in flight are completed.
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
    /// Phase that is announced to peers and shown to operators.
    pub(crate) fn phase(self) -> HostPhase {
        match self {
            Self::Starting {} => HostPhase::Starting,
            Self::Serving {} => HostPhase::Serving,
            Self::Draining {} => HostPhase::Draining,
            Self::Stopped {} => HostPhase::Stopped,
        }
    }
}
