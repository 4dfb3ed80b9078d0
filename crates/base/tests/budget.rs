//! Budget of bytes with many holders.

use std::sync::Arc;

use base::{ByteBudget, ByteReservation};

const LIMIT: usize = 20 << 20;
const SMALL: usize = 16 << 10;

/// Guards against holders that exceed the budget together, and against large ones that leave no room for others.
#[test]
fn many_large_holders_exhaust_the_budget() {
    let budget = Arc::new(ByteBudget::new(LIMIT));
    let mut holders: Vec<_> = (0..200).map(|_| ByteReservation::new(budget.clone())).collect();
    // All grow at the same rate.
    for _ in 0..1_000 {
        for holder in &mut holders {
            let _ = holder.try_resize(holder.bytes() + SMALL);
        }
    }
    assert!(budget.held() <= LIMIT);
    assert!(budget.held() >= LIMIT / 2, "{}", budget.held());
    let mut other = ByteReservation::new(budget.clone());
    assert!(other.try_resize(SMALL + SMALL / 2), "a holder that is slightly larger than usual");
    drop(other);
    drop(holders);
    assert_eq!(budget.held(), 0);
}

/// Guards against a single large holder, or a few, that are refused although nothing else is held.
#[test]
fn few_large_holders_are_refused() {
    let budget = Arc::new(ByteBudget::new(LIMIT));
    for count in [1, 2] {
        let mut holders: Vec<_> =
            (0..count).map(|_| ByteReservation::new(budget.clone())).collect();
        assert!(holders.iter_mut().all(|holder| holder.try_resize(LIMIT / 5 * 2)), "{count}");
    }
}

/// Guards against small holders that are refused because large ones have used the budget up.
#[test]
fn small_holders_are_refused() {
    let budget = Arc::new(ByteBudget::new(LIMIT));
    let mut large: Vec<_> = (0..50).map(|_| ByteReservation::new(budget.clone())).collect();
    for bytes in (0..LIMIT).step_by(SMALL) {
        large.iter_mut().for_each(|holder| {
            let _ = holder.try_resize(bytes);
        });
    }
    let mut small: Vec<_> = (0..2_000).map(|_| ByteReservation::new(budget.clone())).collect();
    assert!(small.iter_mut().all(|holder| holder.try_resize(SMALL)));
    // A reservation that is refused more keeps what it has, and can shrink.
    assert!(!small[0].try_resize(SMALL * 2));
    assert_eq!(small[0].bytes(), SMALL);
    assert!(small[0].try_resize(0));
}
