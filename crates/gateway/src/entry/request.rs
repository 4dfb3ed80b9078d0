//! Handling of a caller's request: checks, choice of an upstream, attempts and response.

use std::{
    sync::{Arc, Mutex, OnceLock, PoisonError, Weak},
    time::{Duration, Instant},
};

use balance::{
    AttemptEnd, AttemptLog, CrashRefusal, FinalStatus, Placement, PlacementRefusal,
    PlacementRequest, RefusalCause, WeightsEvidence,
};
use base::{ServiceId, UpstreamId};
use bytes::Bytes;
use compact_str::CompactString;
use fleet::{
    FleetView, RegionPolicy, RouteRecord, RoutingConfig, TeamRecord, UpstreamRecord, WeightsLimits,
    WeightsVersion,
};
use http_body_util::Full;
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode, Uri, body::Incoming, http::response,
};
use log::info;

use super::{
    admit::{admit, pick_service, read_body, request_deadline},
    guards::InFlightGuard,
    http::ResponseBody,
    outcome::{AttemptResult, RequestResult, ResumeRefusal},
    relay::{OpenStream, RelayBody},
    response::{CallerResponse, close_if_leaving, local_response},
    shared::EntryShared,
};
use crate::port::RequestMeta;

/// Retry delay given to the caller if no upstream ran the request, or if this entry is stopping or its fleet state may
/// be out of date.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Minimum time left until the deadline for an attempt to be made.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(10);
/// Interval between checks whether another upstream can take a request whose upstream takes long.
pub(super) const ALTERNATIVE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Request that has been read and admitted.
pub(crate) struct RequestContext {
    pub(crate) shared: Arc<EntryShared>,
    pub(crate) meta: RequestMeta,
    pub(crate) route: Arc<RouteRecord>,
    /// Time by which the caller must have the complete response.
    pub(crate) deadline: Instant,
    pub(super) team: Option<Arc<TeamRecord>>,
    pub(super) service: ServiceId,
    pub(super) method: Method,
    pub(super) uri: Uri,
    pub(super) headers: HeaderMap,
    pub(super) body: Bytes,
    pub(super) started: Instant,
    /// Deadline stated by the caller.
    pub(super) caller_deadline: Option<Instant>,
    /// Media type of the stream that the caller receives; empty until the response has begun.
    pub(super) stream_type: OnceLock<Vec<u8>>,
    progress: Mutex<RequestProgress>,
}

/// What an attempt is made for, which determines the upstreams that may take it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AttemptPurpose {
    /// The request has no response yet.
    Initial,
    /// The stream has broken off. An attempt at a busy upstream is better than none.
    Resume,
    /// Another attempt is still open and may go on. Only an upstream with a free slot can help.
    Backup,
}

/// Upstream that was chosen for an attempt.
pub(super) struct ChosenUpstream {
    pub(super) record: Arc<UpstreamRecord>,
    /// Predicted time until the response, or until the first event of a stream.
    pub(super) delay: Duration,
    /// Time at which the attempt is cancelled if it has not begun to run; see [`Placement::Upstream`].
    pub(super) cancel_at: Option<Instant>,
    /// Version of the weights that the upstream must have; see [`Placement::Upstream`].
    pub(super) expected_version: Option<WeightsVersion>,
}

pub(super) struct RequestProgress {
    pub(super) attempts: AttemptLog,
    /// Attempts that the retry budget was charged for.
    charged: u32,
    pub(super) tried: Vec<UpstreamId>,
    /// Regions that may serve the request, according to each configuration since it was admitted.
    regions: RegionPolicy,
    /// Configuration that was last applied to `regions`.
    regions_config: Weak<RoutingConfig>,
    /// Number of pauses of this process when the request was admitted, or checked again.
    pub(super) pauses: u64,
    /// Upstream of the last attempt.
    pub(super) last: Option<UpstreamId>,
    /// Time until the first event of a stream, and the longest pause between two events.
    first_event: Option<Duration>,
    longest_pause: Duration,
    /// Predicted time until the first event, from the first attempt.
    predicted: Option<Duration>,
    /// Version of the weights at the last upstream, and the time for which requests could still begin to run on it when
    /// the upstream was chosen.
    version: Option<WeightsVersion>,
    version_time_left: Option<Duration>,
    /// On what that version rests.
    evidence: Option<WeightsEvidence>,
    /// The end of the request has been logged.
    is_logged: bool,
    /// Time for which the request was queued at this entry.
    pub(super) waited: Duration,
}

