/// One daemon's share of the retry budget of a service. Answers outages of upstreams, also while
/// daemons are restarted.
///
/// Each first send earns a fraction of a retry; further retries come from a fixed share of
/// the budget's slack. The shares of all daemons add up to less than the whole budget, so
/// that daemons need not coordinate. If there are more daemons than retries in the slack, a
/// share is less than one retry, and a daemon gets a retry with that probability.
///
/// A daemon that starts does not know what its predecessor spent. It has only the retries that it
/// earns itself until the budget's window has passed since its start; then nothing that its
/// predecessor spent counts any more, and the daemon gets its share of the slack. Times are
/// milliseconds since the daemon's start.
#[derive(Clone, Copy, Debug)]
pub struct RetryAllowance {
    balance: f64,
    cap: f64,
    ratio: f64,
    withheld: Option<WithheldSlack>,
}

/// Slack that a daemon does not have yet.
#[derive(Clone, Copy, Debug)]
struct WithheldSlack {
    until_ms: u64,
    /// The highest balance earned so far. It may have been spent within the window, so that only
    /// the rest of the share is still to come.
    max_balance: f64,
}

impl RetryAllowance {
    /// Makes an allowance that holds its full share of the slack. `ratio` is the fraction of a
    /// retry that each first send earns.
    pub fn new(ratio: f64, slack_share: f64) -> Self {
        Self {
            balance: slack_share,
            cap: slack_share,
            ratio,
            withheld: None,
        }
    }

    /// Makes the allowance of a daemon that may have had a predecessor: it is empty, and gets its
    /// share of the slack at `until_ms`.
    pub fn with_withheld_slack(ratio: f64, slack_share: f64, until_ms: u64) -> Self {
        Self {
            balance: 0.0,
            cap: slack_share,
            ratio,
            withheld: Some(WithheldSlack {
                until_ms,
                max_balance: 0.0,
            }),
        }
    }

    /// Adds the share of the slack once its time has come.
    pub fn release_slack(&mut self, now_ms: u64) {
        let Some(withheld) = self.withheld.filter(|w| now_ms >= w.until_ms) else {
            return;
        };
        self.withheld = None;
        let rest = (self.cap - withheld.max_balance).max(0.0);
        self.balance = (self.balance + rest).min(self.cap);
    }

    /// Sets the share of the slack, which changes with the number of daemons.
    pub fn set_share(&mut self, slack_share: f64) {
        self.cap = slack_share;
        self.balance = self.balance.min(self.cap);
    }

    /// Adds the fraction of a retry that a first send earns.
    pub fn earn(&mut self) {
        self.balance = (self.balance + self.ratio).min(self.cap);
        if let Some(withheld) = &mut self.withheld {
            withheld.max_balance = withheld.max_balance.max(self.balance);
        }
    }

    /// Takes one retry from the allowance and returns whether there was one. `draw` is a
    /// random number from 0 to 1: a balance of less than one retry grants a retry with that
    /// probability and is used up in either case. If it remained after a lost draw, a daemon
    /// could draw until it wins and would get a full retry.
    pub fn spend(&mut self, draw: f64) -> bool {
        if self.balance >= 1.0 {
            self.balance -= 1.0;
            return true;
        }
        // With a share of at least one retry, the balance can grow to a full retry.
        if self.cap >= 1.0 {
            return false;
        }
        let has_won = draw < self.balance;
        self.balance = 0.0;
        has_won
    }
}
