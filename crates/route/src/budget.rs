//! Retry budget, which limits retries to a fraction of successes so that the failure of many upstreams does not cause a
//! retry storm.

use std::collections::HashMap;

use base::TeamId;

/// Limits of a [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct RetryOptions {
    /// Maximum number of attempts of one request, including the first.
    pub max_attempts: u32,
    /// Tokens earned by one success, in thousandths of a retry.
    pub earned_per_success: u64,
    /// Maximum number of retries that a team can accumulate. Its bucket starts full.
    pub team_capacity: u64,
    /// Maximum number of retries that all teams together can accumulate. The overall bucket starts full.
    pub overall_capacity: u64,
    /// Maximum number of teams with a bucket of their own. Further teams share one bucket.
    pub max_teams: usize,
}

impl Default for RetryOptions {
    fn default() -> Self {
        // Earning a tenth of a retry per success limits the additional load to 10%. The initial reserves cover the
        // requests in flight on a single lost upstream.
        Self {
            max_attempts: 3,
            earned_per_success: 100,
            team_capacity: 16,
            overall_capacity: 64,
            max_teams: 256,
        }
    }
}

/// Tokens taken by one retry: tokens are counted in thousandths of a retry.
const RETRY_COST: u64 = 1_000;

/// Token bucket of one team, or of all teams together.
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

/// Decides whether a failed request may be retried.
#[derive(Debug)]
pub struct RetryBudget {
    options: RetryOptions,
    overall: TokenBucket,
    /// Bucket shared by all teams beyond `max_teams`.
    other_teams: TokenBucket,
    teams: HashMap<TeamId, TokenBucket>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(RetryOptions::default())
    }
}

impl RetryBudget {
    /// Creates a budget in which every bucket is full.
    #[must_use]
    pub fn new(options: RetryOptions) -> Self {
        Self {
            options,
            overall: TokenBucket::new(options.overall_capacity),
            other_teams: TokenBucket::new(options.team_capacity),
            teams: HashMap::new(),
        }
    }

    /// Records a successful request, which earns a fraction of a retry for its team and overall.
    pub fn record_success(&mut self, team: &TeamId) {
        let earned = self.options.earned_per_success;
        self.overall.earn(earned);
        self.team_mut(team).earn(earned);
    }

    /// Takes one retry from the budget for a request that has had `attempts` attempts so far. Returns false, and takes
    /// nothing, if the request may not be retried.
    pub fn take_retry(&mut self, team: &TeamId, attempts: u32) -> bool {
        let has_tokens =
            self.overall.tokens >= RETRY_COST && self.team_mut(team).tokens >= RETRY_COST;
        if attempts >= self.options.max_attempts || !has_tokens {
            return false;
        }
        self.overall.tokens -= RETRY_COST;
        self.team_mut(team).tokens -= RETRY_COST;
        true
    }

    fn team_mut(&mut self, team: &TeamId) -> &mut TokenBucket {
        if !self.teams.contains_key(team) {
            if self.teams.len() >= self.options.max_teams {
                return &mut self.other_teams;
            }
            let bucket = TokenBucket::new(self.options.team_capacity);
            self.teams.insert(team.clone(), bucket);
        }
        self.teams.get_mut(team).unwrap_or(&mut self.other_teams)
    }
}
