//! An upstream may restart under the same id. The newer incarnation replaces the older one, and late
//! entries of the older one have no effect.

use saddlepulley::{
    names::{FailureDomain, ServiceName, UpstreamId},
    upstreams::{Upstream, UpstreamDirectory},
};

fn upstream(started_ms: u64, port: u16, offset: u64) -> Upstream {
    Upstream {
        id: UpstreamId::of_incarnation("b", started_ms),
        service: ServiceName::from("s"),
        address: ([10, 0, 0, 1], port).into(),
        domain: FailureDomain::from("a"),
        slots: 8,
        draining: false,
        version: Default::default(),
        reclaimable: false,
        offset,
    }
}

fn ready(directory: &UpstreamDirectory) -> Vec<(UpstreamId, u16)> {
    let service = ServiceName::from("s");
    let ready = directory.ready(&service);
    ready.map(|u| (u.id.clone(), u.address.port())).collect()
}

#[test]
fn an_id_names_an_upstream_and_one_incarnation_of_it() {
    let id = UpstreamId::of_incarnation("i-7f", 1_764_720_000_123);
    assert_eq!(id.upstream(), "i-7f");
    assert_eq!(id.started_ms(), 1_764_720_000_123);
    assert_eq!(
        UpstreamId::from(id.as_str()),
        id,
        "as received from other daemons"
    );
    let plain = UpstreamId::from("i-7f");
    assert_eq!((plain.upstream(), plain.started_ms()), ("i-7f", 0));
}

#[test]
fn a_newer_incarnation_replaces_the_older_one() {
    let mut directory = UpstreamDirectory::default();
    directory.upsert(upstream(1_000, 1, 5));
    directory.read_to(6);
    let cursor = directory.changes_since(None).cursor;
    directory.upsert(upstream(2_000, 2, 6));
    assert_eq!(
        ready(&directory),
        [(UpstreamId::of_incarnation("b", 2_000), 2)]
    );
    let changes = directory.changes_since(Some(cursor));
    assert_eq!(
        changes.removed_ids,
        [UpstreamId::of_incarnation("b", 1_000)]
    );
}

#[test]
fn a_late_entry_of_an_older_incarnation_has_no_effect() {
    let mut directory = UpstreamDirectory::default();
    directory.upsert(upstream(1_000, 1, 5));
    directory.upsert(upstream(2_000, 2, 6));
    let mut late = upstream(1_000, 1, 7);
    late.draining = true;
    directory.upsert(late.clone());
    assert_eq!(
        ready(&directory),
        [(UpstreamId::of_incarnation("b", 2_000), 2)]
    );
    // The late entry may also have replaced the newer incarnation's entry in the source.
    directory.replace(vec![late], 8, None);
    assert_eq!(
        ready(&directory),
        [(UpstreamId::of_incarnation("b", 2_000), 2)]
    );
    // The same holds after the newer incarnation was removed.
    directory.remove("b", 8);
    directory.upsert(upstream(1_000, 1, 9));
    assert_eq!(ready(&directory), []);
}

#[test]
fn a_leaving_incarnation_does_not_bar_a_newer_one() {
    let mut directory = UpstreamDirectory::default();
    let mut leaving = upstream(1_000, 1, 5);
    leaving.draining = true;
    directory.upsert(leaving);
    directory.remove("b", 6);
    directory.upsert(upstream(2_000, 1, 7));
    assert_eq!(
        ready(&directory),
        [(UpstreamId::of_incarnation("b", 2_000), 1)]
    );
}

#[test]
fn an_update_with_an_older_incarnation_does_not_replace_the_newer_one() {
    let mut late = UpstreamDirectory::default();
    late.replace(vec![upstream(1_000, 1, 5)], 6, None);
    let mut own = UpstreamDirectory::default();
    own.apply(late.changes_since(None));
    own.upsert(upstream(2_000, 2, 6));
    own.apply(late.changes_since(None));
    assert_eq!(ready(&own), [(UpstreamId::of_incarnation("b", 2_000), 2)]);
    late.apply(own.changes_since(None));
    assert_eq!(ready(&late), [(UpstreamId::of_incarnation("b", 2_000), 2)]);
}
