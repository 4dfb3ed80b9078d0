//! Plans of `measure serve`: what happens to the fleet while callers send.

use std::{fmt, str::FromStr, time::Duration};

use crate::{
    caller::CallerFleet,
    error::StandinError,
    fleet::{FleetPlatform, StandinFleet, layout::set_out},
    naive::NaiveForwarder,
    observer::OutWindow,
};

/// Time from the start of the load until the first event.
const QUIET_TIME: Duration = Duration::from_secs(2);
/// Time that a data centre is out or separated.
const EVENT_TIME: Duration = Duration::from_secs(5);
/// Time from the last event to the end of the load.
const RECOVERY_TIME: Duration = Duration::from_secs(3);
/// Poison requests of one run.
const POISON_REQUESTS: u32 = 2;
/// Upstreams that one request may crash.
const CRASHES_PER_REQUEST: u32 = 2;
/// Hosts that restart at the same time; an entry takes longer, as it waits until its address answers have expired.
const ENTRIES_AT_A_TIME: usize = 4;
const AGENTS_AT_A_TIME: usize = 3;
/// Pause between the restarts of two groups of hosts.
const RESTART_PAUSE: Duration = Duration::from_millis(150);

/// Plan of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ServePlan {
    /// A data centre is taken out and brought back.
    DcMove,
    /// A burst meets a fleet that has just started.
    ColdBurst,
    /// A request crashes each engine that runs it, and its caller sends it again.
    CrashRequest,
    /// A data centre loses contact with the others.
    Partition,
    /// Every entry and agent is restarted gracefully.
    RestartAll,
}

/// The system under measurement.
pub enum ServeSubject<'a> {
    /// Entries and agents.
    Fleet(&'a StandinFleet),
    /// The naive version.
    Naive(&'a NaiveForwarder),
}

impl ServePlan {
    /// All plans.
    pub const ALL: [Self; 5] =
        [Self::DcMove, Self::ColdBurst, Self::CrashRequest, Self::Partition, Self::RestartAll];

    /// Name on the command line.
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

    /// Requests a second, unless the command line says otherwise.
    ///
    /// 16 engines bear 256 requests of 0.4 s when warm and 64 of 0.3 s when cold: 640 and 210 a second. A burst lies
    /// between them; the other plans leave room for the loss of a third of the fleet.
    #[must_use]
    pub fn default_rate(self) -> f64 {
        if self == Self::ColdBurst { 500.0 } else { 120.0 }
    }

    /// Upstreams that the plan's own requests may crash.
    #[must_use]
    pub fn allowed_crashes(self) -> u32 {
        if self == Self::CrashRequest { POISON_REQUESTS * CRASHES_PER_REQUEST } else { 0 }
    }

    /// True if the run starts with upstreams that bear their warm limit.
    #[must_use]
    pub fn starts_warm(self) -> bool {
        self != Self::ColdBurst
    }

    /// Carries out the events; returns the windows in which a data centre was out.
    ///
    /// # Errors
    /// Fails if a process does not start again.
    pub async fn carry_out(
        self,
        platform: &FleetPlatform,
        subject: &ServeSubject<'_>,
        callers: &CallerFleet,
    ) -> Result<Vec<OutWindow>, StandinError> {
        tokio::time::sleep(QUIET_TIME).await;
        let data_centre = platform.layout.options.data_centres[0].clone();
        let mut windows = Vec::new();
        match self {
            Self::DcMove => {
                let out_at = platform.publish(|config| set_out(config, &data_centre, true));
                tokio::time::sleep(EVENT_TIME).await;
                let back_at = platform.publish(|config| set_out(config, &data_centre, false));
                windows.push(OutWindow { data_centre, out_at, back_at });
            }
            Self::ColdBurst => tokio::time::sleep(EVENT_TIME).await,
            Self::CrashRequest => {
                (1..=POISON_REQUESTS).for_each(|number| callers.send_poison(number));
                tokio::time::sleep(EVENT_TIME).await;
            }
            Self::Partition => {
                subject.set_separated(&data_centre, true);
                tokio::time::sleep(EVENT_TIME).await;
                subject.set_separated(&data_centre, false);
            }
            Self::RestartAll => subject.restart_all().await?,
        }
        tokio::time::sleep(RECOVERY_TIME).await;
        Ok(windows)
    }
}

impl ServeSubject<'_> {
    /// True for the naive version.
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
                let entries = in_groups(layout.entries.len(), ENTRIES_AT_A_TIME, |index| {
                    fleet.restart_entry(index)
                });
                let agents = in_groups(layout.agents.len(), AGENTS_AT_A_TIME, |index| {
                    fleet.restart_agent(index)
                });
                futures_util::try_join!(entries, agents).map(drop)
            }
            Self::Naive(forwarder) => {
                forwarder.restart();
                tokio::time::sleep(EVENT_TIME).await;
                Ok(())
            }
        }
    }
}

/// Restarts hosts in groups, with a pause after each group.
async fn in_groups<F>(
    count: usize,
    group: usize,
    restart: impl Fn(usize) -> F,
) -> Result<(), StandinError>
where
    F: Future<Output = Result<(), StandinError>>,
{
    for start in (0..count).step_by(group) {
        let hosts = (start..count.min(start + group)).map(&restart);
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
