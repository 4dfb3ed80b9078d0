//! One attempt of a request at an upstream.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use balance::{AttemptEnd, SendOutcome, fingerprint_of};
use base::UpstreamId;
use bytes::Bytes;
use fleet::UpstreamRecord;
use http_body_util::{BodyExt, Full, Limited};
use hyper::{Request, Response, body::Incoming};
use log::info;
use route::Fingerprint;
use tokio::time::timeout_at;

use super::{
    call::CallContext, guards::SendGuard, outcome::Attempt, pool::UpstreamConnection,
    relay::OpenStream,
};
use crate::port::SendFacts;

/// Largest answer that is collected before it is passed on.
const MAX_ANSWER_BYTES: usize = 8 << 20;
/// Factor on the target after which an idempotent request without any answer is sent to another upstream.
const SILENCE_TARGETS: u32 = 3;
/// Shortest such time: a plain service answers in tens of milliseconds.
const MIN_SILENCE: Duration = Duration::from_millis(250);
/// Time beyond the target after which a stream without a first event is started at another upstream.
const FIRST_EVENT_SLACK: Duration = Duration::from_millis(700);
/// Rank of the least urgent requests at an engine.
const MAX_PRIORITY: u8 = 9;

impl CallContext {
    pub(super) fn fingerprint(&self) -> Fingerprint {
        let key = self.facts.key.as_deref().unwrap_or_default();
        fingerprint_of(key, self.uri.path(), &self.body)
    }

    /// Records that the connection to an upstream broke while it ran this request.
    pub(crate) fn record_broken(&self, upstream: &UpstreamId) {
        let view = self.shared.view.load();
        let born = view.upstream(upstream).map_or(0, |record| record.born);
        let now = self.shared.clock.now();
        self.shared.crashes().record_lost(now, self.fingerprint(), upstream, born);
    }

    async fn connection(&self, upstream: &UpstreamRecord) -> Option<UpstreamConnection> {
        // A request that must not run twice never meets a connection that the upstream may be closing, or on which a
        // late answer to another request may arrive.
        let pooled = if self.route.repeat.is_repeatable() {
            self.shared.pool.take(&upstream.upstream)
        } else {
            None
        };
        match pooled {
            Some(connection) => Some(connection),
            None => self.shared.pool.connect(upstream.address).await,
        }
    }

    pub(super) async fn attempt(
        &self,
        upstream: &Arc<UpstreamRecord>,
        resume_after: Option<&str>,
    ) -> Attempt {
        let shared = &self.shared;
        self.progress().last = Some(upstream.upstream.clone());
        let guard = SendGuard::new(shared.clone(), upstream.upstream.clone());
        let Some(mut connection) = self.connection(upstream).await else {
            guard.end(SendOutcome::Unreachable);
            return Attempt::Ended(AttemptEnd::NotSent, None);
        };
        let now = shared.clock.now();
        let request = self.upstream_request(upstream, resume_after, now);
        let silent_by = self.silent_by(now);
        let sent = timeout_at(silent_by.into(), connection.sender.send_request(request)).await;
        let response = match sent {
            Ok(Ok(response)) => response,
            Ok(Err(error)) if error.is_canceled() => {
                guard.end(SendOutcome::Unreachable);
                return Attempt::Ended(AttemptEnd::NotSent, None);
            }
            Ok(Err(_)) => {
                if let Some(rested) = connection.rested {
                    shared.pool.record_reset(rested);
                }
                self.record_broken(&upstream.upstream);
                guard.fail();
                return Attempt::Ended(AttemptEnd::Lost, None);
            }
            Err(_) => {
                guard.fail();
                return Attempt::Ended(AttemptEnd::Lost, None);
            }
        };
        self.read_response(upstream, response, connection, guard).await
    }

    fn upstream_request(
        &self,
        upstream: &UpstreamRecord,
        resume_after: Option<&str>,
        now: Instant,
    ) -> Request<Full<Bytes>> {
        let stated = self.team.as_ref().and_then(|team| team.priority);
        let priority = match () {
            // The pause in a stream that goes on elsewhere is already long.
            () if resume_after.is_some() => 0,
            // What is late already must not make others late.
            () if !self.is_on_time() => MAX_PRIORITY,
            () => stated.unwrap_or(self.route.priority).min(MAX_PRIORITY),
        };
        let send = SendFacts {
            time_left: self
                .caller_by
                .map(|by| by.min(self.answer_by).saturating_duration_since(now)),
            upstream: &upstream.upstream,
            team: self.team.as_ref().map(|team| team.team.as_str()),
            priority: self.facts.model.is_some().then_some(priority),
            version: self.min_version(now),
            resume_after,
        };
        let path = self.uri.path_and_query().map_or("/", |path| path.as_str());
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        // The path was parsed from a request, so it parses again.
        *request.uri_mut() = path.parse().unwrap_or_default();
        *request.headers_mut() = self.shared.ports.codec.upstream_headers(&self.headers, &send);
        request
    }

    /// Moment at which an upstream that has not answered is given up.
    fn silent_by(&self, now: Instant) -> Instant {
        let target = self.route.target_latency;
        let patience = match () {
            () if self.progress().attempts.is_last() => return self.answer_by,
            () if self.route.repeat.is_stream() => target + FIRST_EVENT_SLACK,
            () => (target * SILENCE_TARGETS).max(MIN_SILENCE),
        };
        self.answer_by.min(now + patience)
    }

    async fn read_response(
        &self,
        upstream: &Arc<UpstreamRecord>,
        response: Response<Incoming>,
        connection: UpstreamConnection,
        guard: SendGuard,
    ) -> Attempt {
        let (head, body) = response.into_parts();
        let facts = self.shared.ports.codec.read_answer(&head);
        if let Some(cold) = facts.cold_for {
            self.shared.board().record_cold(&upstream.upstream, cold, self.shared.clock.now());
        }
        let is_foreign = facts.id.as_ref().is_some_and(|id| *id != self.facts.id);
        if is_foreign || (head.status.is_success() && !facts.signed) {
            info!(
                "event=answer_refused request={} upstream={} foreign={is_foreign} signed={}",
                self.facts.id, upstream.upstream, facts.signed
            );
            guard.fail();
            return Attempt::Ended(AttemptEnd::Lost, None);
        }
        if facts.not_run || facts.other_upstream {
            guard.end(SendOutcome::NotRun);
            return Attempt::Ended(AttemptEnd::NotRun, None);
        }
        if self.route.repeat.is_stream() && head.status.is_success() {
            let stream =
                OpenStream { body, connection, guard, keep: facts.keep_idle, closes: facts.closes };
            return Attempt::Stream(head, stream);
        }
        let collected = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let Ok(Ok(collected)) = timeout_at(self.answer_by.into(), collected).await else {
            guard.fail();
            return Attempt::Ended(AttemptEnd::Lost, None);
        };
        let body = collected.to_bytes();
        if !facts.closes {
            self.shared.pool.put(&upstream.upstream, connection, facts.keep_idle);
        }
        if head.status.is_server_error() {
            guard.fail();
            return Attempt::Ended(AttemptEnd::Failed, Some((head, body)));
        }
        guard.answer();
        self.record_answered();
        Attempt::Whole(head, body)
    }

    /// Records that an upstream has answered this request in full.
    pub(crate) fn record_answered(&self) {
        let now = self.shared.clock.now();
        self.shared.crashes().record_answered(now, || self.fingerprint());
    }
}
