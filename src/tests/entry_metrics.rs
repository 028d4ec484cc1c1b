//! docs/METRICS.md lists exactly the metrics that an entry host exports.

use std::{collections::BTreeSet, time::Duration};

use crate::entry::{
    HostLoad, entry_metrics::EntryMetrics, object_affinity::object_gain::ObjectPlace,
};

const DOCUMENTATION: &str = include_str!("../../docs/METRICS.md");
const SECTION_HEADING: &str = "## Entry hosts";
const METRIC_PREFIX: &str = "ragwortknot_entry_";

/// Names in the first column of the table, without the prefix.
fn documented_metrics() -> BTreeSet<String> {
    let (_, section) = DOCUMENTATION
        .split_once(SECTION_HEADING)
        .expect("docs/METRICS.md has a section for entry hosts");
    let rows = section.lines().filter_map(|line| line.strip_prefix("| `"));
    rows.filter_map(|row| row.split('`').next()).map(str::to_owned).collect()
}

#[test]
fn text_exports_exactly_the_documented_metrics() {
    let metrics = EntryMetrics::new().expect("failed to create the metrics");
    let time = Duration::from_millis(1);
    metrics.count_request("stream", "200".to_owned());
    metrics.count_attempt("agent", "answered");
    metrics.count_store_call("journal", true);
    metrics.count_tokens(1);
    metrics.record_config_version(1);
    metrics.record_first_event_time(time);
    metrics.record_history_bytes(1);
    metrics.record_journal_write(time, 1);
    metrics.record_queue_time(time);
    metrics.record_request_time(time);
    metrics.count_offer("accepted");
    metrics.count_forwarded("answered");
    metrics.count_broken_stream("deadline");
    metrics.count_placement_refusal("the queue is too long");
    metrics.count_object(ObjectPlace::Preferred);
    metrics.record_role(true);
    metrics.record_schedulers(6, 0);
    metrics.record_lost_services(0);
    metrics.count_crash("counted");
    metrics.count_key_check("accepted");
    metrics.record_teams(2);
    metrics.count_dispatch("granted");
    metrics.record_dispatch_time(time);
    metrics.count_served_placement("granted");
    metrics.record_slow_starts(0);
    metrics.record_full_memories(0);
    metrics.count_quota_decision("allowance");
    metrics.record_load(HostLoad::default(), time, 0);

    let text = metrics.text().expect("failed to encode the metrics");
    let help = text.lines().filter_map(|line| line.strip_prefix("# HELP "));
    let exported: BTreeSet<String> = help
        .filter_map(|line| line.split(' ').next()?.strip_prefix(METRIC_PREFIX))
        .map(str::to_owned)
        .collect();

    assert_eq!(exported, documented_metrics());
}
