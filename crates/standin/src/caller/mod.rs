//! Callers: teams that send requests at random times, reproducible from a seed, and check every response.

mod address_cache;
mod request;
mod response;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::TeamId;
use compact_str::format_compact;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::request::RequestTask;
pub use self::{address_cache::AddressCache, response::check_stream};
use crate::{
    http_client::HttpClient,
    ledger::{RequestKind, RequestLedger},
    platform::engine::POISON,
};

/// Number of prefixes that the prompts of a team share.
const PREFIX_COUNT: u32 = 6;
/// Range of the number of tokens that a request asks for.
const MAX_TOKENS_RANGE: std::ops::Range<u64> = 8..40;

/// A team and its request rate.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    /// Id of the team.
    pub team: TeamId,
    /// Mean number of requests per second.
    pub rate: f64,
}

/// Options of a [`CallerFleet`].
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Seed for arrivals and prompts.
    pub seed: u64,
    /// Teams that send requests.
    pub teams: Vec<TeamPlan>,
    /// Addresses of the entries that callers query first.
    pub entries: Vec<SocketAddr>,
    /// Id of the model that generates tokens.
    pub model: String,
    /// Deadline of a request, for all its attempts together.
    pub deadline: Duration,
    /// Fraction of requests to the office service, from 0 to 1.
    pub office_share: f64,
    /// Fraction of bookings, from 0 to 1. The remaining requests go to the model.
    pub booking_share: f64,
}

/// Splits a total rate among `count` teams. The first two get 30 % and 20 %, and the others share the rest equally.
#[must_use]
pub fn team_loads(count: u32, total_rate: f64) -> Vec<TeamPlan> {
    const LARGE_SHARES: [f64; 2] = [0.3, 0.2];
    let small =
        (1.0 - LARGE_SHARES.iter().sum::<f64>()) / f64::from(count.saturating_sub(2).max(1));
    (0..count)
        .map(|index| TeamPlan {
            team: format_compact!("team-{:02}", index + 1),
            rate: total_rate * LARGE_SHARES.get(index as usize).copied().unwrap_or(small),
        })
        .collect()
}

/// Running callers of all teams.
pub struct CallerFleet {
    ledger: Arc<RequestLedger>,
    options: CallerOptions,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl CallerFleet {
    /// Starts sending the requests of all teams.
    #[must_use]
    pub fn start(options: CallerOptions) -> Self {
        let fleet = Self {
            ledger: Arc::default(),
            options,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        };
        for (index, plan) in fleet.options.teams.iter().enumerate() {
            let seed = fleet.options.seed.wrapping_mul(1_000).wrapping_add(index as u64);
            let rng = ChaCha8Rng::seed_from_u64(seed);
            let team = fleet.team_caller(plan, rng);
            let stop = fleet.stop.clone();
            fleet.tasks.spawn(async move { stop.run_until_cancelled(team.run()).await });
        }
        fleet
    }

    /// Records of the requests that have ended.
    #[must_use]
    pub fn ledger(&self) -> &Arc<RequestLedger> {
        &self.ledger
    }

    /// Sends a poison prompt on behalf of the first team. It is retried like any model request.
    pub fn send_poison(&self, number: u32) {
        let Some(plan) = self.options.teams.first() else { return };
        let team = self.team_caller(plan, ChaCha8Rng::seed_from_u64(self.options.seed));
        let prompt = format!("{} poison {number}", POISON);
        team.spawn(RequestKind::Poison, prompt, MAX_TOKENS_RANGE.start);
    }

    /// Stops sending new requests and waits until those in progress have ended.
    pub async fn finish(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn team_caller(&self, plan: &TeamPlan, rng: ChaCha8Rng) -> TeamCaller {
        let client = HttpClient::new();
        let entries = self.options.entries.clone();
        TeamCaller {
            plan: plan.clone(),
            options: self.options.clone(),
            addresses: Arc::new(AddressCache::new(client.clone(), plan.team.clone(), entries)),
            client,
            ledger: Arc::clone(&self.ledger),
            tasks: self.tasks.clone(),
            rng,
        }
    }
}

/// The callers of one team.
struct TeamCaller {
    plan: TeamPlan,
    options: CallerOptions,
    addresses: Arc<AddressCache>,
    client: HttpClient,
    ledger: Arc<RequestLedger>,
    tasks: TaskTracker,
    rng: ChaCha8Rng,
}

impl TeamCaller {
    /// Sends requests at exponentially distributed intervals, without waiting for the responses to earlier ones.
    async fn run(mut self) {
        let mut next_at = tokio::time::Instant::now();
        for number in 0_u64.. {
            let uniform: f64 = self.rng.random();
            next_at += Duration::from_secs_f64(-(1.0 - uniform).ln() / self.plan.rate);
            tokio::time::sleep_until(next_at).await;
            let (kind, reference) = self.next_request(number);
            let max_tokens = self.rng.random_range(MAX_TOKENS_RANGE);
            self.spawn(kind, reference, max_tokens);
        }
    }

    fn next_request(&mut self, number: u64) -> (RequestKind, String) {
        let team = &self.plan.team;
        let seed = self.options.seed;
        let choice: f64 = self.rng.random();
        if choice < self.options.booking_share {
            (RequestKind::Booking, format!("{team}-{seed}-booking-{number}"))
        } else if choice < self.options.booking_share + self.options.office_share {
            (RequestKind::Office, format!("{team}-{seed}-office-{number}"))
        } else {
            let prefix = self.rng.random_range(0..PREFIX_COUNT);
            (RequestKind::Model, format!("{team} standing order {prefix:02}; {seed}-{number}"))
        }
    }

    fn spawn(&self, kind: RequestKind, reference: String, max_tokens: u64) {
        let run = RequestTask::new(
            kind,
            reference,
            max_tokens,
            &self.plan.team,
            &self.options,
            Arc::clone(&self.addresses),
            self.client.clone(),
        );
        let ledger = Arc::clone(&self.ledger);
        self.tasks.spawn(async move { ledger.push(run.execute().await) });
    }
}
