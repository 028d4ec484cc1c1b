//! Scenarios of the benchmark.

use super::BenchPolicy;

/// What happens to engines in a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineTrouble {
    None,
    /// Engines crash and leave in turn, and come back empty.
    CrashesAndLeaves,
}

/// Who sends programs in a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TeamMix {
    /// Eight teams, one of which sends as much as three others.
    Ordinary,
    /// One light team alone, at a fifth of the capacity.
    LightAlone,
    /// The same light team, beside one that sends more than the rest of the capacity.
    LightBesideGreedy,
}

/// One run of the benchmark.
#[derive(Clone, Debug)]
pub(crate) struct BenchScenario {
    pub(crate) name: &'static str,
    /// Offered work over capacity, in percent, where every prefix that could be cached is.
    pub(crate) load_percent: u64,
    pub(crate) teams: TeamMix,
    pub(crate) trouble: EngineTrouble,
    pub(crate) has_ablations: bool,
    pub(crate) seed: u64,
}

/// Time in which programs arrive, in microseconds.
pub(crate) const ARRIVAL_TIME_US: u64 = 1_200 * 1_000_000;

/// Engines, over three regions.
pub(crate) const ENGINE_COUNT: usize = 20;

/// Regions.
pub(crate) const REGION_COUNT: usize = 3;

impl BenchScenario {
    /// All scenarios with programs drawn from a seed, in the order of the report.
    pub(crate) fn all(seed: u64) -> Vec<Self> {
        let ordinary = |name, load_percent, has_ablations| Self {
            name,
            load_percent,
            teams: TeamMix::Ordinary,
            trouble: EngineTrouble::None,
            has_ablations,
            seed,
        };

        let light = |name, teams, load_percent| Self {
            name,
            load_percent,
            teams,
            trouble: EngineTrouble::None,
            has_ablations: false,
            seed,
        };

        vec![
            ordinary("load 0.5", 50, false),
            ordinary("load 0.7", 70, false),
            ordinary("load 0.9", 90, true),
            ordinary("load 1.1", 110, false),
            Self {
                trouble: EngineTrouble::CrashesAndLeaves,
                ..ordinary("load 0.7, engines crash and leave", 70, false)
            },
            light("light team alone", TeamMix::LightAlone, 20),
            light("light team beside a greedy one", TeamMix::LightBesideGreedy, 120),
        ]
    }

    pub(crate) fn policies(&self) -> Vec<BenchPolicy> {
        let mut policies = vec![BenchPolicy::ragwortknot()];
        policies.extend(BenchPolicy::baselines());

        if self.has_ablations {
            policies.extend(BenchPolicy::ablations());
        }

        policies
    }
}
