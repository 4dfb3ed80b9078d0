//! One request of a caller: checks, placement, attempts, answer.

use std::{
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

use balance::{
    AttemptEnd, AttemptLog, FinalStatus, Placement, PlacementRefusal, RefusalCause, WorkRequest,
};
use base::{ServiceId, UpstreamId};
use bytes::Bytes;
use compact_str::CompactString;
use fleet::{RouteRecord, TeamRecord, UpstreamRecord, WeightsVersion};
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, http::response,
};
use log::info;

use super::{
    admit::{admit, pick_service, read_body},
    guards::InFlight,
    http::AnswerBody,
    outcome::{Attempt, CallEnd},
    relay::{OpenStream, RelayBody},
    reply::{Answer, close_if_leaving, own_answer},
    shared::EntryShared,
};
use crate::port::CallFacts;

/// Reserve within the bound on the change of version, for the way to the engine and the wait there.
const VERSION_RESERVE: Duration = Duration::from_millis(1_000);
/// Delay after which a caller returns when this entry lacks current knowledge.
const STALE_RETRY: Duration = Duration::from_millis(500);
/// Least time worth an attempt.
const MIN_ATTEMPT: Duration = Duration::from_millis(10);
/// Longest time for a request, whatever the configuration states.
const MAX_TIMEOUT: Duration = Duration::from_secs(3_600);

/// A request that has been read and accepted.
pub(crate) struct CallContext {
    pub(crate) shared: Arc<EntryShared>,
    pub(crate) facts: CallFacts,
    pub(crate) route: Arc<RouteRecord>,
    /// Moment by which the caller must have its final answer.
    pub(crate) answer_by: Instant,
    pub(super) team: Option<Arc<TeamRecord>>,
    service: ServiceId,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    started: Instant,
    /// Deadline of the caller, from its own statement.
    pub(super) caller_by: Option<Instant>,
    progress: Mutex<CallProgress>,
}

pub(super) struct CallProgress {
    pub(super) attempts: AttemptLog,
    tried: Vec<UpstreamId>,
    /// Upstream of the last attempt.
    pub(super) last: Option<UpstreamId>,
    /// Time until the first event of a stream, and the longest pause between two events.
    first_event: Option<Duration>,
    longest_pause: Duration,
    /// Time until the first event as it was predicted for the first attempt.
    predicted: Option<Duration>,
}

/// Answers a request.
pub(crate) async fn answer(shared: Arc<EntryShared>, request: Request<Incoming>) -> Answer {
    let started = shared.clock.now();
    let mut in_flight = InFlight::new(shared.clone());
    let (head, body) = request.into_parts();
    let facts = match shared.ports.codec.read_call(&head) {
        Ok(facts) => facts,
        Err(error) => {
            info!("event=refused cause=malformed error=\"{error}\"");
            return own_answer(&shared, "", StatusCode::BAD_REQUEST, None);
        }
    };
    let id = facts.id.clone();
    let body = match read_body(&shared, &mut in_flight, body).await {
        Ok(body) => body,
        Err(status) => {
            info!("event=refused request={id} cause=body status={}", status.as_u16());
            return own_answer(&shared, &id, status, None);
        }
    };
    let view = shared.view.load_full();
    let (route, team) = match admit(&shared, &view, &facts, head.uri.path()) {
        Ok(admitted) => admitted,
        Err((status, cause)) => {
            let retry = (status == StatusCode::SERVICE_UNAVAILABLE).then_some(STALE_RETRY);
            info!(
                "event=refused request={id} cause={cause} status={} revision={} age_ms={}",
                status.as_u16(),
                view.revision,
                shared.knowledge_age().map_or(-1, |age| age.as_millis() as i64)
            );
            shared.metrics.count(&format!("requests_total{{result=\"{cause}\"}}"));
            return own_answer(&shared, &id, status, retry);
        }
    };
    let service = pick_service(&route);
    // A time that no clock can hold is as good as none.
    let caller_by = facts.time_left.and_then(|left| started.checked_add(left));
    let timeout_by = started + route.timeout.min(MAX_TIMEOUT);
    let call = Arc::new(CallContext {
        answer_by: caller_by.map_or(timeout_by, |by| by.min(timeout_by)),
        progress: Mutex::new(CallProgress {
            attempts: AttemptLog::new(route.repeat, route.max_attempts),
            tried: Vec::new(),
            last: None,
            first_event: None,
            longest_pause: Duration::ZERO,
            predicted: None,
        }),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        shared,
        facts,
        route,
        team,
        service,
        body,
        started,
        caller_by,
    });
    let shared = &call.shared;
    if let Some(refused) = shared.crashes().refused_for(started, || call.fingerprint()) {
        info!("event=refused request={id} cause=crashes_upstreams status=503");
        shared.metrics.count("requests_total{result=\"crashes_upstreams\"}");
        return own_answer(shared, &id, StatusCode::SERVICE_UNAVAILABLE, Some(refused));
    }
    shared.retries().record_request(&call.service, started);
    let end = call.run(None).await;
    call.finish(end, in_flight)
}

