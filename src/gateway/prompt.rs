use {
    super::HeaderNames, crate::cluster::PlacementQuery, http::HeaderMap,
    rapidhash::v3::rapidhash_v3,
};

/// Upper bound of the shared parts of one prompt that are looked at for crashes, to limit the work for a
/// request that names thousands.
const MAX_SHARED_PARTS: usize = 64;

/// A part of a prompt that other prompts may start with as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PromptPart {
    /// The hash of this part and all parts before it.
    pub chain: u64,
    /// Number of tokens in this part.
    pub tokens: u64,
}

/// Sizes and parts of a request's prompt and response, as the request's headers name them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Prompt {
    /// The parts in order; the last one belongs to this request alone.
    pub parts: Vec<PromptPart>,
    /// Number of prompt tokens, if the request names it.
    pub tokens_in: Option<u64>,
    /// Maximum number of output tokens.
    pub tokens_out: u64,
}

impl Prompt {
    /// Reads the headers of a request. Invalid values count as absent.
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

    /// Converts another daemon's query for a placement.
    pub fn from_query(placement: &PlacementQuery) -> Self {
        let parts = placement.parts.iter();
        Self {
            parts: parts
                .map(|(chain, tokens)| PromptPart {
                    chain: *chain,
                    tokens: *tokens,
                })
                .collect(),
            tokens_in: placement.tokens_in,
            tokens_out: placement.tokens_out,
        }
    }

    /// Returns the number of prompt and output tokens together, if the request names it.
    pub fn tokens(&self) -> Option<u64> {
        self.tokens_in.map(|tokens| tokens + self.tokens_out)
    }

    /// Returns the hash of the last part that other requests may share, with all before it.
    pub fn shared_chain(&self) -> Option<u64> {
        let shared = self.parts.len().checked_sub(2)?;
        Some(self.parts[shared].chain)
    }

    /// Returns the number of prompt tokens that an upstream has to prefill if it has the first
    /// `cached_parts` parts in its prefix cache.
    pub fn unread_tokens(&self, cached_parts: usize) -> u64 {
        let cached = self.parts.iter().take(cached_parts);
        let cached: u64 = cached.map(|p| p.tokens).sum();
        self.tokens_in.unwrap_or(0).saturating_sub(cached)
    }
}

/// Returns the ids of the parts that other prompts may hold as well, in order, as a request's header
/// names them. The last part belongs to the request alone.
pub fn shared_part_ids<'a>(
    headers: &'a HeaderMap,
    names: &HeaderNames,
) -> impl Iterator<Item = &'a str> {
    let value = headers
        .get(&names.prompt_parts)
        .and_then(|v| v.to_str().ok());
    let text = value.unwrap_or_default();
    let shared = text.rsplit_once(',').map_or("", |(shared, _)| shared);
    let ids = shared
        .split(',')
        .filter_map(|part| part.trim().split_once(':'));
    ids.map(|(id, _)| id).take(MAX_SHARED_PARTS)
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

/// Hashes a part onto a chain. The hash has to be the same on every daemon, so that all choose
/// the same home upstream for a chain.
fn extend_chain(chain: u64, id: &str) -> u64 {
    let mut bytes = chain.to_le_bytes().to_vec();
    bytes.extend_from_slice(id.as_bytes());
    rapidhash_v3(&bytes)
}
