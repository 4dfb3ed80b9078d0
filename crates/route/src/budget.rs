//! Retry budget: retries are a fraction of successes, so that a failure of many upstreams causes no storm.

use std::collections::HashMap;

use base::TeamId;

/// Limits of a [`RetryBudget`]. Tokens are counted in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// Attempts of one request at most, the first one included.
    pub max_attempts: u32,
    /// Thousandths of a retry that one success earns.
    pub earned_per_success: u64,
    /// Retries that a team may have saved up; also its reserve at the start.
    pub team_capacity: u64,
    /// Retries that all teams together may have saved up; also the reserve at the start.
    pub overall_capacity: u64,
    /// Teams that are counted apart; further teams share one bucket.
    pub max_teams: usize,
}

impl Default for RetryOptions {
    fn default() -> Self {
        // A tenth of the successes raises the load by a tenth at most, and the reserves cover the requests that one
        // lost upstream had in flight.
        Self {
            max_attempts: 3,
            earned_per_success: 100,
            team_capacity: 16,
            overall_capacity: 64,
            max_teams: 256,
        }
    }
}

/// Cost of a retry in thousandths.
const RETRY_COST: u64 = 1_000;

/// Tokens of one team or of all teams together, in thousandths of a retry.
#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    tokens: u64,
    capacity: u64,
}

impl TokenBucket {
    fn new(retries: u64) -> Self {
        let capacity = retries.saturating_mul(RETRY_COST);
        Self { tokens: capacity, capacity }
    }

    fn earn(&mut self, tokens: u64) {
        self.tokens = self.tokens.saturating_add(tokens).min(self.capacity);
    }
}

/// Decides whether a request may be tried again.
#[derive(Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    overall: TokenBucket,
    others: TokenBucket,
    teams: HashMap<TeamId, TokenBucket>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryOptions::default())
    }
}

impl RetryBudget {
    /// Creates a budget with full reserves.
    #[must_use]
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            overall: TokenBucket::new(options.overall_capacity),
            others: TokenBucket::new(options.team_capacity),
            teams: HashMap::new(),
        }
    }

    /// Earns a fraction of a retry.
    pub fn record_success(&mut self, team: &TeamId) {
        let earned = self.options.earned_per_success;
        self.overall.earn(earned);
        self.team_mut(team).earn(earned);
    }

    /// Takes a retry out of the budget for a request that has been tried `attempts` times; returns false if it may not
    /// be tried again.
    pub fn take_retry(&mut self, team: &TeamId, attempts: u32) -> bool {
        let covered = self.overall.tokens >= RETRY_COST && self.team_mut(team).tokens >= RETRY_COST;
        if attempts >= self.options.max_attempts || !covered {
            return false;
        }
        self.overall.tokens -= RETRY_COST;
        self.team_mut(team).tokens -= RETRY_COST;
        true
    }

    fn team_mut(&mut self, team: &TeamId) -> &mut TokenBucket {
        if !self.teams.contains_key(team) {
            if self.teams.len() >= self.options.max_teams {
                return &mut self.others;
            }
            let bucket = TokenBucket::new(self.options.team_capacity);
            self.teams.insert(team.clone(), bucket);
        }
        self.teams.get_mut(team).unwrap_or(&mut self.others)
    }
}
