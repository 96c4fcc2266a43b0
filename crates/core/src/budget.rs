//! Budgets of retries and hedges.

/// What one attempt costs, in the unit of [`Budget::level`].
const ATTEMPT_COST: u32 = 100;

/// A number of extra attempts that grows with the dispatches and so stays a fixed share of them.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    percent: u32,
    burst: u32,
    balance: u32,
}

impl Budget {
    /// A budget of `percent` of the dispatches that starts empty and saves up at most `burst`.
    pub fn new(percent: u32, burst: u32) -> Budget {
        Budget { percent, burst: burst * ATTEMPT_COST, balance: 0 }
    }

    /// The budget with all that it can save up.
    pub fn filled(self) -> Budget {
        Budget { balance: self.burst, ..self }
    }

    /// Changes the most that can be saved up.
    pub fn set_burst(&mut self, burst: u32) {
        self.burst = burst * ATTEMPT_COST;
        self.balance = self.balance.min(self.burst);
    }

    /// Adds what one dispatch earns.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.burst);
    }

    /// Whether an extra attempt is allowed.
    pub fn can_withdraw(&self) -> bool {
        self.balance >= ATTEMPT_COST
    }

    /// Takes one extra attempt, if it is allowed.
    pub fn try_withdraw(&mut self) -> bool {
        let can_withdraw = self.can_withdraw();
        if can_withdraw {
            self.balance -= ATTEMPT_COST;
        }
        can_withdraw
    }
}