impl CallContext {
    pub(super) fn progress(&self) -> std::sync::MutexGuard<'_, CallProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// True if a stream that broke off may be continued at another upstream.
    pub(crate) fn may_resume(&self) -> bool {
        let left = self.answer_by.saturating_duration_since(self.shared.clock.now());
        self.route.repeat.is_repeatable()
            && left > MIN_ATTEMPT
            && !self.progress().attempts.is_last()
    }

    /// Records an event that was passed on `pause` after the one before.
    pub(crate) fn record_event(&self, pause: Duration) {
        let waited = self.waited();
        let mut progress = self.progress();
        if progress.first_event.is_none() {
            progress.first_event = Some(waited);
        } else {
            progress.longest_pause = progress.longest_pause.max(pause);
        }
    }

    /// Continues a stream after the event `after`.
    pub(crate) async fn resume(
        self: Arc<Self>,
        after: Option<CompactString>,
    ) -> Option<OpenStream> {
        if !self.may_repeat(AttemptEnd::Lost) {
            return None;
        }
        {
            let mut progress = self.progress();
            let last = progress.last.clone();
            progress.tried.extend(last);
        }
        match self.run(after).await {
            CallEnd::Stream(_, stream) => {
                info!(
                    "event=stream_resumed request={} upstream={}",
                    self.facts.id,
                    stream.guard.upstream()
                );
                Some(stream)
            }
            _ => None,
        }
    }

    /// Sends the request until an upstream answers or nothing more may be tried.
    async fn run(&self, resume_after: Option<CompactString>) -> CallEnd {
        let mut failure: Option<(response::Parts, Bytes)> = None;
        loop {
            let now = self.shared.clock.now();
            if self.answer_by.saturating_duration_since(now) < MIN_ATTEMPT {
                return CallEnd::Expired(self.progress().attempts.final_status());
            }
            let upstream = match self.place(now, resume_after.is_some()) {
                Ok(upstream) => upstream,
                Err(refusal) => {
                    if let Some((head, body)) = failure {
                        return CallEnd::Whole(head, body);
                    }
                    return match self.progress().attempts.final_status() {
                        FinalStatus::NotRun => CallEnd::Refused(refusal),
                        FinalStatus::Unknown => CallEnd::Failed(FinalStatus::Unknown),
                    };
                }
            };
            match self.attempt(&upstream, resume_after.as_deref()).await {
                Attempt::Stream(head, stream) => return CallEnd::Stream(head, stream),
                Attempt::Whole(head, body) => return CallEnd::Whole(head, body),
                Attempt::Ended(end, answer) => {
                    failure = answer.or(failure);
                    info!(
                        "event=attempt_ended request={} upstream={} end={end:?} waited_ms={}",
                        self.facts.id,
                        upstream.upstream,
                        self.waited().as_millis()
                    );
                    self.progress().tried.push(upstream.upstream.clone());
                    if !self.may_repeat(end) {
                        if let Some((head, body)) = failure {
                            return CallEnd::Whole(head, body);
                        }
                        let status = self.progress().attempts.final_status();
                        let is_over = self.shared.clock.now() >= self.answer_by;
                        return if is_over {
                            CallEnd::Expired(status)
                        } else {
                            CallEnd::Failed(status)
                        };
                    }
                }
            }
        }
    }

    fn may_repeat(&self, end: AttemptEnd) -> bool {
        let is_allowed = self.progress().attempts.record(end);
        let now = self.shared.clock.now();
        if self.shared.crashes().refused_for(now, || self.fingerprint()).is_some() {
            info!("event=repeat_refused request={} cause=crashes_upstreams", self.facts.id);
            return false;
        }
        is_allowed && (end == AttemptEnd::NotSent || self.shared.retries().take(&self.service, now))
    }

