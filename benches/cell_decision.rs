//! Time that a cell's queue takes per request: to handle its arrival and the end of another request, and to make the
//! decisions that follow. The target is 20 microseconds at the 95th percentile with 65 upstreams and 2,000 waiting
//! requests.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ragwortknot::LoadedQueue;

/// Numbers of upstreams and of waiting requests: those of the target, ten times the upstreams, and ten times both.
const SIZES: [(usize, usize); 3] = [(65, 2_000), (650, 2_000), (650, 20_000)];

fn bench_rounds(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("request through the queue");

    for (upstreams, waiting) in SIZES {
        let id = BenchmarkId::from_parameter(format!("{upstreams} upstreams, {waiting} waiting"));
        let mut queue = LoadedQueue::new(upstreams, waiting);
        group.bench_function(id, |bencher| bencher.iter(|| queue.run_round()));
    }

    group.finish();
}

criterion_group!(benches, bench_rounds);
criterion_main!(benches);
