//! Tests of single rules of admission and order.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::entry::{
    admission::{
        admission_refusal::{AdmissionRefusal, RefusalReason},
        admission_state::AdmissionState,
        queue_rank::QueueClass,
        queue_view::QueueView,
        route_estimate::RouteEstimate,
    },
    placement_request::PlacementRequest,
};

/// A queue that new programs have no chance to pass in time.
const LONG_QUEUE: QueueView = QueueView {
    under_way_ahead: 10,
    new_ahead: 20,
    longest_wait: Duration::from_millis(800),
    slots_per_s: 40.0,
    queue_age: Duration::from_secs(2),
};

fn request(now: Instant, program: &str, is_continuation: bool, left_ms: u64) -> PlacementRequest {
    PlacementRequest {
        service: "model".into(),
        route: "route".into(),
        request: format!("{program}, {left_ms}").into(),
        team: None,
        program: Some(program.into()),
        priority: 0,
        is_continuation,
        finish_by: now + Duration::from_millis(left_ms),
        deadline: now + Duration::from_secs(3),
        prompt_parts: Vec::new(),
        prompt_tokens: 1_000,
        completion_tokens: 0,
        object: None,
        may_repeat: false,
        software_version: None,
        excluded: Vec::new(),
    }
}

fn check(
    state: &mut AdmissionState,
    now: Instant,
    request: &PlacementRequest,
    view: &QueueView,
) -> Result<(), AdmissionRefusal> {
    state.record_arrival(now, request);
    state.check(now, request, view)
}

fn class(state: &AdmissionState, now: Instant, request: &PlacementRequest) -> QueueClass {
    state.rank(now, request, 1).class
}

/// Guards against refusals that lose the work of a program under way.
#[test]
fn check_never_refuses_a_program_under_way() {
    let (mut state, now) = (AdmissionState::default(), Instant::now());
    let first = request(now, "a", false, 3_000);
    assert!(check(&mut state, now, &first, &LONG_QUEUE).is_err());

    let later = request(now, "b", true, 100);
    assert_eq!(check(&mut state, now, &later, &LONG_QUEUE), Ok(()));

    // The first turn of a sub-agent continues no other turn.
    state.record_grant(now, &first);
    let agent = request(now, "a", false, 2_900);
    assert_eq!(check(&mut state, now, &agent, &LONG_QUEUE), Ok(()));
    assert_eq!(class(&state, now, &agent), QueueClass::UnderWay);
}

/// Guards against refusals because of a queue that has only just formed, as it does by chance below the capacity, and because
/// of a prediction from few grants while nobody waits for long.
#[test]
fn check_refuses_only_in_a_standing_queue() {
    let (mut state, now) = (AdmissionState::default(), Instant::now());
    let new = request(now, "a", false, 3_000);
    let young = QueueView { queue_age: Duration::from_millis(50), ..LONG_QUEUE };
    assert_eq!(check(&mut state, now, &new, &young), Ok(()));
    let moving = QueueView { longest_wait: Duration::from_millis(10), ..LONG_QUEUE };
    assert_eq!(check(&mut state, now, &new, &moving), Ok(()));
    let hopeless = QueueView { new_ahead: 200, ..young };
    let refusal = check(&mut state, now, &new, &hopeless).expect_err("a refusal");
    assert_eq!(refusal.reason, RefusalReason::QueueTooLong);
}

/// Guards against refused clients that all come back at once.
#[test]
fn check_spreads_the_times_of_refused_clients() {
    let now = Instant::now();
    let times: Vec<Duration> = (0..200)
        .map(|program| {
            let new = request(now, &format!("program {program}"), false, 3_000);
            let mut state = AdmissionState::default();
            check(&mut state, now, &new, &LONG_QUEUE).expect_err("a refusal").retry_after
        })
        .collect();
    let (min, max) = (times.iter().min().expect("a time"), times.iter().max().expect("a time"));
    assert!(*min >= Duration::from_millis(100), "{min:?}");
    let ratio = max.as_secs_f64() / min.as_secs_f64();
    assert!((1.5..=1.25 / 0.75 + 0.01).contains(&ratio), "from {min:?} to {max:?}");
}

/// Guards against an order in which hopeless requests hold up the others, and against late programs of a low priority that get
/// nothing while an overload lasts.
#[test]
fn sort_queue_serves_by_class_and_late_programs_now_and_then() {
    let (mut state, now) = (AdmissionState::default(), Instant::now());
    let requests = [
        request(now, "expired", false, 200),
        PlacementRequest { priority: 5, ..request(now, "late", true, 50) },
        request(now, "new", false, 9_000),
        request(now, "under way", true, 9_000),
    ];
    requests.iter().for_each(|it| drop(state.record_arrival(now, it)));
    let at = now + Duration::from_millis(600);
    let order = |state: &AdmissionState| -> Vec<Arc<str>> {
        let waiting = requests.iter().enumerate().map(|(at, it)| (at, at as u64, it));
        let order = state.sort_queue(at, waiting);
        order.into_iter().filter_map(|at| requests[at].program.clone()).collect()
    };
    assert_eq!(order(&state), ["under way", "new", "late", "expired"].map(Arc::from));

    (0..15).for_each(|_| state.record_grant(at, &requests[3]));
    assert_eq!(&*order(&state)[0], "late");
    state.record_grant(at, &requests[1]);
    assert_eq!(&*order(&state)[0], "under way");
}

/// Guards against a team that gets slots by the number of its requests.
#[test]
fn rank_lets_a_team_beyond_its_share_wait_behind_others_of_its_class() {
    let (mut state, now) = (AdmissionState::default(), Instant::now());
    let of = |team: &str, program: &str, left_ms: u64| PlacementRequest {
        team: Some(team.into()),
        ..request(now, program, true, left_ms)
    };
    for turn in 0..40 {
        // A lone team never exceeds its share.
        let hot = of("hot", "a", 5_000);
        state.record_arrival(now + Duration::from_millis(60 * turn), &hot);
        state.record_grant(now + Duration::from_millis(60 * turn), &hot);
    }
    let at = now + Duration::from_millis(2_400);
    assert_eq!(state.rank(at, &of("hot", "a", 5_000), 1).overuse, 0);

    state.record_arrival(at + Duration::from_millis(60), &of("calm", "b", 9_000));
    let at = at + Duration::from_millis(60);
    let (hot, calm) = (of("hot", "a", 5_000), of("calm", "b", 9_000));
    assert!(state.rank(at, &calm, 2) < state.rank(at, &hot, 1));
}

/// Guards against a few odd programs that change what is expected of all.
#[test]
fn record_program_changes_estimates_by_bounded_steps() {
    let mut estimate = RouteEstimate::default();
    let left = Duration::from_secs(2);
    assert!((3.9..4.1).contains(&estimate.turns(left)));
    (0..20).for_each(|_| estimate.record_program(6, left, Duration::from_millis(1_200)));
    let (turns, idle_time) = (estimate.turns(left), estimate.idle_time(left));
    assert!((5.9..6.1).contains(&turns), "{turns}");
    estimate.record_program(u32::MAX, Duration::MAX, Duration::ZERO);
    assert!(estimate.turns(left) <= 1.1 * turns && estimate.turns(left) >= 0.9 * turns);
    assert!(estimate.idle_time(left) >= idle_time.mul_f64(0.9));
}
