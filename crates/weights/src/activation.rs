//! Load orders to the engine: whole and verified weights only, one order at a time, every outcome read back.

use std::{
    collections::{BTreeMap, BTreeSet},
    time::{Duration, Instant},
};

use base::{ContentDigest, Incarnation, ModelId, Revision};
use config::FencingMode;

use crate::fencing::{EngineView, FencingNumber, OrderKind, OrderOutcome};

/// Time spans and identity of an activation.
#[derive(Clone, Debug)]
pub struct ActivationOptions {
    /// What the engine does with fencing numbers.
    pub fencing: FencingMode,
    /// Incarnation of this process.
    pub incarnation: Incarnation,
    /// Interval of reading the engine's status.
    pub read_interval: Duration,
    /// Time after which an order that shows no effect is sent again.
    pub order_timeout: Duration,
    /// Gap between two polls that counts as a pause of the process.
    pub pause_threshold: Duration,
}

impl ActivationOptions {
    /// Default time spans.
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

/// What the shell reports.
#[derive(Clone, Debug)]
pub enum ActivationEvent {
    /// The versions to serve changed.
    Wanted {
        /// Revision that wants them.
        revision: Revision,
        /// Models to serve, with their manifests.
        models: Vec<(ModelId, ContentDigest)>,
    },
    /// These manifests are held whole and verified; the list replaces the previous one.
    Whole(Vec<ContentDigest>),
    /// Whether a rolling change of version lets this host switch the model now.
    Gate {
        /// Model.
        model: ModelId,
        /// True if the host may switch.
        open: bool,
    },
    /// The engine answered its status.
    EngineRead(EngineView),
    /// The engine did not answer.
    ReadFailed,
    /// The engine has taken the bytes of a version, or not.
    PutDone {
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// True if the engine has them all.
        complete: bool,
    },
    /// Reply to an order.
    OrderReplied(OrderOutcome),
    /// Configuration and host list have been refreshed from peers; names the revision in force.
    Refreshed(Revision),
}

/// What the shell has to do.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ActivationAction {
    /// Ask peers for the configuration in force, then report [`ActivationEvent::Refreshed`].
    Refresh,
    /// Read the engine's status.
    ReadEngine,
    /// Give the engine the bytes of a version.
    PutWeights {
        /// Digest of the manifest.
        manifest: ContentDigest,
    },
    /// Send an order.
    SendOrder {
        /// Kind of the order.
        kind: OrderKind,
        /// Model.
        model: ModelId,
        /// Digest of the manifest.
        manifest: ContentDigest,
        /// Fencing number.
        fencing: FencingNumber,
    },
}

#[derive(Clone, Debug, Eq, PartialEq)]
struct PendingOrder {
    kind: OrderKind,
    model: ModelId,
    manifest: ContentDigest,
    /// Incarnation of the engine that the order was meant for.
    engine: Incarnation,
    sent: Instant,
    replied: bool,
}

/// State machine of the load orders of one upstream.
#[derive(Debug)]
pub struct ActivationControl {
    options: ActivationOptions,
    revision: Revision,
    wanted: Vec<(ModelId, ContentDigest)>,
    whole: BTreeSet<ContentDigest>,
    closed_gates: BTreeSet<ModelId>,
    /// Engine status, if it was read after the last order and since the last pause.
    engine: Option<EngineView>,
    next_read: Option<Instant>,
    is_reading: bool,
    /// Manifests that the engine of this incarnation has been given.
    given: BTreeMap<ContentDigest, Incarnation>,
    putting: Option<(ContentDigest, Incarnation, Instant)>,
    pending: Vec<PendingOrder>,
    is_refreshed: bool,
    is_refreshing: bool,
    needed_revision: Revision,
    last_poll: Option<Instant>,
}

impl ActivationControl {
    /// Creates the state of a process that has just started: it refreshes before its first order.
    #[must_use]
    pub fn new(options: ActivationOptions) -> Self {
        Self {
            options,
            revision: 0,
            wanted: Vec::new(),
            whole: BTreeSet::new(),
            closed_gates: BTreeSet::new(),
            engine: None,
            next_read: None,
            is_reading: false,
            given: BTreeMap::new(),
            putting: None,
            pending: Vec::new(),
            is_refreshed: false,
            is_refreshing: false,
            needed_revision: 0,
            last_poll: None,
        }
    }

    /// Versions that the engine named when it was last read.
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

    /// Sets what the engine does with fencing numbers, as the configuration in force says.
    pub fn set_fencing(&mut self, fencing: FencingMode) {
        self.options.fencing = fencing;
    }

