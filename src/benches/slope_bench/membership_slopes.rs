//! Membership tables of many hosts in one process, in rounds: what each host sends, and how long news takes.

use std::{hint::black_box, time::Instant};

use rand::{SeedableRng, rngs::StdRng, seq::SliceRandom};

use super::{process_usage::allocated_bytes, slope_row::SlopeRow};
use crate::{
    HostName, HostPhase, HostRecord, MemberStatus, MembershipTable, PeerMessage, ShardId,
    encode_frame,
};

/// Time between two probes of a host, and until a suspect is declared dead, in milliseconds.
const INTERVAL_MS: u64 = 300;
const SUSPICION_MS: u64 = 1_200;

/// Bytes of UDP, IP and QUIC around the messages of one probe and its answer.
const ENVELOPE_BYTES: f64 = 260.0;

/// Rounds after which news must have spread.
const ROUND_LIMIT: u64 = 400;

/// Many tables, exchanging messages in rounds of one probe interval.
struct MemberWorld {
    tables: Vec<MembershipTable>,
    is_up: Vec<bool>,
    now_ms: u64,
    random: StdRng,
    sent_bytes: u64,
}

fn name(host: usize) -> HostName {
    (&*format!("host-{host:04}")).into()
}

fn record(host: usize) -> HostRecord {
    HostRecord {
        name: name(host),
        region: "ub-a".into(),
        peer_address: ([127, 0, 0, 1], host as u16 + 1).into(),
        is_leaving: false,
    }
}

impl MemberWorld {
    fn new(hosts: usize) -> Self {
        let records: Vec<HostRecord> = (0..hosts).map(record).collect();

        let mut tables: Vec<MembershipTable> =
            records.iter().map(|it| MembershipTable::new(it, 1, SUSPICION_MS)).collect();

        for (host, table) in tables.iter_mut().enumerate() {
            table.merge_hosts(&records);
            table.update_local(HostPhase::Serving, vec![ShardId(host as u16)]);
        }

        let rumors: Vec<_> = tables.iter().flat_map(MembershipTable::all_rumors).collect();
        tables.iter_mut().for_each(|table| drop(table.merge_members(0, &rumors)));
        let is_up = vec![true; hosts];
        let mut world =
            Self { tables, is_up, now_ms: 0, random: StdRng::seed_from_u64(1), sent_bytes: 0 };
        world.round();
        world.sent_bytes = 0;
        world
    }

    fn round(&mut self) {
        self.now_ms += INTERVAL_MS;

        for host in 0..self.tables.len() {
            if self.is_up[host] {
                self.tables[host].expire_suspects(self.now_ms);
                self.probe(host);
            }
        }
    }

    fn probe(&mut self, host: usize) {
        let random = &mut self.random;
        let Some(target) = self.tables[host].next_probe(|order| order.shuffle(random)) else {
            return;
        };

        let other = (0..self.tables.len()).find(|it| name(*it) == target).expect("a host");
        let rumors = self.tables[host].rumors_for(Some(&target));
        let from = name(host);
        let ping = PeerMessage::Ping { from, config_number: 1, rumors: rumors.clone() };
        self.sent_bytes += encode_frame(&ping).len() as u64;

        if !self.is_up[other] {
            self.tables[host].record_probe_failure(self.now_ms, &target);
            return;
        }

        self.tables[other].merge_rumors(self.now_ms, &rumors);
        let rumors = self.tables[other].rumors_for(Some(&name(host)));
        let ack = PeerMessage::Ack { config_number: 1, rumors: rumors.clone() };
        self.sent_bytes += encode_frame(&ack).len() as u64;
        self.tables[host].merge_rumors(self.now_ms, &rumors);
        self.tables[host].record_ack(&target);
    }

    /// Rounds until every host that is up thinks that those that are down are dead.
    fn rounds_to_death(&mut self) -> u64 {
        for round in 0..ROUND_LIMIT {
            let all_know = (0..self.tables.len()).filter(|host| self.is_up[*host]).all(|host| {
                (0..self.tables.len()).filter(|it| !self.is_up[*it]).all(|dead| {
                    let member = self.tables[host].member(&name(dead));
                    member.is_some_and(|it| it.status() == MemberStatus::Dead)
                })
            });

            if all_know {
                return round;
            }

            self.round();
        }

        ROUND_LIMIT
    }
}

pub(super) fn measure() -> Vec<SlopeRow> {
    let sizes = [6, 100, 390];

    vec![
        SlopeRow::fit("control bytes, nothing new", "hosts", "bytes/s a host", sizes, |hosts| {
            let mut world = MemberWorld::new(hosts);
            let rounds = 40;
            (0..rounds).for_each(|_| world.round());
            let seconds = (rounds * INTERVAL_MS) as f64 / 1_000.0;
            let messages = world.sent_bytes as f64 / hosts as f64 / seconds;
            messages + ENVELOPE_BYTES * 1_000.0 / INTERVAL_MS as f64
        }),
        SlopeRow::fit("death of a host known to all", "hosts", "ms", sizes, |hosts| {
            let mut world = MemberWorld::new(hosts);
            world.is_up[hosts / 2] = false;
            (world.rounds_to_death() * INTERVAL_MS) as f64
        }),
        SlopeRow::fit("death of half the hosts known", "hosts", "ms", sizes, |hosts| {
            let mut world = MemberWorld::new(hosts);
            (0..hosts / 2).for_each(|host| world.is_up[host] = false);
            (world.rounds_to_death() * INTERVAL_MS) as f64
        }),
        SlopeRow::fit("processor time of membership", "hosts", "us/s a host", sizes, |hosts| {
            let mut world = MemberWorld::new(hosts);
            let rounds = 40;
            let started = Instant::now();
            (0..rounds).for_each(|_| world.round());
            let seconds = (rounds * INTERVAL_MS) as f64 / 1_000.0;
            started.elapsed().as_secs_f64() * 1e6 / hosts as f64 / seconds
        }),
        SlopeRow::fit("memory of a member", "hosts", "bytes", [1_000, 2_000, 4_000], |hosts| {
            let before = allocated_bytes();
            let records: Vec<HostRecord> = (0..hosts).map(record).collect();
            let mut table = MembershipTable::new(&records[0], 1, SUSPICION_MS);
            table.merge_hosts(&records);
            let taken = allocated_bytes().saturating_sub(before);
            black_box(&table);
            taken as f64
        }),
    ]
}
