use {crate::names::*, crate::policy::*, std::collections::BTreeMap};

/// A stream on a leaving upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamAtRisk {
    /// The request.
    pub request: RequestId,
    /// What the request needs; `generated_tokens` is the length of its answer so far.
    pub needs: RequestNeeds,
    /// Size of its KV cache in bytes.
    pub kv_bytes: u64,
}

impl StreamAtRisk {
    /// Returns the number of tokens that have to be computed again if the stream restarts
    /// elsewhere without its KV cache.
    pub fn tokens_at_risk(&self) -> u32 {
        self.needs.prompt_tokens + self.needs.generated_tokens
    }
}

/// How a stream leaves its upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    /// Export the KV cache to a target, then resume there.
    Export {
        /// Index of the target.
        target: usize,
    },
    /// Resume from the prompt and the generated tokens, on a target that is chosen at that
    /// time.
    Resume,
}

/// Plans how streams move away from an upstream that is about to be reclaimed.
///
/// Streams with the most tokens at risk go first. A KV cache is exported only if its
/// transfer, after all transfers before it, completes within the notice. Each target's load
/// includes the streams already assigned to it, so that the plan doesn't overload the target
/// that looked best and cause another wave of moves.
pub fn plan_moves(
    streams: &[StreamAtRisk],
    targets: &[UpstreamView],
    notice_ms: u64,
    kv_bytes_per_ms: f64,
) -> Vec<(RequestId, Move)> {
    let mut order: Vec<&StreamAtRisk> = streams.iter().collect();
    order.sort_by_key(|s| (std::cmp::Reverse(s.tokens_at_risk()), s.request));
    let mut assigned: BTreeMap<usize, u32> = BTreeMap::new();
    let mut transfers_ms = 0.0;
    let mut moves = Vec::new();
    for stream in order {
        let transfer_ms = stream.kv_bytes as f64 / kv_bytes_per_ms.max(1.0);
        let in_time = transfers_ms + transfer_ms <= notice_ms as f64;
        let target = in_time
            .then(|| best_target(stream, targets, &assigned))
            .flatten();
        let Some(target) = target else {
            moves.push((stream.request, Move::Resume));
            continue;
        };
        transfers_ms += transfer_ms;
        *assigned.entry(target).or_default() += 1;
        moves.push((stream.request, Move::Export { target }));
    }
    moves
}

fn best_target(
    stream: &StreamAtRisk,
    targets: &[UpstreamView],
    assigned: &BTreeMap<usize, u32>,
) -> Option<usize> {
    let loaded = |i: usize| {
        let mut u = targets[i].clone();
        u.unreported += assigned.get(&i).copied().unwrap_or(0);
        u
    };
    (0..targets.len())
        .filter(|i| stream.needs.allows(&targets[*i]))
        .filter(|i| {
            let u = loaded(*i);
            u.running + u.waiting + u.unreported < u.slots
        })
        .min_by(|a, b| {
            let a = Estimate::of(&stream.needs, &loaded(*a));
            let b = Estimate::of(&stream.needs, &loaded(*b));
            let key = |e: &Estimate| e.first_token_ms + e.expected_recompute;
            key(&a).total_cmp(&key(&b))
        })
}
