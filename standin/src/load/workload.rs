use {
    rand::{Rng, RngCore, SeedableRng},
    rand_chacha::ChaCha8Rng,
    serde::{Deserialize, Serialize},
};

/// A workload, as its file gives it.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Workload {
    /// Where randomness starts.
    pub seed: u64,
    /// How long requests are sent, in seconds.
    pub duration_s: f64,
    /// The kinds of request.
    #[serde(rename = "stream")]
    pub streams: Vec<Stream>,
}

/// One kind of request.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Stream {
    /// The bearer token of its client account.
    pub token: String,
    /// The service.
    pub service: String,
    /// Whether it is a model call.
    pub model: bool,
    /// Requests a second.
    pub rate: f64,
    /// When it starts, in seconds.
    #[serde(default)]
    pub from_s: f64,
    /// When it ends, in seconds; 0 for the end of the workload.
    #[serde(default)]
    pub to_s: f64,
    /// How many different documents the prompts begin with; 0 for none.
    #[serde(default)]
    pub documents: u32,
    /// Tokens of a document.
    #[serde(default)]
    pub document_tokens: u32,
    /// Tokens of a prompt beside its document, at least and at most.
    #[serde(default = "default_prompt_tokens")]
    pub prompt_tokens: [u32; 2],
    /// Tokens of an answer, at least and at most.
    #[serde(default = "default_answer_tokens")]
    pub answer_tokens: [u32; 2],
    /// The target for the first token, or a plain call's answer, in milliseconds.
    #[serde(default = "default_first_ms")]
    pub first_ms: u64,
    /// The deadline sent with it, in milliseconds; 0 for none.
    #[serde(default)]
    pub deadline_ms: u64,
    /// How often a caller asks again after a failure, at once, as an impatient one does.
    #[serde(default)]
    pub caller_retries: u32,
}

/// A request that is due.
#[derive(Clone, Debug)]
pub struct DueRequest {
    /// When it is sent, in microseconds from the start.
    pub at_us: u64,
    /// Which stream it is of.
    pub stream: usize,
    /// The prompt.
    pub prompt: String,
    /// Tokens of the answer.
    pub answer_tokens: u32,
}

impl Workload {
    /// Works out all requests: Poisson arrivals, the same for the same seed.
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
