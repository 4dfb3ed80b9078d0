//! Which engines of a service an entry uses.
//!
//! Load pattern: hundreds of entries in front of hundreds of engines. If each entry used each engine, every engine would
//! report its load to all entries, mostly across the borders of regions, and a report would be outdated by what a
//! hundred other entries sent since. An entry uses the engines of its own region and a few of each other region.

use std::net::SocketAddr;

use base::{RegionId, UpstreamId, rendezvous_weight};

/// Number of engines in other regions that an entry uses. They serve what its own region cannot.
const REMOTE_ENGINES: usize = 32;
/// Minimum number of engines that an entry uses, if there are that many. If engines of its region are out of service,
/// more of the others are used.
const MIN_ENGINES: usize = 64;

/// An engine that an entry may use.
#[derive(Clone, Debug)]
pub struct EngineCandidate {
    /// Id of the engine.
    pub upstream: UpstreamId,
    /// Address of the engine, which stays the same if it restarts under another id.
    pub address: SocketAddr,
    /// Region of the engine; `None` if it is unknown.
    pub region: Option<RegionId>,
}

/// Engines that an entry uses.
#[derive(Clone, Debug, Default)]
pub struct EngineSubset {
    /// Chosen engines, sorted by id.
    pub upstreams: Vec<UpstreamId>,
    /// Fraction of the engines in other regions that are chosen; 1 if there are none.
    pub remote_fraction: f64,
}

/// Chooses the engines that the entry `entry` in `region` uses: all engines of its region, and the same number in each
/// other region. The choice in a region depends only on the names of the entry and of the engines there, so each engine
/// is chosen by about the same number of entries, and an engine that comes or goes changes one choice of an entry.
#[must_use]
pub fn choose_engines(entry: &str, region: &str, engines: &[EngineCandidate]) -> EngineSubset {
    let is_local =
        |engine: &&EngineCandidate| engine.region.as_ref().is_some_and(|other| other == region);
    let (local, remote): (Vec<_>, Vec<_>) = engines.iter().partition(is_local);
    let mut ranked: Vec<_> = remote
        .iter()
        .map(|engine| {
            let weight = rendezvous_weight(entry.as_bytes(), &engine.address.to_string());
            (engine.region.as_ref(), weight, *engine)
        })
        .collect();
    ranked.sort_unstable_by_key(|(region, weight, _)| (*region, *weight));
    let regions: Vec<_> = ranked.chunk_by(|left, right| left.0 == right.0).collect();
    let remote_count = REMOTE_ENGINES.max(MIN_ENGINES.saturating_sub(local.len()));
    let per_region = remote_count.div_ceil(regions.len().max(1));
    let chosen: Vec<_> = regions
        .into_iter()
        .flat_map(|region| region.iter().take(per_region))
        .map(|(_, _, engine)| *engine)
        .collect();
    let remote_fraction = match remote.len() {
        0 => 1.0,
        count => chosen.len() as f64 / count as f64,
    };
    let mut upstreams: Vec<UpstreamId> =
        local.into_iter().chain(chosen).map(|engine| engine.upstream.clone()).collect();
    upstreams.sort_unstable();
    EngineSubset { upstreams, remote_fraction }
}
