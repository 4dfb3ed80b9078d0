//! HTTP client shared by all implementations of the platform traits.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::{Duration, Instant},
};

use base::{TransferLimits, TransferTimer};
use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::{StreamExt, TryStreamExt, stream::BoxStream};
use http_body_util::{BodyDataStream, BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    HeaderMap, Method, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    ext::on_informational,
    header::{CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use snafu::{OptionExt, ResultExt};
use tokio::{
    sync::Notify,
    time::{timeout, timeout_at},
};

use crate::error::{
    InformationalSnafu, MalformedSnafu, PlatformError, RateLimitedSnafu, RequestSnafu,
    TooLargeSnafu,
};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a status response, which lists the loaded models.
pub(crate) const MAX_STATUS_BYTES: usize = 64 << 10;
/// Maximum number of informational responses before a response. The HTTP library skips any number of them.
const MAX_INFORMATIONAL: u32 = 8;
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Header with the retry delay in milliseconds, preferred because `Retry-After` only allows whole seconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

type RequestBody = BoxBody<Bytes, std::convert::Infallible>;

/// Response whose head has arrived and whose body is still being received.
pub struct UpstreamResponse {
    /// HTTP status code.
    pub status: u16,
    /// Value of the `Content-Type` header; empty if the header is missing or not valid text.
    pub content_type: CompactString,
    /// Requested retry delay, 250 ms unless the response states one; `None` unless the status is 429.
    pub retry_after: Option<Duration>,
    /// All headers.
    pub headers: HeaderMap,
    /// True if the length of the body is known or the body is chunked. Otherwise it ends with the connection, so that a
    /// truncated response cannot be distinguished from a complete one.
    pub is_delimited: bool,
    /// Parts of the body; an error means that the response is incomplete.
    pub body: BoxStream<'static, Result<Bytes, PlatformError>>,
}

/// HTTP client for a single address.
#[derive(Clone)]
pub struct HttpClient {
    address: SocketAddr,
    client: Client<HttpConnector, RequestBody>,
}

impl HttpClient {
    /// Creates a client that reuses idle connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_idle_connections(address, usize::MAX)
    }

    /// Creates a client that uses a new connection for each request.
    ///
    /// This is needed for requests that are not idempotent: on a reused connection that the server is about to close,
    /// it would be unclear whether the request was executed.
    #[must_use]
    pub fn with_fresh_connections(address: SocketAddr) -> Self {
        Self::with_idle_connections(address, 0)
    }

    fn with_idle_connections(address: SocketAddr, max_idle: usize) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .pool_idle_timeout(POOL_IDLE_TIMEOUT)
            .pool_max_idle_per_host(max_idle)
            .retry_canceled_requests(false)
            .build(connector);
        Self { address, client }
    }

    /// Address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request with a contiguous body and returns the response as soon as its head has arrived.
    ///
    /// # Errors
    /// Fails if the request cannot be sent or the connection breaks before the head of the response has arrived.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<UpstreamResponse, PlatformError> {
        self.send_body(method, path, headers, Full::new(body).boxed()).await
    }

    /// Sends a request whose body is the concatenation of `parts`, without copying them.
    ///
    /// # Errors
    /// Fails as [`HttpClient::send`] does.
    pub async fn send_parts(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        parts: Vec<Bytes>,
    ) -> Result<UpstreamResponse, PlatformError> {
        let frames =
            futures_util::stream::iter(parts.into_iter().map(|part| Ok(Frame::data(part))));
        self.send_body(method, path, headers, BodyExt::boxed(StreamBody::new(frames))).await
    }

    async fn send_body(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: RequestBody,
    ) -> Result<UpstreamResponse, PlatformError> {
        let mut builder =
            Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let mut request = builder.body(body).context(RequestSnafu)?;
        let flooded = Arc::new(Notify::new());
        let (notify, count) = (flooded.clone(), AtomicU32::new(0));
        on_informational(&mut request, move |_| {
            if count.fetch_add(1, Ordering::Relaxed) >= MAX_INFORMATIONAL {
                notify.notify_one();
            }
        });
        let response = tokio::select! {
            response = self.client.request(request) => response,
            () = flooded.notified() => {
                return InformationalSnafu { limit: MAX_INFORMATIONAL }.fail();
            }
        };
        Ok(read_response(response.map_err(|error| self.classify(error))?))
    }

    fn classify(&self, error: hyper_util::client::legacy::Error) -> PlatformError {
        if error.is_connect() {
            PlatformError::Connect { address: self.address }
        } else {
            PlatformError::Broken { source: error.into() }
        }
    }

    /// Sends a request and collects a successful response of at most `limit` bytes within `time`. Status 304 is treated
    /// as success.
    ///
    /// # Errors
    /// Fails if the request cannot be sent, the connection breaks, the status is not a success, or the response exceeds
    /// `limit` or `time`.
    pub async fn fetch(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: usize,
        time: Duration,
    ) -> Result<(u16, Bytes), PlatformError> {
        let request = async {
            let response = self.send(method, path, &[], body).await?;
            collect(response, limit).await
        };
        timeout(time, request).await.map_err(|_| PlatformError::Timeout { limit: time })?
    }

    /// Sends a request without a body and collects a successful response of at most `max_bytes` within time limits that
    /// depend on its progress. Reports each part to `observer` as it arrives.
    ///
    /// # Errors
    /// Fails if the request cannot be sent, the connection breaks, the status is not a success, or the response exceeds
    /// `max_bytes` or `limits`.
    pub async fn fetch_large(
        &self,
        path: &str,
        max_bytes: usize,
        limits: TransferLimits,
        observer: &dyn TransferObserver,
    ) -> Result<FetchedResponse, PlatformError> {
        let mut timer = TransferTimer::new(limits, Instant::now());
        let request = self.send(Method::GET, path, &[], Bytes::new());
        let mut response = within(&timer, request).await??;
        let head_at = Instant::now();
        timer.record(0, head_at);
        let headers = std::mem::take(&mut response.headers);
        check_status(&response)?;
        observer.record_progress(0);
        let mut body = BytesMut::new();
        while let Some(part) = within(&timer, response.body.try_next()).await?? {
            snafu::ensure!(
                body.len() + part.len() <= max_bytes,
                TooLargeSnafu { limit: max_bytes }
            );
            body.extend_from_slice(&part);
            timer.record(part.len(), Instant::now());
            observer.record_progress(part.len());
        }
        Ok(FetchedResponse { headers, body: body.freeze(), transfer_time: head_at.elapsed() })
    }
}

