//! Declared versions of models' weights, with the times of their declarations.

use std::{
    collections::HashMap,
    time::{Duration, Instant},
};

use base::ModelId;

use crate::{period::ReceivePeriod, record::WeightsVersion, view::WeightsState};

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
    ) {
        let declarations = self.by_model.entry(model.clone()).or_default();
        if declarations.last().is_none_or(|last| last.version < version) {
            declarations.push(Declaration {
                version,
                declared_at,
                uncertainty: period.length(),
                received: period.end,
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
        }
    }

    /// State of each model's weights.
    pub(crate) fn states(&self) -> impl Iterator<Item = (&ModelId, WeightsState)> {
        self.by_model.iter().map(|(model, known)| (model, weights_state(known)))
    }
}

fn weights_state(declarations: &[Declaration]) -> WeightsState {
    WeightsState::new(declarations.iter().map(|known| (known.version, known.declared_at)).collect())
}
