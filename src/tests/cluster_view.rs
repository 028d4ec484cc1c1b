//! Placement of shards and dispatchers: in their own region while it has serving hosts, else in any.

use crate::{CellId, ClusterView, HostPhase, HostRecord, MembershipTable, RegionName, ShardId};

const HOSTS: [(&str, &str); 6] =
    [("a1", "a"), ("a2", "a"), ("b1", "b"), ("b2", "b"), ("c1", "c"), ("c2", "c")];

fn records() -> Vec<HostRecord> {
    HOSTS
        .iter()
        .enumerate()
        .map(|(index, (name, region))| HostRecord {
            name: (*name).into(),
            region: (*region).into(),
            peer_address: ([127, 0, 0, 1], index as u16 + 1).into(),
            is_leaving: false,
        })
        .collect()
}

/// The view of host a1, in which all hosts are serving except those given, about which it has no rumor.
fn view(absent: &[&str]) -> ClusterView {
    let records = records();
    let mut table = MembershipTable::new(&records[0], 1, 1_000);
    table.merge_hosts(&records);
    table.update_local(HostPhase::Serving, Vec::new());

    for record in records.iter().filter(|it| !absent.contains(&it.name.as_str())) {
        let mut other = MembershipTable::new(record, 1, 1_000);
        other.update_local(HostPhase::Serving, Vec::new());
        table.merge_rumors(0, &other.all_rumors());
    }

    ClusterView::new(table)
}

fn owner_region(view: &ClusterView, shard: u16) -> RegionName {
    let owner = view.assigned_owner(ShardId(shard)).expect("a host is serving");
    view.lock().member(&owner.name).expect("the owner is in the table").region.clone()
}

#[test]
fn assigned_owner_in_home_region() {
    let view = view(&[]);

    for shard in 0..30 {
        let home = ["a", "b", "c"][usize::from(shard) % 3];
        assert_eq!(owner_region(&view, shard), home.into());
        assert_eq!(view.is_in_home_region(ShardId(shard)), home == "a");
    }
}

#[test]
fn assigned_owner_without_host_in_home_region() {
    let view = view(&["b1", "b2"]);
    assert_eq!(owner_region(&view, 0), "a".into());
    assert_eq!(owner_region(&view, 2), "c".into());
    assert_ne!(owner_region(&view, 1), "b".into());
}

#[test]
fn dispatcher_in_region_of_cell() {
    let cell = CellId { region: "b".into(), model: "agent-llm".into() };
    let regional = view(&[]).dispatcher(&cell).expect("a host is serving");
    assert!(regional.name.as_str().starts_with('b'));
    let other = view(&["b1", "b2"]).dispatcher(&cell).expect("a host is serving");
    assert!(!other.name.as_str().starts_with('b'));
}
