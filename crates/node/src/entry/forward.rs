//! Forwards requests to agents: the state that all requests share, and the attempts of one request.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, AtomicU64, Ordering},
    },
    time::{Duration, Instant},
};

use base::{Outcome, RefusalReason, UpstreamId};
use bytes::Bytes;
use futures_util::future::BoxFuture;
use log::debug;
use rand::RngExt;
use route::{AttemptRequirements, CrashVerdict, RequestTarget, UpstreamChoice};
use serde_json::Value;
use tokio::time::timeout;
use wire::Forward;

use super::{
    agents::AgentTable,
    exchange::{AttemptFailure, IncomingResponse},
    gate::PauseGate,
    metrics::EntryMetrics,
    notices::CrashNotifier,
    request::{CallerRequest, CallerWork},
    state::{SharedState, to_upstream_load},
    stream::StartedStream,
};
use crate::{
    context::NodeContext,
    peer::PeerPool,
    view::{FleetView, ViewReader},
};

/// Retry delay for refusals without one from an agent: half the probe interval, so that the entry has newer reports by
/// then.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Jitter of retry delays as a fraction, so that refused callers do not all retry at the same time.
const RETRY_JITTER: f64 = 0.25;
/// Period after the deadline in which the entry still waits for a refusal from the agent, which has a more precise
/// outcome and reason than a timeout.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(250);
const IDLE_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Refusal of a request, as it is returned to the caller.
#[derive(Clone, Copy, Debug)]
pub struct ForwardRefusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// Reason for the refusal.
    pub reason: RefusalReason,
    /// Delay after which the caller may retry, with jitter.
    pub retry_after: Duration,
}

impl ForwardRefusal {
    /// Creates a refusal with the default retry delay and jitter.
    #[must_use]
    pub fn new(outcome: Outcome, reason: RefusalReason) -> Self {
        Self::with_delay(outcome, reason, RETRY_AFTER)
    }

    /// Creates a refusal with the given retry delay, to which jitter is added.
    #[must_use]
    pub fn with_delay(outcome: Outcome, reason: RefusalReason, delay: Duration) -> Self {
        let jitter = rand::rng().random_range(1.0 - RETRY_JITTER..=1.0 + RETRY_JITTER);
        Self { outcome, reason, retry_after: delay.mul_f64(jitter) }
    }
}

/// Counts a request as in progress until it is dropped.
pub struct ProgressGuard(Arc<AtomicU32>);

impl Drop for ProgressGuard {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

/// State and connections that all requests of the entry share.
pub struct Forwarder {
    /// Clock, tasks and cancellation tokens of this process.
    pub context: NodeContext,
    /// Reader of the configuration and host list in force.
    pub view: ViewReader,
    /// Probed agents and their status.
    pub agents: Arc<AgentTable>,
    /// State of the routing decisions.
    pub state: Arc<SharedState>,
    /// Sender of crash notices.
    pub notices: Arc<CrashNotifier>,
    /// Gate that is closed after a pause of the process.
    pub gate: Arc<PauseGate>,
    /// StatsD metrics of requests.
    pub metrics: EntryMetrics,
    /// Connection pool for forwarded requests.
    pub pool: Arc<PeerPool>,
    /// Counters of requests.
    pub counters: ForwardCounters,
}

/// Number of requests in progress and id of the next request.
pub struct ForwardCounters {
    in_progress: Arc<AtomicU32>,
    next_id: AtomicU64,
}

impl Default for ForwardCounters {
    fn default() -> Self {
        // Starts at a random id, so that a restarted entry does not use the ids of its previous run again.
        Self { in_progress: Arc::default(), next_id: AtomicU64::new(rand::random()) }
    }
}

impl Forwarder {
    /// Waits until no request is in progress, at most for `limit`, and returns the number of those left.
    pub async fn wait_until_idle(&self, limit: Duration) -> u32 {
        let idle = async {
            while self.in_progress() > 0 {
                tokio::time::sleep(IDLE_POLL_INTERVAL).await;
            }
        };
        let _ = timeout(limit, idle).await;
        self.in_progress()
    }

