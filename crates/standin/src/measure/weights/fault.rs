//! Faults that can be injected into a transfer of weights.

use std::fmt;

/// Fault during a transfer of weights.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum FaultKind {
    /// All chunks from one host, and some from the origin, arrive with a corrupt byte.
    Corrupt,
    /// All chunks from one host, and some from the origin, arrive truncated.
    Truncate,
    /// One host's link is blocked for a quarter of the minimum transfer time.
    Stall,
    /// One host fails and does not come back.
    PeerDies,
    /// One host claims to hold all chunks but serves none.
    PeerLies,
    /// The origin is down from the start; one host in each region holds all chunks.
    OriginDown,
    /// The first weight store refuses every request with a retry delay.
    StoreRefuses,
    /// A newer version replaces the one that is being transferred.
    VersionChange,
    /// A newer version replaces the one that is being transferred, and is rolled back again.
    Rollback,
    /// One host restarts without its chunks.
    Restart,
    /// One host is paused for longer than every timeout.
    Pause,
    /// One region is partitioned from the others for part of the transfer.
    Partition,
}

impl FaultKind {
    /// All faults, in the order in which the command line lists them.
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

    /// Name of the fault on the command line and in the report.
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

    /// Looks up a fault by the name that [`Self::name`] returns.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|fault| fault.name() == name)
    }

    /// Times of the first and the second injection, in multiples of the minimum transfer time. They are far enough
    /// apart for the fault to take effect twice.
    #[must_use]
    pub fn injection_times(self) -> [f64; 2] {
        match self {
            Self::Corrupt | Self::Truncate | Self::PeerLies => [0.0, 0.0],
            Self::OriginDown | Self::StoreRefuses => [0.0, 0.4],
            Self::Restart => [0.1, 0.15],
            Self::Rollback => [0.3, 0.4],
            Self::Partition | Self::Pause | Self::Stall => [0.1, 0.5],
            Self::PeerDies | Self::VersionChange => [0.3, 0.45],
        }
    }

    /// Duration of the fault, in multiples of the minimum transfer time; 0 if the fault has no duration.
    #[must_use]
    pub fn duration(self) -> f64 {
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
