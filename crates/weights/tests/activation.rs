//! Load orders: only complete weights, fencing, reading back the status, pauses, and late orders of earlier processes.

use std::time::{Duration, Instant};

use base::{ContentDigest, ModelId};
use config::FencingMode;
use proptest::prelude::*;
use weights::{
    ActivationAction, ActivationControl, ActivationEvent, ActivationOptions, EngineView,
    FencingNumber, OrderKind, OrderOutcome,
};

const STEP: Duration = Duration::from_millis(100);

/// Simulated engine and the [`ActivationControl`] under test, with a record of their interaction.
struct Harness {
    control: ActivationControl,
    now: Instant,
    mode: FencingMode,
    engine: EngineView,
    /// Weights that the engine holds.
    held: Vec<ContentDigest>,
    uploaded: Vec<ContentDigest>,
    complete: Vec<ContentDigest>,
    revision: u64,
    /// Orders in flight, which reach the engine only through [`Harness::deliver`].
    orders: Vec<(OrderKind, ModelId, ContentDigest, FencingNumber)>,
    sent: Vec<(OrderKind, ModelId, ContentDigest, FencingNumber)>,
    refreshes: usize,
}

fn digest(name: &str) -> ContentDigest {
    ContentDigest::of(name.as_bytes())
}

impl Harness {
    fn new(mode: FencingMode) -> Self {
        let options = ActivationOptions::new(mode, 7);
        Self {
            control: ActivationControl::new(options),
            now: Instant::now(),
            mode,
            engine: EngineView { incarnation: 1, ..EngineView::default() },
            held: Vec::new(),
            uploaded: Vec::new(),
            complete: Vec::new(),
            revision: 0,
            orders: Vec::new(),
            sent: Vec::new(),
            refreshes: 0,
        }
    }

    fn want(&mut self, revision: u64, version: &str) {
        self.want_model(revision, "m", version);
    }

    fn want_model(&mut self, revision: u64, model: &str, version: &str) {
        self.revision = revision;
        let models = vec![(model.into(), digest(version))];
        self.control.handle(self.now, ActivationEvent::Wanted { revision, models });
    }

    fn set_complete(&mut self, versions: &[&str]) {
        self.complete = versions.iter().map(|version| digest(version)).collect();
        self.control.handle(self.now, ActivationEvent::VersionsComplete(self.complete.clone()));
    }

    /// Polls once and executes the actions, as a driver would; orders stay in flight until [`Harness::deliver`].
    fn step(&mut self) {
        self.now += STEP;
        for action in self.control.poll(self.now) {
            match action {
                ActivationAction::Refresh => {
                    self.refreshes += 1;
                    let refreshed = ActivationEvent::Refreshed(self.revision);
                    self.control.handle(self.now, refreshed);
                }
                ActivationAction::ReadEngine => {
                    let read = ActivationEvent::EngineRead(self.engine.clone());
                    self.control.handle(self.now, read);
                }
                ActivationAction::PutWeights { manifest } => {
                    assert!(self.complete.contains(&manifest), "upload of incomplete weights");
                    self.uploaded.push(manifest);
                    self.held.push(manifest);
                    let done = ActivationEvent::PutFinished { manifest, complete: true };
                    self.control.handle(self.now, done);
                }
                ActivationAction::SendOrder { kind, model, manifest, fencing } => {
                    if kind == OrderKind::Load {
                        assert!(
                            self.uploaded.contains(&manifest),
                            "load order before the weights were uploaded"
                        );
                    }
                    assert!(
                        self.mode == FencingMode::Checked || self.orders.is_empty(),
                        "two orders in flight to an engine that ignores fencing"
                    );
                    self.orders.push((kind, model.clone(), manifest, fencing));
                    self.sent.push((kind, model, manifest, fencing));
                }
            }
        }
    }

    fn deliver(&mut self) {
        if self.orders.is_empty() {
            return;
        }
        let (kind, model, manifest, fencing) = self.orders.remove(0);
        let outcome = self.receive_order_for(kind, model, manifest, fencing);
        self.control.handle(self.now, ActivationEvent::OrderResponse(outcome));
    }

    /// Handles an order for the model `m` that reaches the engine, from this process or from an earlier one.
    fn receive_order(
        &mut self,
        kind: OrderKind,
        manifest: ContentDigest,
        fencing: FencingNumber,
    ) -> OrderOutcome {
        self.receive_order_for(kind, "m".into(), manifest, fencing)
    }

    fn receive_order_for(
        &mut self,
        kind: OrderKind,
        model: ModelId,
        manifest: ContentDigest,
        fencing: FencingNumber,
    ) -> OrderOutcome {
        let is_old = self.engine.last_order.is_some_and(|last| fencing < last);
        if self.mode == FencingMode::Checked && is_old {
            return OrderOutcome::Refused;
        }
        if kind == OrderKind::Load && !self.held.contains(&manifest) {
            return OrderOutcome::NotUploaded;
        }
        self.engine.last_order = Some(fencing);
        self.engine.loaded.retain(|(loaded, _)| *loaded != model);
        match kind {
            OrderKind::Load => self.engine.loaded.push((model, manifest)),
            OrderKind::Unload => self.held.retain(|held| *held != manifest),
        }
        OrderOutcome::Accepted
    }

