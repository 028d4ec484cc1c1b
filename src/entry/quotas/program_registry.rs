//! Decides which requests start a program, and how many requests a program is expected to send. Pure; see
//! docs/design/quotas.md.
//!
//! It answers the load of teams that send whole programs, some of them far beyond their quota.
//!
//! | Input | Source | Age |
//! |---|---|---|
//! | programs in progress | turns that this host has admitted | at most [`MEMORY_TIME`] |
//! | turns of a program | programs of the route that have ended at this host without a refusal | the last 64 of the team |
//! | calls for each turn | requests of the team's programs at this host | the last 1,024 |
//! | how full the bucket of requests is | the owner's last answer | at most [`HEARD_TIME`](crate::entry::quotas::HEARD_TIME), then it counts as full |
//! | whether a program has begun elsewhere | the request, and the budgets that this host knows | as the mesh's last update |

use std::{collections::HashMap, sync::Arc};

use tokio::time::{Duration, Instant};

use crate::entry::quotas::{learned_mean::LearnedMean, start_account::MAX_PROGRAM_SIZE};

/// Time without a turn after which a program has ended, and what it has not used goes back. A turn and the calls after it
/// take less than a second each.
const END_TIME: Duration = Duration::from_secs(4);

/// Time without a turn after which a program is forgotten. Until then, a further turn continues it.
const MEMORY_TIME: Duration = Duration::from_mins(1);

/// Time between two searches for programs that have ended.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

/// Programs that one host remembers, about 2 MB. The starts of further ones are let in without a charge.
const MAX_PROGRAMS: usize = 10_000;

/// Turns of a program, and calls of plain services after each turn, before anything is learned. Together 18 requests, while
/// programs of known deployments have 12 to 25: too high a number costs starts until it is learned, too low a one whole programs.
const FIRST_TURNS: f64 = 6.0;
const FIRST_CALLS: f64 = 2.0;

/// Most calls for each turn. A host that sees many calls and few turns has learned too little.
const MAX_CALLS: f64 = 8.0;

/// Weight of what all teams have in common, in programs and in turns, against what was observed of one team.
const COMMON_PROGRAMS: f64 = 4.0;
const COMMON_TURNS: f64 = 16.0;

/// Observations after which old ones fade.
const PROGRAM_LIMIT: f64 = 64.0;
const TURN_LIMIT: f64 = 1_024.0;

/// Part of a full bucket below which a start takes more tokens, and by how much more for each part that is missing.
const LOW_BUCKET_PART: f64 = 0.25;
const SURCHARGE_GAIN: f64 = 2.0;

/// What a request states about its program.
#[derive(Clone, Debug)]
pub(crate) struct ProgramRequest {
    /// Scoped id of the program.
    pub(crate) program: Arc<str>,
    pub(crate) route: Arc<str>,
    /// Whether the request is a turn, and not a call of a plain service.
    pub(crate) is_turn: bool,
    /// Whether the program is known to have run before, here or at another host.
    pub(crate) has_begun: bool,
}

/// What a request is to its program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ProgramStep {
    /// It continues the program, which has sent `excess` requests that were not expected.
    Continues { excess: u32 },
    /// It starts the program, which is expected to send `size` requests.
    Starts { size: u32 },
}

/// A program that has begun at this host, or has come here from another one.
#[derive(Debug)]
struct KnownProgram {
    team: Arc<str>,
    route: Arc<str>,
    turns: u32,
    /// Requests that are paid for and not sent, by the calls that are expected after each turn.
    remainder: f64,
    last_turn_at: Instant,
    /// Whether its number of turns says nothing about other programs: one was refused, or some ran elsewhere.
    is_partial: bool,
    has_ended: bool,
}

/// What was learned of one team's programs, or of all teams'.
#[derive(Debug, Default)]
struct ProgramHabits {
    turns: HashMap<Arc<str>, LearnedMean>,
    calls_per_turn: LearnedMean,
}

impl ProgramHabits {
    fn turns(&self, route: &str, prior: f64) -> f64 {
        self.turns.get(route).map_or(prior, |it| it.value(prior, COMMON_PROGRAMS))
    }

    fn calls_per_turn(&self, prior: f64) -> f64 {
        self.calls_per_turn.value(prior, COMMON_TURNS)
    }

    fn add_program(&mut self, route: &Arc<str>, turns: u32) {
        let mean = self.turns.entry(Arc::clone(route)).or_default();
        mean.add(f64::from(turns), 1.0, PROGRAM_LIMIT);
    }

    fn add_request(&mut self, is_turn: bool) {
        let (calls, turns) = if is_turn { (0.0, 1.0) } else { (1.0, 0.0) };
        self.calls_per_turn.add(calls, turns, TURN_LIMIT);
    }
}

/// Tokens of a team's starts that a program has not used.
#[derive(Clone, Debug, PartialEq)]
pub(crate) struct UnusedStart {
    pub(crate) team: Arc<str>,
    pub(crate) tokens: u32,
}

/// Programs in progress at this host, and what was learned of those that have ended.
#[derive(Debug)]
pub(crate) struct ProgramRegistry {
    programs: HashMap<Arc<str>, KnownProgram>,
    teams: HashMap<Arc<str>, ProgramHabits>,
    common: ProgramHabits,
    swept_at: Instant,
}

