//! Starts of programs: which requests are starts, what they are charged, and which are let in.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use super::retained_records::history_routes;
use crate::entry::{
    QuotaTolerance, Team, TeamQuota,
    found_route::FoundRoute,
    quotas::{
        QuotaAnswer, QuotaFigures, QuotaLimit, TeamGrant,
        program_admission::patience,
        program_registry::{ProgramRegistry, ProgramRequest, ProgramStep, UnusedStart},
        quota_allowance::{TokenDecision, WaitOutcome},
        quota_owner::QuotaOwner,
        quota_reporter::QuotaReporter,
        start_account::start_account,
        waiting_requests::WaitingRequests,
    },
};

const RED: &str = "red";

fn after(now: Instant, ms: u64) -> Instant {
    now + Duration::from_millis(ms)
}

fn turn(program: &str) -> ProgramRequest {
    let program = program.into();
    ProgramRequest { program, route: "chat".into(), is_turn: true, has_begun: false }
}

fn begin(registry: &mut ProgramRegistry, now: Instant, request: &ProgramRequest) -> ProgramStep {
    registry.begin(now, &RED.into(), request, 1.0)
}

/// Runs a program of some turns, each with a call after it. Returns what it was expected to send.
fn run(registry: &mut ProgramRegistry, now: Instant, program: &str, turns: u32) -> u32 {
    let ProgramStep::Starts { size } = begin(registry, now, &turn(program)) else {
        panic!("{program} starts");
    };
    let call = ProgramRequest { is_turn: false, ..turn(program) };
    for _ in 1..turns {
        begin(registry, now, &call);
        begin(registry, now, &turn(program));
    }
    begin(registry, now, &call);
    size
}

/// Guards against programs that are charged again or refused at a later turn, and against calls of plain services that start one.
#[test]
fn program_registry_begin_starts_a_program_once() {
    let now = Instant::now();
    let mut registry = ProgramRegistry::new(now);
    let call = ProgramRequest { is_turn: false, ..turn("a") };
    let continues = ProgramStep::Continues { excess: 0 };
    assert_eq!(begin(&mut registry, now, &call), continues);
    assert!(matches!(begin(&mut registry, now, &turn("a")), ProgramStep::Starts { .. }));
    assert_eq!(begin(&mut registry, after(now, 59_000), &turn("a")), continues);

    let moved = ProgramRequest { has_begun: true, ..turn("moved") };
    let ProgramStep::Continues { excess } = begin(&mut registry, now, &moved) else {
        panic!("it has begun at another host");
    };
    assert!((2..=4).contains(&excess), "a turn and its calls are charged: {excess}");
    registry.cancel_start("a");
    assert!(matches!(begin(&mut registry, now, &turn("a")), ProgramStep::Starts { .. }));
}

/// Guards against a number of requests that is not learned, and one that falls as programs are cut short by refusals.
#[test]
fn program_registry_learns_from_whole_programs() {
    let mut now = Instant::now();
    let mut registry = ProgramRegistry::new(now);
    let first = run(&mut registry, now, "first", 4);
    for number in 0..40 {
        run(&mut registry, now, &format!("p{number}"), 4);
    }
    now = after(now, 5_000);
    registry.take_unused(now);
    let learned = run(&mut registry, now, "second", 4);
    assert!((8..=10).contains(&learned) && learned < first, "4 turns and 4 calls: {learned}");

    for number in 0..200 {
        let program = format!("cut{number}");
        run(&mut registry, now, &program, 1);
        registry.record_refusal(&program, true);
    }
    now = after(now, 5_000);
    registry.take_unused(now);
    let kept = run(&mut registry, now, "third", 4);
    assert!(kept >= learned, "{kept} instead of {learned}");
}

/// Guards against a team that pays for what its programs have not sent, or doesn't pay for a program that loops.
#[test]
fn program_registry_settles_what_was_sent() {
    let now = Instant::now();
    let mut registry = ProgramRegistry::new(now);
    let size = run(&mut registry, now, "short", 1);
    assert_eq!(registry.take_unused(after(now, 3_000)), []);
    let unused = registry.take_unused(after(now, 5_000));
    let [UnusedStart { team, tokens }] = &unused[..] else {
        panic!("{unused:?}");
    };
    assert_eq!((&**team, *tokens), (RED, size - 3), "a turn and two calls were sent");
    assert_eq!(registry.take_unused(after(now, 6_000)), []);

    let call = ProgramRequest { is_turn: false, ..turn("loop") };
    let excess = |_| {
        (0..2).for_each(|_| {
            begin(&mut registry, after(now, 7_000), &call);
        });
        match begin(&mut registry, after(now, 7_000), &turn("loop")) {
            ProgramStep::Starts { size } => size,
            ProgramStep::Continues { excess } => excess,
        }
    };
    let charged: u32 = (0..100).map(excess).sum();
    assert!((280..=320).contains(&charged), "100 turns with two calls each: {charged}");
}

