//! Cost of one request through the queue of a cell: its arrival, the end of another one, and the decisions that
//! follow. The target is 20 microseconds at the 95th percentile with 65 upstreams and 2,000 waiting.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ragwortknot::LoadedQueue;

/// Upstreams and waiting requests; the second is ten times the size of the first.
const SIZES: [(usize, usize); 3] = [(65, 2_000), (650, 2_000), (650, 20_000)];

fn rounds(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request through the queue");

    for (upstreams, waiting) in SIZES {
        let id = BenchmarkId::from_parameter(format!("{upstreams} upstreams, {waiting} waiting"));
        let mut queue = LoadedQueue::new(upstreams, waiting);
        group.bench_function(id, |bencher| bencher.iter(|| queue.round()));
    }

    group.finish();
}

criterion_group!(benches, rounds);
criterion_main!(benches);