/// Reference to the configuration of a view that does not keep it in memory.
fn downgrade_config(view: &FleetView) -> Weak<RoutingConfig> {
    view.config().map(Arc::downgrade).unwrap_or_default()
}

/// Retry delay of a refusal with `status`; `None` if the caller should not repeat the request.
fn default_retry_after(status: StatusCode) -> Option<Duration> {
    (status == StatusCode::SERVICE_UNAVAILABLE).then_some(DEFAULT_RETRY_AFTER)
}

/// Handles a caller's request and returns the response.
pub(crate) async fn handle(shared: Arc<EntryShared>, request: Request<Incoming>) -> CallerResponse {
    let started = shared.clock.now();
    let in_flight = InFlightGuard::new(shared.clone());
    let (head, body) = request.into_parts();
    let meta = match shared.ports.codec.read_request(&head) {
        Ok(meta) => meta,
        Err(error) => {
            info!("event=refused cause=malformed error=\"{error}\"");
            return local_response(&shared, "", StatusCode::BAD_REQUEST, None);
        }
    };
    let id = meta.id.clone();
    let read = tokio::select! {
        biased;
        read = read_body(&shared, body) => read.map_err(|status| (status, "body")),
        () = shared.end_of_grace_period() => Err((StatusCode::SERVICE_UNAVAILABLE, "stopping")),
    };
    let body = match read {
        Ok(body) => body,
        Err((status, cause)) => {
            info!("event=refused request={id} cause={cause} status={}", status.as_u16());
            return local_response(&shared, &id, status, default_retry_after(status));
        }
    };
    let pauses = shared.pauses();
    let view = shared.view.load_full();
    let (route, team) = match admit(&shared, &view, &meta, head.uri.path(), started) {
        Ok(admitted) => admitted,
        Err((status, cause)) => {
            info!(
                "event=refused request={id} cause={cause} status={} revision={} age_ms={}",
                status.as_u16(),
                view.revision,
                shared.fleet_state_age().map_or(-1, |age| age.as_millis() as i64)
            );
            shared.metrics.count(&format!("requests_total{{result=\"{cause}\"}}"));
            return local_response(&shared, &id, status, default_retry_after(status));
        }
    };
    let service = pick_service(&route);
    // A deadline too far in the future for the clock is treated as no deadline.
    let caller_deadline = meta.time_left.and_then(|left| started.checked_add(left));
    let request = Arc::new(RequestContext {
        deadline: request_deadline(&meta, &route, started),
        progress: Mutex::new(RequestProgress {
            attempts: AttemptLog::new(route.repeat, route.max_attempts),
            charged: 0,
            tried: Vec::new(),
            regions: RegionPolicy::new(Some(&route), team.as_deref()),
            regions_config: downgrade_config(&view),
            pauses,
            last: None,
            first_event: None,
            longest_pause: Duration::ZERO,
            predicted: None,
            version: None,
            version_time_left: None,
            evidence: None,
            is_logged: false,
            waited: Duration::ZERO,
        }),
        stream_type: OnceLock::new(),
        method: head.method,
        uri: head.uri,
        headers: head.headers,
        shared,
        meta,
        route,
        team,
        service,
        body,
        started,
        caller_deadline,
    });
    let shared = &request.shared;
    let refusal =
        shared.crashes().admit(started, &request.meta.shared_parts, || request.fingerprint());
    if let Some(refusal) = refusal {
        request.progress().is_logged = true;
        let cause = refusal.as_str();
        info!("event=refused request={id} cause={cause} status=503");
        shared.metrics.count(&format!("requests_total{{result=\"{cause}\"}}"));
        let retry_after = Some(refusal.retry_after());
        return local_response(shared, &id, StatusCode::SERVICE_UNAVAILABLE, retry_after);
    }
    shared.retry_budget().record_request(&request.service, started);
    let end = request.run(None, AttemptPurpose::Initial).await;
    request.record_shed(&end);
    request.finish(end, in_flight)
}

impl RequestContext {
    pub(super) fn progress(&self) -> std::sync::MutexGuard<'_, RequestProgress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Reason why an interrupted stream may not be resumed at another upstream; `None` if it may.
    pub(super) fn resume_refusal(&self) -> Option<ResumeRefusal> {
        let left = self.deadline.saturating_duration_since(self.shared.clock.now());
        match () {
            () if !self.route.repeat.is_retryable() => Some(ResumeRefusal::NotResumable),
            () if left <= MIN_ATTEMPT_TIME => Some(ResumeRefusal::Deadline),
            () if !self.progress().attempts.allows_another() => Some(ResumeRefusal::Attempts),
            () => None,
        }
    }

