use {crate::policy::SpeedEstimate, std::sync::Arc};

/// The most hubs whose estimates of an upstream are kept: those with the most evidence.
const MAX_SENDERS: usize = 4;
/// How long an estimate of another hub counts after its newest answer, in milliseconds.
pub(super) const RECEIVED_LIFETIME_MS: u64 = 60_000;
/// The age of its newest answer at which an estimate of another hub weighs half, in milliseconds.
/// Estimates of hubs that no longer use the upstream must not outweigh new answers.
const HALF_WEIGHT_AGE_MS: f64 = 30_000.0;

/// The latest estimate that one hub announced.
#[derive(Clone, Debug)]
struct Received {
    sender: Arc<str>,
    estimate: SpeedEstimate,
    scatter: Option<f64>,
}

/// Estimates of one upstream's speed by other hubs. Only the latest of each hub counts, so a repeated
/// announcement adds no weight.
#[derive(Clone, Debug, Default)]
pub(super) struct ReceivedSpeeds {
    received: Vec<Received>,
}

impl ReceivedSpeeds {
    pub(super) fn record(
        &mut self,
        sender: &Arc<str>,
        estimate: SpeedEstimate,
        scatter: Option<f64>,
    ) {
        self.received.retain(|r| r.sender != *sender);
        self.received.push(Received {
            sender: sender.clone(),
            estimate,
            scatter,
        });
        if self.received.len() > MAX_SENDERS {
            self.received
                .sort_by(|a, b| b.estimate.weight.total_cmp(&a.estimate.weight));
            self.received.truncate(MAX_SENDERS);
        }
    }

    pub(super) fn tick(&mut self, now_ms: u64) {
        self.received
            .retain(|r| now_ms < r.estimate.at_ms + RECEIVED_LIFETIME_MS);
    }

    pub(super) fn is_empty(&self) -> bool {
        self.received.is_empty()
    }

    /// Returns the estimates, with weights that fall with age.
    pub(super) fn estimates(&self, now_ms: u64) -> impl Iterator<Item = SpeedEstimate> {
        self.received.iter().map(move |Received { estimate, .. }| {
            let age_ms = now_ms.saturating_sub(estimate.at_ms) as f64;
            SpeedEstimate {
                weight: estimate.weight * (-age_ms / HALF_WEIGHT_AGE_MS).exp2(),
                ..*estimate
            }
        })
    }

    /// Returns the largest scatter that a hub announced. The cautious choice: a larger scatter
    /// needs more evidence before an upstream counts as different.
    pub(super) fn scatter(&self) -> Option<f64> {
        let told = self.received.iter().filter_map(|r| r.scatter);
        told.max_by(f64::total_cmp)
    }
}
