//! A TCP stream that can be checked for a close while its task has not run.

use rustix::net::{RecvFlags, Shutdown};
use std::{
    io,
    pin::Pin,
    sync::{Arc, Weak},
    task::{Context, Poll, ready},
};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// A stream whose [`SocketProbe`]s do not keep it open.
#[derive(Debug)]
pub(crate) struct Socket(Arc<TcpStream>);

/// Checks an idle [`Socket`].
#[derive(Debug, Clone)]
pub(crate) struct SocketProbe(Weak<TcpStream>);

impl Socket {
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(stream))
    }

    pub fn probe(&self) -> SocketProbe {
        SocketProbe(Arc::downgrade(&self.0))
    }
}

impl SocketProbe {
    /// Returns whether the stream is open and nothing has arrived that was not read: neither a
    /// close nor bytes, which belong to no request on an idle connection.
    pub fn is_quiet(&self) -> bool {
        let Some(stream) = self.0.upgrade() else {
            return false;
        };
        let flags = RecvFlags::PEEK | RecvFlags::DONTWAIT;
        let received = rustix::net::recv(&*stream, &mut [0; 1], flags);
        matches!(received, Err(e) if e == rustix::io::Errno::AGAIN)
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            ready!(self.0.poll_read_ready(cx))?;
            match self.0.try_read(buf.initialize_unfilled()) {
                Ok(n) => {
                    buf.advance(n);
                    return Poll::Ready(Ok(()));
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                Err(e) => return Poll::Ready(Err(e)),
            }
        }
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.0.poll_write_ready(cx))?;
            match self.0.try_write_vectored(bufs) {
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {}
                result => return Poll::Ready(result),
            }
        }
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(rustix::net::shutdown(&*self.0, Shutdown::Write).map_err(Into::into))
    }
}
