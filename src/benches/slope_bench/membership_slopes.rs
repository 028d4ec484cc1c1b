//! Membership protocol of many hosts, simulated in one process: bytes that each host sends, processor time, and time
//! until all hosts have detected a failure.

use std::{hint::black_box, time::Instant};

use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::{linear_fit::LinearFit, process_usage::allocated_bytes};
use crate::{
    HostName, HostPhase, HostRecord, MemberStatus, MembershipTable, PeerMessage, ShardId,
    encode_frame,
};

/// Time between two probes that a host sends.
const PROBE_INTERVAL_MS: u64 = 300;

/// Time after which a suspected host is declared dead.
const SUSPICION_TIMEOUT_MS: u64 = 1_200;

/// Bytes that UDP, IP and QUIC add to the messages of one probe and its acknowledgement.
const PACKET_OVERHEAD_BYTES: f64 = 260.0;

/// Rounds after which the detection of a failure is given up. The measurement reports this number then.
const MAX_ROUNDS: u64 = 400;

/// Hosts that exchange messages in rounds of one probe interval, in virtual time.
struct MemberSimulation {
    /// Membership table of each host.
    tables: Vec<MembershipTable>,
    /// Whether each host is running.
    is_up: Vec<bool>,
    now_ms: u64,
    random: StdRng,
    /// Encoded size of all messages sent so far, by all hosts.
    sent_bytes: u64,
}

fn host_name(host: usize) -> HostName {
    (&*format!("host-{host:04}")).into()
}

fn host_record(host: usize) -> HostRecord {
    HostRecord {
        name: host_name(host),
        region: "ub-a".into(),
        peer_address: ([127, 0, 0, 1], host as u16 + 1).into(),
        is_leaving: false,
    }
}

impl MemberSimulation {
    /// Creates hosts that consider each other alive, and runs a first round that doesn't count in `sent_bytes`.
    fn new(hosts: usize) -> Self {
        let records: Vec<HostRecord> = (0..hosts).map(host_record).collect();

        let mut tables: Vec<MembershipTable> =
            records.iter().map(|it| MembershipTable::new(it, 1, SUSPICION_TIMEOUT_MS)).collect();

        for (host, table) in tables.iter_mut().enumerate() {
            table.merge_hosts(&records);
            table.update_local(HostPhase::Serving, vec![ShardId(host as u16)]);
        }

        let rumors: Vec<_> = tables.iter().flat_map(MembershipTable::all_rumors).collect();
        tables.iter_mut().for_each(|table| drop(table.merge_members(0, &rumors)));
        let is_up = vec![true; hosts];
        let mut simulation =
            Self { tables, is_up, now_ms: 0, random: StdRng::seed_from_u64(1), sent_bytes: 0 };
        simulation.run_round();
        simulation.sent_bytes = 0;
        simulation
    }

    /// Lets each running host probe one other.
    fn run_round(&mut self) {
        self.now_ms += PROBE_INTERVAL_MS;

        for host in 0..self.tables.len() {
            if self.is_up[host] {
                self.tables[host].expire_suspects(self.now_ms);
                self.probe(host);
            }
        }
    }

    /// Exchanges a ping and its acknowledgement with the next host to probe, or records that it is unresponsive.
    fn probe(&mut self, host: usize) {
        let random = &mut self.random;
        let Some(target) = self.tables[host].next_probe(|order| order.shuffle(random)) else {
            return;
        };

        let target_host = (0..self.tables.len())
            .find(|it| host_name(*it) == target)
            .expect("the target is one of the hosts");
        let rumors = self.tables[host].rumors_for(Some(&target));
        let from = host_name(host);
        let ping = PeerMessage::Ping { from, config_number: 1, rumors: rumors.clone() };
        self.sent_bytes += encode_frame(&ping).len() as u64;

        if !self.is_up[target_host] {
            self.tables[host].record_probe_failure(self.now_ms, &target);
            return;
        }

        self.tables[target_host].merge_rumors(self.now_ms, &rumors);
        let rumors = self.tables[target_host].rumors_for(Some(&host_name(host)));
        let ack = PeerMessage::Ack { config_number: 1, rumors: rumors.clone() };
        self.sent_bytes += encode_frame(&ack).len() as u64;
        self.tables[host].merge_rumors(self.now_ms, &rumors);
        self.tables[host].record_ack(&target);
    }

    /// Runs rounds until every running host has declared all stopped ones dead, and returns their number,
    /// or [`MAX_ROUNDS`] if they don't get there.
    fn rounds_until_detected(&mut self) -> u64 {
        for round in 0..MAX_ROUNDS {
            let is_detected = (0..self.tables.len()).filter(|host| self.is_up[*host]).all(|host| {
                (0..self.tables.len()).filter(|it| !self.is_up[*it]).all(|stopped| {
                    let member = self.tables[host].member(&host_name(stopped));
                    member.is_some_and(|it| it.status() == MemberStatus::Dead)
                })
            });

            if is_detected {
                return round;
            }

            self.run_round();
        }

        MAX_ROUNDS
    }
}

pub(super) fn measure() -> Vec<LinearFit> {
    let sizes = [6, 100, 390];

    vec![
        LinearFit::measure(
            "control bytes, nothing new",
            "hosts",
            "bytes/s a host",
            sizes,
            |hosts| {
                let mut simulation = MemberSimulation::new(hosts);
                let rounds = 40;
                (0..rounds).for_each(|_| simulation.run_round());
                let seconds = (rounds * PROBE_INTERVAL_MS) as f64 / 1_000.0;
                let message_rate = simulation.sent_bytes as f64 / hosts as f64 / seconds;
                message_rate + PACKET_OVERHEAD_BYTES * 1_000.0 / PROBE_INTERVAL_MS as f64
            },
        ),
        LinearFit::measure("death of a host known to all", "hosts", "ms", sizes, |hosts| {
            let mut simulation = MemberSimulation::new(hosts);
            simulation.is_up[hosts / 2] = false;
            (simulation.rounds_until_detected() * PROBE_INTERVAL_MS) as f64
        }),
        LinearFit::measure("death of half the hosts known", "hosts", "ms", sizes, |hosts| {
            let mut simulation = MemberSimulation::new(hosts);
            (0..hosts / 2).for_each(|host| simulation.is_up[host] = false);
            (simulation.rounds_until_detected() * PROBE_INTERVAL_MS) as f64
        }),
        LinearFit::measure(
            "processor time of membership",
            "hosts",
            "us/s a host",
            sizes,
            |hosts| {
                let mut simulation = MemberSimulation::new(hosts);
                let rounds = 40;
                let started = Instant::now();
                (0..rounds).for_each(|_| simulation.run_round());
                let seconds = (rounds * PROBE_INTERVAL_MS) as f64 / 1_000.0;
                started.elapsed().as_secs_f64() * 1e6 / hosts as f64 / seconds
            },
        ),
        LinearFit::measure(
            "memory of a member",
            "hosts",
            "bytes",
            [1_000, 2_000, 4_000],
            |hosts| {
                let before = allocated_bytes();
                let records: Vec<HostRecord> = (0..hosts).map(host_record).collect();
                let mut table = MembershipTable::new(&records[0], 1, SUSPICION_TIMEOUT_MS);
                table.merge_hosts(&records);
                let allocated = allocated_bytes().saturating_sub(before);
                black_box(&table);
                allocated as f64
            },
        ),
    ]
}
