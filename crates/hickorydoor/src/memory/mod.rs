//! Memory that a process holds for others: connections, request bodies and responses.
//!
//! [`MemoryBudget`] decides who may hold how much, who waits, and who is refused. Each holder asks
//! before it keeps more bytes, and releases them once they are sent on or dropped.
//!
//! - What a holder may take depends on how much it then holds. A large request body or response is
//!   granted memory while its kind uses at most half of the total, and a request body while all kinds
//!   together use at most three quarters. Small holders may use all but an eighth, the smallest all
//!   of it, and so may responses.
//! - Connections use at most three eighths of the total, and half of it more for those on which
//!   something has arrived.
//! - Those that wait are served smallest size class first, and of the same class and kind the oldest
//!   first; connections the newest first, since a caller that has waited for long may have left. One
//!   that does not fit keeps the later ones of its class and kind waiting.
//! - Each has a deadline, at which it is refused. A request body is refused at the next expiry if
//!   those of its size class that wait would take a quarter of the total.
//! - While others wait, a holder without progress gives its memory up.

pub mod budget;
pub mod counts;
pub mod decision;
pub mod holder;
pub mod kind;
pub mod size_class;

pub use budget::MemoryBudget;
pub use counts::MemoryCounts;
pub use decision::MemoryDecision;
pub use holder::HolderId;
pub use kind::MemoryKind;
pub use size_class::SizeClass;
