//! One try of a turn at one upstream.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::sync::mpsc::error::TrySendError;

use crate::{
    AnswerBuilder, CellPermit, CellReport, CellResult, ChunkKind, PreparedTurn, Problem,
    ProblemKind, ProgramEvent, StreamTimeouts, TokenUsage, TurnRunner, UpstreamError, UpstreamName,
};

/// Time that a caller who does not read may hold up an answer.
const READER_PATIENCE: Duration = Duration::from_secs(5);

/// A try that gave no answer.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) upstream: UpstreamName,
    pub(crate) error: UpstreamError,
    pub(crate) has_started: bool,
}

/// A try that gave one.
#[derive(Debug)]
pub(crate) struct FinishedAttempt {
    pub(crate) message: Arc<str>,
    pub(crate) finish_reason: Arc<str>,
    pub(crate) usage: TokenUsage,
}

impl FailedAttempt {
    pub(crate) fn problem(&self) -> Problem {
        let detail = format!("upstream {}: {}", self.upstream, self.error);

        match self.error {
            UpstreamError::Rejected { .. } => Problem::failed(ProblemKind::BadRequest, detail),
            _ if self.error.is_not_run() => {
                Problem::not_run(ProblemKind::UpstreamFailed, detail).retry_after(1)
            }
            _ => Problem::failed(ProblemKind::UpstreamFailed, detail).retry_after(1),
        }
    }
}

impl TurnRunner<'_> {
    /// Streams from the upstream that was granted, and reports how it ended.
    pub(crate) async fn attempt(
        &self,
        turn: &PreparedTurn,
        permit: Box<dyn CellPermit>,
    ) -> Result<FinishedAttempt, FailedAttempt> {
        let upstream = permit.upstream().clone();
        let mut has_started = false;
        let mut first_token = None;
        let mut builder = AnswerBuilder::default();
        let streamed =
            self.stream(turn, &upstream, &mut builder, &mut has_started, &mut first_token).await;

        let decode_us = first_token.map_or(0, |it: Instant| it.elapsed().as_micros() as u64);

        match streamed {
            Ok(()) => {
                let size = turn.size;
                let usage = builder.usage(size.prompt_bound, size.answer_bound);
                let result = CellResult::Completed;
                permit.finish(CellReport { result, usage, decode_us }).await;

                Ok(FinishedAttempt {
                    message: builder.message(),
                    finish_reason: builder.finish_reason(),
                    usage,
                })
            }
            Err(error) => {
                permit.finish(CellReport::without_usage(error.result())).await;
                Err(FailedAttempt { upstream, error, has_started })
            }
        }
    }

    async fn stream(
        &self,
        turn: &PreparedTurn,
        upstream: &UpstreamName,
        builder: &mut AnswerBuilder,
        has_started: &mut bool,
        first_token: &mut Option<Instant>,
    ) -> Result<(), UpstreamError> {
        let config = self.service.config.document();

        let Some(terms) = config.document.upstreams.get(upstream) else {
            let reason = format!("upstream {upstream} is not in the configuration here");
            return Err(UpstreamError::NotSent { reason });
        };

        let timeouts = StreamTimeouts {
            first: Duration::from_millis(turn.limits.first_token_timeout_ms),
            between: Duration::from_millis(turn.limits.token_timeout_ms),
        };

        let chat = self.service.upstreams.chat(&terms.url, turn.body.clone(), timeouts);
        let mut stream = chat.await?;

        while let Some(chunk) = stream.next().await? {
            let kind = builder
                .push(&chunk)
                .map_err(|error| UpstreamError::Broken { reason: error.to_string() })?;

            if kind == ChunkKind::Delta {
                if first_token.is_none() {
                    *first_token = Some(Instant::now());
                    self.service.metrics.record_first_token(turn.started.elapsed());
                }

                *has_started |= turn.is_stream && self.pass_on(chunk).await;
            }
        }

        Ok(())
    }

    /// Passes a chunk on to the caller. One who does not read is left behind after a while; the answer goes on without
    /// him, and he may ask for it again.
    async fn pass_on(&self, chunk: Arc<str>) -> bool {
        if self.is_left_behind.load(Ordering::Relaxed) {
            return false;
        }

        match self.events.try_send(ProgramEvent::Delta(chunk)) {
            Ok(()) => true,
            Err(TrySendError::Closed(_)) => false,
            Err(TrySendError::Full(event)) => {
                let is_read = self.events.send_timeout(event, READER_PATIENCE).await.is_ok();
                self.is_left_behind.store(!is_read, Ordering::Relaxed);
                is_read
            }
        }
    }
}
