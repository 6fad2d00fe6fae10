//! What of the memory and descriptors of the host the gateway holds for callers.

use std::fmt;
use std::fs;

use hickorydoor::quantity::ByteCount;
use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;

/// Memory of the process at rest.
const REST_MB: u64 = 15;
/// Smallest memory in which the gateway can work.
const MIN_MEMORY_MB: u64 = 32;
/// Memory that is assumed if neither the settings nor the system state any.
const DEFAULT_MEMORY_MB: u64 = 256;
/// Share of the memory beyond [`REST_MB`] that is held for callers. The rest is for the configuration
/// and the view, the work on requests, and the overhead of the allocator.
const HELD_PERCENT: u64 = 50;
/// Descriptors for ports, peers and the store.
const OWN_DESCRIPTORS: u64 = 64;
/// Smallest number of descriptors with which the gateway can work.
const MIN_DESCRIPTORS: u64 = 128;
/// Descriptors that are assumed if neither the settings nor the system state any.
const DEFAULT_DESCRIPTORS: u64 = 1_024;
/// File in which the system states the memory limit of the process.
const SYSTEM_LIMIT_FILE: &str = "/sys/fs/cgroup/memory.max";

/// The settings state a limit with which the gateway cannot work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemoryLimitsError {
    /// `memory_mb` is too small.
    Memory {
        /// The value in the settings.
        memory_mb: u64,
    },
    /// `max_descriptors` is too small.
    Descriptors {
        /// The value in the settings.
        max_descriptors: u64,
    },
}

impl fmt::Display for MemoryLimitsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Memory { memory_mb } => {
                write!(f, "memory_mb is {memory_mb}, at least {MIN_MEMORY_MB} is needed")
            }
            Self::Descriptors { max_descriptors } => {
                write!(
                    f,
                    "max_descriptors is {max_descriptors}, at least {MIN_DESCRIPTORS} is needed"
                )
            }
        }
    }
}

impl std::error::Error for MemoryLimitsError {}

/// Bounds on what is held for callers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryLimits {
    /// Memory for connections, requests and responses.
    pub held_bytes: ByteCount,
    /// Maximum number of callers' connections.
    pub max_connections: u32,
}

impl MemoryLimits {
    /// Derives the limits from the settings, or from what the system states.
    ///
    /// # Errors
    /// Returns an error if the settings state too little.
    pub fn new(
        memory_mb: Option<u64>,
        max_descriptors: Option<u64>,
    ) -> Result<Self, MemoryLimitsError> {
        if let Some(memory_mb) = memory_mb.filter(|stated| *stated < MIN_MEMORY_MB) {
            return Err(MemoryLimitsError::Memory { memory_mb });
        }
        if let Some(max_descriptors) = max_descriptors.filter(|stated| *stated < MIN_DESCRIPTORS) {
            return Err(MemoryLimitsError::Descriptors { max_descriptors });
        }
        let memory_mb = memory_mb.into_iter().chain(system_memory_mb()).min();
        let memory_mb = memory_mb.unwrap_or(DEFAULT_MEMORY_MB);
        let held_mb = memory_mb.max(MIN_MEMORY_MB) - REST_MB;
        let descriptors = max_descriptors.unwrap_or(u64::MAX).min(system_descriptors());
        let descriptors = descriptors.max(MIN_DESCRIPTORS);
        // A quarter is kept for connections to upstreams, one for each request that runs.
        let connections = descriptors.saturating_sub(descriptors / 4 + OWN_DESCRIPTORS);
        Ok(Self {
            held_bytes: ByteCount::new((held_mb << 20) / 100 * HELD_PERCENT),
            max_connections: connections.min(u64::from(u32::MAX)) as u32,
        })
    }
}

fn system_memory_mb() -> Option<u64> {
    let stated = fs::read_to_string(SYSTEM_LIMIT_FILE).ok()?;
    stated.trim().parse::<u64>().ok().map(|bytes| bytes >> 20)
}

fn system_descriptors() -> u64 {
    getrlimit(Resource::RLIMIT_NOFILE).map_or(DEFAULT_DESCRIPTORS, |(soft, _hard)| soft)
}
