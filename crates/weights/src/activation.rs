//! Load orders to the engine: only for completely verified weights, one at a time, and each confirmed by reading the
//! engine's status.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::{ContentDigest, Incarnation, ModelId, Revision};
use config::FencingMode;

use crate::fencing::{EngineView, FencingNumber, OrderKind, OrderOutcome};

/// Timing and identity of an [`ActivationControl`].
#[derive(Clone, Debug)]
pub struct ActivationOptions {
    /// Whether the engine checks fencing numbers.
    pub fencing: FencingMode,
    /// Incarnation of this process, used in fencing numbers.
    pub incarnation: Incarnation,
    /// Interval between reads of the engine's status.
    pub read_interval: Duration,
    /// Timeout after which an order without visible effect is sent again; also the timeout of an upload to the engine.
    pub order_timeout: Duration,
    /// Minimum gap between two polls that is treated as a pause of the process.
    pub pause_threshold: Duration,
}

impl ActivationOptions {
    /// Creates options with the default timing.
    #[must_use]
    pub fn new(fencing: FencingMode, incarnation: Incarnation) -> Self {
        Self {
            fencing,
            incarnation,
            read_interval: Duration::from_millis(250),
            order_timeout: Duration::from_secs(30),
            pause_threshold: Duration::from_secs(2),
        }
    }
}

/// Event reported by the driver.
#[derive(Clone, Debug)]
pub enum ActivationEvent {
    /// The versions to serve have changed.
    Wanted {
        /// Configuration revision that contains them.
        revision: Revision,
        /// Models to serve, with their manifests.
        models: Vec<(ModelId, ContentDigest)>,
    },
    /// Manifests whose chunks are all held and verified; replaces the previous list.
    VersionsComplete(Vec<ContentDigest>),
    /// The rollout allows this host to switch the model, or no longer does.
    Gate {
        /// Id of the model.
        model: ModelId,
        /// True if the host may switch now.
        open: bool,
    },
    /// The engine's status has been read.
    EngineRead(EngineView),
    /// Reading the engine's status failed.
    ReadFailed,
    /// The upload of a version to the engine has ended.
    PutFinished {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// True if the engine received all bytes.
        complete: bool,
    },
    /// The engine has responded to an order, or the response was lost.
    OrderResponse(OrderOutcome),
    /// Configuration and host list have been refreshed from peers; contains the revision now in force.
    Refreshed(Revision),
}

