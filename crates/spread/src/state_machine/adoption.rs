//! Handling of received documents: publication, exchanges with neighbours, and readers of the new term.

use std::{net::SocketAddr, time::Instant};

use super::GossipCore;
use crate::{
    document_state::Received,
    event::{DocumentKind, GossipAction},
    neighbours::{choose_neighbours, reader_ranking, reader_term},
    refresh::RefreshCause,
    report::GossipReport,
};

impl GossipCore {
    /// Publishes an adopted document and notifies neighbours, or reports a rejected or older one.
    pub(super) fn on_document_received(
        &mut self,
        now: Instant,
        kind: DocumentKind,
        result: Received,
        from: Option<SocketAddr>,
    ) {
        match result {
            Received::AlreadyKnown => {}
            Received::Older(revision) => self.report(GossipReport::OlderIgnored { kind, revision }),
            Received::Refused(digest, fault) => {
                if kind == DocumentKind::Config && from.is_none() {
                    self.rejected_config = Some(digest);
                }
                let fault = fault.to_string().into();
                self.report(GossipReport::Refused { kind, digest, fault, from });
            }
            Received::Adopted if kind == DocumentKind::Config => self.on_config_adopted(now, from),
            Received::Adopted => self.on_hosts_adopted(now, from),
        }
    }

    fn on_config_adopted(&mut self, now: Instant, from: Option<SocketAddr>) {
        let Some(held) = self.config.held.clone() else { return };
        let (revision, digest) = held.order();
        self.rejected_config = None;
        self.actions.push(GossipAction::PublishConfig(held));
        self.report(GossipReport::Adopted { kind: DocumentKind::Config, revision, digest, from });
        if self.term != reader_term(revision) {
            self.assign_readers(now);
        }
        self.notify(from);
    }

    fn on_hosts_adopted(&mut self, now: Instant, from: Option<SocketAddr>) {
        let Some(held) = self.hosts.held.clone() else { return };
        let (revision, digest) = held.order();
        let (own, centre) = (&self.options.host, &self.options.data_centre);
        self.neighbours = choose_neighbours(&held.value, own, centre);
        // A process that listens on all addresses is reached by its peers under the address in the list.
        let own_record = held.value.hosts.iter().find(|record| record.id == *own);
        if let Some(record) = own_record.filter(|_| self.options.peer.ip().is_unspecified()) {
            self.options.peer = record.peer;
        }
        self.actions.push(GossipAction::PublishHosts(held.value));
        self.assign_readers(now);
        self.report(GossipReport::Adopted { kind: DocumentKind::Hosts, revision, digest, from });
        self.notify(from);
    }

    /// Determines the readers of the term and the rank of this process among them.
    fn assign_readers(&mut self, now: Instant) {
        let Some(held) = self.hosts.held.as_ref() else { return };
        let (own, centre) = (&self.options.host, &self.options.data_centre);
        self.term = reader_term(self.config.revision());
        let ranking = reader_ranking(&held.value, centre, self.term);
        let rank = ranking.iter().position(|record| record.id == *own);
        // If no live hosts are listed, nobody would read for this data centre. Only seeds read then, because all
        // processes of the fleet see the same empty list.
        let reads_alone =
            ranking.is_empty() && RefreshCause::for_start(&self.options) == RefreshCause::SeedStart;
        let rank = rank.or(reads_alone.then_some(0));
        self.readers = ranking.iter().take(2).map(|record| record.peer).collect();
        if rank != self.reader_role.rank() {
            self.reader_role.set_rank(rank);
            self.reader_role.reset(now);
        }
    }

    fn notify(&mut self, from: Option<SocketAddr>) {
        let peers = self.neighbours.iter().map(|neighbour| neighbour.peer);
        let exchanges = peers.filter(|peer| Some(*peer) != from).map(GossipAction::Exchange);
        self.actions.extend(exchanges);
    }
}
