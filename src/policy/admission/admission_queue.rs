use {
    crate::names::*,
    std::collections::{BTreeMap, VecDeque},
};

/// Burst size of a token bucket, in seconds of its rate.
const BURST_S: f64 = 1.0;

/// A token bucket whose rate can change between calls.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Tokens in the bucket; below zero after an amount larger than the burst.
    level: f64,
    /// Time of the last refill, in milliseconds.
    refilled_ms: u64,
}

impl TokenBucket {
    /// Creates a full bucket.
    pub fn full(rate: f64, now_ms: u64) -> Self {
        Self {
            level: burst(rate),
            refilled_ms: now_ms,
        }
    }

    /// Takes `amount` tokens if they are available.
    ///
    /// # Errors
    ///
    /// Returns the time until they are available, in milliseconds.
    pub fn take(&mut self, amount: f64, rate: f64, now_ms: u64) -> Result<(), u64> {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        self.level = (self.level + elapsed_s * rate).min(burst(rate));
        self.refilled_ms = self.refilled_ms.max(now_ms);
        // An amount larger than the burst is granted once the bucket is full; otherwise
        // such a request would never be admitted.
        let need = amount.min(burst(rate));
        if self.level >= need {
            self.level -= amount;
            return Ok(());
        }
        // A bucket without a rate never refills.
        if rate <= 0.0 {
            return Err(60_000);
        }
        Err(((need - self.level) / rate * 1_000.0).ceil() as u64)
    }

    /// Charges the difference to an estimate once the true amount is known; a
    /// negative `extra` gives tokens back.
    pub fn correct(&mut self, extra: f64) {
        self.level -= extra;
    }
}

fn burst(rate: f64) -> f64 {
    (rate * BURST_S).max(1.0)
}

/// Why a request was not admitted.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Rejection {
    /// The row's request rate or token rate is used up.
    Rate {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The row's limit of concurrent requests is reached.
    Concurrency {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
    /// The request can't be finished before its deadline.
    Deadline {
        /// Time after which a retry may succeed, in milliseconds.
        retry_after_ms: u64,
    },
}

impl Rejection {
    /// Returns the time after which a retry may succeed, in milliseconds.
    pub fn retry_after_ms(&self) -> u64 {
        match self {
            Self::Rate { retry_after_ms }
            | Self::Concurrency { retry_after_ms }
            | Self::Deadline { retry_after_ms } => *retry_after_ms,
        }
    }
}

/// Enforces the limits of a table row on one daemon, which gets the row's limits
/// divided by the live daemons of the failure domain.
#[derive(Clone, Debug)]
pub struct RowLimiter {
    requests: TokenBucket,
    tokens: TokenBucket,
    running: u32,
}

/// One daemon's share of a row's limits.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RowShare {
    /// Requests per second.
    pub rate: f64,
    /// Concurrent requests.
    pub concurrency: u32,
    /// Tokens per second; 0 for no limit.
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

    /// Admits a request whose prompt and expected answer have `tokens` tokens.
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

    /// Records the end of an admitted request.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Returns the number of admitted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }
}

/// A queued request.
#[derive(Clone, Debug, PartialEq, Eq)]
struct QueuedRequest {
    ticket: u64,
    deadline_ms: u64,
}

/// Weighted fair sharing of a service's capacity between client accounts.
///
/// Start-time fair queueing: each request advances its account's virtual time by
/// cost divided by weight (every request costs 1), and the account with the smallest
/// virtual start time is served next.
#[derive(Clone, Debug, Default)]
pub struct FairQueue {
    running: u32,
    /// Virtual start time of the request that was started last.
    virtual_time: f64,
    accounts: BTreeMap<ClientAccount, AccountState>,
    next_ticket: u64,
}

#[derive(Clone, Debug, Default)]
struct AccountState {
    /// Virtual finish time of the account's last started request.
    finish: f64,
    weight: f64,
    queue: VecDeque<QueuedRequest>,
}

/// Requests that `FairQueue::next` took out of the queue.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct QueueOutcome {
    /// Tickets of the requests that start now.
    pub started: Vec<u64>,
    /// Tickets of the requests that can't be finished before their deadlines.
    pub expired: Vec<u64>,
}

/// The outcome of `FairQueue::join`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum JoinOutcome {
    /// The request starts at once.
    Now,
    /// The request is queued under this ticket.
    Wait(u64),
}

