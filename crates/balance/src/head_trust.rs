//! Decides whether the head of a streamed response shows that its request has begun to run.
//!
//! Many engines send the head with the first token, others as soon as a request arrives. Nothing in a head tells which, so
//! it is learned for each upstream from the times at which earlier heads and first events arrived.

use std::{
    collections::{HashMap, VecDeque},
    time::{Duration, Instant},
};

use base::UpstreamId;

/// Maximum time from a head to the first event of a proof; a pass of an engine takes about 45 ms.
const MAX_EVENT_GAP: Duration = Duration::from_millis(75);
/// Minimum ratio of the wait for a head to a longer gap. With a lower one, the head was early; otherwise the event may have
/// been delayed by a process that was not scheduled or by a lost packet.
const MIN_DELAYED_RATIO: u32 = 2;
/// Number of proofs that a delayed event takes back.
const DELAY_PENALTY: usize = 2;
/// Time by which a cancellation is deferred after a head at most. It is shorter than the margin by which requests are
/// cancelled before their weights are outdated.
const MAX_DEFERRAL: Duration = Duration::from_millis(100);
/// Minimum time that a request must have waited for its head beyond the shortest wait at the upstream. Less may be the time
/// that the head takes on the network.
const MIN_QUEUE_TIME: Duration = Duration::from_millis(100);
/// Minimum ratio of the wait for a head to the time from there to the first event.
const MIN_WAIT_RATIO: u32 = 4;
/// Number of proofs from which heads are trusted, how many are kept, and for how long each of them counts.
const MIN_PROOFS: usize = 8;
const MAX_PROOFS: usize = 16;
const PROOF_TTL: Duration = Duration::from_secs(60);
/// Minimum time between two proofs. A process that was paused reads many heads and events at once.
const PROOF_INTERVAL: Duration = Duration::from_millis(250);
/// Time for which heads are not trusted after an early one. A single request that begins on outdated weights breaks a
/// rule.
const DISTRUST_TIME: Duration = Duration::from_secs(600);

/// What is known about the heads of one upstream.
#[derive(Clone, Debug, Default)]
struct HeadHistory {
    /// Times of the last requests that waited for a head, which then came with the first event.
    proofs: VecDeque<Instant>,
    shortest_wait: Option<Duration>,
    distrusted_until: Option<Instant>,
}

impl HeadHistory {
    fn is_distrusted(&self, now: Instant) -> bool {
        self.distrusted_until.is_some_and(|until| now < until)
    }

    fn is_trusted(&self, now: Instant) -> bool {
        let is_recent = |proof: &&Instant| now.saturating_duration_since(**proof) < PROOF_TTL;
        !self.is_distrusted(now) && self.proofs.iter().filter(is_recent).count() >= MIN_PROOFS
    }

    /// Records a `gap` after a head that is no proof; true if the head was early and there was none for [`DISTRUST_TIME`].
    fn record_gap(&mut self, wait: Duration, gap: Duration, now: Instant) -> bool {
        if gap <= wait / MIN_DELAYED_RATIO {
            self.proofs.drain(..DELAY_PENALTY.min(self.proofs.len()));
            return false;
        }
        self.distrust(now)
    }

    /// Records an early head; true if there was none for [`DISTRUST_TIME`].
    fn distrust(&mut self, now: Instant) -> bool {
        let is_new = !self.is_distrusted(now);
        self.proofs.clear();
        self.distrusted_until = Some(now + DISTRUST_TIME);
        is_new
    }
}

/// Learns which upstreams send the heads of streams when requests begin to run.
#[derive(Clone, Debug, Default)]
pub struct HeadTrust {
    upstreams: HashMap<UpstreamId, HeadHistory>,
}

impl HeadTrust {
    /// Creates an instance that trusts no upstream.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the first event of a stream that was requested at `sent_at`. True if its head was early and there
    /// was no early one before.
    pub fn record_first_event(
        &mut self,
        upstream: &UpstreamId,
        sent_at: Instant,
        head_at: Instant,
        event_at: Instant,
    ) -> bool {
        let wait = head_at.saturating_duration_since(sent_at);
        let gap = event_at.saturating_duration_since(head_at);
        let history = self.upstreams.entry(upstream.clone()).or_default();
        let shortest = *history.shortest_wait.get_or_insert(wait);
        history.shortest_wait = Some(shortest.min(wait));
        if gap > MAX_EVENT_GAP || gap > wait {
            return history.record_gap(wait, gap, event_at);
        }
        let has_queued = wait >= shortest + MIN_QUEUE_TIME && wait >= gap * MIN_WAIT_RATIO;
        let last = history.proofs.back();
        let is_apart =
            last.is_none_or(|last| event_at.saturating_duration_since(*last) >= PROOF_INTERVAL);
        if has_queued && is_apart && !history.is_distrusted(event_at) {
            if history.proofs.len() >= MAX_PROOFS {
                history.proofs.pop_front();
            }
            history.proofs.push_back(event_at);
        }
        false
    }

    /// Records that a stream has had no event from its head until `now`, when it ended or was given up. True if its head
    /// was early and there was no early one before.
    pub fn record_no_event(
        &mut self,
        upstream: &UpstreamId,
        sent_at: Instant,
        head_at: Instant,
        now: Instant,
    ) -> bool {
        let wait = head_at.saturating_duration_since(sent_at);
        let gap = now.saturating_duration_since(head_at);
        gap > MAX_EVENT_GAP
            && self.upstreams.entry(upstream.clone()).or_default().record_gap(wait, gap, now)
    }

    /// Time at which a request is cancelled whose head arrived at `head_at` and that was to be cancelled at `cancel_at`. It is
    /// later only if the upstream sends heads when requests begin, and the first event is not overdue by then.
    #[must_use]
    pub fn defer_cancellation(
        &self,
        upstream: &UpstreamId,
        cancel_at: Instant,
        head_at: Instant,
    ) -> Instant {
        let is_trusted =
            self.upstreams.get(upstream).is_some_and(|history| history.is_trusted(head_at));
        if is_trusted && head_at < cancel_at {
            cancel_at.max(head_at + MAX_DEFERRAL)
        } else {
            cancel_at
        }
    }

    /// Forgets all upstreams but those to `keep`.
    pub fn retain(&mut self, keep: impl Fn(&UpstreamId) -> bool) {
        self.upstreams.retain(|upstream, _| keep(upstream));
    }
}
