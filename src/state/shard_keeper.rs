//! Claims the shards that this host should own, and releases those that it should not.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    time::Duration,
};

use parking_lot::Mutex;
use tokio::time::Instant;

use crate::{
    CallRunner, CallState, ClusterView, CommitOutcome, HostName, HostPhase, LogError,
    MembershipService, NodeMetrics, OwnedProgram, OwnerConfirmation, PlatformClient, ProgramEntry,
    ProgramService, ShardId, ShardLog, ShardOwner, ShardTable, WriterId,
};

/// Time between two comparisons of the shards that this host owns with those that it should own.
const RECONCILE_INTERVAL: Duration = Duration::from_millis(100);

/// Time for the record of a release to become durable.
const RELEASE_COMMIT_TIMEOUT: Duration = Duration::from_secs(5);

/// Claims and releases shards, so that this host owns those that the cluster view assigns to it.
#[derive(Debug)]
pub(crate) struct ShardKeeper {
    pub(crate) host: HostName,
    pub(crate) writer: WriterId,
    pub(crate) shard_count: u16,
    /// Most appends per second to the log of one shard.
    pub(crate) append_rate: u32,
    pub(crate) shards: Arc<ShardTable>,
    pub(crate) view: ClusterView,
    pub(crate) platform: Arc<dyn PlatformClient>,
    pub(crate) service: Arc<ProgramService>,
    pub(crate) membership: Arc<MembershipService>,
    pub(crate) metrics: Arc<NodeMetrics>,
    /// Phase of this host's life, which decides whether it should own shards.
    pub(crate) phase: Mutex<HostPhase>,
    pub(crate) is_stopped: AtomicBool,
    /// Time for which a shard that another host has claimed from this one is not claimed back.
    pub(crate) reclaim_delay: Duration,
    /// Longest time that a release waits for running requests.
    pub(crate) release_timeout: Duration,
}

impl ShardKeeper {
    /// Claims and releases shards until the host stops.
    pub(crate) async fn run(self: Arc<Self>) {
        let mut interval = tokio::time::interval(RECONCILE_INTERVAL);

        while !self.is_stopped.load(Ordering::Relaxed) {
            interval.tick().await;
            self.reconcile();
        }
    }

    /// Sets the phase of this host's life and publishes it to the other hosts.
    pub(crate) fn set_phase(&self, phase: HostPhase) {
        *self.phase.lock() = phase;
        self.publish_ownership();
    }

    /// Waits until every shard is released or the deadline passes. Returns the number of shards left.
    pub(crate) async fn wait_released(&self, deadline: Instant) -> usize {
        while !self.shards.shards().is_empty() && Instant::now() < deadline {
            tokio::time::sleep(RECONCILE_INTERVAL).await;
        }

        self.shards.shards().len()
    }

    /// Publishes this host's phase and shards to the other hosts.
    fn publish_ownership(&self) {
        let phase = *self.phase.lock();
        self.membership.update_local(phase, self.shards.shards());
    }

    fn reconcile(self: &Arc<Self>) {
        self.membership.expire_suspects();

        for owner in self.shards.owners() {
            if owner.is_closed() && !self.shards.is_moving(owner.shard()) {
                self.shards.record_deposed(owner.shard());
                self.shards.remove(owner.shard());
            }
        }

        // While the platform is unavailable, no other host could claim a released shard; a stopping host tries to
        // release its shards all the same.
        let is_stopping = *self.phase.lock() >= HostPhase::Draining;
        let may_release = is_stopping || self.platform.is_available();

        for shard in (0..self.shard_count).map(ShardId) {
            let is_winner = self.view.assigned_owner(shard).is_some_and(|target| target.is_local);

            match self.shards.owner(shard) {
                Some(owner) if !is_winner && may_release => self.start_release(owner),
                None if is_winner => self.start_claim(shard),
                _ => (),
            }
        }

        let owners = self.shards.owners();
        let open_programs = owners.iter().map(|it| it.read(|state| state.open_programs().count()));
        self.metrics.record_owned(owners.len(), open_programs.sum());
        self.publish_ownership();
    }

    fn start_claim(self: &Arc<Self>, shard: ShardId) {
        let may_claim = self.platform.is_available()
            && !self.view.is_owned_elsewhere(shard)
            && !self.shards.was_deposed_within(shard, self.reclaim_delay);

        if may_claim && self.shards.begin_move(shard) {
            let keeper = Arc::clone(self);

            tokio::spawn(async move {
                if let Err(error) = keeper.claim(shard).await {
                    if error == LogError::Deposed {
                        keeper.shards.record_deposed(shard);
                    }

                    log::warn!(shard:% = shard; "the shard was not claimed: {error}");
                }
                keeper.shards.end_move(shard);
            });
        }
    }

