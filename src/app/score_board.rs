use {
    crate::{names::*, requests::*},
    hdrhistogram::Histogram,
    serde::{Deserialize, Serialize},
    std::collections::BTreeMap,
};

/// Share of the gaps between tokens that may exceed the target in a request that met its targets.
const SLOW_GAPS_ALLOWED: f64 = 0.05;
/// Upper bound of the histogram of times to the first token, in milliseconds; longer times are
/// counted at the bound.
const MAX_FIRST_TOKEN_MS: u64 = 600_000;

/// The cost and the latencies of one request.
#[derive(Clone, Debug)]
pub struct RunScore {
    /// When the request was accepted, in Unix milliseconds.
    accepted_at_ms: u64,
    first_target_ms: u64,
    between_target_ms: f64,
    first_ms: Option<u64>,
    last_ms: u64,
    gaps: u64,
    slow_gaps: u64,
    /// Prompt and earlier answer tokens that upstreams processed, without those from their caches.
    pub computed_tokens: u64,
    /// The request's share of the upstreams' price, in millionths of a currency unit.
    pub cost_micros: f64,
}

impl RunScore {
    /// Creates an empty score with the request's latency targets.
    pub fn new(spec: &RequestSpec) -> Self {
        Self {
            accepted_at_ms: spec.accepted_at_ms,
            first_target_ms: u64::from(spec.terms.first_token_ms),
            between_target_ms: f64::from(spec.terms.between_tokens_ms),
            first_ms: None,
            last_ms: 0,
            gaps: 0,
            slow_gaps: 0,
            computed_tokens: 0,
            cost_micros: 0.0,
        }
    }

    /// Records the time of committed tokens.
    pub fn record_tokens(&mut self, n: usize, now_ms: u64) {
        if self.first_ms.is_none() {
            self.first_ms = Some(now_ms.saturating_sub(self.accepted_at_ms));
        } else {
            let gap = now_ms.saturating_sub(self.last_ms) as f64 / n.max(1) as f64;
            self.gaps += n as u64;
            if gap > self.between_target_ms {
                self.slow_gaps += n as u64;
            }
        }
        self.last_ms = now_ms;
    }

    /// Returns true if the targets for the first token and for the gaps between tokens were met.
    pub fn on_target(&self) -> bool {
        let first = self.first_ms.is_some_and(|ms| ms <= self.first_target_ms);
        first && self.slow_gaps as f64 <= self.gaps as f64 * SLOW_GAPS_ALLOWED
    }
}

/// The policy, client account and service that a score belongs to.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct ScoreKey {
    /// The placement policy.
    pub policy: PolicyName,
    /// The client account.
    pub account: ClientAccount,
    /// The service.
    pub service: ServiceName,
}

/// The figures of one policy for one client account and service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Score {
    /// Requests that ended.
    pub requests: u64,
    /// Requests with a complete answer.
    pub whole: u64,
    /// Requests with a complete answer that met both latency targets.
    pub on_target: u64,
    /// Requests that ended as `not-run`.
    pub not_run: u64,
    /// Requests that ended as `may-have-run` or `expired`.
    pub may_have_run: u64,
    /// Tokens of answers.
    pub answer_tokens: u64,
    /// Prompt and earlier answer tokens that upstreams processed, without those from their caches.
    pub computed_tokens: u64,
    /// The part of `computed_tokens` that was processed again because earlier work was lost.
    pub recomputed_tokens: u64,
    /// The price, in millionths of a currency unit.
    pub cost_micros: f64,
    /// Times to the first token, in milliseconds, with their counts.
    pub first_ms: Vec<(u64, u64)>,
}

impl Score {
    /// Adds the figures of another score.
    pub fn add(&mut self, other: &Self) {
        self.requests += other.requests;
        self.whole += other.whole;
        self.on_target += other.on_target;
        self.not_run += other.not_run;
        self.may_have_run += other.may_have_run;
        self.answer_tokens += other.answer_tokens;
        self.computed_tokens += other.computed_tokens;
        self.recomputed_tokens += other.recomputed_tokens;
        self.cost_micros += other.cost_micros;
        self.first_ms.extend(&other.first_ms);
    }

