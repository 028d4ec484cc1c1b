//! Outcomes of refused requests: `not_run` covers all attempts under a number, on this owner and on earlier ones.

use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};

use tokio::time::Instant;

use super::{
    clock_steps::STEPS_MS,
    memory_platform::FaultRates,
    program_fakes::{
        FakeHost, LARGE_BUDGET, PROGRAM, broken, call, call_request, memory_platform, not_sent,
        turn, turn_request,
    },
};
use crate::{
    CallRunner, LogRecord, OwnedProgram, ProblemKind, ProgramAnswer, ProgramOperation,
    RefusalReason, RequestOutcome, TurnRequest, UpstreamError,
    basics::{steady_clock::steady_millis, unix_clock::clock_step::STEP_MS},
    programs::{program_request::CreateRequest, slot_admission::ADMISSION_TIMEOUT},
    state::program_sweeper::end_reason,
};

/// Budget for one attempt of a turn, and not for two.
const ONE_ATTEMPT_BUDGET: u64 = 200;

/// Most requests of a program that wait for earlier numbers.
const WAITER_LIMIT: u32 = 8;

/// Length of an answer whose record fills the queue to the log.
const QUEUE_FILLING_BYTES: usize = 17 << 20;

#[tokio::test(start_paused = true)]
async fn turn_is_not_called_not_run_when_its_failed_attempt_has_used_the_budget() {
    let host = FakeHost::with_program(&memory_platform(), ONE_ATTEMPT_BUDGET).await;
    host.upstream.script.lock().push_back(broken());
    let problem = host.refusal(turn(1)).await;
    assert_eq!(problem.kind, ProblemKind::BudgetExhausted);
    assert_eq!(problem.outcome, RequestOutcome::Failed);
    assert_eq!(*host.upstream.runs.lock(), 1);
}

