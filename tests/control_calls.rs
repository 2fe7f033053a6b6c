//! Control calls of the tests' support must not depend on connections that were kept.

mod support;

use serde_json::json;
use std::{
    io::{Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};
use support::{Cluster, ClusterConfig};

/// Answers one request a connection and closes it once the next one has arrived, which stays
/// unread: so does a listener whose time for a request ends at that moment. Counts connections.
fn crossing_server() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            count.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(|| answer_and_cross(stream));
        }
    });
    (address, accepted)
}

fn answer_and_cross(mut stream: TcpStream) {
    let mut buf = [0; 1024];
    let mut request = Vec::new();
    while !request.ends_with(b"\r\n\r\n{}") {
        match stream.read(&mut buf) {
            Ok(n) if n > 0 => request.extend_from_slice(&buf[..n]),
            _ => return,
        }
    }
    let _ = stream.write_all(b"HTTP/1.1 204 No Content\r\n\r\n");
    let _ = stream.peek(&mut buf);
}

#[tokio::test]
async fn no_control_call_crosses_the_close_of_a_kept_connection() {
    const CALLS: usize = 5;
    let plan = ClusterConfig {
        entries: vec![],
        keyed_upstreams: vec![],
        unkeyed_upstreams: 0,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start_without_config("control-calls", plan);
    let (address, accepted) = crossing_server();
    cluster.platform_addr = address;
    for _ in 0..CALLS {
        cluster.set_platform_faults(json!({})).await;
        // A connection that is kept would be ready for the next call by then.
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(accepted.load(Ordering::SeqCst), CALLS, "one connection a call, none sent again");
}
