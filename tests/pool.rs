//! Idle connections: those that the server closes between two calls, and those closed here.

use hyper::Request;
use mulberryspur::{
    http,
    pool::{Pool, call},
};
use std::{
    io::{Read, Write},
    net::TcpListener,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

/// Responds to one request per connection and then closes it without announcing that.
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
        let result = call(&pool, "test", address, req, Duration::from_secs(2)).await;
        assert!(result.is_ok(), "{result:?}");
        // While this thread is blocked, the task of the connection cannot notice the close.
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// Responds to all requests, and counts the connections.
fn counting_server() -> (std::net::SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let accepted = Arc::<AtomicUsize>::default();
    let count = accepted.clone();
    std::thread::spawn(move || {
        while let Ok((mut stream, _)) = listener.accept() {
            count.fetch_add(1, Ordering::Relaxed);
            std::thread::spawn(move || {
                let mut buf = [0; 1024];
                while stream.read(&mut buf).is_ok_and(|n| n > 0) {
                    let _ = stream.write_all(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok");
                }
            });
        }
    });
    (address, accepted)
}

/// After a call that got no response, other idle connections may be as silent.
#[tokio::test]
async fn closed_idle_connections_are_used_again() {
    let (address, accepted) = counting_server();
    let pool = Pool::new(2);
    for expected in [1, 1, 2] {
        if expected == 2 {
            pool.close_idle(address);
        }
        let req = Request::get("/").header("host", "h").body(http::full_body("")).expect("request");
        let result = call(&pool, "test", address, req, Duration::from_secs(2)).await;
        assert!(result.is_ok(), "{result:?}");
        assert_eq!(accepted.load(Ordering::Relaxed), expected);
    }
}
