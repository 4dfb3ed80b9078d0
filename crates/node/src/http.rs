//! HTTP server used for both the callers' API and the administration API.

use std::{
    future::{Future, poll_fn},
    io,
    pin::Pin,
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode,
    body::Incoming,
    header::CONTENT_TYPE,
    server::conn::{http1, http2},
    service::service_fn,
};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use log::{debug, warn};
use serde::Serialize;
use tokio::{
    io::AsyncWriteExt,
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;

const MAX_CONNECTIONS: u32 = 8192;
const MAX_HEADER_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
/// Timeout for receiving the request headers; a slower caller receives 408 and is disconnected.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// Connection preface that starts every HTTP/2 connection (RFC 9113, section 3.4).
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const PREFACE_POLL_INTERVAL: Duration = Duration::from_millis(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Body of a response. An error from the body aborts the connection or stream, so the caller can tell that the response
/// is incomplete.
pub type ResponseBody = BoxBody<Bytes, io::Error>;

/// Handles the requests that an [`HttpServer`] accepts.
pub trait HttpHandler: Send + Sync {
    /// Returns the response to one request.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>>;
}

/// Handle of a server started by [`spawn_server`].
pub struct HttpServer {
    permits: Arc<Semaphore>,
}

impl HttpServer {
    /// Waits until no connection is open. Once [`NodeContext::closing`] is cancelled, no new connection is accepted.
    pub async fn wait_until_closed(&self) {
        // Each open connection holds a permit.
        let _ = self.permits.acquire_many(MAX_CONNECTIONS).await;
    }
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until the node is killed. Once [`NodeContext::closing`] is cancelled, each
/// connection closes as soon as its current requests are complete.
pub fn spawn_server(
    context: &NodeContext,
    listener: std::net::TcpListener,
    handler: Arc<dyn HttpHandler>,
) -> HttpServer {
    let permits = Arc::new(Semaphore::new(MAX_CONNECTIONS as usize));
    let task_context = context.clone();
    let task_permits = permits.clone();
    context.spawn_traffic(async move {
        let listener =
            TcpListener::from_std(listener).expect("the listener is bound and non-blocking");
        let accepting = accept_loop(&task_context, listener, task_permits, handler);
        task_context.closing.run_until_cancelled(accepting).await;
    });
    HttpServer { permits }
}

async fn accept_loop(
    context: &NodeContext,
    listener: TcpListener,
    permits: Arc<Semaphore>,
    handler: Arc<dyn HttpHandler>,
) {
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, _)) => {
                let handler = handler.clone();
                let closing = context.closing.clone();
                context.spawn_traffic(async move {
                    serve(stream, handler, closing).await;
                    drop(permit);
                });
            }
            Err(error) => {
                warn!("event=accept_failed error=\"{error}\"");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// HTTP version of a connection.
enum Protocol {
    Http1,
    Http2,
}

/// Detects the HTTP version from the first bytes of the connection. Returns `None` if the caller closes the connection
/// or sends too few bytes within [`HEADER_TIMEOUT`].
async fn detect_protocol(stream: &TcpStream) -> Option<Protocol> {
    let first_bytes = async {
        let mut start = [0; HTTP2_PREFACE.len()];
        loop {
            let length = stream.peek(&mut start).await.unwrap_or(0);
            if length == 0 {
                return None;
            }
            if !HTTP2_PREFACE.starts_with(&start[..length]) {
                return Some(Protocol::Http1);
            }
            if length == start.len() {
                return Some(Protocol::Http2);
            }
            tokio::time::sleep(PREFACE_POLL_INTERVAL).await;
        }
    };
    timeout(HEADER_TIMEOUT, first_bytes).await.ok().flatten()
}

async fn serve(mut stream: TcpStream, handler: Arc<dyn HttpHandler>, closing: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let outcome = match closing.run_until_cancelled(detect_protocol(&stream)).await {
        Some(Some(Protocol::Http1)) => serve_http1(stream, handler, closing).await,
        Some(Some(Protocol::Http2)) => serve_http2(stream, handler, closing).await,
        Some(None) => {
            respond_header_timeout(&mut stream).await;
            return;
        }
        None => return,
    };
    if let Err(error) = outcome {
        debug!("event=http_connection_failed error=\"{error}\"");
    }
}

async fn serve_http1(
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
    closing: CancellationToken,
) -> hyper::Result<()> {
    let service = service_fn(move |request| respond(handler.clone(), request));
    let mut connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS)
        .serve_connection(TokioIo::new(stream), service);
    let mut closed = std::pin::pin!(closing.cancelled());
    let mut is_closing = false;
    let outcome = poll_fn(|task| {
        if !is_closing && closed.as_mut().poll(task).is_ready() {
            is_closing = true;
            Pin::new(&mut connection).graceful_shutdown();
        }
        connection.poll_without_shutdown(task)
    })
    .await;
    let parts = connection.into_parts();
    let mut stream = parts.io.into_inner();
    // hyper closes the connection on a header timeout without a response. Send a 408 if part of a request has arrived;
    // an idle keep-alive connection is just closed.
    let is_header_timeout =
        outcome.as_ref().is_err_and(hyper::Error::is_timeout) && !parts.read_buf.is_empty();
    if is_header_timeout {
        respond_header_timeout(&mut stream).await;
    }
    let _ = stream.shutdown().await;
    outcome
}

async fn serve_http2(
    stream: TcpStream,
    handler: Arc<dyn HttpHandler>,
    closing: CancellationToken,
) -> hyper::Result<()> {
    let service = service_fn(move |request| respond(handler.clone(), request));
    let connection = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .keep_alive_interval(HEADER_TIMEOUT)
        .max_header_list_size(MAX_HEADER_BYTES as u32)
        .serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    tokio::select! {
        outcome = connection.as_mut() => outcome,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    }
}

type BoxedResponse = BoxFuture<'static, Result<Response<ResponseBody>, std::convert::Infallible>>;

fn respond(handler: Arc<dyn HttpHandler>, request: Request<Incoming>) -> BoxedResponse {
    Box::pin(async move { Ok(handler.handle(request).await) })
}

async fn respond_header_timeout(stream: &mut TcpStream) {
    let fault =
        ErrorBody { error: "header_timeout", detail: "request headers must arrive within 10 s" };
    let body = serde_json::to_string(&fault).unwrap_or_default();
    let response = format!(
        "HTTP/1.1 408 Request Timeout\r\ncontent-type: application/json\r\nconnection: close\r\n\
         x-outcome: unknown\r\ncontent-length: {}\r\n\r\n{body}",
        body.len(),
    );
    let _ = timeout(HEADER_TIMEOUT, stream.write_all(response.as_bytes())).await;
}

/// Creates a body from bytes that are complete in memory.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// Creates a response with `value` as its JSON body.
#[must_use]
pub fn json_response(status: StatusCode, value: &impl Serialize) -> Response<ResponseBody> {
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut response = Response::new(full_body(body));
    *response.status_mut() = status;
    response
        .headers_mut()
        .insert(CONTENT_TYPE, hyper::header::HeaderValue::from_static("application/json"));
    response
}

/// JSON body of an error response to a caller.
#[derive(Debug, Serialize)]
pub struct ErrorBody<'a> {
    /// Stable, machine-readable name of the error.
    pub error: &'a str,
    /// Human-readable explanation, including what is allowed.
    pub detail: &'a str,
}

/// Creates an error response with an [`ErrorBody`].
#[must_use]
pub fn error_response(status: StatusCode, error: &str, detail: &str) -> Response<ResponseBody> {
    json_response(status, &ErrorBody { error, detail })
}
