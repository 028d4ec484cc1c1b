//! What the attempts of requests tell about crashes of upstreams, and whether a request may be sent to further ones.

use std::{collections::BTreeMap, sync::Arc};

use derive_more::Display;
use hyper::StatusCode;
use tokio::time::{Duration, Instant};

use crate::{
    CrashedRun,
    entry::{
        UpstreamRecord, UpstreamResponse,
        crash_suspects::{CrashSuspects, TargetAttempt},
        host_reach::{ReachChange, ReachEvidence},
        placement_request::PlacementRefusal,
        presumed_crashes::PresumedCrash,
        request_runner::RunnerContext,
        request_signature::RequestSignature,
        routed_request::RoutedRequest,
        target_crashes::TargetCrashes,
        upstream_lease::UpstreamLease,
    },
};

/// Number of upstreams that a request may crash before it is refused.
pub(crate) const CRASH_LIMIT: u32 = 3;

/// Time for which an upstream that works may send nothing, so that a shorter silence is no sign of a crash.
const SOUND_SILENCE: Duration = Duration::from_millis(1_800);

/// Longest loss of a service after which the failures that led to it count as those of the upstreams: if this host's links
/// had been lost, no connection could have been made so soon.
const MOMENTARY_LOSS: Duration = Duration::from_millis(500);

/// Time after which a client is asked to retry a request that has crashed upstreams.
const CRASHED_RETRY_AFTER: Duration = Duration::from_secs(5);

/// What a hash of a request is of.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
enum CrashSubject {
    #[display("content")]
    Content,
    #[display("target")]
    Target,
}

/// A hash of a request under which too many upstreams have ended.
#[derive(Clone, Copy, Debug)]
struct CrashVerdict {
    hash: u64,
    subject: CrashSubject,
    count: u32,
    limit: u32,
}

impl CrashVerdict {
    /// The refusal until a trial is due. A target may be cleared at any time by another request that completes there.
    fn refusal(&self, time_left: Duration) -> PlacementRefusal {
        let Self { hash, subject, count, limit } = *self;
        log::info!(
            hash, subject:%, count, limit, trial_in_ms = time_left.as_millis() as u64;
            "a request is kept from further upstreams, as it has crashed several"
        );
        let retry_after = match subject {
            CrashSubject::Content => time_left.max(CRASHED_RETRY_AFTER),
            CrashSubject::Target => CRASHED_RETRY_AFTER,
        };
        PlacementRefusal { reason: "upstreams have crashed under this request", retry_after }
    }
}

impl RunnerContext {
    /// Fails if a request has crashed so many upstreams that it must not reach another one. It is asked again before each
    /// attempt, since other copies of the request may run meanwhile.
    pub(crate) fn check_crashes(
        &self,
        signature: RequestSignature,
    ) -> Result<(), PlacementRefusal> {
        self.due_trials(signature).map(drop)
    }

    /// As [`RunnerContext::check_crashes`], for a request that is sent now. One that would be refused but for a trial uses the
    /// trial up.
    pub(super) fn begin_attempt(
        &self,
        signature: RequestSignature,
    ) -> Result<(), PlacementRefusal> {
        for CrashVerdict { hash, subject, count, .. } in self.due_trials(signature)? {
            log::info!(hash, subject:%, count; "a request that has crashed several upstreams runs as a trial");
            self.metrics.count_crash("trial");
            self.trials.lock().record_trial(Instant::now(), hash);
        }
        Ok(())
    }

    /// Returns the verdicts against a request that may run as a trial, and none for one that may run in any case. Fails if a trial
    /// is not due.
    fn due_trials(
        &self,
        signature: RequestSignature,
    ) -> Result<Vec<CrashVerdict>, PlacementRefusal> {
        let now = Instant::now();
        let verdicts = self.crash_verdicts(signature, now);
        let wait = {
            let mut trials = self.trials.lock();
            let waits = verdicts.iter().map(|it| (it, trials.time_left(now, it.hash, it.count)));
            waits.max_by_key(|(_, time_left)| *time_left)
        };

        match wait {
            Some((verdict, time_left)) if !time_left.is_zero() => Err(verdict.refusal(time_left)),
            _ => Ok(verdicts),
        }
    }

