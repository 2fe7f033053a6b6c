//! Control requests that the test support sends to stand-ins must not reuse connections.

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

/// Responds to one request per connection, and closes it once the next request has arrived, which
/// it does not read: as a listener does whose header timeout ends at that moment. Counts
/// connections.
fn server_closing_on_next_request() -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").expect("bind");
    let address = listener.local_addr().expect("address");
    let accepted = Arc::new(AtomicUsize::new(0));
    let count = accepted.clone();
    std::thread::spawn(move || {
        while let Ok((stream, _)) = listener.accept() {
            count.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(|| respond_and_close_unread(stream));
        }
    });
    (address, accepted)
}

fn respond_and_close_unread(mut stream: TcpStream) {
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
async fn no_control_call_reuses_a_connection() {
    const CALLS: usize = 5;
    let cfg = ClusterConfig {
        instances: vec![],
        keyed_upstreams: vec![],
        unkeyed_upstreams: 0,
        ..ClusterConfig::default()
    };
    let mut cluster = Cluster::start_without_resources("control-calls", cfg);
    let (address, accepted) = server_closing_on_next_request();
    cluster.platform_addr = address;
    for _ in 0..CALLS {
        cluster.set_platform_faults(json!({})).await;
        // By then, a connection in a pool would be ready for the next call.
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(accepted.load(Ordering::SeqCst), CALLS, "one connection per call, none sent again");
}
