//! Budgets that limit retries and hedges to a share of the dispatches.

/// Price of one extra attempt, in hundredths of an attempt as all amounts of a budget.
const ATTEMPT_COST: u32 = 100;

/// A token bucket of extra attempts. Each dispatch deposits a fixed fraction of an attempt.
#[derive(Debug, Clone, Copy)]
pub struct Budget {
    percent: u32,
    burst: u32,
    balance: u32,
}

impl Budget {
    /// An empty budget of `percent` of the dispatches that holds at most `burst` attempts.
    pub fn new(percent: u32, burst: u32) -> Budget {
        Budget { percent, burst: burst * ATTEMPT_COST, balance: 0 }
    }

    /// The budget with a full balance.
    pub fn filled(self) -> Budget {
        Budget { balance: self.burst, ..self }
    }

    /// Sets the maximum balance to `burst` attempts.
    pub fn set_burst(&mut self, burst: u32) {
        self.burst = burst * ATTEMPT_COST;
        self.balance = self.balance.min(self.burst);
    }

    /// Adds the deposit of one dispatch.
    pub fn deposit(&mut self) {
        self.balance = (self.balance + self.percent).min(self.burst);
    }

    /// Whether the balance allows an extra attempt.
    pub fn can_withdraw(&self) -> bool {
        self.balance >= ATTEMPT_COST
    }

    /// Withdraws one extra attempt. Returns whether the balance allowed it.
    pub fn try_withdraw(&mut self) -> bool {
        let can_withdraw = self.can_withdraw();
        if can_withdraw {
            self.balance -= ATTEMPT_COST;
        }
        can_withdraw
    }
}
