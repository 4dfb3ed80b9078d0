//! Callers: teams that send requests at seeded times and check every answer.

mod address_book;
mod answer;
mod request;

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::TeamId;
use compact_str::format_compact;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio_util::{sync::CancellationToken, task::TaskTracker};

use self::request::RequestRun;
pub use self::{address_book::AddressBook, answer::check_stream};
use crate::{
    http_client::HttpClient,
    ledger::{CallLedger, RequestKind},
    platform::engine::POISON,
};

/// Prompts of a team share one of this many prefixes.
const PREFIXES: u32 = 6;
/// Tokens that a prompt asks for.
const TOKENS: std::ops::Range<u64> = 8..40;

/// A team and how much it sends.
#[derive(Clone, Debug)]
pub struct TeamPlan {
    /// Id of the team.
    pub team: TeamId,
    /// Requests a second, on average.
    pub rate: f64,
}

/// What all callers do.
#[derive(Clone, Debug)]
pub struct CallerOptions {
    /// Seed of arrivals and prompts.
    pub seed: u64,
    /// Teams.
    pub teams: Vec<TeamPlan>,
    /// Entries that callers know at first.
    pub entries: Vec<SocketAddr>,
    /// Model that is asked for tokens.
    pub model: String,
    /// Time a caller spends on one request, with all attempts.
    pub deadline: Duration,
    /// Share of calls of the office service.
    pub office_share: f64,
    /// Share of bookings.
    pub booking_share: f64,
}

/// Splits a total rate among `count` teams; the first two are large.
#[must_use]
pub fn team_plans(count: u32, total_rate: f64) -> Vec<TeamPlan> {
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

/// Callers at work.
pub struct CallerFleet {
    ledger: Arc<CallLedger>,
    options: CallerOptions,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl CallerFleet {
    /// Starts all teams.
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
            let team = fleet.team(plan, rng);
            let stop = fleet.stop.clone();
            fleet.tasks.spawn(async move { stop.run_until_cancelled(team.run()).await });
        }
        fleet
    }

    /// Requests that have ended.
    #[must_use]
    pub fn ledger(&self) -> &Arc<CallLedger> {
        &self.ledger
    }

    /// Sends one poison prompt on behalf of the first team, with resends as for any model request.
    pub fn send_poison(&self, number: u32) {
        let Some(plan) = self.options.teams.first() else { return };
        let team = self.team(plan, ChaCha8Rng::seed_from_u64(self.options.seed));
        let prompt = format!("{} poison {number}", POISON);
        team.spawn(RequestKind::Poison, prompt, TOKENS.start);
    }

    /// Stops new requests and waits until those in progress have ended.
    pub async fn finish(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }

    fn team(&self, plan: &TeamPlan, rng: ChaCha8Rng) -> TeamCaller {
        let client = HttpClient::new();
        let entries = self.options.entries.clone();
        TeamCaller {
            plan: plan.clone(),
            options: self.options.clone(),
            book: Arc::new(AddressBook::new(client.clone(), plan.team.clone(), entries)),
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
    book: Arc<AddressBook>,
    client: HttpClient,
    ledger: Arc<CallLedger>,
    tasks: TaskTracker,
    rng: ChaCha8Rng,
}

impl TeamCaller {
    /// Sends requests at exponentially distributed intervals, whether or not earlier ones were answered.
    async fn run(mut self) {
        let mut next_at = tokio::time::Instant::now();
        for number in 0_u64.. {
            let uniform: f64 = self.rng.random();
            next_at += Duration::from_secs_f64(-(1.0 - uniform).ln() / self.plan.rate);
            tokio::time::sleep_until(next_at).await;
            let (kind, reference) = self.next_request(number);
            let max_tokens = self.rng.random_range(TOKENS);
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
            let prefix = self.rng.random_range(0..PREFIXES);
            (RequestKind::Model, format!("{team} standing order {prefix:02}; {seed}-{number}"))
        }
    }

    fn spawn(&self, kind: RequestKind, reference: String, max_tokens: u64) {
        let run = RequestRun::new(
            kind,
            reference,
            max_tokens,
            &self.plan.team,
            &self.options,
            Arc::clone(&self.book),
            self.client.clone(),
        );
        let ledger = Arc::clone(&self.ledger);
        self.tasks.spawn(async move { ledger.push(run.execute().await) });
    }
}
