use std::collections::VecDeque;

/// Length of the periods whose answers are counted together, in milliseconds.
const PERIOD_MS: u64 = 100;
/// How long answers are kept, in milliseconds.
const RETENTION_MS: u64 = 10_000;

/// How many requests were lately answered completely, as this daemon observed.
#[derive(Debug, Default)]
pub(super) struct WholeAnswers {
    periods: VecDeque<Period>,
}

#[derive(Debug)]
struct Period {
    begin_ms: u64,
    answers: u32,
}

impl WholeAnswers {
    /// Records an answer.
    pub fn record(&mut self, now_ms: u64) {
        while let Some(first) = self.periods.front()
            && first.begin_ms + RETENTION_MS < now_ms
        {
            self.periods.pop_front();
        }
        match self.periods.back_mut() {
            Some(last) if now_ms < last.begin_ms + PERIOD_MS => last.answers += 1,
            _ => self.periods.push_back(Period {
                begin_ms: now_ms,
                answers: 1,
            }),
        }
    }

    /// Returns the number of answers since a time.
    pub fn count_since(&self, since_ms: u64) -> u32 {
        let since = |period: &&Period| period.begin_ms + PERIOD_MS > since_ms;
        let periods = self.periods.iter().filter(since);
        periods.map(|period| period.answers).sum()
    }
}
