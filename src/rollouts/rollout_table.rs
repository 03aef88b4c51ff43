use {super::*, std::collections::BTreeMap};

/// How old the leader's last word may be for a small share to go on, in milliseconds:
/// some digests of a large system. A daemon that is cut off from the leader sends nothing
/// to a version that is not known to be good, since it would not hear that it is bad.
const SHARE_LEASE_MS: u64 = 2_500;
/// For how long after a roll-out is completed only the new version gets requests, in
/// milliseconds: the old ones stop at once, and their entries go some heartbeats later.
/// Versions that come after that need no order.
const OLD_ONES_STOP_MS: u64 = 30_000;
/// Up to which share a version counts as not known to be good yet.
const UNPROVED_SHARE: f32 = 0.3;

/// How many roll-outs are told: with more a digest might not fit into a datagram.
const MAX_ANNOUNCED: usize = 4;

/// Which upstreams of a service may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedVersions {
    /// All.
    Any,
    /// Those of the new version; the others where none of it is ready.
    Target,
    /// Those of other versions; the new one where there are no others at all.
    Others,
    /// Those of other versions, come what may.
    OnlyOthers,
}

#[derive(Clone, Debug)]
struct Known {
    rollout: Rollout,
    /// When the leader said so, by the daemon's steady clock.
    said_ms: u64,
    /// What of a request for the new version is saved up. Requests are counted, not
    /// drawn, so that the new version never gets more than its share of those that one
    /// daemon places; shares of each daemon's own requests add up to the same share of
    /// all, without daemons hearing of each other.
    saved: f32,
}

/// The newest roll-out of each service, by what was heard. Times are milliseconds of the
/// daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct RolloutTable {
    known: BTreeMap<String, Known>,
}

impl RolloutTable {
    /// Takes in what was said of a roll-out; returns whether it is news.
    pub fn apply(&mut self, rollout: &Rollout, now_ms: u64) -> bool {
        let said_ms = now_ms.saturating_sub(u64::from(rollout.age_ms));
        match self.known.get_mut(&rollout.service) {
            Some(known) if rollout.rank() < known.rollout.rank() => false,
            Some(known) if rollout.rank() == known.rollout.rank() => {
                known.said_ms = known.said_ms.max(said_ms);
                false
            }
            known => {
                let saved = known.map_or(0.0, |k| k.saved);
                let heard = Known {
                    rollout: rollout.clone(),
                    said_ms,
                    saved,
                };
                self.known.insert(rollout.service.clone(), heard);
                true
            }
        }
    }

    /// Returns what to tell others, the newest orders first.
    pub fn rollouts_to_announce(&self, now_ms: u64) -> Vec<Rollout> {
        let known = self.known.values();
        let told = known.map(|k| Rollout {
            age_ms: now_ms.saturating_sub(k.said_ms).min(u64::from(u32::MAX)) as u32,
            ..k.rollout.clone()
        });
        let mut told: Vec<_> = told.collect();
        told.sort_by_key(|rollout| std::cmp::Reverse(rollout.order));
        told.truncate(MAX_ANNOUNCED);
        told
    }

    /// Returns a service's roll-out.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.known.get(service).map(|k| &k.rollout)
    }

    /// Returns all roll-outs.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.known.values().map(|k| &k.rollout)
    }

    /// Returns the version that a service is moving to, if it is.
    pub fn in_progress_target(&self, service: &str) -> Option<&str> {
        let rollout = self.get(service)?;
        (rollout.state == RolloutState::InProgress).then_some(&*rollout.target)
    }

    /// Decides where a request for a service may go, and counts it. One that the new
    /// version failed goes to another.
    pub fn allow(&mut self, service: &str, failed_at_target: bool, now_ms: u64) -> AllowedVersions {
        let Some(known) = self.known.get_mut(service) else {
            return AllowedVersions::Any;
        };
        let age_ms = now_ms.saturating_sub(known.said_ms);
        match known.rollout.state {
            RolloutState::Completed if age_ms > OLD_ONES_STOP_MS => return AllowedVersions::Any,
            RolloutState::Completed => return AllowedVersions::Target,
            RolloutState::RolledBack => return AllowedVersions::OnlyOthers,
            RolloutState::InProgress => {}
        }
        let share = known.rollout.share;
        let is_stale = age_ms > SHARE_LEASE_MS;
        if failed_at_target || share <= 0.0 || (is_stale && share < UNPROVED_SHARE) {
            return AllowedVersions::Others;
        }
        known.saved = (known.saved + share).min(1.0);
        if known.saved < 1.0 {
            return AllowedVersions::Others;
        }
        known.saved -= 1.0;
        AllowedVersions::Target
    }
}
