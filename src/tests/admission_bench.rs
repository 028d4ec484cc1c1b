//! A bench of admission and order, in virtual time: programs with dependent turns, their clients, and slots. It prints the
//! table of docs/BENCHMARKS.md:
//!
//! `cargo test --lib admission_bench -- --nocapture`

use std::{cmp::Reverse, collections::BinaryHeap, sync::Arc};

use derive_more::Display;
use tokio::time::{Duration, Instant};

use crate::entry::{
    admission::{
        admission_state::AdmissionState, admission_ticket::AdmissionTicket, queue_view::QueueView,
    },
    placement_request::PlacementRequest,
};

const SLOTS: usize = 128;

/// Leases on idle upstreams, in ms; half of them start with a cached prompt.
const LEASE_MS: (u64, u64) = (200, 400);

/// Relative growth of a lease at full load.
const CONCURRENCY_COST: f64 = 0.3;

const PAUSE_MS: (u64, u64) = (50, 150);

/// Turns of short and long programs; half of the programs are short.
const TURNS: [usize; 2] = [3, 11];

/// Time for which the client of a turn waits.
const CLIENT_MS: u64 = 3_000;

/// Begin and end of the burst, and end of the arrivals.
const BURST_MS: (u64, u64) = (10_000, 16_000);
const END_MS: u64 = 30_000;

const TEAMS: usize = 10;

/// Load outside the burst, as a part of the capacity.
const USUAL_LOAD: f64 = 0.7;

/// Wait of a turn from which on waits aren't normal, in ms.
const NORMAL_WAIT_MS: u64 = 50;

#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum Policy {
    /// All requests wait, the oldest is served first.
    #[display("first come")]
    FirstCome,
    /// Priority, continuation and finish time; a request is refused by its expected wait.
    #[display("before")]
    Before,
    /// All requests wait, the team with the fewest recent grants is served first.
    #[display("fair share")]
    FairShare,
    #[display("admission")]
    Admission,
}

#[derive(Clone, Copy, Debug)]
struct Scenario {
    name: &'static str,
    /// Load in the burst, as a part of the capacity.
    load: f64,
    /// Number of teams that send more in the burst, and how many times their usual load. The others send the usual load.
    hot: (usize, f64),
    /// Whether short programs have the more urgent priority.
    has_urgent: bool,
}

const SCENARIOS: [Scenario; 8] = [
    Scenario { name: "load 0.8", load: 0.8, hot: (0, 1.0), has_urgent: false },
    Scenario { name: "load 0.95", load: 0.95, hot: (0, 1.0), has_urgent: false },
    Scenario { name: "load 1.2", load: 1.2, hot: (0, 1.0), has_urgent: false },
    Scenario { name: "load 1.7", load: 1.7, hot: (0, 1.0), has_urgent: false },
    Scenario { name: "load 2.6", load: 2.6, hot: (0, 1.0), has_urgent: false },
    Scenario { name: "one team at 7.5", load: USUAL_LOAD, hot: (1, 7.5), has_urgent: false },
    Scenario { name: "three teams at 5", load: USUAL_LOAD, hot: (3, 5.0), has_urgent: false },
    Scenario { name: "urgent short, load 1.7", load: 1.7, hot: (0, 1.0), has_urgent: true },
];

/// Programs of a group that began in the burst, by outcome.
#[derive(Clone, Copy, Debug, Default)]
struct Outcomes {
    in_time: usize,
    late: usize,
    failed: usize,
    refused: usize,
}

impl Outcomes {
    fn total(&self) -> usize {
        self.in_time + self.late + self.failed + self.refused
    }

    fn share_in_time(&self) -> f64 {
        self.in_time as f64 / self.total().max(1) as f64
    }
}

#[derive(Debug, Default)]
struct BenchResult {
    /// Hot teams or urgent programs, and all others.
    groups: [Outcomes; 2],
    /// Refused turns of programs under way that had not taken more than twice their time.
    refused_under_way: usize,
    recovery_ms: u64,
}

#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Event {
    Arrival { team: usize },
    Send { program: usize },
    Timeout { program: usize, attempt: u64 },
    End { program: usize },
}

