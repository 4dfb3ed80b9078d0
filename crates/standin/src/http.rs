//! HTTP server of the stand-ins. Its connections can be closed and refused, to simulate a crashed process.

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

/// Body of a response; an error closes the connection before the end of the body.
pub type HttpBody = UnsyncBoxBody<Bytes, io::Error>;
/// Response of a handler.
pub type HttpResponse = Response<HttpBody>;
/// Future that a handler returns.
pub type ResponseFuture = Pin<Box<dyn Future<Output = HttpResponse> + Send>>;

/// Locks a mutex and ignores poisoning: the protected data stays usable after a panic of another holder.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Closes and refuses the connections of one server.
#[derive(Debug)]
pub struct ConnectionSwitch {
    refusing: AtomicBool,
    epoch: Mutex<CancellationToken>,
    stop: CancellationToken,
}

impl ConnectionSwitch {
    /// Creates a switch that accepts connections.
    #[must_use]
    pub fn new() -> Arc<Self> {
        Arc::new(Self {
            refusing: AtomicBool::new(false),
            epoch: Mutex::new(CancellationToken::new()),
            stop: CancellationToken::new(),
        })
    }

    /// Closes every open connection without completing its response.
    pub fn cut(&self) {
        let previous = std::mem::replace(&mut *lock(&self.epoch), CancellationToken::new());
        previous.cancel();
    }

    /// Closes new connections immediately after they are accepted while `refusing` is true.
    pub fn set_refusing(&self, refusing: bool) {
        self.refusing.store(refusing, Ordering::SeqCst);
    }

    fn admit(&self) -> Option<CancellationToken> {
        let epoch = lock(&self.epoch).clone();
        (!self.refusing.load(Ordering::SeqCst)).then_some(epoch)
    }
}

/// An HTTP server on loopback; it stops and closes its connections when dropped.
#[derive(Debug)]
pub struct HttpServer {
    address: SocketAddr,
    switch: Arc<ConnectionSwitch>,
}

impl HttpServer {
    /// Starts a server; with port 0 the operating system chooses the port.
    ///
    /// # Errors
    /// Fails if the address cannot be bound.
    pub async fn start<H>(
        address: SocketAddr,
        switch: Arc<ConnectionSwitch>,
        handler: H,
    ) -> Result<Self, StandinError>
    where
        H: Fn(Request<Incoming>) -> ResponseFuture + Clone + Send + Sync + 'static,
    {
        let listener = TcpListener::bind(address).await.context(BindSnafu { address })?;
        let address = listener.local_addr().context(BindSnafu { address })?;
        tokio::spawn(accept_all(listener, Arc::clone(&switch), handler));
        Ok(Self { address, switch })
    }

    /// Address that the server is bound to.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Switch that closes and refuses the connections of this server.
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
    H: Fn(Request<Incoming>) -> ResponseFuture + Clone + Send + Sync + 'static,
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
    H: Fn(Request<Incoming>) -> ResponseFuture + Send + Sync + 'static,
{
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |request| {
        let response = handler(request);
        async move { Ok::<_, io::Error>(response.await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = epoch.cancelled() => {}
    }
}

/// Creates a body that consists of these bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> HttpBody {
    Full::new(bytes.into()).map_err(|never| match never {}).boxed_unsync()
}

/// Creates a response with a status and a body.
pub fn plain_response(status: StatusCode, bytes: impl Into<Bytes>) -> HttpResponse {
    let mut response = Response::new(full_body(bytes));
    *response.status_mut() = status;
    response
}

/// Creates a response with a status and a JSON body.
///
/// # Panics
/// Panics if `value` cannot be serialised to JSON.
pub fn json_response(status: StatusCode, value: &impl Serialize) -> HttpResponse {
    let bytes = serde_json::to_vec(value).expect("responses of the stand-ins serialise to JSON");
    let mut response = plain_response(status, bytes);
    let content_type = header::HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}

/// Value of a numeric query parameter; `None` if it is missing or not a number.
#[must_use]
pub fn query_number(request: &Request<Incoming>, name: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query.split('&').find_map(|pair| pair.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

/// Reads the whole body of a request; `None` if the connection fails before its end.
pub async fn read_body(request: Request<Incoming>) -> Option<Bytes> {
    request.into_body().collect().await.ok().map(http_body_util::Collected::to_bytes)
}
