//! Evidence that the engines of a version are slower, from the pace of their streams.
//!
//! An engine takes the same time for each of its steps, but for those in which it reads prompts or
//! runs larger models too. So the streams of a sound engine differ, and some of them run at full
//! pace; of a slow one, hardly any does. Sound engines differ in how many do, since their load and
//! their speed differ.

/// Streams of a group of upstreams whose pace was measured.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PacedStreams {
    /// All of them.
    pub all: u32,
    /// Those at full pace.
    pub at_full_pace: u32,
}

/// How the share of the streams at full pace is distributed over groups: a beta distribution.
#[derive(Clone, Copy, Debug)]
struct FullPaceShare {
    mean: f64,
    concentration: f64,
}

/// Concentration of the shares of sound groups.
const SOUND_CONCENTRATION: f64 = 4.0;
/// Shares of the groups of a slow version.
const SLOW: FullPaceShare = FullPaceShare { mean: 0.02, concentration: 50.0 };
/// Probability that a group of a sound version is slow by itself.
const SLOW_GROUP_SHARE: f64 = 0.05;
/// Streams of the baseline below which nothing is compared.
const MIN_BASELINE_STREAMS: u32 = 8;
/// Share of the streams of the baseline at full pace below which the lack of such streams says
/// nothing.
const MIN_USUAL_SHARE: f64 = 0.08;
/// Streams of a group up to which further ones add evidence.
const MAX_GROUP_STREAMS: u32 = 400;

/// Returns the natural logarithm of the Bayes factor that the version is slow; `None` if the pace of
/// the streams can't be compared.
pub fn log_pace_factor(baseline: PacedStreams, target: &[PacedStreams]) -> Option<f64> {
    let usual = (f64::from(baseline.at_full_pace) + 1.0) / (f64::from(baseline.all) + 2.0);
    if baseline.all < MIN_BASELINE_STREAMS || usual < MIN_USUAL_SHARE {
        return None;
    }
    let sound = FullPaceShare { mean: usual, concentration: SOUND_CONCENTRATION };
    let of_group = |group: &PacedStreams| {
        let slow = SLOW.log_likelihood(*group);
        let usual = sound.log_likelihood(*group);
        let highest = slow.max(usual);
        let mixed = (1.0 - SLOW_GROUP_SHARE) * (usual - highest).exp()
            + SLOW_GROUP_SHARE * (slow - highest).exp();
        slow - highest - mixed.ln()
    };
    Some(target.iter().map(of_group).sum())
}

impl FullPaceShare {
    /// Returns the log-likelihood of the streams of a group, by the beta-binomial distribution and
    /// without the number of their orders, which is the same for all shares.
    fn log_likelihood(self, group: PacedStreams) -> f64 {
        let scale = f64::from(MAX_GROUP_STREAMS) / f64::from(group.all.max(MAX_GROUP_STREAMS));
        let full = (f64::from(group.at_full_pace) * scale).round() as u32;
        let slower = (f64::from(group.all) * scale).round() as u32 - full;
        let (a, b) = (self.mean * self.concentration, (1.0 - self.mean) * self.concentration);
        log_rising(a, full) + log_rising(b, slower) - log_rising(a + b, full + slower)
    }
}

/// Returns the logarithm of `from * (from + 1) * ...` with this number of factors.
fn log_rising(from: f64, factors: u32) -> f64 {
    (0..factors).map(|factor| (from + f64::from(factor)).ln()).sum()
}
