//! Policies that the benchmark compares.

use crate::CellPolicy;

/// A way to choose engines and an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BenchPolicy {
    /// A random engine of the region; engines serve in order of arrival.
    RandomFifo,
    /// The engine of the region with the least reported load; engines serve in order of arrival.
    LeastLoadedFifo,
    /// One engine of the region for each program; engines serve in order of arrival.
    StickyFifo,
    /// The policy of `cell_queue.rs`, perhaps without one of its rules.
    Cell { name: &'static str, policy: CellPolicy },
}

impl BenchPolicy {
    pub(crate) fn ragwortknot() -> Self {
        Self::Cell { name: "ragwortknot", policy: CellPolicy::default() }
    }

    /// The policy with one rule taken out at a time.
    pub(crate) fn ablations() -> Vec<Self> {
        let whole = CellPolicy::default();

        [
            ("no fair share", CellPolicy { uses_fair_share: false, ..whole }),
            ("no prefixes", CellPolicy { uses_prefixes: false, ..whole }),
            ("no holds", CellPolicy { uses_holds: false, ..whole }),
            ("no memory rule", CellPolicy { uses_memory: false, ..whole }),
            ("no lag limit", CellPolicy { lag_limit_tokens: u64::MAX / 4_000, ..whole }),
        ]
        .into_iter()
        .map(|(name, policy)| Self::Cell { name, policy })
        .collect()
    }

    pub(crate) fn baselines() -> Vec<Self> {
        vec![Self::RandomFifo, Self::LeastLoadedFifo, Self::StickyFifo]
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::RandomFifo => "random, FIFO",
            Self::LeastLoadedFifo => "least loaded, FIFO",
            Self::StickyFifo => "sticky, FIFO",
            Self::Cell { name, .. } => name,
        }
    }
}
