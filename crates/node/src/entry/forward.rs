//! What all requests of an entry share, and the attempts of one request.

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
use log::debug;
use rand::RngExt;
use route::{CrashVerdict, UpstreamChoice, WantedWork, WorkTarget};
use serde_json::Value;
use tokio::time::timeout;
use wire::Forward;

use super::{
    agents::AgentTable,
    exchange::{AttemptFailure, OpenAnswer},
    gate::PauseGate,
    metrics::EntryMetrics,
    notices::NoticeBoard,
    request::{CallerRequest, CallerWork},
    state::{SharedState, load_of},
};
use crate::{
    context::NodeContext,
    peer::PeerPool,
    view::{FleetView, ViewReader},
};

/// Retry delay of refusals that come with none: half a probe interval, after which the entry knows more.
const RETRY_AFTER: Duration = Duration::from_millis(250);
/// Retry delays are spread by this fraction, so that refused callers do not come back together.
const RETRY_JITTER: f64 = 0.25;
/// Time after the deadline in which the agent's own refusal may still arrive; it says more than a missing answer.
pub const DEADLINE_GRACE: Duration = Duration::from_millis(250);
const FINISH_POLL: Duration = Duration::from_millis(20);

/// A request that was not answered.
#[derive(Clone, Copy, Debug)]
pub struct ForwardRefusal {
    /// What the caller may conclude.
    pub outcome: Outcome,
    /// Why.
    pub reason: RefusalReason,
    /// When a new attempt makes sense.
    pub retry_after: Duration,
}

impl ForwardRefusal {
    /// Creates a refusal with the default retry delay.
    #[must_use]
    pub fn new(outcome: Outcome, reason: RefusalReason) -> Self {
        Self::with_delay(outcome, reason, RETRY_AFTER)
    }

    /// Creates a refusal with a retry delay that is spread.
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

/// What all requests share.
pub struct Forwarder {
    /// Clock and tasks.
    pub context: NodeContext,
    /// View of the fleet.
    pub view: ViewReader,
    /// Agents and their probes.
    pub agents: Arc<AgentTable>,
    /// Decision state.
    pub state: Arc<SharedState>,
    /// Crash notices.
    pub notices: Arc<NoticeBoard>,
    /// Closed after a pause.
    pub gate: Arc<PauseGate>,
    /// Metrics.
    pub metrics: EntryMetrics,
    /// Channels for forwarded requests.
    pub pool: Arc<PeerPool>,
    /// Numbers of requests.
    pub counters: ForwardCounters,
}

/// Requests in progress and the id of the next one.
pub struct ForwardCounters {
    in_progress: Arc<AtomicU32>,
    next_id: AtomicU64,
}

impl Default for ForwardCounters {
    fn default() -> Self {
        // A restarted entry must not continue the ids of the one before.
        Self { in_progress: Arc::default(), next_id: AtomicU64::new(rand::random()) }
    }
}

impl Forwarder {
    /// Waits until nothing is in progress, at most `limit`; returns what is still held.
    pub async fn finish(&self, limit: Duration) -> u32 {
        let idle = async {
            while self.in_progress() > 0 {
                tokio::time::sleep(FINISH_POLL).await;
            }
        };
        let _ = timeout(limit, idle).await;
        self.in_progress()
    }

    /// Requests in progress.
    #[must_use]
    pub fn in_progress(&self) -> u32 {
        self.counters.in_progress.load(Ordering::Relaxed)
    }

    /// Counts a request as in progress.
    #[must_use]
    pub fn begin(&self) -> ProgressGuard {
        self.counters.in_progress.fetch_add(1, Ordering::Relaxed);
        ProgressGuard(self.counters.in_progress.clone())
    }

    /// The view, if new work may be handed out: it is known to be fresh, and the process has not been paused.
    #[must_use]
    pub fn fresh_view(&self) -> Option<Arc<FleetView>> {
        let open = self.gate.is_open(self.context.clock.now());
        self.view.get().filter(|_| open && self.view.is_fresh())
    }

