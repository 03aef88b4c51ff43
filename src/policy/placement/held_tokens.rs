/// Prompt and output tokens that the running requests of an upstream hold in its memory, as daemons
/// announce them. Earlier builds announce only the number of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeldTokens {
    /// The announced tokens.
    announced: u64,
    /// The requests that hold the announced tokens.
    announced_requests: u32,
    /// The requests whose tokens aren't announced.
    unannounced_requests: u32,
}

impl HeldTokens {
    /// Adds requests, and the tokens that they hold if these are announced.
    pub fn add(&mut self, requests: u32, tokens: Option<u64>) {
        match tokens {
            Some(tokens) => {
                self.announced = self.announced.saturating_add(tokens);
                self.announced_requests += requests;
            }
            None => self.unannounced_requests += requests,
        }
    }

    /// Adds the requests of `other`.
    pub fn merge(&mut self, other: Self) {
        self.announced = self.announced.saturating_add(other.announced);
        self.announced_requests += other.announced_requests;
        self.unannounced_requests += other.unannounced_requests;
    }

    /// Returns the average tokens of a request, or `None` if no tokens are announced.
    pub fn per_request(&self) -> Option<f64> {
        (self.announced_requests > 0)
            .then(|| self.announced as f64 / f64::from(self.announced_requests))
    }

    /// Returns the sum of all tokens. Each request whose tokens aren't announced counts as `per_request`.
    pub fn tokens(&self, per_request: f64) -> u64 {
        let unannounced = f64::from(self.unannounced_requests) * per_request;
        self.announced.saturating_add(unannounced as u64)
    }
}
