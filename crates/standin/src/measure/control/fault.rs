//! Faults of the measurement.

/// What goes wrong after a third of the time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ControlFault {
    /// The configuration service refuses connections for 10 s.
    ServiceDown,
    /// The configuration service keeps answering with one document for 10 s.
    ServiceStale,
    /// The configuration service answers with an older document for 10 s.
    OlderValue,
    /// One data centre reaches neither the others nor the service for 10 s.
    Partition,
    /// A tenth of the nodes stands still for 5 s.
    Pause,
    /// A faulty document is published; the next good one follows after 5 s.
    FaultyDocument,
    /// A tenth of the nodes dies, one every 250 ms, and each is replaced after 1 s under a new address.
    Restart,
}

impl ControlFault {
    /// All faults.
    pub const ALL: [Self; 7] = [
        Self::ServiceDown,
        Self::ServiceStale,
        Self::OlderValue,
        Self::Partition,
        Self::Pause,
        Self::FaultyDocument,
        Self::Restart,
    ];

    /// Name on the command line.
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

    /// Fault of this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }
}
