//! Small HTTP client for the simulated callers, the measurements and the tests.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::{Method, Request, Response, StatusCode, body::Incoming, header::HeaderMap};
use hyper_util::{
    client::legacy::{Client, connect::HttpConnector},
    rt::TokioExecutor,
};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, Snafu};

/// Timeout for opening a connection on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Error of a request.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection could not be opened, or failed before the response headers arrived.
    #[snafu(display("no response: {source}"))]
    NoResponse {
        /// Error of the HTTP client.
        source: hyper_util::client::legacy::Error,
    },
    /// The connection failed before the end of the response body.
    #[snafu(display("response body incomplete: {source}"))]
    Body {
        /// Error of the HTTP connection.
        source: hyper::Error,
    },
    /// The body is not valid JSON of the expected type.
    #[snafu(display("invalid JSON in response: {source}"))]
    Syntax {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
}

/// An HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// An HTTP request to send.
#[derive(Clone, Debug)]
pub struct HttpRequest {
    /// HTTP method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query of the URI.
    pub path: String,
    /// Names and values of the headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body; empty if none is sent.
    pub body: Bytes,
}

/// A response that was read completely.
#[derive(Clone, Debug)]
pub struct FullResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl HttpRequest {
    /// Creates a request without headers and body.
    pub fn new(method: Method, address: SocketAddr, path: impl Into<String>) -> Self {
        Self { method, address, path: path.into(), headers: Vec::new(), body: Bytes::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sets the body.
    #[must_use]
    pub fn with_body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }
}

impl FullResponse {
    /// Parses the body as JSON.
    ///
    /// # Errors
    /// Fails if the body is not valid JSON of type `T`.
    pub fn json<T: DeserializeOwned>(&self) -> Result<T, ClientError> {
        serde_json::from_slice(&self.body).context(SyntaxSnafu)
    }
}

impl Default for HttpClient {
    fn default() -> Self {
        Self::new()
    }
}

impl HttpClient {
    /// Creates a client with its own connection pool.
    #[must_use]
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(Duration::from_secs(10))
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the response as soon as its headers arrive; the body is not read yet.
    ///
    /// # Errors
    /// Fails if the connection fails before the response headers arrive.
    ///
    /// # Panics
    /// Panics if the path or a header contains characters that HTTP does not allow.
    pub async fn send_streaming(
        &self,
        request: HttpRequest,
    ) -> Result<Response<Incoming>, ClientError> {
        let mut builder = Request::builder()
            .method(request.method)
            .uri(format!("http://{}{}", request.address, request.path));
        for (name, value) in request.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(Full::new(request.body)).expect("path and headers are valid");
        self.client.request(request).await.context(NoResponseSnafu)
    }

    /// Sends a request and reads the whole response.
    ///
    /// # Errors
    /// Fails if the response does not arrive completely.
    pub async fn send(&self, request: HttpRequest) -> Result<FullResponse, ClientError> {
        let (head, body) = self.send_streaming(request).await?.into_parts();
        let body = body.collect().await.context(BodySnafu)?.to_bytes();
        Ok(FullResponse { status: head.status, headers: head.headers, body })
    }
}
