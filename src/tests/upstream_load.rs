//! Tests of the estimates and preferences of upstreams, without a network.

use std::{collections::BTreeMap, sync::Arc};

use slotmap::SlotMap;
use tokio::time::{Duration, Instant, sleep, timeout};

use super::{entry_fakes::upstream, entry_placement::request};
use crate::entry::{
    PlacementPool, PromptPart, ReportedLoad,
    placement_request::PlacementRequest,
    pool_state::UpstreamKey,
    pooled_upstream::PooledUpstream,
    upstream_load::{
        memory_account::MemoryAccount,
        part_demand::PartDemand,
        part_preference::{PartPreference, preferred_count},
        request_costs::RequestCosts,
        slowness_report::SlownessReport,
    },
};

fn prompt(shared: u64, session: u64) -> [PromptPart; 2] {
    [PromptPart { id: shared, tokens: 12_600 }, PromptPart { id: session, tokens: 1_000 }]
}

/// Upstreams in the order of `ids`, so that two hosts may have them in different orders.
fn upstreams(ids: &[&str]) -> SlotMap<UpstreamKey, PooledUpstream> {
    let mut upstreams = SlotMap::with_key();
    for id in ids {
        upstreams.insert(PooledUpstream::new(Arc::new(upstream(id, "model", 8)), 234_075));
    }
    upstreams
}

/// Ids of the upstreams that a prompt prefers, with the tokens that they should have.
fn preferred(
    prompt_parts: &[PromptPart],
    demand: &PartDemand,
    upstreams: &SlotMap<UpstreamKey, PooledUpstream>,
) -> Vec<(Arc<str>, u64)> {
    let candidates = upstreams.iter().map(|(key, upstream)| (key, upstream, "north"));
    let preference = PartPreference::new(prompt_parts, demand, candidates);
    let mut preferred: Vec<(Arc<str>, u64)> = upstreams
        .iter()
        .map(|(key, it)| (Arc::clone(&it.record.id), preference.believed_tokens(key, 0.0)))
        .filter(|(_, tokens)| *tokens > 0)
        .collect();
    preferred.sort();
    preferred
}