    /// Message that asks an agent to run `request`.
    #[must_use]
    pub fn message(&self, request: &CallerRequest, isolated: bool) -> Forward {
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

    /// Sends a request and waits for the start of the answer. Gives up at once when the agent is lost.
    ///
    /// # Errors
    /// Fails with what the attempt allows to conclude.
    pub async fn exchange(
        &self,
        upstream: &str,
        peer: SocketAddr,
        forward: Forward,
    ) -> Result<OpenAnswer, AttemptFailure> {
        let limit = Duration::from_millis(forward.remaining_ms) + DEADLINE_GRACE;
        tokio::select! {
            started = OpenAnswer::start(&self.pool, peer, forward, limit) => started,
            () = self.agents.lost(upstream) => Err(AttemptFailure::BROKEN),
        }
    }

    /// Records that an upstream crashed with the request in flight, and tells the others before it returns.
    pub async fn record_crash(&self, upstream: &str, request: &CallerRequest, isolated: bool) {
        let now = self.context.clock.now();
        let evidence = {
            let mut state = self.state.lock();
            state.crashes.record_crash(now, upstream, request.fingerprint, isolated)
        };
        if let Some(evidence) = evidence {
            self.notices.share(&evidence).await;
        }
    }

    /// Records that a request was answered whole.
    pub fn record_answer(&self, request: &CallerRequest, isolated: bool) {
        let now = self.context.clock.now();
        let cleared = {
            let mut state = self.state.lock();
            state.budget.record_success(&request.team);
            state.crashes.record_success(now, &request.fingerprint, isolated)
        };
        if let Some(evidence) = cleared {
            self.notices.share_later(evidence);
        }
    }

    /// Counts a finished request for the service level.
    pub fn record_outcome(&self, request: &CallerRequest, outcome: Outcome, latency: Duration) {
        let now = self.context.clock.now();
        let kind = request.kind();
        let result = self.state.lock().meter.record(now, &request.team, kind, outcome, latency);
        self.metrics.request(kind, result, latency);
    }
}

/// The attempt in progress.
struct CurrentAttempt {
    choice: UpstreamChoice,
    isolated: bool,
}

/// The attempts of one idempotent request.
pub struct RequestRun {
    /// The request.
    pub request: Arc<CallerRequest>,
    /// What all requests share.
    pub forwarder: Arc<Forwarder>,
    tried: Vec<UpstreamId>,
    attempts: u32,
    may_have_run: bool,
    last: Option<AttemptFailure>,
    current: Option<CurrentAttempt>,
}

impl RequestRun {
    /// Creates a run without attempts.
    #[must_use]
    pub fn new(forwarder: Arc<Forwarder>, request: Arc<CallerRequest>) -> Self {
        Self {
            request,
            forwarder,
            tried: Vec::new(),
            attempts: 0,
            may_have_run: false,
            last: None,
            current: None,
        }
    }

    /// Tries upstreams until an answer starts, from token `offset` on. Retries only within the budget.
    ///
    /// # Errors
    /// Fails with the final answer to the caller.
    pub async fn start(
        &mut self,
        target: &WorkTarget,
        offset: u64,
    ) -> Result<OpenAnswer, ForwardRefusal> {
        loop {
            let now = self.forwarder.context.clock.now();
            if self.request.remaining(now).is_zero() {
                return Err(self.refuse(RefusalReason::DeadlineExceeded, RETRY_AFTER));
            }
            let (choice, isolated, peer) = self.choose(now, target)?;
            self.attempts += 1;
            let mut forward = self.forwarder.message(&self.request, isolated);
            self.set_target(&mut forward, &choice, offset);
            let upstream = choice.upstream.clone();
            self.tried.push(upstream.clone());
            self.forwarder.state.lock().board.record_sent(now, &upstream, choice.incarnation);
            let expected = choice.manifest;
            self.current = Some(CurrentAttempt { choice, isolated });
            let started = self.forwarder.exchange(&upstream, peer, forward).await;
            let failure = match started {
                Ok(answer) => {
                    match check_head(&answer, expected.as_ref().map(|m| &m.as_bytes()[..])) {
                        None => return Ok(answer),
                        Some(failure) => failure,
                    }
                }
                Err(failure) => failure,
            };
            self.fail(failure).await;
        }
    }

    /// Records that the attempt in progress failed.
    pub async fn fail(&mut self, failure: AttemptFailure) {
        self.may_have_run |= failure.outcome != Outcome::NotRun;
        self.last = Some(failure);
        let Some(CurrentAttempt { choice, isolated }) = self.current.take() else { return };
        debug!(
            "event=attempt_failed upstream={} attempt={} outcome={} reason={} crashed={}",
            choice.upstream, self.attempts, failure.outcome, failure.reason, failure.crashed,
        );
        let now = self.forwarder.context.clock.now();
        {
            let board = &mut self.forwarder.state.lock().board;
            let (upstream, incarnation) = (&choice.upstream, choice.incarnation);
            if let Some(load) = &failure.load {
                board.record_load(now, upstream, incarnation, load_of(load));
            }
            if failure.unreachable || failure.crashed {
                board.record_failure(now, upstream, incarnation);
            }
            if failure.reason == RefusalReason::Draining {
                board.record_draining(upstream, incarnation);
            }
        }
        if failure.unreachable {
            self.forwarder.agents.connect_failed(&choice.upstream);
        }
        if failure.crashed {
            self.forwarder.record_crash(&choice.upstream, &self.request, isolated).await;
        }
    }

