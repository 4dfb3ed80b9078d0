//! Load orders: whole weights only, fencing, read-back, pauses, late orders of earlier processes.

use std::time::{Duration, Instant};

use base::ContentDigest;
use config::FencingMode;
use proptest::prelude::*;
use weights::{
    ActivationAction, ActivationControl, ActivationEvent, ActivationOptions, EngineView,
    FencingNumber, OrderKind, OrderOutcome,
};

const STEP: Duration = Duration::from_millis(100);

/// An engine, an agent's activation and what the harness knows about them.
struct Bench {
    control: ActivationControl,
    now: Instant,
    mode: FencingMode,
    engine: EngineView,
    given: Vec<ContentDigest>,
    whole: Vec<ContentDigest>,
    revision: u64,
    /// Orders on their way: they arrive at the engine only when the test says so.
    orders: Vec<(OrderKind, ContentDigest, FencingNumber)>,
    sent: Vec<(OrderKind, ContentDigest, FencingNumber)>,
    refreshes: usize,
}

fn digest(name: &str) -> ContentDigest {
    ContentDigest::of(name.as_bytes())
}

impl Bench {
    fn new(mode: FencingMode) -> Self {
        let options = ActivationOptions::new(mode, 7);
        Self {
            control: ActivationControl::new(options),
            now: Instant::now(),
            mode,
            engine: EngineView { incarnation: 1, ..EngineView::default() },
            given: Vec::new(),
            whole: Vec::new(),
            revision: 0,
            orders: Vec::new(),
            sent: Vec::new(),
            refreshes: 0,
        }
    }

    fn want(&mut self, revision: u64, version: &str) {
        self.revision = revision;
        let models = vec![("m".into(), digest(version))];
        self.control.handle(self.now, ActivationEvent::Wanted { revision, models });
    }

    fn set_whole(&mut self, versions: &[&str]) {
        self.whole = versions.iter().map(|version| digest(version)).collect();
        self.control.handle(self.now, ActivationEvent::Whole(self.whole.clone()));
    }

    /// One round of the shell; orders stay on their way until [`Bench::deliver`].
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
                    assert!(self.whole.contains(&manifest), "weights that are not whole");
                    self.given.push(manifest);
                    let done = ActivationEvent::PutDone { manifest, complete: true };
                    self.control.handle(self.now, done);
                }
                ActivationAction::SendOrder { kind, manifest, fencing, .. } => {
                    if kind == OrderKind::Load {
                        assert!(self.given.contains(&manifest), "order without weights");
                    }
                    assert!(
                        self.mode == FencingMode::Checked || self.orders.is_empty(),
                        "two orders in flight to an engine that ignores fencing"
                    );
                    self.orders.push((kind, manifest, fencing));
                    self.sent.push((kind, manifest, fencing));
                }
            }
        }
    }

    fn deliver(&mut self) {
        if self.orders.is_empty() {
            return;
        }
        let (kind, manifest, fencing) = self.orders.remove(0);
        let outcome = self.arrive(kind, manifest, fencing);
        self.control.handle(self.now, ActivationEvent::OrderReplied(outcome));
    }

    /// An order reaches the engine, from this process or from an earlier one.
    fn arrive(
        &mut self,
        kind: OrderKind,
        manifest: ContentDigest,
        fencing: FencingNumber,
    ) -> OrderOutcome {
        let is_old = self.engine.last_order.is_some_and(|last| fencing < last);
        if self.mode == FencingMode::Checked && is_old {
            return OrderOutcome::Refused;
        }
        self.engine.last_order = Some(fencing);
        self.engine.loaded = match kind {
            OrderKind::Load => vec![("m".into(), manifest)],
            OrderKind::Unload => Vec::new(),
        };
        OrderOutcome::Accepted
    }

    fn settle(&mut self) {
        for _ in 0..40 {
            self.step();
            self.deliver();
        }
    }

    fn serves(&self, version: &str) -> bool {
        self.engine.serves("m", digest(version))
    }
}

/// Guards against activating partial weights.
#[test]
fn nothing_is_ordered_before_the_weights_are_whole() {
    let mut bench = Bench::new(FencingMode::Ignored);
    bench.want(1, "v1");
    bench.settle();
    assert!(bench.sent.is_empty());
    bench.set_whole(&["v1"]);
    bench.settle();
    assert!(bench.serves("v1") && bench.control.is_settled());
    assert_eq!(bench.sent.len(), 1);
}

/// Guards against a newer version waiting for an older one, and against mixing the two.
#[test]
fn newer_version_overtakes_and_rollback_returns() {
    let mut bench = Bench::new(FencingMode::Ignored);
    bench.want(1, "v1");
    bench.set_whole(&["v1"]);
    bench.settle();
    bench.want(2, "v2");
    bench.want(3, "v3");
    bench.set_whole(&["v1", "v3"]);
    bench.settle();
    assert!(bench.serves("v3"));
    bench.want(4, "v1");
    bench.settle();
    assert!(bench.serves("v1"));
    assert!(bench.sent.iter().all(|(_, manifest, _)| *manifest != digest("v2")));
}

