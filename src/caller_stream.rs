//! The connection of a caller, read on behalf of what serves it and of what looks behind.
//!
//! Hyper serves the requests of a connection one after the other, and does not look at it while one
//! is served and another waits in its buffer. It is given one request at a time here, so that the
//! ones behind it can be started meanwhile, and the end of the connection is noticed.

use crate::pipeline::PipelineBuffer;
use std::{
    cell::{RefCell, RefMut},
    io::{self, IoSlice},
    pin::{Pin, pin},
    rc::Rc,
    task::{Context, Poll},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Bytes that are asked for at once: heads take a few hundred.
const READ_BYTES: usize = 2 * 1024;

/// Returns the end of a connection that is served, and the one that tells what comes behind.
///
/// Both belong to one task: each reads for the other.
pub(crate) fn split(stream: TcpStream) -> (CallerStream, PipelineHandle) {
    let shared = Shared { stream, pipeline: PipelineBuffer::default(), write_blocked: false };
    let shared = Rc::new(RefCell::new(shared));
    (CallerStream(shared.clone()), PipelineHandle(shared))
}

struct Shared {
    stream: TcpStream,
    pipeline: PipelineBuffer,
    write_blocked: bool,
}

impl Shared {
    /// Reads what has arrived, as far as there is room; returns whether there was.
    fn fill(&mut self, cx: &mut Context<'_>) -> bool {
        while let Some(buf) = self.pipeline.input_buf() {
            buf.reserve(READ_BYTES);
            match pin!(self.stream.read_buf(buf)).poll(cx) {
                Poll::Pending => return true,
                Poll::Ready(Ok(0)) => self.pipeline.on_eof(),
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(e)) => {
                    log::debug!("read from a caller: {e}");
                    self.pipeline.on_eof();
                }
            }
        }
        false
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let awaits_more = self.fill(cx);
        let Some(bytes) = self.pipeline.take_bytes(buf.remaining()) else {
            return Poll::Pending;
        };
        buf.put_slice(&bytes);
        if !awaits_more {
            // There was no room to read into, so nothing else wakes the task.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }
}

/// The end that is served.
pub(crate) struct CallerStream(Rc<RefCell<Shared>>);

impl CallerStream {
    /// Returns the connection itself once the other end is gone.
    pub(crate) fn into_inner(self) -> Option<TcpStream> {
        Rc::into_inner(self.0).map(|shared| shared.into_inner().stream)
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.0.borrow_mut().poll_read(cx, buf)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        let written = Pin::new(&mut shared.stream).poll_write(cx, buf);
        shared.write_blocked = written.is_pending();
        written
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let mut shared = self.0.borrow_mut();
        let written = Pin::new(&mut shared.stream).poll_write_vectored(cx, bufs);
        shared.write_blocked = written.is_pending();
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.0.borrow().stream.is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.0.borrow_mut().stream).poll_shutdown(cx)
    }
}

/// What comes behind the request that is served.
pub(crate) struct PipelineHandle(Rc<RefCell<Shared>>);

impl PipelineHandle {
    /// Reads ahead; returns whether the caller has left a request unanswered.
    pub(crate) fn has_disconnected(&self, cx: &mut Context<'_>) -> bool {
        let mut shared = self.0.borrow_mut();
        if shared.pipeline.is_unanswered() {
            let before = shared.pipeline.buffered_len();
            shared.fill(cx);
            if shared.pipeline.buffered_len() > before {
                // The other end may have found nothing to read just before.
                cx.waker().wake_by_ref();
            }
        }
        shared.pipeline.is_disconnected()
    }

    /// Returns how the connection's bytes are divided.
    pub(crate) fn pipeline(&self) -> RefMut<'_, PipelineBuffer> {
        RefMut::map(self.0.borrow_mut(), |shared| &mut shared.pipeline)
    }

    /// Returns whether bytes of an answer wait for room in the connection.
    pub(crate) fn write_blocked(&self) -> bool {
        self.0.borrow().write_blocked
    }
}
