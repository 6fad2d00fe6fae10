//! Amounts by rank, such as milliseconds of prefill. Ranks are few, so they are kept in one short
//! list.

use smallvec::SmallVec;

/// Sums by rank; rank 0 is the most urgent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RankWork {
    ranks: SmallVec<[(u8, f64); 4]>,
}

impl RankWork {
    /// Adds an amount of a rank.
    pub fn add(&mut self, rank: u8, amount: f64) {
        match self.ranks.iter_mut().find(|(known, _)| *known == rank) {
            Some((_, sum)) => *sum += amount,
            None => self.ranks.push((rank, amount)),
        }
    }

    /// Takes away an amount that was added before.
    pub fn remove(&mut self, rank: u8, amount: f64) {
        if let Some((_, sum)) = self.ranks.iter_mut().find(|(known, _)| *known == rank) {
            *sum = (*sum - amount).max(0.0);
        }
    }

    /// Multiplies the amounts of all ranks.
    pub fn scale(&mut self, factor: f64) {
        for (_, sum) in &mut self.ranks {
            *sum *= factor;
        }
    }

    /// Returns the amount of one rank.
    pub fn of_rank(&self, rank: u8) -> f64 {
        self.sum(|known| known == rank)
    }

    /// Returns the amount of the ranks that are as urgent as `rank` or more.
    pub fn as_urgent(&self, rank: u8) -> f64 {
        self.sum(|known| known <= rank)
    }

    /// Returns the amount of the ranks that are more urgent than `rank`.
    pub fn more_urgent(&self, rank: u8) -> f64 {
        self.sum(|known| known < rank)
    }

    /// Returns the amount of all ranks.
    pub fn total(&self) -> f64 {
        self.sum(|_| true)
    }

    /// Returns the ranks.
    pub fn ranks(&self) -> impl Iterator<Item = u8> {
        self.ranks.iter().map(|(rank, _)| *rank)
    }

    fn sum(&self, selected: impl Fn(u8) -> bool) -> f64 {
        self.ranks.iter().filter(|(rank, _)| selected(*rank)).map(|(_, sum)| sum).sum()
    }
}
