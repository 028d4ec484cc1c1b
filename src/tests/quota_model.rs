//! Hosts that exchange reports on quotas over a simulated network, in simulated time.

use std::{
    cmp::Reverse,
    collections::{BTreeMap, BinaryHeap, HashMap, VecDeque},
    sync::Arc,
};

use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Duration, Instant};

use super::quota_programs::ModelProgram;
use crate::entry::{
    QuotaTolerance,
    quotas::{
        QuotaAnswer, QuotaLimit, QuotaReport, REPORT_TIMEOUT,
        program_registry::ProgramRegistry,
        quota_allowance::TokenDecision,
        quota_owner::QuotaOwner,
        quota_reporter::{QuotaReporter, ReportFailure},
        start_account::{is_start_account, start_account, team_of},
    },
};

/// Time between two looks of a host at which reports are due.
const TICK: Duration = Duration::from_millis(50);

/// Longest wait of a request.
const OWNER_WAIT: Duration = Duration::from_millis(250);

/// Something that happens at a host.
#[derive(Debug)]
pub(super) enum ModelEvent {
    Tick {
        host: usize,
        run: u32,
    },
    Request {
        host: usize,
        team: usize,
    },
    Report {
        host: usize,
        run: u32,
        owner: usize,
        report: QuotaReport,
        sent_at: Instant,
    },
    Answer {
        host: usize,
        run: u32,
        owner: usize,
        report: QuotaReport,
        sent_at: Instant,
        answer: QuotaAnswer,
    },
    Timeout {
        host: usize,
        run: u32,
        owner: usize,
        report: QuotaReport,
    },
    WaitEnd {
        host: usize,
        run: u32,
        account: usize,
        ticket: u64,
    },
    /// A program sends its next request.
    Step {
        program: usize,
    },
    /// What programs that have ended have not used is returned.
    Sweep {
        host: usize,
    },
    GiveBack {
        host: usize,
        run: u32,
        team: usize,
        ran_at: Instant,
    },
    Kill {
        host: usize,
    },
    Start {
        host: usize,
    },
    /// Hosts of different groups can't exchange messages.
    Cut {
        groups: Vec<u8>,
    },
    /// Messages from one host to another are lost, each in one direction.
    CutLinks {
        links: Vec<(usize, usize)>,
    },
    SetLimit {
        team: usize,
        limit: QuotaLimit,
    },
}

#[derive(Debug)]
pub(super) struct ModelHost {
    pub(super) run: u32,
    pub(super) is_alive: bool,
    pub(super) reporter: QuotaReporter,
    pub(super) programs: ProgramRegistry,
    owner: QuotaOwner,
    /// Tickets that wait, by account: those of all teams' requests, then those of their starts.
    waiting: Vec<VecDeque<u64>>,
}

/// A team of the model, with what has become of its requests.
#[derive(Debug)]
pub(super) struct ModelTeam {
    pub(super) name: Arc<str>,
    /// Limits with the time from which each is in force.
    pub(super) limits: Vec<(Instant, QuotaLimit)>,
    /// Times at which requests ran, each with its number.
    pub(super) runs: BTreeMap<Instant, u32>,
    pub(super) refused: u64,
    pub(super) arrivals: u64,
    /// Requests that waited for a message.
    pub(super) waits: u64,
}

impl ModelTeam {
    pub(super) fn limit(&self) -> QuotaLimit {
        self.limits.last().expect("a limit").1
    }

    /// Largest number of requests in a window, relative to what is allowed in it. `apply_time` is the time for which an
    /// earlier limit may still be in force at some host.
    pub(super) fn worst_window(&self, tolerance: &QuotaTolerance, apply_time: Duration) -> f64 {
        let mut worst: f64 = 0.0;
        let mut window: VecDeque<(Instant, u32)> = VecDeque::new();
        let mut sum = 0;
        for (at, count) in &self.runs {
            window.push_back((*at, *count));
            sum += count;
            while window.front().is_some_and(|(first, _)| *at - *first >= tolerance.window) {
                sum -= window.pop_front().expect("not empty").1;
            }
            let begin = at.checked_sub(tolerance.window + apply_time).unwrap_or(*at);
            let in_force = self.limits.iter().enumerate().filter(|(index, (from, _))| {
                let until = self.limits.get(index + 1).map(|it| it.0);
                from <= at && until.is_none_or(|until| until >= begin)
            });
            let allowed = in_force
                .map(|(_, (_, it))| tolerance.window_limit(it.rate_per_s, f64::from(it.burst)))
                .fold(0.0, f64::max);
            worst = worst.max(f64::from(sum) / allowed);
        }
        worst
    }
}