/// Guards against an order after a pause that follows knowledge from before it.
#[test]
fn nothing_is_sent_after_a_pause_without_a_refresh() {
    let mut bench = Bench::new(FencingMode::Ignored);
    bench.want(1, "v1");
    bench.settle();
    let refreshes = bench.refreshes;
    bench.set_whole(&["v1"]);
    bench.now += Duration::from_secs(60);
    let actions = bench.control.poll(bench.now);
    assert!(actions.contains(&ActivationAction::Refresh));
    assert!(!actions.iter().any(|action| matches!(action, ActivationAction::SendOrder { .. })));
    // Without an answer to the refresh, nothing is sent however long it takes.
    for _ in 0..50 {
        bench.now += STEP;
        let read = ActivationEvent::EngineRead(bench.engine.clone());
        bench.control.handle(bench.now, read);
        for action in bench.control.poll(bench.now) {
            assert!(!matches!(
                action,
                ActivationAction::SendOrder { .. } | ActivationAction::PutWeights { .. }
            ));
        }
    }
    assert_eq!(bench.refreshes, refreshes);
    bench.control.handle(bench.now, ActivationEvent::Refreshed(1));
    bench.settle();
    assert!(bench.serves("v1"));
}

/// Guards against a late order of an earlier process undoing a newer one on an engine that ignores fencing numbers.
#[test]
fn late_order_of_an_old_process_is_read_back_and_corrected() {
    let mut bench = Bench::new(FencingMode::Ignored);
    bench.want(5, "v2");
    bench.set_whole(&["v2"]);
    bench.settle();
    let old = FencingNumber { revision: 4, incarnation: 99 };
    bench.arrive(OrderKind::Load, digest("v1"), old);
    assert!(bench.serves("v1"));
    bench.settle();
    assert!(bench.serves("v2"));
}

/// Guards against a restarted agent being refused for ever because its predecessor drew a higher incarnation.
#[test]
fn restarted_agent_goes_above_its_predecessor() {
    let mut bench = Bench::new(FencingMode::Checked);
    let old = FencingNumber { revision: 3, incarnation: u64::MAX / 2 };
    bench.arrive(OrderKind::Load, digest("v1"), old);
    bench.want(3, "v2");
    bench.set_whole(&["v2"]);
    bench.settle();
    assert!(bench.serves("v2"));
    // The predecessor's order that arrives now is refused.
    assert_eq!(bench.arrive(OrderKind::Load, digest("v1"), old), OrderOutcome::Refused);
}

/// Guards against a process that is behind the fleet ordering its older version.
#[test]
fn process_behind_the_engines_revision_refreshes_first() {
    let mut bench = Bench::new(FencingMode::Ignored);
    bench.arrive(OrderKind::Load, digest("v9"), FencingNumber { revision: 9, incarnation: 1 });
    bench.want(8, "v8");
    bench.set_whole(&["v8"]);
    bench.settle();
    assert!(bench.sent.is_empty() && bench.serves("v9"));
    bench.want(10, "v8");
    bench.settle();
    assert!(bench.serves("v8"));
}

/// Guards against an engine that restarted, and so lost its weights, being ordered to load them without having them.
#[test]
fn restarted_engine_is_given_the_weights_again() {
    let mut bench = Bench::new(FencingMode::Checked);
    bench.want(1, "v1");
    bench.set_whole(&["v1"]);
    bench.settle();
    bench.engine = EngineView { incarnation: 2, ..EngineView::default() };
    bench.settle();
    assert!(bench.serves("v1"));
    assert_eq!(bench.given.len(), 2);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards against partial or mixed weights and against two orders in flight, over any order of events: the checks
    /// are in the harness.
    #[test]
    fn any_order_of_events_activates_only_whole_weights(
        checked in any::<bool>(),
        events in proptest::collection::vec((0_u8..9, 0_usize..3), 1..80),
    ) {
        let mode = if checked { FencingMode::Checked } else { FencingMode::Ignored };
        let mut bench = Bench::new(mode);
        let versions = ["v0", "v1", "v2"];
        for (kind, version) in events {
            match kind {
                0 => bench.want(bench.revision + 1, versions[version]),
                1 => bench.set_whole(&versions[..version]),
                2 => bench.now += Duration::from_secs(5),
                3 => bench.engine = EngineView {
                    incarnation: bench.engine.incarnation + 1,
                    ..EngineView::default()
                },
                4 => {
                    let old = FencingNumber { revision: 0, incarnation: version as u64 };
                    bench.arrive(OrderKind::Load, digest(versions[version]), old);
                }
                5 => {
                    // The reply is lost; the order itself may have arrived.
                    if let Some((kind, manifest, fencing)) = bench.orders.pop() {
                        if version > 0 {
                            bench.arrive(kind, manifest, fencing);
                        }
                        let lost = ActivationEvent::OrderReplied(OrderOutcome::Unknown);
                        bench.control.handle(bench.now, lost);
                    }
                }
                6 => bench.deliver(),
                _ => bench.step(),
            }
        }
        // Whatever happened, the agent reaches the wanted version once it is whole and the events end.
        bench.want(bench.revision + 1, "v1");
        bench.set_whole(&["v0", "v1", "v2"]);
        for _ in 0..12 {
            bench.settle();
            bench.now += Duration::from_secs(1);
        }
        bench.settle();
        prop_assert!(bench.serves("v1"), "{:?} {:?}", bench.engine, bench.sent);
    }
}