    /// Claims a shard, starts its writer, and settles the calls that its last owner left open.
    async fn claim(&self, shard: ShardId) -> Result<(), LogError> {
        let started = Instant::now();
        let platform = Arc::clone(&self.platform);
        let claimed = ShardLog::claim(platform, shard, &self.host, self.writer).await?;
        let epoch = claimed.state.epoch;
        let programs = claimed.state.programs.len();
        let metrics = Arc::clone(&self.metrics);
        let owner = Arc::new(ShardOwner::new(shard, claimed.state, &claimed.log, started, metrics));
        tokio::spawn(Arc::clone(&owner).run_writer(claimed.log, self.append_rate));
        self.shards.insert(Arc::clone(&owner));
        self.publish_ownership();
        self.recover_calls(&owner);

        log::info!(
            shard:% = shard, epoch, programs, bytes = claimed.replay_bytes,
            millis = started.elapsed().as_millis() as u64;
            "the shard is claimed"
        );

        Ok(())
    }

    /// Settles calls whose owner died between intent and result.
    fn recover_calls(&self, owner: &Arc<ShardOwner>) {
        for program in programs_with_open_call(owner) {
            let service = Arc::clone(&self.service);

            tokio::spawn(async move {
                let number = program.read(|it| it.entries.len() as u32).unwrap_or(0);
                let recovered = CallRunner::new(&service, &program).recover(number).await;

                if let Err(problem) = recovered {
                    log::warn!(program:% = program.id; "failed to recover a call: {problem}");
                }
            });
        }
    }

    fn start_release(self: &Arc<Self>, owner: Arc<ShardOwner>) {
        if self.shards.begin_move(owner.shard()) {
            let keeper = Arc::clone(self);

            tokio::spawn(async move {
                keeper.release(&owner).await;
                keeper.shards.end_move(owner.shard());
            });
        }
    }

    /// Waits for running requests, then releases the shard. While the platform can't record the release, a host that is
    /// not stopping keeps the shard, since no other host could claim it.
    async fn release(&self, owner: &Arc<ShardOwner>) {
        let deadline = Instant::now() + self.release_timeout;
        owner.stop_admission();

        while owner.is_busy() && Instant::now() < deadline {
            tokio::time::sleep(RECONCILE_INTERVAL / 5).await;
        }

        let is_busy = owner.is_busy();

        if !is_busy && !self.confirm_release(owner, deadline).await {
            log::info!(shard:% = owner.shard(); "the shard is kept: the platform is unavailable");
            owner.resume_admission();
            return;
        }

        let outcome = match is_busy {
            // Running requests may still spend tokens, so the next owner has to count their chunks as spent.
            true => owner.abandon(),
            false => owner.release(RELEASE_COMMIT_TIMEOUT).await,
        };

        let is_released = outcome == CommitOutcome::Durable;
        log::info!(shard:% = owner.shard(), is_busy, is_released; "the shard is given up");
        self.shards.remove(owner.shard());
        self.publish_ownership();
    }

    /// Tells whether the shard may be released: the platform responds, or this host is stopping and the deadline has
    /// passed.
    async fn confirm_release(&self, owner: &ShardOwner, deadline: Instant) -> bool {
        loop {
            if owner.confirm(Instant::now()).await != OwnerConfirmation::Unconfirmed {
                return true;
            }

            let is_stopping = *self.phase.lock() >= HostPhase::Draining;

            if !is_stopping || Instant::now() >= deadline {
                return is_stopping;
            }

            tokio::time::sleep(RECONCILE_INTERVAL).await;
        }
    }
}

/// Programs whose last entry is a call without a result.
fn programs_with_open_call(owner: &Arc<ShardOwner>) -> Vec<OwnedProgram> {
    owner.read(|state| {
        state
            .programs
            .values()
            .filter(|program| match program.entries.last() {
                Some(ProgramEntry::Call(call)) => call.state == CallState::Intended,
                _ => false,
            })
            .map(|program| OwnedProgram {
                owner: Arc::clone(owner),
                id: program.terms.id,
                team: program.terms.team.clone(),
            })
            .collect()
    })
}