/// Hosts, their network and their teams.
#[derive(Debug)]
pub(super) struct QuotaModel {
    pub(super) now: Instant,
    pub(super) random: StdRng,
    pub(super) tolerance: QuotaTolerance,
    pub(super) teams: Vec<ModelTeam>,
    /// Part of the requests that get a token and then don't run.
    pub(super) unrun_part: f64,
    /// Part of the messages that are lost.
    pub(super) loss: f64,
    pub(super) programs: Vec<ModelProgram>,
    pub(super) admits_programs: bool,
    /// Programs whose requests wait, by ticket.
    waiting_programs: HashMap<u64, usize>,
    cut_links: Vec<(usize, usize)>,
    pub(super) hosts: Vec<ModelHost>,
    groups: Vec<u8>,
    names: Vec<Arc<str>>,
    indexes: HashMap<Arc<str>, usize>,
    events: BinaryHeap<Reverse<(Instant, u64)>>,
    pending: HashMap<u64, ModelEvent>,
    sequence: u64,
}

impl QuotaModel {
    /// Hosts that all start at once, and teams with the given limits.
    pub(super) fn new(seed: u64, host_count: usize, limits: &[QuotaLimit]) -> Self {
        let now = Instant::now();
        let names: Vec<Arc<str>> = (0..host_count).map(|it| format!("host-{it}").into()).collect();
        let tolerance = QuotaTolerance::default();
        let team = |(index, limit): (usize, &QuotaLimit)| ModelTeam {
            name: format!("team-{index}").into(),
            limits: vec![(now, *limit)],
            runs: BTreeMap::new(),
            refused: 0,
            arrivals: 0,
            waits: 0,
        };
        let teams: Vec<ModelTeam> = limits.iter().enumerate().map(team).collect();
        let mut model = Self {
            now,
            random: StdRng::seed_from_u64(seed),
            tolerance,
            teams,
            unrun_part: 0.0,
            loss: 0.0,
            programs: Vec::new(),
            admits_programs: false,
            waiting_programs: HashMap::new(),
            cut_links: Vec::new(),
            hosts: Vec::new(),
            groups: vec![0; host_count],
            indexes: names.iter().enumerate().map(|(it, name)| (Arc::clone(name), it)).collect(),
            names,
            events: BinaryHeap::new(),
            pending: HashMap::new(),
            sequence: 0,
        };
        for host in 0..host_count {
            let started = model.new_host(host, 0);
            model.hosts.push(started);
            model.schedule(now, ModelEvent::Start { host });
        }
        model
    }

    fn new_host(&self, host: usize, run: u32) -> ModelHost {
        let name = &self.names[host];
        let run_name: Arc<str> = format!("{name}.{run}").into();
        ModelHost {
            run,
            is_alive: false,
            reporter: QuotaReporter::new(self.now, Arc::clone(name), run_name),
            programs: ProgramRegistry::new(self.now),
            owner: QuotaOwner::new(self.now, Arc::clone(name), self.tolerance),
            waiting: vec![VecDeque::new(); self.teams.len() * 2],
        }
    }

    pub(super) fn schedule(&mut self, at: Instant, event: ModelEvent) {
        self.sequence += 1;
        self.pending.insert(self.sequence, event);
        self.events.push(Reverse((at, self.sequence)));
    }

    /// Runs all events before `end`.
    pub(super) fn run_until(&mut self, end: Instant) {
        while let Some(Reverse((at, id))) = self.events.peek().copied() {
            if at >= end {
                break;
            }
            self.events.pop();
            self.now = at;
            let event = self.pending.remove(&id).expect("each event happens once");
            self.apply(event);
        }
        self.now = end;
    }

