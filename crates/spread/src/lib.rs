//! Dissemination of the configuration document and the host list, without I/O and without a clock.
//!
//! [`GossipCore`] is a state machine: it takes the current time and an event and returns actions, which `crates/node`
//! executes. A process only replaces its document by a newer one in the order of documents, so processes that exchange
//! digests converge without coordination.

mod delta;
mod document;
mod document_state;
mod event;
mod neighbours;
mod reader;
mod refresh;
mod report;
mod state_machine;

pub use crate::{
    delta::{DeltaError, DeltaItem, DocumentDelta},
    document::{DocumentError, DocumentOrder, HeldDocument, SharedDocument},
    event::{
        DocumentKind, ExchangeSummary, GossipAction, GossipEvent, GossipOptions, PullResponse,
        ReadResult,
    },
    neighbours::{
        MAX_READERS, Neighbour, choose_neighbours, reader_rank, reader_ranking, reader_term,
    },
    report::GossipReport,
    state_machine::GossipCore,
};
