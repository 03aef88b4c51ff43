//! What a daemon knows of software versions, by the changes of its directory.

use {
    crate::support,
    saddlepulley::{names::ServiceName, policy::SeenVersions, upstreams::Upstream},
};

fn upstream(index: u32, version: &str, offset: u64) -> Upstream {
    Upstream {
        version: version.into(),
        ..support::source_upstream(index, offset)
    }
}

/// Guards against streams at two versions: a daemon without requests took the newest version for the only one.
#[test]
fn a_daemon_without_requests_knows_the_versions_that_have_gone() {
    let gateway = support::gateway("");
    let list = |upstreams: Vec<Upstream>, position| {
        gateway.change_directory(|directory, _| directory.replace(upstreams, position, None));
    };
    list(vec![upstream(1, "v1", 1)], 2);
    list(vec![upstream(2, "v2", 3)], 4);
    let service = ServiceName::from("s");
    assert_eq!(gateway.known_versions(&service).seen, SeenVersions::Several);
}
