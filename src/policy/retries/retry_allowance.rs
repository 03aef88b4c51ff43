/// One daemon's share of the budget for repeated sends to a service.
///
/// Each first send earns a fraction of a repeat; what is not earned comes from
/// a fixed share of the slack. Shares add up to less than the whole budget, so
/// daemons need not talk about it. With more daemons than repeats a share is less
/// than one, and a daemon has a repeat by chance.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    balance: f64,
    cap: f64,
    ratio: f64,
}

impl RetryAllowance {
    /// Starts with the whole share of the slack.
    pub fn new(ratio: f64, slack_share: f64) -> Self {
        Self {
            balance: slack_share,
            cap: slack_share,
            ratio,
        }
    }

    /// Sets the share of the slack: it changes with the number of daemons.
    pub fn set_share(&mut self, slack_share: f64) {
        self.cap = slack_share;
        self.balance = self.balance.min(self.cap);
    }

    /// Notes a first send.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.cap);
    }

    /// Spends a repeat, if one is left. A part of one is spent whole or lost, by a draw
    /// from 0 to 1: those that draw anew until they win would have a whole one each.
    pub fn spend(&mut self, draw: f64) -> bool {
        if self.balance >= 1.0 {
            self.balance -= 1.0;
            return true;
        }
        // A part of a larger share grows to a whole one.
        if self.cap >= 1.0 {
            return false;
        }
        let has_won = draw < self.balance;
        self.balance = 0.0;
        has_won
    }
}