/// One scheduler that is the owner of all teams.
struct LoneHost {
    reporter: QuotaReporter,
    owner: QuotaOwner,
}

impl LoneHost {
    fn new(now: Instant) -> Self {
        let mut reporter = QuotaReporter::new(now, "a".into(), "a.1".into());
        reporter.set_peers(now, Vec::new(), 1, false);
        Self { reporter, owner: QuotaOwner::new(now, "a".into(), QuotaTolerance::default()) }
    }

    fn exchange(&mut self, now: Instant) -> Vec<WaitOutcome> {
        let mut outcomes = Vec::new();
        for (owner, report) in self.reporter.next_reports(now) {
            let answer = self.owner.report(now, &report);
            let taken = self.reporter.take_answer(now, &owner, &report, now, &answer);
            outcomes.extend(taken.into_iter().map(|it| it.1));
        }
        outcomes
    }

    /// Lets the bucket of an account fill up.
    fn fill(&mut self, now: Instant, limit: QuotaLimit) -> Instant {
        let _ = self.reporter.acquire_tokens(now, &start_account(RED), limit, 1);
        for tick in 0..600 {
            self.exchange(after(now, tick * 100));
        }
        after(now, 60_000)
    }

    /// Asks for a start. Returns when it would be accepted if it is not.
    fn start(&mut self, now: Instant, limit: QuotaLimit, size: u32) -> Result<(), Duration> {
        match self.reporter.acquire_tokens(now, &start_account(RED), limit, size) {
            TokenDecision::Granted => panic!("no host holds tokens for starts"),
            TokenDecision::Refused { retry_after } => return Err(retry_after),
            TokenDecision::Waits => {}
        }
        let outcome = self.exchange(now).into_iter().find(|it| it.granted + it.refused > 0);
        let outcome = outcome.expect("an answer");
        if outcome.granted > 0 { Ok(()) } else { Err(outcome.retry_after) }
    }
}

/// Guards against a small team whose programs never fit its burst, or are all let in, and against a time at which a start that
/// was refused is refused again.
#[test]
fn quota_owner_lets_programs_of_small_teams_start() {
    for (rate_per_s, burst) in [(0.5, 1), (3.0, 3), (5.0, 5), (100.0, 50)] {
        let limit = QuotaLimit { rate_per_s, burst, config_version: 1 };
        let begin = Instant::now();
        let mut host = LoneHost::new(begin);
        let now = host.fill(begin, limit);
        let mut started = 0;
        let retry_after = loop {
            match host.start(now, limit, 18) {
                Ok(()) => started += 1,
                Err(retry_after) => break retry_after,
            }
        };
        assert!(started >= 1, "{limit:?}");
        let allowed = QuotaTolerance::default().window_limit(rate_per_s, f64::from(burst));
        assert!(f64::from(started) * 18.0 <= allowed, "{limit:?}: {started}");
        assert!(retry_after <= Duration::from_secs(36), "{retry_after:?}");

        let mut later = now;
        while later + Duration::from_millis(100) < now + retry_after {
            later += Duration::from_millis(100);
            host.exchange(later);
        }
        assert_eq!(host.start(now + retry_after, limit, 18), Ok(()), "{limit:?}");
    }
}

/// Guards against a small team that can't start a program for a minute after all hosts were restarted.
#[test]
fn quota_owner_lets_the_first_program_start() {
    let limit = QuotaLimit { rate_per_s: 0.5, burst: 1, config_version: 1 };
    let now = Instant::now();
    let mut host = LoneHost::new(now);
    assert_eq!(host.start(after(now, 2_000), limit, 18), Ok(()));
    assert!(host.start(after(now, 2_100), limit, 18).is_err());
}

/// Guards against a limit that is stated with the number of a newer configuration, which an owner then takes for the newest.
#[test]
fn found_route_limit_has_the_version_of_its_configuration() {
    let quota = Some(TeamQuota { rate_per_s: 5.0, burst: 5 });
    let table = history_routes(false, 23);
    let found = FoundRoute {
        config_version: 7,
        route: Arc::clone(table.find("a.example", "/new/1").expect("a route")),
        team: Some(Arc::new(Team { name: RED.into(), priority: None, quota })),
        service: Arc::clone(table.service("model").expect("a service")),
    };
    let limit = found.limit().expect("a limit").limit;
    assert_eq!(limit, QuotaLimit { rate_per_s: 5.0, burst: 5, config_version: 7 });
}

