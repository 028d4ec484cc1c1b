//! Quotas under random schedules of load, cuts, kills, restarts and changed limits.

use std::sync::Arc;

use rand::{RngExt, rngs::StdRng};
use tokio::time::{Duration, Instant};

use super::quota_model::{ModelEvent, QuotaModel};
use crate::entry::quotas::{
    QuotaAnswer, QuotaLimit, known_hosts::KnownHosts, quota_reporter::QuotaReporter,
};

/// Schedules that are walked unless `QUOTA_SCHEDULES` states another number.
const DEFAULT_SCHEDULES: u64 = 20;

/// Time for which the load of a schedule lasts.
const LOAD_TIME: Duration = Duration::from_secs(14);

fn limit(rate_per_s: f64, burst: u32) -> QuotaLimit {
    QuotaLimit { rate_per_s, burst, config_version: 1 }
}

fn pick<T: Copy>(random: &mut StdRng, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

/// Schedules requests with exponential gaps at `rate_per_s`, at one host or at all. Requests that a single bucket of the
/// team's quota would refuse are left out if `is_under_quota`.
fn schedule_load(
    model: &mut QuotaModel,
    team: usize,
    hosts: &[usize],
    rate_per_s: f64,
    (begin, end): (Instant, Instant),
    is_under_quota: bool,
) {
    let QuotaLimit { rate_per_s: refill, burst, .. } = model.teams[team].limit();
    let (mut at, mut level, mut last) = (begin, f64::from(burst), begin);
    loop {
        let gap = -model.random.random_range(1e-9..1.0_f64).ln() / rate_per_s;
        at += Duration::from_secs_f64(gap);
        if at >= end {
            return;
        }
        level = (level + refill * (at - last).as_secs_f64()).min(f64::from(burst));
        last = at;
        if is_under_quota && level < 1.0 {
            continue;
        }
        level -= 1.0;
        let host = pick(&mut model.random, hosts);
        model.schedule(at, ModelEvent::Request { host, team });
    }
}

/// One random schedule. Returns the fullest window of any team, relative to what is allowed.
fn walk(seed: u64) -> f64 {
    let host_count = if seed % 10 == 9 { 60 } else { 6 };
    let quotas = [(3.0, 3), (20.0, 5), (100.0, 300), (655.0, 655), (0.5, 1), (40.0, 80)];
    let team_limits: Vec<QuotaLimit> = (0..2)
        .map(|it| {
            let (rate, burst) = quotas[(seed as usize / 2 + it * 3) % quotas.len()];
            limit(rate, burst)
        })
        .collect();
    let mut model = QuotaModel::new(seed, host_count, &team_limits);
    let start = model.now;
    let is_started_with_load = seed.is_multiple_of(4);
    let begin = start + Duration::from_millis(if is_started_with_load { 100 } else { 3_000 });
    let end = begin + LOAD_TIME;
    model.unrun_part = pick(&mut model.random, &[0.0, 0.0, 0.1, 0.5]);
    model.loss = pick(&mut model.random, &[0.0, 0.0, 0.0, 0.02, 0.2]);
    let everywhere: Vec<usize> = (0..host_count).collect();

    for (team, quota) in team_limits.iter().enumerate() {
        let is_hot = model.random.random_bool(0.4);
        let first = model.random.random_range(0..host_count);
        let hosts = if is_hot { vec![first] } else { everywhere.clone() };
        let mut at = begin;
        while at < end {
            let length = Duration::from_millis(model.random.random_range(500..5_000));
            let factor = pick(&mut model.random, &[0.0, 0.3, 0.9, 1.5, 7.5]);
            if factor > 0.0 {
                let until = (at + length).min(end);
                schedule_load(
                    &mut model,
                    team,
                    &hosts,
                    quota.rate_per_s * factor,
                    (at, until),
                    false,
                );
            }
            at += length;
        }
    }

    let fault_count = model.random.random_range(0..6);
    for _ in 0..fault_count {
        schedule_fault(&mut model, host_count, (start, end));
    }

    model.run_until(end + Duration::from_secs(1));
    let apply_time = Duration::from_secs(4);
    model.teams.iter().map(|it| it.worst_window(&model.tolerance, apply_time)).fold(0.0, f64::max)
}

fn schedule_fault(model: &mut QuotaModel, host_count: usize, (start, end): (Instant, Instant)) {
    let span = end - start;
    let at = start + span.mul_f64(model.random.random_range(0.0..1.0));
    let length = Duration::from_millis(model.random.random_range(50..6_000));
    match model.random.random_range(0..5) {
        0 => {
            let host = model.random.random_range(0..host_count);
            model.schedule(at, ModelEvent::Kill { host });
            model.schedule(at + length, ModelEvent::Start { host });
        }
        1 => {
            let group_count = model.random.random_range(2..4);
            let part = pick(&mut model.random, &[0.1, 0.3, 0.9]);
            let groups = (0..host_count)
                .map(|_| {
                    if model.random.random_bool(part) {
                        model.random.random_range(0..group_count)
                    } else {
                        0
                    }
                })
                .collect();
            model.schedule(at, ModelEvent::Cut { groups });
            model.schedule(at + length, ModelEvent::Cut { groups: vec![0; host_count] });
        }
        2 => {
            let mut host = || model.random.random_range(0..host_count);
            let links = (0..host_count).map(|_| (host(), host())).collect();
            model.schedule(at, ModelEvent::CutLinks { links });
            model.schedule(at + length, ModelEvent::CutLinks { links: Vec::new() });
        }
        3 => {
            // All hosts are lost and come back.
            for host in 0..host_count {
                let offset = Duration::from_millis(model.random.random_range(0..500));
                model.schedule(at, ModelEvent::Kill { host });
                model.schedule(at + Duration::from_secs(1) + offset, ModelEvent::Start { host });
            }
        }
        _ => {
            let team = model.random.random_range(0..model.teams.len());
            let factor = pick(&mut model.random, &[0.2, 0.5, 2.0]);
            let before = model.teams[team].limit();
            let changed = QuotaLimit {
                rate_per_s: before.rate_per_s * factor,
                burst: (f64::from(before.burst) * factor).ceil() as u32,
                config_version: 1 + (at - start).as_millis() as u64,
            };
            model.schedule(at, ModelEvent::SetLimit { team, limit: changed });
        }
    }
}

/// Guards against more requests in a window than the rule allows, whatever fails.
#[test]
fn quota_random_schedules() {
    let schedules = std::env::var("QUOTA_SCHEDULES").ok().and_then(|it| it.parse().ok());
    let count: u64 = schedules.unwrap_or(DEFAULT_SCHEDULES);
    let mut worst = (0.0, 0);
    let mut broken = Vec::new();
    for seed in 0..count {
        let fullest = walk(seed);
        if fullest > worst.0 {
            worst = (fullest, seed);
        }
        if fullest > 1.0 {
            broken.push((seed, fullest));
        }
    }
    println!(
        "{count} schedules: the fullest window has {:.3} of what is allowed (seed {})",
        worst.0, worst.1
    );
    assert!(broken.is_empty(), "windows beyond the limit: {broken:?}");
}

/// Guards against two owners of one team that both get the time of the hosts which reach both.
#[test]
fn quota_with_two_owners() {
    for owner in 0..6 {
        let mut model = QuotaModel::new(7, 6, &[limit(100.0, 50)]);
        let begin = model.now + Duration::from_secs(3);
        let end = begin + Duration::from_secs(12);
        let hosts: Vec<usize> = (0..6).collect();
        schedule_load(&mut model, 0, &hosts, 750.0, (begin, end), false);
        let lost = |it: usize| [(owner, (owner + it) % 6), ((owner + it) % 6, owner)];
        let links = (1..4).flat_map(lost).collect();
        model.schedule(begin, ModelEvent::CutLinks { links });
        model.run_until(end);
        let fullest = model.teams[0].worst_window(&model.tolerance, Duration::ZERO);
        println!("host {owner} and three others can't reach each other: {fullest:.3}");
        assert!(fullest <= 1.0, "{fullest}");
    }
}

/// Teams whose quotas are tested together, each with its load as a part of the quota, and whether one host gets all of it.
const TEAMS: [(f64, u32, f64, bool); 8] = [
    (655.0, 655, 0.5, false),
    (655.0, 655, 0.95, false),
    (655.0, 655, 0.95, true),
    (100.0, 50, 0.9, false),
    (20.0, 5, 0.95, false),
    (20.0, 5, 0.9, true),
    (3.0, 3, 0.95, false),
    (3.0, 3, 0.5, true),
];

/// Asserts the part of requests that a single bucket would accept and that are refused, by team. `cut_hosts` of 60 hosts are
/// cut off from the others for 4 s.
fn check_refusals(
    seed: u64,
    cut_hosts: usize,
    (begin_after, length): (Duration, Duration),
    max_share: f64,
) {
    let limits = TEAMS.map(|(rate, burst, ..)| limit(rate, burst));
    let mut model = QuotaModel::new(seed, 60, &limits);
    let begin = model.now + begin_after;
    let end = begin + length;

    for (team, (rate, _, factor, is_hot)) in TEAMS.iter().enumerate() {
        let hosts: Vec<usize> = if *is_hot { vec![59] } else { (0..60).collect() };
        schedule_load(&mut model, team, &hosts, rate * factor, (begin, end), true);
    }

    if cut_hosts > 0 {
        let groups = (0..60).map(|it| u8::from(it < cut_hosts)).collect();
        model.schedule(begin + Duration::from_secs(1), ModelEvent::Cut { groups });
        model.schedule(begin + Duration::from_secs(5), ModelEvent::Cut { groups: vec![0; 60] });
    }

    model.run_until(end + Duration::from_secs(1));
    let (mut refused, mut arrivals) = (0, 0);
    for (team, terms) in model.teams.iter().zip(TEAMS) {
        println!(
            "{terms:?}, {cut_hosts} cut off: {} of {} refused, {} waited",
            team.refused, team.arrivals, team.waits
        );
        refused += team.refused;
        arrivals += team.arrivals;
        assert!(team.worst_window(&model.tolerance, Duration::ZERO) <= 1.0);
    }
    let share = refused as f64 / arrivals as f64;
    println!("{cut_hosts} cut off: {:.3} % refused", share * 100.0);
    assert!(share < max_share, "{refused} of {arrivals} refused");
}

/// Guards against refusals of requests that a single bucket would accept.
#[test]
fn quota_under_the_limit_without_faults() {
    check_refusals(1, 0, (Duration::from_secs(3), Duration::from_secs(5)), 0.005);
}

/// Guards against refusals while one host in six is cut off.
#[test]
fn quota_under_the_limit_with_hosts_cut_off() {
    check_refusals(2, 10, (Duration::from_secs(3), Duration::from_secs(6)), 0.03);
}

/// Guards against a fleet that refuses most requests after all of its hosts were lost.
#[test]
fn quota_after_a_start_of_all_hosts() {
    check_refusals(3, 0, (Duration::from_millis(300), Duration::from_secs(2)), 0.2);
}

/// Guards against a cut-off host whose part of the rate others use at the same time.
#[test]
fn known_hosts_counts_a_lost_one_for_a_minute() {
    let (mut known, now) = (KnownHosts::default(), Instant::now());
    let names: [Arc<str>; 3] = ["a".into(), "b".into(), "c".into()];
    let listed = |is_draining: [bool; 3]| names.clone().into_iter().zip(is_draining);
    let later = |seconds| now + Duration::from_secs(seconds);
    assert_eq!(known.update(now, listed([false; 3])), 3);
    assert_eq!(known.update(later(59), listed([false; 3]).take(1)), 3, "two are gone");
    assert_eq!(known.update(later(61), listed([false; 3]).take(1)), 1);
    assert_eq!(known.update(later(62), listed([false, true, false])), 3, "one drains");
    assert_eq!(known.update(later(63), listed([false, false, false]).take(1)), 2, "it has ended");
}

/// Guards against a cut-off host that still uses its part of the rate when the others have taken it over.
#[test]
fn quota_reporter_cut_off_for_long_hands_nothing_over() {
    let now = Instant::now();
    let mut reporter = QuotaReporter::new(now, "a".into(), "a.1".into());
    let mut delegated_at = |seconds| {
        let at = now + Duration::from_secs(seconds);
        reporter.set_peers(at, Vec::new(), 4, false);
        let (owner, report) = reporter.next_reports(at).remove(0);
        let answer = QuotaAnswer { knows_view: true, grants: Vec::new() };
        reporter.take_answer(at, &owner, &report, at, &answer);
        report.delegated_us
    };
    assert_eq!(delegated_at(0), 0);
    assert!(delegated_at(49) > 0);
    assert_eq!(delegated_at(51), 0);
}
