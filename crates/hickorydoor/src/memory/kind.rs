//! What memory is held for.

/// What a holder keeps in memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MemoryKind {
    /// A caller's connection with its buffers.
    Connection,
    /// Buffers and tasks of a connection on which something has arrived.
    ActiveConnection,
    /// Body of a request.
    RequestBody,
    /// Response, until it is sent.
    Response,
}

impl MemoryKind {
    /// All kinds, in the order of their indexes.
    pub const ALL: [Self; 4] =
        [Self::Connection, Self::ActiveConnection, Self::RequestBody, Self::Response];

    /// Returns the name for logs and metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::ActiveConnection => "active_connection",
            Self::RequestBody => "request_body",
            Self::Response => "response",
        }
    }

    pub(super) const fn index(self) -> usize {
        self as usize
    }
}
