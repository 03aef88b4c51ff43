use {
    crate::policy::*,
    std::collections::{BTreeMap, BTreeSet},
    uuid::Uuid,
};

/// The claims of one key, folded from the log in offset order.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct KeyClaims {
    /// The claim that holds the right, if any.
    pub winner: Option<Winner>,
    /// Nonces of claims that can no longer win: they were released, or came after the
    /// winner.
    void: BTreeSet<Uuid>,
}

/// The claim that holds the right to a key.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Winner {
    /// The claim's nonce.
    pub nonce: Uuid,
    /// The box that holds the right.
    pub by: BoxIncarnation,
    /// The fencing token: the claim's offset in the log, plus one.
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

    /// Returns true if a claim can no longer win.
    pub fn is_void(&self, nonce: Uuid) -> bool {
        self.void.contains(&nonce)
    }

    fn fold_claim(&mut self, offset: u64, nonce: Uuid, by: &BoxIncarnation) {
        if self.void.contains(&nonce) {
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
            // A claim that comes after the winner stays void: a duplicate append of it
            // must not win after the winner's release.
            Some(_) => {
                self.void.insert(nonce);
            }
        }
    }

    fn fold_release(&mut self, nonce: Uuid) {
        self.void.insert(nonce);
        if self.winner.as_ref().is_some_and(|w| w.nonce == nonce) {
            self.winner = None;
        }
    }
}

/// The claims of all keys that are young enough to be claimed.
#[derive(Clone, Debug, Default)]
pub struct ClaimFold {
    /// Offset of the next record to fold.
    next: u64,
    keys: BTreeMap<ClaimKey, KeyClaims>,
}

impl ClaimFold {
    /// Folds the records at an offset. An offset that was folded before is ignored.
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

    /// Returns the claims of a key.
    pub fn key(&self, key: &ClaimKey) -> Option<&KeyClaims> {
        self.keys.get(key)
    }

    /// Removes keys of requests created before `unix_ms`, which are too old to be
    /// claimed.
    pub fn forget_before(&mut self, unix_ms: u64) {
        self.keys.retain(|key, _| key.request.unix_ms() >= unix_ms);
    }

    /// Returns the number of keys.
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Returns true if there are no keys.
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }
}
