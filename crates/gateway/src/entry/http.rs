//! Listeners for callers' requests, address queries and readiness checks.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::{Pin, pin},
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll, ready},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{
    Request, Response, StatusCode, Version,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info};
use member::CallerLocation;
use tokio::{
    net::TcpStream,
    task::yield_now,
    time::{Instant, sleep},
};

use super::{
    head_timer::{BusyGuard, ConnectionLimits, ConnectionState, TimedStream},
    relay::RelayBody,
    request,
    response::reject_ambiguous_length,
    shared::EntryShared,
};
use crate::frames::{NodeError, bind, close_listener, serve_connections};

/// Limits that apply until a configuration is known.
const DEFAULT_MAX_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);
const DEFAULT_HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Minimum buffer size that the HTTP library accepts.
const MIN_BUFFER: usize = 8 << 10;
/// Time that a connection gets to read what its caller has already sent, before it is closed as idle. The data is already
/// in the socket's buffer.
const READ_DELAY: Duration = Duration::from_millis(20);
/// Time in which the rest of a head must arrive when a connection is about to be closed.
const HEAD_DELAY: Duration = Duration::from_millis(200);
/// Time to live of the response to an address query; short, so that callers soon stop using an entry that is stopping.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Body of a response to a caller, which keeps the connection marked as busy until it is dropped.
struct GuardedBody {
    body: ResponseBody,
    /// State of the connection if the body ends with it, which is then reset if the body breaks off.
    unframed: Option<ConnectionState>,
    _busy: BusyGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = <ResponseBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(context));
        if let (Some(Err(_)), Some(state)) = (&frame, &self.unframed) {
            state.reset_at_end();
        }
        Poll::Ready(frame)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// Body of a response: complete, or relayed from an upstream.
pub(crate) type ResponseBody = Either<Full<Bytes>, Box<RelayBody>>;

/// Serves all listeners until they are closed, or one of them cannot be bound.
pub(crate) async fn serve(shared: Arc<EntryShared>) -> Result<(), NodeError> {
    let callers = bind(shared.settings.callers).await?;
    let ready = bind(shared.settings.ready).await?;
    let addresses = bind(shared.settings.addresses).await?;
    shared.listening.store(true, Ordering::Relaxed);
    info!(
        "event=listening callers={} addresses={}",
        shared.settings.callers, shared.settings.addresses
    );
    let serve_all = async {
        tokio::join!(
            serve_connections(&callers, |stream| serve_caller(shared.clone(), stream)),
            serve_connections(&ready, |stream| serve_simple(
                shared.clone(),
                stream,
                ready_response
            )),
            serve_connections(&addresses, |stream| serve_simple(
                shared.clone(),
                stream,
                addresses_response
            )),
        );
    };
    tokio::select! {
        () = serve_all => {}
        () = shared.closing.cancelled() => {}
    }
    close_listener(callers, |stream| serve_caller(shared.clone(), stream));
    Ok(())
}

/// Serves a connection of a caller, which counts as open from this call on. When the entry closes its listeners, the
/// connection is closed after the response that it waits for.
fn serve_caller(shared: Arc<EntryShared>, stream: TcpStream) -> impl Future<Output = ()> {
    let open = shared.open_connection();
    async move {
        serve_requests(shared, stream).await;
        drop(open);
    }
}

