//! Links between instances: WebSocket connections that carry messages in CBOR.

use super::{Message, frame::Frame};
use crate::{
    error::{Cause, Error, Result},
    node::Node,
};
use ciborium::Value;
use futures::{SinkExt, StreamExt};
use hyper::upgrade::{OnUpgrade, Upgraded};
use hyper_util::rt::TokioIo;
use std::{net::SocketAddr, sync::Arc, time::Duration};
use tokio::{
    io::{AsyncRead, AsyncWrite},
    net::TcpStream,
};
use tokio_tungstenite::{
    WebSocketStream,
    tungstenite::{self, protocol::Role},
};

/// Time for opening a link.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for sending a message.
const SEND_TIMEOUT: Duration = Duration::from_millis(600);
/// Maximum size of a message; a configuration with thousands of routes fits.
const MAX_MESSAGE_BYTES: usize = 16 << 20;

fn interrupted(step: &'static str, peer: SocketAddr, e: &impl std::fmt::Display) -> Error {
    Error::new(step, peer.to_string(), Cause::Interrupted(e.to_string()))
}

/// Opens a link.
pub(super) async fn connect(
    node: &Node,
    address: SocketAddr,
    same_data_center: bool,
) -> Result<WebSocketStream<TcpStream>> {
    let opening = async {
        let stream =
            TcpStream::connect(address).await.map_err(|e| interrupted("connect", address, &e))?;
        let url = format!("ws://{address}/");
        let opened = tokio_tungstenite::client_async(url, stream).await;
        opened.map_err(|e| interrupted("open link", address, &e))
    };
    let timed_out = |e| interrupted("open link", address, &e);
    let (mut link, _) =
        tokio::time::timeout(CONNECT_TIMEOUT, opening).await.map_err(timed_out)??;
    if let Some(hello) = Frame::new(&Message::Hello { name: node.cfg.name.clone() }) {
        write_frame(&mut link, address, &hello, same_data_center).await?;
    }
    Ok(link)
}

/// Accepts a link that another instance opens with an HTTP request; returns its name too.
pub(super) async fn accept(
    upgrade: OnUpgrade,
    address: SocketAddr,
) -> Option<(WebSocketStream<TokioIo<Upgraded>>, Arc<str>)> {
    let Ok(Ok(stream)) = tokio::time::timeout(CONNECT_TIMEOUT, upgrade).await else {
        log::debug!(peer = address.to_string(); "WebSocket handshake failed or timed out");
        return None;
    };
    let mut link = WebSocketStream::from_raw_socket(TokioIo::new(stream), Role::Server, None).await;
    let mut skipped = false;
    let reading = read_message(&mut link, address, &mut skipped, |_| {});
    let hello = tokio::time::timeout(CONNECT_TIMEOUT, reading).await;
    let Ok(Ok(Some(Message::Hello { name }))) = hello else {
        log::debug!(peer = address.to_string(); "no hello message on a new link");
        return None;
    };
    Some((link, name))
}

/// Sends a message.
pub(super) async fn write_frame(
    link: &mut WebSocketStream<impl AsyncRead + AsyncWrite + Unpin>,
    peer: SocketAddr,
    frame: &Frame,
    same_data_center: bool,
) -> Result<()> {
    frame.count_sent(same_data_center);
    write(link, peer, tungstenite::Message::Binary(frame.bytes.clone())).await
}

/// Sends a ping, to which the other end replies once it has read what was sent before.
pub(super) async fn write_ping(
    link: &mut WebSocketStream<impl AsyncRead + AsyncWrite + Unpin>,
    peer: SocketAddr,
    id: u64,
) -> Result<()> {
    let payload = id.to_be_bytes().to_vec();
    write(link, peer, tungstenite::Message::Ping(payload.into())).await
}

async fn write(
    link: &mut WebSocketStream<impl AsyncRead + AsyncWrite + Unpin>,
    peer: SocketAddr,
    frame: tungstenite::Message,
) -> Result<()> {
    let sent = link.send(frame);
    let sent = tokio::time::timeout(SEND_TIMEOUT, sent).await;
    sent.map_err(|e| interrupted("send message", peer, &e))?
        .map_err(|e| interrupted("send message", peer, &e))
}

/// Reads the next message of a known kind; `None` at the end of the link. Instances of later versions
/// send other kinds, which are skipped. `on_confirmed` gets the numbers of pings that were replied to.
pub(super) async fn read_message(
    link: &mut WebSocketStream<impl AsyncRead + AsyncWrite + Unpin>,
    peer: SocketAddr,
    skipped: &mut bool,
    on_confirmed: impl Fn(u64),
) -> Result<Option<Message>> {
    while let Some(frame) = link.next().await {
        let frame = frame.map_err(|e| interrupted("read message", peer, &e))?;
        let bytes = match frame {
            tungstenite::Message::Binary(bytes) => bytes,
            tungstenite::Message::Pong(payload) => {
                if let Ok(id) = payload[..].try_into() {
                    on_confirmed(u64::from_be_bytes(id));
                }
                continue;
            }
            _ => continue,
        };
        if bytes.len() > MAX_MESSAGE_BYTES {
            return Err(Error::invalid("read message", "message is too long"));
        }
        let message = ciborium::from_reader(&bytes[..]);
        let is_known = message.is_ok() || ciborium::from_reader::<Value, _>(&bytes[..]).is_err();
        if is_known {
            return message.map(Some).map_err(|e| interrupted("decode message", peer, &e));
        }
        if !std::mem::replace(skipped, true) {
            let kind = kind_name(&bytes);
            log::info!(peer = peer.to_string(), kind; "message of an unknown kind skipped");
        }
    }
    Ok(None)
}

/// Returns the name of a message's kind.
fn kind_name(bytes: &[u8]) -> Option<String> {
    match ciborium::from_reader(bytes).ok()? {
        Value::Map(entries) => entries.into_iter().next()?.0.into_text().ok(),
        kind => kind.into_text().ok(),
    }
}
