//! HTTP server shared by the callers' API and the administration API.

use std::{io, sync::Arc, time::Duration};

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http_body_util::{BodyExt, Full, combinators::BoxBody};
use hyper::{
    Request, Response, StatusCode, body::Incoming, header::CONTENT_TYPE, service::service_fn,
};
use hyper_util::{
    rt::{TokioExecutor, TokioIo, TokioTimer},
    server::conn::auto::Builder,
};
use log::{debug, warn};
use serde::Serialize;
use tokio::{
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    time::timeout,
};
use tokio_util::sync::CancellationToken;

use crate::context::NodeContext;

const MAX_CONNECTIONS: u32 = 8192;
const MAX_HEADER_BYTES: usize = 16 << 10;
const MAX_HEADERS: usize = 64;
/// A caller that takes longer to send its headers is disconnected.
const HEADER_TIMEOUT: Duration = Duration::from_secs(10);
/// First bytes of every HTTP/2 connection.
const HTTP2_PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
const PREFACE_POLL: Duration = Duration::from_millis(10);
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Body of a response; an error cuts the stream in a way that the caller sees.
pub type ResponseBody = BoxBody<Bytes, io::Error>;

/// Part of a process that answers HTTP requests.
pub trait HttpHandler: Send + Sync {
    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<ResponseBody>>;
}

/// A running server.
pub struct HttpServer {
    permits: Arc<Semaphore>,
}

impl HttpServer {
    /// Waits until no connection is open. After [`NodeContext::closing`] is cancelled no new one is accepted.
    pub async fn closed(&self) {
        // Each connection holds a permit.
        let _ = self.permits.acquire_many(MAX_CONNECTIONS).await;
    }
}

/// Serves HTTP/1.1 and HTTP/2 on `listener` until the node is killed; from [`NodeContext::closing`] on, connections
/// close as soon as their requests are answered.
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

/// Waits until the first bytes tell whether the caller speaks HTTP/2. The server builder waits for them without a
/// timeout, so a caller that sends nothing would hold its connection for ever.
async fn has_started(stream: &TcpStream) -> bool {
    let first_bytes = async {
        let mut start = [0; HTTP2_PREFACE.len()];
        loop {
            let length = stream.peek(&mut start).await.unwrap_or(0);
            if length == 0 {
                return false;
            }
            if length == start.len() || !HTTP2_PREFACE.starts_with(&start[..length]) {
                return true;
            }
            tokio::time::sleep(PREFACE_POLL).await;
        }
    };
    timeout(HEADER_TIMEOUT, first_bytes).await.unwrap_or(false)
}

async fn serve(stream: TcpStream, handler: Arc<dyn HttpHandler>, closing: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let started = closing.run_until_cancelled(has_started(&stream)).await;
    if started != Some(true) {
        return;
    }
    let mut builder = Builder::new(TokioExecutor::new());
    builder
        .http1()
        .timer(TokioTimer::new())
        .header_read_timeout(HEADER_TIMEOUT)
        .max_buf_size(MAX_HEADER_BYTES)
        .max_headers(MAX_HEADERS);
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(HEADER_TIMEOUT)
        .max_header_list_size(MAX_HEADER_BYTES as u32);
    let service = service_fn(move |request| {
        let handler = handler.clone();
        async move { Ok::<_, std::convert::Infallible>(handler.handle(request).await) }
    });
    let connection = builder.serve_connection(TokioIo::new(stream), service);
    tokio::pin!(connection);
    let outcome = tokio::select! {
        outcome = connection.as_mut() => outcome,
        () = closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = outcome {
        debug!("event=http_connection_failed error=\"{error}\"");
    }
}

/// A whole body.
#[must_use]
pub fn full_body(bytes: impl Into<Bytes>) -> ResponseBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed()
}

/// A response with a JSON body.
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

/// What a caller is told of its own fault.
#[derive(Debug, Serialize)]
pub struct CallerFault<'a> {
    /// Stable name of the fault.
    pub error: &'a str,
    /// What is expected.
    pub detail: &'a str,
}

/// A response that tells a caller of its own fault.
#[must_use]
pub fn fault_response(status: StatusCode, error: &str, detail: &str) -> Response<ResponseBody> {
    json_response(status, &CallerFault { error, detail })
}
