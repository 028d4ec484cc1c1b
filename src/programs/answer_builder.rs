//! Assembles the streamed chunks of a chat completion into one message.

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

/// A tool call whose deltas have been concatenated.
#[derive(Debug, Default)]
struct BuiltToolCall {
    id: String,
    name: String,
    arguments: String,
}

/// Whether a chunk is forwarded to the caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum ChunkKind {
    /// A piece of the answer. It is forwarded to the caller unchanged.
    Delta,
    /// The finish reason or the token usage. It is not forwarded: the host sends its own final chunk, which also
    /// states the outcome of the turn.
    Closing,
}

/// Why a text is not a valid chunk of the chat-completions protocol.
#[derive(Debug, derive_more::Display, derive_more::Error)]
#[display("a chunk is not well formed: {reason}")]
pub(crate) struct ChunkError {
    reason: String,
}

/// Accumulates the chunks of one answer.
#[derive(Debug, Default)]
pub(crate) struct AnswerBuilder {
    content: String,
    tool_calls: BTreeMap<u32, BuiltToolCall>,
    finish_reason: Option<Arc<str>>,
    usage: Option<TokenUsage>,
    delta_count: u64,
}

impl AnswerBuilder {
    /// Adds a chunk, given as JSON text, and returns whether it is forwarded. Fails if the text is not a valid chunk.
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

        self.delta_count += 1;
        Ok(ChunkKind::Delta)
    }

    /// Returns the engine's finish reason, or `stop` if it sent none.
    pub(crate) fn finish_reason(&self) -> Arc<str> {
        self.finish_reason.clone().unwrap_or_else(|| "stop".into())
    }

    /// Returns the assistant's message as JSON text.
    pub(crate) fn message(&self) -> Arc<str> {
        let mut message = json!({ "role": "assistant", "content": self.content });

        if !self.tool_calls.is_empty() {
            message["tool_calls"] = self.tool_calls.values().map(BuiltToolCall::to_json).collect();
        }

        message.to_string().into()
    }

    /// Returns the usage that the engine reported, or the given upper bounds if it reported none.
    pub(crate) fn usage(&self, max_prompt_tokens: u64, max_answer_tokens: u64) -> TokenUsage {
        let max_usage =
            TokenUsage { prompt: max_prompt_tokens, cached: 0, completion: max_answer_tokens };
        self.usage.unwrap_or(max_usage)
    }

    fn push_delta(&mut self, delta: ChunkDelta) {
        self.content.push_str(&delta.content.unwrap_or_default());

        for call_delta in delta.tool_calls {
            let call = self.tool_calls.entry(call_delta.index).or_default();
            call.id.push_str(&call_delta.id.unwrap_or_default());
            call.name.push_str(&call_delta.function.name.unwrap_or_default());
            call.arguments.push_str(&call_delta.function.arguments.unwrap_or_default());
        }
    }
}

impl BuiltToolCall {
    fn to_json(&self) -> Value {
        json!({
            "id": self.id,
            "type": "function",
            "function": { "name": self.name, "arguments": self.arguments },
        })
    }
}
