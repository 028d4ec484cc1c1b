//! Membership: what is learnt, suspected, refuted and forgotten.

use crate::{
    HostName, HostPhase, HostRecord, MemberChange, MemberStatus, MembershipTable, ShardId,
};

const SUSPICION_MS: u64 = 1_000;

fn record(name: &str, port: u16) -> HostRecord {
    HostRecord {
        name: name.into(),
        region: "ub-a".into(),
        peer_address: ([127, 0, 0, 1], port).into(),
        is_leaving: false,
    }
}

fn table(name: &str, port: u16, incarnation: u64) -> MembershipTable {
    MembershipTable::new(&record(name, port), incarnation, SUSPICION_MS)
}

/// Two hosts that know each other.
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
    table.member(&HostName::from(name)).expect("a member").status()
}

#[test]
fn silence_then_expiry_is_death() {
    let (mut one, _) = pair();
    let two = HostName::from("two");
    assert_eq!(one.reported_owner(ShardId(4)), Some(&two));
    one.record_probe_failure(100, &two);
    assert_eq!(status(&one, "two"), MemberStatus::Suspect);
    assert_eq!(one.expire_suspects(100 + SUSPICION_MS - 1), []);
    assert_eq!(one.reported_owner(ShardId(4)), Some(&two), "a suspect still holds its shards");

    let gone = MemberChange::Gone { address: ([127, 0, 0, 1], 2).into() };
    assert_eq!(one.expire_suspects(100 + SUSPICION_MS), [gone]);
    assert_eq!(one.reported_owner(ShardId(4)), None);
}

#[test]
fn answer_clears_suspicion() {
    let (mut one, _) = pair();
    let two = HostName::from("two");
    one.record_probe_failure(100, &two);
    one.record_ack(&two);
    assert_eq!(one.expire_suspects(100 + SUSPICION_MS), []);
    assert_eq!(status(&one, "two"), MemberStatus::Alive);
}

#[test]
fn death_is_refuted_by_its_host() {
    let (mut one, mut two) = pair();
    let name = HostName::from("two");
    one.record_probe_failure(0, &name);
    one.expire_suspects(SUSPICION_MS);

    // The rumor goes to the host that it is about, which answers with a newer one.
    let rumors = one.rumors_for(Some(&name));
    two.merge_rumors(SUSPICION_MS, &rumors);
    one.merge_rumors(SUSPICION_MS, &two.rumors_for(None));
    assert_eq!(status(&one, "two"), MemberStatus::Alive);
    assert_eq!(one.reported_owner(ShardId(4)), Some(&name));
}

#[test]
fn old_rumors_change_nothing() {
    let (mut one, mut two) = pair();
    let old = two.all_rumors();
    two.update_local(HostPhase::Draining, Vec::new());
    one.merge_rumors(1, &two.all_rumors());
    one.merge_rumors(2, &old);
    let member = one.member(&HostName::from("two")).expect("a member");
    assert_eq!(member.phase(), HostPhase::Draining);
}

#[test]
fn restart_is_seen_and_old_connections_are_given_up() {
    let (mut one, _) = pair();
    let mut again = table("two", 2, 20);
    again.update_local(HostPhase::Serving, Vec::new());
    let changes = one.merge_rumors(1, &again.all_rumors());
    assert_eq!(changes, [MemberChange::Gone { address: ([127, 0, 0, 1], 2).into() }]);
    assert_eq!(one.reported_owner(ShardId(4)), None);
}

#[test]
fn unlisted_host_is_asked_for() {
    let (mut one, _) = pair();
    let three = table("three", 3, 5);
    let changes = one.merge_rumors(1, &three.all_rumors());
    assert_eq!(changes, [MemberChange::Unlisted { host: "three".into() }]);
}

#[test]
fn dead_and_unlisted_host_is_forgotten() {
    let (mut one, _) = pair();
    let two = HostName::from("two");
    one.merge_hosts(&[record("one", 1)]);
    assert!(one.member(&two).is_some(), "a host that is heard stays, whatever the list says");
    one.record_probe_failure(0, &two);
    one.expire_suspects(SUSPICION_MS);
    one.merge_hosts(&[record("one", 1)]);
    assert!(one.member(&two).is_none());
}

#[test]
fn probes_reach_each_host_once_a_round() {
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