#[derive(Debug)]
struct Program {
    id: Arc<str>,
    team: usize,
    began_ms: u64,
    objective_ms: u64,
    leases: Vec<u64>,
    pauses: Vec<u64>,
    turn: usize,
    has_started: bool,
    /// When the client of this turn gives up, set by its first request.
    client_deadline: Option<u64>,
    has_retried: bool,
    failures: u32,
    was_refused: bool,
    attempt: u64,
    granted_ms: u64,
    ticket: Option<Arc<AdmissionTicket>>,
}

impl Program {
    fn is_short(&self) -> bool {
        self.leases.len() == TURNS[0]
    }
}

#[derive(Debug)]
struct Waiting {
    program: usize,
    sequence: u64,
    arrived_ms: u64,
    request: PlacementRequest,
}

#[derive(Debug)]
struct Simulation {
    scenario: Scenario,
    policy: Policy,
    base: Instant,
    now_ms: u64,
    /// Random numbers of arrivals and programs, which are the same for all orders.
    random: u64,
    /// Random numbers of clients.
    client_random: u64,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    last_event: u64,
    programs: Vec<Program>,
    queue: Vec<Waiting>,
    busy: usize,
    mean_lease_ms: f64,
    admission: AdmissionState,
    team_grants: [f64; TEAMS],
    result: BenchResult,
}

impl Simulation {
    fn new(scenario: Scenario, policy: Policy, seed: u64) -> Self {
        Self {
            scenario,
            policy,
            base: Instant::now(),
            now_ms: 0,
            random: seed,
            client_random: !seed,
            events: BinaryHeap::new(),
            last_event: 0,
            programs: Vec::new(),
            queue: Vec::new(),
            busy: 0,
            mean_lease_ms: 300.0,
            admission: AdmissionState::default(),
            team_grants: [0.0; TEAMS],
            result: BenchResult::default(),
        }
    }

    fn run(mut self) -> BenchResult {
        (0..TEAMS).for_each(|team| self.push(0, Event::Arrival { team }));

        while let Some(Reverse((at, _, event))) = self.events.pop() {
            self.now_ms = at;
            match event {
                Event::Arrival { team } => self.arrive(team),
                Event::Send { program } => self.send(program),
                Event::Timeout { program, attempt } => self.time_out(program, attempt),
                Event::End { program } => self.end(program),
            }
            self.serve();
        }

        self.result
    }

    fn uniform(&mut self) -> f64 {
        next_uniform(&mut self.random)
    }

    fn between(&mut self, (min, max): (u64, u64)) -> u64 {
        min + (self.uniform() * (max - min) as f64) as u64
    }

    fn push(&mut self, at: u64, event: Event) {
        self.last_event += 1;
        self.events.push(Reverse((at, self.last_event, event)));
    }

    fn instant(&self, at_ms: u64) -> Instant {
        self.base + Duration::from_millis(at_ms)
    }

    fn is_burst(at_ms: u64) -> bool {
        (BURST_MS.0..BURST_MS.1).contains(&at_ms)
    }

    /// Lets a program of a team arrive, and draws when the team's next one does.
    fn arrive(&mut self, team: usize) {
        if self.now_ms >= END_MS {
            return;
        }
        let mean_lease_s = (LEASE_MS.0 + LEASE_MS.1) as f64 / 2_000.0 * (1.0 + CONCURRENCY_COST);
        let mean_turns = (TURNS[0] + TURNS[1]) as f64 / 2.0;
        let capacity = SLOTS as f64 / (mean_lease_s * mean_turns);
        let load = if Self::is_burst(self.now_ms) { self.scenario.load } else { USUAL_LOAD };
        let is_hot = team < self.scenario.hot.0 && Self::is_burst(self.now_ms);
        let factor = if is_hot { self.scenario.hot.1 } else { 1.0 };
        let rate = capacity * load * factor / TEAMS as f64;
        let next_ms = (-self.uniform().max(1e-12).ln() / rate * 1_000.0).ceil() as u64;
        // The rate changes at the borders of the burst.
        let border = [BURST_MS.0, BURST_MS.1].into_iter().find(|it| self.now_ms < *it);
        let at = self.now_ms + next_ms;
        let is_across = border.is_some_and(|border| at >= border);
        if self.now_ms != 0 && !(is_across && border == Some(self.now_ms)) {
            self.add_program(team);
        }
        self.push(if is_across { border.unwrap_or(at) } else { at }, Event::Arrival { team });
    }