async fn serve_requests(shared: Arc<EntryShared>, stream: TcpStream) {
    let limits = shared.view.load().limits();
    let header_bytes = limits.map_or(DEFAULT_MAX_HEADER_BYTES, |limits| limits.max_header_bytes);
    let (idle, head) = limits.map_or((DEFAULT_IDLE_TIMEOUT, DEFAULT_HEADER_TIMEOUT), |limits| {
        (limits.idle_timeout, limits.header_timeout)
    });
    let limits = ConnectionLimits { idle: idle.max(head), head };
    let state = ConnectionState::default();
    let stream = TimedStream::new(stream, state.clone(), limits);
    let service = service_fn(|request: Request<Incoming>| {
        let (shared, busy) = (shared.clone(), state.mark_busy());
        // A body of unknown length is sent in chunks, which HTTP/1.0 does not have.
        let unframed = (request.version() <= Version::HTTP_10).then(|| state.clone());
        let is_ambiguous = state.is_ambiguous();
        async move {
            let response = if is_ambiguous {
                reject_ambiguous_length(&shared)
            } else {
                request::handle(shared, request).await
            };
            Ok::<_, Infallible>(response.map(|body| GuardedBody { body, unframed, _busy: busy }))
        }
    });
    let connection = Builder::new()
        // The stream has timeouts of its own.
        .header_read_timeout(None)
        .max_buf_size(header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = pin!(connection);
    let served = tokio::select! {
        // Reads what has arrived before it decides whether the connection may be closed.
        biased;
        served = connection.as_mut() => served,
        () = wait_for_close(&shared, &state) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        // Both the body of a response that broke off and a handler that has not responded belong to a request.
        if state.is_busy() || error.is_user() {
            info!("event=caller_connection_cut busy={} error=\"{error}\"", state.is_busy());
        } else {
            debug!("event=caller_connection_ended error=\"{error}\"");
        }
    }
}

/// Waits until a connection may be closed unless it waits for a response. A request that its caller has already sent is
/// still read.
async fn wait_for_close(shared: &EntryShared, state: &ConnectionState) {
    shared.closing.cancelled().await;
    sleep(READ_DELAY).await;
    let head_end = Instant::now() + HEAD_DELAY;
    loop {
        // If the process was held up, the delay may end before the runtime knows what has arrived meanwhile.
        yield_now().await;
        if !state.is_receiving() || Instant::now() >= head_end {
            return;
        }
        sleep(READ_DELAY).await;
    }
}

type SimpleResponse = Response<Full<Bytes>>;

async fn serve_simple(
    shared: Arc<EntryShared>,
    stream: TcpStream,
    handler: fn(&EntryShared, &Request<Incoming>) -> SimpleResponse,
) {
    let service = service_fn(|request| {
        let response = handler(&shared, &request);
        async move { Ok::<_, Infallible>(response) }
    });
    let served = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        debug!("event=connection_ended error=\"{error}\"");
    }
}

fn simple_response(status: StatusCode, body: Bytes) -> SimpleResponse {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    response
}

fn ready_response(shared: &EntryShared, request: &Request<Incoming>) -> SimpleResponse {
    if request.uri().path() != shared.ports.codec.paths().ready {
        return simple_response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let status = if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    simple_response(status, Bytes::new())
}

fn addresses_response(shared: &EntryShared, request: &Request<Incoming>) -> SimpleResponse {
    let codec = &shared.ports.codec;
    if request.uri().path() != codec.paths().addresses {
        return simple_response(StatusCode::NOT_FOUND, Bytes::new());
    }
    let query = codec.read_address_query(request.uri().query().unwrap_or_default());
    let addresses = addresses_for(shared, &query);
    if addresses.is_empty() {
        return simple_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let ttl = ADDRESS_TTL.min(shared.settings.max_ttl);
    let mut response = simple_response(StatusCode::OK, codec.address_response(&addresses, ttl));
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}

fn addresses_for(shared: &EntryShared, query: &crate::port::AddressQuery) -> Vec<SocketAddr> {
    // An unknown host may be one that a newer configuration restricts.
    let home_regions = shared.view.load().entry_regions(&query.host);
    let home_regions = home_regions.unwrap_or_else(|| vec![query.region.clone()]);
    let location = CallerLocation {
        data_centre: &query.data_centre,
        region: &query.region,
        home_regions: &home_regions,
    };
    let own = shared.own_member();
    let regions = &shared.settings.common.regions;
    shared.membership().addresses_for(
        &own,
        &location,
        regions,
        shared.clock.now(),
        &mut rand::rng(),
    )
}
