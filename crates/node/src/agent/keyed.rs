//! Requests that must run at most once. Each key runs in its own task, independent of the connections that wait for its
//! response.

use std::{
    collections::HashMap,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use base::{ContentDigest, Incarnation, RefusalReason};
use bytes::BytesMut;
use futures_util::TryStreamExt;
use limit::WorkResult;
use log::{debug, error, warn};
use once::{
    AttemptId, BeginVerdict, KeyOwner, RecordError, RecordOptions, RecordedResult, RequestKey,
    RequestTable, RetainedResponse, SettledKey,
};
use ports::PlatformError;
use tokio::{sync::oneshot, time::timeout};
use wire::Forward;

use super::{
    core::{AdmittedWork, RequestCore, fingerprint},
    relay::connection_loss_reason,
};

/// Maximum size of a response in bytes. Services with keyed requests have small responses; a larger one is not
/// delivered, and the outcome is `unknown`.
const MAX_RESPONSE_BYTES: usize = 1 << 20;
/// Delay after the caller's deadline until a request without a response is abandoned and its slot is returned.
const DEADLINE_OVERRUN: Duration = Duration::from_secs(60);

/// Result of [`KeyedRequests::begin`] for one attempt.
pub enum KeyedStart {
    /// The request is in progress; the result arrives later.
    Wait(PendingResult),
    /// The result is already known.
    Settled(RecordedResult),
    /// The key was already used for a request with different content.
    ContentMismatch,
}

/// Result that one attempt waits for. Dropping it ends the wait; the request continues.
pub struct PendingResult {
    requests: Arc<KeyedRequests>,
    key: RequestKey,
    attempt: AttemptId,
    receiver: oneshot::Receiver<RecordedResult>,
}

/// Records of the keyed requests and the attempts that wait for them.
pub struct KeyedRequests {
    core: Arc<RequestCore>,
    state: Mutex<KeyedState>,
}

struct KeyedState {
    table: RequestTable,
    waiting: HashMap<AttemptId, oneshot::Sender<RecordedResult>>,
    next_attempt: AttemptId,
}

/// Result of sending a request to the upstream once.
enum UpstreamResult {
    Responded(RetainedResponse),
    NotSent,
    Lost(RefusalReason),
}

impl KeyedRequests {
    /// Creates an empty set of records, whose keys belong to this incarnation of the agent.
    #[must_use]
    pub fn new(core: Arc<RequestCore>, options: RecordOptions) -> Arc<Self> {
        let owner = KeyOwner::new(core.upstream.clone(), core.context.incarnation);
        let table = RequestTable::new(owner, options);
        let state = KeyedState { table, waiting: HashMap::new(), next_attempt: 0 };
        Arc::new(Self { core, state: Mutex::new(state) })
    }

    /// Begins an attempt. The first attempt of a key starts the request, which continues even if all attempts are
    /// dropped.
    pub fn begin(
        self: &Arc<Self>,
        key: RequestKey,
        forward: &Forward,
        deadline: Instant,
    ) -> KeyedStart {
        let uptime = self.core.uptime();
        let mut state = self.lock();
        let attempt = state.next_attempt;
        state.next_attempt += 1;
        let verdict = state.table.begin(&key, content_digest(forward), attempt, uptime);
        let runs = verdict == BeginVerdict::Run;
        match verdict {
            BeginVerdict::Run | BeginVerdict::Wait => {}
            BeginVerdict::Settled(result) => return KeyedStart::Settled(result),
            BeginVerdict::Unknown(reason) => {
                return KeyedStart::Settled(RecordedResult::Unknown(reason));
            }
            BeginVerdict::ContentMismatch => return KeyedStart::ContentMismatch,
        }
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(attempt, sender);
        drop(state);
        if runs {
            let run = self.clone().run(key.clone(), forward.clone(), deadline, attempt);
            self.core.context.spawn_traffic(run);
        }
        KeyedStart::Wait(PendingResult { requests: self.clone(), key, attempt, receiver })
    }

    async fn run(
        self: Arc<Self>,
        key: RequestKey,
        forward: Forward,
        deadline: Instant,
        first: AttemptId,
    ) {
        let progress = self.core.progress.add(&forward, self.core.now());
        let work = match self.core.acquire(&forward, deadline, &progress).await {
            Ok(work) => work,
            Err(refusal) => {
                return self.settle(first, |table| table.settle_not_run(&key, refusal.reason));
            }
        };
        // Marked as sent before the first byte is written, so that the request is never sent again after a failure.
        if let Err(error) = self.lock().table.mark_sent(&key) {
            error!("event=keyed_send_refused error=\"{error}\"");
            return work.ticket.release();
        }
        let started = self.core.now();
        let left = deadline.saturating_duration_since(started) + DEADLINE_OVERRUN;
        let end = timeout(left, self.send(&forward, &work)).await;
        let end = end.unwrap_or(UpstreamResult::Lost(RefusalReason::DeadlineExceeded));
        let result = match end {
            UpstreamResult::Responded(_) => {
                let latency = self.core.now().saturating_duration_since(started);
                self.core.crashes.record_success(fingerprint(&forward).as_ref(), work.isolated);
                WorkResult::Success { latency }
            }
            _ => WorkResult::Neutral,
        };
        self.finish(&key, first, end);
        work.ticket.finish(result);
    }

    /// Sends the request once and collects the response.
    async fn send(&self, forward: &Forward, work: &AdmittedWork) -> UpstreamResult {
        let collected = tokio::select! {
            collected = self.collect(forward) => collected,
            () = self.core.crashes.wait_until_replaced(work.incarnation) => {
                return self.classify_loss(work.incarnation).await;
            }
        };
        match collected {
            Ok(end) => end,
            Err(error) if error.is_not_sent() => UpstreamResult::NotSent,
            Err(error) => {
                warn!("event=keyed_answer_broken error=\"{error}\"");
                self.classify_loss(work.incarnation).await
            }
        }
    }

    async fn classify_loss(&self, incarnation: Incarnation) -> UpstreamResult {
        UpstreamResult::Lost(connection_loss_reason(
            self.core.crashes.detect_crash(incarnation).await,
        ))
    }

    async fn collect(&self, forward: &Forward) -> Result<UpstreamResult, PlatformError> {
        let mut response = self.core.send(forward).await?;
        let mut body = BytesMut::new();
        while let Some(part) = response.body.try_next().await? {
            if body.len() + part.len() > MAX_RESPONSE_BYTES {
                return Ok(UpstreamResult::Lost(RefusalReason::AnswerNotRetained));
            }
            body.extend_from_slice(&part);
        }
        if !response.is_delimited {
            return Ok(UpstreamResult::Lost(RefusalReason::InvalidAnswer));
        }
        let (status, content_type) = (response.status, response.content_type);
        Ok(UpstreamResult::Responded(RetainedResponse {
            status,
            content_type,
            body: body.freeze(),
        }))
    }

    fn finish(&self, key: &RequestKey, first: AttemptId, end: UpstreamResult) {
        match end {
            UpstreamResult::Responded(response) => {
                // The first attempt gets the response even if it is too large to be retained.
                if let Some(sender) = self.lock().waiting.remove(&first) {
                    let _ = sender.send(RecordedResult::Answered(response.clone()));
                }
                self.settle(first, |table| table.settle_answered(key, response));
            }
            UpstreamResult::NotSent => {
                self.settle(first, |table| table.settle_undelivered(key, RefusalReason::NotReady))
            }
            UpstreamResult::Lost(reason) => {
                self.settle(first, |table| table.settle_unknown(key, reason))
            }
        }
    }

    fn settle(
        &self,
        first: AttemptId,
        step: impl FnOnce(&mut RequestTable) -> Result<SettledKey, RecordError>,
    ) {
        let mut state = self.lock();
        match step(&mut state.table) {
            Ok(SettledKey { result, waiting }) => {
                for attempt in waiting.into_iter().chain([first]) {
                    if let Some(sender) = state.waiting.remove(&attempt) {
                        let _ = sender.send(result.clone());
                    }
                }
            }
            Err(error) => error!("event=keyed_settle_failed error=\"{error}\""),
        }
    }

    fn lock(&self) -> MutexGuard<'_, KeyedState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PendingResult {
    /// Waits for the result. This method is cancel safe.
    pub async fn result(&mut self) -> RecordedResult {
        let result = (&mut self.receiver).await;
        result.unwrap_or(RecordedResult::Unknown(RefusalReason::ConnectionLost))
    }
}

impl Drop for PendingResult {
    fn drop(&mut self) {
        let mut state = self.requests.lock();
        if state.waiting.remove(&self.attempt).is_some() {
            state.table.remove_waiting(&self.key, self.attempt);
            debug!("event=keyed_attempt_left attempt={}", self.attempt);
        }
    }
}

/// Returns the digest of method, path and body, which identifies the request that a key was used for. Each field is
/// preceded by its length, so that different fields never give the same bytes.
fn content_digest(forward: &Forward) -> ContentDigest {
    let mut bytes = Vec::with_capacity(forward.path.len() + forward.body.len() + 16);
    for field in [forward.method.as_bytes(), forward.path.as_bytes(), &forward.body] {
        bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
        bytes.extend_from_slice(field);
    }
    ContentDigest::of(&bytes)
}