    fn add_program(&mut self, team: usize) {
        let is_short = self.uniform() < 0.5;
        let turns = TURNS[usize::from(!is_short)];
        let leases: Vec<u64> = (0..turns).map(|_| self.between(LEASE_MS)).collect();
        let pauses: Vec<u64> = (1..turns).map(|_| self.between(PAUSE_MS)).collect();
        let idle_ms = leases.iter().chain(&pauses).sum::<u64>() as f64;
        let slack_ms = if self.uniform() < 0.5 { 250.0 } else { 500.0 };
        let objective_ms = (idle_ms * (1.4 + 0.3 * self.uniform()) + slack_ms) as u64;
        let program = self.programs.len();
        self.programs.push(Program {
            id: format!("program {program}").into(),
            team,
            began_ms: self.now_ms,
            objective_ms,
            leases,
            pauses,
            turn: 0,
            has_started: false,
            client_deadline: None,
            has_retried: false,
            failures: 0,
            was_refused: false,
            attempt: 0,
            granted_ms: 0,
            ticket: None,
        });
        self.push(self.now_ms, Event::Send { program });
    }

    fn request(&self, program: &Program) -> PlacementRequest {
        let finish_ms = (program.began_ms + program.objective_ms).max(self.now_ms);
        let is_urgent = program.is_short() || !self.scenario.has_urgent;

        PlacementRequest {
            service: "model".into(),
            route: "route".into(),
            request: format!("{}, attempt {}", program.id, program.attempt).into(),
            team: Some(format!("team {}", program.team).into()),
            program: Some(Arc::clone(&program.id)),
            priority: u32::from(!is_urgent),
            is_continuation: program.turn > 0,
            finish_by: self.instant(finish_ms),
            deadline: self.instant(program.client_deadline.unwrap_or(self.now_ms)),
            prompt_parts: Vec::new(),
            prompt_tokens: 1_000,
            completion_tokens: 0,
            object: None,
            may_repeat: false,
            software_version: None,
            excluded: Vec::new(),
        }
    }

    /// Sends a program's current turn.
    fn send(&mut self, index: usize) {
        let now_ms = self.now_ms;
        let program = &mut self.programs[index];
        program.attempt += 1;
        let deadline = *program.client_deadline.get_or_insert(now_ms + CLIENT_MS);
        let attempt = program.attempt;
        let request = self.request(&self.programs[index]);
        self.programs[index].ticket = self.admission.record_arrival(self.instant(now_ms), &request);

        // Nothing is refused or waits while a slot is free, which `serve` then grants.
        if self.busy >= SLOTS
            && let Err(retry_ms) = self.check(&request)
        {
            self.refuse(index, retry_ms);
            return;
        }

        self.last_event += 1;
        let sequence = self.last_event;
        self.queue.push(Waiting { program: index, sequence, arrived_ms: now_ms, request });
        self.push(deadline, Event::Timeout { program: index, attempt });
    }

    /// Whether a request may wait; else the time after which it may come back.
    fn check(&mut self, request: &PlacementRequest) -> Result<(), u64> {
        let slots_per_s = SLOTS as f64 / self.mean_lease_ms * 1_000.0;
        match self.policy {
            Policy::FirstCome | Policy::FairShare => Ok(()),
            Policy::Before => {
                let wait_ms = (self.queue.len() + 1) as f64 / slots_per_s * 1_000.0;
                let left = request.deadline.saturating_duration_since(self.instant(self.now_ms));
                let max_ms = (left.as_millis() as f64 / 2.0).min(1_200.0);
                if wait_ms > max_ms { Err(wait_ms.max(100.0) as u64) } else { Ok(()) }
            }
            Policy::Admission => {
                let now = self.instant(self.now_ms);
                let rank = self.admission.rank(now, request, u64::MAX);
                let ranks = self.queue.iter().map(|it| {
                    let waited = Duration::from_millis(self.now_ms - it.arrived_ms);
                    (self.admission.rank(now, &it.request, it.sequence), waited)
                });
                let view = QueueView::new(rank, ranks, slots_per_s, self.admission.queue_age(now));
                let verdict = self.admission.check(now, request, &view);
                verdict.map_err(|refusal| refusal.retry_after.as_millis() as u64)
            }
        }
    }

