//! Smooth weighted round-robin: already over a few turns, each index gets about the share of turns
//! that its weight gives it.

/// A rotation over the indices of a list of weights.
#[derive(Debug, Clone)]
pub struct RoundRobin {
    weights: Vec<u32>,
    credits: Vec<i64>,
}

impl RoundRobin {
    /// Creates a rotation by `weights`. Returns `None` if all weights are zero.
    pub fn new(weights: Vec<u32>) -> Option<RoundRobin> {
        let is_all_zero = weights.iter().all(|&weight| weight == 0);
        let credits = vec![0; weights.len()];
        (!is_all_zero).then_some(RoundRobin { weights, credits })
    }

    /// Advances by one turn and returns the index whose turn it is.
    pub fn next_index(&mut self) -> usize {
        let mut total = 0;
        for (credit, &weight) in self.credits.iter_mut().zip(&self.weights) {
            *credit += i64::from(weight);
            total += i64::from(weight);
        }
        let credits = self.credits.iter().enumerate();
        // The credits now add up to `total`, so the largest is positive. An index of weight zero never
        // has a positive credit and is therefore never chosen.
        let best = credits.max_by_key(|&(_, &credit)| credit).map_or(0, |(index, _)| index);
        self.credits[best] -= total;
        best
    }
}
