//! HTTP client shared by the adapters.

use std::{net::SocketAddr, time::Duration};

use bytes::{Bytes, BytesMut};
use compact_str::CompactString;
use futures_util::{StreamExt, TryStreamExt, stream::BoxStream};
use http_body_util::{BodyDataStream, BodyExt, Full, StreamBody, combinators::BoxBody};
use hyper::{
    Method, Request, Response, StatusCode,
    body::{Body, Frame, Incoming},
    header::{CONTENT_TYPE, RETRY_AFTER, TRANSFER_ENCODING},
};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::{TokioExecutor, TokioTimer},
};
use snafu::{OptionExt, ResultExt};
use tokio::time::timeout;

use crate::error::{MalformedSnafu, PlatformError, RateLimitedSnafu, RequestSnafu, TooLargeSnafu};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest status; it lists the loaded models.
pub(crate) const MAX_STATUS_BYTES: usize = 64 << 10;
const POOL_IDLE_TIMEOUT: Duration = Duration::from_secs(10);
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(250);
/// Header with the retry delay in milliseconds; `Retry-After` has only whole seconds.
const RETRY_AFTER_MS: &str = "retry-after-ms";

type RequestBody = BoxBody<Bytes, std::convert::Infallible>;

/// An answer whose body is still arriving.
pub struct UpstreamAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if none was given.
    pub content_type: CompactString,
    /// Delay that the other side asks for; only with status 429.
    pub retry_after: Option<Duration>,
    /// True if the head states where the body ends. Otherwise the end of the connection ends the body, and a broken
    /// connection looks like a whole answer.
    pub is_delimited: bool,
    /// Parts of the body; an error means that the answer is incomplete.
    pub body: BoxStream<'static, Result<Bytes, PlatformError>>,
}

/// Client of one address.
#[derive(Clone)]
pub struct HttpClient {
    address: SocketAddr,
    client: Client<HttpConnector, RequestBody>,
}

impl HttpClient {
    /// Creates a client that keeps idle connections.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self::with_idle_connections(address, usize::MAX)
    }

    /// Creates a client that uses a new connection for each request.
    ///
    /// A request that is not idempotent must not meet a connection that the other side is about to close.
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

    /// Address of the other side.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request with a whole body and returns the answer as soon as its head has arrived.
    ///
    /// # Errors
    /// Fails if the request cannot be sent or the connection breaks before the head.
    pub async fn send(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: Bytes,
    ) -> Result<UpstreamAnswer, PlatformError> {
        self.send_body(method, path, headers, Full::new(body).boxed()).await
    }

    /// Sends a request whose body is a sequence of parts.
    ///
    /// # Errors
    /// Fails as [`HttpClient::send`] does.
    pub async fn send_parts(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        parts: Vec<Bytes>,
    ) -> Result<UpstreamAnswer, PlatformError> {
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
    ) -> Result<UpstreamAnswer, PlatformError> {
        let mut builder =
            Request::builder().method(method).uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(body).context(RequestSnafu)?;
        let response = self.client.request(request).await.map_err(|error| self.classify(error))?;
        Ok(read_answer(response))
    }

    fn classify(&self, error: hyper_util::client::legacy::Error) -> PlatformError {
        if error.is_connect() {
            PlatformError::Connect { address: self.address }
        } else {
            PlatformError::Broken { source: error.into() }
        }
    }

    /// Sends a request and collects the answer of a success, at most `limit` bytes within `time`.
    ///
    /// # Errors
    /// Fails if the call fails, takes too long, is refused or answers too much.
    pub async fn fetch(
        &self,
        method: Method,
        path: &str,
        body: Bytes,
        limit: usize,
        time: Duration,
    ) -> Result<(u16, Bytes), PlatformError> {
        let call = async {
            let answer = self.send(method, path, &[], body).await?;
            collect(answer, limit).await
        };
        timeout(time, call).await.map_err(|_| PlatformError::Timeout { limit: time })?
    }
}

impl HttpClient {
    /// Reads the status that engines and plain services give of themselves.
    pub(crate) async fn read_status<T: serde::de::DeserializeOwned>(
        &self,
    ) -> Result<T, PlatformError> {
        let body = Bytes::new();
        let call = self.fetch(Method::GET, "/v1/status", body, MAX_STATUS_BYTES, STATUS_TIMEOUT);
        parse(&call.await?.1)
    }
}

/// Collects the body of a success; statuses that are no success become errors.
pub(crate) async fn collect(
    answer: UpstreamAnswer,
    limit: usize,
) -> Result<(u16, Bytes), PlatformError> {
    let UpstreamAnswer { status, retry_after, mut body, .. } = answer;
    if let Some(retry_after) = retry_after {
        return RateLimitedSnafu { retry_after }.fail();
    }
    let known = StatusCode::from_u16(status)
        .ok()
        .filter(|code| code.is_success() || *code == StatusCode::NOT_MODIFIED);
    known.context(crate::error::StatusSnafu { status })?;
    let mut collected = BytesMut::new();
    while let Some(part) = body.try_next().await? {
        snafu::ensure!(collected.len() + part.len() <= limit, TooLargeSnafu { limit });
        collected.extend_from_slice(&part);
    }
    Ok((status, collected.freeze()))
}

/// Parses a JSON answer.
///
/// # Errors
/// Fails if the bytes are no JSON of the type.
pub fn parse<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, PlatformError> {
    serde_json::from_slice(bytes).context(MalformedSnafu)
}

fn read_answer(response: Response<Incoming>) -> UpstreamAnswer {
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
    let parts = BodyDataStream::new(response.into_body());
    let body = parts.map_err(|error| PlatformError::Broken { source: error.into() }).boxed();
    UpstreamAnswer { status, content_type, retry_after, is_delimited, body }
}
