//! Choice of the upstream for one attempt, and of the owners of new request keys.

use std::time::{Duration, Instant};

use base::{ContentDigest, Incarnation, ServiceId, UpstreamId, rendezvous_weight};
use config::{FleetConfig, UpstreamKind};
use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, SliceRandom},
};

use crate::{
    board::{ReportRecord, UpstreamBoard},
    crash::Fingerprint,
};

/// Load up to which an upstream that holds the prompt prefix is preferred, in multiples of the candidates' mean.
pub const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// What a request needs of an upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WorkTarget {
    /// A model, in the version to serve.
    Model {
        /// Manifest of the current version.
        current: ContentDigest,
        /// Manifest of the previous version, if it may still serve.
        previous: Option<ContentDigest>,
        /// Ready upstreams of the current version in the whole fleet from which `previous` is no longer used.
        floor: u32,
    },
    /// Exactly this manifest, to resume a stream.
    Manifest(ContentDigest),
    /// A plain service.
    Service(ServiceId),
}

impl WorkTarget {
    /// What a request for a model or an adapter needs; nothing if the id is not registered.
    #[must_use]
    pub fn for_model(config: &FleetConfig, model: &str) -> Option<Self> {
        if let Some(record) = config.model(model) {
            let wanted = config
                .preset_rule()
                .and_then(|rule| rule.models.iter().find(|wanted| wanted.model == model));
            return Some(Self::Model {
                current: record.current_version()?.manifest,
                previous: record.previous_version().map(|version| version.manifest),
                floor: wanted.map_or(0, |wanted| wanted.floor),
            });
        }
        let adapter = config.adapters.iter().find(|record| record.id == model)?;
        Some(Self::Manifest(adapter.manifest))
    }
}

/// One attempt that needs an upstream.
#[derive(Clone, Copy, Debug)]
pub struct WantedWork<'a> {
    /// What the request needs.
    pub target: &'a WorkTarget,
    /// Upstreams that earlier attempts have used.
    pub tried: &'a [UpstreamId],
    /// Upstreams that hold the prefix of the prompt.
    pub holders: &'a [UpstreamId],
    /// Set if the request may run only in isolation.
    pub isolated: Option<&'a Fingerprint>,
}

/// The upstream chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamChoice {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of its agent, as last reported.
    pub incarnation: Incarnation,
    /// Manifest that the answer must come from; none for a plain service.
    pub manifest: Option<ContentDigest>,
}

/// The owner chosen for a new request key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerChoice {
    /// Upstream beside the owner.
    pub upstream: UpstreamId,
    /// Incarnation of the owner.
    pub incarnation: Incarnation,
    /// Uptime of the owner now; never more than it really is, so that no key is issued in the owner's future.
    pub uptime: Duration,
}

struct Candidate<'a> {
    upstream: &'a UpstreamId,
    record: &'a ReportRecord,
    manifest: Option<ContentDigest>,
}

impl Candidate<'_> {
    fn choice(&self) -> UpstreamChoice {
        UpstreamChoice {
            upstream: self.upstream.clone(),
            incarnation: self.record.report.incarnation,
            manifest: self.manifest,
        }
    }
}

