//! Deltas: the items that differ between two versions of a document.
//!
//! A delta saves bandwidth and is not trusted: the receiver compares the digest of the result with the target digest.

use std::collections::{HashMap, HashSet, VecDeque};

use base::ContentDigest;
use compact_str::{CompactString, format_compact};
use serde::{Serialize, de::DeserializeOwned};
use snafu::{OptionExt, ResultExt, Snafu};

/// Maximum number of steps kept for peers that are a few revisions behind.
const MAX_STEPS: usize = 64;
/// Maximum size of all kept steps in bytes.
const MAX_HISTORY_BYTES: usize = 256 << 10;

/// An item to set: `list/id` replaces the item or appends it, `list/id@index` inserts it at an index.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeltaItem {
    /// Path of the item; a path without `/` names a single field of the document.
    pub path: CompactString,
    /// The item as JSON.
    pub value: Vec<u8>,
}

/// Changes from the document `base` to the document `target`.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DocumentDelta {
    /// Digest of the document that the changes apply to.
    pub base: ContentDigest,
    /// Digest of the document that results.
    pub target: ContentDigest,
    /// Items to set, in this order, after the removals.
    pub set: Vec<DeltaItem>,
    /// Paths of the items to remove.
    pub removed: Vec<CompactString>,
}

/// Reason why a delta cannot be applied.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum DeltaError {
    /// The path names no list or field of the document, or contains an invalid index.
    #[snafu(display("path {path:?} does not exist in the document or has an invalid index"))]
    Path {
        /// Path in the delta.
        path: CompactString,
    },
    /// The value is not valid for its path.
    #[snafu(display("cannot parse value at {path:?}: {source}"))]
    Value {
        /// Path in the delta.
        path: CompactString,
        /// Parser error.
        source: serde_json::Error,
    },
    /// The delta has another base, or its result does not have the target digest.
    #[snafu(display("document has digest {found}, delta names {expected}"))]
    Mismatch {
        /// Digest of the document held or of the result.
        found: ContentDigest,
        /// Digest of the base or of the target in the delta.
        expected: ContentDigest,
    },
}

/// An item of a list that has an id unique in that list.
pub(crate) trait KeyedItem: Clone + DeserializeOwned + PartialEq + Serialize {
    /// Returns the id, which identifies the item in its list.
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

    /// Adds a single field of the document if it changed.
    pub(crate) fn diff_field<T: PartialEq + Serialize>(&mut self, path: &str, old: &T, new: &T) {
        if old != new {
            self.set.push(DeltaItem { path: path.into(), value: to_json(new) });
        }
    }

    /// Adds the items of a list that were added, changed or removed.
    pub(crate) fn diff_list<T: KeyedItem>(&mut self, list: &str, old: &[T], new: &[T]) {
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
            self.removed.iter().filter_map(|path| key_in_list(list, path)).collect();
        if !removed.is_empty() {
            items.retain(|item| !removed.contains(item.key().as_str()));
        }
        let mut changes = Vec::new();
        for change in &self.set {
            let Some(key_and_index) = key_in_list(list, &change.path) else { continue };
            let item: T = serde_json::from_slice(&change.value)
                .context(ValueSnafu { path: change.path.clone() })?;
            let index =
                key_and_index.split_once('@').map(|(_, index)| index.parse::<usize>()).transpose();
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

    /// Parses the value of a single field; `None` if the delta does not set it.
    pub(crate) fn field<T: DeserializeOwned>(&self, path: &str) -> Result<Option<T>, DeltaError> {
        let Some(change) = self.set.iter().rev().find(|change| change.path == path) else {
            return Ok(None);
        };
        serde_json::from_slice(&change.value).map(Some).context(ValueSnafu { path })
    }

    /// Fails if a path is neither one of `fields` nor in one of `lists`.
    pub(crate) fn check_paths(&self, fields: &[&str], lists: &[&str]) -> Result<(), DeltaError> {
        let is_known = |path: &str, with_fields: bool| match path.split_once('/') {
            Some((list, _)) => lists.contains(&list),
            None => with_fields && fields.contains(&path),
        };
        let unknown_path =
            (self.set.iter().map(|change| &change.path).find(|path| !is_known(path, true)))
                .or_else(|| self.removed.iter().find(|path| !is_known(path, false)));
        match unknown_path {
            Some(path) => PathSnafu { path: path.clone() }.fail(),
            None => Ok(()),
        }
    }

    /// True if the delta removes or inserts items, which shifts the indexes of other items. Appended items do not.
    fn shifts_indexes(&self) -> bool {
        !self.removed.is_empty() || self.set.iter().any(|change| change.path.contains('@'))
    }

    /// Adds the changes of `next`, whose base is the target of this delta.
    fn append(&mut self, next: &Self) {
        self.target = next.target;
        for path in &next.removed {
            self.set.retain(|change| path_without_index(&change.path) != path);
            if !self.removed.contains(path) {
                self.removed.push(path.clone());
            }
        }
        for change in &next.set {
            let bare = path_without_index(&change.path);
            match self.set.iter_mut().find(|held| path_without_index(&held.path) == bare) {
                Some(held) => held.value.clone_from(&change.value),
                None => self.set.push(change.clone()),
            }
        }
    }
}

fn key_in_list<'a>(list: &str, path: &'a str) -> Option<&'a str> {
    path.split_once('/').filter(|(name, _)| *name == list).map(|(_, key)| key)
}

fn path_without_index(path: &str) -> &str {
    path.split_once('@').map_or(path, |(bare, _)| bare)
}

fn to_json<T: Serialize>(value: &T) -> Vec<u8> {
    serde_json::to_vec(value).expect("items of the documents serialise to JSON")
}

/// Deltas between recent revisions of one document, from which deltas for peers are composed.
#[derive(Debug, Default)]
pub(crate) struct DeltaHistory {
    steps: VecDeque<DocumentDelta>,
    bytes: usize,
}

impl DeltaHistory {
    /// Adds the delta to the document that came into force. `None`, passed if no delta can express the change, clears
    /// the history.
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

    /// Composes a delta from `base` to the document in force, or to a revision before it.
    ///
    /// Two steps that both insert or remove items cannot be composed, because the indexes of the second one would be
    /// wrong. The delta then ends before the second step, and the peer pulls again from there.
    pub(crate) fn delta_from(&self, base: ContentDigest) -> Option<DocumentDelta> {
        let first = self.steps.iter().position(|step| step.base == base)?;
        let mut composed = self.steps[first].clone();
        for step in self.steps.iter().skip(first + 1) {
            if composed.shifts_indexes() && step.shifts_indexes() {
                break;
            }
            composed.append(step);
        }
        Some(composed)
    }
}