/// Action for the driver to execute.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ActivationAction {
    /// Request the configuration in force from peers, then report [`ActivationEvent::Refreshed`].
    Refresh,
    /// Read the engine's status, then report [`ActivationEvent::EngineRead`] or [`ActivationEvent::ReadFailed`].
    ReadEngine,
    /// Upload a version to the engine, then report [`ActivationEvent::PutFinished`].
    PutWeights {
        /// Digest of the manifest.
        manifest: ContentDigest,
    },
    /// Send an order to the engine, then report [`ActivationEvent::OrderResponse`].
    SendOrder {
        /// Whether to load or to unload.
        kind: OrderKind,
        /// Id of the model.
        model: ModelId,
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Fencing number of the order.
        fencing: FencingNumber,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct PendingOrder {
    kind: OrderKind,
    model: ModelId,
    manifest: ContentDigest,
    /// Incarnation of the engine to which the order was sent.
    engine: Incarnation,
    sent_at: Instant,
    /// True once the engine has responded or the order has timed out.
    done: bool,
}

/// State machine of the load orders of one upstream.
#[derive(Debug)]
pub struct ActivationControl {
    options: ActivationOptions,
    revision: Revision,
    wanted: Vec<(ModelId, ContentDigest)>,
    complete: BTreeSet<ContentDigest>,
    closed_gates: BTreeSet<ModelId>,
    /// Engine status; `None` if it has not been read since the last order or the last pause.
    engine: Option<EngineView>,
    next_read: Option<Instant>,
    is_reading: bool,
    /// Manifests uploaded to the engine, with the incarnation of the engine that received each.
    uploaded: BTreeMap<ContentDigest, Incarnation>,
    upload: Option<(ContentDigest, Incarnation, Instant)>,
    pending: Vec<PendingOrder>,
    is_refreshed: bool,
    is_refreshing: bool,
    needed_revision: Revision,
    last_poll: Option<Instant>,
}

impl ActivationControl {
    /// Creates the state of a process that has just started, which requests a refresh before its first order.
    #[must_use]
    pub fn new(options: ActivationOptions) -> Self {
        Self {
            options,
            revision: 0,
            wanted: Vec::new(),
            complete: BTreeSet::new(),
            closed_gates: BTreeSet::new(),
            engine: None,
            next_read: None,
            is_reading: false,
            uploaded: BTreeMap::new(),
            upload: None,
            pending: Vec::new(),
            is_refreshed: false,
            is_refreshing: false,
            needed_revision: 0,
            last_poll: None,
        }
    }

    /// Versions that the engine serves according to its last status; empty if the status is unknown.
    #[must_use]
    pub fn ready(&self) -> &[(ModelId, ContentDigest)] {
        self.engine.as_ref().map_or(&[], |engine| &engine.loaded)
    }

    /// True if the engine serves every version wanted and no order is in flight.
    #[must_use]
    pub fn is_settled(&self) -> bool {
        self.pending.is_empty()
            && self.engine.as_ref().is_some_and(|engine| {
                self.wanted.iter().all(|(model, manifest)| engine.serves(model, *manifest))
            })
    }

    /// Sets whether the engine checks fencing numbers, according to the configuration in force.
    pub fn set_fencing(&mut self, fencing: FencingMode) {
        self.options.fencing = fencing;
    }

    /// Updates the state with an event reported by the driver.
    pub fn handle(&mut self, now: Instant, event: ActivationEvent) {
        self.detect_pause(now);
        match event {
            ActivationEvent::Wanted { revision, models } if revision >= self.revision => {
                self.revision = revision;
                self.wanted = models;
            }
            ActivationEvent::Wanted { .. } => {}
            ActivationEvent::VersionsComplete(held) => self.complete = held.into_iter().collect(),
            ActivationEvent::Gate { model, open: true } => {
                self.closed_gates.remove(&model);
            }
            ActivationEvent::Gate { model, open: false } => {
                self.closed_gates.insert(model);
            }
            ActivationEvent::EngineRead(view) => self.record_status(now, view),
            ActivationEvent::ReadFailed => {
                self.is_reading = false;
                self.engine = None;
                self.next_read = Some(now + self.options.read_interval);
            }
            ActivationEvent::PutFinished { manifest, complete } => self.end_put(manifest, complete),
            ActivationEvent::OrderResponse(outcome) => self.record_response(now, outcome),
            ActivationEvent::Refreshed(revision) => {
                self.is_refreshing = false;
                self.is_refreshed = revision >= self.needed_revision && revision >= self.revision;
            }
        }
    }

    /// Returns the actions to execute at `now`. Must be called at least once per [`ActivationOptions::read_interval`].
    pub fn poll(&mut self, now: Instant) -> Vec<ActivationAction> {
        self.detect_pause(now);
        self.expire(now);
        let mut actions = Vec::new();
        if !self.is_refreshed && !self.is_refreshing {
            self.is_refreshing = true;
            actions.push(ActivationAction::Refresh);
        }
        if !self.is_reading && self.next_read.is_none_or(|next_read| now >= next_read) {
            self.is_reading = true;
            actions.push(ActivationAction::ReadEngine);
        }
        // While the status is being read again, the previous one may be outdated.
        if self.is_refreshed && !self.is_reading && self.may_order() {
            actions.extend(self.next_order(now));
        }
        actions
    }

    fn detect_pause(&mut self, now: Instant) {
        let gap = self.last_poll.map(|last| now.saturating_duration_since(last));
        self.last_poll = Some(now);
        if gap.is_some_and(|gap| gap > self.options.pause_threshold) {
            self.is_refreshed = false;
            self.is_refreshing = false;
            self.engine = None;
            self.is_reading = false;
            self.next_read = None;
        }
    }

    fn may_order(&self) -> bool {
        match self.options.fencing {
            FencingMode::Ignored => self.pending.is_empty(),
            FencingMode::Checked => self.pending.iter().all(|order| order.done),
        }
    }

    fn next_order(&mut self, now: Instant) -> Option<ActivationAction> {
        if self.upload.is_some() {
            return None;
        }
        let engine = self.engine.as_ref()?;
        let wanted = self.wanted.iter().find(|(model, manifest)| {
            !engine.serves(model, *manifest)
                && self.complete.contains(manifest)
                && !self.closed_gates.contains(model)
                && !self.is_pending(model)
        });
        if let Some((model, manifest)) = wanted.cloned() {
            if self.uploaded.get(&manifest) != Some(&engine.incarnation) {
                self.upload = Some((manifest, engine.incarnation, now));
                return Some(ActivationAction::PutWeights { manifest });
            }
            return Some(self.send_order(now, OrderKind::Load, model, manifest));
        }
        // Until the weights of a wanted model have arrived, an unload frees nothing for it.
        let mut unserved = self
            .wanted
            .iter()
            .filter(|(model, manifest)| !engine.serves(model, *manifest))
            .peekable();
        let awaits_weights = unserved.peek().is_some()
            && !unserved.any(|(_, manifest)| self.complete.contains(manifest));
        if awaits_weights {
            return None;
        }
        let surplus = engine.loaded.iter().find(|(model, _)| {
            !self.wanted.iter().any(|(name, _)| name == model) && !self.is_pending(model)
        });
        // A process that has no configuration yet cannot know that a model should be unloaded.
        let (model, manifest) = surplus.filter(|_| self.revision > 0).cloned()?;
        Some(self.send_order(now, OrderKind::Unload, model, manifest))
    }

    fn send_order(
        &mut self,
        now: Instant,
        kind: OrderKind,
        model: ModelId,
        manifest: ContentDigest,
    ) -> ActivationAction {
        let last = self.engine.as_ref().and_then(|engine| engine.last_order);
        let fencing = FencingNumber::next(self.revision, self.options.incarnation, last);
        let engine = self.engine.as_ref().map_or(0, |engine| engine.incarnation);
        self.pending.push(PendingOrder {
            kind,
            model: model.clone(),
            manifest,
            engine,
            sent_at: now,
            done: false,
        });
        ActivationAction::SendOrder { kind, model, manifest, fencing }
    }

    fn is_pending(&self, model: &str) -> bool {
        self.pending.iter().any(|order| order.model == model)
    }

    fn record_status(&mut self, now: Instant, view: EngineView) {
        self.is_reading = false;
        self.next_read = Some(now + self.options.read_interval);
        let order_timeout = self.options.order_timeout;
        self.pending.retain(|order| {
            let has_effect = match order.kind {
                OrderKind::Load => view.serves(&order.model, order.manifest),
                OrderKind::Unload => !view.serves(&order.model, order.manifest),
            };
            let restarted = order.engine != view.incarnation;
            let is_late = now.saturating_duration_since(order.sent_at) >= order_timeout;
            !(has_effect || order.done && (restarted || is_late))
        });
        // If the engine has accepted an order of a newer revision, this process has an outdated configuration.
        if let Some(last) = view.last_order.filter(|last| last.revision > self.revision) {
            self.needed_revision = self.needed_revision.max(last.revision);
            self.is_refreshed = false;
        }
        self.uploaded.retain(|_, incarnation| *incarnation == view.incarnation);
        self.engine = Some(view);
    }

    fn end_put(&mut self, manifest: ContentDigest, complete: bool) {
        if let Some((_, engine, _)) = self.upload.take_if(|(upload, _, _)| *upload == manifest)
            && complete
        {
            self.uploaded.insert(manifest, engine);
        }
    }

    fn record_response(&mut self, now: Instant, outcome: OrderOutcome) {
        let Some(position) = self.pending.iter().position(|order| !order.done) else { return };
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => self.pending[position].done = true,
            // The engine has accepted an order newer than the last known status. Read the status again, so that the
            // next order gets a higher fencing number.
            OrderOutcome::Refused => {
                self.pending.remove(position);
            }
            OrderOutcome::NotUploaded => {
                let order = self.pending.remove(position);
                self.uploaded.remove(&order.manifest);
            }
        }
        self.engine = None;
        self.next_read = Some(now);
    }

    fn expire(&mut self, now: Instant) {
        let order_timeout = self.options.order_timeout;
        for order in &mut self.pending {
            order.done |= now.saturating_duration_since(order.sent_at) >= order_timeout;
        }
        if self
            .upload
            .is_some_and(|(_, _, since)| now.saturating_duration_since(since) >= order_timeout)
        {
            self.upload = None;
        }
    }
}
