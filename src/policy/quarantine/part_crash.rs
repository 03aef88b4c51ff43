use {
    crate::names::{PartFingerprint, UpstreamId},
    std::collections::{BTreeMap, BTreeSet},
};

/// Observations of one upstream within this time are one crash, in milliseconds: requests are cut off one
/// after the other, by daemons whose announcements take some time.
const MERGE_WINDOW_MS: u64 = 1_000;
/// Upper bound of the parts kept for one crash, to limit memory.
const MAX_PARTS: usize = 256;
/// Upper bound of the accounts kept for one part at one crash, to limit memory.
const MAX_ACCOUNTS: usize = 4;

/// A hash of a client account's name, or that of no account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AccountHash(pub u32);

/// A crash of an upstream while it ran requests whose prompts hold a part, as daemons exchange it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct KnownPartCrash {
    /// The part.
    pub part: PartFingerprint,
    /// The upstream that crashed.
    pub upstream: UpstreamId,
    /// Age of the crash, in milliseconds.
    pub age_ms: u64,
    /// How long the upstream had been answering the longest of these requests, in milliseconds.
    pub answering_ms: u64,
    /// How deep in these prompts the part was: 0 for the first part.
    pub depth: u8,
    /// The client accounts of these requests.
    pub accounts: Vec<AccountHash>,
    /// The daemon that announces it holds the part back.
    pub is_held: bool,
}

/// What is known of a part at one crash.
#[derive(Clone, Debug, Default)]
pub(super) struct Presence {
    /// How long the upstream had been answering the longest of the requests with the part, in
    /// milliseconds.
    pub answering_ms: u64,
    /// How deep in the prompts the part was: 0 for the first part.
    pub depth: u8,
    pub accounts: BTreeSet<AccountHash>,
    /// An answer has shown since that the part did not cause the crash.
    pub is_cleared: bool,
    /// This daemon observed the part at the crash itself.
    pub is_own: bool,
    /// Another daemon announced that it holds the part back, for this crash among others.
    pub is_held_elsewhere: bool,
    /// How many more times this is announced.
    pub announcements_left: u8,
    /// It is announced to other hubs, not only to members.
    pub announces_to_hubs: bool,
}

impl Presence {
    /// Adds what another observation of the same crash says.
    pub fn merge(
        &mut self,
        answering_ms: u64,
        depth: u8,
        accounts: impl Iterator<Item = AccountHash>,
    ) {
        self.answering_ms = self.answering_ms.max(answering_ms);
        self.depth = self.depth.max(depth);
        for account in accounts {
            if self.accounts.len() < MAX_ACCOUNTS {
                self.accounts.insert(account);
            }
        }
    }
}

/// A crash of an upstream, with the parts of the prompts that it was running.
#[derive(Clone, Debug)]
pub(super) struct PartCrash {
    pub upstream: UpstreamId,
    /// Time of the crash, in milliseconds of the daemon's steady clock.
    pub at_ms: u64,
    /// Number of requests that it cut off, as this daemon observed.
    pub cut_off: u32,
    pub parts: BTreeMap<PartFingerprint, Presence>,
}

impl PartCrash {
    /// Returns whether a crash of `upstream` at `at_ms` is this one.
    pub fn is_same(&self, upstream: &UpstreamId, at_ms: u64) -> bool {
        self.upstream == *upstream && self.at_ms.abs_diff(at_ms) < MERGE_WINDOW_MS
    }

    /// Returns the entry of a part, and whether it is new; none if there are too many.
    pub fn presence(&mut self, part: PartFingerprint) -> Option<(&mut Presence, bool)> {
        let is_new = !self.parts.contains_key(&part);
        if is_new && self.parts.len() >= MAX_PARTS {
            return None;
        }
        Some((self.parts.entry(part).or_default(), is_new))
    }

    /// Returns the parts that may have caused the crash.
    pub fn open_parts(&self) -> impl Iterator<Item = PartFingerprint> {
        let open = self.parts.iter().filter(|(_, p)| !p.is_cleared);
        open.map(|(part, _)| *part)
    }

    /// Returns whether a part may have caused the crash.
    pub fn is_open(&self, part: PartFingerprint) -> bool {
        self.parts.get(&part).is_some_and(|p| !p.is_cleared)
    }

    /// Returns what is known of a part here, as it is announced.
    pub fn known(
        &self,
        part: PartFingerprint,
        is_held: bool,
        now_ms: u64,
    ) -> Option<KnownPartCrash> {
        let presence = self.parts.get(&part)?;
        Some(KnownPartCrash {
            part,
            upstream: self.upstream.clone(),
            age_ms: now_ms.saturating_sub(self.at_ms),
            answering_ms: presence.answering_ms,
            depth: presence.depth,
            accounts: presence.accounts.iter().copied().collect(),
            is_held,
        })
    }
}