impl FairQueue {
    /// Starts a request of a service with room for `capacity` concurrent requests,
    /// or queues it.
    ///
    /// `stay_ms` is the average time for which a request runs. A request is rejected
    /// at once if its expected wait and run time end after its deadline.
    ///
    /// # Errors
    ///
    /// Returns the rejection if the request can't be finished before its deadline.
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
        // A request that starts too late to finish before its deadline wastes capacity.
        if now_ms + (wait_ms + stay_ms) as u64 >= deadline_ms {
            return Err(Rejection::Deadline {
                retry_after_ms: wait_ms as u64,
            });
        }
        self.next_ticket += 1;
        let ticket = self.next_ticket;
        let state = self.accounts.entry(account.clone()).or_default();
        state.weight = weight;
        state.queue.push_back(QueuedRequest {
            ticket,
            deadline_ms,
        });
        Ok(JoinOutcome::Wait(ticket))
    }

    /// Records the end of a running request.
    pub fn end(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Removes a queued request whose caller disconnected or whose wait timed out.
    pub fn leave(&mut self, ticket: u64) {
        for state in self.accounts.values_mut() {
            state.queue.retain(|w| w.ticket != ticket);
        }
        self.remove_idle();
    }

    /// Takes out the requests that start now, and those that would run past their
    /// deadlines if they started now.
    pub fn next(&mut self, capacity: u32, stay_ms: f64, now_ms: u64) -> QueueOutcome {
        let mut outcome = QueueOutcome {
            expired: self.take_expired(now_ms + stay_ms as u64),
            started: Vec::new(),
        };
        while self.running < capacity {
            let Some(account) = self.next_account() else {
                break;
            };
            let Some(state) = self.accounts.get_mut(&account) else {
                break;
            };
            let weight = state.weight;
            if let Some(w) = state.queue.pop_front() {
                outcome.started.push(w.ticket);
            }
            self.start(&account, weight);
        }
        self.remove_idle();
        outcome
    }

    fn take_expired(&mut self, earliest_end_ms: u64) -> Vec<u64> {
        let mut expired = Vec::new();
        for state in self.accounts.values_mut() {
            state.queue.retain(|w| {
                let in_time = w.deadline_ms > earliest_end_ms;
                if !in_time {
                    expired.push(w.ticket);
                }
                in_time
            });
        }
        expired
    }

    /// Returns the number of queued requests.
    pub fn waiting(&self) -> usize {
        self.accounts.values().map(|s| s.queue.len()).sum()
    }

    /// Returns the number of running requests.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn start(&mut self, account: &ClientAccount, weight: f64) {
        self.running += 1;
        let virtual_time = self.virtual_time;
        let state = self.accounts.entry(account.clone()).or_default();
        state.weight = weight;
        let start = state.finish.max(virtual_time);
        state.finish = start + 1.0 / weight;
        self.virtual_time = start;
    }

    fn next_account(&self) -> Option<ClientAccount> {
        self.accounts
            .iter()
            .filter(|(_, s)| !s.queue.is_empty())
            .min_by(|(_, a), (_, b)| {
                let start = |s: &AccountState| s.finish.max(self.virtual_time);
                start(a).total_cmp(&start(b))
            })
            .map(|(account, _)| account.clone())
    }

    /// Estimates a new request's wait: an account's queue drains at the account's
    /// share of the capacity, by weight among the accounts with queued requests.
    fn expected_wait_ms(
        &self,
        account: &ClientAccount,
        weight: f64,
        capacity: u32,
        stay_ms: f64,
    ) -> f64 {
        let own_waiting = self.accounts.get(account).map_or(0, |s| s.queue.len());
        let other_weights: f64 = self
            .accounts
            .iter()
            .filter(|(name, s)| *name != account && !s.queue.is_empty())
            .map(|(_, s)| s.weight)
            .sum();
        let share = weight / (weight + other_weights);
        let starts_per_ms = f64::from(capacity.max(1)) / stay_ms.max(1.0) * share;
        (own_waiting + 1) as f64 / starts_per_ms
    }

    /// Removes accounts that have no queued requests and whose virtual finish time has
    /// passed: they start again at the current virtual time, as new accounts do.
    fn remove_idle(&mut self) {
        let now = self.virtual_time;
        self.accounts
            .retain(|_, s| !s.queue.is_empty() || s.finish > now);
    }
}
