//! An upstream may start again under the id that it had: a later life knows nothing of
//! the one before, and what comes late of that one changes nothing.

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
fn an_id_names_an_upstream_and_one_life_of_it() {
    let id = UpstreamId::of_incarnation("i-7f", 1_764_720_000_123);
    assert_eq!(id.upstream(), "i-7f");
    assert_eq!(id.started_ms(), 1_764_720_000_123);
    assert_eq!(
        UpstreamId::from(id.as_str()),
        id,
        "as other daemons tell it"
    );
    let plain = UpstreamId::from("i-7f");
    assert_eq!((plain.upstream(), plain.started_ms()), ("i-7f", 0));
}

#[test]
fn a_later_life_takes_the_place_of_the_one_before() {
    let mut directory = UpstreamDirectory::default();
    directory.upsert(upstream(1_000, 1, 5));
    directory.read_to(6);
    let told = directory.changes_since(None).cursor;
    directory.upsert(upstream(2_000, 2, 6));
    assert_eq!(
        ready(&directory),
        [(UpstreamId::of_incarnation("b", 2_000), 2)]
    );
    let changes = directory.changes_since(Some(told));
    assert_eq!(
        changes.removed_ids,
        [UpstreamId::of_incarnation("b", 1_000)]
    );
}

#[test]
fn what_comes_late_of_the_life_before_changes_nothing() {
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
    // It may have taken the place of the later life's entry, too.
    directory.replace(vec![late], 8, None);
    assert_eq!(
        ready(&directory),
        [(UpstreamId::of_incarnation("b", 2_000), 2)]
    );
    // Also after the later life has gone.
    directory.remove("b", 8);
    directory.upsert(upstream(1_000, 1, 9));
    assert_eq!(ready(&directory), []);
}

#[test]
fn a_life_that_was_leaving_bars_no_later_one() {
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
fn a_daemon_that_is_told_of_the_life_before_keeps_the_later_one() {
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