/// Guards against hosts that spread one part over different upstreams.
#[test]
fn part_preference_is_the_same_at_hosts_that_list_upstreams_in_another_order() {
    let demand = PartDemand::default();
    let one = upstreams(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    let other = upstreams(&["h", "c", "b", "f", "a", "e", "d", "g"]);
    for part in 0..20 {
        assert_eq!(
            preferred(&prompt(part, 1), &demand, &one),
            preferred(&prompt(part, 2), &demand, &other)
        );
    }
}

/// Guards against reads of all parts at new upstreams when one upstream leaves.
#[test]
fn part_preference_moves_little_when_an_upstream_leaves() {
    let demand = PartDemand::default();
    let before = upstreams(&["a", "b", "c", "d", "e", "f", "g", "h"]);
    let after = upstreams(&["a", "b", "c", "d", "e", "f", "g"]);
    for part in 0..20 {
        let before = preferred(&prompt(part, 1), &demand, &before);
        let after = preferred(&prompt(part, 1), &demand, &after);
        let new = after.iter().filter(|it| before.iter().all(|(id, _)| *id != it.0)).count();
        assert!(new <= 1, "{before:?} became {after:?}");
    }
}

/// Guards against hot parts that overload the few upstreams of a rare one.
#[test]
fn preferred_count_grows_with_the_share_of_the_load() {
    assert_eq!(preferred_count(0.0, 16), 3);
    assert_eq!(preferred_count(1.0 / 6.0, 16), 4);
    assert_eq!(preferred_count(0.5, 16), 12);
    assert_eq!(preferred_count(1.0, 16), 16);
    assert_eq!(preferred_count(0.1, 2), 2);
}

/// Guards against load on a full upstream for the sake of its cache.
#[test]
fn part_preference_ends_at_a_full_upstream() {
    let upstreams = upstreams(&["a"]);
    let candidates = upstreams.iter().map(|(key, upstream)| (key, upstream, "north"));
    let preference = PartPreference::new(&prompt(1, 2), &PartDemand::default(), candidates);
    let key = upstreams.keys().next().expect("an upstream");
    let tokens = |load_share| preference.believed_tokens(key, load_share);
    assert!(tokens(0.0) > 0 && tokens(0.0) == tokens(0.7));
    assert!(tokens(0.9) < tokens(0.7));
    assert_eq!((tokens(1.0), tokens(2.0)), (0, 0));
}

/// Guards against a later turn that leaves the upstream with its session for a preferred one.
#[test]
fn part_preference_counts_less_than_a_session_until_the_part_is_shared() {
    let upstreams = upstreams(&["a", "b", "c", "d"]);
    let mut demand = PartDemand::default();
    assert_eq!(preferred(&prompt(1, 2)[..1], &demand, &upstreams), Vec::new());

    let now = Instant::now();
    demand.record(now, &prompt(1, 2));
    demand.record(now, &prompt(1, 2));
    assert!(!demand.is_shared(1), "the turns of one session count as several");
    let unconfirmed = preferred(&prompt(1, 2), &demand, &upstreams);
    demand.record(now, &prompt(1, 3));
    assert!(demand.is_shared(1));
    let shared = preferred(&prompt(1, 2), &demand, &upstreams);
    assert!(unconfirmed.iter().zip(&shared).all(|(one, other)| one.1 * 2 < other.1));
    assert!(shared.iter().all(|(_, tokens)| *tokens < 12_600));
}

/// Guards against shares that follow a burst too late, and against counts that grow without a bound.
#[test]
fn part_demand_follows_the_load_and_forgets_rare_parts() {
    let mut demand = PartDemand::default();
    let mut now = Instant::now();
    for session in 0..10_000 {
        now += Duration::from_millis(20);
        demand.record(now, &prompt(session % 4, session));
        demand.record(now, &prompt(1_000 + session, session));
    }
    assert!((0.1..0.15).contains(&demand.share(2)), "{}", demand.share(2));
    assert!(demand.share(1_001) < 1e-6, "a part of one prompt is still counted");

    for session in 0..1_000 {
        now += Duration::from_millis(20);
        demand.record(now, &prompt(7, session));
    }
    assert!(demand.share(7) > 0.5, "{}", demand.share(7));
}

/// Guards against costs that stay at the figures of one deployment, or jump with a single answer.
#[test]
fn request_costs_follow_answers_step_by_step_and_within_bounds() {
    let (mut costs, service) = (RequestCosts::default(), RequestCosts::default());
    for number in 0..63_u64 {
        costs.record_prefill(number % 2 * 12_600, 900.0, &service);
    }
    assert!((costs.tokens_per_ms() - 147.0).abs() < 0.01, "changed after too few answers");

    for number in 0..2_000_u64 {
        let (tokens, load) = (number % 7 * 2_000, number % 6);
        let before = costs.tokens_per_ms();
        costs.record_prefill(tokens, 40.0 + tokens as f64 / 270.0, &service);
        assert!((before / costs.tokens_per_ms() - 1.0).abs() < 0.101);
        costs.record_concurrency(load as f64, 200.0 + 4.0 * load as f64, &service);
    }
    assert!((255.0..285.0).contains(&costs.tokens_per_ms()), "{}", costs.tokens_per_ms());
    assert!((7.5..8.5).contains(&costs.concurrency_ms()), "{}", costs.concurrency_ms());

    for number in 0..2_000_u64 {
        costs.record_prefill(number % 7 * 2_000, 5_000.0 * (number % 7) as f64, &service);
        costs.record_concurrency((number % 6) as f64, 200.0, &service);
    }
    assert!((costs.tokens_per_ms() - 147.0 / 8.0).abs() < 0.1, "{}", costs.tokens_per_ms());
    assert!((costs.concurrency_ms() - 18.0 / 8.0).abs() < 0.01, "{}", costs.concurrency_ms());
}

/// Guards against noise that is taken for a cost where all requests are alike, as at plain services.
#[test]
fn request_costs_stay_while_requests_are_alike() {
    let (mut costs, service) = (RequestCosts::default(), RequestCosts::default());
    for number in 0..2_000_u64 {
        costs.record_prefill(1_000 + number % 10, (number * 37 % 100) as f64, &service);
        costs.record_concurrency(2.0, (number * 53 % 300) as f64, &service);
    }
    assert!((costs.tokens_per_ms() - 147.0).abs() < 0.01);
    assert!((costs.concurrency_ms() - 18.0).abs() < 0.01);
}

/// Guards against upstreams that crash as the requests on them exceed their memory.
#[tokio::test(start_paused = true)]
async fn placement_pool_spares_an_upstream_whose_memory_is_full() {
    let pool = Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()));
    pool.upsert(upstream("u1", "model", 8));
    pool.upsert(upstream("u2", "model", 8));
    pool.set_cache_capacities([("model".into(), 100_000)].into());
    let large = || PlacementRequest {
        prompt_tokens: 50_000,
        completion_tokens: 10_000,
        ..request(0, false)
    };
    let first = pool.try_acquire(&large()).expect("a free slot");
    let leases: Vec<_> = (0..7).filter_map(|_| pool.try_acquire(&request(0, false))).collect();
    assert_eq!(leases.len(), 7);
    let busy = leases.iter().filter(|it| it.record.id != first.record.id).count();
    assert!(busy >= 3);
    let second = pool.try_acquire(&large()).expect("a free slot");
    assert_ne!(second.record.id, first.record.id, "two large requests are on one upstream");
    assert_eq!(pool.full_memory_count(), 0);
    let third = pool.try_acquire(&large()).expect("no request waits while slots are free");
    assert_eq!(pool.full_memory_count(), 1);

    drop((first, second, third, leases));
    assert_eq!(pool.full_memory_count(), 0);
    let too_large = PlacementRequest { prompt_tokens: 100_001, ..request(0, false) };
    assert!(pool.try_acquire(&too_large).is_none());
    let outcome = timeout(Duration::from_millis(10), pool.acquire(too_large)).await;
    assert!(outcome.expect("an answer at once").is_err());
}

