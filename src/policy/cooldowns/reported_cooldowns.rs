use {
    super::CooldownTable,
    crate::names::{BoxId, UpstreamId},
    std::{collections::HashMap, time::Duration},
};

/// Number of daemons to which an upstream must have named a cooldown before other daemons
/// avoid it, too. A cooldown named to a single daemon may concern only that daemon.
const MIN_REPORTING_DAEMONS: usize = 2;

/// The cooldowns that upstreams named to this daemon and to the daemons for which it places
/// requests, as those report them. Times are milliseconds of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct ReportedCooldowns {
    by_daemon: HashMap<BoxId, CooldownTable>,
}

impl ReportedCooldowns {
    /// Applies the remaining cooldown that a daemon reports for an upstream.
    pub fn apply(&mut self, daemon: &BoxId, id: &UpstreamId, left: Duration, now_ms: u64) {
        let cooldowns = self.by_daemon.entry(daemon.clone()).or_default();
        cooldowns.record(id, left, now_ms);
    }

    /// Returns the upstreams that are in cooldown for at least [`MIN_REPORTING_DAEMONS`]
    /// daemons. Without this, where many daemons send few requests each, every daemon would
    /// learn of the cooldown only by a refused request.
    pub fn in_cooldown_for_many(&self, now_ms: u64) -> Vec<UpstreamId> {
        let mut daemon_counts: HashMap<&UpstreamId, usize> = HashMap::new();
        let in_cooldown = self.by_daemon.values().flat_map(|b| b.in_cooldown(now_ms));
        for (id, _) in in_cooldown {
            *daemon_counts.entry(id).or_default() += 1;
        }
        let many = daemon_counts
            .into_iter()
            .filter(|(_, count)| *count >= MIN_REPORTING_DAEMONS);
        many.map(|(id, _)| id.clone()).collect()
    }

    /// Removes cooldowns that are over and those of upstreams that are no longer known.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now_ms: u64) {
        self.by_daemon.retain(|_, cooldowns| {
            cooldowns.retain(&is_known, now_ms);
            cooldowns.in_cooldown(now_ms).next().is_some()
        });
    }
}
