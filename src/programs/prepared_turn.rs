//! A turn made ready for its tries: checked against the limits, sized, and with the engine's request built.

use std::{collections::BTreeMap, sync::Arc, time::Instant};

use bytes::Bytes;
use serde_json::{json, value::RawValue};

use crate::{
    ModelName, ModelTerms, Problem, ProblemKind, Program, ProgramLimits, TurnRequest, TurnRunner,
    basics::unix_clock::unix_millis, programs::program_service::PLATFORM_RETRY_S,
};

/// Tokens that a message may take beyond its text.
const MESSAGE_OVERHEAD_TOKENS: u64 = 16;

/// Bytes of text that make a token on average. Budgets reckon with one token a byte, placement with this.
const MEAN_TOKEN_BYTES: u64 = 4;

/// Sizes of a turn, in tokens.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TurnSize {
    /// Prompt that is expected.
    pub(crate) prompt: u64,
    /// Prompt that can't be exceeded.
    pub(crate) prompt_bound: u64,
    pub(crate) answer_bound: u64,
}

impl TurnSize {
    pub(crate) fn bound(self) -> u64 {
        self.prompt_bound + self.answer_bound
    }
}

/// A turn with all that its tries share.
#[derive(Debug)]
pub(crate) struct PreparedTurn {
    pub(crate) number: u32,
    pub(crate) messages: Vec<Arc<str>>,
    /// Whether the caller takes parts of the answer; one who takes it whole can be served by another try unawares.
    pub(crate) is_stream: bool,
    pub(crate) body: Bytes,
    pub(crate) size: TurnSize,
    pub(crate) limits: ProgramLimits,
    pub(crate) started: Instant,
    pub(crate) started_ms: u64,
    pub(crate) deadline_ms: Option<u64>,
}

impl TurnRunner<'_> {
    pub(crate) fn prepare(&self, turn: TurnRequest) -> Result<PreparedTurn, Problem> {
        let config = self.service.config.document();
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
            return Err(problem.retry_after(PLATFORM_RETRY_S));
        }

        if turn.number > limits.turns {
            let detail = format!("a program has at most {} turns and calls", limits.turns);
            return Err(Problem::not_run(ProblemKind::LimitReached, detail));
        }

        let size = self.size(&turn, terms)?;
        let history = self.program.read(Program::messages)?;
        let body = self.body(&turn, &history, terms, &model)?;
        let deadline_ms = self.program.read(|program| program.terms.deadline_ms)?;

        if deadline_ms.is_some_and(|deadline_ms| deadline_ms <= unix_millis()) {
            let detail = "the program's deadline has passed";
            return Err(Problem::not_run(ProblemKind::DeadlinePassed, detail));
        }

        Ok(PreparedTurn {
            number: turn.number,
            messages: turn.messages,
            is_stream: turn.is_stream,
            body,
            size,
            limits,
            started: Instant::now(),
            started_ms: unix_millis(),
            deadline_ms,
        })
    }

    fn size(&self, turn: &TurnRequest, terms: &ModelTerms) -> Result<TurnSize, Problem> {
        let before = self.program.read(|program| program.last_usage().total())?;
        let bytes: u64 = turn.messages.iter().map(|message| message.len() as u64).sum();
        let parameters = turn.parameters.len() as u64;
        let overhead = turn.messages.len() as u64 * MESSAGE_OVERHEAD_TOKENS;

        let size = TurnSize {
            prompt: before + bytes / MEAN_TOKEN_BYTES + 1,
            prompt_bound: before + bytes + parameters + overhead,
            answer_bound: turn.answer_tokens.unwrap_or(terms.answer_tokens),
        };

        if size.prompt + size.answer_bound > terms.context_tokens {
            let detail =
                format!("the model takes {} tokens, history included", terms.context_tokens);
            return Err(Problem::not_run(ProblemKind::LimitReached, detail));
        }

        Ok(size)
    }

    /// Builds the engine's request: the whole history, then the new messages.
    fn body(
        &self,
        turn: &TurnRequest,
        history: &[Arc<str>],
        terms: &ModelTerms,
        model: &ModelName,
    ) -> Result<Bytes, Problem> {
        let bad = |error: serde_json::Error| {
            Problem::not_run(ProblemKind::BadRequest, format!("parameters: {error}"))
        };

        let mut fields: BTreeMap<&str, Box<RawValue>> =
            serde_json::from_str(&turn.parameters).map_err(bad)?;

        let mut messages = String::from("[");

        for (index, message) in history.iter().chain(&turn.messages).enumerate() {
            messages.push_str(if index == 0 { "" } else { "," });
            messages.push_str(message);
        }

        messages.push(']');
        let answer_tokens = turn.answer_tokens.unwrap_or(terms.answer_tokens);

        let own = [
            ("messages", messages),
            ("model", json!(model.as_str()).to_string()),
            ("max_tokens", answer_tokens.to_string()),
            ("stream", "true".to_owned()),
            ("stream_options", json!({ "include_usage": true }).to_string()),
            ("prompt_cache_key", json!(self.program.id.to_string()).to_string()),
        ];

        for (name, value) in own {
            fields.insert(name, RawValue::from_string(value).map_err(bad)?);
        }

        serde_json::to_vec(&fields).map(Bytes::from).map_err(bad)
    }
}