/// Guards against a program that is larger than the whole bucket of its team and never starts.
#[test]
fn quota_owner_lets_a_program_start_that_exceeds_the_bucket() {
    let limit = QuotaLimit { rate_per_s: 0.5, burst: 1, config_version: 1 };
    let mut host = LoneHost::new(Instant::now());
    let now = host.fill(Instant::now(), limit);
    assert_eq!(host.start(now, limit, 64), Ok(()));
}

/// Guards against starts that an owner of an older build refuses for ever, as it grants no more than it has.
#[test]
fn quota_allowance_takes_a_part_from_an_older_owner() {
    let now = Instant::now();
    let limit = QuotaLimit { rate_per_s: 5.0, burst: 5, config_version: 1 };
    let mut host = LoneHost::new(now);
    let account = start_account(RED);
    for _ in 0..2 {
        assert_eq!(host.reporter.acquire_tokens(now, &account, limit, 18), TokenDecision::Waits);
    }
    let (owner, report) = host.reporter.next_reports(now).remove(0);
    assert_eq!((report.teams[0].waiting, report.teams[0].reserve), (36, 18));
    let grant = TeamGrant {
        team: account,
        granted: 7,
        taken: 0,
        is_scarce: true,
        retry_after: Duration::from_millis(200),
        figures: QuotaFigures::default(),
    };
    let answer = QuotaAnswer { knows_view: true, grants: vec![grant] };
    let outcomes = host.reporter.take_answer(now, &owner, &report, now, &answer);
    assert_eq!((outcomes[0].1.granted, outcomes[0].1.refused), (1, 1));
}

/// Guards against a program that loops at the cost of other teams' or of its own later programs without a limit.
#[test]
fn quota_reporter_charge_holds_starts_back() {
    let limit = QuotaLimit { rate_per_s: 20.0, burst: 20, config_version: 1 };
    let mut host = LoneHost::new(Instant::now());
    let now = host.fill(Instant::now(), limit);
    host.reporter.charge(now, &start_account(RED), limit, 200);
    host.exchange(after(now, 100));
    let refused = host.start(after(now, 200), limit, 18);
    assert!(refused.is_err_and(|it| it < Duration::from_secs(10)), "{refused:?}");
}

/// Guards against a wait that the request's client or its program has no time for.
#[test]
fn patience_follows_the_time_that_is_left() {
    let now = Instant::now();
    let at = |ms| after(now, ms);
    assert_eq!(patience(now, at(60_000), None), Duration::from_millis(250));
    assert_eq!(patience(now, at(800), None), Duration::from_millis(100));
    assert_eq!(patience(now, at(60_000), Some(at(400))), Duration::from_millis(50));
    assert_eq!(patience(at(500), at(60_000), Some(at(400))), Duration::ZERO);
}

/// Guards against a search through all waiting requests for each one whose wait ends, which took quadratic time.
#[test]
fn waiting_requests_remove_finds_a_ticket_without_a_search() {
    const COUNT: u64 = 200_000;
    let mut waiting = WaitingRequests::default();
    let receivers: Vec<_> = (0..2 * COUNT).map(|it| waiting.push(it)).collect();
    let began_at = std::time::Instant::now();
    let granted = WaitOutcome { granted: COUNT as u32, ..WaitOutcome::default() };
    assert_eq!(waiting.settle(granted), 0);
    for ticket in 0..COUNT {
        assert_eq!(waiting.remove(ticket), None);
    }
    assert_eq!(waiting.remove(COUNT + 7), Some(7));
    let took = began_at.elapsed();
    assert!(took < Duration::from_secs(2), "a search each takes 4e10 comparisons: {took:?}");
    drop(receivers);
}

/// Guards against a comparison of each grant with each team of its report.
#[test]
fn quota_reporter_take_answer_matches_many_teams() {
    let now = Instant::now();
    let limit = QuotaLimit { rate_per_s: 5.0, burst: 5, config_version: 1 };
    let mut host = LoneHost::new(now);
    let names: Vec<Arc<str>> = (0..20_000).map(|it| format!("team-{it}").into()).collect();
    for name in &names {
        let _ = host.reporter.acquire(now, name, limit);
    }
    let (owner, report) = host.reporter.next_reports(now).remove(0);
    let mut answer = host.owner.report(now, &report);
    answer.grants.reverse();
    answer.grants.pop();
    let began_at = std::time::Instant::now();
    let outcomes = host.reporter.take_answer(now, &owner, &report, now, &answer);
    let took = began_at.elapsed();
    assert_eq!(outcomes.len(), names.len() - 1);
    assert!(took < Duration::from_secs(2), "{took:?}");
    assert!(host.reporter.is_urgent(), "the one that was not answered is asked for again");
}