    fn is_run(&self, host: usize, run: u32) -> bool {
        self.hosts[host].is_alive && self.hosts[host].run == run
    }

    fn is_linked(&mut self, from: usize, to: usize) -> bool {
        let is_cut = self.groups[from] != self.groups[to] || self.cut_links.contains(&(from, to));
        let is_lost = self.loss > 0.0 && self.random.random_bool(self.loss);
        !is_cut && !is_lost
    }

    /// Messages take 0.3 to 12 ms; one in 200 takes up to 300 ms.
    fn delay(&mut self) -> Duration {
        let max_us = if self.random.random_bool(0.005) { 300_000 } else { 12_000 };
        Duration::from_micros(self.random.random_range(300..max_us))
    }

    fn apply(&mut self, event: ModelEvent) {
        let now = self.now;
        match event {
            ModelEvent::Start { host } if !self.hosts[host].is_alive => {
                let run = self.hosts[host].run + 1;
                self.hosts[host] = self.new_host(host, run);
                self.hosts[host].is_alive = true;
                let others = self.names.iter().enumerate().filter(|(it, _)| *it != host);
                let responsive = others.map(|(_, name)| Arc::clone(name)).collect();
                let known_hosts = self.names.len() as u32;
                let state = &mut self.hosts[host];
                state.reporter.set_peers(now, responsive, known_hosts, false);
                state.owner.set_known_hosts(known_hosts);
                let offset = Duration::from_micros(self.random.random_range(0..50_000));
                self.schedule(now + offset, ModelEvent::Tick { host, run });
            }
            ModelEvent::Kill { host } => self.hosts[host].is_alive = false,
            ModelEvent::Cut { groups } => self.groups = groups,
            ModelEvent::CutLinks { links } => self.cut_links = links,
            ModelEvent::SetLimit { team, limit } => self.teams[team].limits.push((now, limit)),
            ModelEvent::Tick { host, run } if self.is_run(host, run) => {
                self.schedule(now + TICK, ModelEvent::Tick { host, run });
                self.pump(host);
            }
            ModelEvent::Request { host, team } if self.hosts[host].is_alive => {
                self.request(host, team);
            }
            ModelEvent::Report { host, run, owner, report, sent_at } => {
                if !self.is_linked(host, owner) || !self.hosts[owner].is_alive {
                    return;
                }
                let answer = self.hosts[owner].owner.report(now, &report);
                let delay = self.delay();
                let event = ModelEvent::Answer { host, run, owner, report, sent_at, answer };
                self.schedule(now + delay, event);
            }
            ModelEvent::Answer { host, run, owner, report, sent_at, answer }
                if self.is_run(host, run) && self.is_linked(owner, host) =>
            {
                self.answer(host, owner, &report, sent_at, &answer);
            }
            ModelEvent::Timeout { host, run, owner, report } if self.is_run(host, run) => {
                let name = Arc::clone(&self.names[owner]);
                let reporter = &mut self.hosts[host].reporter;
                if reporter.is_awaited(&name, &report) {
                    reporter.take_failure(now, &name, &report, ReportFailure::Silent);
                    self.pump(host);
                }
            }
            ModelEvent::WaitEnd { host, run, account, ticket } if self.is_run(host, run) => {
                let waiting = &mut self.hosts[host].waiting[account];
                if let Some(place) = waiting.iter().position(|it| *it == ticket) {
                    waiting.remove(place);
                    let name = self.account_name(account);
                    self.hosts[host].reporter.cancel_wait(&name, place as u32);
                    self.end_wait(host, account, ticket, None);
                }
            }
            ModelEvent::Step { program } => self.step(program),
            ModelEvent::Sweep { host } => self.sweep(host),
            ModelEvent::GiveBack { host, run, team, ran_at } if self.is_run(host, run) => {
                if let Some(count) = self.teams[team].runs.get_mut(&ran_at) {
                    *count -= 1;
                }
                self.hosts[host].reporter.give_back(&self.teams[team].name);
            }
            _ => {}
        }
    }

    fn request(&mut self, host: usize, team: usize) {
        self.teams[team].arrivals += 1;
        match self.acquire(host, team, 1, None) {
            TokenDecision::Granted => self.run_request(host, team),
            TokenDecision::Refused { .. } => self.teams[team].refused += 1,
            TokenDecision::Waits => self.teams[team].waits += 1,
        }
    }

