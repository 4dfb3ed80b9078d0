//! Plans of `measure serve`: changes and faults of the fleet while callers send requests.

use std::{fmt, str::FromStr, time::Duration};

use crate::{
    caller::CallerFleet,
    error::StandinError,
    fleet::{FleetPlatform, StandinFleet, layout::set_out},
    naive::NaiveForwarder,
    observer::OutWindow,
};

/// Time under load before the first event.
const STEADY_TIME: Duration = Duration::from_secs(2);
/// Time for which a data centre is out of service or partitioned.
const EVENT_DURATION: Duration = Duration::from_secs(5);
/// Time under load after the last event.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Number of poison requests in one run.
const POISON_REQUESTS: u32 = 2;
/// Maximum number of upstreams that one poison request may crash.
const CRASHES_PER_REQUEST: u32 = 2;
/// Number of entries that restart concurrently. An entry takes longer to restart than an agent, as it waits until its
/// address responses have expired.
const CONCURRENT_ENTRY_RESTARTS: usize = 4;
/// Number of agents that restart concurrently.
const CONCURRENT_AGENT_RESTARTS: usize = 3;
/// Pause between the restarts of two groups of hosts.
const RESTART_PAUSE: Duration = Duration::from_millis(150);

/// Sequence of events in a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServePlan {
    /// A data centre is taken out of service and returned to service.
    DcMove,
    /// A burst of requests arrives at a fleet that has just started.
    ColdBurst,
    /// A request crashes each engine that runs it, and its caller retries it.
    CrashRequest,
    /// A data centre is partitioned from the others.
    Partition,
    /// Every entry and agent is restarted gracefully.
    RestartAll,
}

/// System under test.
pub enum ServeSubject<'a> {
    /// A fleet of entries and agents.
    Fleet(&'a StandinFleet),
    /// The naive forwarder.
    Naive(&'a NaiveForwarder),
}

impl ServePlan {
    /// All plans, in the order in which the command line lists them.
    pub const ALL: [Self; 5] =
        [Self::DcMove, Self::ColdBurst, Self::CrashRequest, Self::Partition, Self::RestartAll];

    /// Name of the plan on the command line and in the report.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::DcMove => "dc-move",
            Self::ColdBurst => "cold-burst",
            Self::CrashRequest => "crash-request",
            Self::Partition => "partition",
            Self::RestartAll => "restart-all",
        }
    }

    /// Default number of requests per second.
    ///
    /// 16 engines run 256 concurrent requests of 0.4 s when warm and 64 of 0.3 s when cold, which is 640 and 210
    /// requests per second. The rate of the burst lies between the two; the rate of the other plans leaves room for the
    /// loss of a third of the fleet.
    #[must_use]
    pub fn default_rate(self) -> f64 {
        if self == Self::ColdBurst { 500.0 } else { 120.0 }
    }

    /// Maximum number of upstreams that the plan's poison requests may crash.
    #[must_use]
    pub fn allowed_crashes(self) -> u32 {
        if self == Self::CrashRequest { POISON_REQUESTS * CRASHES_PER_REQUEST } else { 0 }
    }

    /// True if the engines are warmed up before the run.
    #[must_use]
    pub fn starts_warm(self) -> bool {
        self != Self::ColdBurst
    }

    /// Runs the events and returns the periods in which a data centre was out of service.
    ///
    /// # Errors
    /// Fails if a process cannot be restarted.
    pub async fn run_events(
        self,
        platform: &FleetPlatform,
        subject: &ServeSubject<'_>,
        callers: &CallerFleet,
    ) -> Result<Vec<OutWindow>, StandinError> {
        tokio::time::sleep(STEADY_TIME).await;
        let data_centre = platform.layout.options.data_centres[0].clone();
        let mut windows = Vec::new();
        match self {
            Self::DcMove => {
                let out_at = platform.publish(|config| set_out(config, &data_centre, true));
                tokio::time::sleep(EVENT_DURATION).await;
                let back_at = platform.publish(|config| set_out(config, &data_centre, false));
                windows.push(OutWindow { data_centre, out_at, back_at });
            }
            Self::ColdBurst => tokio::time::sleep(EVENT_DURATION).await,
            Self::CrashRequest => {
                (1..=POISON_REQUESTS).for_each(|number| callers.send_poison(number));
                tokio::time::sleep(EVENT_DURATION).await;
            }
            Self::Partition => {
                subject.set_separated(&data_centre, true);
                tokio::time::sleep(EVENT_DURATION).await;
                subject.set_separated(&data_centre, false);
            }
            Self::RestartAll => subject.restart_all().await?,
        }
        tokio::time::sleep(RECOVERY_TIME).await;
        Ok(windows)
    }
}

impl ServeSubject<'_> {
    /// True for the naive forwarder.
    #[must_use]
    pub fn is_naive(&self) -> bool {
        matches!(self, Self::Naive(_))
    }

    fn set_separated(&self, data_centre: &str, separated: bool) {
        match self {
            Self::Fleet(fleet) => fleet.network.set_separated(data_centre, separated),
            Self::Naive(forwarder) => forwarder.set_separated(data_centre, separated),
        }
    }

    async fn restart_all(&self) -> Result<(), StandinError> {
        match self {
            Self::Fleet(fleet) => {
                let layout = &fleet.platform.layout;
                let entries =
                    restart_in_groups(layout.entries.len(), CONCURRENT_ENTRY_RESTARTS, |index| {
                        fleet.restart_entry(index)
                    });
                let agents =
                    restart_in_groups(layout.agents.len(), CONCURRENT_AGENT_RESTARTS, |index| {
                        fleet.restart_agent(index)
                    });
                futures_util::try_join!(entries, agents).map(drop)
            }
            Self::Naive(forwarder) => {
                forwarder.drop_connections();
                tokio::time::sleep(EVENT_DURATION).await;
                Ok(())
            }
        }
    }
}

/// Restarts hosts in groups, with a pause after each group. The hosts of a group restart concurrently.
async fn restart_in_groups<F>(
    count: usize,
    group_size: usize,
    restart: impl Fn(usize) -> F,
) -> Result<(), StandinError>
where
    F: Future<Output = Result<(), StandinError>>,
{
    for start in (0..count).step_by(group_size) {
        let hosts = (start..count.min(start + group_size)).map(&restart);
        futures_util::future::try_join_all(hosts).await?;
        tokio::time::sleep(RESTART_PAUSE).await;
    }
    Ok(())
}

impl fmt::Display for ServePlan {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}

impl FromStr for ServePlan {
    type Err = StandinError;

    fn from_str(text: &str) -> Result<Self, StandinError> {
        let plan = Self::ALL.into_iter().find(|plan| plan.name() == text);
        plan.ok_or_else(|| StandinError::Option {
            option: "plan",
            value: text.to_owned(),
            allowed: "dc-move, cold-burst, crash-request, partition or restart-all",
        })
    }
}
