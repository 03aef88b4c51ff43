use {
    super::{Upstream, UpstreamDirectory},
    crate::{names::SourcePosition, policy::ServiceVersions},
};

/// The entries of upstreams that one read of a shared source returned.
#[derive(Clone, Debug)]
pub struct SourceRead {
    /// The entries, in the order of the source.
    pub entries: Vec<SourceEntry>,
    /// True for a full listing of the source, false for the changes since the previous read.
    pub is_complete: bool,
    /// The position up to which the source has been read with these entries.
    pub end: SourcePosition,
}

/// An entry that was written to or deleted from a shared source.
#[derive(Clone, Debug)]
pub struct SourceEntry {
    /// The key of the entry, which is the name of the upstream without its incarnation.
    pub key: String,
    /// The offset of the record in the source.
    pub offset: u64,
    /// True if the entry was deleted.
    pub is_deleted: bool,
    /// The upstream that the entry describes; none if it was deleted or describes no usable one.
    pub upstream: Option<Upstream>,
}

impl SourceRead {
    /// Returns the software versions of the upstreams, by service.
    pub fn versions(&self) -> ServiceVersions {
        let mut versions = ServiceVersions::default();
        for upstream in self.entries.iter().filter_map(|e| e.upstream.as_ref()) {
            versions.add(&upstream.service, &upstream.version);
        }
        versions
    }

    /// Applies the entries to a directory. With `lapsed_until_ms`, upstreams whose entries are missing are
    /// kept until then, in case the entries are written again.
    pub fn apply(self, directory: &mut UpstreamDirectory, lapsed_until_ms: Option<u64>) {
        if self.is_complete {
            let upstreams = self.entries.into_iter().filter_map(|e| e.upstream);
            directory.replace(upstreams.collect(), self.end.offset, lapsed_until_ms);
            return;
        }
        for entry in self.entries {
            entry.apply(directory, lapsed_until_ms);
        }
        directory.read_to(self.end.offset);
    }
}

impl SourceEntry {
    fn apply(self, directory: &mut UpstreamDirectory, lapsed_until_ms: Option<u64>) {
        match (self.upstream, lapsed_until_ms) {
            (Some(upstream), _) => {
                directory.upsert(upstream);
            }
            (None, Some(until_ms)) if self.is_deleted => {
                directory.lapse(&self.key, self.offset, until_ms);
            }
            // An entry that describes no usable upstream replaces the former entry under its key,
            // so the former upstream is removed.
            (None, _) => directory.remove(&self.key, self.offset),
        }
    }
}
