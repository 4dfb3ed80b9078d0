//! What follows from a document that has arrived: publication, notices to peers, and the readers of the new term.

use std::{net::SocketAddr, time::Instant};

use super::SpreadCore;
use crate::{
    event::{DocumentKind, SpreadAction},
    line::Arrival,
    neighbours::{choose_neighbours, reader_ranking, reader_term},
    refresh::RefreshCause,
    report::SpreadReport,
};

impl SpreadCore {
    /// Publishes and passes on what was adopted, and reports what was refused.
    pub(super) fn settle(
        &mut self,
        now: Instant,
        kind: DocumentKind,
        arrival: Arrival,
        from: Option<SocketAddr>,
    ) {
        match arrival {
            Arrival::Known => {}
            Arrival::Older(revision) => self.report(SpreadReport::OlderIgnored { kind, revision }),
            Arrival::Refused(digest, fault) => {
                if kind == DocumentKind::Config && from.is_none() {
                    self.refused = Some(digest);
                }
                let fault = fault.to_string().into();
                self.report(SpreadReport::Refused { kind, digest, fault, from });
            }
            Arrival::Adopted if kind == DocumentKind::Config => self.config_adopted(now, from),
            Arrival::Adopted => self.hosts_adopted(now, from),
        }
    }

    fn config_adopted(&mut self, now: Instant, from: Option<SocketAddr>) {
        let Some(held) = self.config.held.clone() else { return };
        let (revision, digest) = held.order();
        self.refused = None;
        self.actions.push(SpreadAction::PublishConfig(held));
        self.report(SpreadReport::Adopted { kind: DocumentKind::Config, revision, digest, from });
        if self.term != reader_term(revision) {
            self.assign_readers(now);
        }
        self.notify(from);
    }

    fn hosts_adopted(&mut self, now: Instant, from: Option<SocketAddr>) {
        let Some(held) = self.hosts.held.clone() else { return };
        let (revision, digest) = held.order();
        let (own, centre) = (&self.options.host, &self.options.data_centre);
        self.neighbours = choose_neighbours(&held.value, own, centre);
        // A process that listens on every address is known to others by the one in the list.
        let own_record = held.value.hosts.iter().find(|record| record.id == *own);
        if let Some(record) = own_record.filter(|_| self.options.peer.ip().is_unspecified()) {
            self.options.peer = record.peer;
        }
        self.actions.push(SpreadAction::PublishHosts(held.value));
        self.assign_readers(now);
        self.report(SpreadReport::Adopted { kind: DocumentKind::Hosts, revision, digest, from });
        self.notify(from);
    }

    /// Finds the readers of the term and the own rank among them.
    fn assign_readers(&mut self, now: Instant) {
        let Some(held) = self.hosts.held.as_ref() else { return };
        let (own, centre) = (&self.options.host, &self.options.data_centre);
        self.term = reader_term(self.config.revision());
        let ranking = reader_ranking(&held.value, centre, self.term);
        let rank = ranking.iter().position(|record| record.id == *own);
        // Without listed hosts nobody would read for this data centre. Only seeds stand in, because every process of
        // the fleet sees the same empty list.
        let stands_alone =
            ranking.is_empty() && RefreshCause::of_start(&self.options) == RefreshCause::SeedStart;
        let rank = rank.or(stands_alone.then_some(0));
        self.readers = ranking.iter().take(2).map(|record| record.peer).collect();
        if rank != self.role.rank() {
            self.role.set_rank(rank);
            self.role.restart(now);
        }
    }

    fn notify(&mut self, from: Option<SocketAddr>) {
        let peers = self.neighbours.iter().map(|neighbour| neighbour.peer);
        let notices = peers.filter(|peer| Some(*peer) != from).map(SpreadAction::Exchange);
        self.actions.extend(notices);
    }
}
