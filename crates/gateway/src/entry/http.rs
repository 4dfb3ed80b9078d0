//! Listeners for callers, address queries and readiness checks.

use std::{
    convert::Infallible,
    net::SocketAddr,
    pin::Pin,
    sync::{Arc, atomic::Ordering},
    task::{Context, Poll},
    time::Duration,
};

use bytes::Bytes;
use http_body_util::{Either, Full};
use hyper::{
    Request, Response, StatusCode,
    body::{Body, Frame, Incoming, SizeHint},
    header::{CONTENT_TYPE, HeaderValue},
    server::conn::http1::Builder,
    service::service_fn,
};
use hyper_util::rt::{TokioIo, TokioTimer};
use log::{debug, info};
use member::CallerPlace;
use tokio::net::TcpStream;

use super::{
    call,
    head_timer::{PhaseGuard, RequestPhase, TimedStream},
    relay::RelayBody,
    reply::refuse_ambiguous,
    shared::EntryShared,
};
use crate::frames::{NodeError, accept, bind};

/// Limits that hold before a configuration is known.
const DEFAULT_HEADER_BYTES: usize = 16 << 10;
const DEFAULT_IDLE: Duration = Duration::from_secs(15);
const DEFAULT_HEAD: Duration = Duration::from_secs(5);
/// Smallest buffer that the HTTP library accepts.
const MIN_BUFFER: usize = 8 << 10;
/// Time to live of an answer about addresses; short, so that callers leave a stopping entry soon.
const ADDRESS_TTL: Duration = Duration::from_secs(2);

/// Body of an answer to a caller, with the mark that its connection is busy.
struct GuardedBody {
    body: AnswerBody,
    _busy: PhaseGuard,
}

impl Body for GuardedBody {
    type Data = Bytes;
    type Error = <AnswerBody as Body>::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Self::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }
}

/// Body of an answer: whole, or relayed from an upstream.
pub(crate) type AnswerBody = Either<Full<Bytes>, Box<RelayBody>>;

/// Serves all listeners; returns only if one cannot be bound.
pub(crate) async fn serve(shared: Arc<EntryShared>) -> Result<(), NodeError> {
    let callers = bind(shared.settings.callers).await?;
    let ready = bind(shared.settings.ready).await?;
    let addresses = bind(shared.settings.addresses).await?;
    shared.listening.store(true, Ordering::Relaxed);
    info!(
        "event=listening callers={} addresses={}",
        shared.settings.callers, shared.settings.addresses
    );
    tokio::join!(
        accept(callers, |stream| serve_caller(shared.clone(), stream)),
        accept(ready, |stream| serve_small(shared.clone(), stream, answer_ready)),
        accept(addresses, |stream| serve_small(shared.clone(), stream, answer_addresses)),
    );
    Ok(())
}

async fn serve_caller(shared: Arc<EntryShared>, stream: TcpStream) {
    let limits = shared.view.load().limits();
    let header_bytes = limits.map_or(DEFAULT_HEADER_BYTES, |limits| limits.max_header_bytes);
    let (idle, head_limit) = limits.map_or((DEFAULT_IDLE, DEFAULT_HEAD), |limits| {
        (limits.idle_timeout, limits.header_timeout)
    });
    let phase = RequestPhase::default();
    let stream = TimedStream::new(stream, phase.clone(), head_limit);
    let service = service_fn(|request| {
        let (shared, busy) = (shared.clone(), phase.begin());
        let is_ambiguous = phase.is_ambiguous();
        async move {
            let answer = if is_ambiguous {
                refuse_ambiguous(&shared)
            } else {
                call::answer(shared, request).await
            };
            Ok::<_, Infallible>(answer.map(|body| GuardedBody { body, _busy: busy }))
        }
    });
    let served = Builder::new()
        .timer(TokioTimer::new())
        // This timer also runs while a connection is idle.
        .header_read_timeout(idle.max(head_limit))
        .max_buf_size(header_bytes.max(MIN_BUFFER))
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        debug!("event=caller_connection_ended error=\"{error}\"");
    }
}

type SmallAnswer = Response<Full<Bytes>>;

async fn serve_small(
    shared: Arc<EntryShared>,
    stream: TcpStream,
    answer: fn(&EntryShared, &Request<Incoming>) -> SmallAnswer,
) {
    let service = service_fn(|request| {
        let answer = answer(&shared, &request);
        async move { Ok::<_, Infallible>(answer) }
    });
    let served = Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(DEFAULT_IDLE)
        .serve_connection(TokioIo::new(stream), service)
        .await;
    if let Err(error) = served {
        debug!("event=connection_ended error=\"{error}\"");
    }
}

fn small(status: StatusCode, body: Bytes) -> SmallAnswer {
    let mut answer = Response::new(Full::new(body));
    *answer.status_mut() = status;
    answer
}

fn answer_ready(shared: &EntryShared, request: &Request<Incoming>) -> SmallAnswer {
    if request.uri().path() != shared.ports.codec.paths().ready {
        return small(StatusCode::NOT_FOUND, Bytes::new());
    }
    let status = if shared.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
    small(status, Bytes::new())
}

fn answer_addresses(shared: &EntryShared, request: &Request<Incoming>) -> SmallAnswer {
    let codec = &shared.ports.codec;
    if request.uri().path() != codec.paths().addresses {
        return small(StatusCode::NOT_FOUND, Bytes::new());
    }
    let query = codec.read_address_query(request.uri().query().unwrap_or_default());
    let addresses = addresses_for(shared, &query);
    if addresses.is_empty() {
        return small(StatusCode::SERVICE_UNAVAILABLE, Bytes::new());
    }
    let ttl = ADDRESS_TTL.min(shared.settings.max_ttl);
    let mut answer = small(StatusCode::OK, codec.address_answer(&addresses, ttl));
    answer.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    answer
}

fn addresses_for(shared: &EntryShared, query: &crate::port::AddressQuery) -> Vec<SocketAddr> {
    let view = shared.view.load();
    let routes = view.routes_of(&query.host);
    let homes = routes
        .iter()
        .map(|route| &route.allowed_regions)
        .find(|regions| !regions.is_empty())
        .map_or(&[][..], Vec::as_slice);
    let place = CallerPlace { data_centre: &query.data_centre, region: &query.region, homes };
    let own = shared.own_member();
    let regions = &shared.settings.common.regions;
    shared.roster().addresses_for(&own, &place, regions, shared.clock.now(), &mut rand::rng())
}