    /// By which of its hashes a request has crashed several upstreams.
    fn crash_verdicts(&self, signature: RequestSignature, now: Instant) -> Vec<CrashVerdict> {
        let RequestSignature { content, target, has_body } = signature;
        let (content_count, target_count) = {
            let crashes = self.crashes.lock();
            let at_target = TargetCrashes::new(&crashes, target);
            // Then the content is to be refused, and not what else is sent there.
            let is_explained = has_body
                && at_target.count() >= CRASH_LIMIT
                && at_target.is_explained(&crashes, target);
            let target_count = if is_explained { 0 } else { at_target.count() };
            (crashes.crash_count(content), target_count)
        };
        // Requests that complete tell that the target does not crash upstreams, only some of what is sent to it.
        let completions = match target_count {
            0 => 0,
            _ => self.completions.lock().recent(now, target),
        };

        let verdicts = [
            CrashVerdict {
                hash: content,
                subject: CrashSubject::Content,
                count: content_count,
                limit: CRASH_LIMIT,
            },
            CrashVerdict {
                hash: target,
                subject: CrashSubject::Target,
                count: target_count,
                limit: CRASH_LIMIT.max(completions),
            },
        ];
        verdicts.into_iter().filter(|it| it.count >= it.limit).collect()
    }

    /// Records that a request has completed, so that the crashes of upstreams on which it ran were not its own.
    pub(super) fn record_completion(&self, signature: RequestSignature) {
        self.completions.lock().record(Instant::now(), signature.target);
        let mut crashes = self.crashes.lock();
        crashes.clear(signature.content);
        crashes.clear(signature.target);
    }

    /// Records what an attempt tells about this host's way to a service. When the service is lost, the crashes that were
    /// presumed since anything of it was heard no longer count; they count again if an upstream is heard soon after.
    pub(crate) fn record_reach(&self, record: &UpstreamRecord, evidence: ReachEvidence) {
        let change = self.pool.record_reach(record, evidence);

        if let ReachChange::Lost { last_heard } = change {
            let held = self.presumed_crashes.lock().hold_since(&record.service, last_heard);
            let mut crashes = self.crashes.lock();
            for (crashed, suspects) in &held {
                log::info!(upstream:% = crashed.upstream, born_ms = crashed.run; "a presumed crash is taken back, as no upstream is heard");
                self.metrics.count_crash("retracted");
                suspects.retract(&mut crashes, crashed);
            }
        } else if matches!(evidence, ReachEvidence::Heard | ReachEvidence::Connected)
            && !self.pool.reach().is_lost(&record.service)
        {
            self.settle_held_crashes(&record.service);
        }
    }

    /// Counts the crashes of a service that were held back a moment ago. The list of upstreams has to confirm older ones.
    fn settle_held_crashes(&self, service: &Arc<str>) {
        let now = Instant::now();
        let is_due = |it: &PresumedCrash| {
            it.record.service == *service && now.saturating_duration_since(it.at) <= MOMENTARY_LOSS
        };
        let held = self.presumed_crashes.lock().take_held(is_due);
        self.count_held_crashes(held, "other upstreams are heard");
    }

