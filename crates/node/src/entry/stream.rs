//! Model answers as streams of lines, resumed at the exact offset when they break.

use std::{io, time::Duration};

use base::{ContentDigest, Outcome, RefusalReason};
use bytes::{Bytes, BytesMut};
use route::WorkTarget;
use serde::Deserialize;
use serde_json::json;
use tokio::{
    sync::mpsc::{self, error::SendTimeoutError},
    time::timeout,
};

use super::{
    exchange::{AttemptFailure, OpenAnswer},
    forward::{ForwardRefusal, ProgressGuard, RequestRun},
    service::collect_rest,
};

/// Longest line of an answer; a token line has far less than 1 KiB.
const MAX_LINE_BYTES: usize = 64 << 10;
/// Longest wait for the first token: a prefill under load takes a few seconds.
const FIRST_TOKEN_TIMEOUT: Duration = Duration::from_secs(10);
/// Longest wait for a later token. The target is 56 ms between tokens, and the stream can be resumed elsewhere.
const NEXT_TOKEN_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for the end of the exchange after the last line; without it the channel is not used again.
const END_TIMEOUT: Duration = Duration::from_millis(500);
/// A caller that takes no line for this long is disconnected, so that it does not hold a slot of an upstream.
const CALLER_STALL_TIMEOUT: Duration = Duration::from_secs(30);
/// Lines that wait for the caller.
const WAITING_LINES: usize = 64;

/// Lines for the caller.
pub type LineSender = mpsc::Sender<Result<Bytes, io::Error>>;
/// Lines for the caller, as the response body takes them.
pub type LineReceiver = mpsc::Receiver<Result<Bytes, io::Error>>;

/// One line of an engine's answer.
#[derive(Deserialize)]
struct AnswerLine {
    index: Option<u64>,
    #[serde(default)]
    done: bool,
    count: Option<u64>,
    manifest: Option<ContentDigest>,
}

/// What the first part of a model request gave.
pub enum ModelStart {
    /// A stream of lines.
    Stream(Box<TokenStream>),
    /// The engine's answer to a faulty request: status, content type and body.
    Fault(u16, String, Bytes),
}

/// A line for the caller.
enum StreamLine {
    Token(Bytes),
    Done(Bytes),
}

/// The answer to one model request; counts tokens and continues on another upstream when the answer breaks.
pub struct TokenStream {
    run: RequestRun,
    target: WorkTarget,
    answer: Option<OpenAnswer>,
    buffer: BytesMut,
    delivered: u64,
    first: Option<StreamLine>,
    first_latency: Duration,
}

impl TokenStream {
    /// Tries upstreams until the first line has arrived.
    ///
    /// # Errors
    /// Fails with the final answer to the caller.
    pub async fn start(run: RequestRun, target: WorkTarget) -> Result<ModelStart, ForwardRefusal> {
        let mut stream = Self {
            run,
            target,
            answer: None,
            buffer: BytesMut::new(),
            delivered: 0,
            first: None,
            first_latency: Duration::ZERO,
        };
        let mut answer = stream.run.start(&stream.target, 0).await?;
        if answer.head.status != 200 {
            let (status, content_type) = (answer.head.status, answer.head.content_type.clone());
            let collected = timeout(stream.run.time_left(), collect_rest(&mut answer)).await;
            let body = match collected.unwrap_or(Err(AttemptFailure::LATE)) {
                Ok(body) => body,
                Err(failure) => {
                    stream.run.fail(failure).await;
                    return Err(stream.run.refuse_as_last(failure.reason));
                }
            };
            stream.run.succeed(&answer);
            let status = u16::try_from(status).unwrap_or(502);
            return Ok(ModelStart::Fault(status, content_type, body));
        }
        stream.answer = Some(answer);
        stream.first = Some(stream.next_line().await?);
        let clock = &stream.run.forwarder.context.clock;
        stream.first_latency = clock.now().saturating_duration_since(stream.run.request.started);
        Ok(ModelStart::Stream(Box::new(stream)))
    }

    /// Copies lines to the caller until the answer ends; `guard` counts the request as in progress.
    pub async fn copy(mut self, sender: LineSender, guard: ProgressGuard) {
        let outcome = tokio::select! {
            outcome = self.copy_lines(&sender) => outcome,
            () = sender.closed() => None,
        };
        let forwarder = self.run.forwarder.clone();
        match outcome {
            Some(outcome) => {
                forwarder.record_outcome(&self.run.request, outcome, self.first_latency);
            }
            None => forwarder.metrics.cancelled(),
        }
        // The channel is closed before the guard goes, so that a planned stop leaves no exchange behind.
        drop(self);
        drop(guard);
    }

