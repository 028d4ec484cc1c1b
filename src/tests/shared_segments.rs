//! Hosts that start at the same time share the readings of open segments.

use std::sync::Arc;

use futures_util::future::join_all;
use tokio::time::Instant;

use super::{
    entry_fakes::MemoryStore,
    silent_records::{HostRun, HostTransport},
};
use crate::entry::budget_ledger::is_writer_of;

/// Hosts of which each lost run has an open segment.
const HOSTS: u16 = 6;

/// Lets each host record a spend and ends all runs, then starts a new run of each host, all of which hear each other.
async fn restarted_hosts(
    program: &Arc<str>,
) -> (Arc<MemoryStore>, Arc<HostTransport>, Vec<HostRun>) {
    let store = Arc::new(MemoryStore::default());
    let lost = Arc::new(HostTransport::default());

    for number in 0..HOSTS {
        let run = HostRun::start(&store, &lost, &format!("host-{number}.1"), number);
        run.record_for_silent_host(program).await;
    }

    let transport = Arc::new(HostTransport::default());
    let writers: Vec<String> = (0..HOSTS).map(|number| format!("host-{number}.2")).collect();
    let start =
        |(number, writer): (u16, &String)| HostRun::start(&store, &transport, writer, number);
    let hosts: Vec<HostRun> = (0..HOSTS).zip(&writers).map(start).collect();

    for (host, own_writer) in hosts.iter().zip(&writers) {
        for (other, writer) in hosts.iter().zip(&writers).filter(|(_, it)| *it != own_writer) {
            host.hear(other, writer).await;
        }
    }

    (store, transport, hosts)
}

/// Tokens that a host counts for the program once it has read the records.
fn recorded_total(host: &HostRun, program: &Arc<str>) -> u64 {
    let mut ledger = host.locator.ledger.lock();
    ledger.assume_recorded(program, |writer| is_writer_of("silent", writer));
    ledger.total(program)
}

/// Guards against hosts that each read all open segments after the loss of all hosts, which kept them from serving for as long as
/// the store's link took for the content of all turns, once for each host.
#[tokio::test(start_paused = true)]
async fn list_batches_reads_each_segment_once_for_hosts_that_start_together() {
    let program: Arc<str> = "p".into();
    let (store, _transport, hosts) = restarted_hosts(&program).await;
    let calls = store.call_count();

    let readings = hosts.iter().map(|host| host.locator.list_batches(Instant::now()));
    assert!(join_all(readings).await.iter().all(Result::is_ok));

    // Each host lists the indexes. A reading under way is not shared by those that ask after its start, but the next one is.
    let segment_calls = store.call_count() - calls - u64::from(HOSTS);
    assert!(segment_calls <= 2 * u64::from(HOSTS), "{segment_calls} readings of {HOSTS} segments");
    assert!(hosts.iter().all(|host| recorded_total(host, &program) >= 70));
}

/// Guards against a start that waits for a host which was heard and then lost.
#[tokio::test(start_paused = true)]
async fn list_batches_reads_segments_of_a_host_that_does_not_answer() {
    let program: Arc<str> = "p".into();
    let (_store, transport, hosts) = restarted_hosts(&program).await;
    transport.remove_all();

    assert!(hosts[0].locator.list_batches(Instant::now()).await.is_ok());
    assert!(recorded_total(&hosts[0], &program) >= 70);
}
