//! Faults that the experiment injects.

/// When the fault begins.
pub const FAULT_AT_S: u64 = 30;
/// When the fault ends.
pub const FAULT_END_S: u64 = 45;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Nothing happens.
    Steady,
    /// Arrivals grow to 160% of the capacity.
    Burst,
    /// A quarter of the engines restart cold.
    ColdRestart,
    /// A sixth of the engines lose speed and cache without notice.
    SilentCold,
    /// A data centre is taken out, its engines restart, and it returns cold.
    DataCentreOut,
    /// One engine hangs.
    EngineHang,
    /// The key-value service does not answer.
    KvUnavailable,
    /// The rating service does not answer.
    RaterUnavailable,
}

impl Fault {
    pub const ALL: [Self; 8] = [
        Self::Steady,
        Self::Burst,
        Self::ColdRestart,
        Self::SilentCold,
        Self::DataCentreOut,
        Self::EngineHang,
        Self::KvUnavailable,
        Self::RaterUnavailable,
    ];

    pub const fn name(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::Burst => "burst",
            Self::ColdRestart => "cold-restart",
            Self::SilentCold => "silent-cold",
            Self::DataCentreOut => "dc-out-back",
            Self::EngineHang => "engine-hang",
            Self::KvUnavailable => "kv-down",
            Self::RaterUnavailable => "rater-down",
        }
    }
}

impl Fault {
    /// Load before the fault as a share of the capacity; what is left after the fault can carry it.
    pub const fn load(self) -> f64 {
        match self {
            Self::Steady | Self::Burst | Self::KvUnavailable => 0.85,
            Self::RaterUnavailable => 0.70,
            Self::ColdRestart | Self::SilentCold | Self::EngineHang => 0.60,
            Self::DataCentreOut => 0.55,
        }
    }

    /// When the recovery is expected to begin.
    pub const fn recovery_from_s(self) -> u64 {
        match self {
            Self::Burst => FAULT_END_S,
            _ => FAULT_AT_S,
        }
    }
}