    /// Counts the held crashes whose runs have ended by the list of upstreams, and drops those that it has not confirmed in time:
    /// the connections broke, but the upstreams live.
    pub(crate) fn settle_ended_runs(&self) {
        let ended = self.presumed_crashes.lock().take_held(|it| self.pool.has_ended(&it.record));
        self.count_held_crashes(ended, "the run has ended by the list of upstreams");

        let now = Instant::now();
        let settle_time = self.pool.settle_time();
        let is_overdue = |it: &PresumedCrash| now.saturating_duration_since(it.at) > settle_time;
        let overdue = self.presumed_crashes.lock().take_held(is_overdue);

        for (run, PresumedCrash { at, suspects, .. }) in overdue {
            self.metrics.count_crash("dropped");
            let held_ms = now.saturating_duration_since(at).as_millis() as u64;
            log::info!(
                upstream:% = run.upstream, born_ms = run.run, held_ms, suspects:?;
                "a presumed crash is dropped, as the upstream is still listed"
            );
        }
    }

    fn count_held_crashes(&self, held: BTreeMap<CrashedRun, PresumedCrash>, reason: &str) {
        let now = Instant::now();

        for (run, crash) in held {
            self.metrics.count_crash("settled");
            let held_ms = now.saturating_duration_since(crash.at).as_millis() as u64;
            log::info!(
                upstream:% = run.upstream, born_ms = run.run, held_ms;
                "a presumed crash counts: {reason}"
            );
            let suspects = crash.suspects.record(&mut self.crashes.lock(), &run, false);
            let counted = PresumedCrash { suspects, ..crash };
            self.presumed_crashes.lock().add(run, counted);
        }
    }

    /// Records what a response tells about its upstream, also whether it proves that the upstream did not crash before.
    pub(super) fn record_response(&self, lease: &UpstreamLease, response: &UpstreamResponse) {
        lease.record_response(response);

        // A misdirected request has reached another upstream at the same address.
        if response.status == StatusCode::MISDIRECTED_REQUEST {
            return;
        }

        let crashed = lease.crashed_run();
        let disproved =
            self.presumed_crashes.lock().take_disproved(&crashed, lease.granted.granted_at);

        if let Some(suspects) = disproved {
            self.metrics.count_crash("disproved");
            log::info!(upstream:% = crashed.upstream, born_ms = crashed.run; "an upstream that was presumed to have crashed responds");
            suspects.retract(&mut self.crashes.lock(), &crashed);
        }
    }
}

/// Watches one attempt of a request at an upstream. If it ends while the upstream has been silent for too long, or breaks, the
/// upstream may have crashed under the request. That holds as well if the client leaves, since clients leave silent streams.
/// It does not hold if this host hears no other upstream either, as then its own links may be the cause.
#[derive(Debug)]
pub(super) struct AttemptWatch {
    context: Arc<RunnerContext>,
    request: Arc<str>,
    request_target: Arc<str>,
    signature: RequestSignature,
    target_attempt: TargetAttempt,
    record: Arc<UpstreamRecord>,
    crashed: CrashedRun,
    /// Time without data after which the upstream counts as silent.
    silence_limit: Duration,
    started_at: Instant,
    heard_at: Instant,
    /// Whether nothing is read from the upstream, as the client does not read either.
    is_paused: bool,
    is_over: bool,
}

impl AttemptWatch {
    pub(super) fn start(
        context: &Arc<RunnerContext>,
        routed: &RoutedRequest,
        lease: &UpstreamLease,
        silence_limit: Duration,
    ) -> Self {
        let target_attempt = TargetAttempt::begin(&context.crashes.lock(), routed.signature.target);
        Self {
            context: Arc::clone(context),
            request: Arc::clone(&routed.request.id),
            request_target: Arc::clone(&routed.request.target),
            signature: routed.signature,
            target_attempt,
            record: Arc::clone(&lease.record),
            crashed: lease.crashed_run(),
            silence_limit,
            started_at: Instant::now(),
            heard_at: Instant::now(),
            is_paused: false,
            is_over: false,
        }
    }

    /// Watches on for an earlier watch of the same attempt.
    pub(super) fn continuing(mut self, target_attempt: TargetAttempt) -> Self {
        self.target_attempt = target_attempt;
        self
    }

    /// The attempt, for a later watch of it.
    pub(super) fn target_attempt(&self) -> TargetAttempt {
        self.target_attempt
    }

