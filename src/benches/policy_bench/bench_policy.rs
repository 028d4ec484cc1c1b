//! Policies that the benchmark compares.

use crate::CellPolicy;

/// How requests are assigned to engines and in which order they are served.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BenchPolicy {
    /// A random engine of the region for each request; engines serve in order of arrival.
    RandomFifo,
    /// The engine of the region with the least load, by its last report and the requests sent since; engines serve in
    /// order of arrival.
    LeastLoadedFifo,
    /// The same random engine of the region for all requests of a program, as long as it serves; engines serve in order
    /// of arrival.
    StickyFifo,
    /// The product's policy, [`CellQueue`](crate::CellQueue), with all of its rules or without one of them.
    Cell { name: &'static str, policy: CellPolicy },
}

impl BenchPolicy {
    /// The product's policy with all rules and default limits.
    pub(crate) fn ragwortknot() -> Self {
        Self::Cell { name: "ragwortknot", policy: CellPolicy::default() }
    }

    /// The product's policy with one rule disabled at a time.
    pub(crate) fn ablations() -> Vec<Self> {
        let default = CellPolicy::default();

        [
            ("no fair share", CellPolicy { uses_fair_share: false, ..default }),
            ("no prefixes", CellPolicy { uses_prefixes: false, ..default }),
            ("no holds", CellPolicy { uses_holds: false, ..default }),
            ("no memory rule", CellPolicy { uses_memory: false, ..default }),
            // `CellQueue` multiplies the limit by 1,000, so `u64::MAX` would overflow.
            ("no lag limit", CellPolicy { lag_limit_tokens: u64::MAX / 4_000, ..default }),
        ]
        .into_iter()
        .map(|(name, policy)| Self::Cell { name, policy })
        .collect()
    }

    /// Policies that queue requests at the engines, to compare against.
    pub(crate) fn baselines() -> Vec<Self> {
        vec![Self::RandomFifo, Self::LeastLoadedFifo, Self::StickyFifo]
    }

    /// Name of the policy in the report.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RandomFifo => "random, FIFO",
            Self::LeastLoadedFifo => "least loaded, FIFO",
            Self::StickyFifo => "sticky, FIFO",
            Self::Cell { name, .. } => name,
        }
    }
}
