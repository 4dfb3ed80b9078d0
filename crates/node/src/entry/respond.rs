//! Builds the HTTP responses to callers.

use std::time::Duration;

use base::Outcome;
use bytes::Bytes;
use futures_util::StreamExt;
use http_body_util::{BodyExt, StreamBody};
use hyper::{
    Response, StatusCode, Version,
    body::Frame,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};
use serde_json::json;

use super::{forward::ForwardRefusal, request::CallerError, stream::LineReceiver};
use crate::http::{ResponseBody, error_response, full_body, json_response};

const NDJSON: &str = "application/x-ndjson";

/// Creates a streaming response, whose body ends when the sender of `receiver` is dropped.
#[must_use]
pub fn stream_response(receiver: LineReceiver) -> Response<ResponseBody> {
    let parts = futures_util::stream::unfold(receiver, |mut receiver| async move {
        receiver.recv().await.map(|part| (part, receiver))
    });
    let body = BodyExt::boxed(StreamBody::new(parts.map(|part| part.map(Frame::data))));
    let mut response = Response::new(body);
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static(NDJSON));
    with_outcome(response, Outcome::Answered)
}

/// Creates a response with the status and body from the upstream.
#[must_use]
pub fn complete_response(status: u16, content_type: &str, body: Bytes) -> Response<ResponseBody> {
    let mut response = Response::new(full_body(body));
    *response.status_mut() = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_GATEWAY);
    if let Ok(content_type) = HeaderValue::from_str(content_type)
        && !content_type.is_empty()
    {
        response.headers_mut().insert(CONTENT_TYPE, content_type);
    }
    with_outcome(response, Outcome::Answered)
}

/// Creates the response for a refusal, with its reason and retry delay.
#[must_use]
pub fn refusal_response(refusal: &ForwardRefusal) -> Response<ResponseBody> {
    let status = match refusal.outcome {
        Outcome::NotRun => StatusCode::SERVICE_UNAVAILABLE,
        _ => StatusCode::GATEWAY_TIMEOUT,
    };
    let retry_after_ms = u64::try_from(refusal.retry_after.as_millis()).unwrap_or(u64::MAX);
    let body = json!({
        "outcome": refusal.outcome,
        "reason": refusal.reason,
        "retry_after_ms": retry_after_ms,
    });
    let mut response = json_response(status, &body);
    let seconds = Duration::from_millis(retry_after_ms).as_millis().div_ceil(1_000) as u64;
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    with_outcome(response, refusal.outcome)
}

/// Creates the response for an error in the caller's request, and closes an HTTP/1.1 connection, because it may still
/// carry the rest of a request that was not read.
#[must_use]
pub fn caller_error_response(
    fault: &CallerError,
    keyed: bool,
    version: Version,
) -> Response<ResponseBody> {
    let mut response = error_response(fault.status, fault.error, fault.detail);
    close_connection(&mut response, version);
    // Another entry may have forwarded a request with the same key to its owner.
    with_outcome(response, if keyed { Outcome::Unknown } else { Outcome::NotRun })
}

/// Asks the caller to close an HTTP/1.1 connection after this response.
pub fn close_connection(response: &mut Response<ResponseBody>, version: Version) {
    if version < Version::HTTP_2 {
        response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Adds the header `x-outcome`.
#[must_use]
pub fn with_outcome(
    mut response: Response<ResponseBody>,
    outcome: Outcome,
) -> Response<ResponseBody> {
    let value = match outcome {
        Outcome::Answered => "answered",
        Outcome::NotRun => "not_run",
        Outcome::Unknown => "unknown",
    };
    response.headers_mut().insert("x-outcome", HeaderValue::from_static(value));
    response
}