impl ProgramRegistry {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            programs: HashMap::new(),
            teams: HashMap::new(),
            common: ProgramHabits::default(),
            swept_at: now,
        }
    }

    /// Records a request, and decides whether it starts its program. `bucket_part` is how full the bucket of the team's requests
    /// is: while it is nearly empty, programs send more than was expected of them, and a start takes more tokens.
    pub(crate) fn begin(
        &mut self,
        now: Instant,
        team: &Arc<str>,
        request: &ProgramRequest,
        bucket_part: f64,
    ) -> ProgramStep {
        self.common.add_request(request.is_turn);
        self.teams.entry(Arc::clone(team)).or_default().add_request(request.is_turn);
        if !request.is_turn {
            return ProgramStep::Continues { excess: 0 };
        }

        let is_known = self.programs.contains_key(&request.program);
        if !is_known && self.programs.len() >= MAX_PROGRAMS {
            return ProgramStep::Continues { excess: 0 };
        }

        let start_size = self.start_size(team, request, bucket_part);
        let (size, turn_size) = self.sizes(team, &request.route);
        let is_start = start_size.is_some();
        let program =
            self.programs.entry(Arc::clone(&request.program)).or_insert_with(|| KnownProgram {
                team: Arc::clone(team),
                route: Arc::clone(&request.route),
                turns: 0,
                remainder: if is_start { f64::from(size) } else { 0.0 },
                last_turn_at: now,
                is_partial: !is_start,
                has_ended: false,
            });
        program.turns = program.turns.saturating_add(1);
        program.last_turn_at = now;
        program.remainder -= turn_size;

        if let Some(size) = start_size {
            return ProgramStep::Starts { size };
        }
        let excess = (-program.remainder).max(0.0).floor();
        program.remainder += excess;
        ProgramStep::Continues { excess: excess as u32 }
    }

    /// Tokens that a request takes as the start of its program; `None` if it starts none. Nothing changes.
    pub(crate) fn start_size(
        &self,
        team: &str,
        request: &ProgramRequest,
        bucket_part: f64,
    ) -> Option<u32> {
        let is_known = self.programs.contains_key(&request.program);
        if !request.is_turn || request.has_begun || is_known || self.programs.len() >= MAX_PROGRAMS
        {
            return None;
        }
        let (size, _) = self.sizes(team, &request.route);
        let lacking = (LOW_BUCKET_PART - bucket_part).clamp(0.0, LOW_BUCKET_PART);
        let size = (f64::from(size) * (1.0 + lacking * SURCHARGE_GAIN)).ceil() as u32;
        Some(size.min(MAX_PROGRAM_SIZE))
    }

    /// Forgets a program whose start was refused, or whose client has gone before the decision.
    pub(crate) fn cancel_start(&mut self, program: &str) {
        self.programs.remove(program);
    }

    /// Records that a request of a program was refused, so that its turns don't count as those of a whole program.
    pub(crate) fn record_refusal(&mut self, program: &str, is_turn: bool) {
        if let Some(program) = self.programs.get_mut(program) {
            program.is_partial = true;
            program.turns -= u32::from(is_turn && program.turns > 0);
        }
    }

    /// Programs that have ended since the last call and have sent less than was expected. Forgets those that ended long ago.
    pub(crate) fn take_unused(&mut self, now: Instant) -> Vec<UnusedStart> {
        let mut unused = Vec::new();
        if now.duration_since(self.swept_at) < SWEEP_INTERVAL {
            return unused;
        }

        self.swept_at = now;
        for program in self.programs.values_mut() {
            if program.has_ended || now.duration_since(program.last_turn_at) < END_TIME {
                continue;
            }

            program.has_ended = true;
            let tokens = program.remainder.max(0.0) as u32;
            program.remainder -= f64::from(tokens);
            if tokens > 0 {
                unused.push(UnusedStart { team: Arc::clone(&program.team), tokens });
            }
            if !program.is_partial {
                self.common.add_program(&program.route, program.turns);
                let habits = self.teams.entry(Arc::clone(&program.team)).or_default();
                habits.add_program(&program.route, program.turns);
                // A further turn makes it another number of turns.
                program.is_partial = true;
            }
        }
        self.programs.retain(|_, it| now.duration_since(it.last_turn_at) < MEMORY_TIME);
        unused
    }

    /// Number of requests that a program of a team is expected to send, and number of those for each turn.
    fn sizes(&self, team: &str, route: &str) -> (u32, f64) {
        let (mut turns, mut calls) =
            (self.common.turns(route, FIRST_TURNS), self.common.calls_per_turn(FIRST_CALLS));
        if let Some(habits) = self.teams.get(team) {
            turns = habits.turns(route, turns);
            calls = habits.calls_per_turn(calls);
        }
        let turn_size = 1.0 + calls.clamp(0.0, MAX_CALLS);
        let size = (turns * turn_size).ceil() as u32;
        (size.clamp(1, MAX_PROGRAM_SIZE), turn_size)
    }
}
