use {
    super::{KeyedBatch, UnusableEntries},
    crate::{
        names::SourcePosition,
        policy::RecordedVersions,
        upstreams::{Upstream, UpstreamDirectory},
    },
};

/// The runners' entries of one read, decoded.
#[derive(Debug)]
pub struct ReadEntries {
    entries: Vec<ReadEntry>,
    is_complete: bool,
    /// The position up to which the store has been read with these entries.
    pub end: SourcePosition,
    unusable: UnusableEntries,
}

/// An entry that was written or deleted.
#[derive(Debug)]
struct ReadEntry {
    key: String,
    offset: u64,
    is_deleted: bool,
    /// The upstream that the entry names; none if it was deleted or names no usable one.
    upstream: Option<Upstream>,
}

impl ReadEntries {
    /// Decodes the entries of a read.
    pub fn of(batch: KeyedBatch) -> Self {
        let mut unusable = UnusableEntries::new(batch.unreadable);
        let entries = batch.records.into_iter().map(|record| ReadEntry {
            upstream: unusable.upstream(&record),
            key: record.key,
            offset: record.offset,
            is_deleted: record.value.is_none(),
        });
        Self {
            entries: entries.collect(),
            is_complete: batch.is_complete,
            end: batch.end,
            unusable,
        }
    }

    /// Returns the software versions of the upstreams, by service.
    pub fn versions(&self) -> RecordedVersions {
        let mut versions = RecordedVersions::default();
        for upstream in self.entries.iter().filter_map(|e| e.upstream.as_ref()) {
            versions.add(&upstream.service, &upstream.version);
        }
        versions
    }

    /// Applies the entries to the directory of upstreams. With `lapsed_until_ms`, upstreams whose entries
    /// are missing only lapse, and may come back until then.
    pub fn apply(self, directory: &mut UpstreamDirectory, lapsed_until_ms: Option<u64>) {
        match self.is_complete {
            true => {
                let upstreams = self.entries.into_iter().filter_map(|e| e.upstream);
                directory.replace(upstreams.collect(), self.end.offset, lapsed_until_ms);
            }
            false => {
                for entry in self.entries {
                    entry.apply(directory, lapsed_until_ms);
                }
                directory.read_to(self.end.offset);
            }
        }
        self.unusable.log();
    }
}

impl ReadEntry {
    fn apply(self, directory: &mut UpstreamDirectory, lapsed_until_ms: Option<u64>) {
        match (self.upstream, lapsed_until_ms) {
            (Some(upstream), _) => {
                directory.upsert(upstream);
            }
            (None, Some(until_ms)) if self.is_deleted => {
                directory.lapse(&self.key, self.offset, until_ms);
            }
            // An entry that names no usable upstream replaces the former entry under its key,
            // so the former upstream is removed.
            (None, _) => directory.remove(&self.key, self.offset),
        }
    }
}
