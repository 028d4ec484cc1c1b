//! Recovery and the platform's calls, over real processes. Not run by CI: its figures are times.

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

/// Programs of the host that is killed.
const PROGRAM_COUNT: usize = 1_000;

/// Turns a second whose writes are counted, each for this time.
const TURN_RATES: [u32; 4] = [1, 10, 100, 500];
const RATE_TIME: Duration = Duration::from_secs(6);

#[tokio::main]
async fn main() {
    recovery().await;
    writes_per_turn().await;
    call_latency().await;
}

/// Time from kill -9 of an owner to the next completed turn of each of its programs.
async fn recovery() {
    let mut cluster = TestCluster::start("bench_recovery", &SIX_HOSTS).await;
    tokio::time::sleep(Duration::from_secs(3)).await;
    let mut programs = Vec::new();
    let victim = cluster.hosts[0].callers;

    while programs.len() < PROGRAM_COUNT {
        let program = cluster.caller.create_program(victim, 50_000).await;
        let answer = cluster.caller.send_turn(victim, &program, 1, &turn_body("before")).await;
        assert!(answer.is_some_and(|it| it.is_completed()));
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

    let mut times = Histogram::<u64>::new(3).expect("a histogram");

    for time in turns.join_all().await {
        times.record(time.as_millis() as u64).expect("a time");
    }

    println!(
        "recovery of {PROGRAM_COUNT} programs: p50 {} ms, p95 {} ms, max {} ms (target: p95 3000 ms)",
        times.value_at_quantile(0.5),
        times.value_at_quantile(0.95),
        times.max(),
    );
}

/// Writes to the platform for each turn of one shard, at several rates.
async fn writes_per_turn() {
    let extra = "";
    let hosts = &SIX_HOSTS[..1];
    let cluster = TestCluster::start_with("bench_writes", hosts, extra, json!({})).await;
    let host = cluster.hosts[0].callers;
    let first = cluster.caller.create_program(host, 50_000).await;
    let shard = first[..7].to_owned();
    let mut programs = Vec::new();

    while programs.len() < 600 {
        let program = cluster.caller.create_program(host, 1_000_000).await;

        if program.starts_with(&shard) {
            programs.push(program);
        }
    }

    let mut numbers = vec![0; programs.len()];
    tokio::time::sleep(Duration::from_secs(20)).await;

    for rate in TURN_RATES {
        let before = cluster.platform.counts();
        let mut interval = tokio::time::interval(Duration::from_secs(1) / rate);
        let mut turns = JoinSet::new();
        let count = (RATE_TIME.as_secs() as u32 * rate) as usize;

        for index in 0..count {
            interval.tick().await;
            let slot = index % programs.len();
            numbers[slot] += 1;
            let (program, number) = (programs[slot].clone(), numbers[slot]);
            let caller = cluster.caller.clone();
            turns.spawn(
                async move { caller.send_turn(host, &program, number, &turn_body("x")).await },
            );
        }

        let answers = turns.join_all().await;
        let completed = answers.iter().flatten().filter(|answer| answer.is_completed()).count();
        let after = cluster.platform.counts();
        let writes = after.writes - before.writes;

        println!(
            "{rate} turns/s of one shard: {completed} of {count} completed, {:.2} writes a turn, \
             {} bytes written a turn",
            writes as f64 / completed as f64,
            (after.written_bytes - before.written_bytes) / completed as u64,
        );
    }
}

/// What logging its intent adds to a call that may not be repeated, with a platform that takes 20 ms for each call.
async fn call_latency() {
    let cluster = TestCluster::start("bench_calls", &SIX_HOSTS[..1]).await;
    let host = cluster.hosts[0].callers;
    let program = cluster.caller.create_program(host, 50_000).await;
    let delay_ms = 20;
    cluster.platform.set_faults(PlatformFaults { delay_ms, ..PlatformFaults::default() });
    let mut once = Histogram::<u64>::new(3).expect("a histogram");
    let mut repeatable = Histogram::<u64>::new(3).expect("a histogram");

    for number in 1..=100 {
        let mut body = call_body("x");
        body["repeatable"] = json!(number % 2 == 0);
        let started = Instant::now();
        let answer = cluster.caller.send_call(host, &program, number, &body).await;
        assert!(answer.is_some_and(|it| it.is_completed()));
        let times = if number % 2 == 0 { &mut repeatable } else { &mut once };
        times.record(started.elapsed().as_micros() as u64).expect("a time");
    }

    println!(
        "calls with a platform of {delay_ms} ms: not repeatable p50 {} us, repeatable p50 {} us \
         (target: one write of {delay_ms} ms between them)",
        once.value_at_quantile(0.5),
        repeatable.value_at_quantile(0.5),
    );
}
