//! Tokens that are reserved ahead of turns while a host is silent: what they save, and that they never exceed a budget.

use std::sync::Arc;

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Duration, Instant, sleep};

use super::{
    entry_fakes::{MemoryStore, exchange_message},
    silent_records::{HostRun, HostTransport, hosts_after_cut, split_hosts},
};
use crate::{
    PeerMessage,
    entry::{
        BudgetLedger, ObjectStore,
        budget_ledger::{ReserveOutcome, SpendNote},
        turn_budget::{BudgetRefusal, TurnBudget},
        written_reservations::RESERVATION_KIND,
    },
};

/// Seeds of the walk, steps of each, and tokens of a turn, which [`HostRun::reserve_of`] asks for.
const SEEDS: u64 = 40;
const STEPS: usize = 120;
const TURN_TOKENS: u64 = 50;

/// Four hosts of which the first two don't hear the others.
async fn split_pairs() -> (Arc<MemoryStore>, [HostRun; 4]) {
    split_hosts([0, 0, 1, 1]).await
}

/// Guards against a comparison through the store for each turn of a program, while a host is silent.
#[tokio::test(start_paused = true)]
async fn reserve_takes_tokens_ahead_without_a_call() {
    let (store, [a, ..]) = split_pairs().await;
    let program: Arc<str> = "program".into();
    drop(a.reserve_of(400, &program, true).await.expect("nobody else has reserved it"));

    let (calls, started) = (store.call_count(), Instant::now());
    for _ in 0..3 {
        let mut turn = a.reserve_of(400, &program, true).await.expect("reserved ahead");
        assert!(turn.spend(8, Instant::now()).await);
    }
    assert_eq!((store.call_count(), started.elapsed()), (calls, Duration::ZERO));
}

/// Guards against turns that another host refuses because of tokens that nobody uses.
#[tokio::test(start_paused = true)]
async fn reserve_of_another_host_releases_tokens_ahead() {
    let (_store, [a, b, ..]) = split_pairs().await;
    let program: Arc<str> = "program".into();
    let first = a.reserve_of(200, &program, true).await.expect("nobody else has reserved it");
    assert_eq!(a.locator.ledger.lock().local_note(&program).tokens, 150);
    let others = [
        b.reserve_of(200, &program, true).await.expect("room for four turns"),
        b.reserve_of(200, &program, true).await.expect("room for four turns"),
    ];
    assert_eq!(a.locator.ledger.lock().local_note(&program).tokens, TURN_TOKENS);
    drop((first, others));
}

/// Guards against a 402, or a 503, for concurrent turns of one program that fit into its budget: what the first one reserves
/// ahead takes no room from the others.
#[tokio::test(start_paused = true)]
async fn reserve_finds_room_for_concurrent_turns_beside_tokens_ahead() {
    let (_store, [a, ..]) = split_pairs().await;
    let program: Arc<str> = "program".into();
    let (first, second, third) = tokio::join!(
        a.reserve_of(150, &program, true),
        a.reserve_of(150, &program, true),
        a.reserve_of(150, &program, true),
    );
    assert!(first.is_ok() && second.is_ok() && third.is_ok());
}

/// Guards against a budget that counts as spent by tokens that are reserved ahead.
#[tokio::test(start_paused = true)]
async fn is_exhausted_counts_no_tokens_ahead() {
    let program: Arc<str> = "program".into();
    let mut ledger = BudgetLedger::default();
    assert_eq!(ledger.reserve(&program, 200, 50, u64::MAX), ReserveOutcome::Unconfirmed);
    let id = ledger.reserve_ahead(&program, 200, 50).expect("room");
    assert_eq!(ledger.total(&program), 150);
    assert!(!ledger.is_exhausted(&program, 200, 100, |_| false));
    ledger.keep_ahead(&program, id);
    assert!(!ledger.is_exhausted(&program, 200, 100, |_| false));
    assert!(ledger.is_exhausted(&program, 200, 151, |_| false));
}

/// Guards against the use of tokens that were released while they were compared: another host has asked meanwhile.
#[tokio::test(start_paused = true)]
async fn keep_ahead_keeps_nothing_that_was_released() {
    let program: Arc<str> = "program".into();
    let mut ledger = BudgetLedger::default();
    ledger.reserve(&program, 400, 50, u64::MAX);
    let released = ledger.reserve_ahead(&program, 400, 50).expect("room");
    assert!(ledger.release_ahead(&program));
    let pending = ledger.reserve_ahead(&program, 400, 50).expect("room");
    ledger.keep_ahead(&program, released);
    assert!(!ledger.take_ahead(&program, 400, 50), "these are not compared yet");
    ledger.release_pending_ahead(&program, released);
    assert_eq!(ledger.total(&program), 150);
    ledger.keep_ahead(&program, pending);
    assert!(ledger.take_ahead(&program, 400, 50));
}