    /// Returns the number of requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.counters.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> ProgressGuard {
        self.counters.in_progress.fetch_add(1, Ordering::Relaxed);
        ProgressGuard(self.counters.in_progress.clone())
    }

    /// Returns the view if new requests may be forwarded: the view is fresh, and the process was not paused since it
    /// was refreshed.
    #[must_use]
    pub fn fresh_view(&self) -> Option<Arc<FleetView>> {
        let open = self.gate.is_open(self.context.clock.now());
        self.view.get().filter(|_| open && self.view.is_fresh())
    }

    /// Creates the message that forwards `request` to an agent.
    #[must_use]
    pub fn forward_message(&self, request: &CallerRequest, isolated: bool) -> Forward {
        let remaining = request.remaining(self.context.clock.now());
        let mut forward = Forward {
            request_id: self.counters.next_id.fetch_add(1, Ordering::Relaxed),
            team: request.team.to_string(),
            priority: request.priority,
            remaining_ms: u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX),
            fingerprint: Bytes::copy_from_slice(request.fingerprint.as_bytes()),
            isolated,
            body: request.body.clone(),
            revision: self.view.get().map_or(0, |view| view.config.revision),
            ..Forward::default()
        };
        match &request.work {
            CallerWork::Model { model, .. } => forward.model = model.to_string(),
            CallerWork::Service { service, method, path, key } => {
                forward.service = service.to_string();
                forward.method = method.to_string();
                forward.path.clone_from(path);
                forward.key = key.as_ref().map_or_else(String::new, |(_, text)| text.clone());
            }
        }
        forward
    }

    /// Sends a request and waits for the head of the response. Fails at once if the agent counts as lost.
    ///
    /// # Errors
    /// Fails if the request is refused, or the head does not arrive or is invalid.
    pub async fn exchange(
        &self,
        upstream: &str,
        peer: SocketAddr,
        forward: Forward,
    ) -> Result<IncomingResponse, AttemptFailure> {
        let limit = Duration::from_millis(forward.remaining_ms) + DEADLINE_GRACE;
        tokio::select! {
            started = IncomingResponse::start(&self.pool, peer, forward, limit) => started,
            () = self.agents.wait_until_lost(upstream) => Err(AttemptFailure::CONNECTION_LOST),
        }
    }

    /// Records that an upstream crashed with the request in flight, and sends the evidence to the other processes
    /// before it returns.
    pub async fn record_crash(&self, upstream: &str, request: &CallerRequest, isolated: bool) {
        let now = self.context.clock.now();
        let evidence = {
            let mut state = self.state.lock();
            state.crashes.record_crash(now, upstream, request.fingerprint, isolated)
        };
        if let Some(evidence) = evidence {
            self.notices.broadcast(&evidence).await;
        }
    }

    /// Records that a request got a complete response.
    pub fn record_success(&self, request: &CallerRequest, isolated: bool) {
        let now = self.context.clock.now();
        let cleared = {
            let mut state = self.state.lock();
            state.budget.record_success(&request.team);
            state.crashes.record_success(now, &request.fingerprint, isolated)
        };
        if let Some(evidence) = cleared {
            self.notices.broadcast_in_background(evidence);
        }
    }

    /// Counts a finished request in the service-level counters and metrics.
    pub fn record_outcome(&self, request: &CallerRequest, outcome: Outcome, latency: Duration) {
        let now = self.context.clock.now();
        let kind = request.kind();
        let result = self.state.lock().meter.record(now, &request.team, kind, outcome, latency);
        self.metrics.request(kind, result, latency);
    }
}

/// An attempt that is in progress.
struct CurrentAttempt {
    choice: UpstreamChoice,
    isolated: bool,
}

/// An attempt beside the one in progress, from its start until it has its first token.
pub struct BackupAttempt {
    attempt: CurrentAttempt,
    started: BoxFuture<'static, Result<StartedStream, AttemptFailure>>,
}

