use {hdrhistogram::Histogram, serde::Serialize, std::collections::BTreeMap};

/// The measurements of one request.
#[derive(Clone, Debug)]
pub struct Sample {
    /// Scheduled time, in microseconds from the start.
    pub due_us: u64,
    /// Index of the workload's stream.
    pub stream: usize,
    /// Time from the schedule to the first token or the plain answer, in microseconds.
    pub first_us: Option<u64>,
    /// Time from the schedule to the end, in microseconds.
    pub total_us: u64,
    /// Number of tokens received.
    pub tokens: u64,
    /// Number of gaps between tokens that exceeded 46 ms.
    pub slow_gaps: u64,
    /// `whole` for a complete answer, the outcome that the error names, or `lost` without one.
    pub outcome: String,
    /// True if the answer is complete and met its latency targets.
    pub on_target: bool,
    /// How often the request was sent, retries included.
    pub sends: u32,
}

/// The results of a load run.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Number of scheduled requests.
    pub requests: usize,
    /// Number of requests by outcome.
    pub outcomes: BTreeMap<String, usize>,
    /// Number of requests that met their target.
    pub on_target: usize,
    /// Number of tokens received.
    pub tokens: u64,
    /// Time to the first token or the plain answer, in milliseconds: p50, p95, p99.
    pub first_ms: [f64; 3],
    /// Time to the end, in milliseconds: p50, p95, p99.
    pub total_ms: [f64; 3],
    /// Mean number of sends per request.
    pub sends_per_request: f64,
    /// Number of requests that met their target, by second of their scheduled time.
    pub on_target_by_s: Vec<usize>,
    /// Number of requests by second of their scheduled time.
    pub due_by_s: Vec<usize>,
}

impl LoadReport {
    /// Computes the report from samples.
    pub fn from_samples(samples: &[Sample]) -> Self {
        let mut outcomes = BTreeMap::new();
        let mut first = histogram();
        let mut total = histogram();
        let seconds = samples
            .iter()
            .map(|s| s.due_us / 1_000_000)
            .max()
            .map_or(0, |s| s + 1);
        let mut on_target_by_s = vec![0; seconds as usize];
        let mut due_by_s = vec![0; seconds as usize];
        for s in samples {
            *outcomes.entry(s.outcome.clone()).or_insert(0) += 1;
            let second = (s.due_us / 1_000_000) as usize;
            due_by_s[second] += 1;
            on_target_by_s[second] += usize::from(s.on_target);
            if let Some(us) = s.first_us {
                first.saturating_record(us);
            }
            total.saturating_record(s.total_us);
        }
        let sends: u32 = samples.iter().map(|s| s.sends).sum();
        Self {
            requests: samples.len(),
            outcomes,
            on_target: samples.iter().filter(|s| s.on_target).count(),
            tokens: samples.iter().map(|s| s.tokens).sum(),
            first_ms: quantiles(&first),
            total_ms: quantiles(&total),
            sends_per_request: f64::from(sends) / samples.len().max(1) as f64,
            on_target_by_s,
            due_by_s,
        }
    }

    /// Returns the share of requests on target among those scheduled in the seconds from
    /// `from_s` up to `to_s`, exclusive.
    pub fn goodput(&self, from_s: usize, to_s: usize) -> f64 {
        let sum = |v: &[usize]| v.iter().take(to_s).skip(from_s).sum::<usize>() as f64;
        sum(&self.on_target_by_s) / sum(&self.due_by_s).max(1.0)
    }
}

fn quantiles(h: &Histogram<u64>) -> [f64; 3] {
    [0.5, 0.95, 0.99].map(|q| h.value_at_quantile(q) as f64 / 1_000.0)
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, 600_000_000, 3).expect("valid histogram bounds")
}
