//! Difference between two configurations, including the effect on placement.

use std::collections::BTreeMap;

use compact_str::{CompactString, format_compact};
use serde::Serialize;

use crate::{
    fleet::{FleetConfig, PresetName},
    placement::wanted_models,
};

/// How an item differs between two documents.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ChangeKind {
    /// The item is only in the new document.
    Added,
    /// The item is in both documents, with different fields.
    Changed,
    /// The item is only in the old document.
    Removed,
}

/// One item that differs between two documents.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ItemChange {
    /// Path of the item: `list/id`.
    pub path: CompactString,
    /// Whether the item was added, changed or removed.
    pub kind: ChangeKind,
    /// Fields that differ, with old and new values; empty if the item was added or removed.
    pub fields: Vec<FieldChange>,
}

/// One field of an item that differs between two documents.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct FieldChange {
    /// Name of the field.
    pub field: CompactString,
    /// Old value as JSON; `null` if the field was absent.
    pub old: CompactString,
    /// New value as JSON; `null` if the field is absent.
    pub new: CompactString,
}

/// Effect of publishing a new configuration.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct ConfigDiff {
    /// Items that differ, sorted by path.
    pub changes: Vec<ItemChange>,
    /// Old and new preset; `None` if the preset does not change.
    pub preset: Option<(PresetName, PresetName)>,
    /// Number of upstreams that have to fetch weights which the old configuration does not place on them.
    pub transfers: usize,
    /// Total size of these weights in bytes.
    pub transfer_bytes: u64,
    /// True if the new revision is higher than the old one; otherwise no process adopts the document.
    #[serde(rename = "revision_rises")]
    pub is_newer_revision: bool,
}

impl ConfigDiff {
    /// Compares two documents and the placements that follow from them.
    #[must_use]
    pub fn new(old: &FleetConfig, new: &FleetConfig) -> Self {
        let (transfers, transfer_bytes) = count_transfers(old, new);
        Self {
            changes: compare(&flatten(old), &flatten(new)),
            preset: (old.preset != new.preset).then_some((old.preset, new.preset)),
            transfers,
            transfer_bytes,
            is_newer_revision: new.revision > old.revision,
        }
    }
}

/// Items as JSON objects, by path.
type ItemMap = BTreeMap<CompactString, serde_json::Value>;

fn flatten(config: &FleetConfig) -> ItemMap {
    let mut items = ItemMap::new();
    let serde_json::Value::Object(document) = serde_json::to_value(config).unwrap_or_default()
    else {
        return items;
    };
    for (section, value) in document {
        let serde_json::Value::Array(list) = value else { continue };
        for item in list {
            let id = item.get("id").and_then(serde_json::Value::as_str).unwrap_or_default();
            items.insert(format_compact!("{section}/{id}"), item);
        }
    }
    items
}

fn compare(old: &ItemMap, new: &ItemMap) -> Vec<ItemChange> {
    let removed = old.keys().filter(|path| !new.contains_key(*path)).map(|path| ItemChange {
        path: path.clone(),
        kind: ChangeKind::Removed,
        fields: Vec::new(),
    });
    let present = new.iter().filter_map(|(path, value)| match old.get(path) {
        None => {
            Some(ItemChange { path: path.clone(), kind: ChangeKind::Added, fields: Vec::new() })
        }
        Some(before) if before == value => None,
        Some(before) => Some(ItemChange {
            path: path.clone(),
            kind: ChangeKind::Changed,
            fields: compare_fields(before, value),
        }),
    });
    let mut changes: Vec<_> = removed.chain(present).collect();
    changes.sort_by(|left, right| left.path.cmp(&right.path));
    changes
}

fn compare_fields(old: &serde_json::Value, new: &serde_json::Value) -> Vec<FieldChange> {
    let null = serde_json::Value::Null;
    let keys = |value: &serde_json::Value| {
        value.as_object().map(|map| map.keys().cloned().collect::<Vec<_>>())
    };
    let mut fields = [keys(old), keys(new)].into_iter().flatten().flatten().collect::<Vec<_>>();
    fields.sort_unstable();
    fields.dedup();
    fields
        .into_iter()
        .map(|field| (old.get(&field).unwrap_or(&null), new.get(&field).unwrap_or(&null), field))
        .filter(|(before, after, _)| before != after)
        .map(|(before, after, field)| FieldChange {
            field: field.into(),
            old: format_compact!("{before}"),
            new: format_compact!("{after}"),
        })
        .collect()
}

fn count_transfers(old: &FleetConfig, new: &FleetConfig) -> (usize, u64) {
    let mut transfers = 0;
    let mut transfer_bytes = 0;
    for upstream in &new.upstreams {
        let before =
            old.upstream(&upstream.id).map(|record| wanted_models(old, record)).unwrap_or_default();
        let wanted = wanted_models(new, upstream);
        let missing =
            wanted.iter().filter(|model| before.iter().all(|held| held.manifest != model.manifest));
        let bytes: u64 = missing.map(|model| model.size_bytes).sum();
        transfers += usize::from(bytes > 0);
        transfer_bytes += bytes;
    }
    (transfers, transfer_bytes)
}
