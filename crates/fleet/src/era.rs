//! Eras of the platform's store, and what stays in force when it comes back from a copy.
//!
//! A store that is restored from a copy has lost the last changes and gives their revisions out again. Each restore
//! begins an era. Revisions are ordered by era first, so that items and processes of different eras can be compared.
//! Operators and upstreams write again what was lost; until then, the copy must not undo what this process knows.

use std::time::{Duration, Instant};

use base::Revision;

use crate::{item::ItemValue, record::UpstreamRecord};

/// Number of times that the store has been restored from a copy.
pub type StoreEra = u64;

/// Distance between the revisions of two eras; a decimal number, so that era and revision can be read in logs.
const ERA_SPAN: Revision = 1_000_000_000_000;
/// Time for which upstreams that are missing after an outage or a restore of the store stay usable: they register again
/// within about 2 s as specified by the platform, plus the delay of the watch.
pub(crate) const REGISTRATION_GRACE: Duration = Duration::from_millis(2_400);
/// Time for which an upstream of the copy stays unused if it is known to have stopped or to be stopping since. Within
/// that time, the registration of a process that has ended expires.
const REMOVAL_GRACE: Duration = Duration::from_secs(4);
/// Time within which operators have written again what was lost.
const OPERATOR_GRACE: Duration = Duration::from_secs(10);

/// Revision with this number in an era; `None` if the number is too large.
#[must_use]
pub fn revision_in(era: StoreEra, number: u64) -> Option<Revision> {
    let number = (number < ERA_SPAN).then_some(number)?;
    era.checked_mul(ERA_SPAN)?.checked_add(number)
}

/// Era of a revision, and its number in that era.
#[must_use]
pub fn era_and_number(revision: Revision) -> (StoreEra, u64) {
    (revision / ERA_SPAN, revision % ERA_SPAN)
}

/// Value that is in force instead of the stored one.
#[derive(Clone, Debug)]
pub(crate) struct HeldValue {
    /// `None` if the item counts as removed.
    pub(crate) value: Option<ItemValue>,
    /// Time until which it is in force, unless the item is written before.
    pub(crate) until: Instant,
}

/// An item as a process knows it when the store comes back from a copy.
#[derive(Clone, Copy, Debug)]
pub(crate) enum KnownItem<'a> {
    /// The process has never received the item.
    Unknown,
    /// Value in force.
    Present(&'a ItemValue),
    /// The item was removed; the upstream is the one that was registered under its key before.
    Removed(Option<&'a UpstreamRecord>),
}

/// Decides whether what is known of an item stays in force when the copy contains `listed` instead.
pub(crate) fn held_after_restore(
    known: KnownItem<'_>,
    listed: Option<&ItemValue>,
    now: Instant,
) -> Option<HeldValue> {
    let hold = |value: Option<&ItemValue>, span| {
        Some(HeldValue { value: value.cloned(), until: now + span })
    };
    match (known, listed) {
        (KnownItem::Present(value @ ItemValue::Upstream(upstream)), None) => {
            if upstream.draining {
                None
            } else {
                hold(Some(value), REGISTRATION_GRACE)
            }
        }
        (
            KnownItem::Present(value @ ItemValue::Upstream(upstream)),
            Some(ItemValue::Upstream(copy)),
        ) => {
            let is_same = copy.started_ms == upstream.started_ms;
            let has_lost_draining = is_same && upstream.draining && !copy.draining;
            let is_older = copy.started_ms < upstream.started_ms;
            if is_older || has_lost_draining { hold(Some(value), REMOVAL_GRACE) } else { None }
        }
        (KnownItem::Removed(Some(removed)), Some(ItemValue::Upstream(copy)))
            if copy.started_ms <= removed.started_ms =>
        {
            hold(None, REMOVAL_GRACE)
        }
        (KnownItem::Present(value @ ItemValue::Evacuated(_)), None) => {
            hold(Some(value), OPERATOR_GRACE)
        }
        (KnownItem::Removed(_), Some(ItemValue::Evacuated(_))) => hold(None, OPERATOR_GRACE),
        _ => None,
    }
}
