use {
    crate::policy::*,
    std::collections::{BTreeMap, BTreeSet},
    uuid::Uuid,
};

/// What the log says of one key, folded in offset order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyClaims {
    /// The claim that holds the right, if any.
    pub winner: Option<Winner>,
    /// Claims that never win again: released, or beaten.
    dead: BTreeSet<Uuid>,
}

/// The claim that holds a key's right.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Winner {
    /// The claim.
    pub nonce: Uuid,
    /// Who holds it.
    pub by: BoxIncarnation,
    /// Its offset in the log, plus one.
    pub fence: u64,
}

impl KeyClaims {
    /// Folds one record of this key.
    pub fn fold(&mut self, offset: u64, record: &ClaimRecord) {
        match record {
            ClaimRecord::Claim { nonce, by, .. } => self.fold_claim(offset, *nonce, by),
            ClaimRecord::Release { nonce, .. } => self.fold_release(*nonce),
        }
    }

    /// Returns whether a claim can never win any more.
    pub fn is_dead(&self, nonce: Uuid) -> bool {
        self.dead.contains(&nonce)
    }

    fn fold_claim(&mut self, offset: u64, nonce: Uuid, by: &BoxIncarnation) {
        if self.dead.contains(&nonce) {
            return;
        }
        match &self.winner {
            None => {
                self.winner = Some(Winner {
                    nonce,
                    by: by.clone(),
                    fence: offset + 1,
                });
            }
            Some(winner) if winner.nonce == nonce => {}
            // Beaten for good: a doubled append of it must not win after a release.
            Some(_) => {
                self.dead.insert(nonce);
            }
        }
    }

    fn fold_release(&mut self, nonce: Uuid) {
        self.dead.insert(nonce);
        if self.winner.as_ref().is_some_and(|w| w.nonce == nonce) {
            self.winner = None;
        }
    }
}

/// The claims of all keys within the window.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    next: u64,
    keys: BTreeMap<ClaimKey, KeyClaims>,
}

impl ClaimFold {
    /// Folds the records at an offset; each offset folds once.
    pub fn fold(&mut self, offset: u64, records: &[ClaimRecord]) {
        if offset < self.next {
            return;
        }
        self.next = offset + 1;
        for record in records {
            self.keys
                .entry(record.key().clone())
                .or_default()
                .fold(offset, record);
        }
    }

    /// Returns the offset of the next record to fold.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Returns what is known of a key.
    pub fn key(&self, key: &ClaimKey) -> Option<&KeyClaims> {
        self.keys.get(key)
    }

    /// Forgets keys made before a time, which nobody may claim any more.
    pub fn forget_before(&mut self, unix_ms: u64) {
        self.keys.retain(|key, _| key.request.unix_ms() >= unix_ms);
    }

    /// Returns how many keys are held.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns whether no key is held.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
