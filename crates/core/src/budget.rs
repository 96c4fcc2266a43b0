//! Budgets of retries and hedges.

/// What one attempt costs, in the unit of [`Budget::level`].
const UNIT: u32 = 100;

/// A number of extra attempts that grows with the dispatches and so stays a fixed share of them.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    percent: u32,
    burst: u32,
    level: u32,
}

impl Budget {
    /// A budget of `percent` of the dispatches that starts empty and saves up at most `burst`.
    pub fn new(percent: u32, burst: u32) -> Budget {
        Budget { percent, burst: burst * UNIT, level: 0 }
    }

    /// The budget with all that it can save up.
    pub fn with_full(self) -> Budget {
        Budget { level: self.burst, ..self }
    }

    /// Changes the most that can be saved up.
    pub fn set_burst(&mut self, burst: u32) {
        self.burst = burst * UNIT;
        self.level = self.level.min(self.burst);
    }

    /// Adds what one dispatch earns.
    pub fn earn(&mut self) {
        self.level = (self.level + self.percent).min(self.burst);
    }

    /// Whether an extra attempt is allowed.
    pub fn has_room(&self) -> bool {
        self.level >= UNIT
    }

    /// Takes one extra attempt, if it is allowed.
    pub fn take(&mut self) -> bool {
        let has_room = self.has_room();
        if has_room {
            self.level -= UNIT;
        }
        has_room
    }
}
