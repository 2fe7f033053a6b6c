//! HTTP pipelining in `mulberryspur-platform`: splitting a connection into requests, and starting
//! them early.

use mulberryspur::pipeline::PipelineBuffer;

const GET: &str = "GET /patterns/1 HTTP/1.1\r\nhost: shop.example\r\n\r\n";

fn buffer(text: &str) -> PipelineBuffer {
    let mut buffer = PipelineBuffer::default();
    buffer.input_buf().expect("not full").extend_from_slice(text.as_bytes());
    buffer
}

fn take(buffer: &mut PipelineBuffer) -> Option<String> {
    buffer.take_bytes(64 * 1024).map(|bytes| String::from_utf8_lossy(&bytes).into_owned())
}

fn start_next(buffer: &mut PipelineBuffer) -> Option<(u64, String)> {
    buffer.start_next_request().map(|(number, req)| (number, req.uri().to_string()))
}

macro_rules! passed_through {
    ($($name:ident: $head:expr;)*) => {
        $(#[test]
        fn $name() {
            let text = format!("{}{GET}", $head);
            let mut buffer = buffer(&text);
            assert_eq!(take(&mut buffer).as_deref(), Some(&*text));
            assert_eq!(start_next(&mut buffer), None);
        })*
    };
}

// Where it is not clear where a request ends, all bytes are passed through to hyper.
passed_through! {
    chunked_body: "POST /o HTTP/1.1\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n";
    chunked_body_with_length:
        "POST /o HTTP/1.1\r\ntransfer-encoding: chunked\r\ncontent-length: 5\r\n\r\n0\r\n\r\n";
    two_lengths: "POST /o HTTP/1.1\r\ncontent-length: 0\r\ncontent-length: 3\r\n\r\n";
    length_with_sign: "POST /o HTTP/1.1\r\ncontent-length: +0\r\n\r\n";
    length_not_a_number: "POST /o HTTP/1.1\r\ncontent-length: x\r\n\r\n";
    http_1_0: "GET /o HTTP/1.0\r\n\r\n";
    expects_100_continue: "POST /o HTTP/1.1\r\ncontent-length: 3\r\nexpect: 100-continue\r\n\r\n";
    not_a_request: "\u{1}\u{2}\r\n\r\n";
}

#[test]
fn requests_are_handed_on_one_by_one() {
    let mut buffer = buffer(&GET.repeat(3));
    for number in 1..=3 {
        assert_eq!(take(&mut buffer).as_deref(), Some(GET));
        assert_eq!(buffer.request_number(), number);
        assert_eq!(take(&mut buffer), None, "the response is still due");
        buffer.on_response();
    }
    assert_eq!(take(&mut buffer), None);
}

#[test]
fn requests_behind_start_before_the_response() {
    let mut buffer = buffer(&GET.repeat(3));
    assert_eq!(start_next(&mut buffer), None, "the first is read by hyper");
    take(&mut buffer);
    assert_eq!(start_next(&mut buffer), Some((2, "/patterns/1".to_owned())));
    assert_eq!(start_next(&mut buffer), Some((3, "/patterns/1".to_owned())));
    assert_eq!(start_next(&mut buffer), None);
    buffer.on_response();
    assert_eq!(take(&mut buffer).as_deref(), Some(GET));
    assert_eq!(buffer.request_number(), 2);
    assert!(buffer.has_started_early(), "the third was started early");
    assert_eq!(start_next(&mut buffer), None, "both were started already");
}

#[test]
fn a_body_is_handed_on_with_its_head() {
    let post = "POST /o HTTP/1.1\r\ncontent-length: 5\r\n\r\n";
    let mut buffer = buffer(post);
    assert_eq!(take(&mut buffer).as_deref(), Some(post));
    assert_eq!(take(&mut buffer), None);
    buffer.input_buf().expect("not full").extend_from_slice(b"GET ");
    assert_eq!(start_next(&mut buffer), None, "the body is still due");
    assert_eq!(take(&mut buffer).as_deref(), Some("GET "));
    buffer.input_buf().expect("not full").extend_from_slice(b"/");
    buffer.input_buf().expect("not full").extend_from_slice(GET.as_bytes());
    assert_eq!(take(&mut buffer).as_deref(), Some("/"));
    assert_eq!(start_next(&mut buffer), Some((2, "/patterns/1".to_owned())));
}

#[test]
fn requests_with_a_body_do_not_start_early() {
    let post = "POST /o HTTP/1.1\r\ncontent-length: 1\r\n\r\nx";
    let mut buffer = buffer(&format!("{GET}{post}{GET}"));
    take(&mut buffer);
    assert_eq!(start_next(&mut buffer), None);
    buffer.on_response();
    assert_eq!(take(&mut buffer).as_deref(), Some(post));
    assert_eq!(start_next(&mut buffer).map(|s| s.0), Some(3));
}

#[test]
fn nothing_starts_behind_a_request_with_connection_close() {
    let last = "GET /last HTTP/1.1\r\nconnection: Keep-Alive, Close\r\n\r\n";
    let mut buffer = buffer(&format!("{last}{GET}"));
    take(&mut buffer);
    assert_eq!(start_next(&mut buffer), None);
}

#[test]
fn one_connection_starts_eight_requests_at_most() {
    let mut buffer = buffer(&GET.repeat(50));
    take(&mut buffer);
    let started = std::iter::from_fn(|| start_next(&mut buffer)).count();
    assert_eq!(started, 8);
}

#[test]
fn disconnect_before_the_response_is_noticed() {
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
    buffer.on_response();
    assert_eq!(take(&mut buffer).as_deref(), Some(""));
}

#[test]
fn long_heads_are_passed_through_to_hyper() {
    let mut buffer = buffer(&format!("GET /{}", "a".repeat(20_000)));
    assert!(buffer.input_buf().is_none());
    assert_eq!(take(&mut buffer).map(|text| text.len()), Some(20_005));
}
