//! Quotas at a host: which requests of a team run, and which are refused.

use super::{
    entry_fakes::ScriptedResponse,
    retained_records::history_routes,
    teams::{TeamHost, key, stream, terms},
};
use crate::entry::{EntryRefusal, RouteTable, TeamDirectory, TeamQuota};
use hyper::StatusCode;
use tokio::time::{Duration, Instant, sleep};

/// Time after which the bucket of a team is full.
const FILL_TIME: Duration = Duration::from_secs(20);

fn routes(version: u64, rate_per_s: f64, burst: u32) -> RouteTable {
    let mut red = terms("red", &["r"]);
    red.team.quota = Some(TeamQuota { rate_per_s, burst });
    let directory = TeamDirectory::new(vec![red, terms("blue", &["b"])]).expect("valid teams");
    let mut table = history_routes(false, 23);
    table.version = version;
    table.with_teams(directory)
}

/// Guards against a limit that is not enforced, one that holds other teams back, and a `Retry-After` that is too early.
#[tokio::test(start_paused = true)]
async fn run_refuses_beyond_the_quota() {
    let host = TeamHost::start(vec![stream(); 60]).await;
    host.host.apply_routes(routes(2, 1.0, 2));
    sleep(FILL_TIME).await;
    let mut ran = 0;
    let refusal = loop {
        match host.run_program(key("r"), "program", &format!("r{ran}")).await {
            None => ran += 1,
            Some(refusal) => break refusal,
        }
    };

    // The burst, and 0.9 of the slack.
    assert!((10..=21).contains(&ran), "{ran} requests ran");
    let EntryRefusal::QuotaExceeded { retry_after } = refusal else {
        panic!("{refusal:?}");
    };
    assert!(retry_after > Duration::ZERO && retry_after <= Duration::from_secs(1));
    assert_eq!(host.run(key("b"), "other", None).await, None, "blue has no quota");

    let asked_at = Instant::now();
    let again = host.run_program(key("r"), "program", "again").await;
    assert!(matches!(again, Some(EntryRefusal::QuotaExceeded { .. })));
    assert!(asked_at.elapsed() < Duration::from_millis(5), "{:?}", asked_at.elapsed());
    sleep(retry_after + Duration::from_millis(400)).await;
    assert_eq!(
        host.run_program(key("r"), "program", "later").await,
        None,
        "the stated time has passed"
    );
}

/// Guards against a quota that requests use up which have not run.
#[tokio::test(start_paused = true)]
async fn run_gives_back_what_has_not_run() {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let refusing = ScriptedResponse::Whole { status, has_not_run: true, is_signed: true };
    let host = TeamHost::start(vec![refusing; 600]).await;
    host.host.apply_routes(routes(2, 0.2, 2));
    sleep(FILL_TIME).await;

    for number in 0..40 {
        let refusal = host.run(key("r"), &number.to_string(), None).await;
        assert!(
            matches!(refusal, Some(EntryRefusal::NotRun { .. })),
            "request {number} is refused by the upstream, and not by the quota: {refusal:?}"
        );
        sleep(Duration::from_millis(150)).await;
    }
}

/// Guards against a team beyond its quota whose programs all lose a request, instead of some that are refused at their start.
#[tokio::test(start_paused = true)]
async fn run_refuses_programs_at_their_start() {
    let host = TeamHost::start(vec![stream(); 60]).await;
    host.host.apply_routes(routes(2, 5.0, 5));
    sleep(FILL_TIME).await;
    let mut started = Vec::new();
    let mut refused = 0;
    for number in 0..12 {
        let program = format!("program-{number}");
        match host.run_program(key("r"), &program, &format!("{program}-0")).await {
            None => started.push(program),
            Some(EntryRefusal::QuotaExceeded { .. }) => refused += 1,
            Some(refusal) => panic!("{refusal:?}"),
        }
    }
    assert!((1..=3).contains(&started.len()), "{} have started", started.len());
    assert_eq!(started.len() + refused, 12);

    for turn in 1..4 {
        sleep(Duration::from_millis(400)).await;
        for program in &started {
            let refusal = host.run_program(key("r"), program, &format!("{program}-{turn}")).await;
            assert_eq!(refusal, None, "{program} goes on");
        }
    }
}
