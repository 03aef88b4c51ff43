use {crate::names::*, crate::policy::*, std::collections::BTreeMap};

/// A stream on a leaving upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct StreamAtRisk {
    /// The request.
    pub request: RequestId,
    /// What it asks; `generated_tokens` is what its answer has so far.
    pub needs: RequestNeeds,
    /// Bytes of its KV cache.
    pub kv_bytes: u64,
}

impl StreamAtRisk {
    /// Returns the tokens that a fresh start elsewhere computes again.
    pub fn tokens_at_risk(&self) -> u32 {
        self.needs.prompt_tokens + self.needs.generated_tokens
    }
}

/// How a stream leaves its upstream.
#[derive(Clone, Debug, PartialEq)]
pub enum Move {
    /// Export the KV cache to this target, then resume there.
    Export {
        /// Index of the target.
        target: usize,
    },
    /// Resume from prompt plus generated tokens, on a target chosen when it is due.
    Resume,
}

/// Plans how streams leave an upstream that will be taken.
///
/// Those with the most tokens at risk go first. A KV cache is exported only if
/// the transfers before it and its own end before the notice does. Each target
/// counts the streams already sent to it, so that one wave doesn't swamp the
/// box that looked best and make the next one.
pub fn plan_moves(
    streams: &[StreamAtRisk],
    targets: &[UpstreamView],
    notice_ms: u64,
    kv_bytes_per_ms: f64,
) -> Vec<(RequestId, Move)> {
    let mut order: Vec<&StreamAtRisk> = streams.iter().collect();
    order.sort_by_key(|s| (std::cmp::Reverse(s.tokens_at_risk()), s.request));
    let mut sent: BTreeMap<usize, u32> = BTreeMap::new();
    let mut spent_ms = 0.0;
    let mut moves = Vec::new();
    for stream in order {
        let transfer_ms = stream.kv_bytes as f64 / kv_bytes_per_ms.max(1.0);
        let in_time = spent_ms + transfer_ms <= notice_ms as f64;
        let target = in_time
            .then(|| best_target(stream, targets, &sent))
            .flatten();
        let Some(target) = target else {
            moves.push((stream.request, Move::Resume));
            continue;
        };
        spent_ms += transfer_ms;
        *sent.entry(target).or_default() += 1;
        moves.push((stream.request, Move::Export { target }));
    }
    moves
}

fn best_target(
    stream: &StreamAtRisk,
    targets: &[UpstreamView],
    sent: &BTreeMap<usize, u32>,
) -> Option<usize> {
    let loaded = |i: usize| {
        let mut u = targets[i].clone();
        u.unreported += sent.get(&i).copied().unwrap_or(0);
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
