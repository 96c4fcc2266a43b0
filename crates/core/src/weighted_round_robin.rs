//! Smooth weighted round-robin: each part gets its share within any short run of requests.

/// A rotation of requests between parts.
#[derive(Debug, Clone)]
pub struct WeightedRoundRobin {
    weights: Vec<u32>,
    current_weights: Vec<i64>,
}

impl WeightedRoundRobin {
    /// A rotation by `weights`; none if their sum is zero.
    pub fn new(weights: Vec<u32>) -> Option<WeightedRoundRobin> {
        let is_empty = weights.iter().all(|&weight| weight == 0);
        let current_weights = vec![0; weights.len()];
        (!is_empty).then_some(WeightedRoundRobin { weights, current_weights })
    }

    /// The part of the next request.
    pub fn next_index(&mut self) -> usize {
        let mut total = 0;
        for (current, &weight) in self.current_weights.iter_mut().zip(&self.weights) {
            *current += i64::from(weight);
            total += i64::from(weight);
        }
        let current_weights = self.current_weights.iter().enumerate();
        // A part of weight zero never has positive current, and one part always has.
        let best =
            current_weights.max_by_key(|&(_, &current)| current).map_or(0, |(index, _)| index);
        self.current_weights[best] -= total;
        best
    }
}
