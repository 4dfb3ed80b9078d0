//! Streams model responses line by line, and resumes a broken response at the exact token on another attempt.

use std::{io, time::Duration};

use base::{ContentDigest, Outcome, RefusalReason};
use bytes::{Bytes, BytesMut};
use route::RequestTarget;
use serde::Deserialize;
use serde_json::json;
use tokio::{
    sync::mpsc::{self, error::SendTimeoutError},
    time::timeout,
};

use super::{
    exchange::{AttemptFailure, IncomingResponse},
    forward::{ForwardRefusal, ProgressGuard, RequestRun},
    service::collect_body,
};

/// Maximum length of a line in bytes; a token line is far shorter than 1 KiB.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Timeout for the first token; a prefill under load takes a few seconds.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Timeout for each later token. The target is 56 ms between tokens, and the stream can be resumed on another upstream.
const NEXT_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout for the end of the exchange after the last line. If it does not arrive, the channel is not reused.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// Timeout after which a caller that reads no line is disconnected, so that it does not occupy a slot of an upstream.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum number of lines buffered for the caller.
const LINE_BUFFER: usize = 64;

/// Sending half of the channel for the lines of a response.
pub type LineSender = mpsc::Sender<Result<Bytes, io::Error>>;
/// Receiving half of the channel for the lines of a response, read by the response body.
pub type LineReceiver = mpsc::Receiver<Result<Bytes, io::Error>>;

/// One line of a response from the engine.
#[derive(Deserialize)]
struct ResponseLine {
    index: Option<u64>,
    #[serde(default)]
    done: bool,
    count: Option<u64>,
    manifest: Option<ContentDigest>,
}

/// Start of the response to a model request.
pub enum ModelResponse {
    /// A stream of lines.
    Stream(Box<TokenStream>),
    /// The engine's response to an invalid request: status, content type and body.
    ErrorResponse(u16, String, Bytes),
}

/// A line that is passed on to the caller.
enum StreamLine {
    Token(Bytes),
    Done(Bytes),
}

/// Response to one model request. Counts the delivered tokens, and resumes on another upstream when the response
/// breaks.
pub struct TokenStream {
    run: RequestRun,
    target: RequestTarget,
    response: Option<IncomingResponse>,
    buffer: BytesMut,
    delivered_tokens: u64,
    first_line: Option<StreamLine>,
    first_latency: Duration,
}

impl TokenStream {
    /// Tries upstreams until the first line has arrived.
    ///
    /// # Errors
    /// Fails with the refusal for the caller.
    pub async fn start(
        run: RequestRun,
        target: RequestTarget,
    ) -> Result<ModelResponse, ForwardRefusal> {
        let mut stream = Self {
            run,
            target,
            response: None,
            buffer: BytesMut::new(),
            delivered_tokens: 0,
            first_line: None,
            first_latency: Duration::ZERO,
        };
        let mut response = stream.run.start(&stream.target, 0).await?;
        if response.head.status != 200 {
            let (status, content_type) = (response.head.status, response.head.content_type.clone());
            let collected = timeout(stream.run.time_left(), collect_body(&mut response)).await;
            let body = match collected.unwrap_or(Err(AttemptFailure::TIMED_OUT)) {
                Ok(body) => body,
                Err(failure) => {
                    stream.run.fail_attempt(failure).await;
                    return Err(stream.run.refuse_with_last_reason(failure.reason));
                }
            };
            stream.run.complete_attempt(&response);
            let status = u16::try_from(status).unwrap_or(502);
            return Ok(ModelResponse::ErrorResponse(status, content_type, body));
        }
        stream.response = Some(response);
        stream.first_line = Some(stream.next_line().await?);
        let clock = &stream.run.forwarder.context.clock;
        stream.first_latency = clock.now().saturating_duration_since(stream.run.request.started);
        Ok(ModelResponse::Stream(Box::new(stream)))
    }

    /// Forwards lines to the caller until the response ends; `guard` counts the request as in progress.
    pub async fn forward_to(mut self, sender: LineSender, guard: ProgressGuard) {
        let outcome = tokio::select! {
            outcome = self.forward_lines(&sender) => outcome,
            () = sender.closed() => None,
        };
        let forwarder = self.run.forwarder.clone();
        match outcome {
            Some(outcome) => {
                forwarder.record_outcome(&self.run.request, outcome, self.first_latency);
            }
            None => forwarder.metrics.cancelled(),
        }
        // The channel is closed before the guard is dropped, so that a planned stop waits for the end of the exchange.
        drop(self);
        drop(guard);
    }

    /// Forwards the lines and returns the outcome, or `None` if the caller disconnected.
    async fn forward_lines(&mut self, sender: &LineSender) -> Option<Outcome> {
        loop {
            let line = match self.first_line.take() {
                Some(line) => Ok(line),
                None => self.next_line().await,
            };
            let (line, outcome) = match line {
                Ok(StreamLine::Token(line)) => (line, None),
                Ok(StreamLine::Done(line)) => (line, Some(Outcome::Answered)),
                Err(refusal) => (error_line(&refusal), Some(Outcome::Unknown)),
            };
            match sender.send_timeout(Ok(line), CALLER_STALL_TIMEOUT).await {
                Ok(()) => {}
                Err(SendTimeoutError::Timeout(_) | SendTimeoutError::Closed(_)) => return None,
            }
            if outcome.is_some() {
                return outcome;
            }
        }
    }

