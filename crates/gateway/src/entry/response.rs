//! Responses that this system itself generates.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::{
    HeaderMap, Response, StatusCode,
    header::{CONNECTION, CONTENT_TYPE, HeaderValue, RETRY_AFTER},
};

use log::info;

use super::{http::ResponseBody, shared::EntryShared};

/// Response to a caller.
pub(super) type CallerResponse = Response<ResponseBody>;

/// Asks the caller to close its connection if this entry is stopping.
pub(super) fn close_if_leaving(shared: &EntryShared, headers: &mut HeaderMap) {
    if shared.is_leaving() {
        headers.insert(CONNECTION, HeaderValue::from_static("close"));
    }
}

/// Rejects a request whose head contains conflicting body lengths, and closes the connection to prevent request
/// smuggling.
pub(super) fn reject_ambiguous_length(shared: &EntryShared) -> CallerResponse {
    info!("event=refused cause=two_lengths status=400");
    let mut response = local_response(shared, "", StatusCode::BAD_REQUEST, None);
    response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    response
}

/// Builds a response of this system itself; it never carries the signature of an upstream.
pub(super) fn local_response(
    shared: &EntryShared,
    id: &str,
    status: StatusCode,
    retry_after: Option<Duration>,
) -> CallerResponse {
    let text = format!("{{\"error\":\"{}\"}}", status.canonical_reason().unwrap_or("error"));
    let mut response = Response::new(ResponseBody::Left(Full::new(Bytes::from(text))));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    if let Some(retry_after) = retry_after
        && let Ok(value) = HeaderValue::from_str(&format!("{:.3}", retry_after.as_secs_f64()))
    {
        headers.insert(RETRY_AFTER, value);
    }
    if !id.is_empty() {
        shared.ports.codec.mark_response(headers, id);
    }
    close_if_leaving(shared, headers);
    response
}