    /// Restarts the engine, which loses its weights.
    fn restart_engine(&mut self) {
        let incarnation = self.engine.incarnation + 1;
        self.engine = EngineView { incarnation, ..EngineView::default() };
        self.held.clear();
    }

    fn run_until_settled(&mut self) {
        for _ in 0..40 {
            self.step();
            self.deliver();
        }
    }

    fn serves(&self, version: &str) -> bool {
        self.engine.serves("m", digest(version))
    }
}

/// Guards against loading a version of which chunks are still missing.
#[test]
fn nothing_is_ordered_before_the_weights_are_complete() {
    let mut harness = Harness::new(FencingMode::Ignored);
    harness.want(1, "v1");
    harness.run_until_settled();
    assert!(harness.sent.is_empty());
    harness.set_complete(&["v1"]);
    harness.run_until_settled();
    assert!(harness.serves("v1") && harness.control.is_settled());
    assert_eq!(harness.sent.len(), 1);
}

/// Guards against a newer version that waits for an older one, and against mixing the two.
#[test]
fn newer_version_replaces_older_and_rollback_returns_to_it() {
    let mut harness = Harness::new(FencingMode::Ignored);
    harness.want(1, "v1");
    harness.set_complete(&["v1"]);
    harness.run_until_settled();
    harness.want(2, "v2");
    harness.want(3, "v3");
    harness.set_complete(&["v1", "v3"]);
    harness.run_until_settled();
    assert!(harness.serves("v3"));
    harness.want(4, "v1");
    harness.run_until_settled();
    assert!(harness.serves("v1"));
    assert!(harness.sent.iter().all(|(_, _, manifest, _)| *manifest != digest("v2")));
}

/// Guards against a model that is unloaded before the weights of the one that replaces it have arrived.
#[test]
fn model_is_unloaded_before_its_replacement_is_complete() {
    let mut harness = Harness::new(FencingMode::Ignored);
    harness.want(1, "v1");
    harness.set_complete(&["v1"]);
    harness.run_until_settled();
    harness.want_model(2, "other", "v2");
    harness.run_until_settled();
    assert!(harness.serves("v1"), "{:?}", harness.sent);
    harness.set_complete(&["v1", "v2"]);
    harness.run_until_settled();
    assert_eq!(harness.engine.loaded, [("other".into(), digest("v2"))]);
}

/// Guards against an order that is based on a configuration or status from before a pause.
#[test]
fn nothing_is_sent_after_a_pause_without_a_refresh() {
    let mut harness = Harness::new(FencingMode::Ignored);
    harness.want(1, "v1");
    harness.run_until_settled();
    let refreshes = harness.refreshes;
    harness.set_complete(&["v1"]);
    harness.now += Duration::from_secs(60);
    let actions = harness.control.poll(harness.now);
    assert!(actions.contains(&ActivationAction::Refresh));
    assert!(!actions.iter().any(|action| matches!(action, ActivationAction::SendOrder { .. })));
    // Until the refresh is done, nothing is sent, however long it takes.
    for _ in 0..50 {
        harness.now += STEP;
        let read = ActivationEvent::EngineRead(harness.engine.clone());
        harness.control.handle(harness.now, read);
        for action in harness.control.poll(harness.now) {
            assert!(!matches!(
                action,
                ActivationAction::SendOrder { .. } | ActivationAction::PutWeights { .. }
            ));
        }
    }
    assert_eq!(harness.refreshes, refreshes);
    harness.control.handle(harness.now, ActivationEvent::Refreshed(1));
    harness.run_until_settled();
    assert!(harness.serves("v1"));
}

/// Guards against a late order of an earlier process that permanently undoes a newer one, on an engine that ignores
/// fencing numbers.
#[test]
fn late_order_of_an_old_process_is_read_back_and_corrected() {
    let mut harness = Harness::new(FencingMode::Ignored);
    harness.want(5, "v2");
    harness.set_complete(&["v2"]);
    harness.run_until_settled();
    let old = FencingNumber { revision: 4, incarnation: 99 };
    harness.held.push(digest("v1"));
    harness.receive_order(OrderKind::Load, digest("v1"), old);
    assert!(harness.serves("v1"));
    harness.run_until_settled();
    assert!(harness.serves("v2"));
}

