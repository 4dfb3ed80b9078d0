//! Changes between two versions of a document, keyed by list item.
//!
//! A delta is a hint that saves bytes. Whoever applies one compares the result with the target digest.

use std::collections::{HashMap, HashSet, VecDeque};

use base::ContentDigest;
use compact_str::{CompactString, format_compact};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};

/// Steps kept for peers that are a few revisions behind.
const MAX_STEPS: usize = 64;
/// Bytes of all kept steps together.
const MAX_HISTORY_BYTES: usize = 256 << 10;

/// An item that was set: `list/id` replaces the item or appends it, `list/id@index` inserts it at an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeltaItem {
    /// Path of the item; a path without `/` names a single field of the document.
    pub path: CompactString,
    /// JSON of the item.
    pub value: Vec<u8>,
}

/// Changes from the document `base` to the document `target`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentDelta {
    /// Digest of the document that the changes apply to.
    pub base: ContentDigest,
    /// Digest of the result.
    pub target: ContentDigest,
    /// Items set, in the order in which they apply, after the removals.
    pub set: Vec<DeltaItem>,
    /// Paths of the items removed.
    pub removed: Vec<CompactString>,
}

/// Why a delta does not apply.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DeltaError {
    /// The path names no list or field of the document.
    #[snafu(display("path {path:?} names nothing in the document"))]
    Path {
        /// The path.
        path: CompactString,
    },
    /// The value is no item of that list.
    #[snafu(display("value at {path:?} cannot be read: {source}"))]
    Value {
        /// The path.
        path: CompactString,
        /// What the parser said.
        source: serde_json::Error,
    },
    /// The delta applies to another document, or the result is not the target.
    #[snafu(display("the result has digest {found}, expected {expected}"))]
    Mismatch {
        /// Digest of the result or of the base held.
        found: ContentDigest,
        /// Digest that the delta names.
        expected: ContentDigest,
    },
}

/// An item of a list that has an id unique in that list.
pub(crate) trait KeyedItem: Clone + DeserializeOwned + PartialEq + Serialize {
    /// Id of the item.
    fn key(&self) -> CompactString;
}

impl DocumentDelta {
    /// Creates a delta without changes.
    #[must_use]
    pub fn new(base: ContentDigest, target: ContentDigest) -> Self {
        Self { base, target, set: Vec::new(), removed: Vec::new() }
    }

    /// Approximate size in a message, in bytes.
    #[must_use]
    pub fn size(&self) -> usize {
        let set: usize = self.set.iter().map(|item| item.path.len() + item.value.len() + 8).sum();
        let removed: usize = self.removed.iter().map(|path| path.len() + 4).sum();
        2 * ContentDigest::LENGTH + set + removed
    }

    /// Records that a single field changed.
    pub(crate) fn set_field<T: PartialEq + Serialize>(&mut self, path: &str, old: &T, new: &T) {
        if old != new {
            self.set.push(DeltaItem { path: path.into(), value: to_json(new) });
        }
    }

    /// Records the changes of a list.
    pub(crate) fn set_list<T: KeyedItem>(&mut self, list: &str, old: &[T], new: &[T]) {
        let new_keys: HashSet<_> = new.iter().map(KeyedItem::key).collect();
        let old_items: HashMap<_, _> = old.iter().map(|item| (item.key(), item)).collect();
        for key in old.iter().map(KeyedItem::key).filter(|key| !new_keys.contains(key)) {
            self.removed.push(format_compact!("{list}/{key}"));
        }
        let added_tail =
            new.iter().rev().take_while(|item| !old_items.contains_key(&item.key())).count();
        let tail_start = new.len() - added_tail;
        for (index, item) in new.iter().enumerate() {
            let key = item.key();
            let path = match old_items.get(&key) {
                Some(held) if *held == item => continue,
                None if index < tail_start => format_compact!("{list}/{key}@{index}"),
                _ => format_compact!("{list}/{key}"),
            };
            self.set.push(DeltaItem { path, value: to_json(item) });
        }
    }

