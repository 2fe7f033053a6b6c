//! Kept connections that the server closes between two calls.

use hyper::Request;
use mulberryspur::{
    http,
    pool::{Pool, call},
};
use std::{
    io::{Read, Write},
    net::TcpListener,
    time::Duration,
};

/// Answers one request a connection and closes it without saying so.
fn closing_server() -> std::net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            let mut buf = [0; 1024];
            let _ = stream.read(&mut buf);
            let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
        }
    });
    address
}

#[tokio::test]
async fn call_on_a_closed_connection_is_sent_on_another() {
    let address = closing_server();
    let pool = Pool::new(2);
    for _ in 0..5 {
        let req = Request::get("/").header("host", "h").body(http::full_body("")).expect("request");
        let answer = call(&pool, "test", address, req, Duration::from_secs(2)).await;
        assert!(answer.is_ok(), "{answer:?}");
        // The connection's task cannot notice the close while this thread is held.
        std::thread::sleep(Duration::from_millis(50));
    }
}
