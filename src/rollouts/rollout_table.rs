use {super::*, std::collections::BTreeMap};

/// Maximum age of the leader's last announcement while a small share stays in force, in
/// milliseconds: a few digests of a large system. A daemon that is cut off from the leader
/// sends nothing to a version that isn't known to be good, as it would not learn that the
/// version is bad.
const SHARE_LEASE_MS: u64 = 2_500;
/// Time after the completion of a rollout for which only the new version gets requests, in
/// milliseconds. The old ones stop at once, and their entries are removed a few heartbeats
/// later. Versions that appear after this time need no order.
const TARGET_ONLY_MS: u64 = 30_000;
/// Share below which a version counts as not yet known to be good.
const MAX_UNPROVEN_SHARE: f32 = 0.3;

/// Maximum number of rollouts in a digest: with more a digest might not fit into a datagram.
const MAX_ANNOUNCED: usize = 4;

/// Which upstreams of a service may get a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AllowedVersions {
    /// Upstreams of all versions.
    Any,
    /// Upstreams of the new version, or of the others if none of the new version is ready.
    Target,
    /// Upstreams of the other versions, or of the new one if there are no others at all.
    Others,
    /// Upstreams of the other versions, even if there are none.
    OnlyOthers,
}

#[derive(Clone, Debug)]
struct KnownRollout {
    rollout: Rollout,
    /// When the leader last announced this rollout, by the daemon's steady clock.
    confirmed_ms: u64,
    /// Fraction of a request that the new version has earned. Requests are counted and not
    /// drawn at random, so that the new version never gets more than its share of the
    /// requests that one daemon places. If each daemon keeps the share for its own requests,
    /// the share holds for all requests, without coordination.
    target_credit: f32,
}

/// The newest known rollout of each service. Times are milliseconds of the daemon's steady
/// clock.
#[derive(Clone, Debug, Default)]
pub struct RolloutTable {
    known: BTreeMap<String, KnownRollout>,
}

impl RolloutTable {
    /// Applies an announced rollout; returns true if it is newer than the known one.
    pub fn apply(&mut self, rollout: &Rollout, now_ms: u64) -> bool {
        let confirmed_ms = now_ms.saturating_sub(u64::from(rollout.age_ms));
        match self.known.get_mut(&rollout.service) {
            Some(known) if rollout.rank() < known.rollout.rank() => false,
            Some(known) if rollout.rank() == known.rollout.rank() => {
                known.confirmed_ms = known.confirmed_ms.max(confirmed_ms);
                false
            }
            known => {
                let target_credit = known.map_or(0.0, |k| k.target_credit);
                let received = KnownRollout {
                    rollout: rollout.clone(),
                    confirmed_ms,
                    target_credit,
                };
                self.known.insert(rollout.service.clone(), received);
                true
            }
        }
    }

    /// Returns the rollouts to announce to other daemons, the newest orders first.
    pub fn rollouts_to_announce(&self, now_ms: u64) -> Vec<Rollout> {
        let known = self.known.values();
        let announced = known.map(|k| Rollout {
            age_ms: now_ms
                .saturating_sub(k.confirmed_ms)
                .min(u64::from(u32::MAX)) as u32,
            ..k.rollout.clone()
        });
        let mut announced: Vec<_> = announced.collect();
        announced.sort_by_key(|rollout| std::cmp::Reverse(rollout.order));
        announced.truncate(MAX_ANNOUNCED);
        announced
    }

    /// Returns a service's rollout.
    pub fn get(&self, service: &str) -> Option<&Rollout> {
        self.known.get(service).map(|k| &k.rollout)
    }

    /// Returns whether a service's rollout to a version was rolled back.
    pub fn is_rolled_back(&self, service: &str, version: &str) -> bool {
        self.get(service).is_some_and(|rollout| {
            rollout.state == RolloutState::RolledBack && rollout.target == version
        })
    }

    /// Returns all rollouts.
    pub fn iter(&self) -> impl Iterator<Item = &Rollout> {
        self.known.values().map(|k| &k.rollout)
    }

    /// Returns the new version of a service whose rollout is in progress.
    pub fn in_progress_target(&self, service: &str) -> Option<&str> {
        let rollout = self.get(service)?;
        (rollout.state == RolloutState::InProgress).then_some(&*rollout.target)
    }

    /// Decides which versions may get a request for a service, and counts the request
    /// towards the share. A request that failed at the new version goes to the others.
    pub fn allow(&mut self, service: &str, failed_at_target: bool, now_ms: u64) -> AllowedVersions {
        let Some(known) = self.known.get_mut(service) else {
            return AllowedVersions::Any;
        };
        let age_ms = now_ms.saturating_sub(known.confirmed_ms);
        match known.rollout.state {
            RolloutState::Completed if age_ms > TARGET_ONLY_MS => return AllowedVersions::Any,
            RolloutState::Completed => return AllowedVersions::Target,
            RolloutState::RolledBack => return AllowedVersions::OnlyOthers,
            RolloutState::InProgress => {}
        }
        let share = known.rollout.share;
        let is_stale = age_ms > SHARE_LEASE_MS;
        if failed_at_target || share <= 0.0 || (is_stale && share < MAX_UNPROVEN_SHARE) {
            return AllowedVersions::Others;
        }
        known.target_credit = (known.target_credit + share).min(1.0);
        if known.target_credit < 1.0 {
            return AllowedVersions::Others;
        }
        known.target_credit -= 1.0;
        AllowedVersions::Target
    }
}
