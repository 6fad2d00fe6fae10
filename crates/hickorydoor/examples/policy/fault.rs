//! Faults that the simulation injects.

/// Time of the injection since the start of a run.
pub const FAULT_START_S: u64 = 30;
/// Time at which the fault is removed, since the start of a run.
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
    /// Offered load before the fault as a fraction of the capacity. It is chosen such that the engines
    /// that remain after the fault can serve it.
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
