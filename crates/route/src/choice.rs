//! Choice of the upstream for an attempt, and of the owners of new request keys.

use std::time::{Duration, Instant};

use base::{ContentDigest, Incarnation, ServiceId, UpstreamId, rendezvous_weight};
use config::{FleetConfig, UpstreamKind};
use rand::{
    Rng, RngExt,
    seq::{IndexedRandom, SliceRandom},
};

use crate::{
    crash::Fingerprint,
    upstreams::{ReportRecord, UpstreamTable},
};

/// Maximum load of an upstream that caches the prompt prefix for it to be preferred, as a multiple of the mean load of
/// the candidates.
pub const AFFINITY_LOAD_FACTOR: f64 = 1.25;

/// Model, manifest or service that a request needs an upstream to serve.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RequestTarget {
    /// A model, in its current version or, during a rollout, the previous one.
    Model {
        /// Manifest of the current version.
        current: ContentDigest,
        /// Manifest of the previous version, if it may still be served.
        previous: Option<ContentDigest>,
        /// Number of upstreams in the whole fleet that must be ready with the current version before `previous` is no
        /// longer used.
        floor: u32,
    },
    /// Exactly this manifest, for an adapter or to resume a stream.
    Manifest(ContentDigest),
    /// A service that is not a model.
    Service(ServiceId),
}

impl RequestTarget {
    /// Returns the target of a request for a model or an adapter, or `None` if no such id is registered.
    #[must_use]
    pub fn for_model(config: &FleetConfig, model: &str) -> Option<Self> {
        if let Some(record) = config.model(model) {
            let model_rule = config
                .preset_rule()
                .and_then(|rule| rule.models.iter().find(|model_rule| model_rule.model == model));
            return Some(Self::Model {
                current: record.current_version()?.manifest,
                previous: record.previous_version().map(|version| version.manifest),
                floor: model_rule.map_or(0, |rule| rule.floor),
            });
        }
        let adapter = config.adapters.iter().find(|record| record.id == model)?;
        Some(Self::Manifest(adapter.manifest))
    }
}

/// Requirements of an attempt on its upstream.
#[derive(Clone, Copy, Debug)]
pub struct AttemptRequirements<'a> {
    /// Target of the request.
    pub target: &'a RequestTarget,
    /// Upstreams used by earlier attempts, which are not chosen again.
    pub tried: &'a [UpstreamId],
    /// Upstreams that probably cache the prefix of the prompt.
    pub prefix_holders: &'a [UpstreamId],
    /// Fingerprint of the request if it may run only in isolation, otherwise `None`.
    pub isolated: Option<&'a Fingerprint>,
}

/// Upstream chosen for an attempt.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UpstreamChoice {
    /// Id of the upstream.
    pub upstream: UpstreamId,
    /// Incarnation of its agent, as last reported.
    pub incarnation: Incarnation,
    /// Manifest that must produce the response; `None` for a service.
    pub manifest: Option<ContentDigest>,
}

/// Agent chosen as the owner of a new request key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OwnerChoice {
    /// Upstream that the owner fronts.
    pub upstream: UpstreamId,
    /// Incarnation of the owner's process.
    pub incarnation: Incarnation,
    /// Lower bound of the owner's uptime at the time of the choice. An overestimate would give a key an issue time in
    /// the owner's future.
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

impl UpstreamTable {
    /// Chooses an upstream for an attempt, or returns `None` if no candidate is ready.
    #[must_use]
    pub fn choose(
        &self,
        now: Instant,
        rng: &mut impl Rng,
        requirements: &AttemptRequirements<'_>,
    ) -> Option<UpstreamChoice> {
        match requirements.target {
            RequestTarget::Service(service) => {
                let candidates: Vec<_> = self
                    .usable(now, UpstreamKind::Service, Some(service))
                    .map(|(upstream, record)| Candidate { upstream, record, manifest: None })
                    .collect();
                pick(rng, &untried(candidates, requirements), requirements)
            }
            RequestTarget::Manifest(manifest) => {
                pick(rng, &untried(self.ready_with(now, manifest), requirements), requirements)
            }
            RequestTarget::Model { current, previous, floor } => {
                let current = self.ready_with(now, current);
                let reaches_floor = current.len() >= self.visible_floor(*floor);
                let current = untried(current, requirements);
                let Some(previous) = previous.as_ref().filter(|_| !reaches_floor) else {
                    return pick(rng, &current, requirements);
                };
                if current.iter().any(|candidate| candidate.record.has_free_slot()) {
                    return pick(rng, &current, requirements);
                }
                let mut candidates = current;
                let older = untried(self.ready_with(now, previous), requirements);
                for candidate in older {
                    if !candidates.iter().any(|newer| newer.upstream == candidate.upstream) {
                        candidates.push(candidate);
                    }
                }
                pick(rng, &candidates, requirements)
            }
        }
    }

