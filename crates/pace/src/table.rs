//! What one entry has learned of the upstreams of a service.

use std::{
    collections::BTreeMap,
    net::SocketAddr,
    time::{Duration, Instant},
};

use base::UpstreamId;
use serde::{Deserialize, Serialize};

use crate::{
    evidence::{DECAY_TIME, DecayedMean, LoadCurve, MIN_KNEE, decay},
    occupancy::UpstreamOccupancy,
    share::SpeedShare,
};

/// Weight of the assumption that an upstream is as fast as is usual, against that of a measurement that was just made.
const USUAL_WEIGHT: f64 = 0.25;
/// Shortest work time that is distinguished, in seconds.
const MIN_WORK_S: f64 = 1e-6;
/// Range of the work time of an upstream, relative to the usual one. The lower bound limits what an upstream gains by
/// responses that are wrongly fast, the upper bound keeps a share for upstreams that look slow.
const RELATIVE_RANGE: (f64, f64) = (0.25, 8.0);
/// Range of a single measurement relative to the usual work time. A request that is lost in a queue for seconds must not
/// outweigh all others.
const SAMPLE_RANGE: (f64, f64) = (0.1, 16.0);
/// Largest stated slowdown that explains a longer work time. Hosts have been observed to be 2.5 times as slow.
const MAX_STATED_SLOWDOWN: f64 = 4.0;
/// Largest factor by which stated load and slowdown together explain a longer time of a request. An upstream that states
/// an exaggerated load at times must not look fast at others.
const MAX_EXPLAINED_FACTOR: f64 = 6.0;
/// Time for which a stated slowdown is expected to last. It has been observed to change every 600 ms.
const SLOWDOWN_TIME: Duration = Duration::from_millis(600);
/// Maximum age of a stated load. Far more requests than are running are started and completed within it.
const MAX_LOAD_AGE: Duration = Duration::from_millis(1_000);
/// Factor on the time of a request at the stated load that gives the time in which the load becomes the mean one. Entries
/// that trusted an old statement longer would all avoid the upstream, and then all send to it.
const LOAD_LASTING_FACTOR: f64 = 1.0;
/// Maximum weight of the measurements of one other entry, so that a single one cannot determine the estimate.
const MAX_PEER_WEIGHT: f64 = 4.0;
/// Maximum age of what another entry tells; older measurements have less than a tenth of their weight.
const MAX_SHARE_AGE: Duration = Duration::from_secs(5);
/// Minimum weight with which the measurements of another entry are kept.
const MIN_PEER_WEIGHT: f64 = 0.02;
/// Maximum number of other entries whose measurements are kept for an upstream; there are up to 149 entries.
const MAX_PEERS: usize = 160;
/// Maximum number of upstreams of a service that an entry tells the others of at once, so that a notice fits into a
/// datagram.
pub const MAX_SHARED_UPSTREAMS: usize = 16;
/// Minimum weight of the measurements of an upstream that counts for the usual work time.
const MIN_USUAL_WEIGHT: f64 = 0.2;
/// Interval between calculations of the usual work time.
const USUAL_INTERVAL: Duration = Duration::from_millis(100);

/// Response of an upstream, as evidence of its speed.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct ResponseSample {
    /// Time from sending the request to the end of the response.
    pub elapsed: Duration,
    /// Load that the response stated; `None` if it stated none.
    pub occupancy: Option<UpstreamOccupancy>,
    /// Number of slots according to the upstream's registration.
    pub slots: u32,
    /// True for a complete response with content. Only such a response shows how fast the upstream works: a refusal or
    /// an empty response is fast at any speed.
    pub is_served: bool,
}

/// Load that an upstream stated in a response to any entry.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatedLoad {
    /// The stated figures.
    pub occupancy: UpstreamOccupancy,
    /// Time since the response.
    pub age: Duration,
}

