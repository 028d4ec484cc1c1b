//! Roles by region: shards stay at home while their region has hosts.

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

/// A view in which all hosts serve but those named.
fn view(dead: &[&str]) -> ClusterView {
    let records = records();
    let mut table = MembershipTable::new(&records[0], 1, 1_000);
    table.merge_hosts(&records);
    table.update_local(HostPhase::Serving, Vec::new());

    for record in records.iter().filter(|it| !dead.contains(&it.name.as_str())) {
        let mut other = MembershipTable::new(record, 1, 1_000);
        other.update_local(HostPhase::Serving, Vec::new());
        table.merge_rumors(0, &other.all_rumors());
    }

    ClusterView::new(table)
}

fn region(view: &ClusterView, shard: u16) -> RegionName {
    let winner = view.assigned_owner(ShardId(shard)).expect("a winner");
    view.lock().member(&winner.name).expect("a member").region.clone()
}

#[test]
fn shard_winner_is_at_home() {
    let view = view(&[]);

    for shard in 0..30 {
        let home = ["a", "b", "c"][usize::from(shard) % 3];
        assert_eq!(region(&view, shard), home.into());
        assert_eq!(view.is_in_home_region(ShardId(shard)), home == "a");
    }
}

#[test]
fn shard_winner_without_home_is_anywhere() {
    let view = view(&["b1", "b2"]);
    assert_eq!(region(&view, 0), "a".into());
    assert_eq!(region(&view, 2), "c".into());
    assert_ne!(region(&view, 1), "b".into());
}

#[test]
fn dispatcher_is_of_the_cells_region() {
    let cell = CellId { region: "b".into(), model: "agent-llm".into() };
    let winner = view(&[]).dispatcher(&cell).expect("a dispatcher");
    assert!(winner.name.as_str().starts_with('b'));
    let other = view(&["b1", "b2"]).dispatcher(&cell).expect("a dispatcher");
    assert!(!other.name.as_str().starts_with('b'));
}
