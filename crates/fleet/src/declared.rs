//! Declared versions of models' weights, with the times of their declarations.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::ModelId;

use crate::{period::ReceivePeriod, record::WeightsVersion, view::WeightsState};

/// Declarations that a process may have missed before one that it received.
#[derive(Clone, Copy, Debug)]
pub(crate) enum MissedChanges {
    /// It observed all changes.
    None,
    /// It may have missed changes that were made after this time.
    Since(Instant),
    /// It may have missed any changes, because it has just started.
    Any,
}

/// Declaration of a version of a model's weights.
#[derive(Debug)]
struct Declaration {
    version: WeightsVersion,
    /// Earliest time at which it can have been made; `None` if neither this process nor a peer observed it.
    declared_at: Option<Instant>,
    /// Length of the period in which it can have been made, if it is dated.
    uncertainty: Duration,
    /// Time at which this process learned of it.
    received: Instant,
    missed: MissedChanges,
}

/// Declarations by model, in the order in which they were made.
#[derive(Debug, Default)]
pub(crate) struct DeclaredVersions {
    by_model: HashMap<ModelId, Vec<Declaration>>,
}

impl DeclaredVersions {
    /// Records a declaration, unless it is older than a known one.
    pub(crate) fn record(
        &mut self,
        model: &ModelId,
        version: WeightsVersion,
        declared_at: Option<Instant>,
        period: ReceivePeriod,
        missed: MissedChanges,
    ) {
        let declarations = self.by_model.entry(model.clone()).or_default();
        if declarations.last().is_none_or(|last| last.version < version) {
            declarations.push(Declaration {
                version,
                declared_at,
                uncertainty: period.length(),
                received: period.end,
                missed,
            });
        }
    }

    /// Time of a declaration; `None` if it is unknown.
    pub(crate) fn date_of(&self, model: &ModelId, version: WeightsVersion) -> Option<Instant> {
        let declarations = self.by_model.get(model)?;
        declarations.iter().find(|known| known.version == version)?.declared_at
    }

    /// See [`crate::FleetState::poorly_dated`].
    pub(crate) fn poorly_dated(
        &self,
        limit: Duration,
        since: Instant,
    ) -> Vec<(ModelId, WeightsVersion)> {
        let latest = self.by_model.iter().filter_map(|(model, known)| Some((model, known.last()?)));
        latest
            .filter(|(_, latest)| {
                latest.received > since
                    && (latest.declared_at.is_none() || latest.uncertainty > limit)
            })
            .map(|(model, latest)| (model.clone(), latest.version))
            .collect()
    }

    /// See [`crate::FleetState::improve_date`].
    pub(crate) fn improve_date(
        &mut self,
        model: &ModelId,
        version: WeightsVersion,
        period: ReceivePeriod,
        age: Duration,
    ) -> bool {
        let declarations = self.by_model.get_mut(model);
        let known = declarations
            .and_then(|known| known.iter_mut().find(|declaration| declaration.version == version));
        let (Some(known), Some(declared_at)) = (known, period.begin.checked_sub(age)) else {
            return false;
        };
        if known.declared_at.is_some_and(|known_date| known_date >= declared_at) {
            return false;
        }
        known.declared_at = Some(declared_at);
        known.uncertainty = period.length();
        true
    }

    /// Shifts all dates earlier by the time for which the host was suspended since.
    pub(crate) fn record_suspension(&mut self, suspended: Duration) {
        for declaration in self.by_model.values_mut().flatten() {
            declaration.declared_at =
                declaration.declared_at.and_then(|date| date.checked_sub(suspended));
            if let MissedChanges::Since(since) = declaration.missed {
                declaration.missed =
                    since.checked_sub(suspended).map_or(MissedChanges::Any, MissedChanges::Since);
            }
        }
    }

    /// State of each model's weights.
    pub(crate) fn states(&self) -> impl Iterator<Item = (&ModelId, WeightsState)> {
        self.by_model.iter().map(|(model, known)| (model, weights_state(known)))
    }
}

/// A version may have been declared between two that this process knows, unless it observed the later declaration. Such
/// a version counts as declared when the process began to miss changes, or long ago if that is unknown, which limits all
/// versions but the one right before the later declaration.
fn weights_state(declarations: &[Declaration]) -> WeightsState {
    let mut versions: Vec<(WeightsVersion, Option<Instant>)> = Vec::new();
    for declaration in declarations {
        let previous = declaration.version.saturating_sub(1);
        let is_known = versions.last().is_some_and(|(version, _)| *version == previous);
        if !is_known && previous > 0 {
            match declaration.missed {
                MissedChanges::None => {}
                MissedChanges::Since(since) => versions.push((previous, Some(since))),
                MissedChanges::Any => versions.push((previous, None)),
            }
        }
        versions.push((declaration.version, declaration.declared_at));
    }
    WeightsState::new(versions)
}