    /// Logs why an interrupted stream is not resumed.
    pub(super) fn log_resume_refusal(&self, cause: &str) {
        info!("event=resume_refused request={} cause={cause}", self.meta.id);
    }

    /// Records events of a stream that became complete `pause` after the previous ones. Those that become complete
    /// together count as one.
    pub(crate) fn record_event(&self, pause: Duration) {
        let elapsed = self.elapsed();
        let mut progress = self.progress();
        if progress.first_event.is_none() {
            progress.first_event = Some(elapsed);
        } else {
            progress.longest_pause = progress.longest_pause.max(pause);
        }
    }

    /// Resumes a stream after the event `after`; `None` if no upstream can resume it. With [`AttemptPurpose::Backup`], the
    /// stream is still open at the upstream of the last attempt.
    pub(super) async fn resume(
        self: Arc<Self>,
        after: Option<CompactString>,
        purpose: AttemptPurpose,
    ) -> Option<OpenStream> {
        if !self.may_retry_recorded(AttemptEnd::Lost) {
            return None;
        }
        {
            let mut progress = self.progress();
            let last = progress.last.clone();
            progress.tried.extend(last);
        }
        match self.run(after, purpose).await {
            RequestResult::Stream(_, stream) => {
                info!(
                    "event=stream_resumed request={} upstream={}",
                    self.meta.id,
                    stream.guard.upstream()
                );
                Some(stream)
            }
            _ => None,
        }
    }

    /// Makes attempts until an upstream responds or no further attempt is allowed.
    async fn run(
        &self,
        resume_after: Option<CompactString>,
        purpose: AttemptPurpose,
    ) -> RequestResult {
        let mut error_response: Option<(response::Parts, Bytes)> = None;
        loop {
            let now = self.shared.clock.now();
            if self.has_expired(now) {
                return self.end_without_attempt(error_response);
            }
            let chosen = match self.choose_or_wait(now, purpose).await {
                Ok(chosen) => chosen,
                Err(refusal) => {
                    if resume_after.is_some() {
                        self.log_resume_refusal(refusal.as_str());
                    }
                    if let Some((head, body)) = error_response {
                        return RequestResult::Complete(head, body);
                    }
                    return match self.progress().attempts.final_status() {
                        FinalStatus::NotRun => refusal.into(),
                        FinalStatus::Unknown => RequestResult::Failed(FinalStatus::Unknown),
                    };
                }
            };
            if !self.charge_attempt() {
                return self.end_without_attempt(error_response);
            }
            let attempt = self.attempt_with_backup(chosen, resume_after.as_deref());
            let (upstream, result) = tokio::select! {
                biased;
                end = attempt => end,
                // The process ends before the deadline, and with it the caller's connection.
                () = self.shared.end_of_grace_period() => {
                    self.progress().attempts.record(AttemptEnd::Lost);
                    return match error_response {
                        Some((head, body)) => RequestResult::Complete(head, body),
                        None => RequestResult::Expired(FinalStatus::Unknown),
                    };
                }
            };
            match result {
                AttemptResult::Stream(head, stream) => return RequestResult::Stream(head, stream),
                AttemptResult::Complete(head, body) => return RequestResult::Complete(head, body),
                AttemptResult::Failed(failure, response) => {
                    error_response = response.or(error_response);
                    self.log_attempt_end(&upstream, failure);
                    self.progress().tried.push(upstream);
                    if !self.may_retry(failure) {
                        return self.end_without_attempt(error_response);
                    }
                }
            }
        }
    }

    /// Result of a request for which no further attempt is made.
    fn end_without_attempt(
        &self,
        error_response: Option<(response::Parts, Bytes)>,
    ) -> RequestResult {
        if let Some((head, body)) = error_response {
            return RequestResult::Complete(head, body);
        }
        let status = self.progress().attempts.final_status();
        if self.has_expired(self.shared.clock.now()) {
            RequestResult::Expired(status)
        } else {
            RequestResult::Failed(status)
        }
    }

    /// True if too little time is left for another attempt.
    fn has_expired(&self, now: Instant) -> bool {
        self.deadline.saturating_duration_since(now) < MIN_ATTEMPT_TIME
    }

