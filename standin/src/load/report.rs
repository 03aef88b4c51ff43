use {hdrhistogram::Histogram, serde::Serialize, std::collections::BTreeMap};

/// How one request went.
#[derive(Clone, Debug)]
pub struct Sample {
    /// When it was due, in microseconds from the start.
    pub due_us: u64,
    /// Which stream it is of.
    pub stream: usize,
    /// From when it was due to its first token or answer, in microseconds.
    pub first_us: Option<u64>,
    /// From when it was due to its end, in microseconds.
    pub total_us: u64,
    /// Tokens of the answer.
    pub tokens: u64,
    /// Gaps between tokens over 46 ms.
    pub slow_gaps: u64,
    /// `whole`, or the outcome that was told, or `lost`.
    pub outcome: String,
    /// Whether it met its target.
    pub on_target: bool,
    /// How often it was sent.
    pub sends: u32,
}

/// What a run of the load tool found.
#[derive(Clone, Debug, Serialize)]
pub struct LoadReport {
    /// Requests that were due.
    pub requests: usize,
    /// Requests by how they ended.
    pub outcomes: BTreeMap<String, usize>,
    /// Requests that met their target.
    pub on_target: usize,
    /// Tokens of answers.
    pub tokens: u64,
    /// Time to the first token or answer, in milliseconds: p50, p95, p99.
    pub first_ms: [f64; 3],
    /// Time to the end, in milliseconds: p50, p95, p99.
    pub total_ms: [f64; 3],
    /// How often requests were sent, per request.
    pub sends_per_request: f64,
    /// Requests on target by second of their due time.
    pub on_target_by_s: Vec<usize>,
    /// Requests due by second.
    pub due_by_s: Vec<usize>,
}

impl LoadReport {
    /// Works out the report from samples.
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

    /// Returns the share of requests on target that were due in some seconds.
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