/// Waits for a part of a transfer until its deadline.
async fn within<T>(
    timer: &TransferTimer,
    part: impl Future<Output = T>,
) -> Result<T, PlatformError> {
    timeout_at(timer.deadline().into(), part)
        .await
        .map_err(|_| PlatformError::Timeout { limit: timer.elapsed(Instant::now()) })
}

/// Is told of the progress of a transfer.
pub trait TransferObserver: Send + Sync {
    /// Called when the head of a successful response has arrived, with a count of 0, and when `count` bytes of its body have.
    fn record_progress(&self, count: usize);
}

/// Ignores the progress.
impl TransferObserver for () {
    fn record_progress(&self, _count: usize) {}
}

impl HttpClient {
    /// Reads the status of an engine or a plain service.
    pub(crate) async fn read_status<T: serde::de::DeserializeOwned>(
        &self,
    ) -> Result<T, PlatformError> {
        let body = Bytes::new();
        let request = self.fetch(Method::GET, "/v1/status", body, MAX_STATUS_BYTES, STATUS_TIMEOUT);
        parse(&request.await?.1)
    }
}

/// A successful response and the time that it took to arrive.
#[derive(Clone, Debug)]
pub struct FetchedResponse {
    /// Headers of the response.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
    /// Time from the arrival of the head to the arrival of the end of the body.
    pub transfer_time: Duration,
}

/// Collects the body of a successful response. Any other status except 304 results in an error.
pub(crate) async fn collect(
    response: UpstreamResponse,
    limit: usize,
) -> Result<(u16, Bytes), PlatformError> {
    check_status(&response)?;
    let UpstreamResponse { status, mut body, .. } = response;
    let mut collected = BytesMut::new();
    while let Some(part) = body.try_next().await? {
        snafu::ensure!(collected.len() + part.len() <= limit, TooLargeSnafu { limit });
        collected.extend_from_slice(&part);
    }
    Ok((status, collected.freeze()))
}

fn check_status(response: &UpstreamResponse) -> Result<(), PlatformError> {
    let status = response.status;
    if let Some(retry_after) = response.retry_after {
        return RateLimitedSnafu { retry_after }.fail();
    }
    let known = StatusCode::from_u16(status)
        .ok()
        .filter(|code| code.is_success() || *code == StatusCode::NOT_MODIFIED);
    known.map(drop).context(crate::error::StatusSnafu { status })
}

/// Parses a JSON response.
///
/// # Errors
/// Fails if the bytes are not valid JSON or do not match the type.
pub fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).context(MalformedSnafu)
}

fn read_response(response: Response<Incoming>) -> UpstreamResponse {
    let status = response.status().as_u16();
    let header = |name: &str| response.headers().get(name).and_then(|value| value.to_str().ok());
    let content_type = header(CONTENT_TYPE.as_str()).unwrap_or_default().into();
    let millis =
        header(RETRY_AFTER_MS).and_then(|text| text.parse().ok()).map(Duration::from_millis);
    let seconds =
        header(RETRY_AFTER.as_str()).and_then(|text| text.parse().ok()).map(Duration::from_secs);
    let retry_after = (response.status() == StatusCode::TOO_MANY_REQUESTS)
        .then(|| millis.or(seconds).unwrap_or(DEFAULT_RETRY_AFTER));
    let is_delimited = response.headers().contains_key(TRANSFER_ENCODING)
        || response.body().size_hint().exact().is_some();
    let (head, body) = response.into_parts();
    let headers = head.headers;
    let parts = BodyDataStream::new(body);
    let body = parts.map_err(|error| PlatformError::Broken { source: error.into() }).boxed();
    UpstreamResponse { status, content_type, retry_after, headers, is_delimited, body }
}
