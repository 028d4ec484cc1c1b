//! State machine of an upstream's health.

use statig::prelude::*;

use crate::ProbeOutcome;

/// Event of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthEvent {
    /// A probe ended.
    Probed(ProbeOutcome),
    /// A request failed: the connection broke, or the upstream refused it or did not answer.
    RequestFailed,
}

/// Shared storage of the state machine. It is empty, as the states alone determine the health.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct UpstreamHealth;

/// Health as the dispatcher sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum HealthStatus {
    /// The upstream accepts requests.
    Serving,
    /// The upstream accepts no new requests but finishes those in flight.
    NotServing,
    /// The upstream does not answer; its requests in flight are presumed lost.
    Gone,
}

#[state_machine(initial = "State::joining()", state(derive(Clone, Copy, Debug, Eq, PartialEq)))]
impl UpstreamHealth {
    /// Configured but not probed yet. Requests are granted already, since most new upstreams are healthy.
    #[state]
    fn joining(event: &HealthEvent) -> Outcome<State> {
        Self::transition(event)
    }

    #[state]
    fn serving(event: &HealthEvent) -> Outcome<State> {
        Self::transition(event)
    }

    /// A request failed. No new ones are granted until a probe has determined the upstream's health.
    #[state]
    fn suspect(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Handled,
            HealthEvent::Probed(_) => Self::transition(event),
        }
    }

    /// The upstream answers probes but accepts no new requests.
    #[state]
    fn draining(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Handled,
            HealthEvent::Probed(_) => Self::transition(event),
        }
    }

    /// The upstream does not answer probes.
    #[state]
    fn gone(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Handled,
            HealthEvent::Probed(_) => Self::transition(event),
        }
    }

    fn transition(event: &HealthEvent) -> Outcome<State> {
        match event {
            HealthEvent::RequestFailed => Transition(State::suspect()),
            HealthEvent::Probed(ProbeOutcome::Healthy { .. }) => Transition(State::serving()),
            HealthEvent::Probed(ProbeOutcome::Unhealthy) => Transition(State::draining()),
            HealthEvent::Probed(ProbeOutcome::Unresponsive) => Transition(State::gone()),
        }
    }
}

impl State {
    /// Health that the dispatcher sees in this state.
    pub(crate) fn status(self) -> HealthStatus {
        match self {
            Self::Joining {} | Self::Serving {} => HealthStatus::Serving,
            Self::Suspect {} | Self::Draining {} => HealthStatus::NotServing,
            Self::Gone {} => HealthStatus::Gone,
        }
    }

    /// Name of the state in log lines and in the operator API.
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
