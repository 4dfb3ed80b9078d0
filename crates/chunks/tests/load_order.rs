//! Tests which orders to load weights are repeated.

use std::time::{Duration, Instant};

use chunks::{LoadOrder, OrderProgress, OrderReport, WeightsId};

const IDLE: OrderReport = OrderReport { started_at_ms: 7, load_orders: 3, busy: false, loaded: 1 };
const LATER: Duration = Duration::from_secs(2);

fn order(now: Instant) -> LoadOrder {
    LoadOrder::new(WeightsId { model: "m".into(), version: 2 }, IDLE, now)
}

/// An order without a response counted as accepted.
#[test]
fn order_that_was_not_accepted_is_not_repeated() {
    let now = Instant::now();
    let mut order = order(now);
    assert_eq!(order.progress(None, now), OrderProgress::Waiting);
    assert_eq!(order.progress(Some(&IDLE), now), OrderProgress::Unaccepted);
    assert_eq!(order.progress(None, now + LATER), OrderProgress::Waiting);
    assert_eq!(order.progress(Some(&IDLE), now + LATER), OrderProgress::Unaccepted);
}

/// An engine that carried out an order of other weights counted as loading the ordered ones.
#[test]
fn order_in_progress_counts_as_the_one_that_was_sent() {
    let now = Instant::now();
    let mut order = order(now);
    let busy = OrderReport { busy: true, ..IDLE };
    assert_eq!(order.progress(Some(&busy), now), OrderProgress::Waiting);
    assert!(!order.is_accepted());
    assert_eq!(order.progress(Some(&IDLE), now + LATER), OrderProgress::Unaccepted);
}

/// Guards against an engine that loads twice, and against staged chunks that are kept for an order that was accepted.
#[test]
fn accepted_order_is_repeated() {
    let now = Instant::now();
    let mut order = order(now);
    let busy = OrderReport { load_orders: 4, busy: true, ..IDLE };
    assert_eq!(order.progress(Some(&busy), now), OrderProgress::Accepted);
    assert_eq!(order.progress(Some(&busy), now + LATER), OrderProgress::Waiting);
    let loaded = OrderReport { load_orders: 4, loaded: 2, ..IDLE };
    assert_eq!(order.progress(Some(&loaded), now + LATER), OrderProgress::Loaded);
}

/// Guards against a wait for an engine that has restarted, or has not loaded the weights although it accepted the order.
#[test]
fn failed_order_is_waited_for() {
    let now = Instant::now();
    let restarted = OrderReport { started_at_ms: 8, load_orders: 0, busy: false, loaded: 0 };
    assert_eq!(order(now).progress(Some(&restarted), now), OrderProgress::Failed);
    let idle = OrderReport { load_orders: 4, ..IDLE };
    let mut order = order(now);
    assert_eq!(order.progress(Some(&idle), now), OrderProgress::Waiting);
    assert_eq!(order.progress(Some(&idle), now + LATER), OrderProgress::Failed);
}
