//! A single attempt of a request at an upstream.

use std::{
    pin::pin,
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{AttemptEnd, AttemptOutcome, LimitStatement, LostRequest, fingerprint_of};
use base::UpstreamId;
use bytes::Bytes;
use fleet::UpstreamRecord;
use http_body_util::Full;
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Incoming},
    header::{CONTENT_LENGTH, TRANSFER_ENCODING},
};
use log::info;
use route::Fingerprint;
use tokio::time::timeout_at;

use super::{
    crashes::check_upstream,
    error_body::collect_error,
    event_order::EventOrder,
    events::{EventReader, StreamPart, has_content},
    guards::{AttemptGuard, AttemptMonitor, ConnectingGuard, HeadMonitor},
    held_body::{BodyError, HeldBody},
    limits::log_limit_change,
    outcome::AttemptResult,
    pool::UpstreamConnection,
    relay::OpenStream,
    request::{ALTERNATIVE_CHECK_INTERVAL, ChosenUpstream, RequestContext},
    response_check::ResponseVerdict,
};
use crate::port::{AttemptMeta, ResponseMeta};

/// Maximum size of a response that is buffered before it is forwarded.
const MAX_RESPONSE_BYTES: usize = 8 << 20;
/// Factor on the latency target that gives the time to wait for an upstream's response before an idempotent request is
/// sent to another upstream.
const RESPONSE_TIMEOUT_FACTOR: u32 = 3;
/// Minimum of that time; a plain service responds within tens of milliseconds.
const MIN_RESPONSE_TIMEOUT: Duration = Duration::from_millis(250);
/// Margin on the latency target; a stream without a first event by then is started at another upstream.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(700);
/// Priority of the least urgent requests at an engine.
const MAX_PRIORITY: u8 = 9;

/// Reason of a failed stream without a length that ended with its connection before any event.
const NO_EVENTS: &str = "no_events";

/// Why the wait for a part of a response ended.
enum WaitError {
    /// The request has not begun, and the weights of its upstream are about to be outdated.
    WeightsOutdated,
    /// The deadline passed.
    TimedOut,
}

/// How long the response of an attempt is waited for.
struct ResponseWait<'a> {
    /// Time at which the attempt is cancelled; see [`ChosenUpstream::cancel_at`].
    cancel_at: Option<Instant>,
    sent_at: Instant,
    monitor: &'a AttemptMonitor,
}

