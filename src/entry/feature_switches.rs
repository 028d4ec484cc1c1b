//! Which optional parts of an entry host are in use.

use derive_more::Display;

/// A part of an entry host that operators may switch off.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum HostFeature {
    /// One host of a region places the requests of all its schedulers; see docs/design/dispatching.md.
    #[display("region-dispatch")]
    RegionDispatch,
    /// Admission control and order of the queue; see docs/design/admission.md.
    #[display("admission")]
    Admission,
    /// Learned costs, memory account, machine speed and preferred upstreams; see docs/design/upstream-load.md.
    #[display("upstream-load")]
    UpstreamLoad,
    /// Fewer requests for upstreams that have just started or failed; see docs/design/pace.md.
    #[display("slow-start")]
    SlowStart,
    /// Turns reserve tokens of the next ones while a scheduler is silent; see docs/design/platform.md, "Reservations ahead".
    #[display("reserve-ahead")]
    ReserveAhead,
}

impl HostFeature {
    /// All features, in the order of their help texts.
    pub const ALL: [Self; 5] = [
        Self::RegionDispatch,
        Self::Admission,
        Self::UpstreamLoad,
        Self::SlowStart,
        Self::ReserveAhead,
    ];
}

/// The features that are switched off. By default it is [`HostFeature::ReserveAhead`] alone, since days with lost hosts were
/// served worse with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct FeatureSwitches {
    is_off: [bool; HostFeature::ALL.len()],
}

impl Default for FeatureSwitches {
    fn default() -> Self {
        let all_on = Self { is_off: [false; HostFeature::ALL.len()] };
        all_on.with(HostFeature::ReserveAhead, false)
    }
}

impl FeatureSwitches {
    /// Whether a feature is in use.
    pub fn is_on(&self, feature: HostFeature) -> bool {
        !self.is_off[feature as usize]
    }

    /// Switches a feature on or off.
    #[must_use]
    pub fn with(mut self, feature: HostFeature, is_on: bool) -> Self {
        self.is_off[feature as usize] = !is_on;
        self
    }
}
