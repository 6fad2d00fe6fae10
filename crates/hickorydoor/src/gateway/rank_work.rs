//! Amounts by rank, such as milliseconds of prefill. Ranks are few, so they are kept in one short list.

use smallvec::SmallVec;

/// Sums of work by rank; rank 0 is the most urgent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankWork {
    ranks: SmallVec<[(u8, f64); 4]>,
}

impl RankWork {
    /// Adds work of a rank.
    pub fn add(&mut self, rank: u8, work_ms: f64) {
        match self.ranks.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum_ms)) => *sum_ms += work_ms,
            None => self.ranks.push((rank, work_ms)),
        }
    }

    /// Takes away work that was added before.
    pub fn remove(&mut self, rank: u8, work_ms: f64) {
        if let Some((_, sum_ms)) = self.ranks.iter_mut().find(|(known, _)| *known == rank) {
            *sum_ms = (*sum_ms - work_ms).max(0.0);
        }
    }

    /// Multiplies the work of all ranks.
    pub fn scale(&mut self, factor: f64) {
        for (_, sum_ms) in &mut self.ranks {
            *sum_ms *= factor;
        }
    }

    /// Returns the work of one rank.
    pub fn of_rank(&self, rank: u8) -> f64 {
        self.sum_ms(|known| known == rank)
    }

    /// Returns the work that is as urgent as `rank` or more, in ms.
    pub fn as_urgent_ms(&self, rank: u8) -> f64 {
        self.sum_ms(|known| known <= rank)
    }

    /// Returns the work that is more urgent than `rank`, in ms.
    pub fn more_urgent_ms(&self, rank: u8) -> f64 {
        self.sum_ms(|known| known < rank)
    }

    /// Returns the work of all ranks, in ms.
    pub fn total_ms(&self) -> f64 {
        self.sum_ms(|_| true)
    }

    /// Returns the ranks.
    pub fn ranks(&self) -> impl Iterator<Item = u8> {
        self.ranks.iter().map(|(rank, _)| *rank)
    }

    fn sum_ms(&self, selected: impl Fn(u8) -> bool) -> f64 {
        self.ranks.iter().filter(|(rank, _)| selected(*rank)).map(|(_, sum_ms)| sum_ms).sum()
    }
}
