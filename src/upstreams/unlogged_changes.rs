use crate::names::UpstreamId;

/// Maximum number of upstreams that one log line lists.
const MAX_LOGGED_IDS: usize = 40;

/// Changes of the directory that are not logged yet. Many upstreams often leave together,
/// and one line for each would make up most of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnloggedChanges {
    /// Upstreams that began to leave, with the offsets of the records that say so.
    pub leaving: Vec<(UpstreamId, u64)>,
    /// Removed upstreams, with the offsets of their last entries.
    pub removed_ids: Vec<(UpstreamId, u64)>,
    /// Upstreams whose entries are missing but may come back, with the offsets at which they are missing.
    pub missing: Vec<(UpstreamId, u64)>,
    /// Upstreams whose entries were missing or not confirmed, and are back, with the offsets of the records
    /// that show it.
    pub returned: Vec<(UpstreamId, u64)>,
}

impl UnloggedChanges {
    /// Logs one line for each kind of change that occurred.
    pub fn log(&self, revision: u64) {
        let kinds = [
            ("leave", &self.leaving),
            ("gone", &self.removed_ids),
            ("missing", &self.missing),
            ("returned", &self.returned),
        ];
        for (what, upstreams) in kinds {
            if upstreams.is_empty() {
                continue;
            }
            let listed = upstreams.iter().take(MAX_LOGGED_IDS);
            let listed: Vec<String> = listed
                .map(|(id, offset)| format!("{id}@{offset}"))
                .collect();
            log::info!(
                target: "upstreams",
                "{what}. count={} directory={revision} upstreams={}",
                upstreams.len(),
                listed.join(",")
            );
        }
    }
}