    /// Records that the upstream has sent data.
    pub(super) fn record_data(&mut self) {
        self.heard_at = Instant::now();
        self.context.record_reach(&self.record, ReachEvidence::Heard);
    }

    /// Stops to count the silence of the upstream while its stream waits for the client. It would count against the upstream
    /// that this host does not read.
    pub(super) fn pause(&mut self) {
        self.is_paused = true;
    }

    /// Begins to count the silence of the upstream again.
    pub(super) fn resume(&mut self) {
        self.is_paused = false;
        self.heard_at = Instant::now();
    }

    /// Ends the attempt of an upstream that lives.
    pub(super) fn finish(mut self) {
        self.is_over = true;
    }

    /// Ends an attempt for which no connection could be made.
    pub(super) fn finish_unsent(mut self) {
        self.is_over = true;
        let since = self.started_at;
        self.context.record_reach(&self.record, ReachEvidence::Unconnected { since });
    }

    /// Ends an attempt whose connection broke.
    pub(super) fn finish_broken(mut self, reason: &str) {
        self.context.record_reach(&self.record, ReachEvidence::Broken);

        if self.context.pool.reach().is_doubtful(&self.record.service) {
            self.hold_crash(Instant::now(), reason);
            return;
        }

        self.record_crash(Instant::now(), reason);
    }

    fn suspects(&self, ended_at: Instant) -> CrashSuspects {
        CrashSuspects::new(self.signature, self.target_attempt, &self.crashed, ended_at)
    }

    /// Holds the crash back, as this host's own links may be the cause.
    fn hold_crash(&mut self, at: Instant, reason: &str) {
        self.is_over = true;
        let record = Arc::clone(&self.record);
        let suspects = self.suspects(at);
        let held = PresumedCrash { at, record, suspects };
        self.context.presumed_crashes.lock().hold(self.crashed.clone(), held);
        self.context.metrics.count_crash("held");
        log::info!(
            request:% = self.request, request_target:% = self.request_target, upstream:% = self.crashed.upstream,
            fingerprint = self.signature.content, target_hash = self.signature.target;
            "an attempt has failed while no upstream is heard, so it is no sign of a crash yet: {reason}"
        );
    }

    fn record_crash(&mut self, at: Instant, reason: &str) {
        self.is_over = true;
        let is_another =
            self.context.presumed_crashes.lock().is_sent_after(&self.crashed, self.started_at);
        let running = self.suspects(at);
        let (suspects, count, target_count) = {
            let mut crashes = self.context.crashes.lock();
            let suspects = running.record(&mut crashes, &self.crashed, is_another);
            let RequestSignature { content, target, .. } = self.signature;
            let target_count = TargetCrashes::new(&crashes, target).count();
            (suspects, crashes.crash_count(content), target_count)
        };

        log::warn!(
            request:% = self.request, request_target:% = self.request_target, upstream:% = self.crashed.upstream,
            born_ms = self.crashed.run, fingerprint = self.signature.content, target_hash = self.signature.target, count, target_count;
            "the upstream may have crashed under the request: {reason}"
        );
        self.context.metrics.count_crash("counted");
        let record = Arc::clone(&self.record);
        let counted = PresumedCrash { at: Instant::now(), record, suspects };
        self.context.presumed_crashes.lock().add(self.crashed.clone(), counted);
    }
}

impl Drop for AttemptWatch {
    fn drop(&mut self) {
        let silence = self.heard_at.elapsed();

        if self.is_over || self.is_paused || silence < self.silence_limit {
            return;
        }

        let since = self.heard_at;
        self.context.record_reach(&self.record, ReachEvidence::Silent { since });

        if silence < SOUND_SILENCE {
            return;
        }

        if self.context.pool.reach().has_heard_other(&self.record, since) {
            self.record_crash(since, "it is silent");
        } else {
            self.hold_crash(since, "it is silent");
        }
    }
}
