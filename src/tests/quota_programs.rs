//! Whole programs of teams with a quota: the share of those owed that are served whole.

use std::{collections::BTreeMap, sync::Arc};

use rand::RngExt;
use tokio::time::{Duration, Instant};

use super::quota_model::{ModelEvent, QuotaModel};
use crate::entry::quotas::{
    QuotaLimit,
    program_registry::{ProgramRequest, ProgramStep},
    quota_allowance::TokenDecision,
    start_account::start_account,
};

/// Time for which programs start.
const LOAD_TIME: Duration = Duration::from_secs(15);

/// Time in which a program should finish.
const PROGRAM_TIME: Duration = Duration::from_secs(8);

/// Retries of a request that was refused.
const MAX_RETRIES: u32 = 2;

const MAX_PATIENCE: Duration = Duration::from_millis(250);

/// What becomes of a program.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ProgramState {
    Running,
    Whole,
    Lost,
}

/// A program: turns at one host, each followed by calls at any host.
#[derive(Debug)]
pub(super) struct ModelProgram {
    team: usize,
    host: usize,
    began_at: Instant,
    /// Whether each request is a turn, and the time after the one before it.
    steps: Vec<(bool, Duration)>,
    next: usize,
    is_admitted: bool,
    retries: u32,
    patient_until: Option<Instant>,
    step_host: usize,
    state: ProgramState,
}

impl QuotaModel {
    /// Schedules programs of a team that together send `factor` times its rate.
    fn schedule_programs(&mut self, team: usize, factor: f64, (begin, end): (Instant, Instant)) {
        let starts_per_s = self.teams[team].limit().rate_per_s * factor / 17.5;
        let mut at = begin;
        loop {
            let gap = -self.random.random_range(1e-9..1.0_f64).ln() / starts_per_s;
            at += Duration::from_secs_f64(gap);
            if at >= end {
                return;
            }
            let mut steps = Vec::new();
            for _ in 0..self.random.random_range(4..=7) {
                steps.push((true, Duration::ZERO));
                (0..self.random.random_range(1..=3))
                    .for_each(|_| steps.push((false, Duration::ZERO)));
            }
            let gap_us = self.random.random_range(2_000_000..4_000_000) / steps.len() as u64;
            for (_, gap) in steps.iter_mut().skip(1) {
                *gap = Duration::from_micros(self.random.random_range(gap_us / 2..gap_us * 3 / 2));
            }
            let program = self.programs.len();
            self.programs.push(ModelProgram {
                team,
                host: program % self.hosts.len(),
                began_at: at,
                steps,
                next: 0,
                is_admitted: false,
                retries: 0,
                patient_until: None,
                step_host: 0,
                state: ProgramState::Running,
            });
            self.schedule(at, ModelEvent::Step { program });
        }
    }

    /// Sends the next request of a program, or sends it again.
    pub(super) fn step(&mut self, index: usize) {
        let host_count = self.hosts.len();
        let any_host = self.random.random_range(0..host_count);
        let program = &mut self.programs[index];
        let (is_turn, _) = program.steps[program.next];
        program.step_host = if is_turn { program.host } else { any_host };
        let (team, host) = (program.team, program.step_host);
        if !self.hosts[host].is_alive {
            return self.refuse_step(index, Duration::from_millis(250));
        }

        // A retry of a request that was let in by the account of starts is another request of the program.
        if self.admits_programs && program.patient_until.is_none() {
            let request = ProgramRequest {
                program: index.to_string().into(),
                route: "turns".into(),
                is_turn,
                has_begun: false,
            };
            let name = Arc::clone(&self.teams[team].name);
            let limit = self.teams[team].limit();
            let state = &mut self.hosts[host];
            let bucket_part = state.reporter.bucket_part(self.now, &name);
            match state.programs.begin(self.now, &name, &request, bucket_part) {
                ProgramStep::Continues { excess: 0 } => {}
                ProgramStep::Continues { excess } => {
                    state.reporter.charge(self.now, &start_account(&name), limit, excess);
                }
                ProgramStep::Starts { size } => {
                    let account = team + self.teams.len();
                    match self.acquire(host, account, size, Some(index)) {
                        TokenDecision::Granted => {}
                        TokenDecision::Waits => return,
                        TokenDecision::Refused { retry_after } => {
                            return self.refuse_start(index, retry_after);
                        }
                    }
                }
            }
        }
        self.request_step(index);
    }

