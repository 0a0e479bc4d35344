//! A streaming client for routers and engines that records when each chunk of a response arrives.

use std::io::Read;
use std::time::Duration;

use anyhow::{Context, bail};
use bytes::Bytes;
use eventsource_stream::Eventsource;
use futures::executor::block_on_stream;
use futures::stream;
use samphiresill_core::clock::Clock;
use serde_json::{Value, json};

/// Longest wait for the next bytes of a response.
const READ_TIMEOUT: Duration = Duration::from_mins(2);

/// `Completion` is a complete streamed response with the arrival times of its chunks.
#[derive(Clone, Debug)]
pub struct Completion {
    /// Concatenated text of all chunks.
    pub text: String,
    /// Time from sending the request to the first non-empty chunk.
    pub time_to_first_chunk: Duration,
    /// Times between successive non-empty chunks.
    pub inter_chunk_times: Vec<Duration>,
}

/// Sends a prompt and reads the streamed response to its end.
///
/// # Errors
/// Returns an error if the request fails, the server responds with an error status or event, or
/// the stream ends before its `[DONE]` event.
pub fn stream_completion(
    clock: &dyn Clock,
    address: &str,
    api_key: &str,
    model: &str,
    request_id: &str,
    prompt: &str,
) -> anyhow::Result<Completion> {
    let body = json!({"model": model, "stream": true, "prompt": prompt}).to_string();
    let start = clock.monotonic();
    let response = attohttpc::post(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {api_key}"))
        .header("x-request-id", request_id)
        .read_timeout(READ_TIMEOUT)
        .text(body)
        .send()?;
    let (status, _, mut reader) = response.split();
    if !status.is_success() {
        let mut text = String::new();
        reader.read_to_string(&mut text)?;
        bail!("request failed with status {status}: {text}");
    }
    let mut buf = vec![0; 8 * 1024];
    let chunks = std::iter::from_fn(move || match reader.read(&mut buf) {
        Ok(0) => None,
        Ok(n) => Some(Ok(Bytes::copy_from_slice(&buf[..n]))),
        Err(e) => Some(Err(e)),
    });
    let mut completion = Completion {
        text: String::new(),
        time_to_first_chunk: Duration::ZERO,
        inter_chunk_times: Vec::new(),
    };
    let mut last_chunk_at = None;
    for event in block_on_stream(stream::iter(chunks).eventsource()) {
        let event = event.context("response stream failed before its [DONE] event")?;
        if event.data == "[DONE]" {
            return Ok(completion);
        }
        let data: Value = serde_json::from_str(&event.data)?;
        if !data["error"].is_null() {
            bail!("response stream contains an error event: {}", data["error"]);
        }
        let choice = &data["choices"][0];
        let text = choice["text"]
            .as_str()
            .or_else(|| choice["delta"]["content"].as_str());
        let Some(text) = text.filter(|t| !t.is_empty()) else {
            continue;
        };
        let now = clock.monotonic();
        match last_chunk_at.replace(now) {
            None => completion.time_to_first_chunk = now.saturating_sub(start),
            Some(previous) => completion
                .inter_chunk_times
                .push(now.saturating_sub(previous)),
        }
        completion.text.push_str(text);
    }
    bail!("response stream ended without a [DONE] event")
}
