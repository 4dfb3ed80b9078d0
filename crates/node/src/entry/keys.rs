//! Issues request keys.

use std::{sync::Arc, time::Duration};

use base::{Outcome, RefusalReason, ServiceId, TeamId};
use config::FleetConfig;
use once::{KeyOwner, KeySigner, RecordOptions, RequestKey};
use serde::{Deserialize, Serialize};

use super::{
    forward::{ForwardRefusal, Forwarder},
    request::{CallerError, check_team},
};

/// Keys of one request at most; a caller draws keys for the bookings of one visit, not for a whole day.
const MAX_KEYS: usize = 64;

/// What a caller sends.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct KeyOrder {
    service: ServiceId,
    team: TeamId,
    #[serde(default = "one")]
    count: usize,
}

/// What it gets.
#[derive(Debug, Serialize)]
pub struct KeyGrant {
    keys: Vec<String>,
    valid_ms: u64,
}

fn one() -> usize {
    1
}

impl KeyOrder {
    /// Reads and checks an order.
    ///
    /// # Errors
    /// Fails if the body has another shape, or the team or service is not registered.
    pub fn parse(body: &[u8], config: &FleetConfig) -> Result<Self, CallerError> {
        let order: Self = serde_json::from_slice(body).map_err(|_| {
            let detail = "the body is a JSON object with `service`, `team` and `count`";
            CallerError::new("bad_body", detail)
        })?;
        check_team(&order.team, config)?;
        if config.service(&order.service).is_none() {
            return Err(CallerError::not_found("unknown_service", "the service is not registered"));
        }
        if !(1..=MAX_KEYS).contains(&order.count) {
            return Err(CallerError::new("bad_count", "`count` is a number from 1 to 64"));
        }
        Ok(order)
    }

    /// Issues the keys; their owners are all ready upstreams of the service in turn.
    ///
    /// # Errors
    /// Fails if no upstream of the service is ready.
    pub fn issue(
        &self,
        forwarder: &Arc<Forwarder>,
        signer: &KeySigner,
    ) -> Result<KeyGrant, ForwardRefusal> {
        let refuse = |reason| ForwardRefusal::new(Outcome::NotRun, reason);
        if forwarder.fresh_view().is_none() {
            return Err(refuse(RefusalReason::Refreshing));
        }
        let now = forwarder.context.clock.now();
        let owners = {
            let state = &mut *forwarder.state.lock();
            state.board.choose_owners(now, &mut state.rng, &self.service, self.count)
        };
        if owners.is_empty() {
            return Err(refuse(RefusalReason::NoUpstream));
        }
        // Keys are secrets of their callers' requests, so they come from the operating system's generator.
        let mut random = rand::rng();
        let keys = owners.into_iter().map(|owner| {
            let name = KeyOwner::new(owner.upstream, owner.incarnation);
            signer.sign(&RequestKey::new(self.service.clone(), name, owner.uptime, &mut random))
        });
        let valid: Duration = RecordOptions::default().validity;
        let valid_ms = u64::try_from(valid.as_millis()).unwrap_or(u64::MAX);
        Ok(KeyGrant { keys: keys.collect(), valid_ms })
    }
}
