//! Faults that the simulation injects.

/// Time from the start of a run until the fault is injected.
pub const FAULT_START_S: u64 = 30;
/// Time from the start of a run until the fault is removed.
pub const FAULT_END_S: u64 = 45;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// No fault.
    Steady,
    /// Arrivals grow to 160% of the capacity.
    Burst,
    /// A quarter of the engines restart cold.
    ColdRestart,
    /// A sixth of the engines lose their speed and cache without a restart.
    SilentCold,
    /// A data centre is taken out of service, its engines restart, and it returns cold.
    DataCentreOut,
    /// One engine hangs.
    EngineHang,
    /// All calls to the key-value service fail with an unknown outcome.
    KvUnavailable,
    /// All requests to the rating service fail.
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
    /// Offered load before the fault as a fraction of the capacity. It is low enough for the engines
    /// that remain after the fault.
    pub const fn load(self) -> f64 {
        match self {
            Self::Steady | Self::Burst | Self::KvUnavailable => 0.85,
            Self::RaterUnavailable => 0.70,
            Self::ColdRestart | Self::SilentCold | Self::EngineHang => 0.60,
            Self::DataCentreOut => 0.55,
        }
    }

    /// Time since the start of a run from which the recovery is measured.
    pub const fn recovery_start_s(self) -> u64 {
        match self {
            Self::Burst => FAULT_END_S,
            _ => FAULT_START_S,
        }
    }
}
