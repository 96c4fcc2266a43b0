//! The share of each region's capacity that the requests of one region may use.
//!
//! Demand and capacity are normalised: each region's value is divided by the sum over all regions.
//! A region serves its own demand first. What exceeds its capacity goes to the regions with surplus
//! capacity, in proportion to their surplus. Since only proportions count, the shares do not depend
//! on how busy the system is. They change only as fast as demand and capacity do.

/// The share of each region's capacity that requests of region `origin` may use, from 0 to 1.
///
/// `demand` and `capacity` have one value per region, each in any unit.
pub fn shares(origin: usize, demand: &[f64], capacity: &[f64]) -> Vec<f64> {
    let demand = normalise(demand);
    let capacity = normalise(capacity);
    let shortfall = (demand[origin] - capacity[origin]).max(0.0);
    let surplus: Vec<f64> = capacity.iter().zip(&demand).map(|(c, d)| (c - d).max(0.0)).collect();
    let total_surplus: f64 = surplus.iter().sum();
    let share = |(region, &region_capacity): (usize, &f64)| {
        if region_capacity <= 0.0 {
            0.0
        } else if region == origin {
            demand[origin].min(region_capacity) / region_capacity
        } else if total_surplus > 0.0 {
            shortfall * surplus[region] / total_surplus / region_capacity
        } else {
            0.0
        }
    };
    capacity.iter().enumerate().map(share).collect()
}

/// Scales the values to a sum of 1; equal values if the sum is zero.
fn normalise(values: &[f64]) -> Vec<f64> {
    let sum: f64 = values.iter().sum();
    let scaled = |value: &f64| {
        if sum > 0.0 { value / sum } else { 1.0 / values.len() as f64 }
    };
    values.iter().map(scaled).collect()
}