    /// Chooses owners for `count` new keys of a service, round-robin over all usable upstreams in random order. Empty
    /// if no upstream is usable.
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

    /// Returns the usable upstreams whose engine has loaded `manifest`.
    fn ready_with<'a>(&'a self, now: Instant, manifest: &ContentDigest) -> Vec<Candidate<'a>> {
        let manifest = *manifest;
        self.usable(now, UpstreamKind::Model, None)
            .filter(|(_, record)| record.report.ready.contains(&manifest))
            .map(|(upstream, record)| Candidate { upstream, record, manifest: Some(manifest) })
            .collect()
    }

    /// Returns the part of the fleet-wide `floor` that this entry should see. The entry knows only a subset of a large
    /// fleet, so requiring the whole floor would keep the previous version in use forever. The result is at least one,
    /// so that with a floor of zero the previous version still serves while no upstream has the current one.
    fn visible_floor(&self, floor: u32) -> usize {
        ((f64::from(floor) * self.reported_fraction()).ceil() as usize).max(1)
    }
}

fn untried<'a>(
    candidates: Vec<Candidate<'a>>,
    requirements: &AttemptRequirements<'_>,
) -> Vec<Candidate<'a>> {
    candidates
        .into_iter()
        .filter(|candidate| !requirements.tried.contains(candidate.upstream))
        .collect()
}

fn pick(
    rng: &mut impl Rng,
    candidates: &[Candidate<'_>],
    requirements: &AttemptRequirements<'_>,
) -> Option<UpstreamChoice> {
    if let Some(fingerprint) = requirements.isolated {
        return pick_for_isolation(candidates, fingerprint);
    }
    pick_prefix_holder(candidates, requirements.prefix_holders)
        .or_else(|| pick_of_two(rng, candidates))
        .map(Candidate::choice)
}

/// Chooses the same upstream for a fingerprint on all entries, so that copies of a suspect request cannot crash several
/// upstreams at once.
fn pick_for_isolation(
    candidates: &[Candidate<'_>],
    fingerprint: &Fingerprint,
) -> Option<UpstreamChoice> {
    candidates
        .iter()
        .max_by_key(|candidate| rendezvous_weight(fingerprint.as_bytes(), candidate.upstream))
        .map(Candidate::choice)
}

fn pick_prefix_holder<'a, 'b>(
    candidates: &'b [Candidate<'a>],
    holders: &[UpstreamId],
) -> Option<&'b Candidate<'a>> {
    if holders.is_empty() || candidates.is_empty() {
        return None;
    }
    let total: f64 = candidates.iter().map(|candidate| candidate.record.relative_load()).sum();
    let max_load = AFFINITY_LOAD_FACTOR * total / candidates.len() as f64;
    candidates
        .iter()
        .filter(|candidate| holders.contains(candidate.upstream))
        .map(|candidate| (candidate.record.relative_load(), candidate))
        .filter(|(load, _)| *load < max_load || *load == 0.0)
        .min_by(|left, right| left.0.total_cmp(&right.0))
        .map(|(_, candidate)| candidate)
}

/// Picks the less loaded of two random candidates.
fn pick_of_two<'a, 'b>(
    rng: &mut impl Rng,
    candidates: &'b [Candidate<'a>],
) -> Option<&'b Candidate<'a>> {
    if candidates.len() < 2 {
        return candidates.first();
    }
    let mut pair: Vec<_> = candidates.sample(rng, 2).collect();
    // The sample preserves the order of the candidates. Without the random swap, ties would always go to the first id.
    if rng.random() {
        pair.swap(0, 1);
    }
    let load = |candidate: &Candidate<'_>| candidate.record.relative_load();
    pair.into_iter().min_by(|left, right| load(left).total_cmp(&load(right)))
}