/// What is known of the speed of an upstream at some time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct SpeedEstimate {
    /// Work time of a request at low load on a host that is not slowed down; `None` before the first measurement of any
    /// upstream of the service.
    pub work: Option<Duration>,
    /// Work time relative to the usual one of the service.
    pub relative: f64,
    /// Load per slot from which the upstream slows down; at most 1.
    pub knee: f64,
    /// Current factor on the work time because of other work on the host; at least 1.
    pub slowdown: f64,
    /// Estimated number of requests per slot: the last stated one, which approaches the mean of the service as it ages.
    pub load_per_slot: f64,
    /// Mean of the loads that the upstreams of the service have stated, in requests per slot.
    pub usual_load: f64,
    /// Last stated load; `None` if there is none or it is too old.
    pub load: Option<StatedLoad>,
    /// Weight of the measurements of all entries.
    pub weight: f64,
    /// Time since the last response to any entry; `None` if none is known.
    pub age: Option<Duration>,
}

impl SpeedEstimate {
    /// Estimate of an upstream of which nothing is known.
    #[must_use]
    pub fn unknown(usual: Option<Duration>, usual_load: f64) -> Self {
        Self {
            work: usual,
            relative: 1.0,
            knee: 1.0,
            slowdown: 1.0,
            load_per_slot: usual_load,
            usual_load,
            load: None,
            weight: 0.0,
            age: None,
        }
    }

    /// Work that the upstream handles well relative to others of its service, per slot.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.knee / (self.relative * self.slowdown)
    }

    /// Predicted time of a request at a load per slot that includes the request itself; `None` before the first
    /// measurement of any upstream of the service.
    #[must_use]
    pub fn delay(&self, load_per_slot: f64) -> Option<Duration> {
        let crowding = (load_per_slot / self.knee).max(1.0);
        Some(self.work?.mul_f64(self.slowdown * crowding))
    }
}

#[derive(Clone, Copy, Debug)]
struct PeerEvidence {
    work: DecayedMean,
    knee: f64,
}

/// Means of what the other entries have measured. All measurements lose their weight at the same rate, so that the means
/// stay valid until one of them is replaced.
#[derive(Clone, Copy, Debug)]
struct PeerSum {
    weight: f64,
    work: f64,
    knee: f64,
    at: Instant,
}

impl PeerSum {
    fn weight(&self, now: Instant) -> f64 {
        self.weight * decay(now.saturating_duration_since(self.at), DECAY_TIME)
    }
}

#[derive(Debug)]
struct UpstreamSpeed {
    started_ms: u64,
    /// Natural logarithm of the work time in seconds, without the slowdown that load and host explain. The mean of
    /// logarithms changes less with the few requests that fall into slow intervals.
    work: DecayedMean,
    curve: LoadCurve,
    /// Load that was stated to this entry, and to any entry.
    own_load: Option<(UpstreamOccupancy, Instant)>,
    load: Option<(UpstreamOccupancy, Instant)>,
    /// Time of the last response to this entry, and to any entry.
    own_active: Option<Instant>,
    active: Option<Instant>,
    /// Time at which this entry last told the others of the upstream.
    shared_at: Option<Instant>,
    peers: BTreeMap<SocketAddr, PeerEvidence>,
    others: PeerSum,
}

impl UpstreamSpeed {
    fn new(started_ms: u64, now: Instant) -> Self {
        Self {
            started_ms,
            work: DecayedMean::new(now),
            curve: LoadCurve::new(now),
            own_load: None,
            load: None,
            own_active: None,
            active: None,
            shared_at: None,
            peers: BTreeMap::new(),
            others: PeerSum { weight: 0.0, work: 0.0, knee: 1.0, at: now },
        }
    }

    /// Weight and mean logarithm of the work times that all entries have measured.
    fn measured(&self, now: Instant) -> (f64, f64) {
        let own = self.work.weight(now);
        let others = self.others.weight(now);
        let weight = own + others;
        let sum = own * self.work.mean() + others * self.others.work;
        (weight, if weight > 0.0 { sum / weight } else { 0.0 })
    }

