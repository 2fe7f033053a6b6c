//! Callers that send requests without waiting for answers.

use mulberryspur::pipeline::Divider;

const GET: &str = "GET /patterns/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n";

fn divider(text: &str) -> Divider {
    let mut divider = Divider::default();
    divider.room().expect("room").extend_from_slice(text.as_bytes());
    divider
}

fn take(divider: &mut Divider) -> Option<String> {
    divider.take(64 * 1024).map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

fn start(divider: &mut Divider) -> Option<(u64, String)> {
    divider.start_next().map(|(place, req)| (place, req.uri().to_string()))
}

macro_rules! undivided {
    ($($name:ident: $head:expr;)*) => {
        $(#[test]
        fn $name() {
            let text = format!("{}{GET}", $head);
            let mut divider = divider(&text);
            assert_eq!(take(&mut divider).as_deref(), Some(&*text));
            assert_eq!(start(&mut divider), None);
        })*
    };
}

// Where the end of a request is in doubt, hyper alone decides.
undivided! {
    chunked_body: "POST /o HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    chunked_body_with_length:
        "POST /o HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n";
    two_lengths: "POST /o HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 3\r\n\r\n";
    signed_length: "POST /o HTTP/1.1\r\ncontent-length: +0\r\n\r\n";
    length_of_no_number: "POST /o HTTP/1.1\r\ncontent-length: x\r\n\r\n";
    older_version: "GET /o HTTP/1.0\r\n\r\n";
    waits_for_leave: "POST /o HTTP/1.1\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n";
    no_request: "\u{1}\u{2}\r\n\r\n";
}

#[test]
fn requests_are_handed_on_one_by_one() {
    let mut divider = divider(&GET.repeat(3));
    for place in 1..=3 {
        assert_eq!(take(&mut divider).as_deref(), Some(GET));
        assert_eq!(divider.place(), place);
        assert_eq!(take(&mut divider), None, "the answer is still due");
        divider.on_answer();
    }
    assert_eq!(take(&mut divider), None);
}

#[test]
fn requests_behind_start_before_the_answer() {
    let mut divider = divider(&GET.repeat(3));
    assert_eq!(start(&mut divider), None, "the first is read by hyper");
    take(&mut divider);
    assert_eq!(start(&mut divider), Some((2, "/patterns/1".to_owned())));
    assert_eq!(start(&mut divider), Some((3, "/patterns/1".to_owned())));
    assert_eq!(start(&mut divider), None);
    divider.on_answer();
    assert_eq!(take(&mut divider).as_deref(), Some(GET));
    assert_eq!(divider.place(), 2);
    assert!(divider.has_started(), "the third");
    assert_eq!(start(&mut divider), None, "both were started before");
}

#[test]
fn a_body_is_handed_on_with_its_head() {
    let post = "POST /o HTTP/1.1\r\ncontent-length: 5\r\n\r\n";
    let mut divider = divider(post);
    assert_eq!(take(&mut divider).as_deref(), Some(post));
    assert_eq!(take(&mut divider), None);
    divider.room().expect("room").extend_from_slice(b"GET ");
    assert_eq!(start(&mut divider), None, "the body is still due");
    assert_eq!(take(&mut divider).as_deref(), Some("GET "));
    divider.room().expect("room").extend_from_slice(b"/");
    divider.room().expect("room").extend_from_slice(GET.as_bytes());
    assert_eq!(take(&mut divider).as_deref(), Some("/"));
    assert_eq!(start(&mut divider), Some((2, "/patterns/1".to_owned())));
}

#[test]
fn requests_with_a_body_do_not_start_early() {
    let post = "POST /o HTTP/1.1\r\ncontent-length: 1\r\n\r\nx";
    let mut divider = divider(&format!("{GET}{post}{GET}"));
    take(&mut divider);
    assert_eq!(start(&mut divider), None);
    divider.on_answer();
    assert_eq!(take(&mut divider).as_deref(), Some(post));
    assert_eq!(start(&mut divider).map(|s| s.0), Some(3));
}

#[test]
fn nothing_starts_behind_a_request_that_closes() {
    let last = "GET /last HTTP/1.1\r\nconnection: Keep-Alive, Close\r\n\r\n";
    let mut divider = divider(&format!("{last}{GET}"));
    take(&mut divider);
    assert_eq!(start(&mut divider), None);
}

#[test]
fn one_connection_starts_a_few_requests() {
    let mut divider = divider(&GET.repeat(50));
    take(&mut divider);
    let started = std::iter::from_fn(|| start(&mut divider)).count();
    assert_eq!(started, 8);
}

#[test]
fn callers_that_leave_are_noticed() {
    let mut divider = divider(&GET.repeat(2));
    take(&mut divider);
    assert!(!divider.is_left());
    divider.on_end();
    assert!(divider.is_left());
}

#[test]
fn the_end_is_handed_on_after_the_last_request() {
    let mut divider = divider(GET);
    divider.on_end();
    assert_eq!(take(&mut divider).as_deref(), Some(GET));
    divider.on_answer();
    assert_eq!(take(&mut divider).as_deref(), Some(""));
}

#[test]
fn long_heads_are_left_to_hyper() {
    let mut divider = divider(&format!("GET /{}", "a".repeat(20_000)));
    assert!(divider.room().is_none());
    assert_eq!(take(&mut divider).map(|text| text.len()), Some(20_005));
}
