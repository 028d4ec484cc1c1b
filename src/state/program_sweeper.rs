//! Periodic cleanup: ends programs that have reached a limit, deletes ended programs after their retention time, and
//! frees engine caches of programs that have ended.

use std::{sync::Arc, time::Duration};

use crate::{
    ClusterView, DispatcherTable, EndReason, HostTarget, LogRecord, OwnedProgram, PeerMessage,
    PeerTransport, Program, ProgramId, ProgramLimits, ProgramService, ShardOwner, UpstreamClient,
    basics::steady_clock::steady_millis, membership::peer_transport::peer_call,
};

/// Time between two sweeps of the programs.
const SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// Sweeps of the programs for each sweep of the engine caches.
const SWEEPS_PER_CACHE_SWEEP: u32 = 10;

/// Sweeper of the shards that this host owns and of the engines that it dispatches for.
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

            if sweep % SWEEPS_PER_CACHE_SWEEP == 0 {
                self.sweep_caches().await;
            }
        }
    }

    fn sweep_shard(&self, owner: &Arc<ShardOwner>) {
        let limits = self.service.config.state().document.limits;
        let now_ms = steady_millis();

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
                log::warn!(program:% = program.id; "failed to end a program: {problem}");
            }
        }

        Self::forget_expired(owner, limits, now_ms);
    }

    /// Deletes the ended programs whose retention time is over.
    fn forget_expired(owner: &ShardOwner, limits: ProgramLimits, now_ms: u64) {
        let result = owner.update(|state| {
            let records = state
                .programs
                .values()
                .filter(|program| {
                    let retained_until_ms = program.active_ms + limits.retention_s * 1_000;
                    program.end_reason.is_some() && retained_until_ms <= now_ms
                })
                .map(|program| LogRecord::ProgramForgotten { program: program.terms.id })
                .collect();

            Ok(records)
        });

        if let Err(problem) = result {
            log::debug!(shard:% = owner.shard(); "failed to delete expired programs: {problem}");
        }
    }

    /// Releases the engine caches of programs that have ended.
    async fn sweep_caches(&self) {
        for engine in self.dispatchers.engines() {
            let Ok(keys) = self.client.cache_keys(&engine.url).await else {
                continue;
            };

            let cached: Vec<ProgramId> = keys.iter().filter_map(|key| key.parse().ok()).collect();
            let upstreams = [engine.upstream];

            for program in self.find_ended(cached).await {
                log::info!(
                    program:% = program, upstream:% = upstreams[0];
                    "releasing the cache of an ended program"
                );
                self.dispatchers.release_cache(&engine.cell, &upstreams, program).await;
            }
        }
    }

    /// Returns those programs that have ended according to the owners of their shards. If an owner does not respond,
    /// its programs count as open.
    async fn find_ended(&self, mut programs: Vec<ProgramId>) -> Vec<ProgramId> {
        programs.sort_unstable();
        let mut ended = Vec::new();

        for group in programs.chunk_by(|a, b| a.shard == b.shard) {
            let shard = group[0].shard;

            if let Some(owner) = self.service.shards.owner(shard) {
                ended.extend(ended_programs(&owner, group));
            } else if let Some(target) = self.view.shard_host(shard).filter(|it| !it.is_local) {
                ended.extend(self.query_ended(&target, group).await);
            }
        }

        ended
    }

    async fn query_ended(&self, target: &HostTarget, programs: &[ProgramId]) -> Vec<ProgramId> {
        let request = PeerMessage::EndedQuery { programs: programs.to_vec() };

        match peer_call(&*self.transport, target.address, &request).await {
            Ok(PeerMessage::Ended { programs }) => programs,
            _ => Vec::new(),
        }
    }
}

/// Returns those programs of a shard that have ended or are not in it.
pub(crate) fn ended_programs(owner: &ShardOwner, programs: &[ProgramId]) -> Vec<ProgramId> {
    owner.read(|state| {
        programs
            .iter()
            .copied()
            .filter(|id| state.program(*id).map_or(true, |it| it.end_reason.is_some()))
            .collect()
    })
}

/// Returns the limit that a program has reached, if any. A program with open children is not idle.
pub(crate) fn end_reason(
    program: &Program,
    limits: &ProgramLimits,
    now_ms: u64,
) -> Option<EndReason> {
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