    /// Takes in an event.
    pub fn handle(&mut self, now: Instant, event: ActivationEvent) {
        self.detect_pause(now);
        match event {
            ActivationEvent::Wanted { revision, models } if revision >= self.revision => {
                self.revision = revision;
                self.wanted = models;
            }
            ActivationEvent::Wanted { .. } => {}
            ActivationEvent::Whole(manifests) => self.whole = manifests.into_iter().collect(),
            ActivationEvent::Gate { model, open: true } => {
                self.closed_gates.remove(&model);
            }
            ActivationEvent::Gate { model, open: false } => {
                self.closed_gates.insert(model);
            }
            ActivationEvent::EngineRead(view) => self.record_read(now, view),
            ActivationEvent::ReadFailed => {
                self.is_reading = false;
                self.engine = None;
                self.next_read = Some(now + self.options.read_interval);
            }
            ActivationEvent::PutDone { manifest, complete } => self.record_put(manifest, complete),
            ActivationEvent::OrderReplied(outcome) => self.record_reply(now, outcome),
            ActivationEvent::Refreshed(revision) => {
                self.is_refreshing = false;
                self.is_refreshed = revision >= self.needed_revision && revision >= self.revision;
            }
        }
    }

    /// Decides what to do at `now`. Call it at least once per [`ActivationOptions::read_interval`].
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
        // A status that is being read again may be older than what this decision would need.
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
            FencingMode::Checked => self.pending.iter().all(|order| order.replied),
        }
    }

    fn next_order(&mut self, now: Instant) -> Option<ActivationAction> {
        if self.putting.is_some() {
            return None;
        }
        let engine = self.engine.as_ref()?;
        let wanted = self.wanted.iter().find(|(model, manifest)| {
            !engine.serves(model, *manifest)
                && self.whole.contains(manifest)
                && !self.closed_gates.contains(model)
                && !self.is_pending(model)
        });
        if let Some((model, manifest)) = wanted.cloned() {
            if self.given.get(&manifest) != Some(&engine.incarnation) {
                self.putting = Some((manifest, engine.incarnation, now));
                return Some(ActivationAction::PutWeights { manifest });
            }
            return Some(self.send(now, OrderKind::Load, model, manifest));
        }
        let surplus = engine.loaded.iter().find(|(model, _)| {
            !self.wanted.iter().any(|(name, _)| name == model) && !self.is_pending(model)
        });
        // A process that knows no configuration yet has no reason to unload anything.
        let (model, manifest) = surplus.filter(|_| self.revision > 0).cloned()?;
        Some(self.send(now, OrderKind::Unload, model, manifest))
    }

    fn send(
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
            sent: now,
            replied: false,
        });
        ActivationAction::SendOrder { kind, model, manifest, fencing }
    }

    fn is_pending(&self, model: &str) -> bool {
        self.pending.iter().any(|order| order.model == model)
    }

    fn record_read(&mut self, now: Instant, view: EngineView) {
        self.is_reading = false;
        self.next_read = Some(now + self.options.read_interval);
        let order_timeout = self.options.order_timeout;
        self.pending.retain(|order| {
            let has_effect = match order.kind {
                OrderKind::Load => view.serves(&order.model, order.manifest),
                OrderKind::Unload => !view.serves(&order.model, order.manifest),
            };
            let restarted = order.engine != view.incarnation;
            let is_late = now.saturating_duration_since(order.sent) >= order_timeout;
            !(has_effect || order.replied && (restarted || is_late))
        });
        // An order of a newer revision than ours means that this process is behind.
        if let Some(last) = view.last_order.filter(|last| last.revision > self.revision) {
            self.needed_revision = self.needed_revision.max(last.revision);
            self.is_refreshed = false;
        }
        self.given.retain(|_, incarnation| *incarnation == view.incarnation);
        self.engine = Some(view);
    }

    fn record_put(&mut self, manifest: ContentDigest, complete: bool) {
        if let Some((_, engine, _)) = self.putting.take_if(|(putting, _, _)| *putting == manifest)
            && complete
        {
            self.given.insert(manifest, engine);
        }
    }

    fn record_reply(&mut self, now: Instant, outcome: OrderOutcome) {
        let Some(position) = self.pending.iter().position(|order| !order.replied) else { return };
        match outcome {
            OrderOutcome::Accepted | OrderOutcome::Unknown => self.pending[position].replied = true,
            // The engine has seen a newer order than the status read before; read again and go above it.
            OrderOutcome::Refused => {
                self.pending.remove(position);
            }
        }
        self.engine = None;
        self.next_read = Some(now);
    }

    fn expire(&mut self, now: Instant) {
        let order_timeout = self.options.order_timeout;
        for order in &mut self.pending {
            order.replied |= now.saturating_duration_since(order.sent) >= order_timeout;
        }
        if self
            .putting
            .is_some_and(|(_, _, since)| now.saturating_duration_since(since) >= order_timeout)
        {
            self.putting = None;
        }
    }
}
