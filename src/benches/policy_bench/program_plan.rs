//! Programs of the benchmark: chains of dependent turns with tool pauses, sub-agents and growing histories, generated
//! from a seed before the run.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::bench_scenario::{
    ARRIVAL_PERIOD_US, BenchScenario, ENGINE_COUNT, REGION_COUNT, TeamMix,
};
use super::fake_engine::{DECODE_TOKEN_US, PREFILL_TOKEN_US};

/// Largest number of turns of a program.
const MAX_TURNS: u32 = 57;

/// Largest size of a program's history, in tokens. A program ends before the turn that would exceed it.
const MAX_HISTORY_TOKENS: u64 = 260_000;

/// Probability that a turn spawns sub-agents.
const SPAWN_PROBABILITY: f64 = 0.03;

/// Number of sub-agents that such a turn spawns.
const CHILD_COUNTS: std::ops::RangeInclusive<u32> = 3..=30;

/// Teams of the ordinary mix. The first sends as many programs as three others together.
const TEAM_NAMES: [&str; 8] =
    ["tuul-1", "tuul-2", "tuul-3", "tuul-4", "ebro-1", "ebro-2", "ebro-3", "ebro-4"];

/// Team whose latency is measured with and without a greedy team beside it.
pub(super) const LIGHT_TEAM: &str = "light";

/// Fraction of the arrival period that the peak takes.
const PEAK_FRACTION: f64 = 0.25;

/// Arrival rate in the peak, relative to the rest of the period.
const PEAK_RATE_FACTOR: f64 = 1.6;

/// One planned turn.
#[derive(Clone, Debug)]
pub(super) struct TurnPlan {
    /// Prompt tokens that the turn adds to the history.
    pub(super) new_tokens: u64,
    pub(super) answer_tokens: u64,
    /// Duration of the tool call that follows the turn, in microseconds; unused if the turn spawns sub-agents.
    pub(super) pause_us: u64,
    /// Sub-agents that the turn spawns. The program waits for all of them before its next turn.
    pub(super) children: Vec<ProgramPlan>,
}

/// One planned program or sub-agent.
#[derive(Clone, Debug)]
pub(super) struct ProgramPlan {
    pub(super) team: &'static str,
    /// Index of the region whose engines serve it.
    pub(super) region: usize,
    /// Time at which the first turn is sent; unused for a sub-agent, which starts when its parent's turn ends.
    pub(super) arrival_us: u64,
    pub(super) turns: Vec<TurnPlan>,
}

impl ProgramPlan {
    /// Engine time of the program and its sub-agents, in microseconds, assuming that every reusable prefix is cached.
    fn engine_time_us(&self) -> u64 {
        let turns = self.turns.iter().map(|turn| {
            let turn_us = turn.new_tokens * PREFILL_TOKEN_US + turn.answer_tokens * DECODE_TOKEN_US;
            turn_us + turn.children.iter().map(Self::engine_time_us).sum::<u64>()
        });

        turns.sum()
    }
}

/// Draws the programs of a scenario, ordered by arrival, until they reach its load.
pub(super) fn draw_programs(scenario: &BenchScenario) -> Vec<ProgramPlan> {
    match scenario.teams {
        TeamMix::Ordinary => draw_mix(scenario.seed, scenario.load_percent, draw_team),
        TeamMix::LightAlone => draw_mix(scenario.seed, scenario.load_percent, |_| LIGHT_TEAM),
        TeamMix::LightBesideGreedy => {
            // Seed and load are those of `LightAlone`, so the light team sends the same programs.
            let mut programs = draw_mix(scenario.seed, 20, |_| LIGHT_TEAM);
            let greedy_percent = scenario.load_percent - 20;
            programs.extend(draw_mix(scenario.seed + 1, greedy_percent, |_| "greedy"));
            programs.sort_by_key(|program| program.arrival_us);
            programs
        }
    }
}

