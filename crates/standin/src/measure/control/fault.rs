//! Faults that `measure control` can inject.

/// Fault that is injected after a third of the run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlFault {
    /// The configuration service refuses connections for 10 s.
    ServiceDown,
    /// The configuration service keeps returning the same document for 10 s.
    ServiceStale,
    /// The configuration service returns an older document for 10 s.
    OlderValue,
    /// One data centre can reach neither the other data centres nor the service for 10 s.
    Partition,
    /// A tenth of the nodes is paused for 5 s.
    Pause,
    /// An invalid document is published; valid ones follow after 5 s.
    FaultyDocument,
    /// A tenth of the nodes is killed one after another. Each is replaced at a new address after 1 s, and the next one
    /// is killed 250 ms later.
    Restart,
}

impl ControlFault {
    /// All faults, in the order in which the command line lists them.
    pub const ALL: [Self; 7] = [
        Self::ServiceDown,
        Self::ServiceStale,
        Self::OlderValue,
        Self::Partition,
        Self::Pause,
        Self::FaultyDocument,
        Self::Restart,
    ];

    /// Name of the fault on the command line and in the report.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::ServiceDown => "service-down",
            Self::ServiceStale => "service-stale",
            Self::OlderValue => "older-value",
            Self::Partition => "partition",
            Self::Pause => "pause",
            Self::FaultyDocument => "faulty-document",
            Self::Restart => "restart",
        }
    }

    /// Looks up a fault by the name that [`Self::name`] returns.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