/// Guards against an engine that refuses all orders of a restarted agent, because its predecessor had a higher random
/// incarnation.
#[test]
fn restarted_agent_uses_a_higher_fencing_number_than_its_predecessor() {
    let mut harness = Harness::new(FencingMode::Checked);
    let old = FencingNumber { revision: 3, incarnation: u64::MAX / 2 };
    harness.held.push(digest("v1"));
    harness.receive_order(OrderKind::Load, digest("v1"), old);
    harness.want(3, "v2");
    harness.set_complete(&["v2"]);
    harness.run_until_settled();
    assert!(harness.serves("v2"));
    // An order of the predecessor that arrives now must be refused.
    assert_eq!(harness.receive_order(OrderKind::Load, digest("v1"), old), OrderOutcome::Refused);
}

/// Guards against a process with an outdated configuration that orders an older version.
#[test]
fn process_with_an_outdated_revision_refreshes_first() {
    let mut harness = Harness::new(FencingMode::Ignored);
    harness.held.push(digest("v9"));
    harness.receive_order(
        OrderKind::Load,
        digest("v9"),
        FencingNumber { revision: 9, incarnation: 1 },
    );
    harness.want(8, "v8");
    harness.set_complete(&["v8"]);
    harness.run_until_settled();
    assert!(harness.sent.is_empty() && harness.serves("v9"));
    harness.want(10, "v8");
    harness.run_until_settled();
    assert!(harness.serves("v8"));
}

/// Guards against a load order to a restarted engine before the weights, which it lost, have been uploaded again.
#[test]
fn weights_are_uploaded_again_to_a_restarted_engine() {
    let mut harness = Harness::new(FencingMode::Checked);
    harness.want(1, "v1");
    harness.set_complete(&["v1"]);
    harness.run_until_settled();
    harness.restart_engine();
    harness.run_until_settled();
    assert!(harness.serves("v1"));
    assert_eq!(harness.uploaded.len(), 2);
}

/// An engine stayed without weights after a late order of an earlier process had unloaded them: every load order was
/// refused, and the weights were not uploaded again.
#[test]
fn weights_unloaded_by_a_late_order_are_not_uploaded_again() {
    let mut harness = Harness::new(FencingMode::Ignored);
    harness.want(5, "v1");
    harness.set_complete(&["v1"]);
    harness.run_until_settled();
    let old = FencingNumber { revision: 4, incarnation: 99 };
    harness.receive_order(OrderKind::Unload, digest("v1"), old);
    assert!(!harness.serves("v1"));
    harness.run_until_settled();
    assert!(harness.serves("v1"), "{:?}", harness.sent);
    assert_eq!(harness.uploaded.len(), 2);
}

/// Weights that an engine had unloaded were not uploaded again when the model was wanted again.
#[test]
fn unloaded_weights_are_not_uploaded_again() {
    let mut harness = Harness::new(FencingMode::Checked);
    harness.want(1, "v1");
    harness.set_complete(&["v1"]);
    harness.run_until_settled();
    harness.want_model(2, "other", "v2");
    harness.set_complete(&["v1", "v2"]);
    harness.run_until_settled();
    assert!(!harness.serves("v1"));
    harness.want(3, "v1");
    harness.run_until_settled();
    assert!(harness.serves("v1"), "{:?}", harness.sent);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against partial or mixed weights and against two orders in flight, for random sequences of events. The
    /// assertions are in [`Harness::step`].
    #[test]
    fn any_sequence_of_events_activates_only_complete_weights(
        checked in any::<bool>(),
        events in proptest::collection::vec((0_u8..10, 0_usize..3), 1..80),
    ) {
        let mode = if checked { FencingMode::Checked } else { FencingMode::Ignored };
        let mut harness = Harness::new(mode);
        let versions = ["v0", "v1", "v2"];
        for (kind, version) in events {
            match kind {
                0 => harness.want(harness.revision + 1, versions[version]),
                1 => harness.set_complete(&versions[..version]),
                2 => harness.now += Duration::from_secs(5),
                3 => harness.restart_engine(),
                4 | 9 => {
                    let old = FencingNumber { revision: 0, incarnation: version as u64 };
                    let order = if kind == 4 { OrderKind::Load } else { OrderKind::Unload };
                    harness.receive_order(order, digest(versions[version]), old);
                }
                5 => {
                    // The response is lost; the order itself may have arrived.
                    if let Some((kind, model, manifest, fencing)) = harness.orders.pop() {
                        if version > 0 {
                            harness.receive_order_for(kind, model, manifest, fencing);
                        }
                        let lost = ActivationEvent::OrderResponse(OrderOutcome::Unknown);
                        harness.control.handle(harness.now, lost);
                    }
                }
                6 => harness.deliver(),
                _ => harness.step(),
            }
        }
        // After any sequence of events, the engine must end up with the wanted version once that is complete.
        harness.want(harness.revision + 1, "v1");
        harness.set_complete(&["v0", "v1", "v2"]);
        for _ in 0..12 {
            harness.run_until_settled();
            harness.now += Duration::from_secs(1);
        }
        harness.run_until_settled();
        prop_assert!(harness.serves("v1"), "{:?} {:?}", harness.engine, harness.sent);
    }
}
