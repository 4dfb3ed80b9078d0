//! Fetches in flight and how long they usually take.

use std::{
    collections::BTreeMap,
    time::{Duration, Instant},
};

use crate::{sources::ChunkSource, transfer::FetchTicket};

/// Weight of a new sample in the mean duration of a fetch.
const SAMPLE_WEIGHT: f64 = 0.1;
/// A fetch counts as stalled after this many times the usual duration.
const STALL_FACTOR: f64 = 4.0;
/// Longest time after which a fetch counts as stalled.
const MAX_STALL: Duration = Duration::from_secs(60);
/// Guess of the duration of a fetch before the first sample, in chunk times.
const FIRST_GUESS: u32 = 8;

/// One fetch.
#[derive(Clone, Debug)]
pub(super) struct Flight {
    pub index: u32,
    pub source: ChunkSource,
    pub started: Instant,
    pub deadline: Instant,
}

/// All fetches of a transfer.
#[derive(Debug)]
pub(super) struct FlightTable {
    flights: BTreeMap<FetchTicket, Flight>,
    min_stall: Duration,
    usual: Duration,
}

impl FlightTable {
    pub fn new(min_stall: Duration, chunk_time: Duration) -> Self {
        Self { flights: BTreeMap::new(), min_stall, usual: chunk_time * FIRST_GUESS }
    }

    pub fn len(&self) -> usize {
        self.flights.len()
    }

    pub fn insert(&mut self, ticket: FetchTicket, flight: Flight) {
        self.flights.insert(ticket, flight);
    }

    pub fn remove(&mut self, ticket: FetchTicket) -> Option<Flight> {
        self.flights.remove(&ticket)
    }

    /// Removes a fetch that delivered and learns from its duration.
    pub fn finish(&mut self, now: Instant, ticket: FetchTicket) -> Option<Flight> {
        let flight = self.flights.remove(&ticket)?;
        if matches!(flight.source, ChunkSource::Peer(_)) {
            let sample = now.saturating_duration_since(flight.started);
            self.usual = self.usual.mul_f64(1.0 - SAMPLE_WEIGHT) + sample.mul_f64(SAMPLE_WEIGHT);
        }
        Some(flight)
    }

    pub fn take_chunk(&mut self, index: u32) -> Vec<(FetchTicket, Flight)> {
        self.flights.extract_if(.., |_, flight| flight.index == index).collect()
    }

    pub fn take_all(&mut self) -> Vec<(FetchTicket, Flight)> {
        std::mem::take(&mut self.flights).into_iter().collect()
    }

    pub fn has_chunk(&self, index: u32) -> bool {
        self.flights.values().any(|flight| flight.index == index)
    }

    pub fn is_fetching(&self, index: u32, source: &ChunkSource) -> bool {
        self.flights.values().any(|flight| flight.index == index && flight.source == *source)
    }

    pub fn count_from(&self, source: &ChunkSource) -> u32 {
        let count = self.flights.values().filter(|flight| flight.source == *source).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    pub fn overdue(&self, now: Instant) -> Vec<FetchTicket> {
        let overdue = self.flights.iter().filter(|(_, flight)| now >= flight.deadline);
        overdue.map(|(ticket, _)| *ticket).collect()
    }

    /// Chunks with a single fetch that takes longer than `factor` times the usual duration.
    pub fn slow_chunks(&self, now: Instant, factor: f64) -> Vec<u32> {
        let limit = self.usual.mul_f64(factor).max(self.min_stall / 4);
        let slow = self.flights.values().filter(|flight| {
            now.saturating_duration_since(flight.started) > limit
                && self.flights.values().filter(|other| other.index == flight.index).count() == 1
        });
        slow.map(|flight| flight.index).collect()
    }

    /// Time after which a fetch counts as stalled.
    pub fn stall_time(&self) -> Duration {
        self.usual.mul_f64(STALL_FACTOR).clamp(self.min_stall, MAX_STALL.max(self.min_stall))
    }
}
