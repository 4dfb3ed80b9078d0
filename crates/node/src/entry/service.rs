//! Calls of plain services: idempotent ones with retries, keyed ones only to the owner of the key.

use std::{net::SocketAddr, sync::Arc};

use base::{Outcome, RefusalReason, ServiceId};
use bytes::{Bytes, BytesMut};
use once::RequestKey;
use route::WorkTarget;
use tokio::time::timeout;

use super::{
    exchange::{AttemptFailure, OpenAnswer},
    forward::{DEADLINE_GRACE, ForwardRefusal, Forwarder, RequestRun},
    request::CallerRequest,
    state::load_of,
};

/// Answers are collected whole before the caller gets any of it, so that a broken one can be fetched again. The bound
/// is the largest frame of an answer.
const MAX_ANSWER_BYTES: usize = 8 << 20;

/// A whole answer of a plain service.
#[derive(Debug)]
pub struct ServiceAnswer {
    /// HTTP status of the service.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
}

impl ServiceAnswer {
    fn new(answer: &OpenAnswer, body: Bytes) -> Self {
        let status = u16::try_from(answer.head.status).unwrap_or(502);
        Self { status, content_type: answer.head.content_type.clone(), body }
    }
}

/// Collects the parts of an answer up to its proper end.
///
/// # Errors
/// Fails if the answer is not complete or too large.
pub async fn collect_rest(answer: &mut OpenAnswer) -> Result<Bytes, AttemptFailure> {
    let mut body = BytesMut::new();
    while let Some(part) = answer.next().await? {
        if body.len() + part.len() > MAX_ANSWER_BYTES {
            return Err(AttemptFailure::INVALID);
        }
        body.extend_from_slice(&part);
    }
    Ok(body.freeze())
}

/// Calls an idempotent service; tries other upstreams within the budget.
///
/// # Errors
/// Fails with the final answer to the caller.
pub async fn call_idempotent(
    mut run: RequestRun,
    service: ServiceId,
) -> Result<ServiceAnswer, ForwardRefusal> {
    let target = WorkTarget::Service(service);
    loop {
        let mut answer = run.start(&target, 0).await?;
        let collected = tokio::select! {
            body = timeout(run.time_left(), collect_rest(&mut answer)) => {
                body.unwrap_or(Err(AttemptFailure::LATE))
            }
            () = run.lost() => Err(AttemptFailure::BROKEN),
        };
        match collected {
            Ok(body) => {
                run.succeed(&answer);
                return Ok(ServiceAnswer::new(&answer, body));
            }
            Err(failure) => run.fail(failure).await,
        }
    }
}

/// Sends a keyed call to the owner that the key names, and to no other.
///
/// Only the owner may say that the request was not run. Whatever else fails, another entry may have reached the owner
/// with the same key, so the outcome is unknown.
///
/// # Errors
/// Fails with the final answer to the caller.
pub async fn call_keyed(
    forwarder: &Arc<Forwarder>,
    request: &CallerRequest,
    key: &RequestKey,
) -> Result<ServiceAnswer, ForwardRefusal> {
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
        route::CrashVerdict::Unsuspected => false,
        route::CrashVerdict::Isolate => true,
        route::CrashVerdict::Refuse { retry_after } => {
            let reason = RefusalReason::CrashSuspect;
            return Err(ForwardRefusal::with_delay(Outcome::Unknown, reason, retry_after));
        }
    };
    forwarder.state.lock().board.record_sent(now, upstream, key.owner().incarnation);
    let mut failure = AttemptFailure::NOT_SENT;
    // If the connection breaks, the same key asks the same owner once more: the owner answers from its record.
    for _ in 0..2 {
        let forward = forwarder.message(request, isolated);
        failure = match exchange_keyed(forwarder, request, upstream, peer, forward).await {
            Ok((answer, body)) => {
                if let Some(load) = &answer.load {
                    let (board, incarnation) =
                        (&mut forwarder.state.lock().board, key.owner().incarnation);
                    board.record_load(now, upstream, incarnation, load_of(load));
                }
                forwarder.record_answer(request, isolated);
                return Ok(ServiceAnswer::new(&answer, body));
            }
            Err(failure) => failure,
        };
        let broke = failure.unreachable && failure.outcome == Outcome::Unknown;
        if !broke || forwarder.agents.is_lost(upstream) {
            break;
        }
    }
    if failure.unreachable {
        let incarnation = key.owner().incarnation;
        forwarder.state.lock().board.record_failure(now, upstream, incarnation);
        forwarder.agents.connect_failed(upstream);
    }
    if failure.crashed {
        forwarder.record_crash(upstream, request, isolated).await;
    }
    Err(keyed_refusal(&failure))
}

async fn exchange_keyed(
    forwarder: &Arc<Forwarder>,
    request: &CallerRequest,
    upstream: &str,
    peer: SocketAddr,
    forward: wire::Forward,
) -> Result<(OpenAnswer, Bytes), AttemptFailure> {
    let mut answer = forwarder.exchange(upstream, peer, forward).await?;
    let limit = request.remaining(forwarder.context.clock.now()) + DEADLINE_GRACE;
    let body = tokio::select! {
        body = timeout(limit, collect_rest(&mut answer)) => {
            body.unwrap_or(Err(AttemptFailure::LATE))
        }
        () = forwarder.agents.lost(upstream) => Err(AttemptFailure::BROKEN),
    };
    Ok((answer, body?))
}

/// A failure without a refusal of the owner is unknown, even if this entry sent nothing.
fn keyed_refusal(failure: &AttemptFailure) -> ForwardRefusal {
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
        view.hosts.agent_of(upstream).map(|host| host.peer)
    };
    let peer = forwarder.agents.peer(upstream).or_else(listed)?;
    (!forwarder.agents.is_lost(upstream)).then_some(peer)
}
