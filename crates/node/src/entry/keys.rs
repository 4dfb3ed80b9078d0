//! Issues keys for requests that must run at most once.

use std::{sync::Arc, time::Duration};

use base::{Outcome, RefusalReason, ServiceId, TeamId};
use config::FleetConfig;
use once::{KeyOwner, KeySigner, RecordOptions, RequestKey};
use serde::{Deserialize, Serialize};

use super::{
    forward::{ForwardRefusal, Forwarder},
    request::{CallerError, check_team},
};

/// Maximum number of keys in one response: enough for the bookings of one visit, but not for those of a whole day.
const MAX_KEYS: usize = 64;

/// Body of `POST /v1/keys`.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
pub struct IssueKeysRequest {
    service: ServiceId,
    team: TeamId,
    #[serde(default = "one")]
    count: usize,
}

/// Body of the response to `POST /v1/keys`.
#[derive(Debug, Serialize)]
pub struct IssueKeysResponse {
    keys: Vec<String>,
    valid_ms: u64,
}

fn one() -> usize {
    1
}

impl IssueKeysRequest {
    /// Parses and validates the body of a request for keys.
    ///
    /// # Errors
    /// Fails if the body is malformed, the team or service is not registered, or the count is out of range.
    pub fn parse(body: &[u8], config: &FleetConfig) -> Result<Self, CallerError> {
        let request: Self = serde_json::from_slice(body).map_err(|_| {
            let detail = "the body has to be a JSON object with `service`, `team` and `count`";
            CallerError::new("bad_body", detail)
        })?;
        check_team(&request.team, config)?;
        if config.service(&request.service).is_none() {
            return Err(CallerError::not_found("unknown_service", "the service is not registered"));
        }
        if !(1..=MAX_KEYS).contains(&request.count) {
            return Err(CallerError::new("bad_count", "`count` has to be a number from 1 to 64"));
        }
        Ok(request)
    }

    /// Issues the keys. Their owners are the ready upstreams of the service in turn.
    ///
    /// # Errors
    /// Fails if no upstream of the service is ready, or the view of the fleet is being refreshed.
    pub fn issue(
        &self,
        forwarder: &Arc<Forwarder>,
        signer: &KeySigner,
    ) -> Result<IssueKeysResponse, ForwardRefusal> {
        let refuse = |reason| ForwardRefusal::new(Outcome::NotRun, reason);
        if forwarder.fresh_view().is_none() {
            return Err(refuse(RefusalReason::Refreshing));
        }
        let now = forwarder.context.clock.now();
        let owners = {
            let state = &mut *forwarder.state.lock();
            state.upstreams.choose_owners(now, &mut state.rng, &self.service, self.count)
        };
        if owners.is_empty() {
            return Err(refuse(RefusalReason::NoUpstream));
        }
        // Keys give access to the responses of their requests, so they come from a cryptographically secure generator
        // that is seeded by the operating system.
        let mut random = rand::rng();
        let keys = owners.into_iter().map(|owner| {
            let name = KeyOwner::new(owner.upstream, owner.incarnation);
            signer.sign(&RequestKey::new(self.service.clone(), name, owner.uptime, &mut random))
        });
        let valid: Duration = RecordOptions::default().validity;
        let valid_ms = u64::try_from(valid.as_millis()).unwrap_or(u64::MAX);
        Ok(IssueKeysResponse { keys: keys.collect(), valid_ms })
    }
}