    /// Takes a token for the next request of a program.
    fn request_step(&mut self, index: usize) {
        let ModelProgram { team, step_host, .. } = self.programs[index];
        self.programs[index].is_admitted = true;
        self.teams[team].arrivals += 1;
        match self.acquire(step_host, team, 1, Some(index)) {
            TokenDecision::Granted => self.end_step(index),
            TokenDecision::Waits => {}
            TokenDecision::Refused { retry_after } => self.refuse_request(index, retry_after),
        }
    }

    /// Ends the wait of a program's request or start; `None` if no owner has answered.
    pub(super) fn end_program_wait(
        &mut self,
        index: usize,
        account: usize,
        result: Option<Result<(), Duration>>,
    ) {
        let is_start = account >= self.teams.len();
        match (is_start, result) {
            (true, Some(Err(retry_after))) => self.refuse_start(index, retry_after),
            (true, _) => self.request_step(index),
            (false, Some(Ok(()))) => self.end_step(index),
            (false, Some(Err(retry_after))) => self.refuse_request(index, retry_after),
            (false, None) => self.refuse_step(index, Duration::from_millis(250)),
        }
    }

    fn end_step(&mut self, index: usize) {
        let ModelProgram { team, step_host, .. } = self.programs[index];
        self.run_request(step_host, team);
        let program = &mut self.programs[index];
        (program.retries, program.patient_until) = (0, None);
        program.next += 1;
        if let Some((_, gap)) = program.steps.get(program.next) {
            let at = self.now + *gap;
            self.schedule(at, ModelEvent::Step { program: index });
        } else {
            program.state = ProgramState::Whole;
        }
    }

    fn refuse_start(&mut self, index: usize, retry_after: Duration) {
        let host = self.programs[index].step_host;
        self.hosts[host].programs.cancel_start(&index.to_string());
        self.refuse_step(index, retry_after);
    }

    /// Lets a request wait for a token that comes soon, or refuses it.
    fn refuse_request(&mut self, index: usize, retry_after: Duration) {
        let now = self.now;
        let program = &mut self.programs[index];
        let patient_until = *program.patient_until.get_or_insert(now + MAX_PATIENCE);
        if self.admits_programs && now + retry_after <= patient_until {
            return self.schedule(now + retry_after, ModelEvent::Step { program: index });
        }
        let (is_turn, _) = program.steps[program.next];
        let host = program.step_host;
        self.hosts[host].programs.record_refusal(&index.to_string(), is_turn);
        self.refuse_step(index, retry_after);
    }

    /// Tells the client of a program to retry, which it does while a third of its time allows it.
    fn refuse_step(&mut self, index: usize, retry_after: Duration) {
        let now = self.now;
        let program = &mut self.programs[index];
        self.teams[program.team].refused += 1;
        let left = (program.began_at + PROGRAM_TIME).saturating_duration_since(now);
        program.patient_until = None;
        program.retries += 1;
        if program.retries > MAX_RETRIES || retry_after > left / 3 {
            program.state = ProgramState::Lost;
        } else {
            self.schedule(now + retry_after, ModelEvent::Step { program: index });
        }
    }

    pub(super) fn sweep(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        for unused in state.programs.take_unused(self.now) {
            state.reporter.give_back_tokens(&start_account(&unused.team), unused.tokens);
        }
        self.schedule(self.now + Duration::from_millis(250), ModelEvent::Sweep { host });
    }
}

/// Programs of a team that were owed, served whole, and begun and then lost.
#[derive(Clone, Copy, Debug, Default)]
struct ProgramCounts {
    owed: f64,
    whole: f64,
    cut: u32,
    begun: u32,
}

