//! Requests and responses of the `OpenAI` completions API.

use std::collections::BTreeSet;

use bytes::Bytes;
use samphiresill_core::name::{RequestId, ServiceName};
use samphiresill_core::outcome::Refusal;
use samphiresill_core::units::Tokens;
use serde_json::{Value, json};

use super::answer;

/// Prompt bytes that are estimated as one token.
const BYTES_PER_TOKEN: usize = 4;
/// Number of prompt tokens that cost as much as one generated token.
const PROMPT_TOKENS_PER_GENERATED_TOKEN: usize = 10;
/// Limit on generated tokens for requests that do not set one.
const DEFAULT_MAX_TOKENS: u64 = 4_096;
/// Largest limit on generated tokens that a request may set.
const LARGEST_MAX_TOKENS: u64 = 1_000_000;

/// `Endpoint` is the completions endpoint that a request was sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endpoint {
    /// `/v1/chat/completions`.
    Chat,
    /// `/v1/completions`.
    Text,
}

/// `ModelCall` is a parsed completion request.
#[derive(Clone, Debug)]
pub struct ModelCall {
    /// Name of the model.
    pub model: ServiceName,
    /// Maximum number of tokens to generate.
    pub max_tokens: u64,
    /// Whether repeating the request yields the same text, which is the case at temperature 0.
    pub is_deterministic: bool,
    endpoint: Endpoint,
    prompt_bytes: usize,
    is_stream: bool,
    body: Value,
}

impl ModelCall {
    /// Parses a request body.
    ///
    /// # Errors
    /// An error message for the caller.
    pub fn parse(endpoint: Endpoint, body: &[u8]) -> Result<Self, String> {
        let value: Value =
            serde_json::from_slice(body).map_err(|e| format!("The body is not JSON: {e}."))?;
        let model = value["model"]
            .as_str()
            .ok_or("'model' must be a string.")?
            .into();
        let prompt_bytes = match endpoint {
            Endpoint::Chat => check_messages(&value["messages"])?,
            Endpoint::Text => value["prompt"]
                .as_str()
                .ok_or("'prompt' must be a string.")?
                .len(),
        };
        let is_stream = match &value["stream"] {
            Value::Null => false,
            Value::Bool(b) => *b,
            _ => return Err("'stream' must be true or false.".into()),
        };
        let is_deterministic = value["temperature"].as_f64() == Some(0.0);
        let max_tokens = max_tokens(&value)?;
        let mut body = value;
        body["stream"] = Value::Bool(true);
        body["max_tokens"] = max_tokens.into();
        Ok(Self {
            model,
            max_tokens,
            is_deterministic,
            endpoint,
            prompt_bytes,
            is_stream,
            body,
        })
    }

    /// Returns the path of the request to the engine.
    #[must_use]
    pub fn path(&self) -> &'static str {
        match self.endpoint {
            Endpoint::Chat => "/v1/chat/completions",
            Endpoint::Text => "/v1/completions",
        }
    }

    /// Returns the body of the request to the engine, which always requests a stream.
    #[must_use]
    pub fn body(&self) -> String {
        self.body.to_string()
    }

    /// Returns the cost of processing the prompt.
    #[must_use]
    pub fn prompt_cost(&self) -> Tokens {
        Tokens((self.prompt_tokens() / PROMPT_TOKENS_PER_GENERATED_TOKEN) as u64)
    }

    /// Returns the maximum cost of the request.
    #[must_use]
    pub fn cost_limit(&self) -> Tokens {
        self.prompt_cost() + Tokens(self.max_tokens)
    }

    /// Returns the formatter for responses to this request.
    #[must_use]
    pub fn format(&self, request: &RequestId, created_s: u64) -> Format {
        Format {
            is_stream: self.is_stream,
            endpoint: self.endpoint,
            id: request.clone(),
            model: self.model.clone(),
            created_s,
            prompt_tokens: self.prompt_tokens(),
            max_tokens: self.max_tokens,
        }
    }

    fn prompt_tokens(&self) -> usize {
        self.prompt_bytes.div_ceil(BYTES_PER_TOKEN)
    }
}

