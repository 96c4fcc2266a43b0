//! Smooth weighted round-robin: each choice gets its share within any short run of requests.

/// The state of a smooth weighted round-robin.
#[derive(Debug, Clone)]
pub struct Weighted {
    weights: Vec<u32>,
    current_weights: Vec<i64>,
}

impl Weighted {
    /// Creates a rotation by `weights`. Returns `None` if all weights are zero.
    pub fn new(weights: Vec<u32>) -> Option<Weighted> {
        let is_all_zero = weights.iter().all(|&weight| weight == 0);
        let current_weights = vec![0; weights.len()];
        (!is_all_zero).then_some(Weighted { weights, current_weights })
    }

    /// The index of the weight whose turn it is.
    pub fn next_index(&mut self) -> usize {
        let mut total = 0;
        for (current, &weight) in self.current_weights.iter_mut().zip(&self.weights) {
            *current += i64::from(weight);
            total += i64::from(weight);
        }
        let current_weights = self.current_weights.iter().enumerate();
        // A zero weight never has a positive current weight, and one index always has.
        let best =
            current_weights.max_by_key(|&(_, &current)| current).map_or(0, |(index, _)| index);
        self.current_weights[best] -= total;
        best
    }
}
