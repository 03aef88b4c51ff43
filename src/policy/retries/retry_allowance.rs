/// One daemon's share of the budget for repeated sends to a service.
///
/// Each first send earns a fraction of a repeat; what is not earned comes from
/// a fixed share of the slack. Shares add up to less than the whole budget, so
/// daemons need not talk about it.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    balance: f64,
    cap: f64,
    ratio: f64,
}

impl RetryAllowance {
    /// Starts with the whole share of the slack.
    pub fn new(ratio: f64, slack_share: f64) -> Self {
        let cap = slack_share.max(1.0);
        Self {
            balance: cap,
            cap,
            ratio,
        }
    }

    /// Sets the share of the slack: it changes with the number of daemons.
    pub fn set_share(&mut self, slack_share: f64) {
        self.cap = slack_share.max(1.0);
        self.balance = self.balance.min(self.cap);
    }

    /// Notes a first send.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.cap);
    }

    /// Spends a repeat, if one is left.
    pub fn spend(&mut self) -> bool {
        if self.balance < 1.0 {
            return false;
        }
        self.balance -= 1.0;
        true
    }
}
