//! Compares what a scheduler explains with what it does, without a pool's load.

use hyper::StatusCode;
use tokio::time::{Duration, sleep};

use super::{
    entry_fakes::ScriptedResponse,
    entry_node::turn,
    retained_records::history_routes,
    teams::{TeamHost, key, stream, terms},
};
use crate::entry::{
    EntryRefusal, EntryRequest, ExplainError, ExplainedOutcome, Explanation, RouteTable,
    TeamDirectory, TeamQuota,
};

fn explain(host: &TeamHost, team: Option<&str>) -> Result<Explanation, ExplainError> {
    host.host.explain(turn("program"), team)
}

/// The rejection that a host explains.
fn rejection(host: &TeamHost, team: Option<&str>) -> EntryRefusal {
    match explain(host, team).expect("an explanation").outcome {
        ExplainedOutcome::Rejected { refusal, .. } => refusal,
        outcome => panic!("{outcome:?}"),
    }
}

fn quota_routes(rate_per_s: f64, burst: u32) -> RouteTable {
    let mut red = terms("red", &["r"]);
    red.team.quota = Some(TeamQuota { rate_per_s, burst });
    let mut table = history_routes(false, 23);
    table.version = 2;
    table.with_teams(TeamDirectory::new(vec![red]).expect("valid teams"))
}

/// Guards against a time to retry that differs from the one that the client gets, and against explanations that use up tokens or
/// move the times of others.
#[tokio::test(start_paused = true)]
async fn explain_states_the_refusal_by_the_quota() {
    let host = TeamHost::start(vec![stream(); 60]).await;
    host.host.apply_routes(quota_routes(1.0, 2));
    sleep(Duration::from_secs(20)).await;
    let mut refused = 0;

    for number in 0..40 {
        let explanation = explain(&host, Some("red")).expect("an explanation");
        assert_eq!(explain(&host, Some("red")), Ok(explanation.clone()));
        let quota = explanation.quota.expect("the team has a quota");
        let refusal = host.run_program(key("r"), "program", &format!("r{number}")).await;

        match (explanation.outcome, refusal) {
            (ExplainedOutcome::Rejected { refusal, .. }, Some(given)) => {
                let (
                    EntryRefusal::QuotaExceeded { retry_after: explained },
                    EntryRefusal::QuotaExceeded { retry_after },
                ) = (refusal, given)
                else {
                    panic!("{refusal:?}, {given:?}");
                };
                assert!(
                    explained.abs_diff(retry_after) < Duration::from_micros(1),
                    "{refusal:?}, {given:?}"
                );
                refused += 1;
            }
            (ExplainedOutcome::Rejected { refusal, .. }, None) => panic!("{refusal:?}, but it ran"),
            // Without a token the owner decides, which is not asked by an explanation.
            (_, Some(given)) => assert_eq!(quota.held, 0, "{given:?}"),
            (_, None) => (),
        }
    }
    assert!(refused > 10, "{refused} requests were refused as explained");
}

/// Guards against a new program that is said to be placed and whose start is refused, or the other way round.
#[tokio::test(start_paused = true)]
async fn explain_states_the_refusal_of_a_start() {
    let host = TeamHost::start(vec![stream(); 60]).await;
    host.host.apply_routes(quota_routes(1.0, 2));
    sleep(Duration::from_secs(20)).await;
    let mut refused = 0;

    for number in 0..20 {
        let program = format!("program {number}");
        let explanation = host.host.explain(turn(&program), Some("red")).expect("an explanation");
        let given = host.run_program(key("r"), &program, &format!("r{number}")).await;

        if let ExplainedOutcome::Rejected { refusal, rule, .. } = explanation.outcome {
            assert_eq!(&*rule, "program start");
            let (
                EntryRefusal::QuotaExceeded { retry_after: explained },
                Some(EntryRefusal::QuotaExceeded { retry_after }),
            ) = (refusal, given)
            else {
                panic!("{refusal:?}, {given:?}");
            };
            assert_eq!(explained, retry_after);
            refused += 1;
        }
    }
    assert!(refused > 10, "{refused} starts were refused as explained");
}

/// Guards against an explanation of a request that the client can't send, or that misses a rejection whatever the load.
#[tokio::test(start_paused = true)]
async fn explain_states_the_refusals_of_access_and_budget() {
    let host = TeamHost::start(vec![stream(); 20]).await;
    assert_eq!(rejection(&host, None), EntryRefusal::Unauthorized);
    let outcome = explain(&host, Some("red")).expect("an explanation").outcome;
    assert!(matches!(outcome, ExplainedOutcome::Placed { .. }), "{outcome:?}");

    let mut last = None;
    for number in 0..18 {
        let explained = explain(&host, Some("red")).expect("an explanation").outcome;
        last = host.run(key("r"), &format!("r{number}"), None).await;
        let is_rejected = matches!(explained, ExplainedOutcome::Rejected { .. });
        assert_eq!(is_rejected, last.is_some(), "{explained:?}, {last:?}");
    }
    assert_eq!(last, Some(EntryRefusal::BudgetSpent));
    assert_eq!(rejection(&host, Some("red")), EntryRefusal::BudgetSpent);
    let outcome = explain(&host, Some("blue")).expect("an explanation").outcome;
    assert!(
        matches!(outcome, ExplainedOutcome::Placed { .. }),
        "a team has the budgets of another"
    );
}

/// Guards against answers to questions that name what there is not.
#[tokio::test(start_paused = true)]
async fn explain_refuses_unknown_names() {
    let host = TeamHost::start(Vec::new()).await;
    let error = |request: EntryRequest, team| {
        host.host.explain(request, team).expect_err("an error").to_string()
    };
    let other_host = EntryRequest { host: "b.example".into(), ..turn("program") };
    assert_eq!(
        error(other_host, Some("red")),
        "configuration 1 has no route for the host b.example"
    );
    let other_path = EntryRequest { path: "/none".into(), ..turn("program") };
    let expected = "configuration 1 has no route for the path /none of a.example";
    assert_eq!(error(other_path, Some("red")), expected);
    assert_eq!(error(turn("program"), Some("green")), "configuration 1 has no team green");
}

/// Guards against an explanation that goes by slots which failures have taken away.
#[tokio::test(start_paused = true)]
async fn explain_shows_an_upstream_in_backoff() {
    let status = StatusCode::OK;
    let broken = ScriptedResponse::Whole { status, has_not_run: false, is_signed: false };
    let host = TeamHost::start(vec![broken; 4]).await;
    for number in 0..2 {
        host.run(key("r"), &format!("r{number}"), None).await;
    }
    let explanation = explain(&host, Some("blue")).expect("an explanation");
    let candidate = &explanation.candidates[0];
    assert!(candidate.handicaps.iter().any(|it| &**it == "backoff"), "{explanation:#?}");
}
