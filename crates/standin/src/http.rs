//! HTTP server of the stand-ins: connections can be cut and refused, as when a process dies.

use std::{
    future::Future,
    io,
    net::SocketAddr,
    pin::Pin,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, Ordering},
    },
};

use bytes::Bytes;
use http_body_util::{BodyExt, Full, combinators::UnsyncBoxBody};
use hyper::{Request, Response, StatusCode, body::Incoming, header, service::service_fn};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use snafu::ResultExt;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::error::{BindSnafu, StandinError};

/// Body of an answer; an error aborts the connection in mid-body.
pub type HttpBody = UnsyncBoxBody<Bytes, io::Error>;
/// Answer of a handler.
pub type HttpAnswer = Response<HttpBody>;
/// Future of a handler.
pub type AnswerFuture = Pin<Box<dyn Future<Output = HttpAnswer> + Send>>;

/// Locks a mutex; a panic of another holder does not invalidate the counters behind it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Switches of one server's connections.
#[derive(Debug)]
pub struct ConnectionSwitch {
    refusing: AtomicBool,
    epoch: Mutex<CancellationToken>,
    stop: CancellationToken,
}

impl ConnectionSwitch {
    /// Creates a switch that lets connections in.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            refusing: AtomicBool::new(false),
            epoch: Mutex::new(CancellationToken::new()),
            stop: CancellationToken::new(),
        })
    }

    /// Closes every open connection without finishing its answer.
    pub fn cut(&self) {
        let previous = std::mem::replace(&mut *lock(&self.epoch), CancellationToken::new());
        previous.cancel();
    }

    /// Closes new connections at once while `refusing` is true.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
    }

    fn admit(&self) -> Option<CancellationToken> {
        let epoch = lock(&self.epoch).clone();
        (!self.refusing.load(Ordering::SeqCst)).then_some(epoch)
    }
}

/// A server on loopback; it stops when the value is dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    switch: Arc<ConnectionSwitch>,
}

impl HttpServer {
    /// Starts a server; port 0 lets the operating system choose.
    ///
    /// # Errors
    /// Fails if the address cannot be listened on.
    pub async fn start<H>(
        address: SocketAddr,
        switch: Arc<ConnectionSwitch>,
        handler: H,
    ) -> Result<Self, StandinError>
    where
        H: Fn(Request<Incoming>) -> AnswerFuture + Clone + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        tokio::spawn(accept_all(listener, Arc::clone(&switch), handler));
        Ok(Self { address, switch })
    }

    /// Address of the server.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switches of the server's connections.
    #[must_use]
    pub fn switch(&self) -> &Arc<ConnectionSwitch> {
        &self.switch
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.switch.stop.cancel();
        self.switch.cut();
    }
}

async fn accept_all<H>(listener: TcpListener, switch: Arc<ConnectionSwitch>, handler: H)
where
    H: Fn(Request<Incoming>) -> AnswerFuture + Clone + Send + Sync + 'static,
{
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = switch.stop.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else { continue };
        if let Some(epoch) = switch.admit() {
            tokio::spawn(serve_connection(stream, epoch, handler.clone()));
        }
    }
}

async fn serve_connection<H>(stream: TcpStream, epoch: CancellationToken, handler: H)
where
    H: Fn(Request<Incoming>) -> AnswerFuture + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let answer = handler(request);
        async move { Ok::<_, io::Error>(answer.await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = epoch.cancelled() => {}
    }
}

/// Body with these bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Answer with a status and bytes.
///
/// # Panics
/// Never: the status and the headers are valid.
pub fn answer(status: StatusCode, bytes: impl Into<Bytes>) -> HttpAnswer {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
}

/// Answer with a status and a JSON value.
///
/// # Panics
/// Panics if `value` does not serialise.
pub fn json_answer(status: StatusCode, value: &impl Serialize) -> HttpAnswer {
    let bytes = serde_json::to_vec(value).expect("answers of the stand-ins serialise");
    let mut response = answer(status, bytes);
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Value of a parameter in the query part of a request's address.
#[must_use]
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Reads the whole body of a request.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    request.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
}