    /// Logs how an attempt ended that produced no response for the caller.
    pub(super) fn log_attempt_end(&self, upstream: &UpstreamId, end: AttemptEnd) {
        info!(
            "event=attempt_ended request={} upstream={upstream} end={end:?} waited_ms={}",
            self.meta.id,
            self.elapsed().as_millis()
        );
    }

    /// False if the request may run only once and the process was paused since it was admitted: the configuration that it
    /// was admitted by may be outdated.
    pub(super) fn is_admission_current(&self) -> bool {
        self.route.repeat.is_retryable() || {
            self.shared.is_stale_after_pause();
            self.shared.pauses() == self.progress().pauses
        }
    }

    /// Reason why the request may not run at another upstream because of crashes; `None` if it may.
    pub(super) fn crash_refusal(&self, now: Instant) -> Option<CrashRefusal> {
        let crashes = self.shared.crashes();
        crashes.refusal(now, &self.meta.shared_parts, || self.fingerprint())
    }

    /// Records the end of an attempt; true if the request is to be sent to another upstream.
    pub(super) fn may_retry(&self, end: AttemptEnd) -> bool {
        self.progress().attempts.record(end);
        self.may_retry_recorded(end)
    }

    /// The same for an attempt whose end has been recorded.
    fn may_retry_recorded(&self, end: AttemptEnd) -> bool {
        let now = self.shared.clock.now();
        if self.has_expired(now) {
            return false;
        }
        if let Some(refusal) = self.crash_refusal(now) {
            info!("event=repeat_refused request={} cause={}", self.meta.id, refusal.as_str());
            return false;
        }
        if !self.progress().attempts.may_retry(end) {
            return false;
        }
        let has_budget =
            self.is_next_charged() || self.shared.retry_budget().has_room(&self.service, now);
        self.check_budget(has_budget)
    }

    /// True if the next attempt needs no charge: it is the first one, or an earlier charge was for one that was not sent.
    fn is_next_charged(&self) -> bool {
        let progress = self.progress();
        progress.charged >= progress.attempts.begun()
    }

    /// Charges the retry budget for an attempt that begins right afterwards; false if it is used up.
    pub(super) fn charge_attempt(&self) -> bool {
        if self.is_next_charged() {
            return true;
        }
        let now = self.shared.clock.now();
        let is_charged = self.shared.retry_budget().try_take(&self.service, now);
        self.progress().charged += u32::from(is_charged);
        self.check_budget(is_charged)
    }

    /// Logs that another attempt is not made if there is no budget for it.
    fn check_budget(&self, has_budget: bool) -> bool {
        if !has_budget {
            info!("event=repeat_refused request={} cause=retry_budget", self.meta.id);
        }
        has_budget
    }

    /// Records the upstream whose response the caller receives.
    pub(super) fn record_upstream(&self, upstream: &UpstreamId) {
        self.progress().last = Some(upstream.clone());
    }

    /// Records that the current attempt was lost after its response had begun.
    pub(super) fn record_lost(&self) {
        self.progress().attempts.record(AttemptEnd::Lost);
    }

    /// True if another upstream can take the request now, beside the current attempt.
    pub(super) fn has_alternative(&self) -> bool {
        self.alternative(self.shared.clock.now()).is_some()
    }

    /// Another upstream that can take the request now, beside the current attempt.
    pub(super) fn alternative(&self, now: Instant) -> Option<Placement> {
        let (allows_another, mut tried, last) = {
            let progress = self.progress();
            (progress.attempts.allows_another(), progress.tried.clone(), progress.last.clone())
        };
        tried.extend(last);
        let is_allowed = allows_another
            && self.crash_refusal(now).is_none()
            && (self.is_next_charged()
                || self.shared.retry_budget().has_room_for_backup(&self.service, now))
            && !self.is_behind_queue(now);
        if !is_allowed {
            return None;
        }
        let placement = self.place(&self.shared.view.load(), &tried, now, AttemptPurpose::Backup);
        matches!(placement, Placement::Upstream { is_certain: true, .. }).then_some(placement)
    }