    fn knee(&self, now: Instant) -> f64 {
        let own = USUAL_WEIGHT + self.work.weight(now);
        let others = self.others.weight(now);
        (own * self.curve.knee(now) + others * self.others.knee) / (own + others)
    }

    /// Summarises what the other entries have told, and forgets those whose measurements are too old.
    fn sum_peers(&mut self, now: Instant) {
        let mut sum = PeerSum { weight: 0.0, work: 0.0, knee: 1.0, at: now };
        let mut knees = 0.0;
        self.peers.retain(|_, peer| {
            let weight = peer.work.weight(now);
            if weight >= MIN_PEER_WEIGHT {
                sum.weight += weight;
                sum.work += weight * peer.work.mean();
                knees += weight * peer.knee;
            }
            weight >= MIN_PEER_WEIGHT
        });
        if sum.weight > 0.0 {
            sum.work /= sum.weight;
            sum.knee = knees / sum.weight;
        }
        self.others = sum;
    }
}

/// Speeds of the upstreams of one service, from the responses to this entry and from what other entries tell.
#[derive(Debug, Default)]
pub struct SpeedTable {
    upstreams: BTreeMap<UpstreamId, UpstreamSpeed>,
    /// Median work time of the upstreams in seconds, and the time of its calculation; `None` before the first
    /// measurement.
    usual: Option<(f64, Instant)>,
    /// Mean of the stated loads that are not too old, in requests per slot.
    usual_load: f64,
    /// Time of the last choice of an upstream by this entry.
    last_choice: Option<Instant>,
}

/// Stated slowdown of the host as a factor, within its bounds.
fn stated_slowdown(occupancy: &UpstreamOccupancy) -> f64 {
    let percent = occupancy.slowdown_percent.unwrap_or(100);
    (f64::from(percent) / 100.0).clamp(1.0, MAX_STATED_SLOWDOWN)
}

/// Stated number of requests, running or waiting, per slot.
fn load_per_slot(occupancy: &UpstreamOccupancy) -> f64 {
    let requests = f64::from(occupancy.running) + f64::from(occupancy.waiting);
    requests / f64::from(occupancy.slots.unwrap_or(1).max(1))
}

