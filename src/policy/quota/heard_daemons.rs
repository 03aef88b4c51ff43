/// How long a hub reserves a part of the quotas for daemons that it may not have heard yet, in
/// milliseconds. A silent hub's share is reserved for the same time.
pub const SHARE_RESERVATION_MS: u64 = 30_000;
/// Smaller parts are not reserved, since views of the number of daemons differ by some for a moment.
const MIN_UNHEARD_SHARE: f64 = 0.05;

/// What a hub that started recently has heard of the others.
///
/// Answers daemons that start behind a cut. They hear only their own side, while the other side
/// keeps its share of each quota. Until the reservation ends, they leave out the share of the
/// failure domains that they haven't heard, and of the daemons that others remember.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HeardDaemons {
    /// How long this daemon has been a hub, in milliseconds.
    pub hub_age_ms: u64,
    /// The number of failure domains by the settings.
    pub domains: usize,
    /// The number of these with a daemon that was heard, this daemon's own included.
    pub heard_domains: usize,
    /// The number of daemons that were heard, or that send their queries to those, this one included.
    pub daemons: usize,
    /// The highest number of daemons that another live hub knows.
    pub known_to_others: usize,
    /// Another live hub has run for longer than shares are reserved, so it has heard all daemons that
    /// can be heard.
    pub is_any_complete: bool,
}

impl HeardDaemons {
    /// Returns the share of each quota that is reserved for daemons that were not heard. A failure
    /// domain counts as much as the average of those that were heard.
    pub fn unheard_share(&self) -> f64 {
        if self.hub_age_ms >= SHARE_RESERVATION_MS {
            return 0.0;
        }
        let by_count = missing_share(self.daemons, self.known_to_others);
        // A failure domain in the settings may have no daemons.
        let share = match self.is_any_complete {
            true => by_count,
            false => by_count.max(missing_share(self.heard_domains, self.domains)),
        };
        if share < MIN_UNHEARD_SHARE {
            0.0
        } else {
            share
        }
    }
}

fn missing_share(heard: usize, all: usize) -> f64 {
    let heard = heard.max(1) as f64;
    (1.0 - heard / heard.max(all as f64)).max(0.0)
}