impl BackupAttempt {
    /// Waits for the first token or the end of the attempt. This method is cancel safe.
    pub async fn started(&mut self) -> Result<StartedStream, AttemptFailure> {
        self.started.as_mut().await
    }
}

/// Reason why there is no backup.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BackupRefusal {
    /// No upstream can take the request now.
    NoUpstream,
    /// The retry budget or the number of attempts is used up.
    RetryBudget,
}

/// The attempts of one idempotent request.
pub struct RequestRun {
    /// The caller's request.
    pub request: Arc<CallerRequest>,
    /// State that all requests share.
    pub forwarder: Arc<Forwarder>,
    tried: Vec<UpstreamId>,
    attempts: u32,
    may_have_run: bool,
    last_failure: Option<AttemptFailure>,
    current_attempt: Option<CurrentAttempt>,
}

impl RequestRun {
    /// Creates the run of a request that has not been attempted.
    #[must_use]
    pub fn new(forwarder: Arc<Forwarder>, request: Arc<CallerRequest>) -> Self {
        Self {
            request,
            forwarder,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
            last_failure: None,
            current_attempt: None,
        }
    }

    /// Tries upstreams until a response starts, from token `offset` on. Retries only within the retry budget.
    ///
    /// # Errors
    /// Fails with the refusal for the caller.
    pub async fn start(
        &mut self,
        target: &RequestTarget,
        offset: u64,
    ) -> Result<IncomingResponse, ForwardRefusal> {
        loop {
            let now = self.forwarder.context.clock.now();
            if self.request.remaining(now).is_zero() {
                return Err(self.refuse(RefusalReason::DeadlineExceeded, RETRY_AFTER));
            }
            let (attempt, peer) = self.choose(now, target)?;
            if self.attempts > 0 && !self.take_retry() {
                return Err(self.refuse_with_last_reason(RefusalReason::RetryBudget));
            }
            let forward = self.begin_attempt(now, &attempt, offset);
            let (upstream, expected) = (attempt.choice.upstream.clone(), attempt.choice.manifest);
            self.current_attempt = Some(attempt);
            let started = self.forwarder.exchange(&upstream, peer, forward).await;
            let failure = match started {
                Ok(response) => {
                    match check_head(&response, expected.as_ref().map(|m| &m.as_bytes()[..])) {
                        None => return Ok(response),
                        Some(failure) => failure,
                    }
                }
                Err(failure) => failure,
            };
            self.fail_attempt(failure).await;
        }
    }

    /// Counts an attempt and returns its message.
    fn begin_attempt(&mut self, now: Instant, attempt: &CurrentAttempt, offset: u64) -> Forward {
        self.attempts += 1;
        let CurrentAttempt { choice, isolated } = attempt;
        let mut forward = self.forwarder.forward_message(&self.request, *isolated);
        self.set_target(&mut forward, choice, offset);
        self.tried.push(choice.upstream.clone());
        let upstreams = &mut self.forwarder.state.lock().upstreams;
        upstreams.record_sent(now, &choice.upstream, choice.incarnation);
        forward
    }

    /// Starts an attempt at another upstream, from token `offset` on, beside the one in progress. It is a retry.
    ///
    /// # Errors
    /// Fails if no upstream can take the request, or it may not be retried.
    pub fn start_backup(
        &mut self,
        target: &RequestTarget,
        offset: u64,
    ) -> Result<BackupAttempt, BackupRefusal> {
        let now = self.forwarder.context.clock.now();
        let (attempt, peer) = self.choose(now, target).map_err(|_| BackupRefusal::NoUpstream)?;
        if !self.take_retry() {
            return Err(BackupRefusal::RetryBudget);
        }
        let forward = self.begin_attempt(now, &attempt, offset);
        let (upstream, expected) = (attempt.choice.upstream.clone(), attempt.choice.manifest);
        let forwarder = self.forwarder.clone();
        let started = Box::pin(async move {
            let response = forwarder.exchange(&upstream, peer, forward).await?;
            let failure = check_head(&response, expected.as_ref().map(|m| &m.as_bytes()[..]));
            if let Some(failure) = failure {
                return Err(failure);
            }
            tokio::select! {
                started = StartedStream::read(response, offset) => started,
                () = forwarder.agents.wait_until_lost(&upstream) => {
                    Err(AttemptFailure::CONNECTION_LOST)
                }
            }
        });
        Ok(BackupAttempt { attempt, started })
    }

