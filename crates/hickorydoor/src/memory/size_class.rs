//! Classes of holders by how much they hold.

use crate::quantity::ByteCount;

/// Most that one of the smallest holders has.
const MAX_TINY_BYTES: u64 = 4 << 10;
/// Most that a small holder has.
const MAX_SMALL_BYTES: u64 = 64 << 10;

/// Class of a holder by what it holds once its request is granted; smaller ones are served first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum SizeClass {
    /// At most 4 KB.
    Tiny,
    /// At most 64 KB.
    Small,
    /// More than 64 KB.
    Large,
}

impl SizeClass {
    /// All classes, in the order in which they are served.
    pub const ALL: [Self; 3] = [Self::Tiny, Self::Small, Self::Large];

    /// Returns the class of a holder of `bytes`.
    pub const fn of(bytes: ByteCount) -> Self {
        if bytes.get() <= MAX_TINY_BYTES {
            Self::Tiny
        } else if bytes.get() <= MAX_SMALL_BYTES {
            Self::Small
        } else {
            Self::Large
        }
    }

    /// Returns how many of the total bytes may be used after a request of this class is granted.
    pub(super) const fn usable_bytes(self, total_bytes: u64) -> u64 {
        match self {
            Self::Tiny => total_bytes,
            Self::Small => total_bytes - total_bytes / 8,
            Self::Large => total_bytes - total_bytes / 4,
        }
    }
}
