use {
    rand::{Rng, RngCore, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
};

/// A workload file.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Seed of the random number generators.
    pub seed: u64,
    /// Duration of sending, in seconds.
    pub duration_s: f64,
    /// Streams of requests of one kind each.
    #[serde(rename = "stream")]
    pub streams: Vec<Stream>,
}

/// A stream of requests of one kind.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// Bearer token of the client account.
    pub token: String,
    /// Name of the service.
    pub service: String,
    /// True for calls of a model, false for calls of a plain service.
    pub model: bool,
    /// Mean number of requests a second.
    pub rate: f64,
    /// Start of the stream, in seconds from the start of the workload.
    #[serde(default)]
    pub from_s: f64,
    /// End of the stream, in seconds; 0 for the end of the workload.
    #[serde(default)]
    pub to_s: f64,
    /// Number of different documents with which prompts begin; 0 for none.
    #[serde(default)]
    pub documents: u32,
    /// Length of a document in tokens.
    #[serde(default)]
    pub document_tokens: u32,
    /// Minimum and maximum tokens of a prompt without its document.
    #[serde(default = "default_prompt_tokens")]
    pub prompt_tokens: [u32; 2],
    /// Minimum and maximum tokens of an answer.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens: [u32; 2],
    /// Latency target for the first token or the plain answer, in milliseconds.
    #[serde(default = "default_first_ms")]
    pub first_ms: u64,
    /// Deadline sent with each request, in milliseconds; 0 for none.
    #[serde(default)]
    pub deadline_ms: u64,
    /// Number of immediate retries after a failure, as by an impatient caller.
    #[serde(default)]
    pub caller_retries: u32,
}

/// A scheduled request.
#[derive(Clone, Debug)]
pub struct DueRequest {
    /// Scheduled time, in microseconds from the start.
    pub at_us: u64,
    /// Index of the workload's stream.
    pub stream: usize,
    /// Prompt or body of the request.
    pub prompt: String,
    /// Length of the answer in tokens.
    pub answer_tokens: u32,
}

impl Workload {
    /// Computes all requests, sorted by time. Arrivals are a Poisson process and depend
    /// only on the workload and its seed.
    pub fn schedule(&self) -> Vec<DueRequest> {
        let mut all = Vec::new();
        for (n, stream) in self.streams.iter().enumerate() {
            let mut rng = ChaCha8Rng::seed_from_u64(self.seed * 1_000 + n as u64);
            let end = if stream.to_s > 0.0 {
                stream.to_s
            } else {
                self.duration_s
            };
            let mut at = stream.from_s;
            loop {
                let u: f64 = rng.random_range(1e-9..1.0);
                at += -u.ln() / stream.rate.max(1e-6);
                if at >= end.min(self.duration_s) {
                    break;
                }
                all.push(DueRequest {
                    at_us: (at * 1e6) as u64,
                    stream: n,
                    prompt: stream.prompt(all.len(), &mut rng),
                    answer_tokens: between(stream.answer_tokens, &mut rng),
                });
            }
        }
        all.sort_by_key(|d| d.at_us);
        all
    }
}

impl Stream {
    fn prompt(&self, n: usize, rng: &mut dyn RngCore) -> String {
        let mut text = String::new();
        if self.documents > 0 {
            let document = rng.random_range(0..self.documents);
            for i in 0..self.document_tokens {
                text += &format!("d{document}w{i} ");
            }
        }
        for i in 0..between(self.prompt_tokens, rng) {
            text += &format!("q{n}w{i} ");
        }
        text
    }
}

fn between(range: [u32; 2], rng: &mut dyn RngCore) -> u32 {
    rng.random_range(range[0]..=range[1].max(range[0]))
}

fn default_prompt_tokens() -> [u32; 2] {
    [20, 100]
}

fn default_answer_tokens() -> [u32; 2] {
    [20, 60]
}

fn default_first_ms() -> u64 {
    400
}