    fn refuse(&mut self, index: usize, retry_ms: u64) {
        let program = &mut self.programs[index];
        let expires_ms = program.began_ms + 2 * program.objective_ms;
        if program.has_started && self.now_ms < expires_ms {
            self.result.refused_under_way += 1;
        }
        program.was_refused = true;
        let left = program.client_deadline.unwrap_or(self.now_ms).saturating_sub(self.now_ms);

        if !program.has_retried && left > 0 {
            program.has_retried = true;
            let at = self.now_ms + retry_ms.min(left / 3);
            self.push(at, Event::Send { program: index });
        } else {
            self.fail_turn(index);
        }
    }

    /// The program sends a failed turn again, at most twice.
    fn fail_turn(&mut self, index: usize) {
        let delay = 100 + (next_uniform(&mut self.client_random) * 300.0) as u64;
        let program = &mut self.programs[index];
        program.failures += 1;
        program.client_deadline = None;
        program.has_retried = false;

        if program.failures < 3 {
            self.push(self.now_ms + delay, Event::Send { program: index });
        } else if program.has_started || !program.was_refused {
            self.count(index, |outcomes| outcomes.failed += 1);
        } else {
            self.count(index, |outcomes| outcomes.refused += 1);
        }
    }

    fn count(&mut self, index: usize, add: fn(&mut Outcomes)) {
        let program = &self.programs[index];
        if Self::is_burst(program.began_ms) {
            let is_first = if self.scenario.has_urgent {
                program.is_short()
            } else {
                program.team < self.scenario.hot.0
            };
            add(&mut self.result.groups[usize::from(!is_first)]);
        }
    }

    fn time_out(&mut self, index: usize, attempt: u64) {
        let length = self.queue.len();
        if self.programs[index].attempt == attempt {
            self.queue.retain(|it| it.program != index);
        }
        if self.queue.len() < length {
            self.fail_turn(index);
        }
    }

    /// Index of the request in the queue that is served next.
    fn next_waiting(&self) -> Option<usize> {
        let waiting = || self.queue.iter().enumerate();
        match self.policy {
            Policy::FirstCome => waiting().min_by_key(|(_, it)| it.sequence).map(|(at, _)| at),
            Policy::Before => {
                let key = |it: &Waiting| {
                    let request = &it.request;
                    (request.priority, !request.is_continuation, request.finish_by, it.sequence)
                };
                waiting().min_by_key(|(_, it)| key(it)).map(|(at, _)| at)
            }
            Policy::FairShare => {
                let grants = |it: &Waiting| self.team_grants[self.programs[it.program].team];
                let compare = |left: &Waiting, right: &Waiting| {
                    grants(left).total_cmp(&grants(right)).then(left.sequence.cmp(&right.sequence))
                };
                waiting().min_by(|(_, left), (_, right)| compare(left, right)).map(|(at, _)| at)
            }
            Policy::Admission => {
                let now = self.instant(self.now_ms);
                let items = waiting().map(|(at, it)| (at, it.sequence, &it.request));
                self.admission.sort_queue(now, items).first().copied()
            }
        }
    }

    fn serve(&mut self) {
        let now = self.instant(self.now_ms);

        while self.busy < SLOTS
            && let Some(at) = self.next_waiting()
        {
            let waiting = self.queue.swap_remove(at);
            self.busy += 1;
            self.admission.record_grant(now, &waiting.request);
            // Arrivals end at `END_MS`, so a wait near it is not counted as one of the burst.
            let is_after_burst = (BURST_MS.1..END_MS).contains(&self.now_ms);
            if is_after_burst && self.now_ms - waiting.arrived_ms > NORMAL_WAIT_MS {
                self.result.recovery_ms = self.now_ms - BURST_MS.1;
            }

            let slowdown = 1.0 + CONCURRENCY_COST * self.busy as f64 / SLOTS as f64;
            let program = &mut self.programs[waiting.program];
            self.team_grants.iter_mut().for_each(|it| *it *= 0.999);
            self.team_grants[program.team] += 1.0;
            program.has_started = true;
            program.granted_ms = self.now_ms;
            let lease_ms = (program.leases[program.turn] as f64 * slowdown) as u64;
            self.push(self.now_ms + lease_ms, Event::End { program: waiting.program });
        }

        self.admission.record_queue(now, self.queue.is_empty());
    }

