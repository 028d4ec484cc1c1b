//! Decisions whether a host reaches a service, without a network.

use std::sync::Arc;

use tokio::time::{Duration, Instant};

use crate::upstreams::service_reach::{PROBE_INTERVAL, ReachPhase, ServiceReach};

/// Number of upstreams of the service.
const COUNT: usize = 6;

/// A service whose upstreams `u0` to `u5` were all heard at the start, and a clock.
struct ReachTest {
    reach: ServiceReach,
    now: Instant,
    upstreams: Vec<Arc<str>>,
}

impl ReachTest {
    fn new() -> Self {
        let upstreams = (0..COUNT).map(|it| Arc::from(format!("u{it}"))).collect();
        let mut test = Self { reach: ServiceReach::default(), now: Instant::now(), upstreams };
        (0..COUNT).for_each(|index| test.hear(index));
        test
    }

    fn pass(&mut self, millis: u64) {
        self.now += Duration::from_millis(millis);
    }

    fn hear(&mut self, index: usize) {
        self.reach.record_heard(self.now, &self.upstreams[index]);
    }

    fn connect(&mut self, index: usize) {
        self.reach.record_connected(self.now, &self.upstreams[index]);
    }

    /// An attempt of 350 ms in which no connection could be made.
    fn fail_to_connect(&mut self, index: usize) {
        let began_at = self.now;
        self.pass(350);
        self.reach.record_unconnected(self.now, &self.upstreams[index], began_at, COUNT);
    }

    fn is_lost(&self) -> bool {
        self.reach.is_lost()
    }

    /// A service that was lost, after `lost_ms`.
    fn lost(lost_ms: u64) -> Self {
        let mut test = Self::new();
        test.pass(1);
        test.fail_to_connect(0);
        test.fail_to_connect(1);
        test.pass(lost_ms);
        test
    }

    /// Part of 400 requests in the next 10 ms that may go to the upstreams.
    fn admitted(&mut self) -> f64 {
        let admitted = (0..400).filter(|_| self.reach.admit(self.now)).count();
        self.pass(10);
        admitted as f64 / 400.0
    }
}

#[test]
fn reach_is_lost_when_several_upstreams_fail_and_none_is_heard() {
    let mut test = ReachTest::new();
    test.pass(1);
    test.fail_to_connect(0);
    assert!(!test.is_lost(), "one upstream that fails is its own trouble");
    test.fail_to_connect(1);
    assert!(test.is_lost());
    assert!(!test.reach.admit(test.now));
}

#[test]
fn reach_is_kept_when_one_upstream_fails_again_and_again() {
    let mut test = ReachTest::new();
    for _ in 0..10 {
        test.pass(1);
        test.fail_to_connect(0);
    }
    assert!(!test.is_lost());
}

#[test]
fn reach_is_kept_while_others_are_heard() {
    let mut test = ReachTest::new();
    for index in 0..2 {
        let began_at = test.now;
        test.pass(100);
        test.hear(4);
        test.pass(250);
        test.reach.record_unconnected(test.now, &test.upstreams[index], began_at, COUNT);
    }
    assert!(!test.is_lost());
}

#[test]
fn reach_is_lost_when_no_connection_is_made_although_kept_ones_live() {
    let mut test = ReachTest::new();
    for index in 0..5 {
        assert!(!test.is_lost(), "after {index}");
        test.fail_to_connect(index);
        test.hear(5);
    }
    assert!(test.is_lost());
    test.hear(4);
    test.hear(5);
    assert!(test.is_lost(), "kept connections don't carry the requests of new ones");
    test.connect(4);
    assert!(test.is_lost(), "one connection may be an exception");
    test.connect(5);
    assert!(!test.is_lost());
}

#[test]
fn reach_probes_before_upstreams_are_taken_for_lost() {
    let mut test = ReachTest::new();
    for index in 0..3 {
        assert_eq!(test.reach.take_probe(test.now, &test.upstreams), None);
        test.fail_to_connect(index);
        test.hear(5);
    }
    let probed = test.reach.take_probe(test.now, &test.upstreams).expect("a probe");
    assert!(!["u0", "u1", "u2"].contains(&&*probed), "{probed} has failed");
    test.connect(3);
    test.pass(1_000);
    assert_eq!(test.reach.take_probe(test.now, &test.upstreams), None, "others can be reached");
}

#[test]
fn reach_probes_lost_upstreams_in_turn_at_a_bounded_rate() {
    let mut test = ReachTest::lost(0);
    let mut probed = Vec::new();
    let started_at = test.now;
    while test.now < started_at + PROBE_INTERVAL * 6 {
        probed.extend(test.reach.take_probe(test.now, &test.upstreams));
        test.pass(10);
    }
    assert_eq!(probed.len(), 6);
    probed.sort();
    assert_eq!(probed, test.upstreams);
}

#[test]
fn reach_returns_when_two_upstreams_answer() {
    let mut test = ReachTest::lost(200);
    test.connect(2);
    assert!(test.is_lost());
    test.connect(2);
    assert!(test.is_lost(), "the same upstream");
    test.connect(3);
    assert_eq!(test.reach.phase(), ReachPhase::Reached, "the loss was short");
}

#[test]
fn reach_takes_the_load_back_by_steps_after_a_long_loss() {
    let mut test = ReachTest::lost(5_000);
    test.connect(2);
    test.connect(3);
    assert!(matches!(test.reach.phase(), ReachPhase::Returning { .. }));
    let mut parts = Vec::new();
    for _ in 0..4 {
        parts.push(test.admitted());
        test.pass(240);
    }
    assert_eq!(parts, [0.25, 0.5, 0.75, 1.0]);
    assert_eq!(test.reach.phase(), ReachPhase::Reached);
}

#[test]
fn reach_is_lost_again_while_the_load_comes_back() {
    let mut test = ReachTest::lost(5_000);
    test.connect(2);
    test.connect(3);
    test.pass(1);
    test.fail_to_connect(0);
    test.fail_to_connect(1);
    assert!(test.is_lost());
}

#[test]
fn reach_of_a_single_upstream_depends_on_connections() {
    let mut test = ReachTest::new();
    let only: Arc<str> = "only".into();
    test.reach = ServiceReach::default();
    test.reach.record_heard(test.now, &only);
    test.pass(1);
    let began_at = test.now;
    test.pass(500);
    test.reach.record_silent(test.now, &only, began_at, 1);
    assert!(!test.is_lost(), "a request that gets no response may be slow");
    test.reach.record_unconnected(test.now, &only, began_at, 1);
    assert!(test.is_lost());
    test.reach.record_connected(test.now, &only);
    assert!(!test.is_lost());
}