    /// Applies the removals and settings of one list to `items`.
    pub(crate) fn apply_list<T: KeyedItem>(
        &self,
        list: &str,
        items: &mut Vec<T>,
    ) -> Result<(), DeltaError> {
        let removed: HashSet<_> =
            self.removed.iter().filter_map(|path| key_in(list, path)).collect();
        if !removed.is_empty() {
            items.retain(|item| !removed.contains(item.key().as_str()));
        }
        let mut changes = Vec::new();
        for change in &self.set {
            let Some(place) = key_in(list, &change.path) else { continue };
            let item: T = serde_json::from_slice(&change.value)
                .context(ValueSnafu { path: change.path.clone() })?;
            let index = place.split_once('@').map(|(_, index)| index.parse::<usize>()).transpose();
            let index = index.ok().context(PathSnafu { path: change.path.clone() })?;
            changes.push((index, Some(item)));
        }
        let mut by_key: HashMap<_, _> =
            changes.iter_mut().filter_map(|(_, item)| Some((item.as_ref()?.key(), item))).collect();
        if !by_key.is_empty() {
            for held in items.iter_mut() {
                if let Some(item) = by_key.remove(&held.key()).and_then(Option::take) {
                    *held = item;
                }
            }
        }
        for (index, item) in changes {
            let Some(item) = item else { continue };
            items.insert(index.unwrap_or(items.len()).min(items.len()), item);
        }
        Ok(())
    }

    /// Value of a single field, if the delta sets it.
    pub(crate) fn field<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, DeltaError> {
        let Some(change) = self.set.iter().rev().find(|change| change.path == path) else {
            return Ok(None);
        };
        serde_json::from_slice(&change.value).map(Some).context(ValueSnafu { path })
    }

    /// Fails if a path belongs to none of the `fields` and `lists`.
    pub(crate) fn check_paths(&self, fields: &[&str], lists: &[&str]) -> Result<(), DeltaError> {
        let known = |path: &str, with_fields: bool| match path.split_once('/') {
            Some((list, _)) => lists.contains(&list),
            None => with_fields && fields.contains(&path),
        };
        let unknown = (self.set.iter().map(|change| &change.path).find(|path| !known(path, true)))
            .or_else(|| self.removed.iter().find(|path| !known(path, false)));
        match unknown {
            Some(path) => PathSnafu { path: path.clone() }.fail(),
            None => Ok(()),
        }
    }

    /// True if the delta shifts the indexes of other items. Appended items do not.
    fn moves_items(&self) -> bool {
        !self.removed.is_empty() || self.set.iter().any(|change| change.path.contains('@'))
    }

    /// Appends the changes of `next`, whose base is this delta's target.
    fn extend(&mut self, next: &Self) {
        self.target = next.target;
        for path in &next.removed {
            self.set.retain(|change| bare_path(&change.path) != path);
            if !self.removed.contains(path) {
                self.removed.push(path.clone());
            }
        }
        for change in &next.set {
            let bare = bare_path(&change.path);
            match self.set.iter_mut().find(|held| bare_path(&held.path) == bare) {
                Some(held) => held.value.clone_from(&change.value),
                None => self.set.push(change.clone()),
            }
        }
    }
}

fn key_in<'a>(list: &str, path: &'a str) -> Option<&'a str> {
    path.split_once('/').filter(|(name, _)| *name == list).map(|(_, key)| key)
}

fn bare_path(path: &str) -> &str {
    path.split_once('@').map_or(path, |(bare, _)| bare)
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("items of the documents serialise to JSON")
}

/// Recent steps of one document, from which deltas for peers are composed.
#[derive(Debug, Default)]
pub(crate) struct DeltaHistory {
    steps: VecDeque<DocumentDelta>,
    bytes: usize,
}

impl DeltaHistory {
    /// Adds the step to the document now in force; `None` if no delta describes it.
    pub(crate) fn push(&mut self, step: Option<DocumentDelta>) {
        let Some(step) = step else {
            self.steps.clear();
            self.bytes = 0;
            return;
        };
        self.bytes += step.size();
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.bytes > MAX_HISTORY_BYTES {
            let Some(oldest) = self.steps.pop_front() else { break };
            self.bytes -= oldest.size();
        }
    }

    /// Composes a delta that leads from `base` towards the document in force.
    ///
    /// Two steps that both add or remove items do not compose, because indexes of the second would shift. The delta then
    /// ends before the second one, and the peer asks again from there.
    pub(crate) fn since(&self, base: ContentDigest) -> Option<DocumentDelta> {
        let first = self.steps.iter().position(|step| step.base == base)?;
        let mut composed = self.steps[first].clone();
        for step in self.steps.iter().skip(first + 1) {
            if composed.moves_items() && step.moves_items() {
                break;
            }
            composed.extend(step);
        }
        Some(composed)
    }
}