/// Guards against tokens that stay reserved for a program that has stopped.
#[tokio::test(start_paused = true)]
async fn release_idle_ahead_waits_for_running_turns() {
    let (_store, [a, ..]) = split_pairs().await;
    let program: Arc<str> = "program".into();
    let turn = a.reserve_of(400, &program, true).await.expect("nobody else has reserved it");
    let total = || a.locator.ledger.lock().total(&program);
    let release = || a.locator.ledger.lock().release_idle_ahead(Instant::now());
    sleep(Duration::from_secs(4)).await;
    release();
    assert_eq!(total(), 150, "the turn may be followed by another one");
    drop(turn);
    sleep(Duration::from_secs(2)).await;
    release();
    assert_eq!(total(), 150);
    sleep(Duration::from_secs(1)).await;
    release();
    assert_eq!(total(), 0);
}

/// Guards against a total that is gone from the store while others still go by a reading that lacks what the turn has spent.
#[tokio::test(start_paused = true)]
async fn write_totals_keeps_the_total_of_a_long_turn_after_its_end() {
    let (store, [a, ..]) = split_pairs().await;
    let program: Arc<str> = "program".into();
    let turn = a.reserve_of(90, &program, true).await.expect("nobody else has reserved it");
    sleep(Duration::from_secs(12)).await;
    drop(turn);

    for (pause, is_kept) in [(0, true), (8, true), (3, false)] {
        sleep(Duration::from_secs(pause)).await;
        let other: Arc<str> = format!("other-{pause}").into();
        drop(a.reserve_of(90, &other, true).await.expect("nobody else has reserved it"));
        let object = store.get(RESERVATION_KIND, "a.1").await.expect("an answer").expect("totals");
        let content = object.content.expect("content");
        assert_eq!(content.get().contains("\"program\":\"program\""), is_kept, "{content}");
    }
}

/// Guards against a host that takes its share of the records' word for that of a peer which has just become responsive, and
/// has granted turns by records before.
#[tokio::test(start_paused = true)]
async fn begin_exchange_asks_peer_that_has_sent_no_update_since_it_was_silent() {
    let (transport, [run, second, third]) = hosts_after_cut().await;
    let program: Arc<str> = "program".into();
    let store = Arc::new(MemoryStore::default());
    let fourth = HostRun::start(&store, &transport, "other-4.1", 4);
    run.hear(&fourth, "other-4.1").await;
    for other in [&second, &third] {
        transport.hosts.lock().insert(other.address, Arc::clone(&other.mesh));
    }
    assert!(run.mesh.has_owners());

    // All know that this host serves the program, and the third one reserves by itself what is left.
    let mut exchange = run.mesh.begin_exchange(&program, Duration::from_secs(1));
    while exchange.is_waiting() {
        exchange.receive().await;
    }
    drop(exchange);
    third.locator.ledger.lock().reserve(&program, 100, 60, u64::MAX);
    sleep(Duration::from_secs(2)).await;
    run.mesh.send_updates();
    sleep(Duration::from_millis(10)).await;
    assert!(!run.mesh.has_failing_peer());
    assert!(run.reserve_of(100, &program, true).await.is_err(), "60 of 100 tokens are reserved");
}

/// Guards against a budget that two hosts give out at a time, as neither asks the other one: both have asked before, and have
/// withdrawn since.
#[tokio::test(start_paused = true)]
async fn begin_exchange_asks_peer_that_has_asked_and_withdrawn() {
    let (_store, [a, b, ..]) = split_hosts([0, 0, 0, 0]).await;
    let program: Arc<str> = "program".into();
    for host in [&a, &b] {
        drop(host.reserve_of(90, &program, true).await.expect("nobody else has reserved it"));
        host.mesh.send_updates();
        sleep(Duration::from_millis(10)).await;
    }
    let first = a.reserve_of(90, &program, true).await.expect("nobody else has reserved it");
    assert!(b.reserve_of(90, &program, true).await.is_err(), "50 of 90 tokens are reserved");
    drop(first);
}

/// Guards against totals that are lost as another message of the same host has overtaken theirs.
#[tokio::test(start_paused = true)]
async fn merge_message_takes_each_total_of_an_overtaken_message() {
    let (_transport, [run, ..]) = hosts_after_cut().await;
    let (early, late): (Arc<str>, Arc<str>) = ("early".into(), "late".into());
    let note = |program: &Arc<str>, tokens| SpendNote {
        program: Arc::clone(program),
        tokens,
        recorded: 0,
    };
    let writer: Arc<str> = "other-3.1".into();
    let query =
        PeerMessage::SpendQuery { writer: Arc::clone(&writer), sequence: 8, note: note(&late, 50) };
    exchange_message(&run.mesh, query).await.expect("an answer");
    run.mesh.merge_reported_spends(&writer, 7, &[note(&early, 30), note(&late, 20)]);

    let ledger = run.locator.ledger.lock();
    assert_eq!((ledger.total(&early), ledger.total(&late)), (30, 50));
}