    /// Returns nothing if the caller left.
    async fn copy_lines(&mut self, sender: &LineSender) -> Option<Outcome> {
        loop {
            let line = match self.first.take() {
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
            self.answer = None;
            self.buffer.clear();
            self.run.fail(failure).await;
            let answer = self.run.start(&self.target, self.delivered).await?;
            if answer.head.status != 200 {
                return Err(self.run.refuse(RefusalReason::InvalidAnswer, Duration::ZERO));
            }
            if self.delivered > 0 {
                self.run.forwarder.metrics.resumed();
            }
            self.answer = Some(answer);
        }
    }

    /// Reads the next line that the caller does not have yet.
    async fn read_line(&mut self) -> Result<StreamLine, AttemptFailure> {
        loop {
            while let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end + 1).freeze();
                if let Some(line) = self.accept_line(line).await? {
                    return Ok(line);
                }
            }
            if self.buffer.len() > MAX_LINE_BYTES {
                return Err(AttemptFailure::INVALID);
            }
            let part = self.next_part(self.stall_limit()).await?;
            self.buffer.extend_from_slice(&part.ok_or(AttemptFailure::INVALID)?);
        }
    }

    /// Longest wait for the next part; never much longer than the deadline, so that the caller gets its final answer.
    fn stall_limit(&self) -> Duration {
        let stall = if self.delivered == 0 { FIRST_TOKEN_TIMEOUT } else { NEXT_TOKEN_TIMEOUT };
        stall.min(self.run.time_left())
    }

    async fn next_part(&mut self, limit: Duration) -> Result<Option<Bytes>, AttemptFailure> {
        let answer = self.answer.as_mut().ok_or(AttemptFailure::INVALID)?;
        tokio::select! {
            part = timeout(limit, answer.next()) => part.unwrap_or(Err(AttemptFailure::LATE)),
            () = self.run.lost() => Err(AttemptFailure::BROKEN),
        }
    }

    async fn accept_line(&mut self, line: Bytes) -> Result<Option<StreamLine>, AttemptFailure> {
        let parsed: AnswerLine =
            serde_json::from_slice(&line).map_err(|_| AttemptFailure::INVALID)?;
        if parsed.done {
            let head = self.answer.as_ref().map(|answer| &answer.head);
            let same = parsed.manifest.is_some_and(|manifest| {
                head.is_some_and(|head| head.manifest == manifest.as_bytes()[..])
            });
            if parsed.count != Some(self.delivered) || !same {
                return Err(AttemptFailure::INVALID);
            }
            self.finish().await;
            return Ok(Some(StreamLine::Done(line)));
        }
        match parsed.index {
            // The engine repeats a token that the caller has.
            Some(index) if index < self.delivered => Ok(None),
            Some(index) if index == self.delivered => {
                self.delivered += 1;
                self.pin_version();
                Ok(Some(StreamLine::Token(line)))
            }
            _ => Err(AttemptFailure::INVALID),
        }
    }

    /// From the first token on only the same weights may continue.
    fn pin_version(&mut self) {
        if self.delivered == 1
            && let Some(answer) = &self.answer
            && let Ok(manifest) = ContentDigest::from_slice(&answer.head.manifest)
        {
            self.target = WorkTarget::Manifest(manifest);
        }
    }

    /// Waits for the end of the exchange, so that the channel can be used again.
    async fn finish(&mut self) {
        let _ = self.next_part(END_TIMEOUT).await;
        if let Some(answer) = self.answer.take() {
            self.run.succeed(&answer);
        }
    }
}

/// Last line of a stream that cannot be continued.
fn error_line(refusal: &ForwardRefusal) -> Bytes {
    let error = json!({
        "outcome": Outcome::Unknown,
        "reason": refusal.reason,
        "retry_after_ms": u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX),
    });
    format!("{}\n", json!({ "error": error })).into()
}

/// Runs a model request until its first line; see [`TokenStream::start`].
///
/// # Errors
/// Fails with the final answer to the caller.
pub async fn start_model(
    run: RequestRun,
    target: Option<WorkTarget>,
) -> Result<ModelStart, ForwardRefusal> {
    match target {
        Some(target) => TokenStream::start(run, target).await,
        None => Err(run.refuse(RefusalReason::NoUpstream, Duration::from_secs(1))),
    }
}

/// Channel between the task that copies lines and the response body.
#[must_use]
pub fn line_channel() -> (LineSender, LineReceiver) {
    mpsc::channel(WAITING_LINES)
}