#[tokio::test(start_paused = true)]
async fn turn_is_not_called_not_run_when_the_cell_refuses_its_retry() {
    let cases = [
        (RefusalReason::NoUpstream, ProblemKind::Overloaded),
        (RefusalReason::TeamShareExhausted, ProblemKind::Overloaded),
        (RefusalReason::DeadlinePassed, ProblemKind::DeadlinePassed),
        (RefusalReason::Poisonous, ProblemKind::RequestPoisonous),
    ];

    for error in [broken(), UpstreamError::Overdue] {
        for (reason, kind) in cases {
            let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
            host.upstream.script.lock().push_back(error.clone());
            host.cells.script.lock().extend([None, Some(reason)]);
            let problem = host.refusal(turn(1)).await;
            assert_eq!((problem.kind, problem.outcome), (kind, RequestOutcome::Failed), "{reason}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn turn_is_not_called_not_run_when_only_its_last_attempt_was_not_sent() {
    let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
    host.upstream.script.lock().extend([broken(), not_sent(), not_sent(), not_sent()]);
    let problem = host.refusal(turn(1)).await;
    assert_eq!(problem.kind, ProblemKind::UpstreamFailed);
    assert_eq!(problem.outcome, RequestOutcome::Failed);
}

#[tokio::test(start_paused = true)]
async fn turn_is_not_called_not_run_after_a_status_that_a_proxy_may_have_sent() {
    for status in [429, 503] {
        let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
        host.upstream.script.lock().push_back(UpstreamError::Refused { status });
        host.cells.script.lock().extend([None, Some(RefusalReason::NoUpstream)]);
        let problem = host.refusal(turn(1)).await;
        assert_eq!(problem.kind, ProblemKind::Overloaded);
        assert_eq!(problem.outcome, RequestOutcome::Failed, "{status}");
    }
}

#[tokio::test(start_paused = true)]
async fn repeatable_call_is_not_called_not_run_when_the_cell_refuses_its_retry() {
    let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
    host.upstream.script.lock().push_back(broken());
    host.cells.script.lock().extend([None, Some(RefusalReason::NoUpstream)]);
    let problem = host.refusal(call(1, true)).await;
    assert_eq!(problem.kind, ProblemKind::Overloaded);
    assert_eq!(problem.outcome, RequestOutcome::Failed);
}

#[tokio::test(start_paused = true)]
async fn repeat_is_not_called_not_run_after_a_request_that_may_have_run() {
    for operation in [turn(1), call(1, true)] {
        for repeat in [turn(1), call(1, true), call(1, false)] {
            let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
            host.break_once(operation.clone()).await;
            let outcome = host.outcome_when_refused(repeat.clone()).await;
            assert_eq!(outcome, RequestOutcome::Failed, "{repeat:?} after {operation:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn ended_program_does_not_call_a_request_not_run_that_may_have_run() {
    let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
    host.break_once(turn(1)).await;
    host.serve(ProgramOperation::End).await;
    let problem = host.refusal(turn(1)).await;
    assert_eq!(problem.kind, ProblemKind::ProgramEnded);
    assert_eq!(problem.outcome, RequestOutcome::Failed);
}

#[tokio::test(start_paused = true)]
async fn malformed_receipt_does_not_call_a_finished_turn_not_run() {
    let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
    host.complete(1).await;
    host.complete(2).await;

    for number in [1, 2] {
        let repeat = TurnRequest { receipts: vec!["AAAA".into()], ..turn_request(number) };
        let problem = host.refusal(ProgramOperation::Turn(repeat)).await;
        assert_eq!(problem.kind, ProblemKind::ReceiptInvalid);
        assert_eq!(problem.outcome, RequestOutcome::Failed, "turn {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn full_queue_of_records_does_not_call_a_finished_turn_not_run() {
    let platform = memory_platform();
    let host = FakeHost::with_program(&platform, LARGE_BUDGET).await;
    platform.set_fault_rates(FaultRates { refusal_percent: 100, lost_response_percent: 0 });
    host.complete(1).await;
    host.upstream.answer_bytes.store(QUEUE_FILLING_BYTES, Ordering::Relaxed);
    host.complete(2).await;

    for number in [1, 2] {
        let problem = host.refusal(turn(number)).await;
        assert_eq!(problem.kind, ProblemKind::PlatformUnavailable);
        assert_eq!(problem.outcome, RequestOutcome::Failed, "turn {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn refused_repeat_is_not_called_not_run_while_the_same_number_runs_or_waits() {
    for is_sent in [false, true] {
        let host = Arc::new(FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await);
        host.upstream.is_held.store(is_sent, Ordering::Relaxed);
        host.cells.is_held.store(!is_sent, Ordering::Relaxed);
        let _request = host.start(turn(1)).await;
        let repeat = TurnRequest { receipts: vec!["AAAA".into()], ..turn_request(1) };
        let problem = host.refusal(ProgramOperation::Turn(repeat)).await;
        assert_eq!(problem.kind, ProblemKind::ReceiptInvalid);
        assert_eq!(problem.outcome, RequestOutcome::Failed, "sent: {is_sent}");
    }
}

#[tokio::test(start_paused = true)]
async fn refused_repeat_is_not_called_not_run_while_the_same_number_waits_for_an_earlier_one() {
    let host = Arc::new(FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await);
    host.upstream.is_held.store(true, Ordering::Relaxed);
    let _earlier = host.start(turn(1)).await;
    let _waiting = host.start(turn(2)).await;
    let repeat = TurnRequest { receipts: vec!["AAAA".into()], ..turn_request(2) };
    let problem = host.refusal(ProgramOperation::Turn(repeat)).await;
    assert_eq!(problem.kind, ProblemKind::ReceiptInvalid);
    assert_ne!(problem.outcome, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn repeat_that_finds_no_place_to_wait_is_not_called_not_run_while_the_first_one_waits() {
    let host = Arc::new(FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await);
    host.cells.is_held.store(true, Ordering::Relaxed);
    let _running = host.start(call(1, false)).await;
    let mut waiting = Vec::new();

    for number in 2..2 + WAITER_LIMIT {
        waiting.push((number, host.start(call(number, false)).await));
    }

    for (number, first) in waiting {
        let problem = host.refusal(call(number, false)).await;
        assert!(!first.is_finished(), "call {number} still waits");
        assert_eq!(problem.kind, ProblemKind::NumberOutOfRange);
        assert_ne!(problem.outcome, RequestOutcome::NotRun, "call {number}");
    }
}

#[tokio::test(start_paused = true)]
async fn next_owner_does_not_call_a_request_not_run_that_the_last_one_may_have_sent() {
    for is_released in [false, true] {
        for operation in [turn(1), call(1, true)] {
            let platform = memory_platform();
            let last = FakeHost::with_program(&platform, LARGE_BUDGET).await;
            last.break_once(operation.clone()).await;

            if is_released {
                last.release().await;
            }

            let next = FakeHost::claim(&platform, 2).await;
            let outcome = next.outcome_when_refused(operation.clone()).await;
            assert_eq!(outcome, RequestOutcome::Failed, "{operation:?}, released: {is_released}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn next_owner_after_a_crash_does_not_know_which_later_numbers_were_sent() {
    let platform = memory_platform();
    FakeHost::with_program(&platform, LARGE_BUDGET).await;
    let next = FakeHost::claim(&platform, 2).await;
    next.complete(1).await;
    assert_eq!(next.outcome_when_refused(turn(2)).await, RequestOutcome::Failed);
    assert_eq!(next.refusal(turn(30)).await.outcome, RequestOutcome::Failed);
}

#[tokio::test(start_paused = true)]
async fn owner_after_a_crash_and_a_release_does_not_know_what_the_crashed_one_sent() {
    let platform = memory_platform();
    let crashed = FakeHost::with_program(&platform, LARGE_BUDGET).await;
    platform.set_fault_rates(FaultRates { refusal_percent: 100, lost_response_percent: 0 });
    crashed.complete(1).await;
    crashed.complete(2).await;
    assert_eq!(*crashed.upstream.runs.lock(), 2);
    platform.set_fault_rates(FaultRates::default());
    let second = FakeHost::claim(&platform, 2).await;
    second.release().await;
    let third = FakeHost::claim(&platform, 3).await;
    let problem = third.refusal(turn(2)).await;
    assert_eq!(problem.kind, ProblemKind::NumberOutOfRange);
    assert_ne!(problem.outcome, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn third_owner_does_not_call_a_turn_not_run_that_a_deposed_one_still_answers() {
    let platform = memory_platform();
    let deposed = FakeHost::with_program(&platform, LARGE_BUDGET).await;
    let second = FakeHost::claim(&platform, 2).await;
    second.release().await;
    let third = FakeHost::claim(&platform, 3).await;
    platform.set_fault_rates(FaultRates { refusal_percent: 100, lost_response_percent: 0 });
    deposed.complete(1).await;
    deposed.complete(2).await;
    platform.set_fault_rates(FaultRates::default());
    let problem = third.refusal(turn(2)).await;
    assert_eq!(*deposed.upstream.runs.lock(), 2);
    assert_ne!(problem.outcome, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn deposed_owner_does_not_call_an_admitted_request_not_run() {
    for operation in [turn(1), call(1, true), call(1, false)] {
        let platform = memory_platform();
        let deposed = FakeHost::with_program(&platform, LARGE_BUDGET).await;
        let next = FakeHost::claim(&platform, 2).await;
        next.serve(operation.clone()).await;
        deposed.cells.script.lock().push_back(Some(RefusalReason::NoUpstream));
        let problem = deposed.refusal(operation.clone()).await;
        assert_eq!(problem.kind, ProblemKind::OwnerUnreachable, "{operation:?}");
        assert_eq!(problem.outcome, RequestOutcome::Unknown, "{operation:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn admitted_request_refused_in_an_outage_is_not_run_only_if_no_other_host_may_hold_the_shard()
{
    for (may_hold, outcome) in [(true, RequestOutcome::Unknown), (false, RequestOutcome::NotRun)] {
        let platform = memory_platform();
        let host = FakeHost::with_program(&platform, LARGE_BUDGET).await;
        tokio::time::sleep(Duration::from_millis(10)).await;
        platform.set_fault_rates(FaultRates { refusal_percent: 100, lost_response_percent: 0 });
        host.other_hosts.may_hold.store(may_hold, Ordering::Relaxed);
        assert_eq!(host.outcome_when_refused(turn(1)).await, outcome);
    }
}

#[tokio::test(start_paused = true)]
async fn first_request_refused_before_it_was_sent_is_not_run() {
    for operation in [turn(2), call(2, true), call(2, false)] {
        let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
        host.complete(1).await;
        let outcome = host.outcome_when_refused(operation.clone()).await;
        assert_eq!(outcome, RequestOutcome::NotRun, "{operation:?}");
        assert_eq!(*host.upstream.runs.lock(), 1);
    }
}

#[tokio::test(start_paused = true)]
async fn request_that_no_upstream_took_is_not_run() {
    for operation in [turn(1), call(1, true), call(1, false)] {
        let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
        host.upstream.script.lock().push_back(not_sent());
        host.cells.script.lock().extend([None, Some(RefusalReason::NoUpstream)]);
        assert_eq!(host.refusal(operation).await.outcome, RequestOutcome::NotRun);
        assert_eq!(*host.upstream.runs.lock(), 0);
    }
}

#[tokio::test(start_paused = true)]
async fn request_after_one_that_may_have_run_and_was_repeated_is_not_run() {
    let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
    host.break_once(turn(1)).await;
    host.complete(1).await;
    assert_eq!(host.outcome_when_refused(turn(2)).await, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn another_team_learns_nothing_of_a_number_that_has_run() {
    let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
    host.complete(1).await;

    let ProgramAnswer::Problem(problem) = host.serve_team("ebro", turn(1)).await else {
        panic!("the program is another team's");
    };

    assert_eq!(problem.kind, ProblemKind::UnknownProgram);
    assert_eq!(problem.outcome, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn next_owner_after_a_release_knows_numbers_that_it_admits_first() {
    let platform = memory_platform();
    let last = FakeHost::with_program(&platform, LARGE_BUDGET).await;
    last.complete(1).await;
    last.release().await;
    let next = FakeHost::claim(&platform, 2).await;
    next.complete(2).await;
    assert_eq!(next.outcome_when_refused(turn(3)).await, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn next_owner_knows_from_the_log_that_a_call_that_is_sent_once_was_not_sent() {
    let platform = memory_platform();
    FakeHost::with_program(&platform, LARGE_BUDGET).await;
    let next = FakeHost::claim(&platform, 2).await;
    assert_eq!(next.outcome_when_refused(call(1, false)).await, RequestOutcome::NotRun);
    let answer = next.serve(call(1, false)).await;
    assert!(matches!(answer, ProgramAnswer::Call(_)), "{answer:?}");
}

#[tokio::test(start_paused = true)]
async fn program_created_after_a_claim_has_no_earlier_attempts() {
    let platform = memory_platform();
    FakeHost::claim(&platform, 1).await;
    let next = FakeHost::claim(&platform, 2).await;
    next.create_program(LARGE_BUDGET).await;
    assert_eq!(next.outcome_when_refused(turn(1)).await, RequestOutcome::NotRun);
}

#[tokio::test(start_paused = true)]
async fn unsent_call_leaves_its_number_free_for_the_next_owner() {
    let platform = memory_platform();
    let host = FakeHost::with_program(&platform, LARGE_BUDGET).await;
    host.upstream.script.lock().push_back(not_sent());
    assert_eq!(host.refusal(call(1, false)).await.outcome, RequestOutcome::NotRun);
    // The owner is lost as soon as it has answered.
    platform.set_fault_rates(FaultRates { refusal_percent: 100, lost_response_percent: 0 });
    tokio::time::sleep(Duration::from_millis(10)).await;
    platform.set_fault_rates(FaultRates::default());
    let next = FakeHost::claim(&platform, 2).await;
    let answer = next.serve(call(1, false)).await;
    assert!(matches!(answer, ProgramAnswer::Call(_)), "{answer:?}");
}

#[tokio::test(start_paused = true)]
async fn repeat_of_an_open_call_waits_for_its_recovery_without_spinning() {
    let host = Arc::new(FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await);
    host.log_intent(&call_request(1, false));
    let repeat = host.start(call(1, false)).await;
    let program = OwnedProgram { owner: Arc::clone(&host.owner), id: PROGRAM, team: "tuul".into() };
    let recovery = CallRunner::new(&host.service, &program).recover(1);
    recovery.await.expect("the owner is open");
    let recovered_at = Instant::now();
    let answer = repeat.await.expect("the request does not panic");

    let ProgramAnswer::Problem(problem) = answer else {
        panic!("it is not known whether the call ran: {answer:?}");
    };

    assert_eq!(problem.kind, ProblemKind::OutcomeUnknown);
    assert!(recovered_at.elapsed() < ADMISSION_TIMEOUT);
}

#[tokio::test(start_paused = true)]
async fn forgotten_program_does_not_call_its_turns_not_run() {
    let host = FakeHost::with_program(&memory_platform(), LARGE_BUDGET).await;
    host.complete(1).await;
    host.serve(ProgramOperation::End).await;
    let forgotten = LogRecord::ProgramForgotten { program: PROGRAM };
    host.owner.update(|_| Ok(vec![forgotten])).expect("the owner is open");
    let problem = host.refusal(turn(1)).await;
    assert_eq!(problem.kind, ProblemKind::UnknownProgram);
    assert_ne!(problem.outcome, RequestOutcome::NotRun);
}

/// Guards against a program that ends before its deadline or its limits, which its log would state for ever.
#[tokio::test]
async fn programs_keep_their_limits_over_steps() {
    let host = FakeHost::claim(&memory_platform(), 1).await;
    let deadline_ms = Some(steady_millis() + 10_000);
    let create =
        CreateRequest { model: "llm".into(), budget_tokens: 100_000, deadline_ms, parent: None };
    host.serve(ProgramOperation::Create(create)).await;
    let mut last_ms = 0;
    for (number, step_ms) in (1..).zip(STEPS_MS) {
        STEP_MS.set(step_ms);
        let answer = host.serve(turn(number)).await;
        assert!(matches!(answer, ProgramAnswer::Turn(_)), "step {step_ms}: {answer:?}");
        let limits = host.service.config.state().document.limits;
        let (active_ms, end) = host.owner.read(|state| {
            let program = state.program(PROGRAM).expect("a program");
            (program.active_ms, end_reason(program, &limits, steady_millis()))
        });
        assert!((last_ms.max(steady_millis() - 5_000)..=steady_millis()).contains(&active_ms));
        assert_eq!(end, None, "step {step_ms}");
        last_ms = active_ms;
    }
}
