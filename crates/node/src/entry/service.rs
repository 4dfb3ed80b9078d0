//! Requests to plain services: idempotent ones with retries, keyed ones only to the owner of the key.

use std::{net::SocketAddr, sync::Arc};

use base::{Outcome, RefusalReason, ServiceId};
use bytes::{Bytes, BytesMut};
use once::RequestKey;
use route::RequestTarget;
use tokio::time::timeout;

use super::{
    exchange::{AttemptFailure, IncomingResponse},
    forward::{DEADLINE_GRACE, ForwardRefusal, Forwarder, RequestRun},
    request::CallerRequest,
    state::to_upstream_load,
};

/// Maximum size of a response in bytes; it is the maximum size of a frame. A response is buffered completely before the
/// caller gets any of it, so that a broken one can be fetched again.
const MAX_RESPONSE_BYTES: usize = 8 << 20;

/// Complete response of a plain service.
#[derive(Debug)]
pub struct ServiceResponse {
    /// HTTP status from the service.
    pub status: u16,
    /// Content type; empty if the service sent none.
    pub content_type: String,
    /// Complete body.
    pub body: Bytes,
}

impl ServiceResponse {
    fn new(response: &IncomingResponse, body: Bytes) -> Self {
        let status = u16::try_from(response.head.status).unwrap_or(502);
        Self { status, content_type: response.head.content_type.clone(), body }
    }
}

/// Collects the body of a response.
///
/// # Errors
/// Fails if the response is incomplete or too large.
pub async fn collect_body(response: &mut IncomingResponse) -> Result<Bytes, AttemptFailure> {
    let mut body = BytesMut::new();
    while let Some(part) = response.next().await? {
        if body.len() + part.len() > MAX_RESPONSE_BYTES {
            return Err(AttemptFailure::INVALID_RESPONSE);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Sends an idempotent request to a service, with retries on other upstreams within the retry budget.
///
/// # Errors
/// Fails with the refusal for the caller.
pub async fn send_idempotent(
    mut run: RequestRun,
    service: ServiceId,
) -> Result<ServiceResponse, ForwardRefusal> {
    let target = RequestTarget::Service(service);
    loop {
        let mut response = run.start(&target, 0).await?;
        let collected = tokio::select! {
            body = timeout(run.time_left(), collect_body(&mut response)) => {
                body.unwrap_or(Err(AttemptFailure::TIMED_OUT))
            }
            () = run.wait_until_agent_lost() => Err(AttemptFailure::CONNECTION_LOST),
        };
        match collected {
            Ok(body) => {
                run.complete_attempt(&response);
                return Ok(ServiceResponse::new(&response, body));
            }
            Err(failure) => run.fail_attempt(failure).await,
        }
    }
}

/// Sends a keyed request to the owner that the key names, and to no other upstream.
///
/// Only the owner can report that the request has not run. After any other failure the outcome is unknown, because
/// another entry may have reached the owner with the same key.
///
/// # Errors
/// Fails with the refusal for the caller.
pub async fn send_keyed(
    forwarder: &Arc<Forwarder>,
    request: &CallerRequest,
    key: &RequestKey,
) -> Result<ServiceResponse, ForwardRefusal> {
    let unknown = |reason| ForwardRefusal::new(Outcome::Unknown, reason);
    let now = forwarder.context.clock.now();
    if forwarder.fresh_view().is_none() {
        return Err(unknown(RefusalReason::Refreshing));
    }
    let upstream = &key.owner().upstream;
    let peer = owner_address(forwarder, upstream)
        .ok_or_else(|| unknown(RefusalReason::OwnerUnreachable))?;
    let verdict = forwarder.state.lock().crashes.verdict(now, &request.fingerprint);
    let isolated = match verdict {
        route::CrashVerdict::Allow => false,
        route::CrashVerdict::Isolate => true,
        route::CrashVerdict::Refuse { retry_after } => {
            let reason = RefusalReason::CrashSuspect;
            return Err(ForwardRefusal::with_delay(Outcome::Unknown, reason, retry_after));
        }
    };
    forwarder.state.lock().upstreams.record_sent(now, upstream, key.owner().incarnation);
    let mut failure = AttemptFailure::NOT_SENT;
    // If the connection breaks, the request is sent to the same owner once more: the owner recognises the key and does
    // not run the request twice.
    for _ in 0..2 {
        let forward = forwarder.forward_message(request, isolated);
        failure = match exchange_keyed(forwarder, request, upstream, peer, forward).await {
            Ok((response, body)) => {
                if let Some(load) = &response.load {
                    let (upstreams, incarnation) =
                        (&mut forwarder.state.lock().upstreams, key.owner().incarnation);
                    upstreams.record_load(now, upstream, incarnation, to_upstream_load(load));
                }
                forwarder.record_success(request, isolated);
                return Ok(ServiceResponse::new(&response, body));
            }
            Err(failure) => failure,
        };
        let connection_broke = failure.unreachable && failure.outcome == Outcome::Unknown;
        if !connection_broke || forwarder.agents.is_lost(upstream) {
            break;
        }
    }
    if failure.unreachable {
        let incarnation = key.owner().incarnation;
        forwarder.state.lock().upstreams.record_failure(now, upstream, incarnation);
        forwarder.agents.connect_failed(upstream);
    }
    if failure.crashed {
        forwarder.record_crash(upstream, request, isolated).await;
    }
    Err(refuse_keyed(&failure))
}

async fn exchange_keyed(
    forwarder: &Arc<Forwarder>,
    request: &CallerRequest,
    upstream: &str,
    peer: SocketAddr,
    forward: wire::Forward,
) -> Result<(IncomingResponse, Bytes), AttemptFailure> {
    let mut response = forwarder.exchange(upstream, peer, forward).await?;
    let limit = request.remaining(forwarder.context.clock.now()) + DEADLINE_GRACE;
    let body = tokio::select! {
        body = timeout(limit, collect_body(&mut response)) => {
            body.unwrap_or(Err(AttemptFailure::TIMED_OUT))
        }
        () = forwarder.agents.wait_until_lost(upstream) => Err(AttemptFailure::CONNECTION_LOST),
    };
    Ok((response, body?))
}

/// Converts a failure to the refusal for the caller. Without a refusal from the owner the outcome is unknown, even if
/// this entry sent nothing.
fn refuse_keyed(failure: &AttemptFailure) -> ForwardRefusal {
    if failure.unreachable {
        return ForwardRefusal::new(Outcome::Unknown, RefusalReason::OwnerUnreachable);
    }
    match failure.retry_after {
        Some(delay) => ForwardRefusal::with_delay(failure.outcome, failure.reason, delay),
        None => ForwardRefusal::new(Outcome::Unknown, failure.reason),
    }
}

fn owner_address(forwarder: &Forwarder, upstream: &str) -> Option<SocketAddr> {
    let listed = || {
        let view = forwarder.view.get()?;
        view.hosts.agent_for_upstream(upstream).map(|host| host.peer)
    };
    let peer = forwarder.agents.peer_address(upstream).or_else(listed)?;
    (!forwarder.agents.is_lost(upstream)).then_some(peer)
}