    /// Records that the attempt in progress gave the whole answer.
    pub fn succeed(&mut self, answer: &OpenAnswer) {
        let Some(CurrentAttempt { choice, isolated }) = self.current.take() else { return };
        let now = self.forwarder.context.clock.now();
        {
            let state = &mut *self.forwarder.state.lock();
            if let Some(load) = &answer.load {
                let load = load_of(load);
                state.board.record_load(now, &choice.upstream, choice.incarnation, load);
            }
            if let Some(prefix) = served_prefix(self.request.prompt()) {
                state.prefixes.record_served(now, &choice.upstream, prefix);
            }
        }
        self.forwarder.record_answer(&self.request, isolated);
    }

    /// Waits until the agent of the attempt in progress is lost.
    pub async fn lost(&self) {
        match &self.current {
            Some(current) => self.forwarder.agents.lost(&current.choice.upstream).await,
            None => std::future::pending().await,
        }
    }

    /// Time until the deadline and the grace for an answer that arrives just then.
    #[must_use]
    pub fn time_left(&self) -> Duration {
        self.request.remaining(self.forwarder.context.clock.now()) + DEADLINE_GRACE
    }

    /// The final answer to the caller, truthful about all attempts.
    #[must_use]
    pub fn refuse(&self, reason: RefusalReason, delay: Duration) -> ForwardRefusal {
        let outcome = if self.may_have_run { Outcome::Unknown } else { Outcome::NotRun };
        ForwardRefusal::with_delay(outcome, reason, delay)
    }

    /// The final answer when no further attempt is possible: what the last attempt said, else `reason`.
    #[must_use]
    pub fn refuse_as_last(&self, reason: RefusalReason) -> ForwardRefusal {
        let last = self.last.as_ref();
        let delay = last.and_then(|failure| failure.retry_after).unwrap_or(RETRY_AFTER);
        self.refuse(last.map_or(reason, |failure| failure.reason), delay)
    }

    fn choose(
        &self,
        now: Instant,
        target: &WorkTarget,
    ) -> Result<(UpstreamChoice, bool, SocketAddr), ForwardRefusal> {
        if self.forwarder.fresh_view().is_none() {
            return Err(self.refuse(RefusalReason::Refreshing, RETRY_AFTER));
        }
        let state = &mut *self.forwarder.state.lock();
        let isolated = match state.crashes.verdict(now, &self.request.fingerprint) {
            CrashVerdict::Unsuspected => None,
            CrashVerdict::Isolate => Some(&self.request.fingerprint),
            CrashVerdict::Refuse { retry_after } => {
                return Err(self.refuse(RefusalReason::CrashSuspect, retry_after));
            }
        };
        let holders = state.prefixes.holders(now, self.request.prompt());
        let work = WantedWork { target, tried: &self.tried, holders: &holders, isolated };
        let choice = state.board.choose(now, &mut state.rng, &work);
        let choice = choice.ok_or_else(|| self.refuse_as_last(RefusalReason::NoUpstream))?;
        let peer = self.forwarder.agents.peer(&choice.upstream);
        let peer = peer.ok_or_else(|| self.refuse_as_last(RefusalReason::NoUpstream))?;
        if self.attempts > 0 && !state.budget.take_retry(&self.request.team, self.attempts) {
            self.forwarder.metrics.retry_denied();
            return Err(self.refuse_as_last(RefusalReason::RetryBudget));
        }
        Ok((choice, isolated.is_some(), peer))
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

/// Leading characters of a prompt that stand for its prefix until cache events name one; prompts of one template share
/// at least these.
const SERVED_PREFIX_CHARS: usize = 24;

fn served_prefix(prompt: &str) -> Option<&str> {
    prompt.char_indices().nth(SERVED_PREFIX_CHARS).map(|(end, _)| &prompt[..end])
}

/// An answer of other weights than wanted, or an engine's refusal before it ran anything, is no answer.
fn check_head(answer: &OpenAnswer, manifest: Option<&[u8]>) -> Option<AttemptFailure> {
    let manifest = manifest?;
    match answer.head.status {
        503 => Some(AttemptFailure {
            reason: RefusalReason::Overloaded,
            unreachable: false,
            ..AttemptFailure::NOT_SENT
        }),
        500.. => Some(AttemptFailure::INVALID),
        200 if answer.head.manifest != manifest => Some(AttemptFailure::INVALID),
        _ => None,
    }
}
