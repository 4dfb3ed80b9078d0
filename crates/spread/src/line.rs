//! One of the two documents in a process: what is held, what peers offer, and what the service answered.

use std::{
    cmp::Reverse,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::{ContentDigest, Revision};
use bytes::Bytes;

use crate::{
    delta::{DeltaHistory, DocumentDelta},
    document::{DocumentFault, DocumentOrder, HeldDocument, SharedDocument},
    event::PullAnswer,
    reader::ReadLine,
};

/// Time for an answer to a pull; a whole document needs 0.4 s on a link of 25 Mbit/s.
const PULL_TIMEOUT: Duration = Duration::from_secs(3);
/// Offers of peers that are kept.
const MAX_OFFERS: usize = 4;
/// A delta larger than this share of the whole document is not worth building.
const DELTA_SHARE: usize = 2;

/// A peer that said that it holds a newer document.
#[derive(Clone, Copy, Debug)]
struct Offer {
    order: DocumentOrder,
    peer: SocketAddr,
    whole: bool,
}

/// The pull that awaits its answer.
#[derive(Clone, Copy, Debug)]
struct PullInFlight {
    peer: SocketAddr,
    base: Option<ContentDigest>,
    deadline: Instant,
}

/// State of one document.
pub(crate) struct DocumentLine<T> {
    pub(crate) held: Option<HeldDocument<T>>,
    pub(crate) reads: ReadLine,
    history: DeltaHistory,
    offers: Vec<Offer>,
    pulling: Option<PullInFlight>,
    last_raw: Option<ContentDigest>,
}

/// What became of a document that arrived.
pub(crate) enum Arrival {
    /// It is in force now.
    Adopted,
    /// It is the one held, or was seen before.
    Known,
    /// It is older than the one held.
    Older(Revision),
    /// It is refused.
    Refused(ContentDigest, DocumentFault),
}

impl<T: SharedDocument> DocumentLine<T> {
    pub(crate) fn new(now: Instant) -> Self {
        Self {
            held: None,
            reads: ReadLine::new(now),
            history: DeltaHistory::default(),
            offers: Vec::new(),
            pulling: None,
            last_raw: None,
        }
    }

    pub(crate) fn order(&self) -> Option<DocumentOrder> {
        self.held.as_ref().map(HeldDocument::order)
    }

    pub(crate) fn revision(&self) -> Revision {
        self.order().map_or(0, |(revision, _)| revision)
    }

    /// Records that a peer holds the document `order`; ignored unless it is newer than the one held.
    pub(crate) fn offer(&mut self, order: DocumentOrder, peer: SocketAddr) {
        if Some(order) <= self.order() {
            return;
        }
        self.offers.retain(|offer| offer.peer != peer);
        self.offers.push(Offer { order, peer, whole: false });
        self.offers.sort_by_key(|offer| Reverse(offer.order));
        self.offers.truncate(MAX_OFFERS);
    }

    pub(crate) fn has_offers(&self) -> bool {
        self.pulling.is_some() || !self.offers.is_empty()
    }

    /// Starts the next pull, if one is due: the peer, and the digest of the base for a delta.
    pub(crate) fn next_pull(
        &mut self,
        now: Instant,
    ) -> Option<(SocketAddr, Option<ContentDigest>)> {
        if let Some(pull) = self.pulling {
            if now < pull.deadline {
                return None;
            }
            self.fail_pull(pull.peer);
        }
        let held = self.order();
        self.offers.retain(|offer| Some(offer.order) > held);
        let offer = *self.offers.first()?;
        let base = self.held.as_ref().filter(|_| !offer.whole).map(|held| held.digest);
        self.pulling = Some(PullInFlight { peer: offer.peer, base, deadline: now + PULL_TIMEOUT });
        Some((offer.peer, base))
    }

    /// The peer did not deliver; its offer is dropped until it offers again.
    pub(crate) fn fail_pull(&mut self, peer: SocketAddr) {
        self.finish_pull(peer);
        self.offers.retain(|offer| offer.peer != peer);
    }

    /// The delta of the peer does not fit; the whole document is pulled next.
    pub(crate) fn want_whole(&mut self, peer: SocketAddr) {
        self.finish_pull(peer);
        for offer in self.offers.iter_mut().filter(|offer| offer.peer == peer) {
            offer.whole = true;
        }
    }

    fn finish_pull(&mut self, peer: SocketAddr) {
        if self.pulling.is_some_and(|pull| pull.peer == peer) {
            self.pulling = None;
        }
    }

    /// Puts a checked document in force if it is newer than the one held.
    pub(crate) fn adopt(&mut self, document: HeldDocument<T>) -> Arrival {
        if Some(document.order()) == self.order() {
            return Arrival::Known;
        }
        if Some(document.order()) < self.order() {
            return Arrival::Older(document.value.revision());
        }
        self.history.push(self.held.as_ref().and_then(|held| held.delta_to(&document)));
        self.held = Some(document);
        Arrival::Adopted
    }

    /// Checks a whole document and puts it in force if it is newer. The same bytes are checked only once in a row.
    pub(crate) fn arrive(&mut self, raw: &Bytes) -> Arrival {
        let digest = ContentDigest::of(raw);
        if self.last_raw == Some(digest) {
            return Arrival::Known;
        }
        self.last_raw = Some(digest);
        match HeldDocument::parse(raw) {
            Ok(document) => self.adopt(document),
            Err(fault) => Arrival::Refused(digest, fault),
        }
    }

    /// Takes the answer of a peer in; a delta that does not fit is followed by a pull of the whole document.
    pub(crate) fn pulled(&mut self, peer: SocketAddr, answer: &PullAnswer) -> Arrival {
        match answer {
            PullAnswer::Delta(delta) if self.is_overtaken(delta) => {
                self.finish_pull(peer);
                Arrival::Known
            }
            PullAnswer::Delta(delta) => {
                let applied = self.held.as_ref().map(|held| held.apply(delta));
                match applied {
                    Some(Ok(document)) => {
                        let arrival = self.adopt(document);
                        // A delta may end before the document offered; the offer then stays for the next pull.
                        match arrival {
                            Arrival::Adopted => self.finish_pull(peer),
                            _ => self.fail_pull(peer),
                        }
                        arrival
                    }
                    Some(Err(fault)) => {
                        self.want_whole(peer);
                        Arrival::Refused(delta.target, fault)
                    }
                    None => {
                        self.want_whole(peer);
                        Arrival::Known
                    }
                }
            }
            PullAnswer::Whole(document) => {
                self.fail_pull(peer);
                self.arrive(document)
            }
            PullAnswer::NotHeld { .. } => {
                self.fail_pull(peer);
                Arrival::Known
            }
        }
    }

    /// True if another document came into force while the delta was on its way. The delta is as it was asked for, but
    /// no longer applies; the next pull names the new base, if the offer is still newer.
    fn is_overtaken(&self, delta: &DocumentDelta) -> bool {
        let asked = self.pulling.and_then(|pull| pull.base);
        let held = self.held.as_ref().map(|held| held.digest);
        asked == Some(delta.base) && held != asked
    }

    /// Answers a peer that holds `base`; `whole_allowed` is false when no whole document may be sent now.
    pub(crate) fn answer(
        &self,
        base: Option<ContentDigest>,
        whole_allowed: impl FnOnce() -> bool,
        busy: Duration,
    ) -> PullAnswer {
        let Some(held) = &self.held else {
            return PullAnswer::NotHeld { retry_after: Duration::ZERO };
        };
        let delta = base.and_then(|base| self.history.since(base));
        if let Some(delta) = delta.filter(|delta| delta.size() < held.bytes.len() / DELTA_SHARE) {
            return PullAnswer::Delta(delta);
        }
        if whole_allowed() {
            PullAnswer::Whole(held.bytes.clone())
        } else {
            PullAnswer::NotHeld { retry_after: busy }
        }
    }
}
