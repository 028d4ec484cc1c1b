//! The configuration under random interleavings of operators, lost answers, restarts and pushes out of order.

use std::{
    collections::BTreeMap,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use rand::{RngExt, SeedableRng, rngs::StdRng, seq::SliceRandom};
use serde_json::json;

use super::{
    memory_platform::{FaultChances, MemoryPlatform},
    polling::{PolledTask, block_on, poll_once},
};
use crate::{
    ConfigEntry, ConfigStore, PlatformClient, ProblemKind, RequestOutcome, WriterId,
    configuration::config_document::key_hash,
};

const SEEDS: u64 = 60;
const STEPS: usize = 400;
const HOSTS: usize = 3;

/// Patches that operators were told are accepted, by number, with the weight that each sets.
type Accepted = Arc<Mutex<BTreeMap<u64, u32>>>;

fn patch(weight: u32) -> serde_json::Value {
    json!({ "teams": { "tuul": { "key_hash": &*key_hash("key"), "weight": weight } } })
}

async fn operate(store: Arc<ConfigStore>, weight: u32, accepted: Accepted) {
    let number = store.number();

    if let Ok(entry) = store.patch(number, &patch(weight)).await {
        let before = accepted.lock().insert(entry.number, weight);
        assert_eq!(before, None, "number {} was accepted twice", entry.number);
    }
}

fn store(platform: &Arc<MemoryPlatform>, writer: u64) -> Arc<ConfigStore> {
    let platform: Arc<dyn PlatformClient> = Arc::clone(platform) as Arc<dyn PlatformClient>;
    Arc::new(ConfigStore::new(platform, WriterId(writer), Duration::ZERO))
}

fn run_seed(seed: u64) -> usize {
    let platform = MemoryPlatform::new(seed, FaultChances { refuse: 0, lose: 10 });
    let accepted = Accepted::default();
    let mut random = StdRng::seed_from_u64(seed);
    let mut stores: Vec<Arc<ConfigStore>> =
        (0..HOSTS).map(|host| store(&platform, host as u64)).collect();
    let mut numbers = [0; HOSTS];
    let mut tasks: Vec<(usize, PolledTask)> = Vec::new();

    for step in 0..STEPS {
        let host = random.random_range(0..HOSTS);

        match random.random_range(0..10) {
            0 | 1 => {
                let weight = step as u32 + 1;
                let task = operate(Arc::clone(&stores[host]), weight, Arc::clone(&accepted));
                tasks.push((host, Box::pin(task)));
            }
            2 => push(&stores, host, &mut random),
            3 if random.random_bool(0.1) => {
                tasks.retain(|(owner, _)| *owner != host);
                stores[host] = restart(&platform, &stores, host, step);
            }
            _ => {
                let mut rest = Vec::new();

                for (owner, mut task) in std::mem::take(&mut tasks) {
                    let is_polled = random.random_bool(0.6);

                    if !is_polled || !poll_once(&mut task) {
                        rest.push((owner, task));
                    }
                }

                tasks = rest;
            }
        }

        check(&stores, &mut numbers, &accepted);
    }

    accepted.lock().len()
}

/// One host's entries reach another, in any order and with gaps.
fn push(stores: &[Arc<ConfigStore>], from: usize, random: &mut StdRng) {
    let mut entries: Vec<ConfigEntry> = stores[from].entries_after(0);
    entries.shuffle(random);
    entries.truncate(random.random_range(0..=entries.len()));
    stores[(from + 1) % HOSTS].learn(entries);
}

/// A host that starts asks the platform and its peers before it serves.
fn restart(
    platform: &Arc<MemoryPlatform>,
    stores: &[Arc<ConfigStore>],
    host: usize,
    step: usize,
) -> Arc<ConfigStore> {
    let fresh = store(platform, (step * HOSTS + host) as u64);
    while block_on(fresh.pull()).is_err() {}
    let peer = &stores[(host + 1) % HOSTS];
    fresh.learn(peer.entries_after(fresh.number()));
    fresh
}

fn check(stores: &[Arc<ConfigStore>], numbers: &mut [u64; HOSTS], accepted: &Accepted) {
    let accepted = accepted.lock();

    for (host, store) in stores.iter().enumerate() {
        let state = store.document();
        assert!(state.number >= numbers[host], "host {host} went back to {}", state.number);
        numbers[host] = state.number;

        if let Some(weight) = accepted.get(&state.number) {
            let team = state.document.teams.values().next().expect("a team");
            assert_eq!(team.weight, *weight, "host {host} has another number {}", state.number);
        }
    }
}

#[test]
fn config_random_interleavings() {
    let total = AtomicUsize::new(0);

    bolero::check!().exhaustive().with_generator(0..SEEDS).cloned().for_each(|seed| {
        total.fetch_add(run_seed(seed), Ordering::Relaxed);
    });

    assert!(total.load(Ordering::Relaxed) > SEEDS as usize, "the walks must accept patches");
}

#[test]
fn patch_refusals() {
    let platform = MemoryPlatform::new(0, FaultChances::default());
    let store = store(&platform, 1);
    block_on(store.patch(0, &patch(3))).expect("the first patch is accepted");

    let rows = [
        (0, patch(4), ProblemKind::ConfigStale),
        (2, patch(4), ProblemKind::ConfigStale),
        (1, json!({ "teams": { "tuul": { "weight": 0 } } }), ProblemKind::ConfigInvalid),
        (1, json!({ "teems": {} }), ProblemKind::ConfigInvalid),
        (1, json!({ "teams": { "other": { "key_hash": "12" } } }), ProblemKind::ConfigInvalid),
        (
            1,
            json!({ "upstreams": { "e": { "region": "r", "model": "m", "url": "http://h:1" } } }),
            ProblemKind::ConfigInvalid,
        ),
        (
            1,
            json!({ "teams": { "ebro": { "key_hash": &*key_hash("key") } } }),
            ProblemKind::ConfigInvalid,
        ),
    ];

    for (number, patch, expected) in rows {
        let problem = block_on(store.patch(number, &patch)).expect_err("the patch is refused");
        assert_eq!(problem.kind, expected, "{patch}");
        assert_eq!(problem.outcome, RequestOutcome::NotRun, "{patch}");
        assert_eq!(store.number(), 1);
    }
}

#[test]
fn pull_begins_with_snapshot() {
    let platform = MemoryPlatform::new(0, FaultChances::default());
    let first = store(&platform, 1);

    for number in 0..600 {
        block_on(first.patch(number, &patch(number as u32 + 1))).expect("the patch is accepted");
    }

    let second = store(&platform, 2);
    assert_eq!(block_on(second.pull()), Ok(600));
    assert_eq!(second.document().document, first.document().document);
    assert_eq!(second.entries_after(0).len(), 600 - 512, "only the tail is read");
}
