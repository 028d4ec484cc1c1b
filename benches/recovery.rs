//! Benchmarks of recovery from a crash, of writes to the platform and of the latency of calls, with each host as a
//! process. CI doesn't run them, since their results depend on the machine's speed.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use ragwortknot_standins::PlatformFaults;
use serde_json::json;
use support::{
    api_caller::{call_body, turn_body},
    test_cluster::{SIX_HOSTS, TestCluster},
};
use tokio::task::JoinSet;

/// Number of programs that the killed host owns.
const PROGRAM_COUNT: usize = 1_000;

/// Turns per second at which platform writes are counted.
const TURN_RATES: [u32; 4] = [1, 10, 100, 500];

/// Time for which turns are sent at each rate.
const RATE_DURATION: Duration = Duration::from_secs(6);

#[tokio::main]
async fn main() {
    measure_recovery().await;
    measure_writes_per_turn().await;
    measure_call_latency().await;
}

/// Measures the time from `kill -9` of an owner to the next completed turn of each of its programs.
async fn measure_recovery() {
    let mut cluster = TestCluster::start("bench_recovery", &SIX_HOSTS).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut programs = Vec::new();
    let owner = cluster.hosts[0].callers;

    while programs.len() < PROGRAM_COUNT {
        let program = cluster.caller.create_program(owner, 50_000).await;
        let response = cluster.caller.send_turn(owner, &program, 1, &turn_body("before")).await;
        assert!(response.is_some_and(|it| it.is_completed()));
        programs.push(program);
    }

    cluster.kill_host("ub-1");
    let killed = Instant::now();
    let mut turns = JoinSet::new();

    for (index, program) in programs.into_iter().enumerate() {
        let mut workload = cluster.workload(index as u64);

        turns.spawn(async move {
            workload.run_turn(&program, 2).await;
            killed.elapsed()
        });
    }

    let mut recovery_times = Histogram::<u64>::new(3).expect("a valid precision");

    for time in turns.join_all().await {
        recovery_times.record(time.as_millis() as u64).expect("the histogram grows as needed");
    }

    println!(
        "recovery of {PROGRAM_COUNT} programs: p50 {} ms, p95 {} ms, max {} ms (target: p95 3000 ms)",
        recovery_times.value_at_quantile(0.5),
        recovery_times.value_at_quantile(0.95),
        recovery_times.max(),
    );
}

/// Measures the platform writes per turn of one shard, at several rates.
async fn measure_writes_per_turn() {
    let extra_settings = "";
    let hosts = &SIX_HOSTS[..1];
    let cluster = TestCluster::start_with("bench_writes", hosts, extra_settings, json!({})).await;
    let host = cluster.hosts[0].callers;
    let first_program = cluster.caller.create_program(host, 50_000).await;
    // The id of a program begins with its shard, for example `p-0012-`.
    let shard_prefix = first_program[..7].to_owned();
    let mut programs = Vec::new();

    while programs.len() < 600 {
        let program = cluster.caller.create_program(host, 1_000_000).await;

        if program.starts_with(&shard_prefix) {
            programs.push(program);
        }
    }

    let mut turn_numbers = vec![0; programs.len()];
    tokio::time::sleep(Duration::from_secs(20)).await;

    for rate in TURN_RATES {
        let counts_before = cluster.platform.counts();
        let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
        let mut turns = JoinSet::new();
        let count = (RATE_DURATION.as_secs() as u32 * rate) as usize;

        for sent in 0..count {
            interval.tick().await;
            let index = sent % programs.len();
            turn_numbers[index] += 1;
            let (program, number) = (programs[index].clone(), turn_numbers[index]);
            let caller = cluster.caller.clone();
            turns.spawn(
                async move { caller.send_turn(host, &program, number, &turn_body("x")).await },
            );
        }

        let responses = turns.join_all().await;
        let completed =
            responses.iter().flatten().filter(|response| response.is_completed()).count();
        let counts_after = cluster.platform.counts();
        let writes = counts_after.writes - counts_before.writes;

        println!(
            "{rate} turns/s in one shard: {completed} of {count} completed, {:.2} writes per turn, \
             {} bytes written per turn",
            writes as f64 / completed as f64,
            (counts_after.written_bytes - counts_before.written_bytes) / completed as u64,
        );
    }
}

/// Measures the latency that logging its intent adds to a call that isn't repeatable, while each request to the
/// platform takes 20 ms.
async fn measure_call_latency() {
    let cluster = TestCluster::start("bench_calls", &SIX_HOSTS[..1]).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 50_000).await;
    let delay_ms = 20;
    cluster.platform.set_faults(PlatformFaults { delay_ms, ..PlatformFaults::default() });
    let mut not_repeatable = Histogram::<u64>::new(3).expect("a valid precision");
    let mut repeatable = Histogram::<u64>::new(3).expect("a valid precision");

    for number in 1..=100 {
        let mut body = call_body("x");
        body["repeatable"] = json!(number % 2 == 0);
        let started = Instant::now();
        let response = cluster.caller.send_call(host, &program, number, &body).await;
        assert!(response.is_some_and(|it| it.is_completed()));
        let latencies = if number % 2 == 0 { &mut repeatable } else { &mut not_repeatable };
        latencies
            .record(started.elapsed().as_micros() as u64)
            .expect("the histogram grows as needed");
    }

    println!(
        "calls with a platform delay of {delay_ms} ms: not repeatable p50 {} us, repeatable p50 {} us \
         (target: a difference of one write, {delay_ms} ms)",
        not_repeatable.value_at_quantile(0.5),
        repeatable.value_at_quantile(0.5),
    );
}