impl RequestContext {
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let key = self.meta.key.as_deref().unwrap_or_default();
        fingerprint_of(key, self.uri.path(), &self.body)
    }

    /// Records that the connection to an upstream was lost while the upstream ran this request. If the upstream had
    /// shown that the request does not crash it (`is_proven`), the parts of the prompt are not suspect.
    pub(crate) fn record_connection_lost(&self, record: &UpstreamRecord, is_proven: bool) {
        let upstream = &record.upstream;
        let view = self.shared.view.load();
        // An upstream that is about to stop ends its requests on its own.
        let is_draining = view.upstream(upstream).is_some_and(|record| record.draining);
        let lost = LostRequest {
            fingerprint: self.fingerprint(),
            upstream: upstream.clone(),
            started_ms: record.started_ms,
            suspect_parts: if is_proven || is_draining {
                Vec::new()
            } else {
                self.meta.shared_parts.clone()
            },
        };
        self.shared.crashes().record_connection_lost(self.shared.clock.now(), lost);
        check_upstream(&self.shared, upstream, record.address);
    }

    async fn open_connection(
        &self,
        upstream: &UpstreamRecord,
        may_reuse: bool,
    ) -> Option<UpstreamConnection> {
        // A request that must not run twice always gets a new connection: the upstream may be about to close a pooled
        // one, or a late response to another request may arrive on it. Without an id, such a response cannot be told
        // from the right one.
        let is_reusable = may_reuse && self.route.repeat.is_retryable() && !self.meta.id.is_empty();
        let pooled = if is_reusable {
            self.shared.pool.take(&upstream.upstream, &self.meta.id)
        } else {
            None
        };
        match pooled {
            Some(connection) => Some(connection),
            None => {
                // The connection limit of the upstream applies to idle connections as well.
                let allowed = self.shared.balancer().allowed_idle_connections(&upstream.upstream);
                self.shared.pool.limit_idle(&upstream.upstream, allowed);
                self.shared.pool.connect(upstream.address).await
            }
        }
    }

    pub(super) async fn attempt(
        &self,
        chosen: &ChosenUpstream,
        resume_after: Option<&str>,
        monitor: &Arc<AttemptMonitor>,
    ) -> AttemptResult {
        let upstream = &chosen.record;
        // Other responses arrive when they are complete, so a missing one does not show that the request has not begun.
        let cancel_at = chosen.cancel_at.filter(|_| self.route.repeat.is_stream());
        let shared = &self.shared;
        self.progress().last = Some(upstream.upstream.clone());
        let guard = AttemptGuard::new(shared.clone(), upstream.clone(), monitor.clone());
        let mut may_reuse = true;
        let (response, connection, wait) = loop {
            let connecting = ConnectingGuard::new(self);
            let Some(mut connection) = self.open_connection(upstream, may_reuse).await else {
                guard.finish(AttemptOutcome::Unreachable);
                return AttemptResult::Failed(AttemptEnd::NotSent, None);
            };
            let now = shared.clock.now();
            if let Some(cause) = self.withdrawal_cause(chosen, cancel_at, now) {
                info!(
                    "event=attempt_withdrawn request={} upstream={} cause={cause}",
                    self.meta.id, upstream.upstream
                );
                guard.finish(AttemptOutcome::Abandoned);
                return AttemptResult::Failed(AttemptEnd::NotSent, None);
            }
            let request = self.upstream_request(chosen, resume_after, now);
            connection.carried_ids.record(&self.meta.id);
            connection.head_gate.begin();
            drop(connecting);
            self.progress().attempts.record_sent();
            let sent = connection.sender.send_request(request);
            let wait = ResponseWait { cancel_at, sent_at: now, monitor };
            let was_idle = connection.idle_for.is_some();
            match self.wait_for(sent, &wait).await {
                Ok(Ok(response)) => break (response, connection, wait),
                // Upstreams may close idle connections at any time, so this says nothing about the upstream.
                Ok(Err(error))
                    if was_idle && (error.is_canceled() || connection.head_gate.is_unsent()) =>
                {
                    self.progress().attempts.record_unsent();
                    self.log_unusable(upstream, &connection, &error);
                    may_reuse = false;
                }
                Ok(Err(error)) if error.is_canceled() => {
                    self.progress().attempts.record_unsent();
                    guard.finish(AttemptOutcome::Unreachable);
                    return AttemptResult::Failed(AttemptEnd::NotSent, None);
                }
                Ok(Err(error)) if connection.head_gate.is_unsent() => {
                    self.progress().attempts.record_unsent();
                    self.log_unusable(upstream, &connection, &error);
                    guard.fail();
                    return AttemptResult::Failed(AttemptEnd::NotSent, None);
                }
                Ok(Err(_)) => {
                    if let Some(idle_for) = connection.idle_for {
                        shared.pool.record_reset(idle_for);
                    }
                    self.record_connection_lost(upstream, false);
                    guard.fail();
                    return AttemptResult::Failed(AttemptEnd::Lost, None);
                }
                Err(error) => return self.give_up(chosen, error, guard, false),
            }
        };
        self.read_response(chosen, resume_after, response, connection, guard, wait).await
    }

    /// Reason why the request may no longer be sent to the chosen upstream, which is asked once the connection is open; `None`
    /// if it may.
    fn withdrawal_cause(
        &self,
        chosen: &ChosenUpstream,
        cancel_at: Option<Instant>,
        now: Instant,
    ) -> Option<&'static str> {
        let version = || self.shared.balancer().load_of(&chosen.record.upstream, now).version;
        if self.deadline <= now {
            Some("deadline")
        } else if cancel_at.is_some_and(|at| at <= now) {
            Some("weights_outdated")
        } else if !self.is_admission_current() {
            Some("paused")
        } else if chosen.expected_version.is_some() && version() != chosen.expected_version {
            Some("weights_unverified")
        } else {
            None
        }
    }

    /// Logs a connection on which nothing of the request could be sent. If it was idle and its end had not been noticed,
    /// connections are kept for a shorter time.
    fn log_unusable(
        &self,
        upstream: &UpstreamRecord,
        connection: &UpstreamConnection,
        error: &hyper::Error,
    ) {
        if let Some(idle_for) = connection.idle_for.filter(|_| !error.is_canceled()) {
            self.shared.pool.record_reset(idle_for);
        }
        info!(
            "event=connection_unusable request={} upstream={} error=\"{error:?}\"",
            self.meta.id, upstream.upstream
        );
    }

    /// Ends an attempt that is given up. Its connection is closed, so most upstreams stop working on it.
    fn give_up(
        &self,
        chosen: &ChosenUpstream,
        error: WaitError,
        guard: AttemptGuard,
        has_head: bool,
    ) -> AttemptResult {
        match error {
            WaitError::WeightsOutdated => {
                info!(
                    "event=attempt_cancelled request={} upstream={} cause=weights_outdated head={has_head}",
                    self.meta.id, chosen.record.upstream
                );
                guard.finish(AttemptOutcome::Abandoned);
            }
            WaitError::TimedOut => guard.fail(),
        }
        AttemptResult::Failed(AttemptEnd::Lost, None)
    }

    /// Waits for a part of the response. An upstream that takes long is reported to the monitor, but waited for until the
    /// deadline.
    async fn wait_for<T>(
        &self,
        part: impl Future<Output = T>,
        wait: &ResponseWait<'_>,
    ) -> Result<T, WaitError> {
        let mut part = pin!(part);
        let mut slow_at = self.response_deadline(wait.sent_at);
        loop {
            let wait_until = wait.cancel_at.map_or(slow_at, |at| at.min(slow_at));
            if let Ok(result) = timeout_at(wait_until.into(), part.as_mut()).await {
                return Ok(result);
            }
            if wait_until < slow_at {
                return Err(WaitError::WeightsOutdated);
            }
            if slow_at >= self.deadline {
                return Err(WaitError::TimedOut);
            }
            wait.monitor.notify_slow();
            slow_at = self.deadline.min(slow_at + ALTERNATIVE_CHECK_INTERVAL);
        }
    }

    fn upstream_request(
        &self,
        chosen: &ChosenUpstream,
        resume_after: Option<&str>,
        now: Instant,
    ) -> Request<Full<Bytes>> {
        let team_priority = self.team.as_ref().and_then(|team| team.priority);
        let priority = match () {
            // The gap in a resumed stream is already long.
            () if resume_after.is_some() => 0,
            // A request that is already late must not delay others.
            () if !self.is_on_time() => MAX_PRIORITY,
            () if self.shared.contention().is_ranked(&self.service) => {
                self.rank().min(MAX_PRIORITY)
            }
            () => team_priority.unwrap_or(self.route.priority).min(MAX_PRIORITY),
        };
        let attempt = AttemptMeta {
            time_left: self
                .caller_deadline
                .map(|by| by.min(self.deadline).saturating_duration_since(now)),
            upstream: &chosen.record.upstream,
            team: self.team.as_ref().map(|team| team.team.as_str()),
            priority: self.meta.model.is_some().then_some(priority),
            version: chosen.expected_version,
            resume_after,
        };
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // Cannot fail: the path was parsed from a valid request.
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = self.shared.ports.codec.upstream_headers(&self.headers, &attempt);
        request
    }

    /// Time at which another upstream is considered if the head of the response has not arrived.
    fn response_deadline(&self, now: Instant) -> Instant {
        let target = self.route.target_latency;
        let wait = match () {
            () if !self.progress().attempts.allows_another() => return self.deadline,
            () if self.route.repeat.is_stream() => target + FIRST_EVENT_SLACK,
            () => (target * RESPONSE_TIMEOUT_FACTOR).max(MIN_RESPONSE_TIMEOUT),
        };
        self.deadline.min(now + wait)
    }

    async fn read_response(
        &self,
        chosen: &ChosenUpstream,
        resume_after: Option<&str>,
        response: Response<Incoming>,
        connection: UpstreamConnection,
        guard: AttemptGuard,
        wait: ResponseWait<'_>,
    ) -> AttemptResult {
        let sent_at = wait.sent_at;
        connection.head_gate.end();
        let shared = &self.shared;
        let upstream = &chosen.record;
        let (head, body) = response.into_parts();
        let meta = shared.ports.codec.read_response(&head);
        let verdict = self.check_response(&head, &meta, connection.idle_for.is_some());
        if let ResponseVerdict::Rejected(cause) = verdict {
            info!(
                "event=answer_refused request={} upstream={} cause={cause} status={}",
                self.meta.id,
                upstream.upstream,
                head.status.as_u16()
            );
            guard.fail();
            return AttemptResult::Failed(AttemptEnd::Lost, None);
        }
        if !meta.wrong_upstream {
            self.record_statements(&upstream.upstream, &meta, sent_at);
        }
        if verdict == ResponseVerdict::NotRun {
            if !meta.wrong_upstream {
                self.record_speed(upstream, &meta, sent_at, false);
            }
            guard.finish(AttemptOutcome::NotRun);
            return AttemptResult::Failed(AttemptEnd::NotRun, None);
        }
        if verdict == ResponseVerdict::UnstatedRefusal {
            info!(
                "event=refusal_unstated request={} upstream={} status={}",
                self.meta.id,
                upstream.upstream,
                head.status.as_u16()
            );
            guard.fail();
            return AttemptResult::Failed(AttemptEnd::Lost, None);
        }
        let is_framed = body.is_end_stream()
            || head.headers.contains_key(CONTENT_LENGTH)
            || head.headers.contains_key(TRANSFER_ENCODING);
        if self.route.repeat.is_stream() && head.status.is_success() {
            let position = resume_after.or(self.meta.resume_after.as_deref());
            let mut order =
                EventOrder::new(position.map(Into::into), self.route.repeat.is_retryable());
            if resume_after.is_some() {
                order.begin_run();
            }
            let mut reader = Box::new(EventReader::new(body, order, shared.response_bytes.clone()));
            let monitor = HeadMonitor::new(shared, &upstream.upstream, sent_at);
            let cancel_at = wait.cancel_at.map(|at| monitor.defer_cancellation(at));
            let wait = ResponseWait { cancel_at, ..wait };
            let first = match self.wait_for(reader.read_first(), &wait).await {
                Ok(first) => first,
                Err(error) => return self.give_up(chosen, error, guard, true),
            };
            if matches!(first, StreamPart::Events(_)) {
                monitor.record_event();
            }
            let fault = match &first {
                StreamPart::Fault(fault) => Some((*fault).into()),
                // An upstream without a length that crashes before the first event ends its body as well. A caller that
                // resumes a stream may have received all of its events.
                StreamPart::End(rest)
                    if !is_framed
                        && (resume_after.is_some() || position.is_none())
                        && !has_content(rest) =>
                {
                    Some(NO_EVENTS)
                }
                _ => None,
            };
            if let Some(cause) = fault {
                info!(
                    "event=stream_failed request={} upstream={} cause={cause} framed={is_framed}",
                    self.meta.id, upstream.upstream
                );
                let may_have_crashed = match first {
                    StreamPart::Fault(fault) => fault.may_be_crash(),
                    _ => true,
                };
                if may_have_crashed {
                    self.record_connection_lost(upstream, false);
                }
                guard.fail();
                return AttemptResult::Failed(AttemptEnd::Lost, None);
            }
            let stream = OpenStream {
                reader,
                first: Some(first),
                connection,
                guard,
                keep_alive: meta.keep_alive,
                closes: meta.closes,
                is_framed,
                forecast: self.begin_forecast_check(chosen, sent_at).map(Box::new),
            };
            return AttemptResult::Stream(head, stream);
        }
        let body = match self.collect_body(head.status, body, &wait).await {
            // The upstream may have stopped before the headers that announce the body.
            Ok(body) if !is_framed && body.is_empty() && head.status.is_success() => Err("no_body"),
            // The connection of an upstream that crashed ends like that of one that sent a complete response.
            Ok(_)
                if !is_framed
                    && !shared.pool.accepts_connections(upstream.address, self.deadline).await =>
            {
                Err("upstream_gone")
            }
            body => body,
        };
        let body = match body {
            Ok(body) => body,
            Err(cause) => {
                info!(
                    "event=answer_incomplete request={} upstream={} status={} cause={cause} \
                     framed={is_framed}",
                    self.meta.id,
                    upstream.upstream,
                    head.status.as_u16()
                );
                guard.fail();
                return AttemptResult::Failed(AttemptEnd::Lost, None);
            }
        };
        if !meta.closes {
            shared.pool.put(&upstream.upstream, connection, meta.keep_alive);
        }
        let has_content = head.status.is_success() && !body.is_empty();
        self.record_speed(upstream, &meta, sent_at, has_content);
        if head.status.is_server_error() {
            guard.fail();
            return AttemptResult::Failed(AttemptEnd::Failed, Some((head, body)));
        }
        guard.succeed();
        // The end of the connection does not show that the upstream has not crashed, and neither does a refusal.
        if is_framed && head.status.is_success() {
            self.record_success();
        }
        AttemptResult::Complete(head, body)
    }

    /// Collects the body of a response that is forwarded as a whole. Fails with the cause, as it is logged, if it is
    /// incomplete or exceeds a limit.
    async fn collect_body(
        &self,
        status: StatusCode,
        body: Incoming,
        wait: &ResponseWait<'_>,
    ) -> Result<Bytes, &'static str> {
        let budget = self.shared.response_bytes.clone();
        let collected = if status.is_success() {
            self.wait_for(HeldBody::new(budget, MAX_RESPONSE_BYTES).collect(body), wait).await
        } else {
            // The request has ended, so that it cannot begin on outdated weights.
            let wait = ResponseWait { cancel_at: None, ..*wait };
            self.wait_for(collect_error(body, budget), &wait).await
        };
        collected.unwrap_or(Err(BodyError::TimedOut)).map_err(Into::into)
    }

    /// Records what a response states about its upstream. Only a signed response can end a limit, because another one may
    /// come from a part of the upstream that does not know the limit.
    fn record_statements(&self, upstream: &UpstreamId, meta: &ResponseMeta, sent_at: Instant) {
        if meta.signed
            && meta.load.is_some_and(|load| load.slowdown_percent.is_some())
            && self.shared.contention().record_shared_host(&self.service)
        {
            info!("event=shared_hosts_found service={} upstream={upstream}", self.service);
            self.shared.apply_contention();
        }
        let now = self.shared.clock.now();
        let mut balancer = self.shared.balancer();
        if let Some(cold_for) = meta.cold_for {
            balancer.record_cold(upstream, cold_for, now);
        }
        if meta.leaving && balancer.record_leaving(upstream, now) {
            info!("event=upstream_leaving upstream={upstream} request={}", self.meta.id);
        }
        if let Some(retry_after) = meta.retry_after {
            balancer.record_retry_after(upstream, retry_after, now);
            info!(
                "event=upstream_backing_off upstream={upstream} request={} retry_after_ms={}",
                self.meta.id,
                retry_after.as_millis()
            );
        }
        if meta.rate_limit == LimitStatement::Absent && !meta.signed {
            return;
        }
        let change =
            balancer.record_limit(upstream, meta.rate_limit, sent_at, now, &mut rand::rng());
        if let Some(change) = change {
            let load = balancer.load_of(upstream, now);
            drop(balancer);
            log_limit_change(upstream, change, "response", load.recent_sends);
            self.shared.wake_limits.notify_one();
        }
    }

    /// Records that an upstream has completed this request, which shows that neither the request nor the parts of its
    /// prompt crash it.
    pub(crate) fn record_success(&self) {
        let (now, fingerprint) = (self.shared.clock.now(), self.fingerprint());
        self.shared.crashes().record_success(now, fingerprint);
        self.record_parts_success();
    }

    /// Records that an upstream has shown that the parts of the prompt do not crash it.
    pub(crate) fn record_parts_success(&self) {
        if !self.meta.shared_parts.is_empty() {
            let now = self.shared.clock.now();
            self.shared.crashes().parts().record_success(now, &self.meta.shared_parts);
        }
    }
}
