//! Puts a streamed answer together.

use std::{collections::BTreeMap, sync::Arc};

use serde::Deserialize;
use serde_json::{Value, json};

use crate::TokenUsage;

#[derive(Deserialize)]
struct ChatChunk {
    #[serde(default)]
    choices: Vec<ChunkChoice>,
    #[serde(default)]
    usage: Option<ChunkUsage>,
}

#[derive(Deserialize)]
struct ChunkChoice {
    #[serde(default)]
    delta: ChunkDelta,
    #[serde(default)]
    finish_reason: Option<Arc<str>>,
}

#[derive(Default, Deserialize)]
struct ChunkDelta {
    #[serde(default)]
    content: Option<String>,
    #[serde(default)]
    tool_calls: Vec<ToolCallDelta>,
}

#[derive(Deserialize)]
struct ToolCallDelta {
    index: u32,
    #[serde(default)]
    id: Option<String>,
    #[serde(default)]
    function: FunctionDelta,
}

#[derive(Default, Deserialize)]
struct FunctionDelta {
    #[serde(default)]
    name: Option<String>,
    #[serde(default)]
    arguments: Option<String>,
}

#[derive(Deserialize)]
struct ChunkUsage {
    prompt_tokens: u64,
    completion_tokens: u64,
    #[serde(default)]
    prompt_tokens_details: Option<PromptDetails>,
}

#[derive(Deserialize)]
struct PromptDetails {
    #[serde(default)]
    cached_tokens: u64,
}

#[derive(Debug, Default)]
struct BuiltToolCall {
    id: String,
    name: String,
    arguments: String,
}

/// What a chunk was.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChunkKind {
    /// A part of the answer, which goes to the caller as it is.
    Delta,
    /// The end of the answer, or its usage; the caller gets these in a form of ours.
    Closing,
}

/// A chunk that is not of the chat-completions protocol.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a chunk is not well formed: {reason}")]
pub(crate) struct ChunkError {
    reason: String,
}

/// Collects the chunks of one answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuilder {
    content: String,
    tool_calls: BTreeMap<u32, BuiltToolCall>,
    finish_reason: Option<Arc<str>>,
    usage: Option<TokenUsage>,
    parts: u64,
}

impl AnswerBuilder {
    pub(crate) fn push(&mut self, chunk: &str) -> Result<ChunkKind, ChunkError> {
        let chunk: ChatChunk = serde_json::from_str(chunk)
            .map_err(|error| ChunkError { reason: error.to_string() })?;

        if let Some(usage) = chunk.usage {
            self.usage = Some(TokenUsage {
                prompt: usage.prompt_tokens,
                cached: usage.prompt_tokens_details.map_or(0, |it| it.cached_tokens),
                completion: usage.completion_tokens,
            });
        }

        let Some(choice) = chunk.choices.into_iter().next() else {
            return Ok(ChunkKind::Closing);
        };

        self.push_delta(choice.delta);

        if choice.finish_reason.is_some() {
            self.finish_reason = choice.finish_reason;
            return Ok(ChunkKind::Closing);
        }

        self.parts += 1;
        Ok(ChunkKind::Delta)
    }

    pub(crate) fn finish_reason(&self) -> Arc<str> {
        self.finish_reason.clone().unwrap_or_else(|| "stop".into())
    }

    /// Gives the assistant's message as JSON text.
    pub(crate) fn message(&self) -> Arc<str> {
        let mut message = json!({ "role": "assistant", "content": self.content });

        if !self.tool_calls.is_empty() {
            message["tool_calls"] = self.tool_calls.values().map(BuiltToolCall::json).collect();
        }

        message.to_string().into()
    }

    /// Gives the usage that the engine states, or an upper bound where it states none.
    pub(crate) fn usage(&self, prompt_bound: u64, answer_bound: u64) -> TokenUsage {
        let bound = TokenUsage { prompt: prompt_bound, cached: 0, completion: answer_bound };
        self.usage.unwrap_or(bound)
    }

    fn push_delta(&mut self, delta: ChunkDelta) {
        self.content.push_str(&delta.content.unwrap_or_default());

        for part in delta.tool_calls {
            let call = self.tool_calls.entry(part.index).or_default();
            call.id.push_str(&part.id.unwrap_or_default());
            call.name.push_str(&part.function.name.unwrap_or_default());
            call.arguments.push_str(&part.function.arguments.unwrap_or_default());
        }
    }
}

impl BuiltToolCall {
    fn json(&self) -> Value {
        json!({
            "id": self.id,
            "type": "function",
            "function": { "name": self.name, "arguments": self.arguments },
        })
    }
}
