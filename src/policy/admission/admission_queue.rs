use {
    crate::names::*,
    std::collections::{BTreeMap, VecDeque},
};

/// Seconds of its rate that a bucket saves up.
const BURST_S: f64 = 1.0;

/// A token bucket whose rate can change while it runs.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    level: f64,
    at_ms: u64,
}

impl TokenBucket {
    /// Starts full.
    pub fn full(rate: f64, now_ms: u64) -> Self {
        Self {
            level: burst(rate),
            at_ms: now_ms,
        }
    }

    /// Takes `amount` if it is there; else says after how many milliseconds it will be.
    ///
    /// # Errors
    ///
    /// Returns the wait in milliseconds.
    pub fn take(&mut self, amount: f64, rate: f64, now_ms: u64) -> Result<(), u64> {
        let elapsed_s = now_ms.saturating_sub(self.at_ms) as f64 / 1_000.0;
        self.level = (self.level + elapsed_s * rate).min(burst(rate));
        self.at_ms = self.at_ms.max(now_ms);
        // A single request may be larger than the burst: it goes when the bucket is full.
        let need = amount.min(burst(rate));
        if self.level >= need {
            self.level -= amount;
            return Ok(());
        }
        if rate <= 0.0 {
            return Err(60_000);
        }
        Err(((need - self.level) / rate * 1_000.0).ceil() as u64)
    }

    /// Corrects an estimate once the true amount is known.
    pub fn correct(&mut self, more: f64) {
        self.level -= more;
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

/// Why a request was not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The row's rate is used up.
    Rate {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The row's concurrency is used up.
    Concurrency {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
    /// The wait for a turn would outlast the deadline.
    Deadline {
        /// When to come back, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Rejection {
    /// Returns when to come back, in milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Self::Rate { retry_after_ms }
            | Self::Concurrency { retry_after_ms }
            | Self::Deadline { retry_after_ms } => *retry_after_ms,
        }
    }
}

/// A row's limits on one daemon: the row's, divided by the domain's live daemons.
#[derive(Clone, Debug)]
pub struct RowLimiter {
    requests: TokenBucket,
    tokens: TokenBucket,
    running: u32,
}

/// The limits that a row gives to one daemon.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowShare {
    /// Requests a second.
    pub rate: f64,
    /// Requests at once.
    pub concurrency: u32,
    /// Tokens a second; 0 for no limit.
    pub tokens_per_s: f64,
}

impl RowShare {
    /// Divides a row's limits by the live daemons of the failure domain.
    pub fn divide(rate: f64, concurrency: u32, tokens_per_s: f64, daemons: usize) -> Self {
        let n = daemons.max(1);
        Self {
            rate: rate / n as f64,
            concurrency: concurrency.div_ceil(n as u32),
            tokens_per_s: tokens_per_s / n as f64,
        }
    }
}

impl RowLimiter {
    /// Starts with full buckets.
    pub fn new(share: &RowShare, now_ms: u64) -> Self {
        Self {
            requests: TokenBucket::full(share.rate, now_ms),
            tokens: TokenBucket::full(share.tokens_per_s, now_ms),
            running: 0,
        }
    }

    /// Admits a request of `tokens` prompt and expected answer tokens.
    ///
    /// # Errors
    ///
    /// Returns the limit that is used up.
    pub fn admit(&mut self, share: &RowShare, tokens: f64, now_ms: u64) -> Result<(), Rejection> {
        if self.running >= share.concurrency {
            return Err(Rejection::Concurrency {
                retry_after_ms: 1_000,
            });
        }
        let rate = |retry_after_ms| Rejection::Rate { retry_after_ms };
        self.requests.take(1.0, share.rate, now_ms).map_err(rate)?;
        if share.tokens_per_s > 0.0 {
            let taken = self.tokens.take(tokens, share.tokens_per_s, now_ms);
            if let Err(wait) = taken {
                self.requests.correct(-1.0);
                return Err(rate(wait));
            }
        }
        self.running += 1;
        Ok(())
    }

    /// Ends an admitted request.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the requests running.
    pub fn running(&self) -> u32 {
        self.running
    }
}

/// A request that waits for its turn.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Waiting {
    ticket: u64,
    deadline_ms: u64,
}

/// Weighted fair sharing of a service's capacity between client accounts.
///
/// Start-time fair queueing: an account's virtual time moves on by cost over
/// weight with each request, and the account that is furthest behind goes next.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    running: u32,
    virtual_time: f64,
    accounts: BTreeMap<ClientAccount, Share>,
    next_ticket: u64,
}

#[derive(Clone, Debug, Default)]
struct Share {
    finish: f64,
    weight: f64,
    queue: VecDeque<Waiting>,
}

