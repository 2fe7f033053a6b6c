//! Transport of the RPC between instances of `mulberryd`: CBOR messages in WebSocket frames, for
//! tarpc.

use crate::error::{Cause, Error, Result};
use futures::{Sink, Stream, ready};
use hyper::{StatusCode, header::AUTHORIZATION};
use serde::{Serialize, de::DeserializeOwned};
use std::{
    io,
    marker::PhantomData,
    net::SocketAddr,
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};
use tokio::net::TcpStream;
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{
        self, Message,
        client::IntoClientRequest,
        handshake::server::{ErrorResponse, Request, Response},
        protocol::WebSocketConfig,
    },
};

/// Path of the current protocol version; requests for other paths are refused.
const PROTOCOL_PATH: &str = "/peer/v1";
/// Maximum size of a message and of a frame.
const MAX_MESSAGE_BYTES: usize = 16 << 20;
/// Time for connecting or accepting, including the WebSocket handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(1);

/// Receives messages of type `In` and sends those of type `Out` over one connection.
#[derive(Debug)]
pub(crate) struct Transport<In, Out> {
    socket: WebSocketStream<TcpStream>,
    types: PhantomData<fn(Out) -> In>,
}

fn config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

/// Connects to a peer and presents the shared secret.
pub(crate) async fn connect<In, Out>(addr: SocketAddr, secret: &str) -> Result<Transport<In, Out>> {
    let failure = |e: &dyn std::fmt::Display| {
        Error::new("connect to peer", addr.to_string(), Cause::Unreachable(e.to_string()))
    };
    let handshake = async {
        let stream = TcpStream::connect(addr).await.map_err(|e| failure(&e))?;
        let _ = stream.set_nodelay(true);
        let url = format!("ws://{addr}{PROTOCOL_PATH}");
        let mut req = url.into_client_request().map_err(|e| failure(&e))?;
        let bearer = format!("Bearer {secret}").parse().map_err(|e| failure(&e))?;
        req.headers_mut().insert(AUTHORIZATION, bearer);
        let (socket, _) = tokio_tungstenite::client_async_with_config(req, stream, Some(config()))
            .await
            .map_err(|e| failure(&e))?;
        Ok(Transport { socket, types: PhantomData })
    };
    tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await.map_err(|e| failure(&e))?
}

/// Accepts a peer that presents the shared secret.
pub(crate) async fn accept<In, Out>(
    stream: TcpStream,
    allowed: impl Fn(&[u8]) -> bool + Unpin,
) -> Result<Transport<In, Out>> {
    let peer = stream.peer_addr().map(|a| a.to_string()).unwrap_or_default();
    let failure = |e: &dyn std::fmt::Display| {
        Error::new("accept peer", peer.clone(), Cause::Interrupted(e.to_string()))
    };
    #[expect(clippy::result_large_err, reason = "the type is given by the library")]
    let check = |req: &Request, res: Response| -> std::result::Result<Response, ErrorResponse> {
        let authorization =
            req.headers().get(AUTHORIZATION).map(hyper::header::HeaderValue::as_bytes);
        let secret = authorization.and_then(|v| v.strip_prefix(b"Bearer "));
        let status = if !secret.is_some_and(&allowed) {
            StatusCode::UNAUTHORIZED
        } else if req.uri().path() != PROTOCOL_PATH {
            StatusCode::UPGRADE_REQUIRED
        } else {
            return Ok(res);
        };
        let mut rejection = ErrorResponse::new(None);
        *rejection.status_mut() = status;
        Err(rejection)
    };
    let _ = stream.set_nodelay(true);
    let handshake = tokio_tungstenite::accept_hdr_async_with_config(stream, check, Some(config()));
    let socket = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .map_err(|e| failure(&e))?
        .map_err(|e| failure(&e))?;
    Ok(Transport { socket, types: PhantomData })
}

fn io_error(e: tungstenite::Error) -> io::Error {
    io::Error::other(e)
}

impl<In: DeserializeOwned, Out> Stream for Transport<In, Out> {
    type Item = io::Result<In>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        loop {
            let message = match ready!(Pin::new(&mut self.socket).poll_next(cx)) {
                Some(Ok(m)) => m,
                Some(Err(e)) => return Poll::Ready(Some(Err(io_error(e)))),
                None => return Poll::Ready(None),
            };
            match message {
                Message::Binary(bytes) => {
                    let decoded = ciborium::from_reader(bytes.as_ref()).map_err(io::Error::other);
                    return Poll::Ready(Some(decoded));
                }
                Message::Close(_) => return Poll::Ready(None),
                _ => {}
            }
        }
    }
}

impl<In, Out: Serialize> Sink<Out> for Transport<In, Out> {
    type Error = io::Error;

    fn poll_ready(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_ready(cx).map_err(io_error)
    }

    fn start_send(mut self: Pin<&mut Self>, item: Out) -> io::Result<()> {
        let mut bytes = Vec::new();
        ciborium::into_writer(&item, &mut bytes).map_err(io::Error::other)?;
        Pin::new(&mut self.socket).start_send(Message::binary(bytes)).map_err(io_error)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx).map_err(io_error)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_close(cx).map_err(io_error)
    }
}