    fn end(&mut self, index: usize) {
        let now = self.instant(self.now_ms);
        self.busy -= 1;
        let program = &mut self.programs[index];
        let lease_ms = self.now_ms - program.granted_ms;
        self.mean_lease_ms += (lease_ms as f64 - self.mean_lease_ms) / 16.0;
        // The client of the turn may have left; its upstream still answers.
        let is_answered = program.client_deadline.is_none_or(|at| self.now_ms <= at);
        if let Some(ticket) = program.ticket.take() {
            let lease_time = Duration::from_millis(lease_ms);
            self.admission.record_end(now, &ticket, lease_time, is_answered);
        }

        if !is_answered {
            self.fail_turn(index);
            return;
        }

        (program.client_deadline, program.has_retried, program.failures) = (None, false, 0);
        program.turn += 1;

        if let Some(pause) = program.pauses.get(program.turn - 1) {
            let at = self.now_ms + pause;
            self.push(at, Event::Send { program: index });
            return;
        }

        let elapsed = self.now_ms - program.began_ms;
        if elapsed <= program.objective_ms {
            self.count(index, |outcomes| outcomes.in_time += 1);
        } else if elapsed <= 2 * program.objective_ms {
            self.count(index, |outcomes| outcomes.late += 1);
        } else {
            self.count(index, |outcomes| outcomes.failed += 1);
        }
    }
}

/// A random number from 0 to 1 (splitmix64).
fn next_uniform(state: &mut u64) -> f64 {
    *state = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let mixed = (*state ^ (*state >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    ((mixed ^ (mixed >> 31)) >> 11) as f64 / (1_u64 << 53) as f64
}

fn run(name: &str, policy: Policy) -> BenchResult {
    let scenario = SCENARIOS.into_iter().find(|it| it.name == name).expect("a known scenario");
    Simulation::new(scenario, policy, 1).run()
}

#[test]
fn admission_bench_prints_its_table() {
    println!(
        "| scenario | order | programs | in time | late | failed | refused | turns under way refused | normal after s |"
    );
    println!("|---|---|---|---|---|---|---|---|---|");

    for scenario in SCENARIOS {
        for policy in [Policy::FirstCome, Policy::Before, Policy::FairShare, Policy::Admission] {
            let result = Simulation::new(scenario, policy, 1).run();
            for (group, label) in result.groups.iter().zip([", these", ", others"]) {
                let label = if result.groups[0].total() == 0 { "" } else { label };
                if group.total() > 0 {
                    println!(
                        "| {}{label} | {policy} | {} | {:.3} | {:.3} | {:.3} | {:.3} | {} | {:.2} |",
                        scenario.name,
                        group.total(),
                        group.share_in_time(),
                        group.late as f64 / group.total() as f64,
                        group.failed as f64 / group.total() as f64,
                        group.refused as f64 / group.total() as f64,
                        result.refused_under_way,
                        result.recovery_ms as f64 / 1_000.0,
                    );
                }
            }
        }
    }
}

/// Guards against orders that look better on average and refuse programs under way, or below the capacity.
#[test]
fn check_refuses_nothing_below_the_capacity_and_no_turn_under_way() {
    for scenario in SCENARIOS {
        let result = run(scenario.name, Policy::Admission);
        assert_eq!(result.refused_under_way, 0, "{}", scenario.name);
        if scenario.load < 1.0 && scenario.hot.0 == 0 {
            let refused: usize = result.groups.iter().map(|it| it.refused + it.late).sum();
            assert_eq!(refused, 0, "{}", scenario.name);
        }
    }
}

/// Guards against admitted programs that end late for want of capacity.
#[test]
fn check_lets_more_programs_end_in_time_in_a_burst() {
    for (name, bound) in [("load 1.7", 0.7), ("urgent short, load 1.7", 0.7)] {
        let admission = run(name, Policy::Admission);
        let before = run(name, Policy::Before);
        let in_time =
            |result: &BenchResult| -> usize { result.groups.iter().map(|it| it.in_time).sum() };
        let total: usize = admission.groups.iter().map(Outcomes::total).sum();
        assert!(in_time(&admission) > in_time(&before), "{name}: {admission:?}, before {before:?}");
        assert!(in_time(&admission) as f64 > bound * total as f64, "{name}: {admission:?}");
    }
}

/// Guards against teams that pay for the load of others.
#[test]
fn rank_lets_hot_teams_pay_first() {
    for name in ["one team at 7.5", "three teams at 5"] {
        let [_, others] = run(name, Policy::Admission).groups;
        assert!(others.share_in_time() > 0.98, "{name}: {others:?}");
    }
}
