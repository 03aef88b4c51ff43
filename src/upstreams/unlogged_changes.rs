use crate::names::UpstreamId;

/// How many upstreams a log line names.
const NAMED: usize = 40;

/// What a daemon has just learned of upstreams: many often leave together, and
/// one line each would make up most of the log.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UnloggedChanges {
    /// Those that began to leave, with the offsets at which they said so.
    pub leaving: Vec<(UpstreamId, u64)>,
    /// Those whose entries went, with the offsets of these.
    pub removed_ids: Vec<(UpstreamId, u64)>,
}

impl UnloggedChanges {
    /// Logs a line for each kind of news there is.
    pub fn log(&self, revision: u64) {
        for (what, upstreams) in [("leave", &self.leaving), ("gone", &self.removed_ids)] {
            if upstreams.is_empty() {
                continue;
            }
            let named = upstreams.iter().take(NAMED);
            let named: Vec<String> = named.map(|(id, offset)| format!("{id}@{offset}")).collect();
            log::info!(
                target: "upstreams",
                "{what}. count={} directory={revision} upstreams={}",
                upstreams.len(),
                named.join(",")
            );
        }
    }
}