fn check_messages(messages: &Value) -> Result<usize, String> {
    let list = messages.as_array().filter(|l| !l.is_empty());
    let list = list.ok_or("'messages' must be a list with at least one message.")?;
    let mut bytes = 0;
    for (index, message) in list.iter().enumerate() {
        if !message["role"].is_string() {
            return Err(format!("'messages[{index}].role' must be a string."));
        }
        bytes += match &message["content"] {
            Value::String(text) => text.len(),
            parts @ Value::Array(_) => parts.to_string().len(),
            _ => {
                return Err(format!(
                    "'messages[{index}].content' must be a string or a list."
                ));
            }
        };
    }
    Ok(bytes)
}

fn max_tokens(value: &Value) -> Result<u64, String> {
    let given = ["max_completion_tokens", "max_tokens"]
        .iter()
        .find(|k| !value[**k].is_null());
    let Some(key) = given else {
        return Ok(DEFAULT_MAX_TOKENS);
    };
    let number = value[*key]
        .as_u64()
        .filter(|n| (1..=LARGEST_MAX_TOKENS).contains(n));
    number.ok_or_else(|| format!("'{key}' must be a whole number from 1 to {LARGEST_MAX_TOKENS}."))
}

/// `Format` formats the response to a request.
#[derive(Clone, Debug)]
pub struct Format {
    /// Whether the caller requested a stream.
    pub is_stream: bool,
    endpoint: Endpoint,
    id: RequestId,
    model: ServiceName,
    created_s: u64,
    prompt_tokens: usize,
    max_tokens: u64,
}

impl Format {
    /// Formats a piece of text as a stream event.
    #[must_use]
    pub fn chunk(&self, text: &str) -> Bytes {
        let choice = match self.endpoint {
            Endpoint::Chat => {
                json!({"index": 0, "delta": {"content": text}, "finish_reason": null})
            }
            Endpoint::Text => json!({"index": 0, "text": text, "finish_reason": null}),
        };
        self.event(&choice)
    }

    /// Formats the final events of a complete stream.
    #[must_use]
    pub fn end(&self, tokens: usize) -> Bytes {
        let reason = self.finish_reason(tokens);
        let choice = match self.endpoint {
            Endpoint::Chat => json!({"index": 0, "delta": {}, "finish_reason": reason}),
            Endpoint::Text => json!({"index": 0, "text": "", "finish_reason": reason}),
        };
        [&self.event(&choice)[..], b"data: [DONE]\n\n"]
            .concat()
            .into()
    }

    /// Formats the error event that ends an incomplete stream.
    #[must_use]
    pub fn error(&self, refusal: Refusal) -> Bytes {
        let body = answer::error_body(refusal, "");
        format!("event: error\ndata: {body}\n\n").into()
    }

    /// Formats a response that is not streamed.
    #[must_use]
    pub fn complete(&self, text: &str, tokens: usize) -> String {
        let reason = self.finish_reason(tokens);
        let (object, choice) = match self.endpoint {
            Endpoint::Chat => (
                "chat.completion",
                json!({"index": 0, "message": {"role": "assistant", "content": text},
                       "finish_reason": reason}),
            ),
            Endpoint::Text => (
                "text_completion",
                json!({"index": 0, "text": text, "finish_reason": reason}),
            ),
        };
        json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model,
            "choices": [choice],
            "usage": {
                "prompt_tokens": self.prompt_tokens, "completion_tokens": tokens,
                "total_tokens": self.prompt_tokens + tokens,
            }
        })
        .to_string()
    }

    fn event(&self, choice: &Value) -> Bytes {
        let object = match self.endpoint {
            Endpoint::Chat => "chat.completion.chunk",
            Endpoint::Text => "text_completion",
        };
        let data = json!({
            "id": self.id, "object": object, "created": self.created_s, "model": self.model,
            "choices": [choice],
        });
        format!("data: {data}\n\n").into()
    }

    fn finish_reason(&self, tokens: usize) -> &'static str {
        if tokens as u64 >= self.max_tokens {
            "length"
        } else {
            "stop"
        }
    }
}

/// Formats the list of models.
#[must_use]
pub fn model_list(models: &BTreeSet<ServiceName>) -> String {
    let entry = |m: &ServiceName| json!({"id": m, "object": "model", "owned_by": "samphiresill"});
    let data: Vec<Value> = models.iter().map(entry).collect();
    json!({"object": "list", "data": data}).to_string()
}
