//! Membership table: merging of rumors and host lists, suspicion, refutation, removal and the order of probes.

use crate::{
    HostName, HostPhase, HostRecord, MemberChange, MemberStatus, MembershipTable, ShardId,
};

const SUSPICION_TIMEOUT_MS: u64 = 1_000;

fn record(name: &str, port: u16) -> HostRecord {
    HostRecord {
        name: name.into(),
        region: "ub-a".into(),
        peer_address: ([127, 0, 0, 1], port).into(),
        is_leaving: false,
    }
}

fn table(name: &str, port: u16, incarnation: u64) -> MembershipTable {
    MembershipTable::new(&record(name, port), incarnation, SUSPICION_TIMEOUT_MS)
}

/// Tables of two hosts that list each other. The second owns shard 4.
fn pair() -> (MembershipTable, MembershipTable) {
    let mut one = table("one", 1, 10);
    let mut two = table("two", 2, 10);
    let hosts = [record("one", 1), record("two", 2)];
    one.merge_hosts(&hosts);
    two.merge_hosts(&hosts);
    two.update_local(HostPhase::Serving, vec![ShardId(4)]);
    one.merge_rumors(0, &two.all_rumors());
    (one, two)
}

fn status(table: &MembershipTable, name: &str) -> MemberStatus {
    table.member(&HostName::from(name)).expect("the host is in the table").status()
}

#[test]
fn expire_suspects_declares_unresponsive_host_dead() {
    let (mut one, _) = pair();
    let two = HostName::from("two");
    assert_eq!(one.reported_owner(ShardId(4)), Some(&two));
    one.record_probe_failure(100, &two);
    assert_eq!(status(&one, "two"), MemberStatus::Suspect);
    assert_eq!(one.expire_suspects(100 + SUSPICION_TIMEOUT_MS - 1), []);
    assert_eq!(one.reported_owner(ShardId(4)), Some(&two), "a suspect still owns its shards");

    let stale = MemberChange::StaleConnection { address: ([127, 0, 0, 1], 2).into() };
    assert_eq!(one.expire_suspects(100 + SUSPICION_TIMEOUT_MS), [stale]);
    assert_eq!(one.reported_owner(ShardId(4)), None);
}

#[test]
fn record_ack_clears_suspicion() {
    let (mut one, _) = pair();
    let two = HostName::from("two");
    one.record_probe_failure(100, &two);
    one.record_ack(&two);
    assert_eq!(one.expire_suspects(100 + SUSPICION_TIMEOUT_MS), []);
    assert_eq!(status(&one, "two"), MemberStatus::Alive);
}

#[test]
fn merge_rumors_refutes_death_of_live_host() {
    let (mut one, mut two) = pair();
    let name = HostName::from("two");
    one.record_probe_failure(0, &name);
    one.expire_suspects(SUSPICION_TIMEOUT_MS);

    // The host gets the rumor of its own death, and responds with a newer version of its rumor.
    let rumors = one.rumors_for(Some(&name));
    two.merge_rumors(SUSPICION_TIMEOUT_MS, &rumors);
    one.merge_rumors(SUSPICION_TIMEOUT_MS, &two.rumors_for(None));
    assert_eq!(status(&one, "two"), MemberStatus::Alive);
    assert_eq!(one.reported_owner(ShardId(4)), Some(&name));
}

#[test]
fn merge_rumors_ignores_older_version() {
    let (mut one, mut two) = pair();
    let older = two.all_rumors();
    two.update_local(HostPhase::Draining, Vec::new());
    one.merge_rumors(1, &two.all_rumors());
    one.merge_rumors(2, &older);
    let member = one.member(&HostName::from("two")).expect("the host is in the table");
    assert_eq!(member.phase(), HostPhase::Draining);
}

#[test]
fn merge_rumors_reports_stale_connection_after_restart() {
    let (mut one, _) = pair();
    let mut restarted = table("two", 2, 20);
    restarted.update_local(HostPhase::Serving, Vec::new());
    let changes = one.merge_rumors(1, &restarted.all_rumors());
    assert_eq!(changes, [MemberChange::StaleConnection { address: ([127, 0, 0, 1], 2).into() }]);
    assert_eq!(one.reported_owner(ShardId(4)), None);
}

#[test]
fn merge_rumors_reports_unlisted_host() {
    let (mut one, _) = pair();
    let three = table("three", 3, 5);
    let changes = one.merge_rumors(1, &three.all_rumors());
    assert_eq!(changes, [MemberChange::Unlisted { host: "three".into() }]);
}

#[test]
fn merge_hosts_removes_dead_unlisted_host() {
    let (mut one, _) = pair();
    let two = HostName::from("two");
    one.merge_hosts(&[record("one", 1)]);
    assert!(one.member(&two).is_some(), "a live host stays, even if it is not listed");
    one.record_probe_failure(0, &two);
    one.expire_suspects(SUSPICION_TIMEOUT_MS);
    one.merge_hosts(&[record("one", 1)]);
    assert!(one.member(&two).is_none());
}

#[test]
fn next_probe_visits_each_host_once_per_round() {
    let mut one = table("one", 1, 1);
    let hosts: Vec<HostRecord> =
        (1..=20).map(|index| record(&format!("host-{index}"), index)).collect();
    one.merge_hosts(&hosts);

    for _ in 0..3 {
        let mut probed: Vec<HostName> =
            (0..20).filter_map(|_| one.next_probe(|order| order.reverse())).collect();
        probed.sort();
        probed.dedup();
        assert_eq!(probed.len(), 20);
    }
}

/// Guards against a host whose clock was set back before its restart: the other hosts would take all that it says for older
/// than what its last run has said.
#[test]
fn merge_rumors_accepts_a_restarted_host_whose_clock_was_set_back() {
    for step in [-30_000_i64, 30_000] {
        let start = 100_000_u64;
        let mut last = table("two", 2, start);
        let mut peer = table("one", 1, 10);
        let hosts = [record("one", 1), record("two", 2)];
        peer.merge_hosts(&hosts);
        last.merge_hosts(&hosts);
        last.update_local(HostPhase::Serving, vec![ShardId(4)]);
        peer.merge_rumors(0, &last.all_rumors());

        let mut next = table("two", 2, start.saturating_add_signed(step));
        next.merge_hosts(&hosts);
        next.merge_members(0, &peer.all_rumors());
        next.update_local(HostPhase::Draining, Vec::new());
        let changes = peer.merge_rumors(0, &next.all_rumors());
        let name = HostName::from("two");
        let member = peer.member(&name).expect("the host is in the table");
        assert_eq!(member.phase(), HostPhase::Draining, "step {step}");
        assert_eq!(peer.reported_owner(ShardId(4)), None, "step {step}");
        let is_stale = |it: &MemberChange| matches!(it, MemberChange::StaleConnection { .. });
        assert!(changes.iter().any(is_stale), "step {step}: {changes:?}");
    }
}
