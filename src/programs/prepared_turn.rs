//! Prepares a turn for its attempts: checks it against the limits, estimates its tokens and builds the engine's
//! request.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use bytes::Bytes;
use serde_json::{json, value::RawValue};

use crate::{
    ModelName, ModelTerms, Problem, ProblemKind, Program, ProgramLimits, TurnRequest, TurnRunner,
    basics::steady_clock::steady_millis, programs::program_service::PLATFORM_RETRY_AFTER_S,
};

/// Tokens that a message may take in addition to its text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// Average bytes of text per token, for the expected prompt size that placement uses. Budgets assume the worst case
/// of one token per byte.
const MEAN_TOKEN_BYTES: u64 = 4;

/// Tokens of a turn: an estimate of the prompt, and upper bounds.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnTokens {
    /// Estimate of the prompt, including the history.
    pub(crate) expected_prompt: u64,
    /// Upper bound of the prompt, including the history.
    pub(crate) max_prompt: u64,
    /// Upper bound of the answer, sent to the engine as `max_tokens`.
    pub(crate) max_answer: u64,
}

impl TurnTokens {
    /// Most tokens that one attempt can take.
    pub(crate) fn max_total(self) -> u64 {
        self.max_prompt + self.max_answer
    }
}

/// A turn with everything that its attempts share.
#[derive(Debug)]
pub(crate) struct PreparedTurn {
    pub(crate) number: u32,
    pub(crate) messages: Vec<Arc<str>>,
    /// Whether the caller receives the answer as a stream. If not, a failed attempt can always be retried without the
    /// caller noticing.
    pub(crate) is_stream: bool,
    /// Body of the engine's request, as JSON text.
    pub(crate) body: Bytes,
    pub(crate) tokens: TurnTokens,
    pub(crate) limits: ProgramLimits,
    pub(crate) started: Instant,
    /// When the turn was prepared, in milliseconds since the Unix epoch.
    pub(crate) started_ms: u64,
    /// Deadline of the program, in milliseconds since the Unix epoch.
    pub(crate) deadline_ms: Option<u64>,
}

impl TurnRunner<'_> {
    /// Checks the turn and builds what its attempts share. After a problem this attempt has sent nothing.
    pub(crate) fn prepare(&self, turn: TurnRequest) -> Result<PreparedTurn, Problem> {
        let config = self.service.config.state();
        let limits = config.document.limits;
        let model = self.program.read(|program| program.terms.model.clone())?;

        let Some(terms) = config.document.models.get(&model) else {
            let detail = format!("model {model} is not in the configuration any more");
            return Err(Problem::not_run(ProblemKind::UnknownModel, detail));
        };

        let team = config.document.teams.get(&self.program.team);

        if team.is_some_and(|team| team.require_durable) && !self.service.platform.is_available() {
            let detail = "the platform is unavailable, and the team wants no receipts";
            let problem = Problem::not_run(ProblemKind::NotDurable, detail);
            return Err(problem.retry_after(PLATFORM_RETRY_AFTER_S));
        }

        if turn.number > limits.turns {
            let detail = format!("a program has at most {} turns and calls", limits.turns);
            return Err(Problem::not_run(ProblemKind::LimitReached, detail));
        }

        let tokens = self.turn_tokens(&turn, terms)?;
        let history = self.program.read(Program::messages)?;
        let body = self.request_body(&turn, &history, terms, &model)?;
        let deadline_ms = self.program.read(|program| program.terms.deadline_ms)?;

        if deadline_ms.is_some_and(|deadline_ms| deadline_ms <= steady_millis()) {
            let detail = "the program's deadline has passed";
            return Err(Problem::not_run(ProblemKind::DeadlinePassed, detail));
        }

        Ok(PreparedTurn {
            number: turn.number,
            messages: turn.messages,
            is_stream: turn.is_stream,
            body,
            tokens,
            limits,
            started: Instant::now(),
            started_ms: steady_millis(),
            deadline_ms,
        })
    }

    /// Estimates the tokens of a turn. Fails if it is expected not to fit into the context of the model.
    fn turn_tokens(&self, turn: &TurnRequest, terms: &ModelTerms) -> Result<TurnTokens, Problem> {
        let previous_tokens = self.program.read(|program| program.last_usage().total())?;
        let message_bytes: u64 = turn.messages.iter().map(|message| message.len() as u64).sum();
        let parameter_bytes = turn.parameters.len() as u64;
        let overhead_tokens = turn.messages.len() as u64 * MESSAGE_OVERHEAD_TOKENS;

        let tokens = TurnTokens {
            expected_prompt: previous_tokens + message_bytes / MEAN_TOKEN_BYTES + 1,
            max_prompt: previous_tokens + message_bytes + parameter_bytes + overhead_tokens,
            max_answer: turn.answer_tokens.unwrap_or(terms.answer_tokens),
        };

        if tokens.expected_prompt + tokens.max_answer > terms.context_tokens {
            let detail =
                format!("the model takes {} tokens, history included", terms.context_tokens);
            return Err(Problem::not_run(ProblemKind::LimitReached, detail));
        }

        Ok(tokens)
    }

    /// Builds the body of the engine's request: the whole history, then the new messages.
    fn request_body(
        &self,
        turn: &TurnRequest,
        history: &[Arc<str>],
        terms: &ModelTerms,
        model: &ModelName,
    ) -> Result<Bytes, Problem> {
        let bad_request = |error: serde_json::Error| {
            Problem::not_run(ProblemKind::BadRequest, format!("parameters: {error}"))
        };

        let mut fields: BTreeMap<&str, Box<RawValue>> =
            serde_json::from_str(&turn.parameters).map_err(bad_request)?;

        let mut messages = String::from("[");

        for (index, message) in history.iter().chain(&turn.messages).enumerate() {
            messages.push_str(if index == 0 { "" } else { "," });
            messages.push_str(message);
        }

        messages.push(']');
        let answer_tokens = turn.answer_tokens.unwrap_or(terms.answer_tokens);

        let host_fields = [
            ("messages", messages),
            ("model", json!(model.as_str()).to_string()),
            ("max_tokens", answer_tokens.to_string()),
            ("stream", "true".to_owned()),
            ("stream_options", json!({ "include_usage": true }).to_string()),
            ("prompt_cache_key", json!(self.program.id.to_string()).to_string()),
        ];

        for (name, value) in host_fields {
            fields.insert(name, RawValue::from_string(value).map_err(bad_request)?);
        }

        serde_json::to_vec(&fields).map(Bytes::from).map_err(bad_request)
    }
}