    /// Decides on a request or a start. One that waits is told later.
    pub(super) fn acquire(
        &mut self,
        host: usize,
        account: usize,
        size: u32,
        program: Option<usize>,
    ) -> TokenDecision {
        let limit = self.teams[account % self.teams.len()].limit();
        let name = self.account_name(account);
        let reporter = &mut self.hosts[host].reporter;
        let decision = reporter.acquire_tokens(self.now, &name, limit, size);
        if decision == TokenDecision::Waits {
            self.sequence += 1;
            let ticket = self.sequence;
            program.into_iter().for_each(|it| {
                self.waiting_programs.insert(ticket, it);
            });
            let run = self.hosts[host].run;
            self.hosts[host].waiting[account].push_back(ticket);
            let end = ModelEvent::WaitEnd { host, run, account, ticket };
            self.schedule(self.now + OWNER_WAIT, end);
            self.pump(host);
        }
        decision
    }

    pub(super) fn account_name(&self, account: usize) -> Arc<str> {
        let team = &self.teams[account % self.teams.len()].name;
        if account < self.teams.len() { Arc::clone(team) } else { start_account(team) }
    }

    /// Ends the wait of a request that got a token, was refused, or got no answer (`None`).
    fn end_wait(
        &mut self,
        host: usize,
        account: usize,
        ticket: u64,
        result: Option<Result<(), Duration>>,
    ) {
        let program = self.waiting_programs.remove(&ticket);
        match (program, result) {
            (Some(program), result) => self.end_program_wait(program, account, result),
            (None, Some(Ok(()))) => self.run_request(host, account),
            (None, _) => self.teams[account].refused += 1,
        }
    }

    pub(super) fn run_request(&mut self, host: usize, team: usize) {
        let ran_at = self.now;
        *self.teams[team].runs.entry(ran_at).or_default() += 1;
        if self.unrun_part > 0.0 && self.random.random_bool(self.unrun_part) {
            let delay = Duration::from_millis(self.random.random_range(1..3_000));
            let run = self.hosts[host].run;
            self.schedule(ran_at + delay, ModelEvent::GiveBack { host, run, team, ran_at });
        }
    }

    /// Sends the reports of a host that are due.
    fn pump(&mut self, host: usize) {
        let now = self.now;
        let run = self.hosts[host].run;
        let reports = self.hosts[host].reporter.next_reports(now);

        for (name, report) in reports {
            if name == self.names[host] {
                let answer = self.hosts[host].owner.report(now, &report);
                self.answer(host, host, &report, now, &answer);
                continue;
            }
            let owner = self.indexes[&name];
            let timeout = ModelEvent::Timeout { host, run, owner, report: report.clone() };
            self.schedule(now + REPORT_TIMEOUT, timeout);
            let delay = self.delay();
            let message = ModelEvent::Report { host, run, owner, report, sent_at: now };
            self.schedule(now + delay, message);
        }
    }

    fn answer(
        &mut self,
        host: usize,
        owner: usize,
        report: &QuotaReport,
        sent_at: Instant,
        answer: &QuotaAnswer,
    ) {
        let name = Arc::clone(&self.names[owner]);
        if self.now - sent_at >= REPORT_TIMEOUT {
            return;
        }
        let outcomes =
            self.hosts[host].reporter.take_answer(self.now, &name, report, sent_at, answer);

        for (team_name, outcome) in outcomes {
            let team = self.teams.iter().position(|it| *it.name == *team_of(&team_name));
            let account = team.expect("a team")
                + if is_start_account(&team_name) { self.teams.len() } else { 0 };
            for place in 0..outcome.granted + outcome.refused {
                let ticket =
                    self.hosts[host].waiting[account].pop_front().expect("a request waits");
                let result = if place < outcome.granted {
                    Ok(())
                } else {
                    Err(outcome.retry_after + outcome.retry_step * (place - outcome.granted))
                };
                self.end_wait(host, account, ticket, Some(result));
            }
        }

        if self.hosts[host].reporter.is_urgent() {
            self.pump(host);
        }
    }
}
