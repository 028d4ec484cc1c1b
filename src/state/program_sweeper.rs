//! Ends programs that have reached a limit, forgets old ones, and frees engine memory that no living program holds.

use std::{sync::Arc, time::Duration};

use crate::{
    ClusterView, DispatcherTable, EndReason, HostTarget, LogRecord, OwnedProgram, PeerMessage,
    PeerTransport, Program, ProgramId, ProgramLimits, ProgramService, ShardOwner, UpstreamClient,
    basics::unix_clock::unix_millis, membership::peer_transport::peer_call,
};

/// Time between two looks at the limits of programs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Sweeps of programs for each sweep of engine memory.
const MEMORY_SWEEPS: u32 = 10;

/// Sweeper of one host.
#[derive(Debug)]
pub(crate) struct ProgramSweeper {
    pub(crate) service: Arc<ProgramService>,
    pub(crate) dispatchers: Arc<DispatcherTable>,
    pub(crate) client: Arc<dyn UpstreamClient>,
    pub(crate) transport: Arc<dyn PeerTransport>,
    pub(crate) view: ClusterView,
}

impl ProgramSweeper {
    /// Sweeps until the host stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(SWEEP_INTERVAL);
        let mut sweep = 0;

        loop {
            interval.tick().await;
            self.service.shards.owners().iter().for_each(|owner| self.sweep_shard(owner));
            sweep += 1;

            if sweep % MEMORY_SWEEPS == 0 {
                self.sweep_engines().await;
            }
        }
    }

    fn sweep_shard(&self, owner: &Arc<ShardOwner>) {
        let limits = self.service.config.document().document.limits;
        let now_ms = unix_millis();

        let due: Vec<OwnedProgram> = owner.read(|state| {
            state
                .open_programs()
                .filter(|program| end_reason(program, &limits, now_ms).is_some())
                .map(|program| OwnedProgram {
                    owner: Arc::clone(owner),
                    id: program.terms.id,
                    team: program.terms.team.clone(),
                })
                .collect()
        });

        for program in due {
            let reason = program.read(|it| end_reason(it, &limits, now_ms)).ok().flatten();
            let is_idle = reason == Some(EndReason::Idle);

            if let Some(reason) = reason.filter(|_| !is_idle || !owner.is_running(program.id))
                && let Err(problem) = self.service.end_program(&program, reason)
            {
                log::warn!(program:% = program.id; "a program was not ended: {problem}");
            }
        }

        Self::forget(owner, limits, now_ms);
    }

    fn forget(owner: &ShardOwner, limits: ProgramLimits, now_ms: u64) {
        let result = owner.update(|state| {
            let records = state
                .programs
                .values()
                .filter(|program| {
                    let kept_until_ms = program.active_ms + limits.retention_s * 1_000;
                    program.end_reason.is_some() && kept_until_ms <= now_ms
                })
                .map(|program| LogRecord::ProgramForgotten { program: program.terms.id })
                .collect();

            Ok(records)
        });

        if let Err(problem) = result {
            log::debug!(shard:% = owner.shard(); "ended programs are kept for now: {problem}");
        }
    }

    /// Compares what engines hold with the programs that live.
    async fn sweep_engines(&self) {
        for engine in self.dispatchers.engines() {
            let Ok(held) = self.client.cache_keys(&engine.url).await else {
                continue;
            };

            let held: Vec<ProgramId> = held.iter().filter_map(|key| key.parse().ok()).collect();
            let upstreams = [engine.upstream];

            for program in self.ended(held).await {
                log::info!(
                    program:% = program, upstream:% = upstreams[0];
                    "memory of an ended program is released"
                );
                self.dispatchers.release_cache(&engine.cell, &upstreams, program).await;
            }
        }
    }

    /// Gives those programs that have ended, as their owners say. Where no owner answers, none has.
    async fn ended(&self, mut programs: Vec<ProgramId>) -> Vec<ProgramId> {
        programs.sort_unstable();
        let mut ended = Vec::new();

        for group in programs.chunk_by(|one, other| one.shard == other.shard) {
            let shard = group[0].shard;

            if let Some(owner) = self.service.shards.owner(shard) {
                ended.extend(ended_programs(&owner, group));
            } else if let Some(target) = self.view.shard_host(shard).filter(|it| !it.is_local) {
                ended.extend(self.ask_ended(&target, group).await);
            }
        }

        ended
    }

    async fn ask_ended(&self, target: &HostTarget, programs: &[ProgramId]) -> Vec<ProgramId> {
        let request = PeerMessage::EndedQuery { programs: programs.to_vec() };

        match peer_call(&*self.transport, target.address, &request).await {
            Ok(PeerMessage::Ended { programs }) => programs,
            _ => Vec::new(),
        }
    }
}

/// Gives those programs of a shard that do not live.
pub(crate) fn ended_programs(owner: &ShardOwner, programs: &[ProgramId]) -> Vec<ProgramId> {
    owner.read(|state| {
        programs
            .iter()
            .copied()
            .filter(|id| state.program(*id).map_or(true, |it| it.end_reason.is_some()))
            .collect()
    })
}

fn end_reason(program: &Program, limits: &ProgramLimits, now_ms: u64) -> Option<EndReason> {
    if program.terms.deadline_ms.is_some_and(|deadline_ms| deadline_ms <= now_ms) {
        return Some(EndReason::Deadline);
    }

    if program.terms.created_ms + limits.wall_s * 1_000 <= now_ms {
        return Some(EndReason::Deadline);
    }

    if program.entries.len() as u32 >= limits.turns {
        return Some(EndReason::TurnLimit);
    }

    let is_idle = program.active_ms + limits.idle_s * 1_000 <= now_ms;
    (is_idle && program.child_tokens == 0).then_some(EndReason::Idle)
}
