//! Time that the decisions on quotas take: of one request, and of a round of 100 ms in which each scheduler has a request of
//! each team and reports to each owner. All schedulers' work of the round is measured together.

use criterion::{BenchmarkId, Criterion, criterion_group, criterion_main};
use ragwortknot::LoadedQuotas;

/// Numbers of schedulers and of teams: those of a deployment, and of the largest model test.
const SIZES: [(usize, usize); 3] = [(6, 78), (18, 78), (60, 78)];

fn bench_quotas(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("quotas");

    for (hosts, teams) in SIZES {
        let parameter = format!("{hosts} schedulers, {teams} teams");
        let mut quotas = LoadedQuotas::new(hosts, teams);
        let id = BenchmarkId::new("request", &parameter);
        group.bench_function(id, |bencher| bencher.iter(|| quotas.run_request()));
        let mut quotas = LoadedQuotas::new(hosts, teams);
        let id = BenchmarkId::new("round of all schedulers", &parameter);
        group.bench_function(id, |bencher| bencher.iter(|| quotas.run_round()));
    }

    group.finish();
}

criterion_group!(benches, bench_quotas);
criterion_main!(benches);
