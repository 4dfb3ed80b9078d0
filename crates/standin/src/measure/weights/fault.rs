//! Faults of a measured transfer, by name.

use std::fmt;

/// What goes wrong while weights are transferred.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// One host's chunks arrive with a wrong byte, and so do some of the origin's.
    Corrupt,
    /// One host's chunks arrive cut short.
    Truncate,
    /// Nothing passes one host's link for a quarter of the shortest duration.
    Stall,
    /// One host dies and does not return.
    PeerDies,
    /// One host claims to hold everything and delivers nothing.
    PeerLies,
    /// The origin is down from the start; one host of each region holds everything.
    OriginDown,
    /// The store that is asked first refuses every request with a retry delay.
    StoreRefuses,
    /// A newer version replaces the one in transfer.
    VersionChange,
    /// A newer version replaces the one in transfer, and is withdrawn again.
    Rollback,
    /// One host restarts and has lost everything.
    Restart,
    /// One host pauses for longer than every timeout.
    Pause,
    /// One region does not reach the others for a part of the transfer.
    Partition,
}

impl FaultKind {
    /// All faults.
    pub const ALL: [Self; 12] = [
        Self::Corrupt,
        Self::Truncate,
        Self::Stall,
        Self::PeerDies,
        Self::PeerLies,
        Self::OriginDown,
        Self::StoreRefuses,
        Self::VersionChange,
        Self::Rollback,
        Self::Restart,
        Self::Pause,
        Self::Partition,
    ];

    /// Name on the command line.
    #[must_use]
    pub fn name(self) -> &'static str {
        match self {
            Self::Corrupt => "corrupt",
            Self::Truncate => "truncate",
            Self::Stall => "stall",
            Self::PeerDies => "peer-dies",
            Self::PeerLies => "peer-lies",
            Self::OriginDown => "origin-down",
            Self::StoreRefuses => "store-refuses",
            Self::VersionChange => "version-change",
            Self::Rollback => "rollback",
            Self::Restart => "restart",
            Self::Pause => "pause",
            Self::Partition => "partition",
        }
    }

    /// Fault of this name.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// When the fault happens the first and the second time, in shortest durations of the transfer. The spans between
    /// them leave room for the fault to take effect twice.
    #[must_use]
    pub fn times(self) -> [f64; 2] {
        match self {
            Self::Corrupt | Self::Truncate | Self::PeerLies => [0.0, 0.0],
            Self::OriginDown | Self::StoreRefuses => [0.0, 0.4],
            Self::Restart => [0.1, 0.15],
            Self::Rollback => [0.3, 0.4],
            Self::Partition | Self::Pause | Self::Stall => [0.1, 0.5],
            Self::PeerDies | Self::VersionChange => [0.3, 0.45],
        }
    }

    /// How long the fault lasts, in shortest durations of the transfer.
    #[must_use]
    pub fn span(self) -> f64 {
        match self {
            Self::Stall | Self::Pause | Self::Partition => 0.25,
            Self::Rollback => 0.1,
            _ => 0.0,
        }
    }
}

impl fmt::Display for FaultKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.name())
    }
}
