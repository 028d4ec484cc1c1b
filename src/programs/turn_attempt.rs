//! One attempt of a turn on one upstream.

use std::{
    sync::{Arc, atomic::Ordering},
    time::{Duration, Instant},
};

use tokio::sync::mpsc::error::TrySendError;

use crate::{
    AnswerBuilder, CellPermit, CellReport, CellResult, ChunkKind, PreparedTurn, Problem,
    ProblemKind, ProgramEvent, StreamTimeouts, TokenUsage, TurnRunner, UpstreamError, UpstreamName,
};

/// How long an answer waits for a caller that doesn't read its stream.
const READER_TIMEOUT: Duration = Duration::from_secs(5);

/// An attempt that ended without an answer.
#[derive(Debug)]
pub(crate) struct FailedAttempt {
    pub(crate) upstream: UpstreamName,
    pub(crate) error: UpstreamError,
    /// Whether part of the answer was forwarded to the caller, so that the turn can't be retried.
    pub(crate) has_streamed: bool,
}

/// An attempt that ended with an answer.
#[derive(Debug)]
pub(crate) struct FinishedAttempt {
    pub(crate) message: Arc<str>,
    pub(crate) finish_reason: Arc<str>,
    pub(crate) usage: TokenUsage,
}

impl FailedAttempt {
    /// Problem for the caller, if the turn is not retried.
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
    /// Streams the answer from the granted upstream, and reports the result to the cell.
    pub(crate) async fn attempt(
        &self,
        turn: &PreparedTurn,
        permit: Box<dyn CellPermit>,
    ) -> Result<FinishedAttempt, FailedAttempt> {
        let upstream = permit.upstream().clone();
        let mut has_streamed = false;
        let mut first_token_at = None;
        let mut builder = AnswerBuilder::default();
        let stream =
            self.stream(turn, &upstream, &mut builder, &mut has_streamed, &mut first_token_at);
        let stream_result = self.program.track_attempt(turn.number, stream).await;

        let decode_us = first_token_at.map_or(0, |it: Instant| it.elapsed().as_micros() as u64);

        match stream_result {
            Ok(()) => {
                let tokens = turn.tokens;
                let usage = builder.usage(tokens.max_prompt, tokens.max_answer);
                let result = CellResult::Completed;
                permit.finish(CellReport { result, usage, decode_us }).await;

                Ok(FinishedAttempt {
                    message: builder.message(),
                    finish_reason: builder.finish_reason(),
                    usage,
                })
            }
            Err(error) => {
                permit.finish(CellReport::without_usage(error.cell_result())).await;
                Err(FailedAttempt { upstream, error, has_streamed })
            }
        }
    }

    /// Streams the answer into the builder, and forwards its chunks if the caller receives a stream.
    async fn stream(
        &self,
        turn: &PreparedTurn,
        upstream: &UpstreamName,
        builder: &mut AnswerBuilder,
        has_streamed: &mut bool,
        first_token_at: &mut Option<Instant>,
    ) -> Result<(), UpstreamError> {
        let config = self.service.config.state();

        let Some(terms) = config.document.upstreams.get(upstream) else {
            let reason = format!("upstream {upstream} is not in the configuration here");
            return Err(UpstreamError::NotSent { reason });
        };

        let timeouts = StreamTimeouts {
            first_token: Duration::from_millis(turn.limits.first_token_timeout_ms),
            between_tokens: Duration::from_millis(turn.limits.token_timeout_ms),
        };

        let chat_request = self.service.upstreams.chat(&terms.url, turn.body.clone(), timeouts);
        let mut stream = chat_request.await?;

        while let Some(chunk) = stream.next().await? {
            let kind = builder
                .push(&chunk)
                .map_err(|error| UpstreamError::Broken { reason: error.to_string() })?;

            if kind == ChunkKind::Delta {
                if first_token_at.is_none() {
                    *first_token_at = Some(Instant::now());
                    self.service.metrics.record_first_token(turn.started.elapsed());
                }

                *has_streamed |= turn.is_stream && self.forward_chunk(chunk).await;
            }
        }

        Ok(())
    }

    /// Forwards a chunk to the caller, and returns whether that succeeded. If the caller doesn't read for
    /// `READER_TIMEOUT`, this and all later chunks are dropped. The turn still runs to its end, and the caller can
    /// request its answer again.
    async fn forward_chunk(&self, chunk: Arc<str>) -> bool {
        if self.has_dropped_chunks.load(Ordering::Relaxed) {
            return false;
        }

        match self.events.try_send(ProgramEvent::Delta(chunk)) {
            Ok(()) => true,
            Err(TrySendError::Closed(_)) => false,
            Err(TrySendError::Full(event)) => {
                let is_read = self.events.send_timeout(event, READER_TIMEOUT).await.is_ok();
                self.has_dropped_chunks.store(!is_read, Ordering::Relaxed);
                is_read
            }
        }
    }
}
