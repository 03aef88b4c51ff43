use {super::ShareClaim, std::collections::BTreeMap};

/// Assures each claimant a share of the released work, in whatever order the rest is released.
///
/// While a claimant has waiting requests, it is credited its share of all released work. It is due
/// once its credit covers its next request. A claimant without waiting requests loses its credit.
#[derive(Clone, Debug)]
pub struct AssuredShares<K> {
    /// The credit of each claimant: work that it has earned and not used, in milliseconds.
    earned_ms: BTreeMap<K, f64>,
}

impl<K> Default for AssuredShares<K> {
    fn default() -> Self {
        Self {
            earned_ms: BTreeMap::new(),
        }
    }
}

impl<K: Ord + Clone> AssuredShares<K> {
    /// Returns the claimant with the largest credit of those that are due.
    pub fn due<'a>(&self, claims: &'a [ShareClaim<K>]) -> Option<&'a K> {
        let surplus = |claim: &ShareClaim<K>| self.earned(&claim.key) - claim.next_work_ms;
        let due = claims.iter().filter(|c| surplus(c) >= 0.0);
        let longest = due.max_by(|a, b| self.earned(&a.key).total_cmp(&self.earned(&b.key)));
        longest.map(|claim| &claim.key)
    }

    /// Records that a request of `served` was released while `claims` waited.
    pub fn record(&mut self, served: &K, work_ms: f64, claims: &[ShareClaim<K>]) {
        let mut earned_ms = BTreeMap::new();
        for claim in claims {
            let before = self.earned(&claim.key);
            // A larger credit would later release several requests of one claimant in a row.
            let most = (claim.next_work_ms * 2.0).max(before);
            let mut earned = (before + claim.share * work_ms).min(most);
            if claim.key == *served {
                earned = (earned - work_ms).max(0.0);
            }
            if earned > 0.0 {
                earned_ms.insert(claim.key.clone(), earned);
            }
        }
        self.earned_ms = earned_ms;
    }

    fn earned(&self, key: &K) -> f64 {
        self.earned_ms.get(key).copied().unwrap_or(0.0)
    }
}