    fn weights_limits<'a>(&self, view: &'a FleetView) -> Option<WeightsLimits<'a>> {
        let state = self.meta.model.as_ref().and_then(|model| view.weights.get(model))?;
        Some(WeightsLimits::new(state, self.shared.settings.common.rollout_timeout))
    }

    /// Regions that may serve the request from now on. A restriction that has come since the request was admitted
    /// applies to it as well; one that was lifted meanwhile still does.
    fn narrow_regions(&self, view: &FleetView) -> RegionPolicy {
        if view.is_config_behind() {
            // Not kept: the request may run once its restrictions are known.
            return RegionPolicy::nowhere();
        }
        let config = downgrade_config(view);
        let mut progress = self.progress();
        if !Weak::ptr_eq(&progress.regions_config, &config) {
            let key = self.meta.key.as_deref();
            let current = view.region_policy(&self.meta.host, self.uri.path(), key);
            progress.regions.intersect(&current);
            progress.regions_config = config;
        }
        progress.regions.clone()
    }

    /// Chooses an upstream that is not among those already `tried`.
    fn place(
        &self,
        view: &FleetView,
        tried: &[UpstreamId],
        now: Instant,
        purpose: AttemptPurpose,
    ) -> Placement {
        let is_resumed = purpose == AttemptPurpose::Resume;
        let is_last_attempt = self.progress().attempts.is_last_attempt();
        let placement_request = PlacementRequest {
            service: &self.service,
            prompt_tokens: self.meta.prompt_tokens,
            regions: &self.narrow_regions(view),
            tried,
            weights: self.weights_limits(view),
            time_to_target: match purpose {
                AttemptPurpose::Initial | AttemptPurpose::Resume => self.time_to_target(now),
                AttemptPurpose::Backup => None,
            },
            delay_limit: self.delay_limit(now, is_resumed),
            time_to_deadline: Some(self.deadline.saturating_duration_since(now)),
            is_resumed,
            is_last_attempt,
        };
        self.shared.balancer().choose(&placement_request, now, &mut rand::rng())
    }

    pub(super) fn choose_upstream(
        &self,
        now: Instant,
        purpose: AttemptPurpose,
    ) -> Result<ChosenUpstream, PlacementRefusal> {
        let tried = self.progress().tried.clone();
        let placement = self.place(&self.shared.view.load(), &tried, now, purpose);
        // An attempt that is still open is worth more than one that is likely to fail.
        if purpose == AttemptPurpose::Backup
            && matches!(placement, Placement::Upstream { is_certain: false, .. })
        {
            let cause = RefusalCause::Overloaded;
            return Err(PlacementRefusal { cause, retry_after: DEFAULT_RETRY_AFTER });
        }
        self.accept_placement(placement, now)
    }

    /// Records the upstream that was chosen for an attempt.
    pub(super) fn accept_placement(
        &self,
        placement: Placement,
        now: Instant,
    ) -> Result<ChosenUpstream, PlacementRefusal> {
        let view = self.shared.view.load();
        match placement {
            Placement::Upstream {
                record, delay, expected_version, evidence, cancel_at, ..
            } => {
                let mut progress = self.progress();
                progress.predicted.get_or_insert(delay);
                progress.version = expected_version;
                progress.evidence = evidence;
                progress.version_time_left = expected_version
                    .and_then(|version| self.weights_limits(&view)?.time_left(version, now));
                Ok(ChosenUpstream { record, delay, cancel_at, expected_version })
            }
            Placement::Refused(refusal) => Err(refusal),
        }
    }

    /// False if the caller has less time than the route grants, as when it repeats a request after an attempt of its
    /// own.
    pub(super) fn is_on_time(&self) -> bool {
        self.meta
            .time_left
            .is_none_or(|left| left.saturating_add(self.route.target_latency) >= self.route.timeout)
    }

    /// Time left at `now` until the first event is late; `None` if the caller has returned too late for it.
    pub(super) fn time_to_target(&self, now: Instant) -> Option<Duration> {
        let latency_target = self.started + self.route.target_latency;
        self.is_on_time().then(|| latency_target.saturating_duration_since(now))
    }

    /// Predicted time to the first event at the first attempt; `None` if no upstream was chosen.
    pub(super) fn predicted(&self) -> Option<Duration> {
        self.progress().predicted
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.shared.clock.now().saturating_duration_since(self.started)
    }

    /// Converts the result of the request into the response for the caller.
    fn finish(self: &Arc<Self>, end: RequestResult, in_flight: InFlightGuard) -> CallerResponse {
        let id = &self.meta.id;
        match end {
            RequestResult::Stream(head, stream) => {
                self.shared.metrics.observe("first_event_seconds", self.elapsed());
                self.record_stream_head(&head);
                let body = RelayBody::new(self.clone(), stream, in_flight);
                self.relayed_response(head, ResponseBody::Right(Box::new(body)))
            }
            RequestResult::Complete(head, body) => {
                self.log_end("answered", Some(head.status.as_u16()));
                self.relayed_response(head, ResponseBody::Left(Full::new(body)))
            }
            RequestResult::Refused(refusal) => {
                self.log_end(refusal.cause.as_str(), Some(503));
                local_response(
                    &self.shared,
                    id,
                    StatusCode::SERVICE_UNAVAILABLE,
                    Some(refusal.retry_after),
                )
            }
            RequestResult::Rejected(status, cause) => {
                self.log_end(cause, Some(status.as_u16()));
                local_response(&self.shared, id, status, default_retry_after(status))
            }
            RequestResult::Failed(FinalStatus::NotRun)
            | RequestResult::Expired(FinalStatus::NotRun) => {
                self.log_end(RefusalCause::NoUpstream.as_str(), Some(503));
                local_response(
                    &self.shared,
                    id,
                    StatusCode::SERVICE_UNAVAILABLE,
                    Some(DEFAULT_RETRY_AFTER),
                )
            }
            RequestResult::Failed(FinalStatus::Unknown) => {
                self.log_end("lost", Some(502));
                local_response(&self.shared, id, StatusCode::BAD_GATEWAY, None)
            }
            RequestResult::Expired(FinalStatus::Unknown) => {
                self.log_end("expired", Some(504));
                local_response(&self.shared, id, StatusCode::GATEWAY_TIMEOUT, None)
            }
        }
    }

    fn relayed_response(&self, head: response::Parts, body: ResponseBody) -> CallerResponse {
        let mut response = Response::new(body);
        *response.status_mut() = head.status;
        *response.headers_mut() = self.shared.ports.codec.caller_headers(&head.headers);
        close_if_leaving(&self.shared, response.headers_mut());
        response
    }

    /// Logs how the request ended and updates the metrics.
    pub(crate) fn log_end(&self, result: &str, status: Option<u16>) {
        let mut progress = self.progress();
        progress.is_logged = true;
        let elapsed = self.elapsed();
        let view = self.shared.view.load();
        info!(
            "event=request_ended request={} result={result} status={} route={} team={} upstream={} sends={} \
             tried={} ms={} first_ms={} predicted_ms={} waited_ms={} pause_ms={} version={} version_left_ms={} weights_from={} \
             revision={} config={}",
            self.meta.id,
            status.unwrap_or(0),
            self.route.name,
            self.team.as_ref().map_or("none", |team| team.team.as_str()),
            progress.last.as_deref().unwrap_or("none"),
            progress.attempts.attempts(),
            progress.tried.len(),
            elapsed.as_millis(),
            progress.first_event.map_or(-1, |first| first.as_millis() as i64),
            progress.predicted.map_or(-1, |predicted| predicted.as_millis() as i64),
            progress.waited.as_millis(),
            progress.longest_pause.as_millis(),
            progress.version.unwrap_or(0),
            progress.version_time_left.map_or(-1, |left| left.as_millis() as i64),
            progress.evidence.map_or("none", WeightsEvidence::as_str),
            view.revision,
            view.config().map_or(0, |config| config.version)
        );
        self.shared.metrics.count(&format!("requests_total{{result=\"{result}\"}}"));
        self.shared.metrics.observe("request_seconds", elapsed);
        let now = self.shared.clock.now();
        self.shared.durations().record(&self.route.name, elapsed, now);
    }
}

impl Drop for RequestContext {
    /// Logs a request whose caller disconnected before it ended.
    fn drop(&mut self) {
        let elapsed = self.elapsed();
        let progress = self.progress();
        if progress.is_logged {
            return;
        }
        info!(
            "event=caller_gone request={} route={} upstream={} sends={} ms={} first_ms={} predicted_ms={} waited_ms={}",
            self.meta.id,
            self.route.name,
            progress.last.as_deref().unwrap_or("none"),
            progress.attempts.attempts(),
            elapsed.as_millis(),
            progress.first_event.map_or(-1, |first| first.as_millis() as i64),
            progress.predicted.map_or(-1, |predicted| predicted.as_millis() as i64),
            progress.waited.as_millis()
        );
        self.shared.metrics.count("requests_total{result=\"caller_gone\"}");
    }
}