impl ProgramCounts {
    fn share(&self) -> f64 {
        self.whole / self.owed
    }
}

fn count_programs(programs: &[(Instant, usize, bool, bool)], limit: QuotaLimit) -> ProgramCounts {
    let mut windows: BTreeMap<u64, Vec<(usize, bool)>> = BTreeMap::new();
    let mut counts = ProgramCounts::default();
    let first = programs.first().map(|it| it.0);
    for (began_at, size, is_whole, is_cut) in programs {
        let window = first.map_or(0, |it| began_at.duration_since(it).as_secs() / 5);
        windows.entry(window).or_default().push((*size, *is_whole));
        counts.begun += 1;
        counts.cut += u32::from(*is_cut);
    }
    let allowed = limit.rate_per_s * 5.0 + f64::from(limit.burst);
    for window in windows.values() {
        let sent: usize = window.iter().map(|it| it.0).sum();
        let owed = window.len() as f64 * (allowed / sent as f64).min(1.0);
        let whole = window.iter().filter(|it| it.1).count() as f64;
        counts.owed += owed;
        counts.whole += whole.min(owed);
    }
    counts
}

/// How programs are let in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum AdmissionWay {
    /// Each request by itself, with half of the slack.
    Requests,
    /// Whole programs.
    Programs,
}

fn run_programs(
    seed: u64,
    host_count: usize,
    (rate_per_s, burst): (f64, u32),
    factor: f64,
    way: AdmissionWay,
    events: Vec<(Duration, ModelEvent)>,
) -> (ProgramCounts, ProgramCounts) {
    let limit = QuotaLimit { rate_per_s, burst, config_version: 1 };
    let mut model = QuotaModel::new(seed, host_count, &[limit]);
    model.admits_programs = way == AdmissionWay::Programs;
    if way == AdmissionWay::Requests {
        model.tolerance.slack /= model.tolerance.extra_tokens() / 10.0;
        let restarted = model.now;
        (0..host_count).for_each(|host| model.schedule(restarted, ModelEvent::Kill { host }));
        (0..host_count).for_each(|host| model.schedule(restarted, ModelEvent::Start { host }));
    }
    let begin = model.now + Duration::from_secs(10);
    let end = begin + LOAD_TIME;
    events.into_iter().for_each(|(after, event)| model.schedule(begin + after, event));
    model.schedule_programs(0, factor, (begin, end));
    (0..host_count).for_each(|host| model.schedule(begin, ModelEvent::Sweep { host }));
    model.run_until(end + PROGRAM_TIME);
    let results: Vec<_> = model
        .programs
        .iter()
        .map(|it| {
            let is_whole = it.state == ProgramState::Whole;
            (it.began_at, it.steps.len(), is_whole, it.is_admitted && !is_whole)
        })
        .collect();
    let tolerance = crate::entry::QuotaTolerance::default();
    let fullest = model.teams[0].worst_window(&tolerance, Duration::ZERO);
    assert!(fullest <= 1.0, "{fullest}");
    (count_programs(&results, limit), ideal_counts(&model, limit))
}

/// What one bucket serves that knows the times of all requests of a program when it starts, and takes it only if all fit.
fn ideal_counts(model: &QuotaModel, limit: QuotaLimit) -> ProgramCounts {
    let capacity = f64::from(limit.burst) + model.tolerance.extra_tokens();
    let mut taken: Vec<Instant> = Vec::new();
    let mut results = Vec::new();
    for program in &model.programs {
        let is_whole = [0, 1_000, 2_000].into_iter().any(|wait_ms| {
            let mut at = program.began_at + Duration::from_millis(wait_ms);
            let mut all = taken.clone();
            for (_, gap) in &program.steps {
                at += *gap;
                all.push(at);
            }
            all.sort_unstable();
            let (mut level, mut last) = (capacity, all[0]);
            let fits = all.iter().all(|at| {
                let gain = limit.rate_per_s * at.duration_since(last).as_secs_f64();
                level = (level + gain).min(capacity) - 1.0;
                last = *at;
                level >= 0.0
            });
            if fits {
                taken = all;
            }
            fits
        });
        results.push((program.began_at, program.steps.len(), is_whole, false));
    }
    count_programs(&results, limit)
}

