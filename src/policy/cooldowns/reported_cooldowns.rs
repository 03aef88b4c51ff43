use {
    super::CooldownTable,
    crate::names::{BoxId, UpstreamId},
    std::{collections::HashMap, time::Duration},
};

/// How many daemons an upstream must have asked for rest to be left alone by others, too:
/// one of them may only be meant itself.
const ASKED_DAEMONS: usize = 2;

/// What upstreams want of a daemon, and of those that it places for, as these report it.
/// Times are milliseconds of the daemon's steady clock.
#[derive(Clone, Debug, Default)]
pub struct ReportedCooldowns {
    by_daemon: HashMap<BoxId, CooldownTable>,
}

impl ReportedCooldowns {
    /// Takes in how much rest an upstream still wants of a daemon.
    pub fn apply(&mut self, daemon: &BoxId, id: &UpstreamId, left: Duration, now_ms: u64) {
        let cooldowns = self.by_daemon.entry(daemon.clone()).or_default();
        cooldowns.record(id, left, now_ms);
    }

    /// Returns the upstreams that want rest of so many daemons that it is no matter of one.
    /// Without this, each daemon of many with few requests each would learn it by a request
    /// turned away.
    pub fn in_cooldown_for_many(&self, now_ms: u64) -> Vec<UpstreamId> {
        let mut asked: HashMap<&UpstreamId, usize> = HashMap::new();
        let in_cooldown = self.by_daemon.values().flat_map(|b| b.in_cooldown(now_ms));
        for (id, _) in in_cooldown {
            *asked.entry(id).or_default() += 1;
        }
        let many = asked
            .into_iter()
            .filter(|(_, count)| *count >= ASKED_DAEMONS);
        many.map(|(id, _)| id.clone()).collect()
    }

    /// Forgets rests that are over, and upstreams that are gone.
    pub fn retain(&mut self, is_known: impl Fn(&UpstreamId) -> bool, now_ms: u64) {
        self.by_daemon.retain(|_, cooldowns| {
            cooldowns.retain(&is_known, now_ms);
            cooldowns.in_cooldown(now_ms).next().is_some()
        });
    }
}
