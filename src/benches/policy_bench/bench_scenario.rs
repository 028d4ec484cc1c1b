//! Scenarios of the benchmark.

use super::BenchPolicy;

/// Faults of engines in a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum EngineFaults {
    None,
    /// At regular intervals one engine crashes or stops accepting requests, alternately, and recovers after a while.
    /// Only a crash clears its cache.
    CrashesAndLeaves,
}

/// Teams that send programs in a scenario.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum TeamMix {
    /// Eight teams, one of which sends as many programs as three others together.
    Ordinary,
    /// One team alone, which uses a fifth of the capacity.
    LightAlone,
    /// The same light team beside a greedy one, which offers more than the remaining capacity.
    LightBesideGreedy,
}

/// Workload and faults of one run of the benchmark.
#[derive(Clone, Debug)]
pub(crate) struct BenchScenario {
    pub(crate) name: &'static str,
    /// Offered engine time divided by the capacity, in percent, assuming that every reusable prefix is cached.
    pub(crate) load_percent: u64,
    pub(crate) teams: TeamMix,
    pub(crate) engine_faults: EngineFaults,
    /// Whether the ablations of the product's policy run in addition to the baselines.
    pub(crate) has_ablations: bool,
    /// Seed of the programs and of the baselines' random choices.
    pub(crate) seed: u64,
}

/// Length of the period in which programs arrive, in microseconds.
pub(crate) const ARRIVAL_PERIOD_US: u64 = 1_200 * 1_000_000;

/// Number of engines; they are assigned to the regions in turn.
pub(crate) const ENGINE_COUNT: usize = 20;

pub(crate) const REGION_COUNT: usize = 3;

impl BenchScenario {
    /// All scenarios with programs drawn from `seed`, in the order of the report.
    pub(crate) fn all(seed: u64) -> Vec<Self> {
        let ordinary = |name, load_percent, has_ablations| Self {
            name,
            load_percent,
            teams: TeamMix::Ordinary,
            engine_faults: EngineFaults::None,
            has_ablations,
            seed,
        };

        let light_team = |name, teams, load_percent| Self {
            name,
            load_percent,
            teams,
            engine_faults: EngineFaults::None,
            has_ablations: false,
            seed,
        };

        vec![
            ordinary("load 0.5", 50, false),
            ordinary("load 0.7", 70, false),
            ordinary("load 0.9", 90, true),
            ordinary("load 1.1", 110, false),
            Self {
                engine_faults: EngineFaults::CrashesAndLeaves,
                ..ordinary("load 0.7, engines crash and leave", 70, false)
            },
            light_team("light team alone", TeamMix::LightAlone, 20),
            light_team("light team beside a greedy one", TeamMix::LightBesideGreedy, 120),
        ]
    }

    /// Policies that the scenario compares.
    pub(crate) fn policies(&self) -> Vec<BenchPolicy> {
        let mut policies = vec![BenchPolicy::ragwortknot()];
        policies.extend(BenchPolicy::baselines());

        if self.has_ablations {
            policies.extend(BenchPolicy::ablations());
        }

        policies
    }
}
