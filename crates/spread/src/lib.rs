//! Dissemination of the configuration document and the host list, without sockets and without a clock.
//!
//! [`SpreadCore`] is driven by `(now, event)` and answers with actions; `crates/node` carries the actions out. A process
//! only moves up in the order of documents, so processes that exchange digests converge without coordination.

mod core;
mod delta;
mod document;
mod event;
mod line;
mod neighbours;
mod reader;
mod refresh;
mod report;

pub use crate::{
    core::SpreadCore,
    delta::{DeltaError, DeltaItem, DocumentDelta},
    document::{DocumentFault, DocumentOrder, HeldDocument, SharedDocument},
    event::{
        DocumentKind, ExchangeSummary, PullAnswer, ServiceRead, SpreadAction, SpreadEvent,
        SpreadOptions,
    },
    neighbours::{
        Neighbour, READERS_MAX, choose_neighbours, reader_rank, reader_ranking, reader_term,
    },
    report::SpreadReport,
};