impl UpstreamBoard {
    /// Chooses an upstream, or none if no candidate is ready.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        work: &WantedWork<'_>,
    ) -> Option<UpstreamChoice> {
        match work.target {
            WorkTarget::Service(service) => {
                let candidates: Vec<_> = self
                    .usable(now, UpstreamKind::Service, Some(service))
                    .map(|(upstream, record)| Candidate { upstream, record, manifest: None })
                    .collect();
                pick(rng, &untried(candidates, work), work)
            }
            WorkTarget::Manifest(manifest) => {
                pick(rng, &untried(self.holding(now, manifest), work), work)
            }
            WorkTarget::Model { current, previous, floor } => {
                let newest = self.holding(now, current);
                let enough = newest.len() >= self.needed(*floor);
                let newest = untried(newest, work);
                let Some(previous) = previous.as_ref().filter(|_| !enough) else {
                    return pick(rng, &newest, work);
                };
                if newest.iter().any(|candidate| candidate.record.has_free_slot()) {
                    return pick(rng, &newest, work);
                }
                let mut candidates = newest;
                let older = untried(self.holding(now, previous), work);
                for candidate in older {
                    if !candidates.iter().any(|newer| newer.upstream == candidate.upstream) {
                        candidates.push(candidate);
                    }
                }
                pick(rng, &candidates, work)
            }
        }
    }

    /// Chooses owners for `count` new keys of a service: every ready upstream in turn, from a random start.
    #[must_use]
    pub fn choose_owners(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        service: &str,
        count: usize,
    ) -> Vec<OwnerChoice> {
        let mut owners: Vec<_> = self
            .usable(now, UpstreamKind::Service, Some(service))
            .map(|(upstream, record)| OwnerChoice {
                upstream: upstream.clone(),
                incarnation: record.report.incarnation,
                uptime: record.uptime(now),
            })
            .collect();
        owners.shuffle(rng);
        owners.iter().cycle().take(if owners.is_empty() { 0 } else { count }).cloned().collect()
    }

    fn holding<'a>(&'a self, now: Instant, manifest: &ContentDigest) -> Vec<Candidate<'a>> {
        let manifest = *manifest;
        self.usable(now, UpstreamKind::Model, None)
            .filter(|(_, record)| record.report.ready.contains(&manifest))
            .map(|(upstream, record)| Candidate { upstream, record, manifest: Some(manifest) })
            .collect()
    }

    /// The part of the floor that this entry should see. It knows a subset of a large fleet only, and a floor of the
    /// whole fleet would keep `previous` in use forever. At least one, so that a floor of zero does not stop service.
    fn needed(&self, floor: u32) -> usize {
        ((f64::from(floor) * self.seen_share()).ceil() as usize).max(1)
    }
}

fn untried<'a>(candidates: Vec<Candidate<'a>>, work: &WantedWork<'_>) -> Vec<Candidate<'a>> {
    candidates.into_iter().filter(|candidate| !work.tried.contains(candidate.upstream)).collect()
}

fn pick(
    rng: &mut impl Rng,
    candidates: &[Candidate<'_>],
    work: &WantedWork<'_>,
) -> Option<UpstreamChoice> {
    if let Some(fingerprint) = work.isolated {
        return pick_for_isolation(candidates, fingerprint);
    }
    pick_holder(candidates, work.holders)
        .or_else(|| pick_of_two(rng, candidates))
        .map(Candidate::choice)
}

/// All entries send the same suspect to the same upstream, so that copies of it cannot take down several at once.
fn pick_for_isolation(
    candidates: &[Candidate<'_>],
    fingerprint: &Fingerprint,
) -> Option<UpstreamChoice> {
    candidates
        .iter()
        .max_by_key(|candidate| rendezvous_weight(fingerprint.as_bytes(), candidate.upstream))
        .map(Candidate::choice)
}

fn pick_holder<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    holders: &[UpstreamId],
) -> Option<&'b Candidate<'a>> {
    if holders.is_empty() || candidates.is_empty() {
        return None;
    }
    let total: f64 = candidates.iter().map(|candidate| candidate.record.relative_load()).sum();
    let bound = AFFINITY_LOAD_FACTOR * total / candidates.len() as f64;
    candidates
        .iter()
        .filter(|candidate| holders.contains(candidate.upstream))
        .map(|candidate| (candidate.record.relative_load(), candidate))
        .filter(|(load, _)| *load < bound || *load == 0.0)
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

fn pick_of_two<'a, 'b>(
    rng: &mut impl Rng,
    candidates: &'b [Candidate<'a>],
) -> Option<&'b Candidate<'a>> {
    if candidates.len() < 2 {
        return candidates.first();
    }
    let mut pair: Vec<_> = candidates.sample(rng, 2).collect();
    // The sample keeps the order of the candidates; without a swap, ties would always go to the first id.
    if rng.random() {
        pair.swap(0, 1);
    }
    let load = |candidate: &Candidate<'_>| candidate.record.relative_load();
    pair.into_iter().min_by(|left, right| load(left).total_cmp(&load(right)))
}