fn draw_team(random: &mut StdRng) -> &'static str {
    // Draws of 0, 1 and 2 all give the first team.
    let draw = random.random_range(0..TEAM_NAMES.len() + 2);
    TEAM_NAMES[draw.saturating_sub(2)]
}

/// Draws programs until their engine time reaches the load. `choose_team` draws the team of each.
fn draw_mix(
    seed: u64,
    load_percent: u64,
    choose_team: impl Fn(&mut StdRng) -> &'static str,
) -> Vec<ProgramPlan> {
    let mut random = StdRng::seed_from_u64(seed);
    let offered_us = ARRIVAL_PERIOD_US * ENGINE_COUNT as u64 * load_percent / 100;
    let mut programs = Vec::new();
    let mut drawn_us = 0;

    while drawn_us < offered_us {
        let team = choose_team(&mut random);
        let region = random.random_range(0..REGION_COUNT);
        let arrival_us = draw_arrival(&mut random);
        let turns = draw_turns(&mut random, team, region, true);
        let program = ProgramPlan { team, region, arrival_us, turns };
        drawn_us += program.engine_time_us();
        programs.push(program);
    }

    programs.sort_by_key(|program| program.arrival_us);
    programs
}

/// Draws an arrival time, in microseconds. Arrivals are uniform except for a peak in the middle of the period.
fn draw_arrival(random: &mut StdRng) -> u64 {
    let peak_weight = PEAK_FRACTION * PEAK_RATE_FACTOR;
    let position = random.random_range(0.0..(1.0 - PEAK_FRACTION) + peak_weight);

    let fraction = match position {
        position if position < peak_weight => {
            (1.0 - PEAK_FRACTION) / 2.0 + position / PEAK_RATE_FACTOR
        }
        position => {
            let offset = position - peak_weight;
            let before = (1.0 - PEAK_FRACTION) / 2.0;
            if offset < before { offset } else { offset + PEAK_FRACTION }
        }
    };

    (fraction * ARRIVAL_PERIOD_US as f64) as u64
}

/// Draws from an exponential distribution with the given mean, clamped to `min..=max`.
fn draw_exponential(random: &mut StdRng, mean: f64, min: f64, max: f64) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean).clamp(min, max)
}

/// Draws the turns of a program. Sub-agents can't spawn others and have fewer turns.
fn draw_turns(
    random: &mut StdRng,
    team: &'static str,
    region: usize,
    can_spawn: bool,
) -> Vec<TurnPlan> {
    let mean_turns = if can_spawn { 12.0 } else { 4.0 };
    let count = draw_exponential(random, mean_turns, 2.0, f64::from(MAX_TURNS)) as u32;
    let mut history_tokens = 0;
    let mut turns = Vec::new();

    for number in 0..count {
        let min_new_tokens = if number == 0 { 1_500.0 } else { 100.0 };
        let new_tokens = draw_exponential(random, 900.0, min_new_tokens, 12_000.0) as u64;
        let answer_tokens = draw_exponential(random, 180.0, 20.0, 900.0) as u64;
        history_tokens += new_tokens + answer_tokens;

        if history_tokens > MAX_HISTORY_TOKENS {
            break;
        }

        let is_spawning = can_spawn && random.random_bool(SPAWN_PROBABILITY);
        let children = if is_spawning { draw_children(random, team, region) } else { Vec::new() };
        let pause_us = draw_exponential(random, 3.0e6, 0.1e6, 30.0e6) as u64;
        turns.push(TurnPlan { new_tokens, answer_tokens, pause_us, children });
    }

    turns
}

fn draw_children(random: &mut StdRng, team: &'static str, region: usize) -> Vec<ProgramPlan> {
    let count = random.random_range(CHILD_COUNTS);

    (0..count)
        .map(|_| ProgramPlan {
            team,
            region,
            arrival_us: 0,
            turns: draw_turns(random, team, region, false),
        })
        .collect()
}