    /// Records that a backup failed. One that did not run leaves its attempt to the next one.
    pub async fn fail_backup(&mut self, backup: BackupAttempt, failure: AttemptFailure) {
        if failure.outcome == Outcome::NotRun {
            self.attempts -= 1;
        }
        self.record_failure(backup.attempt, failure).await;
    }

    /// Records that a backup has replaced the attempt in progress, which has been silent for too long or has failed.
    pub async fn replace_attempt(&mut self, backup: BackupAttempt) {
        if let Some(silent) = self.current_attempt.replace(backup.attempt) {
            self.record_failure(silent, AttemptFailure::TIMED_OUT).await;
        }
    }

    /// Records that the attempt in progress failed.
    pub async fn fail_attempt(&mut self, failure: AttemptFailure) {
        match self.current_attempt.take() {
            Some(attempt) => self.record_failure(attempt, failure).await,
            None => self.note_failure(failure),
        }
    }

    fn note_failure(&mut self, failure: AttemptFailure) {
        self.may_have_run |= failure.outcome != Outcome::NotRun;
        self.last_failure = Some(failure);
    }

    async fn record_failure(&mut self, attempt: CurrentAttempt, failure: AttemptFailure) {
        self.note_failure(failure);
        let CurrentAttempt { choice, isolated } = attempt;
        debug!(
            "event=attempt_failed upstream={} attempt={} outcome={} reason={} crashed={}",
            choice.upstream, self.attempts, failure.outcome, failure.reason, failure.crashed,
        );
        let now = self.forwarder.context.clock.now();
        {
            let upstreams = &mut self.forwarder.state.lock().upstreams;
            let (upstream, incarnation) = (&choice.upstream, choice.incarnation);
            if let Some(load) = &failure.load {
                upstreams.record_load(now, upstream, incarnation, to_upstream_load(load));
            }
            if failure.unreachable || failure.crashed {
                upstreams.record_failure(now, upstream, incarnation);
            }
            if failure.reason == RefusalReason::Draining {
                upstreams.record_draining(upstream, incarnation);
            }
        }
        if failure.unreachable {
            self.forwarder.agents.connect_failed(&choice.upstream);
        }
        if failure.crashed {
            self.forwarder.record_crash(&choice.upstream, &self.request, isolated).await;
        }
    }

    /// Records that the attempt in progress got a complete response.
    pub fn complete_attempt(&mut self, response: &IncomingResponse) {
        let Some(CurrentAttempt { choice, isolated }) = self.current_attempt.take() else { return };
        let now = self.forwarder.context.clock.now();
        {
            let state = &mut *self.forwarder.state.lock();
            if let Some(load) = &response.load {
                let load = to_upstream_load(load);
                state.upstreams.record_load(now, &choice.upstream, choice.incarnation, load);
            }
            if let Some(prefix) = prompt_prefix(self.request.prompt()) {
                state.prefixes.record_served(now, &choice.upstream, prefix);
            }
        }
        self.forwarder.record_success(&self.request, isolated);
    }

    /// Waits until the agent of the attempt in progress counts as lost; never returns without an attempt in progress.
    pub async fn wait_until_agent_lost(&self) {
        match &self.current_attempt {
            Some(current) => self.forwarder.agents.wait_until_lost(&current.choice.upstream).await,
            None => std::future::pending().await,
        }
    }

