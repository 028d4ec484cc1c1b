//! What a request costs at an upstream, by its causes.

/// Cost of running a request on an upstream, as an equivalent wait in milliseconds. Placement compares the sums of
/// [`PlacementCost::terms`], and explain shows each term, so a new cause has to be a term of its own.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct PlacementCost {
    /// Prefill of the tokens that the upstream does not have, by what this host has sent there.
    pub(crate) prefill: f64,
    /// Requests on the upstream.
    pub(crate) load: f64,
    /// Way to the upstream.
    pub(crate) distance: f64,
    /// Its machine, if work takes longer or shorter there now than usual.
    pub(crate) slowness: f64,
    /// Change of the prefill where upstreams are preferred for the prompt's first part; negative for these.
    pub(crate) preference: f64,
    /// What is missed at an upstream that has not handled the request's object.
    pub(crate) object: f64,
    /// Order among equals, which differs between hosts.
    pub(crate) spread: f64,
}

impl PlacementCost {
    /// The terms with their names.
    pub(crate) fn terms(&self) -> [(&'static str, f64); 7] {
        [
            ("prefill", self.prefill),
            ("load", self.load),
            ("distance", self.distance),
            ("slowness", self.slowness),
            ("preference", self.preference),
            ("object", self.object),
            ("spread", self.spread),
        ]
    }

    /// The whole cost.
    pub(crate) fn total(&self) -> f64 {
        self.terms().iter().map(|(_, term)| term).sum()
    }
}
