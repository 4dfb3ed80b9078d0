//! State of one document in a process: the document in force, offers of peers, and reads of the service.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{ContentDigest, Revision};
use bytes::Bytes;

use crate::{
    delta::{DeltaHistory, DocumentDelta},
    document::{DocumentError, DocumentOrder, HeldDocument, SharedDocument},
    event::PullResponse,
    reader::ReadSchedule,
};

/// Timeout for the response to a pull; a full document takes 0.4 s on a link of 25 Mbit/s.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum number of offers kept, highest document first.
const MAX_OFFERS: usize = 4;
/// A delta is sent only if the full document is more than this many times as large.
const MIN_FULL_TO_DELTA_RATIO: usize = 2;

/// A newer document that a peer has announced.
#[derive(Clone, Copy, Debug)]
struct Offer {
    order: DocumentOrder,
    peer: SocketAddr,
    needs_full: bool,
}

/// A pull whose response is pending.
#[derive(Clone, Copy, Debug)]
struct PullInFlight {
    peer: SocketAddr,
    base: Option<ContentDigest>,
    deadline: Instant,
}

/// A document with its history of deltas, pending pull, offers of peers and schedule of reads.
pub(crate) struct DocumentState<T> {
    pub(crate) held: Option<HeldDocument<T>>,
    pub(crate) reads: ReadSchedule,
    history: DeltaHistory,
    offers: Vec<Offer>,
    pull_in_flight: Option<PullInFlight>,
    last_digest: Option<ContentDigest>,
}

/// Result of receiving a document.
pub(crate) enum Received {
    /// The document came into force.
    Adopted,
    /// The document is in force already or was processed before, or there was nothing to process.
    AlreadyKnown,
    /// The document is older than the one in force and was ignored.
    Older(Revision),
    /// The document or delta was rejected.
    Refused(ContentDigest, DocumentError),
}

