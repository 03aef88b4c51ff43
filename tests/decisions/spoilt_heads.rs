//! Which heads of answers can't be right.

use {
    http::{Response, Version, header::HeaderValue, response::Parts},
    saddlepulley::http::HeadFault,
};

fn head(status: u16, headers: &[(&str, &[u8])]) -> Parts {
    let mut answer = Response::builder().status(status);
    for (name, value) in headers {
        answer = answer.header(*name, HeaderValue::from_bytes(value).unwrap());
    }
    answer.body(()).unwrap().into_parts().0
}

/// Judges a head by the lines on the transfer coding.
fn find_in_codings(codings: &[&[u8]]) -> Option<HeadFault> {
    let headers: Vec<_> = codings.iter().map(|c| ("transfer-encoding", *c)).collect();
    HeadFault::find(&head(200, &headers), true)
}

#[test]
fn chunks_are_the_only_transfer_coding() {
    for coding in [&b"chunked"[..], b"CHUNKED", b" \tchunked\t "] {
        assert_eq!(find_in_codings(&[coding]), None);
    }
    let unknown: [&[&[u8]]; 8] = [
        &[b""],
        &[b"chunke"],
        &[b"identity"],
        &[b"gzip, chunked"],
        &[b"chunked, chunked"],
        &[b"chunked", b"chunked"],
        &[b"gzip", b"chunked"],
        &[b"chunked;q=1"],
    ];
    for codings in unknown {
        let fault = find_in_codings(codings);
        assert!(
            matches!(fault, Some(HeadFault::TransferCoding(_))),
            "{codings:?}: {fault:?}"
        );
    }
}

#[test]
fn final_answers_have_a_status_from_200_to_599() {
    for status in [200, 204, 299, 304, 404, 500, 599] {
        assert_eq!(HeadFault::find(&head(status, &[]), false), None, "{status}");
    }
    for status in [100, 101, 199, 600, 601, 999] {
        let fault = HeadFault::find(&head(status, &[]), false);
        assert_eq!(fault, Some(HeadFault::Status(status)));
    }
}

#[test]
fn a_body_without_length_and_chunks_lasts_until_an_end_that_is_announced() {
    let unframed = Some(HeadFault::Unframed);
    let find = |version, headers: &[(&str, &[u8])]| {
        let mut head = head(200, headers);
        head.version = version;
        HeadFault::find(&head, true)
    };
    let (old, new) = (Version::HTTP_10, Version::HTTP_11);
    assert_eq!(find(new, &[]), unframed);
    assert_eq!(find(new, &[("connection", b"keep-alive")]), unframed);
    assert_eq!(find(new, &[("connection", b"closed, x-close")]), unframed);
    assert_eq!(find(new, &[("connection", b"close")]), None);
    assert_eq!(find(new, &[("connection", b"x-a , CLOSE")]), None);
    let two_lines: [(&str, &[u8]); 2] = [("connection", b"x-a"), ("connection", b"close")];
    assert_eq!(find(new, &two_lines), None);
    assert_eq!(find(old, &[]), None);
    assert_eq!(find(old, &[("connection", b"Keep-Alive")]), unframed);
    assert_eq!(find(new, &[("content-length", b"7")]), None);
    assert_eq!(find(new, &[("transfer-encoding", b"chunked")]), None);
    assert_eq!(HeadFault::find(&head(204, &[]), false), None);
}

#[test]
fn a_fault_names_the_value_without_bytes_that_spoil_a_log_line() {
    let fault = find_in_codings(&[b"gz\xff\"ip"]).unwrap();
    let text = r#"the transfer coding of the body is unknown: "gz\xff\"ip""#;
    assert_eq!(fault.to_string(), text);
    let long = find_in_codings(&[&[b'x'; 10_000]]).unwrap();
    assert!(long.to_string().len() < 120, "{long}");
}
