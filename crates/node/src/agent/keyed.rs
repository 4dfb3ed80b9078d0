//! Requests that must not run twice: each key runs in a task of its own, independent of the connections that ask for
//! its answer.

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
    RequestRecord, RetainedAnswer, SettledKey,
};
use ports::PlatformError;
use tokio::{sync::oneshot, time::timeout};
use wire::Forward;

use super::{
    core::{AdmittedWork, CallCore, fingerprint},
    relay::broken_reason,
};

/// Largest answer that is delivered, in bytes. Larger answers are not a use of services whose calls carry keys.
const MAX_ANSWER_BYTES: usize = 1 << 20;
/// Time after the caller's deadline until a call without an answer is given up and its slot is returned.
const RUN_BOUND: Duration = Duration::from_secs(60);

/// What to do with an attempt of a keyed request.
pub enum KeyedStart {
    /// The result arrives later.
    Wait(KeyedWait),
    /// The result is known.
    Settled(RecordedResult),
    /// The key was used for another request.
    ContentMismatch,
}

/// Wait of one attempt for its result.
pub struct KeyedWait {
    calls: Arc<KeyedCalls>,
    key: RequestKey,
    attempt: AttemptId,
    receiver: oneshot::Receiver<RecordedResult>,
}

/// Record of keyed requests and the attempts that wait.
pub struct KeyedCalls {
    core: Arc<CallCore>,
    state: Mutex<KeyedState>,
}

struct KeyedState {
    record: RequestRecord,
    waiting: HashMap<AttemptId, oneshot::Sender<RecordedResult>>,
    next_attempt: AttemptId,
}

/// What came back from the upstream.
enum CallEnd {
    Answered(RetainedAnswer),
    Undelivered,
    Lost(RefusalReason),
}

impl KeyedCalls {
    /// Creates the empty record of this agent incarnation.
    #[must_use]
    pub fn new(core: Arc<CallCore>, options: RecordOptions) -> Arc<Self> {
        let owner = KeyOwner::new(core.upstream.clone(), core.context.incarnation);
        let record = RequestRecord::new(owner, options);
        let state = KeyedState { record, waiting: HashMap::new(), next_attempt: 0 };
        Arc::new(Self { core, state: Mutex::new(state) })
    }

    /// Takes an attempt. The first one starts the request; it runs on even if every attempt goes away.
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
        let verdict = state.record.begin(&key, content(forward), attempt, uptime);
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
        KeyedStart::Wait(KeyedWait { calls: self.clone(), key, attempt, receiver })
    }

    async fn run(
        self: Arc<Self>,
        key: RequestKey,
        forward: Forward,
        deadline: Instant,
        first: AttemptId,
    ) {
        let progress = self.core.progress.enter(&forward, self.core.now());
        let work = match self.core.acquire(&forward, deadline, &progress).await {
            Ok(work) => work,
            Err(refusal) => {
                return self.settle(first, |record| record.refuse(&key, refusal.reason));
            }
        };
        // The record knows that the request is sent before its first byte leaves.
        if let Err(error) = self.lock().record.mark_sent(&key) {
            error!("event=keyed_send_refused error=\"{error}\"");
            return work.ticket.release();
        }
        let started = self.core.now();
        let left = deadline.saturating_duration_since(started) + RUN_BOUND;
        let end = timeout(left, self.call(&forward, &work)).await;
        let end = end.unwrap_or(CallEnd::Lost(RefusalReason::DeadlineExceeded));
        let result = match end {
            CallEnd::Answered(_) => {
                let latency = self.core.now().saturating_duration_since(started);
                self.core.crashes.note_success(fingerprint(&forward).as_ref(), work.isolated);
                WorkResult::Success { latency }
            }
            _ => WorkResult::Neutral,
        };
        self.finish(&key, first, end);
        work.ticket.finish(result);
    }

    /// Sends the request once and collects its answer.
    async fn call(&self, forward: &Forward, work: &AdmittedWork) -> CallEnd {
        let collected = tokio::select! {
            collected = self.collect(forward) => collected,
            () = self.core.crashes.replaced(work.incarnation) => {
                return self.judge(work.incarnation).await;
            }
        };
        match collected {
            Ok(end) => end,
            Err(error) if error.is_not_sent() => CallEnd::Undelivered,
            Err(error) => {
                warn!("event=keyed_answer_broken error=\"{error}\"");
                self.judge(work.incarnation).await
            }
        }
    }

    async fn judge(&self, incarnation: Incarnation) -> CallEnd {
        CallEnd::Lost(broken_reason(self.core.crashes.judge(incarnation).await))
    }

    async fn collect(&self, forward: &Forward) -> Result<CallEnd, PlatformError> {
        let mut answer = self.core.call(forward).await?;
        let mut body = BytesMut::new();
        while let Some(part) = answer.body.try_next().await? {
            if body.len() + part.len() > MAX_ANSWER_BYTES {
                return Ok(CallEnd::Lost(RefusalReason::AnswerNotRetained));
            }
            body.extend_from_slice(&part);
        }
        if !answer.is_delimited {
            return Ok(CallEnd::Lost(RefusalReason::InvalidAnswer));
        }
        let (status, content_type) = (answer.status, answer.content_type);
        Ok(CallEnd::Answered(RetainedAnswer { status, content_type, body: body.freeze() }))
    }

    fn finish(&self, key: &RequestKey, first: AttemptId, end: CallEnd) {
        match end {
            CallEnd::Answered(answer) => {
                // The first attempt gets the answer even if it is too large to be retained.
                if let Some(sender) = self.lock().waiting.remove(&first) {
                    let _ = sender.send(RecordedResult::Answered(answer.clone()));
                }
                self.settle(first, |record| record.finish(key, answer));
            }
            CallEnd::Undelivered => {
                self.settle(first, |record| record.refuse_undelivered(key, RefusalReason::NotReady))
            }
            CallEnd::Lost(reason) => self.settle(first, |record| record.lose(key, reason)),
        }
    }

    fn settle(
        &self,
        first: AttemptId,
        step: impl FnOnce(&mut RequestRecord) -> Result<SettledKey, RecordError>,
    ) {
        let mut state = self.lock();
        match step(&mut state.record) {
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

impl KeyedWait {
    /// Waits for the result. Cancel safe.
    pub async fn result(&mut self) -> RecordedResult {
        let result = (&mut self.receiver).await;
        result.unwrap_or(RecordedResult::Unknown(RefusalReason::ConnectionLost))
    }
}

impl Drop for KeyedWait {
    fn drop(&mut self) {
        let mut state = self.calls.lock();
        if state.waiting.remove(&self.attempt).is_some() {
            state.record.forget_waiting(&self.key, self.attempt);
            debug!("event=keyed_attempt_left attempt={}", self.attempt);
        }
    }
}

/// Identifies what a key was used for: method, path and body.
fn content(forward: &Forward) -> ContentDigest {
    let mut bytes = Vec::with_capacity(forward.path.len() + forward.body.len() + 16);
    for field in [forward.method.as_bytes(), forward.path.as_bytes(), &forward.body] {
        bytes.extend_from_slice(&(field.len() as u64).to_le_bytes());
        bytes.extend_from_slice(field);
    }
    ContentDigest::of(&bytes)
}
