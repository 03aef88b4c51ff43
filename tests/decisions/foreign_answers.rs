//! Which bytes of an upstream are taken for the answer to a request.

use {
    http::{HeaderMap, Response, response::Parts},
    saddlepulley::{
        gateway::{ForeignAnswer, HeaderNames},
        http::HeadFault,
    },
};

const OWN: (&str, &str) = ("saddlepulley-attempt", "a1");
const OTHER: (&str, &str) = ("saddlepulley-attempt", "a2");
const SIGNED: (&str, &str) = ("saddlepulley-signature", "s");
const NOT_RUN: (&str, &str) = ("x-not-started", "1");

fn head(status: u16, headers: &[(&str, &str)]) -> Parts {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, *value);
    }
    answer.body(()).unwrap().into_parts().0
}

/// Judges an answer to a request with the attempt id `a1`.
fn find(status: u16, headers: &[(&str, &str)]) -> Option<ForeignAnswer> {
    let request = HeaderMap::from_iter([(
        "saddlepulley-attempt".parse().unwrap(),
        "a1".parse().unwrap(),
    )]);
    ForeignAnswer::find(&HeaderNames::default(), &request, &head(status, headers))
}

#[test]
fn a_success_counts_only_with_the_id_and_the_signature() {
    assert_eq!(find(200, &[OWN, SIGNED]), None);
    assert_eq!(find(200, &[SIGNED]), Some(ForeignAnswer::NoAttempt));
    assert_eq!(find(206, &[OWN]), Some(ForeignAnswer::Unsigned));
    assert_eq!(find(200, &[]), Some(ForeignAnswer::NoAttempt));
    assert_eq!(find(200, &[NOT_RUN]), Some(ForeignAnswer::NoAttempt));
    assert_eq!(
        find(200, &[OTHER, SIGNED]),
        Some(ForeignAnswer::OtherAttempt)
    );
}

#[test]
fn a_head_that_cannot_be_right_says_nothing_but_that_a_request_has_not_run() {
    let find = |status, headers: &[(&str, &str)], fault: &HeadFault| {
        let mut head = head(status, headers);
        head.extensions.insert(fault.clone());
        let request = HeaderMap::from_iter([(
            "saddlepulley-attempt".parse().unwrap(),
            "a1".parse().unwrap(),
        )]);
        ForeignAnswer::find(&HeaderNames::default(), &request, &head)
    };
    let coding = HeadFault::TransferCoding("x".into());
    for fault in [coding, HeadFault::Status(600), HeadFault::Unframed] {
        let bad = Some(ForeignAnswer::BadHead(fault.clone()));
        for status in [200, 404, 500, 503] {
            assert_eq!(find(status, &[OWN, SIGNED], &fault), bad, "{status}");
        }
        let refusal = find(503, &[NOT_RUN], &fault);
        assert_eq!(refusal, bad.filter(|_| fault != HeadFault::Unframed));
    }
}

#[test]
fn a_failure_counts_only_with_the_id() {
    for status in [304, 400, 404, 429, 500, 503, 504] {
        assert_eq!(find(status, &[OWN]), None, "{status}");
        assert_eq!(
            find(status, &[]),
            Some(ForeignAnswer::NoAttempt),
            "{status}"
        );
        let other = find(status, &[OTHER, SIGNED]);
        assert_eq!(other, Some(ForeignAnswer::OtherAttempt), "{status}");
    }
}

#[test]
fn a_refusal_needs_no_id_and_must_not_name_another_attempt() {
    for status in [400, 421, 429, 503] {
        assert_eq!(find(status, &[NOT_RUN]), None, "{status}");
        let other = find(status, &[NOT_RUN, OTHER]);
        assert_eq!(other, Some(ForeignAnswer::OtherAttempt), "{status}");
    }
    assert_eq!(find(421, &[]), None, "the status alone says it");
}

#[test]
fn a_success_counts_only_in_an_encoding_that_its_client_asked_for() {
    let names = HeaderNames::default();
    let find = |accepted: &[&str], encoding: &str| {
        let mut request = HeaderMap::new();
        for line in accepted {
            request.append("accept-encoding", line.parse().unwrap());
        }
        let answer = head(200, &[SIGNED, ("content-encoding", encoding)]);
        ForeignAnswer::find(&names, &request, &answer)
    };
    assert_eq!(find(&[], "gzip"), Some(ForeignAnswer::Encoded));
    assert_eq!(find(&["identity"], "gzip"), Some(ForeignAnswer::Encoded));
    assert_eq!(find(&["br"], "br, gzip"), Some(ForeignAnswer::Encoded));
    assert_eq!(find(&[], "identity"), None);
    assert_eq!(find(&["identity", "br, GZIP;q=0.5"], "gzip"), None);
    let failure = head(500, &[("content-encoding", "gzip")]);
    assert_eq!(
        ForeignAnswer::find(&names, &HeaderMap::new(), &failure),
        None
    );
}

#[test]
fn a_request_without_an_id_is_answered_by_a_success_with_a_signature() {
    let find = |headers: &[(&str, &str)]| {
        let names = HeaderNames::default();
        ForeignAnswer::find(&names, &HeaderMap::new(), &head(200, headers))
    };
    assert_eq!(find(&[SIGNED]), None);
    assert_eq!(find(&[]), Some(ForeignAnswer::Unsigned));
}
