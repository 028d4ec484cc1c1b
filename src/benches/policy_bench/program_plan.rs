//! Programs of the benchmark: chains of dependent turns with tool pauses, sub-agents and growing histories, drawn ahead
//! from a seed.

use rand::{RngExt, SeedableRng, rngs::StdRng};

use super::bench_scenario::{ARRIVAL_TIME_US, BenchScenario, ENGINE_COUNT, REGION_COUNT, TeamMix};
use super::fake_engine::{DECODE_SLOT_US, PREFILL_TOKEN_US};

/// Turns of a program.
const TURN_LIMIT: u32 = 57;

/// Tokens of a history.
const HISTORY_LIMIT_TOKENS: u64 = 260_000;

/// Chance that a turn spawns sub-agents, and how many.
const SPAWN_CHANCE: f64 = 0.03;
const SPAWN_COUNTS: std::ops::RangeInclusive<u32> = 3..=30;

/// Team names of the ordinary mix; the first sends as much as three others.
const TEAM_NAMES: [&str; 8] =
    ["tuul-1", "tuul-2", "tuul-3", "tuul-4", "ebro-1", "ebro-2", "ebro-3", "ebro-4"];

/// Team whose latency is compared with and without a greedy one beside it.
pub(super) const LIGHT_TEAM: &str = "light";

/// Part of the arrival time in which the peak lies, and its height over the rest.
const PEAK_SHARE: f64 = 0.25;
const PEAK_HEIGHT: f64 = 1.6;

/// One turn.
#[derive(Clone, Debug)]
pub(super) struct TurnPlan {
    pub(super) new_tokens: u64,
    pub(super) answer_tokens: u64,
    /// Time that the tool takes after the turn, in microseconds.
    pub(super) pause_us: u64,
    /// Sub-agents that the program waits for after the turn.
    pub(super) children: Vec<ProgramPlan>,
}

/// One program.
#[derive(Clone, Debug)]
pub(super) struct ProgramPlan {
    pub(super) team: &'static str,
    pub(super) region: usize,
    pub(super) arrival_us: u64,
    pub(super) turns: Vec<TurnPlan>,
}

impl ProgramPlan {
    /// Engine time that the program takes where every prefix that could be cached is, in microseconds.
    fn work_us(&self) -> u64 {
        let turns = self.turns.iter().map(|turn| {
            let own = turn.new_tokens * PREFILL_TOKEN_US + turn.answer_tokens * DECODE_SLOT_US;
            own + turn.children.iter().map(Self::work_us).sum::<u64>()
        });

        turns.sum()
    }
}

/// Draws programs until the offered work is reached.
pub(super) fn draw_programs(scenario: &BenchScenario) -> Vec<ProgramPlan> {
    match scenario.teams {
        TeamMix::Ordinary => draw_mix(scenario.seed, scenario.load_percent, draw_team),
        TeamMix::LightAlone => draw_mix(scenario.seed, scenario.load_percent, |_| LIGHT_TEAM),
        TeamMix::LightBesideGreedy => {
            // The light team's programs are the same as in the run where it is alone.
            let mut programs = draw_mix(scenario.seed, 20, |_| LIGHT_TEAM);
            let rest = scenario.load_percent - 20;
            programs.extend(draw_mix(scenario.seed + 1, rest, |_| "greedy"));
            programs.sort_by_key(|program| program.arrival_us);
            programs
        }
    }
}

fn draw_team(random: &mut StdRng) -> &'static str {
    let draw = random.random_range(0..TEAM_NAMES.len() + 2);
    TEAM_NAMES[draw.saturating_sub(2)]
}

fn draw_mix(
    seed: u64,
    load_percent: u64,
    team: impl Fn(&mut StdRng) -> &'static str,
) -> Vec<ProgramPlan> {
    let mut random = StdRng::seed_from_u64(seed);
    let offered_us = ARRIVAL_TIME_US * ENGINE_COUNT as u64 * load_percent / 100;
    let mut programs = Vec::new();
    let mut work_us = 0;

    while work_us < offered_us {
        let team = team(&mut random);
        let region = random.random_range(0..REGION_COUNT);
        let arrival_us = draw_arrival(&mut random);
        let turns = draw_turns(&mut random, team, region, true);
        let program = ProgramPlan { team, region, arrival_us, turns };
        work_us += program.work_us();
        programs.push(program);
    }

    programs.sort_by_key(|program| program.arrival_us);
    programs
}

/// Arrivals are even but for one peak in the middle.
fn draw_arrival(random: &mut StdRng) -> u64 {
    let peak_weight = PEAK_SHARE * PEAK_HEIGHT;
    let position = random.random_range(0.0..(1.0 - PEAK_SHARE) + peak_weight);

    let share = match position {
        position if position < peak_weight => (1.0 - PEAK_SHARE) / 2.0 + position / PEAK_HEIGHT,
        position => {
            let flat = position - peak_weight;
            let before = (1.0 - PEAK_SHARE) / 2.0;
            if flat < before { flat } else { flat + PEAK_SHARE }
        }
    };

    (share * ARRIVAL_TIME_US as f64) as u64
}

/// Draws from an exponential distribution, within bounds.
fn draw_exponential(random: &mut StdRng, mean: f64, low: f64, high: f64) -> f64 {
    let uniform: f64 = random.random_range(f64::EPSILON..1.0);
    (-uniform.ln() * mean).clamp(low, high)
}

fn draw_turns(
    random: &mut StdRng,
    team: &'static str,
    region: usize,
    may_spawn: bool,
) -> Vec<TurnPlan> {
    let mean = if may_spawn { 12.0 } else { 4.0 };
    let count = draw_exponential(random, mean, 2.0, f64::from(TURN_LIMIT)) as u32;
    let mut history = 0;
    let mut turns = Vec::new();

    for number in 0..count {
        let low = if number == 0 { 1_500.0 } else { 100.0 };
        let new_tokens = draw_exponential(random, 900.0, low, 12_000.0) as u64;
        let answer_tokens = draw_exponential(random, 180.0, 20.0, 900.0) as u64;
        history += new_tokens + answer_tokens;

        if history > HISTORY_LIMIT_TOKENS {
            break;
        }

        let is_spawning = may_spawn && random.random_bool(SPAWN_CHANCE);
        let children = if is_spawning { draw_children(random, team, region) } else { Vec::new() };
        let pause_us = draw_exponential(random, 3.0e6, 0.1e6, 30.0e6) as u64;
        turns.push(TurnPlan { new_tokens, answer_tokens, pause_us, children });
    }

    turns
}

fn draw_children(random: &mut StdRng, team: &'static str, region: usize) -> Vec<ProgramPlan> {
    let count = random.random_range(SPAWN_COUNTS);

    (0..count)
        .map(|_| ProgramPlan {
            team,
            region,
            arrival_us: 0,
            turns: draw_turns(random, team, region, false),
        })
        .collect()
}
