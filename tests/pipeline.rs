//! Callers that send requests without waiting for answers.

use mulberryspur::pipeline::PipelineBuffer;

const GET: &str = "GET /patterns/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n";

fn buffer(text: &str) -> PipelineBuffer {
    let mut buffer = PipelineBuffer::default();
    buffer.input_buf().expect("room").extend_from_slice(text.as_bytes());
    buffer
}

fn take(buffer: &mut PipelineBuffer) -> Option<String> {
    buffer.take_bytes(64 * 1024).map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

fn start(buffer: &mut PipelineBuffer) -> Option<(u64, String)> {
    buffer.start_next_request().map(|(place, req)| (place, req.uri().to_string()))
}

macro_rules! undivided {
    ($($name:ident: $head:expr;)*) => {
        $(#[test]
        fn $name() {
            let text = format!("{}{GET}", $head);
            let mut buffer = buffer(&text);
            assert_eq!(take(&mut buffer).as_deref(), Some(&*text));
            assert_eq!(start(&mut buffer), None);
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
    let mut buffer = buffer(&GET.repeat(3));
    for place in 1..=3 {
        assert_eq!(take(&mut buffer).as_deref(), Some(GET));
        assert_eq!(buffer.request_number(), place);
        assert_eq!(take(&mut buffer), None, "the answer is still due");
        buffer.on_answer();
    }
    assert_eq!(take(&mut buffer), None);
}

#[test]
fn requests_behind_start_before_the_answer() {
    let mut buffer = buffer(&GET.repeat(3));
    assert_eq!(start(&mut buffer), None, "the first is read by hyper");
    take(&mut buffer);
    assert_eq!(start(&mut buffer), Some((2, "/patterns/1".to_owned())));
    assert_eq!(start(&mut buffer), Some((3, "/patterns/1".to_owned())));
    assert_eq!(start(&mut buffer), None);
    buffer.on_answer();
    assert_eq!(take(&mut buffer).as_deref(), Some(GET));
    assert_eq!(buffer.request_number(), 2);
    assert!(buffer.has_started_early(), "the third");
    assert_eq!(start(&mut buffer), None, "both were started before");
}

#[test]
fn a_body_is_handed_on_with_its_head() {
    let post = "POST /o HTTP/1.1\r\ncontent-length: 5\r\n\r\n";
    let mut buffer = buffer(post);
    assert_eq!(take(&mut buffer).as_deref(), Some(post));
    assert_eq!(take(&mut buffer), None);
    buffer.input_buf().expect("room").extend_from_slice(b"GET ");
    assert_eq!(start(&mut buffer), None, "the body is still due");
    assert_eq!(take(&mut buffer).as_deref(), Some("GET "));
    buffer.input_buf().expect("room").extend_from_slice(b"/");
    buffer.input_buf().expect("room").extend_from_slice(GET.as_bytes());
    assert_eq!(take(&mut buffer).as_deref(), Some("/"));
    assert_eq!(start(&mut buffer), Some((2, "/patterns/1".to_owned())));
}

#[test]
fn requests_with_a_body_do_not_start_early() {
    let post = "POST /o HTTP/1.1\r\ncontent-length: 1\r\n\r\nx";
    let mut buffer = buffer(&format!("{GET}{post}{GET}"));
    take(&mut buffer);
    assert_eq!(start(&mut buffer), None);
    buffer.on_answer();
    assert_eq!(take(&mut buffer).as_deref(), Some(post));
    assert_eq!(start(&mut buffer).map(|s| s.0), Some(3));
}

#[test]
fn nothing_starts_behind_a_request_that_closes() {
    let last = "GET /last HTTP/1.1\r\nconnection: Keep-Alive, Close\r\n\r\n";
    let mut buffer = buffer(&format!("{last}{GET}"));
    take(&mut buffer);
    assert_eq!(start(&mut buffer), None);
}

#[test]
fn one_connection_starts_a_few_requests() {
    let mut buffer = buffer(&GET.repeat(50));
    take(&mut buffer);
    let started = std::iter::from_fn(|| start(&mut buffer)).count();
    assert_eq!(started, 8);
}

#[test]
fn callers_that_leave_are_noticed() {
    let mut buffer = buffer(&GET.repeat(2));
    take(&mut buffer);
    assert!(!buffer.is_disconnected());
    buffer.on_eof();
    assert!(buffer.is_disconnected());
}

#[test]
fn the_end_is_handed_on_after_the_last_request() {
    let mut buffer = buffer(GET);
    buffer.on_eof();
    assert_eq!(take(&mut buffer).as_deref(), Some(GET));
    buffer.on_answer();
    assert_eq!(take(&mut buffer).as_deref(), Some(""));
}

#[test]
fn long_heads_are_left_to_hyper() {
    let mut buffer = buffer(&format!("GET /{}", "a".repeat(20_000)));
    assert!(buffer.input_buf().is_none());
    assert_eq!(take(&mut buffer).map(|text| text.len()), Some(20_005));
}
