//! Small HTTP client of the callers, the tests and the observers.

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

/// Longest time to open a connection on loopback.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call has no answer.
#[derive(Debug, Snafu)]
pub enum ClientError {
    /// The connection could not be opened, or broke before the head of the answer.
    #[snafu(display("no answer: {source}"))]
    NoAnswer {
        /// What the client library said.
        source: hyper_util::client::legacy::Error,
    },
    /// The body of the answer broke.
    #[snafu(display("answer broke off: {source}"))]
    Broken {
        /// What the protocol library said.
        source: hyper::Error,
    },
    /// The body is no JSON of the expected shape.
    #[snafu(display("answer cannot be read: {source}"))]
    Syntax {
        /// What the parser said.
        source: serde_json::Error,
    },
}

/// A pooled HTTP client.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: Client<HttpConnector, Full<Bytes>>,
}

/// One call.
#[derive(Clone, Debug)]
pub struct HttpCall {
    /// Method.
    pub method: Method,
    /// Address of the server.
    pub address: SocketAddr,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct WholeAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

impl HttpCall {
    /// Creates a call without headers and body.
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

impl WholeAnswer {
    /// Parses the body.
    ///
    /// # Errors
    /// Fails if the body is no JSON of this shape.
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
    /// Creates a client with its own pool.
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

    /// Sends a call and returns the head of the answer with its unread body.
    ///
    /// # Errors
    /// Fails if no head arrives.
    ///
    /// # Panics
    /// Panics if the path or a header has characters that HTTP does not allow.
    pub async fn open(&self, call: HttpCall) -> Result<Response<Incoming>, ClientError> {
        let mut builder = Request::builder()
            .method(call.method)
            .uri(format!("http://{}{}", call.address, call.path));
        for (name, value) in call.headers {
            builder = builder.header(name, value);
        }
        let request = builder.body(Full::new(call.body)).expect("path and headers are valid");
        self.client.request(request).await.context(NoAnswerSnafu)
    }

    /// Sends a call and reads the whole answer.
    ///
    /// # Errors
    /// Fails if the answer does not arrive completely.
    pub async fn send(&self, call: HttpCall) -> Result<WholeAnswer, ClientError> {
        let (head, body) = self.open(call).await?.into_parts();
        let body = body.collect().await.context(BrokenSnafu)?.to_bytes();
        Ok(WholeAnswer { status: head.status, headers: head.headers, body })
    }
}