/// Guards against tokens that were neither in the records that were read nor counted as reserved, as their run has ended in
/// between.
#[tokio::test(start_paused = true)]
async fn read_totals_counts_an_ended_run_until_its_records_are_read() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let program: Arc<str> = "program".into();
    let run = HostRun::start(&store, &transport, "run.1", 1);
    let ended = HostRun::start(&store, &transport, "ended.1", 2);
    run.hear(&ended, "ended.1").await;
    run.locator.list_batches(Instant::now()).await.expect("the store answers");
    // A run without records is forgotten.
    ended.record_for_silent_host(&"another program".into()).await;
    ended.locator.ledger.lock().reserve(&program, 100, 60, u64::MAX);
    assert!(ended.reservations.exchange(&program).await);

    // The next run answers a question, so that the earlier one is over.
    sleep(Duration::from_millis(10)).await;
    let next = HostRun::start(&store, &transport, "ended.2", 2);
    run.hear(&next, "ended.2").await;
    run.mesh.prove_run_end("ended.1").await;
    assert!(run.mesh.proved_run_end(&"ended.1".into()).is_some());

    let is_within = |run: &HostRun| {
        run.locator.ledger.lock().is_within_written(&program, 50, |writer| writer == "ended.1")
    };
    assert!(run.reservations.exchange(&program).await);
    assert!(!is_within(&run), "its last records are not read");
    assert!(run.locator.read_spends(Instant::now(), Some(Instant::now())).await);
    assert!(run.reservations.exchange(&program).await);
    assert!(is_within(&run), "its records have what it has spent");
}

/// Guards against a total that is gone with the restart of its host, while others still reuse a reading from before.
#[tokio::test(start_paused = true)]
async fn remove_of_earlier_runs_waits_until_older_readings_are_unused() {
    let (store, transport) = (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
    let ended = HostRun::start(&store, &transport, "host.1", 1);
    assert!(ended.reservations.exchange(&"program".into()).await);

    let next = HostRun::start(&store, &transport, "host.2", 1);
    let reservations = Arc::clone(&next.reservations);
    let removal = tokio::spawn(async move { reservations.remove_of_earlier_runs().await });
    sleep(Duration::from_secs(6)).await;
    assert_eq!(store.object_count(RESERVATION_KIND), 1);
    assert!(removal.await.expect("the task ends").is_ok());
    assert_eq!(store.object_count(RESERVATION_KIND), 0);
}

/// A host of the walk and the turns that run on it, with what they have spent.
struct WalkHost {
    run: HostRun,
    turns: Mutex<Vec<TurnBudget>>,
}

/// Guards against budgets that are given out on both sides of a cut by tokens that one of them has reserved ahead. All turns
/// together may spend what is reserved for them, at any time.
#[tokio::test(start_paused = true)]
async fn reserve_stays_within_budget_on_both_sides_of_a_cut() {
    let (mut granted, mut refused, mut without_call) = (0, 0, 0);

    for seed in 0..SEEDS {
        let mut random = StdRng::seed_from_u64(seed);
        let sides = [[0, 0, 1, 1], [0, 1, 1, 1]][random.random_range(0..2)];
        let (store, runs) = split_hosts(sides).await;
        let hosts = runs.map(|run| Arc::new(WalkHost { run, turns: Mutex::default() }));
        let program: Arc<str> = "program".into();
        let budget = [200, 300, 450, 600][random.random_range(0..4)];
        let spent = Arc::new(Mutex::new(0));
        let outcomes: Arc<Mutex<Vec<Result<(), BudgetRefusal>>>> = Arc::default();

        for _ in 0..STEPS {
            let host = Arc::clone(&hosts[random.random_range(0..4)]);

            match random.random_range(0..10) {
                0..5 => {
                    let (program, outcomes) = (Arc::clone(&program), Arc::clone(&outcomes));
                    let calls = store.call_count();
                    let turn = tokio::spawn(async move {
                        let turn = host.run.reserve_of(budget, &program, true).await;
                        outcomes.lock().push(turn.as_ref().map(drop).map_err(|it| *it));
                        host.turns.lock().extend(turn);
                    });
                    tokio::task::yield_now().await;
                    without_call += u64::from(turn.is_finished() && store.call_count() == calls);
                }
                5..8 => {
                    let turn = host.turns.lock().pop();
                    if let Some(mut turn) = turn {
                        let tokens = random.random_range(0..=TURN_TOKENS / 2);
                        // A turn whose spend can't be recorded yet ends without it.
                        let deadline = Instant::now() + Duration::from_millis(200);
                        *spent.lock() += tokens;
                        turn.spend(tokens, deadline).await;
                        turn.finish();
                        let _ = host.run.journal.flush_spends().await;
                    }
                }
                8 => host.run.locator.ledger.lock().release_idle_ahead(Instant::now()),
                _ => host.run.mesh.send_updates(),
            }

            sleep(Duration::from_millis(random.random_range(0..60))).await;
            let running: usize = hosts.iter().map(|it| it.turns.lock().len()).sum();
            let total = *spent.lock() + running as u64 * TURN_TOKENS;
            assert!(total <= budget, "seed {seed}: {total} of {budget} tokens");
        }

        sleep(Duration::from_secs(3)).await;
        let outcomes = outcomes.lock();
        granted += outcomes.iter().filter(|it| it.is_ok()).count();
        refused += outcomes.iter().filter(|it| it.is_err()).count();
    }

    println!("{granted} turns granted, {refused} refused, {without_call} without a call");
    assert!(granted > 300 && refused > 300 && without_call > 80);
}
