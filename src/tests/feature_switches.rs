//! Tests that a feature which is switched off has no effect.

use std::{collections::BTreeMap, sync::Arc};

use tokio::time::Instant;

use super::{entry_fakes::upstream, entry_placement::request};
use crate::entry::{
    FeatureSwitches, HostFeature, PlacementPool, ReportedLoad, UpstreamRecord,
    placement_request::PlacementRequest, pooled_upstream::LeaseOutcome,
};

fn pool_without(feature: HostFeature) -> Arc<PlacementPool> {
    let switches = FeatureSwitches::default().with(feature, false);
    let pool = PlacementPool::new("dc-a".into(), BTreeMap::new()).with_switches(switches);
    pool.set_cache_capacities([("model".into(), 100_000)].into());
    pool.upsert(upstream("u1", "model", 8));
    Arc::new(pool)
}

/// Guards against switches that change another feature than the one that is named.
#[test]
fn feature_switches_change_only_the_named_feature() {
    let default = FeatureSwitches::default();
    for feature in HostFeature::ALL {
        let was_on = default.is_on(feature);
        let switches = default.with(feature, !was_on);
        let has_changed = |it: &HostFeature| switches.is_on(*it) != default.is_on(*it);
        let changed: Vec<_> = HostFeature::ALL.into_iter().filter(has_changed).collect();
        assert_eq!(changed, [feature]);
        assert_eq!(switches.with(feature, was_on), default);
    }
    assert!(!default.is_on(HostFeature::ReserveAhead));
}

/// Guards against a new or failed upstream that is still paced when slow start is switched off.
#[tokio::test(start_paused = true)]
async fn placement_pool_without_slow_start_fills_a_new_upstream_at_once() {
    let pool = pool_without(HostFeature::SlowStart);
    pool.upsert(UpstreamRecord { started_at_ms: 900_000, ..upstream("u2", "model", 8) });
    let only_new = PlacementRequest { excluded: vec!["u1".into()], ..request(0, false) };
    let leases: Vec<_> = std::iter::from_fn(|| pool.try_acquire(&only_new)).collect();
    assert_eq!(leases.len(), 8);
    leases.into_iter().for_each(|it| it.finish(LeaseOutcome::Unreachable));
    assert_eq!(pool.slow_start_count(), 0);
}

/// Guards against programs that are still refused or ordered by admission control when it is switched off.
#[test]
fn placement_pool_without_admission_issues_no_tickets() {
    let program = PlacementRequest { program: Some("p1".into()), ..request(0, false) };
    let has_ticket =
        |pool: &PlacementPool| pool.state.lock().record_arrival(Instant::now(), &program).is_some();
    assert!(!has_ticket(&pool_without(HostFeature::Admission)));
    assert!(has_ticket(&pool_without(HostFeature::SlowStart)));
}

/// Guards against a stated slowness of a machine that still counts when upstream load is switched off.
#[test]
fn placement_pool_without_upstream_load_ignores_the_stated_slowness() {
    let slowness = |pool: &Arc<PlacementPool>| {
        let key = pool.state.lock().by_id["u1"];
        let load = ReportedLoad { running: 1, waiting: 0, slots: 8, slowness: Some(3.0) };
        pool.record_load(key, load);
        pool.state.lock().upstreams[key].slowness(Instant::now())
    };
    assert!(slowness(&pool_without(HostFeature::SlowStart)) > 2.9);
    assert!((slowness(&pool_without(HostFeature::UpstreamLoad)) - 1.0).abs() < 0.01);
}