    /// Returns the time until the deadline plus [`DEADLINE_GRACE`].
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.request.remaining(self.forwarder.context.clock.now()) + DEADLINE_GRACE
    }

    /// Creates the refusal for the caller. The outcome is `Unknown` if the request may have run in any attempt.
    #[must_use]
    pub fn refuse(&self, reason: RefusalReason, delay: Duration) -> ForwardRefusal {
        let outcome = if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        ForwardRefusal::with_delay(outcome, reason, delay)
    }

    /// Creates the refusal for the caller when no further attempt is possible, with the reason and delay of the last
    /// attempt, or with `reason` if there was none.
    #[must_use]
    pub fn refuse_with_last_reason(&self, reason: RefusalReason) -> ForwardRefusal {
        let last = self.last_failure.as_ref();
        let delay = last.and_then(|failure| failure.retry_after).unwrap_or(RETRY_AFTER);
        self.refuse(last.map_or(reason, |failure| failure.reason), delay)
    }

    fn choose(
        &self,
        now: Instant,
        target: &RequestTarget,
    ) -> Result<(CurrentAttempt, SocketAddr), ForwardRefusal> {
        if self.forwarder.fresh_view().is_none() {
            return Err(self.refuse(RefusalReason::Refreshing, RETRY_AFTER));
        }
        let state = &mut *self.forwarder.state.lock();
        let isolated = match state.crashes.verdict(now, &self.request.fingerprint) {
            CrashVerdict::Allow => None,
            CrashVerdict::Isolate => Some(&self.request.fingerprint),
            CrashVerdict::Refuse { retry_after } => {
                return Err(self.refuse(RefusalReason::CrashSuspect, retry_after));
            }
        };
        let holders = state.prefixes.holders(now, self.request.prompt());
        let requirements =
            AttemptRequirements { target, tried: &self.tried, prefix_holders: &holders, isolated };
        let choice = state.upstreams.choose(now, &mut state.rng, &requirements);
        let choice =
            choice.ok_or_else(|| self.refuse_with_last_reason(RefusalReason::NoUpstream))?;
        let peer = self.forwarder.agents.peer_address(&choice.upstream);
        let peer = peer.ok_or_else(|| self.refuse_with_last_reason(RefusalReason::NoUpstream))?;
        Ok((CurrentAttempt { choice, isolated: isolated.is_some() }, peer))
    }

    /// Charges a retry to the budget; false if the request may not be retried.
    fn take_retry(&self) -> bool {
        let budget = &mut self.forwarder.state.lock().budget;
        let may_retry = budget.take_retry(&self.request.team, self.attempts);
        if !may_retry {
            self.forwarder.metrics.retry_denied();
        }
        may_retry
    }

    fn set_target(&self, forward: &mut Forward, choice: &UpstreamChoice, offset: u64) {
        let Some(manifest) = &choice.manifest else { return };
        forward.manifest = Bytes::copy_from_slice(manifest.as_bytes());
        forward.resume_offset = offset;
        if let CallerWork::Model { model, fields } = &self.request.work {
            let mut fields = fields.clone();
            fields.insert("model".to_owned(), Value::from(model.as_str()));
            fields.insert("manifest".to_owned(), Value::from(manifest.to_string()));
            fields.insert("offset".to_owned(), Value::from(offset));
            fields.insert("priority".to_owned(), Value::from(self.request.priority));
            forward.body = Value::Object(fields).to_string().into();
        }
    }
}

/// Number of leading characters of a prompt that are recorded as its cached prefix until cache events report the actual
/// one. Prompts of the same template have at least these characters in common.
const PREFIX_CHARS: usize = 24;

fn prompt_prefix(prompt: &str) -> Option<&str> {
    prompt.char_indices().nth(PREFIX_CHARS).map(|(end, _)| &prompt[..end])
}

/// Returns a failure for a response that was generated with other weights than requested, or that reports an error of
/// the engine. Status 503 means that the engine refused the request before it ran.
fn check_head(response: &IncomingResponse, manifest: Option<&[u8]>) -> Option<AttemptFailure> {
    let manifest = manifest?;
    match response.head.status {
        503 => Some(AttemptFailure {
            reason: RefusalReason::Overloaded,
            unreachable: false,
            ..AttemptFailure::NOT_SENT
        }),
        500.. => Some(AttemptFailure::INVALID_RESPONSE),
        200 if response.head.manifest != manifest => Some(AttemptFailure::INVALID_RESPONSE),
        _ => None,
    }
}