impl<T: SharedDocument> DocumentState<T> {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            held: None,
            reads: ReadSchedule::new(now),
            history: DeltaHistory::default(),
            offers: Vec::new(),
            pull_in_flight: None,
            last_digest: None,
        }
    }

    pub(crate) fn order(&self) -> Option<DocumentOrder> {
        self.held.as_ref().map(HeldDocument::order)
    }

    pub(crate) fn revision(&self) -> Revision {
        self.order().map_or(0, |(revision, _)| revision)
    }

    /// Records that a peer holds the document `order`; ignored unless it is newer than the one in force.
    pub(crate) fn offer(&mut self, order: DocumentOrder, peer: SocketAddr) {
        if Some(order) <= self.order() {
            return;
        }
        self.offers.retain(|offer| offer.peer != peer);
        self.offers.push(Offer { order, peer, needs_full: false });
        self.offers.sort_by_key(|offer| Reverse(offer.order));
        self.offers.truncate(MAX_OFFERS);
    }

    pub(crate) fn has_offers(&self) -> bool {
        self.pull_in_flight.is_some() || !self.offers.is_empty()
    }

    /// Starts the next pull if one is due; returns the peer and the digest of the base for a delta.
    pub(crate) fn start_next_pull(
        &mut self,
        now: Instant,
    ) -> Option<(SocketAddr, Option<ContentDigest>)> {
        if let Some(pull) = self.pull_in_flight {
            if now < pull.deadline {
                return None;
            }
            self.fail_pull(pull.peer);
        }
        let held = self.order();
        self.offers.retain(|offer| Some(offer.order) > held);
        let offer = *self.offers.first()?;
        let base = self.held.as_ref().filter(|_| !offer.needs_full).map(|held| held.digest);
        self.pull_in_flight =
            Some(PullInFlight { peer: offer.peer, base, deadline: now + PULL_TIMEOUT });
        Some((offer.peer, base))
    }

    /// Ends the pull from a peer and drops its offer until it announces the document again.
    pub(crate) fn fail_pull(&mut self, peer: SocketAddr) {
        self.finish_pull(peer);
        self.offers.retain(|offer| offer.peer != peer);
    }

    /// Ends the pull of a delta that cannot be applied; the next pull from the peer requests the full document.
    pub(crate) fn require_full_pull(&mut self, peer: SocketAddr) {
        self.finish_pull(peer);
        for offer in self.offers.iter_mut().filter(|offer| offer.peer == peer) {
            offer.needs_full = true;
        }
    }

    fn finish_pull(&mut self, peer: SocketAddr) {
        if self.pull_in_flight.is_some_and(|pull| pull.peer == peer) {
            self.pull_in_flight = None;
        }
    }

    /// Puts a validated document in force if it is newer than the current one.
    pub(crate) fn adopt(&mut self, document: HeldDocument<T>) -> Received {
        if Some(document.order()) == self.order() {
            return Received::AlreadyKnown;
        }
        if Some(document.order()) < self.order() {
            return Received::Older(document.value.revision());
        }
        self.history.push(self.held.as_ref().and_then(|held| held.delta_to(&document)));
        self.held = Some(document);
        Received::Adopted
    }

    /// Validates a full document and puts it in force if it is newer. Repeated receipt of the same bytes is skipped.
    pub(crate) fn receive(&mut self, bytes: &Bytes) -> Received {
        let digest = ContentDigest::of(bytes);
        if self.last_digest == Some(digest) {
            return Received::AlreadyKnown;
        }
        self.last_digest = Some(digest);
        match HeldDocument::parse(bytes) {
            Ok(document) => self.adopt(document),
            Err(fault) => Received::Refused(digest, fault),
        }
    }

    /// Handles the response of a peer; a delta that cannot be applied is followed by a pull of the full document.
    pub(crate) fn handle_pull_response(
        &mut self,
        peer: SocketAddr,
        response: &PullResponse,
    ) -> Received {
        match response {
            PullResponse::Delta(delta) if self.is_superseded(delta) => {
                self.finish_pull(peer);
                Received::AlreadyKnown
            }
            PullResponse::Delta(delta) => {
                let applied = self.held.as_ref().map(|held| held.apply(delta));
                match applied {
                    Some(Ok(document)) => {
                        let result = self.adopt(document);
                        // A delta may end before the announced document; the offer then stays for the next pull.
                        match result {
                            Received::Adopted => self.finish_pull(peer),
                            _ => self.fail_pull(peer),
                        }
                        result
                    }
                    Some(Err(fault)) => {
                        self.require_full_pull(peer);
                        Received::Refused(delta.target, fault)
                    }
                    None => {
                        self.require_full_pull(peer);
                        Received::AlreadyKnown
                    }
                }
            }
            PullResponse::Full(document) => {
                self.fail_pull(peer);
                self.receive(document)
            }
            PullResponse::NotHeld { .. } => {
                self.fail_pull(peer);
                Received::AlreadyKnown
            }
        }
    }

    /// True if another document came into force while the pull was in flight. The delta has the requested base, but can
    /// no longer be applied; if the offer is still newer, the next pull names the new base.
    fn is_superseded(&self, delta: &DocumentDelta) -> bool {
        let requested_base = self.pull_in_flight.and_then(|pull| pull.base);
        let held = self.held.as_ref().map(|held| held.digest);
        requested_base == Some(delta.base) && held != requested_base
    }

    /// Responds to a pull of a peer that holds `base`; `may_send_full` returns false while no full document may be
    /// sent.
    pub(crate) fn respond(
        &self,
        base: Option<ContentDigest>,
        may_send_full: impl FnOnce() -> bool,
        busy_retry_after: Duration,
    ) -> PullResponse {
        let Some(held) = &self.held else {
            return PullResponse::NotHeld { retry_after: Duration::ZERO };
        };
        let delta = base.and_then(|base| self.history.delta_from(base));
        if let Some(delta) =
            delta.filter(|delta| delta.size() < held.bytes.len() / MIN_FULL_TO_DELTA_RATIO)
        {
            return PullResponse::Delta(delta);
        }
        if may_send_full() {
            PullResponse::Full(held.bytes.clone())
        } else {
            PullResponse::NotHeld { retry_after: busy_retry_after }
        }
    }
}
