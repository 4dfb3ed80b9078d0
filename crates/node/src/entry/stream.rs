//! Streams model responses line by line, and resumes a broken response at the exact token on another attempt.

use std::{
    io,
    time::{Duration, Instant},
};

use base::{ContentDigest, Outcome, RefusalReason};
use bytes::{Bytes, BytesMut};
use route::RequestTarget;
use serde::Deserialize;
use serde_json::json;
use tokio::{
    sync::mpsc::{self, error::SendTimeoutError},
    time::{sleep, timeout},
};

use super::{
    exchange::{AttemptFailure, IncomingResponse},
    forward::{BackupAttempt, BackupRefusal, ForwardRefusal, ProgressGuard, RequestRun},
    service::collect_body,
};

/// Maximum length of a line in bytes; a token line is far shorter than 1 KiB.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Silence before the first token after which a backup is sought; a prefill under load takes a few seconds.
const FIRST_TOKEN_DELAY: Duration = Duration::from_secs(10);
/// The same for each later token. The target is 56 ms between tokens, but a sound upstream may be silent for a second.
const NEXT_TOKEN_DELAY: Duration = Duration::from_secs(2);
/// Interval between checks whether another upstream can take the stream of a silent one.
const BACKUP_CHECK_INTERVAL: Duration = Duration::from_millis(250);
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

/// Response of a backup that has its first token.
pub struct StartedStream {
    response: IncomingResponse,
    buffer: BytesMut,
}

impl StartedStream {
    /// Reads a response until it has token `offset`, or its end if there is no such token.
    ///
    /// # Errors
    /// Fails if the response is not a stream, or is incomplete or invalid.
    pub async fn read(mut response: IncomingResponse, offset: u64) -> Result<Self, AttemptFailure> {
        if response.head.status != 200 {
            return Err(AttemptFailure::INVALID_RESPONSE);
        }
        let (mut buffer, mut searched) = (BytesMut::new(), 0);
        loop {
            while let Some(length) = buffer[searched..].iter().position(|byte| *byte == b'\n') {
                let line = &buffer[searched..=searched + length];
                let parsed: ResponseLine =
                    serde_json::from_slice(line).map_err(|_| AttemptFailure::INVALID_RESPONSE)?;
                // Anything else than the next token or the end would break the stream that is still open.
                let position = if parsed.done { parsed.count } else { parsed.index };
                match position {
                    Some(position) if position == offset => return Ok(Self { response, buffer }),
                    Some(position) if position < offset && !parsed.done => {}
                    _ => return Err(AttemptFailure::INVALID_RESPONSE),
                }
                searched += length + 1;
            }
            if buffer.len() - searched > MAX_LINE_BYTES {
                return Err(AttemptFailure::INVALID_RESPONSE);
            }
            let part = response.next().await?;
            buffer.extend_from_slice(&part.ok_or(AttemptFailure::INVALID_RESPONSE)?);
        }
    }
}

/// When a silent upstream is backed up, and when its stream is given up.
struct SilenceLimits {
    /// Time of the next check for a backup; `None` if the request may not be retried.
    backup_at: Option<Instant>,
    /// Shortly after the deadline, so that the caller gets a final line.
    give_up_at: Instant,
}

