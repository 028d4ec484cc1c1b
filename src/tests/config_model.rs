//! The configuration under random interleavings of patches, lost responses, restarts and pushes out of order: an
//! accepted patch keeps its number on every host, and no host goes back to a lower number.

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
    memory_platform::{FaultRates, MemoryPlatform},
    polling::{PolledTask, block_on, poll_once},
};
use crate::{
    ConfigEntry, ConfigStore, PlatformClient, ProblemKind, RequestOutcome, WriterId,
    configuration::config_document::key_hash,
};

/// Seeds of the random interleavings.
const SEEDS: u64 = 60;

/// Steps for each seed.
const STEPS: usize = 400;
const HOSTS: usize = 3;

/// Weights that accepted patches set, by the number of the patch.
type AcceptedWeights = Arc<Mutex<BTreeMap<u64, u32>>>;

fn patch(weight: u32) -> serde_json::Value {
    json!({ "teams": { "tuul": { "key_hash": &*key_hash("key"), "weight": weight } } })
}

/// Patches the configuration as an operator does, and records an accepted patch.
async fn patch_weight(store: Arc<ConfigStore>, weight: u32, accepted: AcceptedWeights) {
    let number = store.number();

    if let Ok(entry) = store.patch(number, &patch(weight)).await {
        let previous = accepted.lock().insert(entry.number, weight);
        assert_eq!(previous, None, "two patches were accepted as number {}", entry.number);
    }
}

fn store(platform: &Arc<MemoryPlatform>, writer: u64) -> Arc<ConfigStore> {
    let platform: Arc<dyn PlatformClient> = Arc::clone(platform) as Arc<dyn PlatformClient>;
    Arc::new(ConfigStore::new(platform, WriterId(writer), Duration::ZERO))
}

/// Runs one interleaving. Returns the number of accepted patches.
fn run_seed(seed: u64) -> usize {
    let platform =
        MemoryPlatform::new(seed, FaultRates { refusal_percent: 0, lost_response_percent: 10 });
    let accepted = AcceptedWeights::default();
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
                let task = patch_weight(Arc::clone(&stores[host]), weight, Arc::clone(&accepted));
                tasks.push((host, Box::pin(task)));
            }
            2 => push_random(&stores, host, &mut random),
            3 if random.random_bool(0.1) => {
                tasks.retain(|(owner, _)| *owner != host);
                stores[host] = restart(&platform, &stores, host, step);
            }
            _ => {
                let mut pending = Vec::new();

                for (owner, mut task) in std::mem::take(&mut tasks) {
                    let is_polled = random.random_bool(0.6);

                    if !is_polled || !poll_once(&mut task) {
                        pending.push((owner, task));
                    }
                }

                tasks = pending;
            }
        }

        check_invariants(&stores, &mut numbers, &accepted);
    }

    accepted.lock().len()
}

/// Pushes the entries of one host to the next one, in random order and with gaps.
fn push_random(stores: &[Arc<ConfigStore>], from: usize, random: &mut StdRng) {
    let mut entries: Vec<ConfigEntry> = stores[from].entries_after(0);
    entries.shuffle(random);
    entries.truncate(random.random_range(0..=entries.len()));
    stores[(from + 1) % HOSTS].merge(entries);
}

/// Replaces a host by one without state, which pulls from the platform and from a peer before it serves.
fn restart(
    platform: &Arc<MemoryPlatform>,
    stores: &[Arc<ConfigStore>],
    host: usize,
    step: usize,
) -> Arc<ConfigStore> {
    let fresh = store(platform, (step * HOSTS + host) as u64);
    while block_on(fresh.pull()).is_err() {}
    let peer = &stores[(host + 1) % HOSTS];
    fresh.merge(peer.entries_after(fresh.number()));
    fresh
}

/// Checks that no number has decreased, and that each number in force has its accepted patch. `numbers` are those of
/// the last check.
fn check_invariants(
    stores: &[Arc<ConfigStore>],
    numbers: &mut [u64; HOSTS],
    accepted: &AcceptedWeights,
) {
    let accepted = accepted.lock();

    for (host, store) in stores.iter().enumerate() {
        let state = store.state();
        assert!(state.number >= numbers[host], "host {host} went back to {}", state.number);
        numbers[host] = state.number;

        if let Some(weight) = accepted.get(&state.number) {
            let team = state.document.teams.values().next().expect("the configuration has a team");
            assert_eq!(
                team.weight, *weight,
                "host {host} has another configuration {}",
                state.number
            );
        }
    }
}

#[test]
fn config_random_interleavings() {
    let total = AtomicUsize::new(0);

    bolero::check!().exhaustive().with_generator(0..SEEDS).cloned().for_each(|seed| {
        total.fetch_add(run_seed(seed), Ordering::Relaxed);
    });

    assert!(
        total.load(Ordering::Relaxed) > SEEDS as usize,
        "too few patches were accepted for the test to mean anything"
    );
}

#[test]
fn patch_refusals() {
    let platform = MemoryPlatform::new(0, FaultRates::default());
    let store = store(&platform, 1);
    block_on(store.patch(0, &patch(3))).expect("the first patch is accepted");

    let cases = [
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

    for (number, patch, expected) in cases {
        let problem = block_on(store.patch(number, &patch)).expect_err("the patch is refused");
        assert_eq!(problem.kind, expected, "{patch}");
        assert_eq!(problem.outcome, RequestOutcome::NotRun, "{patch}");
        assert_eq!(store.number(), 1);
    }
}

#[test]
fn pull_begins_with_snapshot() {
    let platform = MemoryPlatform::new(0, FaultRates::default());
    let first = store(&platform, 1);

    for number in 0..600 {
        block_on(first.patch(number, &patch(number as u32 + 1))).expect("the patch is accepted");
    }

    let second = store(&platform, 2);
    assert_eq!(block_on(second.pull()), Ok(600));
    assert_eq!(second.state().document, first.state().document);
    assert_eq!(
        second.entries_after(0).len(),
        600 - 512,
        "only the entries after the snapshot are read"
    );
}