/// Guards against sums that overflow, and against an account without a known memory.
#[test]
fn memory_account_bears_numbers_at_the_end_of_their_range() {
    let mut account = MemoryAccount::default();
    account.record_grant(u64::MAX);
    account.record_grant(u64::MAX);
    assert!(account.is_exceeded_by(u64::MAX, u32::MAX, u64::MAX - 1));
    assert!(!account.is_exceeded_by(u64::MAX, u32::MAX, 0));
    account.record_end(u64::MAX);
    account.record_end(1);
    assert!(!account.is_exceeded_by(100_000, 0, 100_000));
    assert!(account.is_exceeded_by(50_000, 1, 99_999), "requests of other hosts don't count");
}

/// Guards against a figure that is used for too long, and against one that is wrong.
#[test]
fn slowness_report_fades_within_400_ms_and_keeps_its_range() {
    let now = Instant::now();
    let percent = |stated, age_ms| {
        let report = SlownessReport::new(stated, now);
        (report.factor(now + Duration::from_millis(age_ms)) * 100.0).round() as u32
    };
    let by_age = [0, 200, 400, 2_000].map(|age_ms| percent(3.0, age_ms));
    assert_eq!(by_age, [300, 200, 100, 100]);
    let by_figure = [0.0, 0.5, 9.0, f32::INFINITY, f32::NAN].map(|it| percent(it, 0));
    assert_eq!(by_figure, [50, 50, 400, 400, 100]);
}

/// Guards against a load report that is lost because of its fourth figure.
#[test]
fn reported_load_reads_three_figures_with_or_without_a_fourth() {
    let load = |slowness| Some(ReportedLoad { running: 3, waiting: 1, slots: 8, slowness });
    let read = ReportedLoad::from_figures;
    assert_eq!(read("3,1,8"), load(None));
    assert_eq!(read("3, 1, 8, 150"), load(Some(1.5)));
    assert_eq!(read("3,1,8,50.0,7"), load(Some(0.5)));
    for text in ["3,1,8,", "3,1,8,fast", "3,1,8,-100", "3,1,8,0", "3,1,8,NaN", "3,1,8,inf"] {
        assert_eq!(read(text), load(None), "{text}");
    }
    for text in ["", "3,1", "3,1,x,100", "-3,1,8"] {
        assert_eq!(read(text), None, "{text}");
    }
}