impl SpeedTable {
    /// Creates a table without measurements.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Removes the upstreams for which `keep` returns false.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|upstream, _| keep(upstream));
    }

    /// Records that this entry has chosen an upstream, or refused a request.
    pub fn record_choice(&mut self, now: Instant) {
        self.last_choice = Some(now);
    }

    /// Time since the last choice of this entry; zero if there was none.
    #[must_use]
    pub fn time_since_choice(&self, now: Instant) -> Duration {
        self.last_choice.map_or(Duration::ZERO, |at| now.saturating_duration_since(at))
    }

    /// State of a process of an upstream; that of an earlier process is discarded.
    fn speed(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        now: Instant,
    ) -> &mut UpstreamSpeed {
        if !self.upstreams.contains_key(upstream) {
            self.upstreams.insert(upstream.clone(), UpstreamSpeed::new(started_ms, now));
        }
        let speed = self.upstreams.get_mut(upstream).expect("the upstream was just added");
        if speed.started_ms != started_ms {
            *speed = UpstreamSpeed::new(started_ms, now);
        }
        speed
    }

    /// Records a response of an upstream to this entry.
    pub fn record(
        &mut self,
        upstream: &UpstreamId,
        started_ms: u64,
        sample: ResponseSample,
        now: Instant,
    ) {
        let usual = self.usual.map(|(usual, _)| usual);
        let speed = self.speed(upstream, started_ms, now);
        speed.own_active = Some(now);
        speed.active = Some(now);
        let slots = sample.occupancy.and_then(|load| load.slots).unwrap_or(sample.slots).max(1);
        let mut stated = sample.occupancy;
        if let Some(occupancy) = &mut stated {
            occupancy.slots = Some(slots);
            if !sample.is_served {
                // An upstream that refuses must not attract work by stating that it is idle.
                occupancy.running = occupancy.running.max(slots);
            }
            speed.own_load = Some((*occupancy, now));
            speed.load = Some((*occupancy, now));
        }
        if !sample.is_served {
            return;
        }
        let (load, slowdown) = stated.map_or((0.0, 1.0), |occupancy| {
            (load_per_slot(&occupancy), stated_slowdown(&occupancy))
        });
        let elapsed = sample.elapsed.as_secs_f64();
        let mut time = elapsed / slowdown;
        let (weight, mean) = speed.measured(now);
        if weight >= USUAL_WEIGHT && sample.occupancy.is_some() {
            speed.curve.add(time / mean.exp(), load, now);
        }
        time = (time / speed.curve.crowding(load, now)).max(elapsed / MAX_EXPLAINED_FACTOR);
        if let Some(usual) = usual {
            time = time.clamp(usual * SAMPLE_RANGE.0, usual * SAMPLE_RANGE.1);
        }
        speed.work.add(time.max(MIN_WORK_S).ln(), now);
        self.update_usual(now);
    }

    /// Calculates the median work time. It follows all upstreams, so that none looks slow if all are.
    fn update_usual(&mut self, now: Instant) {
        let is_recent =
            |(_, at): (f64, Instant)| now.saturating_duration_since(at) < USUAL_INTERVAL;
        if self.usual.is_some_and(is_recent) {
            return;
        }
        let mut works: Vec<f64> = self
            .upstreams
            .values()
            .map(|speed| speed.measured(now))
            .filter(|(weight, _)| *weight >= MIN_USUAL_WEIGHT)
            .map(|(_, work)| work.exp())
            .collect();
        let is_recent = |at: Instant| now.saturating_duration_since(at) <= MAX_LOAD_AGE;
        let loads = self.upstreams.values().filter_map(|speed| speed.load);
        let loads = loads.filter(|(_, at)| is_recent(*at)).map(|(load, _)| load_per_slot(&load));
        let (count, sum) = loads.fold((0.0, 0.0), |(count, sum), load| (count + 1.0, sum + load));
        self.usual_load = if count > 0.0 { sum / count } else { 0.0 };
        works.sort_unstable_by(f64::total_cmp);
        let (low, high) = (works.len().saturating_sub(1) / 2, works.len() / 2);
        if let (Some(low), Some(high)) = (works.get(low), works.get(high)) {
            self.usual = Some((f64::midpoint(*low, *high), now));
        }
    }

    /// Median work time of the service's upstreams; `None` before the first measurement.
    #[must_use]
    pub fn usual(&self) -> Option<Duration> {
        self.usual.map(|(usual, _)| Duration::from_secs_f64(usual))
    }

    /// Estimates the speed of a process of an upstream. Without recent measurements it is the usual one.
    #[must_use]
    pub fn estimate(&self, upstream: &str, started_ms: u64, now: Instant) -> SpeedEstimate {
        let known = self.upstreams.get(upstream).filter(|speed| speed.started_ms == started_ms);
        let (Some(speed), Some((usual, _))) = (known, self.usual) else {
            return SpeedEstimate::unknown(self.usual(), self.usual_load);
        };
        let (weight, measured) = speed.measured(now);
        let difference = (measured - usual.max(MIN_WORK_S).ln()) * weight / (weight + USUAL_WEIGHT);
        let relative = difference.exp().clamp(RELATIVE_RANGE.0, RELATIVE_RANGE.1);
        let age_of = |at: Instant| now.saturating_duration_since(at);
        let load = speed.load.map(|(occupancy, at)| StatedLoad { occupancy, age: age_of(at) });
        let slowdown = load.map_or(1.0, |load| {
            let left = 1.0 - load.age.as_secs_f64() / SLOWDOWN_TIME.as_secs_f64();
            1.0 + (stated_slowdown(&load.occupancy) - 1.0) * left.max(0.0)
        });
        let work = usual * relative;
        let load = load.filter(|load| load.age <= MAX_LOAD_AGE);
        let load_per_slot = load.map_or(self.usual_load, |load| {
            let stated = load_per_slot(&load.occupancy);
            let lasting = work * slowdown * stated.max(1.0) * LOAD_LASTING_FACTOR;
            let kept = (-load.age.as_secs_f64() / lasting.max(f64::EPSILON)).exp();
            stated * kept + self.usual_load * (1.0 - kept)
        });
        SpeedEstimate {
            work: Some(Duration::from_secs_f64(work)),
            relative,
            knee: speed.knee(now),
            slowdown,
            load_per_slot,
            usual_load: self.usual_load,
            load,
            weight,
            age: speed.active.map(age_of),
        }
    }

    /// What this entry has measured itself, for the other entries: the upstreams that have responded since the others were
    /// told of them, in the order in which they were told.
    pub fn share(&mut self, now: Instant) -> Vec<SpeedShare> {
        let age_of = |at: Instant| now.saturating_duration_since(at);
        let mut due: Vec<(Option<Instant>, &UpstreamId, &mut UpstreamSpeed)> = self
            .upstreams
            .iter_mut()
            .filter(|(_, speed)| {
                speed.own_active.is_some_and(|active| {
                    age_of(active) <= MAX_SHARE_AGE
                        && speed.shared_at.is_none_or(|shared| shared < active)
                })
            })
            .map(|(upstream, speed)| (speed.shared_at, upstream, speed))
            .collect();
        due.sort_unstable_by(|left, right| (left.0, left.1).cmp(&(right.0, right.1)));
        due.truncate(MAX_SHARED_UPSTREAMS);
        due.into_iter()
            .map(|(_, upstream, speed)| {
                speed.shared_at = Some(now);
                SpeedShare {
                    upstream: upstream.clone(),
                    started_ms: speed.started_ms,
                    work: Duration::from_secs_f64(speed.work.mean().exp()),
                    weight: speed.work.weight(now),
                    knee: speed.curve.knee(now),
                    load: speed.own_load.map(|(load, stated)| (load, age_of(stated))),
                    age: speed.own_active.map(age_of).unwrap_or_default(),
                }
            })
            .collect()
    }

    /// Applies what another entry has measured, in place of what it told before. The caller checks that the process of
    /// the upstream is the listed one. Measurements are bounded like those of this entry, and outdated ones are ignored.
    pub fn apply(&mut self, peer: SocketAddr, share: &SpeedShare, now: Instant) {
        let at = now.checked_sub(share.age);
        let (Some(at), true) = (at, share.age <= MAX_SHARE_AGE) else { return };
        let usual = self.usual.map(|(usual, _)| usual);
        let speed = self.speed(&share.upstream, share.started_ms, now);
        if speed.active.is_none_or(|active| active < at) {
            speed.active = Some(at);
        }
        if let Some((occupancy, age)) = share.load
            && let Some(stated) = now.checked_sub(age)
            && speed.load.is_none_or(|(_, known)| known < stated)
        {
            speed.load = Some((occupancy, stated));
        }
        let is_valid = share.weight.is_finite() && share.knee.is_finite() && !share.work.is_zero();
        let has_room = speed.peers.len() < MAX_PEERS || speed.peers.contains_key(&peer);
        if is_valid && has_room && share.weight >= MIN_PEER_WEIGHT {
            let mut work = share.work.as_secs_f64();
            if let Some(usual) = usual {
                work = work.clamp(usual * SAMPLE_RANGE.0, usual * SAMPLE_RANGE.1);
            }
            let weight = share.weight.min(MAX_PEER_WEIGHT);
            let work = DecayedMean::with_weight(work.max(MIN_WORK_S).ln(), weight, now);
            speed.peers.insert(peer, PeerEvidence { work, knee: share.knee.clamp(MIN_KNEE, 1.0) });
        }
        speed.sum_peers(now);
        self.update_usual(now);
    }
}
