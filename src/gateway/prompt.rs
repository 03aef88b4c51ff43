use {
    super::HeaderNames, crate::cluster::PlacementQuery, http::HeaderMap,
    rapidhash::v3::rapidhash_v3,
};

/// A part of a prompt that other prompts may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of this part and all before it.
    pub chain: u64,
    /// Its tokens.
    pub tokens: u64,
}

/// What a request says of its prompt and answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one is the request's own.
    pub parts: Vec<PromptPart>,
    /// The prompt's tokens; none, if the request names none.
    pub tokens_in: Option<u64>,
    /// The most tokens of the answer.
    pub tokens_out: u64,
}

impl Prompt {
    /// Reads the headers of a request; what can't be read counts as not said.
    pub fn from_headers(headers: &HeaderMap, names: &HeaderNames) -> Self {
        let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
        let counts = text(&names.token_count).unwrap_or_default();
        let mut counts = counts.split(',').map(|n| n.trim().parse::<u64>().ok());
        Self {
            tokens_in: counts.next().flatten(),
            tokens_out: counts.next().flatten().unwrap_or(0),
            parts: parse_parts(text(&names.prompt_parts).unwrap_or_default()),
        }
    }

    /// Takes over what another daemon says of its request.
    pub fn from_query(place: &PlacementQuery) -> Self {
        let parts = place.parts.iter();
        Self {
            parts: parts
                .map(|(chain, tokens)| PromptPart {
                    chain: *chain,
                    tokens: *tokens,
                })
                .collect(),
            tokens_in: place.tokens_in,
            tokens_out: place.tokens_out,
        }
    }

    /// Returns all tokens, in and out, if the request names them.
    pub fn tokens(&self) -> Option<u64> {
        self.tokens_in.map(|tokens| tokens + self.tokens_out)
    }

    /// Returns the hash of the last part that other requests may share.
    pub fn shared_chain(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].chain)
    }

    /// Returns how many tokens are to be read where so many of the first parts are
    /// at hand.
    pub fn unread_tokens(&self, cached_parts: usize) -> u64 {
        let cached = self.parts.iter().take(cached_parts);
        let cached: u64 = cached.map(|p| p.tokens).sum();
        self.tokens_in.unwrap_or(0).saturating_sub(cached)
    }
}

fn parse_parts(text: &str) -> Vec<PromptPart> {
    let mut chain = 0;
    let mut parts = Vec::new();
    for part in text.split(',') {
        let Some((id, tokens)) = part.trim().split_once(':') else {
            break;
        };
        let Ok(tokens) = tokens.parse() else { break };
        chain = extend_chain(chain, id);
        parts.push(PromptPart { chain, tokens });
    }
    parts
}

/// The same on every daemon, so that all agree on a chain's home.
fn extend_chain(chain: u64, id: &str) -> u64 {
    let mut bytes = chain.to_le_bytes().to_vec();
    bytes.extend_from_slice(id.as_bytes());
    rapidhash_v3(&bytes)
}