/// Guards against hosts that all choose the upstream of which the same old report says that it is idle and fast.
#[tokio::test(start_paused = true)]
async fn placement_pools_spread_requests_when_their_load_reports_are_old() {
    for age_ms in [200, 400, 1_000, 2_000] {
        let mut chosen: BTreeMap<Arc<str>, u32> = BTreeMap::new();
        for host in 0..18 {
            let pool = Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()));
            let name = format!("host-{host}").into();
            pool.limits().lock().set_hosts(&name, Vec::new());
            let records = (0..16).map(|it| upstream(&format!("u{it}"), "model", 8)).collect();
            pool.reset(records, 1, None);
            pool.set_cache_capacities([("model".into(), 234_075)].into());
            let turn = |session| PlacementRequest {
                prompt_parts: prompt(host % 8, session).into(),
                prompt_tokens: 13_600,
                ..request(0, false)
            };
            drop((pool.try_acquire(&turn(100)), pool.try_acquire(&turn(101))));

            let leases: Vec<_> =
                (0..16).filter_map(|_| pool.try_acquire(&request(0, false))).collect();
            for lease in &leases {
                let is_fast = &*lease.record.id == "u0";
                let (running, slowness) = if is_fast { (1, 0.5) } else { (3, 1.0) };
                let load = ReportedLoad { running, waiting: 0, slots: 8, slowness: Some(slowness) };
                pool.record_load(lease.key, load);
            }
            drop(leases);
            sleep(Duration::from_millis(age_ms)).await;
            let lease = pool.try_acquire(&turn(102)).expect("a free slot");
            *chosen.entry(Arc::clone(&lease.record.id)).or_default() += 1;
        }
        println!("reports of {age_ms} ms: {chosen:?}");
        let most = chosen.values().max().copied().unwrap_or(0);
        assert!(most <= 8, "{most} of 18 hosts chose the same upstream at {age_ms} ms");
    }
}

/// Guards against hosts without a report that all choose the upstream that is listed first.
#[tokio::test(start_paused = true)]
async fn placement_pools_order_idle_upstreams_in_different_ways() {
    let mut chosen: BTreeMap<Arc<str>, u32> = BTreeMap::new();
    for host in 0..18 {
        let pool = Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()));
        pool.limits().lock().set_hosts(&format!("host-{host}").into(), Vec::new());
        pool.set_cache_capacities([("model".into(), 234_075)].into());
        pool.reset((0..16).map(|it| upstream(&format!("u{it}"), "model", 8)).collect(), 1, None);
        let lease = pool.try_acquire(&request(0, false)).expect("a free slot");
        *chosen.entry(Arc::clone(&lease.record.id)).or_default() += 1;
    }
    assert!(chosen.values().all(|it| *it <= 6), "{chosen:?}");
}

/// Guards against a machine that is slow now and gets as many requests as the others.
#[tokio::test(start_paused = true)]
async fn placement_pool_avoids_a_machine_that_is_slow_now() {
    let pool = Arc::new(PlacementPool::new("dc-a".into(), BTreeMap::new()));
    pool.reset(["u1", "u2"].map(|id| upstream(id, "model", 8)).into(), 1, None);
    let lease = pool.try_acquire(&request(0, false)).expect("a free slot");
    let slow = Arc::clone(&lease.record.id);
    let load = ReportedLoad { running: 1, waiting: 0, slots: 8, slowness: Some(2.0) };
    pool.record_load(lease.key, load);
    drop(lease);
    let leases: Vec<_> = (0..4).filter_map(|_| pool.try_acquire(&request(0, false))).collect();
    assert!(leases.iter().all(|it| it.record.id != slow));
    sleep(Duration::from_millis(400)).await;
    let next = pool.try_acquire(&request(0, false)).expect("a free slot");
    assert_eq!(next.record.id, slow, "the statement is used after 400 ms");
}