    /// Returns the total price per request that met its targets, in millionths of a
    /// currency unit, or none if no request met them.
    pub fn cost_at_target(&self) -> Option<f64> {
        (self.on_target > 0).then(|| self.cost_micros / self.on_target as f64)
    }

    /// Returns a quantile of the time to the first token, in milliseconds.
    pub fn first_ms_at(&self, quantile: f64) -> u64 {
        let mut h = new_histogram();
        for (ms, n) in &self.first_ms {
            h.saturating_record_n(*ms, *n);
        }
        h.value_at_quantile(quantile)
    }
}

/// The figures of one time interval, as a daemon publishes them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ScorePage {
    /// The box of the daemon.
    pub by: BoxId,
    /// The box's failure domain.
    pub failure_domain: FailureDomain,
    /// The page's number within this incarnation of the box; a missing number shows a lost page.
    pub number: u64,
    /// The incarnation of the box.
    pub incarnation: u64,
    /// The start of the interval, in Unix milliseconds.
    pub from_ms: u64,
    /// The end of the interval, in Unix milliseconds.
    pub to_ms: u64,
    /// The scores of the interval.
    pub scores: Vec<(ScoreKey, Score)>,
}

/// Collects the figures of ended requests for the next page and in total.
#[derive(Debug, Default)]
pub struct ScoreBoard {
    /// Figures since the last page.
    scores: BTreeMap<ScoreKey, (Score, Option<Histogram<u64>>)>,
    /// Figures since the daemon started.
    total: BTreeMap<ScoreKey, Score>,
}

impl ScoreBoard {
    /// Records a request that ended.
    pub fn record(&mut self, spec: &RequestSpec, ending: &Ending, run: &RunScore, recomputed: u64) {
        let key = ScoreKey {
            policy: spec.policy.clone(),
            account: spec.account.clone(),
            service: spec.service.clone(),
        };
        let mut delta = Score {
            requests: 1,
            computed_tokens: run.computed_tokens,
            recomputed_tokens: recomputed,
            cost_micros: run.cost_micros,
            ..Score::default()
        };
        match ending {
            Ending::Whole { total } => {
                delta.whole = 1;
                delta.answer_tokens = *total as u64;
            }
            Ending::Plain(answer) => delta.whole = u64::from(answer.status < 500),
            Ending::Failed(f) if f.outcome == Outcome::NotRun => delta.not_run = 1,
            Ending::Failed(_) => delta.may_have_run = 1,
        }
        delta.on_target = u64::from(delta.whole == 1 && run.on_target());
        count(&delta);
        self.total.entry(key.clone()).or_default().add(&delta);
        let (score, histogram) = self.scores.entry(key).or_default();
        score.add(&delta);
        if let Some(ms) = run.first_ms {
            histogram
                .get_or_insert_with(new_histogram)
                .saturating_record(ms);
        }
    }

    /// Returns the figures since the last page and clears them.
    pub fn take(&mut self) -> Vec<(ScoreKey, Score)> {
        let scores = std::mem::take(&mut self.scores);
        scores
            .into_iter()
            .map(|(key, (mut score, histogram))| {
                score.first_ms = histogram.map_or_else(Vec::new, |h| {
                    h.iter_recorded()
                        .map(|v| (v.value_iterated_to(), v.count_at_value()))
                        .collect()
                });
                (key, score)
            })
            .collect()
    }

    /// Returns the figures since the daemon started.
    pub fn total(&self) -> Vec<(ScoreKey, Score)> {
        self.total
            .iter()
            .map(|(k, s)| (k.clone(), s.clone()))
            .collect()
    }
}

/// Adds the figures of one request to the metrics.
fn count(delta: &Score) {
    metrics::counter!("saddlepulley_requests_total").increment(delta.requests);
    metrics::counter!("saddlepulley_on_target_total").increment(delta.on_target);
    metrics::counter!("saddlepulley_not_run_total").increment(delta.not_run);
    metrics::counter!("saddlepulley_may_have_run_total").increment(delta.may_have_run);
    metrics::counter!("saddlepulley_answer_tokens_total").increment(delta.answer_tokens);
}

fn new_histogram() -> Histogram<u64> {
    // The bounds are constants that the library accepts, so that this can't fail.
    Histogram::new_with_bounds(1, MAX_FIRST_TOKEN_MS, 2).expect("valid histogram bounds")
}