/// What a look at the queue gave.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueOutcome {
    /// Tickets that go now.
    pub go: Vec<u64>,
    /// Tickets that were taken out: they can't end in time.
    pub over: Vec<u64>,
}

/// What a request gets when it joins the queue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// It goes at once.
    Now,
    /// It waits under this ticket.
    Wait(u64),
}

impl FairQueue {
    /// Joins the queue of a service that has room for `capacity` requests at once.
    ///
    /// `stay_ms` is how long a request stays on average; a wait and a stay that
    /// can't end before the deadline are refused at once.
    ///
    /// # Errors
    ///
    /// Returns the rejection if the wait would outlast the deadline.
    pub fn join(
        &mut self,
        account: &ClientAccount,
        weight: u32,
        capacity: u32,
        stay_ms: f64,
        now_ms: u64,
        deadline_ms: u64,
    ) -> Result<JoinOutcome, Rejection> {
        let weight = f64::from(weight.max(1));
        if self.running < capacity && self.waiting() == 0 {
            self.start(account, weight);
            return Ok(JoinOutcome::Now);
        }
        let wait_ms = self.expected_wait_ms(account, weight, capacity, stay_ms);
        // A turn that leaves no time to run is worth nothing.
        if now_ms + (wait_ms + stay_ms) as u64 >= deadline_ms {
            return Err(Rejection::Deadline {
                retry_after_ms: wait_ms as u64,
            });
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let share = self.accounts.entry(account.clone()).or_default();
        share.weight = weight;
        share.queue.push_back(Waiting {
            ticket,
            deadline_ms,
        });
        Ok(JoinOutcome::Wait(ticket))
    }

    /// Ends a running request.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Takes a waiting request out, whose caller went away or whose time is over.
    pub fn leave(&mut self, ticket: u64) {
        for share in self.accounts.values_mut() {
            share.queue.retain(|w| w.ticket != ticket);
        }
        self.drop_idle();
    }

    /// Returns the tickets that may go now, and those that are over: their
    /// deadline comes before a stay would end.
    pub fn next(&mut self, capacity: u32, stay_ms: f64, now_ms: u64) -> QueueOutcome {
        let mut turns = QueueOutcome {
            over: self.take_over_tickets(now_ms + stay_ms as u64),
            go: Vec::new(),
        };
        while self.running < capacity {
            let Some(account) = self.furthest_behind() else {
                break;
            };
            let Some(share) = self.accounts.get_mut(&account) else {
                break;
            };
            let weight = share.weight;
            if let Some(w) = share.queue.pop_front() {
                turns.go.push(w.ticket);
            }
            self.start(&account, weight);
        }
        self.drop_idle();
        turns
    }

    fn take_over_tickets(&mut self, earliest_end_ms: u64) -> Vec<u64> {
        let mut over = Vec::new();
        for share in self.accounts.values_mut() {
            share.queue.retain(|w| {
                let in_time = w.deadline_ms > earliest_end_ms;
                if !in_time {
                    over.push(w.ticket);
                }
                in_time
            });
        }
        over
    }

    /// Returns how many requests wait.
    pub fn waiting(&self) -> usize {
        self.accounts.values().map(|s| s.queue.len()).sum()
    }

    /// Returns how many requests run.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn start(&mut self, account: &ClientAccount, weight: f64) {
        self.running += 1;
        let virtual_time = self.virtual_time;
        let share = self.accounts.entry(account.clone()).or_default();
        share.weight = weight;
        let start = share.finish.max(virtual_time);
        share.finish = start + 1.0 / weight;
        self.virtual_time = start;
    }

    fn furthest_behind(&self) -> Option<ClientAccount> {
        self.accounts
            .iter()
            .filter(|(_, s)| !s.queue.is_empty())
            .min_by(|(_, a), (_, b)| {
                let start = |s: &Share| s.finish.max(self.virtual_time);
                start(a).total_cmp(&start(b))
            })
            .map(|(account, _)| account.clone())
    }

    /// An account's own queue drains by its weight's share of the capacity.
    fn expected_wait_ms(
        &self,
        account: &ClientAccount,
        weight: f64,
        capacity: u32,
        stay_ms: f64,
    ) -> f64 {
        let own = self.accounts.get(account).map_or(0, |s| s.queue.len());
        let others: f64 = self
            .accounts
            .iter()
            .filter(|(name, s)| *name != account && !s.queue.is_empty())
            .map(|(_, s)| s.weight)
            .sum();
        let share = weight / (weight + others);
        let per_s = f64::from(capacity.max(1)) / stay_ms.max(1.0) * share;
        (own + 1) as f64 / per_s
    }

    /// An account without waiting requests whose virtual time is past needs no record.
    fn drop_idle(&mut self) {
        let now = self.virtual_time;
        self.accounts
            .retain(|_, s| !s.queue.is_empty() || s.finish > now);
    }
}