    async fn next_line(&mut self) -> Result<StreamLine, ForwardRefusal> {
        loop {
            let failure = match self.read_line().await {
                Ok(line) => return Ok(line),
                Err(failure) => failure,
            };
            self.response = None;
            self.buffer.clear();
            self.run.fail_attempt(failure).await;
            let response = self.run.start(&self.target, self.delivered_tokens).await?;
            if response.head.status != 200 {
                return Err(self.run.refuse(RefusalReason::InvalidAnswer, Duration::ZERO));
            }
            if self.delivered_tokens > 0 {
                self.run.forwarder.metrics.resumed();
            }
            self.response = Some(response);
        }
    }

    /// Reads the next line that has not been delivered to the caller.
    async fn read_line(&mut self) -> Result<StreamLine, AttemptFailure> {
        loop {
            while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1).freeze();
                if let Some(line) = self.accept_line(line).await? {
                    return Ok(line);
                }
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(AttemptFailure::INVALID_RESPONSE);
            }
            let part = self.receive_part(self.stall_timeout()).await?;
            self.buffer.extend_from_slice(&part.ok_or(AttemptFailure::INVALID_RESPONSE)?);
        }
    }

    /// Returns the timeout for the next part of the body. It ends shortly after the deadline at the latest, so that the
    /// caller gets a final line.
    fn stall_timeout(&self) -> Duration {
        let limit =
            if self.delivered_tokens == 0 { FIRST_TOKEN_TIMEOUT } else { NEXT_TOKEN_TIMEOUT };
        limit.min(self.run.time_left())
    }

    async fn receive_part(&mut self, limit: Duration) -> Result<Option<Bytes>, AttemptFailure> {
        let response = self.response.as_mut().ok_or(AttemptFailure::INVALID_RESPONSE)?;
        tokio::select! {
            part = timeout(limit, response.next()) => part.unwrap_or(Err(AttemptFailure::TIMED_OUT)),
            () = self.run.wait_until_agent_lost() => Err(AttemptFailure::CONNECTION_LOST),
        }
    }

    async fn accept_line(&mut self, line: Bytes) -> Result<Option<StreamLine>, AttemptFailure> {
        let parsed: ResponseLine =
            serde_json::from_slice(&line).map_err(|_| AttemptFailure::INVALID_RESPONSE)?;
        if parsed.done {
            let head = self.response.as_ref().map(|response| &response.head);
            let manifest_matches = parsed.manifest.is_some_and(|manifest| {
                head.is_some_and(|head| head.manifest == manifest.as_bytes()[..])
            });
            if parsed.count != Some(self.delivered_tokens) || !manifest_matches {
                return Err(AttemptFailure::INVALID_RESPONSE);
            }
            self.finish_exchange().await;
            return Ok(Some(StreamLine::Done(line)));
        }
        match parsed.index {
            // The engine repeated a token that was already delivered.
            Some(index) if index < self.delivered_tokens => Ok(None),
            Some(index) if index == self.delivered_tokens => {
                self.delivered_tokens += 1;
                self.pin_version();
                Ok(Some(StreamLine::Token(line)))
            }
            _ => Err(AttemptFailure::INVALID_RESPONSE),
        }
    }

    /// Requires the same weights for all attempts after the first token.
    fn pin_version(&mut self) {
        if self.delivered_tokens == 1
            && let Some(response) = &self.response
            && let Ok(manifest) = ContentDigest::from_slice(&response.head.manifest)
        {
            self.target = RequestTarget::Manifest(manifest);
        }
    }

    /// Waits for the end of the exchange, so that the channel can be reused.
    async fn finish_exchange(&mut self) {
        let _ = self.receive_part(END_TIMEOUT).await;
        if let Some(response) = self.response.take() {
            self.run.complete_attempt(&response);
        }
    }
}

/// Returns the last line of a stream that cannot be resumed.
fn error_line(refusal: &ForwardRefusal) -> Bytes {
    let error = json!({
        "outcome": Outcome::Unknown,
        "reason": refusal.reason,
        "retry_after_ms": u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX),
    });
    format!("{}\n", json!({ "error": error })).into()
}

/// Starts a model request and waits for its first line, as [`TokenStream::start`] does.
///
/// # Errors
/// Fails with the refusal for the caller, always if `target` is `None`.
pub async fn start_model(
    run: RequestRun,
    target: Option<RequestTarget>,
) -> Result<ModelResponse, ForwardRefusal> {
    match target {
        Some(target) => TokenStream::start(run, target).await,
        None => Err(run.refuse(RefusalReason::NoUpstream, Duration::from_secs(1))),
    }
}

/// Creates the channel from the task that forwards the lines to the response body.
#[must_use]
pub fn line_channel() -> (LineSender, LineReceiver) {
    mpsc::channel(LINE_BUFFER)
}
