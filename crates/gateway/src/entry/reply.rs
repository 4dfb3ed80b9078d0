//! Answers of this system itself.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

use log::info;

use super::{http::AnswerBody, shared::EntryShared};

/// Answer to a caller.
pub(super) type Answer = Response<AnswerBody>;

/// Asks the caller to leave a connection of an entry that is about to stop.
pub(super) fn close_if_leaving(shared: &EntryShared, headers: &mut HeaderMap) {
    if shared.is_leaving() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Refuses a request whose head states the length of its body twice, and ends the connection: that is how one request is
/// hidden inside another.
pub(super) fn refuse_ambiguous(shared: &EntryShared) -> Answer {
    info!("event=refused cause=two_lengths status=400");
    let mut answer = own_answer(shared, "", StatusCode::BAD_REQUEST, None);
    answer.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    answer
}

/// An answer of this system; it never carries an upstream's signature.
pub(super) fn own_answer(
    shared: &EntryShared,
    id: &str,
    status: StatusCode,
    retry: Option<Duration>,
) -> Answer {
    let text = format!("{{\"error\":\"{}\"}}", status.canonical_reason().unwrap_or("error"));
    let mut answer = Response::new(AnswerBody::Left(Full::new(Bytes::from(text))));
    *answer.status_mut() = status;
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry) = retry
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    if !id.is_empty() {
        shared.ports.codec.mark_answer(headers, id);
    }
    close_if_leaving(shared, headers);
    answer
}
