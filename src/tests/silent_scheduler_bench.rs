//! Bench of turns with a token budget while one scheduler is silent, in virtual time: how long they wait for their part of the
//! budget, and which calls to the store they cause. See docs/design/platform.md, "While a scheduler is silent".

use std::{collections::BTreeMap, sync::Arc};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::time::{Duration, Instant, sleep, sleep_until};

use super::{
    entry_fakes::MemoryStore,
    silent_records::{HostRun, HostTransport},
};
use crate::entry::{
    StoreMonitor,
    turn_budget::{BudgetContext, TurnBudget},
};

/// Budget of a program and most tokens of a turn, as in the days of one customer.
const BUDGET: u64 = 1_725;
const TURN_TOKENS: u64 = 575;

/// Programs that begin each second at a host, and turns of each.
const PROGRAMS_PER_S: f64 = 2.0;
const TURNS: u64 = 5;

/// Time that a turn runs, and pause before the next one.
const TURN_TIME: Duration = Duration::from_millis(200);
const PAUSE: Duration = Duration::from_millis(250);

/// Time that is measured in each phase, and time before it.
const PHASE: Duration = Duration::from_secs(8);
const SETTLING: Duration = Duration::from_secs(6);

/// Time of an exchange between two hosts, and largest page of the store.
const EXCHANGE_TIME: Duration = Duration::from_millis(2);
const PAGE_ITEMS: usize = 100;

/// What the turns of a phase have waited.
#[derive(Debug, Default)]
struct PhaseWaits {
    waits: Vec<Duration>,
    refused: usize,
}

#[derive(Debug)]
struct PhaseReport {
    turns: usize,
    refused: usize,
    median_ms: u128,
    late_ms: u128,
    calls: BTreeMap<(&'static str, String), u64>,
}

/// Hosts that serve programs, each its own, as schedulers do that own them.
struct BenchFleet {
    store: Arc<MemoryStore>,
    transport: Arc<HostTransport>,
    runs: Vec<Arc<HostRun>>,
    updates: Vec<tokio::task::JoinHandle<()>>,
    waits: Arc<Mutex<PhaseWaits>>,
}

impl BenchFleet {
    async fn start(count: usize) -> Self {
        let (store, transport) =
            (Arc::new(MemoryStore::default()), Arc::<HostTransport>::default());
        store.set_page_items(PAGE_ITEMS);
        *transport.delay.lock() = EXCHANGE_TIME;
        let writer = |index: usize| format!("host-{index}.1");
        let runs: Vec<Arc<HostRun>> = (0..count)
            .map(|index| {
                Arc::new(HostRun::start(&store, &transport, &writer(index), 1 + index as u16))
            })
            .collect();

        for run in &runs {
            run.locator.ledger.lock().set_local_writer(Arc::clone(&run.mesh.identity.writer));
            for (index, other) in runs.iter().enumerate() {
                if other.address != run.address {
                    run.hear(other, &writer(index)).await;
                }
            }
        }

        let updates = runs.iter().map(|it| tokio::spawn(Arc::clone(&it.mesh).run())).collect();
        for run in &runs {
            tokio::spawn(StoreMonitor::new(Arc::clone(&store) as Arc<_>).run());
            let (reservations, ledger) =
                (Arc::clone(&run.reservations), Arc::clone(&run.locator.ledger));
            tokio::spawn(async move {
                loop {
                    sleep(Duration::from_secs(1)).await;
                    ledger.lock().release_idle_ahead(Instant::now());
                    reservations.remove_unneeded().await;
                }
            });
        }
        Self { store, transport, runs, updates, waits: Arc::default() }
    }

    /// Ends a host without a word to the others.
    fn kill(&self, index: usize) {
        self.updates[index].abort();
        self.transport.hosts.lock().remove(&self.runs[index].address);
    }

    /// Plays one phase on all hosts but the first one, and reports what has come of it.
    async fn play(&self, seed: u64) -> PhaseReport {
        let begin = Instant::now();

        for (index, run) in self.runs.iter().enumerate().skip(1) {
            let (run, waits) = (Arc::clone(run), Arc::clone(&self.waits));
            let mut random = StdRng::seed_from_u64(seed * 1_000 + index as u64);
            tokio::spawn(async move {
                let mut number = 0;
                while begin.elapsed() < SETTLING + PHASE {
                    let gap = -random.random_range(0.001_f64..1.0).ln() / PROGRAMS_PER_S;
                    sleep(Duration::from_secs_f64(gap)).await;
                    number += 1;
                    let program: Arc<str> = format!("{seed}-{index}-{number}").into();
                    let turns = play_program(
                        Arc::clone(&run),
                        program,
                        StdRng::seed_from_u64(random.random()),
                        Arc::clone(&waits),
                    );
                    tokio::spawn(turns);
                }
            });
        }

        sleep_until(begin + SETTLING).await;
        self.store.take_calls();
        *self.waits.lock() = PhaseWaits::default();
        sleep_until(begin + SETTLING + PHASE).await;
        let calls = self.store.take_calls();
        let PhaseWaits { mut waits, refused } = std::mem::take(&mut *self.waits.lock());
        waits.sort();
        PhaseReport {
            turns: waits.len(),
            refused,
            median_ms: waits[waits.len() / 2].as_millis(),
            late_ms: waits[waits.len() * 9 / 10].as_millis(),
            calls,
        }
    }
}

/// Runs the turns of a program one after the other, each of which is recorded as it ends.
async fn play_program(
    run: Arc<HostRun>,
    program: Arc<str>,
    mut random: StdRng,
    waits: Arc<Mutex<PhaseWaits>>,
) {
    run.locator.ledger.lock().mark_history(&program);
    let context = BudgetContext {
        ledger: Arc::clone(&run.locator.ledger),
        journal: Arc::clone(&run.journal),
        mesh: Arc::clone(&run.mesh),
        locator: Arc::clone(&run.locator),
        reservations: Arc::clone(&run.reservations),
    };

    for _ in 0..TURNS {
        let asked = Instant::now();
        let deadline = asked + Duration::from_millis(1_500);
        let granted =
            TurnBudget::reserve(&context, &program, BUDGET, TURN_TOKENS, true, deadline).await;
        let Ok(mut budget) = granted else {
            waits.lock().refused += 1;
            return;
        };
        waits.lock().waits.push(asked.elapsed());
        sleep(TURN_TIME).await;
        let spent = random.random_range(60..280);
        assert!(budget.spend(spent, Instant::now() + Duration::from_secs(5)).await);
        budget.finish();
        let _ = run.journal.flush_spends().await;
        sleep(PAUSE).await;
    }
}

#[tokio::test(start_paused = true)]
async fn bench_turns_beside_a_silent_scheduler() {
    for count in [6, 8, 18] {
        let fleet = BenchFleet::start(count).await;
        sleep(Duration::from_secs(6)).await;

        for (seed, phase) in [(1, "all heard"), (2, "one silent")] {
            if phase == "one silent" {
                fleet.kill(0);
            }
            let report = fleet.play(seed).await;
            let calls: u64 = report.calls.values().sum();
            println!(
                "{count} schedulers, {phase}: {} turns, {} refused, wait p50 {} ms, p90 {} ms; {calls} calls, {:.2} a turn, \
                 {:.1} a host and second; {:?}",
                report.turns,
                report.refused,
                report.median_ms,
                report.late_ms,
                calls as f64 / report.turns as f64,
                calls as f64 / (count - 1) as f64 / PHASE.as_secs_f64(),
                report.calls,
            );
        }
    }
}