fn sum_of(counts: impl Iterator<Item = ProgramCounts>) -> ProgramCounts {
    counts.fold(ProgramCounts::default(), |sum, it| ProgramCounts {
        owed: sum.owed + it.owed,
        whole: sum.whole + it.whole,
        cut: sum.cut + it.cut,
        begun: sum.begun + it.begun,
    })
}

fn served(team: (f64, u32), factor: f64, events: Vec<(Duration, ModelEvent)>) -> ProgramCounts {
    let (counts, ideal) = run_programs(1, 18, team, factor, AdmissionWay::Programs, events);
    println!("{team:?}, load {factor}: {counts:?}, ideal {ideal:?}");
    counts
}

/// Guards against a team beyond its quota of whose programs nearly all lose a request.
#[test]
fn quota_beyond_the_limit_serves_whole_programs() {
    let counts = served((100.0, 100), 7.5, Vec::new());
    assert!(counts.share() > 0.8, "{}", counts.share());
    assert!(f64::from(counts.cut) < 0.1 * counts.whole, "{} cut", counts.cut);
}

/// Guards against programs of a team within its quota that are refused.
#[test]
fn quota_within_the_limit_serves_all_programs() {
    for team in [(5.0, 5), (20.0, 20), (100.0, 100)] {
        let counts = served(team, 0.5, Vec::new());
        assert!(counts.share() >= 1.0 && counts.cut == 0, "{team:?}");
    }
}

/// Guards against a team whose programs are held back for long after its owner, or all hosts, were lost, or after hosts were cut
/// off.
#[test]
fn quota_serves_programs_after_failures() {
    let second = Duration::from_secs(1);
    let restart = |hosts: std::ops::Range<usize>| {
        hosts.flat_map(|host| {
            [
                (5 * second, ModelEvent::Kill { host }),
                (5 * second + second / 2, ModelEvent::Start { host }),
            ]
        })
    };
    let groups = (0..18).map(|it| u8::from(it < 3)).collect();
    let cut = vec![
        (5 * second, ModelEvent::Cut { groups }),
        (7 * second, ModelEvent::Cut { groups: vec![0; 18] }),
    ];
    for (events, least) in
        [(restart(0..6).collect(), 0.6), (restart(0..18).collect(), 0.5), (cut, 0.6)]
    {
        let share = served((100.0, 100), 0.9, events).share();
        assert!(share > least, "{share}");
    }
}

/// Prints the share of the owed programs that are served whole, by team, load and number of schedulers. Run by hand, in a
/// release build; the figures are in docs/design/quotas.md.
#[test]
#[ignore = "prints figures"]
fn quota_program_figures() {
    for team in [(3.0, 3), (5.0, 5), (20.0, 20), (100.0, 100), (655.0, 655)] {
        for host_count in [1, 18, 60] {
            for factor in [0.5, 0.9, 1.5, 3.0, 7.5] {
                let seeds = if team.0 < 50.0 { 0..20 } else { 0..2 };
                let run = |way| {
                    let runs: Vec<_> = seeds
                        .clone()
                        .map(|seed| run_programs(seed, host_count, team, factor, way, Vec::new()))
                        .collect();
                    let sum = sum_of(runs.iter().map(|it| it.0));
                    (sum, sum_of(runs.iter().map(|it| it.1)))
                };
                let (before, _) = run(AdmissionWay::Requests);
                let (after, ideal) = run(AdmissionWay::Programs);
                println!(
                    "{team:?} {host_count:2} schedulers, load {factor}: before {:.3}, after {:.3} ({} of {} cut), ideal {:.3}",
                    before.share(),
                    after.share(),
                    after.cut,
                    after.begun,
                    ideal.share()
                );
            }
        }
    }
}