/// Response to one model request. Counts the delivered tokens, and resumes on another upstream when the response
/// breaks, or when the upstream is silent and another one has a token.
pub struct TokenStream {
    run: RequestRun,
    target: RequestTarget,
    response: Option<IncomingResponse>,
    /// Attempt at another upstream while the current one is silent.
    backup: Option<BackupAttempt>,
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
            backup: None,
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
            if self.continue_with_backup().await {
                continue;
            }
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
        let mut limits = self.silence_limits();
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
            self.receive(&mut limits).await?;
        }
    }

    fn now(&self) -> Instant {
        self.run.forwarder.context.clock.now()
    }

    /// Returns the limits of a silence that begins now.
    fn silence_limits(&self) -> SilenceLimits {
        let now = self.now();
        let delay = if self.delivered_tokens == 0 { FIRST_TOKEN_DELAY } else { NEXT_TOKEN_DELAY };
        SilenceLimits { backup_at: Some(now + delay), give_up_at: now + self.run.time_left() }
    }

    /// Receives the next part of the body. While the upstream is silent, a backup runs beside it, which takes over once it
    /// has a token. An upstream that no other one can replace may be silent until the deadline.
    async fn receive(&mut self, limits: &mut SilenceLimits) -> Result<(), AttemptFailure> {
        loop {
            let now = self.now();
            let wake_at =
                limits.backup_at.map_or(limits.give_up_at, |at| at.min(limits.give_up_at));
            let response = self.response.as_mut().ok_or(AttemptFailure::INVALID_RESPONSE)?;
            let started = tokio::select! {
                biased;
                part = response.next() => {
                    let part = part?.ok_or(AttemptFailure::INVALID_RESPONSE)?;
                    self.buffer.extend_from_slice(&part);
                    return Ok(());
                }
                () = self.run.wait_until_agent_lost() => {
                    return Err(AttemptFailure::CONNECTION_LOST);
                }
                started = wait_for_backup(self.backup.as_mut()) => Some(started),
                () = sleep(wake_at.saturating_duration_since(now)) => None,
            };
            match (started, self.backup.take()) {
                (Some(Ok(started)), Some(backup)) => {
                    self.take_over(backup, started).await;
                    return Ok(());
                }
                (Some(Err(failure)), Some(backup)) => self.run.fail_backup(backup, failure).await,
                (_, backup) => self.backup = backup,
            }
            let now = self.now();
            if now >= limits.give_up_at {
                return Err(AttemptFailure::TIMED_OUT);
            }
            if limits.backup_at.is_some_and(|at| now >= at) {
                limits.backup_at = Some(now + BACKUP_CHECK_INTERVAL);
                if self.backup.is_none() {
                    match self.run.start_backup(&self.target, self.delivered_tokens) {
                        Ok(backup) => self.backup = Some(backup),
                        Err(BackupRefusal::NoUpstream) => {}
                        Err(BackupRefusal::RetryBudget) => limits.backup_at = None,
                    }
                }
            }
        }
    }

    /// Continues with the response of a backup.
    async fn take_over(&mut self, backup: BackupAttempt, started: StartedStream) {
        self.response = Some(started.response);
        self.buffer = started.buffer;
        self.run.replace_attempt(backup).await;
        if self.delivered_tokens > 0 {
            self.run.forwarder.metrics.resumed();
        }
    }

    /// Waits for the backup of a response that has broken; false if there is none or it fails as well.
    async fn continue_with_backup(&mut self) -> bool {
        let Some(mut backup) = self.backup.take() else { return false };
        let started = timeout(self.run.time_left(), backup.started()).await;
        match started.unwrap_or(Err(AttemptFailure::TIMED_OUT)) {
            Ok(started) => {
                self.take_over(backup, started).await;
                true
            }
            Err(failure) => {
                self.run.fail_backup(backup, failure).await;
                false
            }
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
            self.backup = None;
            self.finish_exchange().await;
            return Ok(Some(StreamLine::Done(line)));
        }
        match parsed.index {
            // The engine repeated a token that was already delivered.
            Some(index) if index < self.delivered_tokens => Ok(None),
            Some(index) if index == self.delivered_tokens => {
                self.delivered_tokens += 1;
                self.backup = None;
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
        if let Some(response) = &mut self.response {
            let _ = timeout(END_TIMEOUT, response.next()).await;
        }
        if let Some(response) = self.response.take() {
            self.run.complete_attempt(&response);
        }
    }
}

/// Waits for the first token of a backup; never returns without one.
async fn wait_for_backup(
    backup: Option<&mut BackupAttempt>,
) -> Result<StartedStream, AttemptFailure> {
    match backup {
        Some(backup) => backup.started().await,
        None => std::future::pending().await,
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