    fn place(
        &self,
        now: Instant,
        is_continued: bool,
    ) -> Result<Arc<UpstreamRecord>, PlacementRefusal> {
        let tried = self.progress().tried.clone();
        let target_by = self.started + self.route.target_latency;
        let regions = self.team.as_ref().map_or(&[][..], |team| team.allowed_regions.as_slice());
        let work = WorkRequest {
            service: &self.service,
            prompt_tokens: self.facts.prompt_tokens,
            allowed_regions: [&self.route.allowed_regions, regions],
            tried: &tried,
            min_version: self.min_version(now),
            target_left: self.is_on_time().then(|| target_by.saturating_duration_since(now)),
            is_continued,
        };
        match self.shared.board().choose(&work, now, &mut rand::rng()) {
            Placement::Upstream { record, delay } => {
                self.progress().predicted.get_or_insert(delay);
                Ok(record)
            }
            Placement::Refused(refusal) => Err(refusal),
        }
    }

    /// False for a caller that returns after its first attempt: it has less time than the route grants.
    pub(super) fn is_on_time(&self) -> bool {
        self.facts
            .time_left
            .is_none_or(|left| left.saturating_add(self.route.target_latency) >= self.route.timeout)
    }

    pub(super) fn min_version(&self, now: Instant) -> Option<WeightsVersion> {
        let model = self.facts.model.as_ref()?;
        let view = self.shared.view.load();
        let bound = self.shared.settings.common.version_bound.saturating_sub(VERSION_RESERVE);
        view.weights.get(model)?.oldest_allowed(now, bound)
    }

    pub(super) fn waited(&self) -> Duration {
        self.shared.clock.now().saturating_duration_since(self.started)
    }

    /// Turns the end of all attempts into the answer for the caller.
    fn finish(self: &Arc<Self>, end: CallEnd, in_flight: InFlight) -> Answer {
        let id = &self.facts.id;
        match end {
            CallEnd::Stream(head, stream) => {
                self.shared.metrics.observe("first_event_seconds", self.waited());
                let body = RelayBody::new(self.clone(), stream, in_flight);
                self.relayed(head, AnswerBody::Right(Box::new(body)))
            }
            CallEnd::Whole(head, body) => {
                self.log_end("answered", Some(head.status.as_u16()));
                self.relayed(head, AnswerBody::Left(Full::new(body)))
            }
            CallEnd::Refused(refusal) => {
                self.log_end(refusal.cause.as_str(), Some(503));
                own_answer(
                    &self.shared,
                    id,
                    StatusCode::SERVICE_UNAVAILABLE,
                    Some(refusal.retry_after),
                )
            }
            CallEnd::Failed(FinalStatus::NotRun) | CallEnd::Expired(FinalStatus::NotRun) => {
                self.log_end(RefusalCause::NoUpstream.as_str(), Some(503));
                own_answer(&self.shared, id, StatusCode::SERVICE_UNAVAILABLE, Some(STALE_RETRY))
            }
            CallEnd::Failed(FinalStatus::Unknown) => {
                self.log_end("lost", Some(502));
                own_answer(&self.shared, id, StatusCode::BAD_GATEWAY, None)
            }
            CallEnd::Expired(FinalStatus::Unknown) => {
                self.log_end("expired", Some(504));
                own_answer(&self.shared, id, StatusCode::GATEWAY_TIMEOUT, None)
            }
        }
    }

    fn relayed(&self, head: response::Parts, body: AnswerBody) -> Answer {
        let mut answer = Response::new(body);
        *answer.status_mut() = head.status;
        *answer.headers_mut() = self.shared.ports.codec.caller_headers(&head.headers);
        close_if_leaving(&self.shared, answer.headers_mut());
        answer
    }

    /// Writes the line that tells how the request ended.
    pub(crate) fn log_end(&self, result: &str, status: Option<u16>) {
        let progress = self.progress();
        let waited = self.waited();
        info!(
            "event=request_ended request={} result={result} status={} route={} team={} upstream={} sends={} \
             tried={} ms={} first_ms={} predicted_ms={} pause_ms={} revision={}",
            self.facts.id,
            status.unwrap_or(0),
            self.route.name,
            self.team.as_ref().map_or("none", |team| team.team.as_str()),
            progress.last.as_deref().unwrap_or("none"),
            progress.attempts.sends(),
            progress.tried.len(),
            waited.as_millis(),
            progress.first_event.map_or(-1, |first| first.as_millis() as i64),
            progress.predicted.map_or(-1, |predicted| predicted.as_millis() as i64),
            progress.longest_pause.as_millis(),
            self.shared.view.load().revision
        );
        self.shared.metrics.count(&format!("requests_total{{result=\"{result}\"}}"));
        self.shared.metrics.observe("request_seconds", waited);
    }
}
