//! What a daemon knows of software versions, by the changes of its directory.

use {
    crate::support,
    saddlepulley::{
        names::{FailureDomain, ServiceName, UpstreamId},
        policy::SeenVersions,
        upstreams::Upstream,
    },
};

fn upstream(name: &str, version: &str, offset: u64) -> Upstream {
    Upstream {
        id: UpstreamId::from(name),
        service: ServiceName::from("s"),
        // Nothing listens there.
        address: "127.0.0.1:1".parse().unwrap(),
        domain: FailureDomain::from("a"),
        slots: 8,
        draining: false,
        version: version.into(),
        reclaimable: false,
        offset,
    }
}

/// Guards against streams at two versions: a daemon without requests took the newest version for the only one.
#[test]
fn a_daemon_without_requests_knows_the_versions_that_have_gone() {
    let gateway = support::gateway("");
    let list = |upstreams: Vec<Upstream>, position| {
        gateway.change_directory(|directory, _| directory.replace(upstreams, position, None));
    };
    list(vec![upstream("u1", "v1", 1)], 2);
    list(vec![upstream("u2", "v2", 3)], 4);
    let service = ServiceName::from("s");
    assert_eq!(gateway.known_versions(&service).seen, SeenVersions::Several);
}
