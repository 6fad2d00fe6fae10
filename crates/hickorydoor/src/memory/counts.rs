//! What has become of requests for memory, for metrics.

/// Requests for memory of one kind since the start that were not granted at once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryCounts {
    /// Requests that had to wait.
    pub waited: u64,
    /// Requests that were refused after that.
    pub refused: u64,
    /// Holders that had to give way to others.
    pub evicted: u64,
}
