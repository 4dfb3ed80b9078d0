//! Order between the requests of different urgency.

use shed::RequestRank;

/// Place of a request in the order of dequeueing; the smallest lane goes first. Teams share each lane fairly.
///
/// The order of the fields is the order of comparison.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct WorkLane {
    /// True if the response can no longer be on time. Such requests use only capacity that no other request can use.
    pub is_late: bool,
    /// Rank of the request.
    pub rank: RequestRank,
    /// False if the caller was refused before and returned no sooner than it was told.
    pub is_new: bool,
}

impl WorkLane {
    /// Creates the lane of a request.
    #[must_use]
    pub fn new(rank: RequestRank, is_late: bool, is_returned: bool) -> Self {
        Self { is_late, rank, is_new: !is_returned }
    }
}
