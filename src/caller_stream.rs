//! Splits a caller's connection to `mulberryspur-platform` into a stream for hyper and a handle
//! that reads ahead of it.
//!
//! Hyper serves the requests of a connection one after the other, and does not read from it while
//! one is served and another waits in its buffer. Here it gets one request at a time, so that the
//! ones behind it can be started meanwhile and the end of the connection is noticed.

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

/// Space that is reserved for a read; the head of a request takes a few hundred bytes.
const READ_CHUNK_BYTES: usize = 2 * 1024;

/// Splits a connection into the stream that hyper serves and the handle to its pipelined requests.
///
/// Both must be polled by the same task, as each reads for the other.
pub(crate) fn split(stream: TcpStream) -> (CallerStream, PipelineHandle) {
    let shared = Shared { stream, pipeline: PipelineBuffer::default(), write_blocked: false };
    let shared = Rc::new(RefCell::new(shared));
    (CallerStream(shared.clone()), PipelineHandle(shared))
}

struct Shared {
    stream: TcpStream,
    pipeline: PipelineBuffer,
    /// Whether the last write had to wait.
    write_blocked: bool,
}

impl Shared {
    /// Reads what has arrived until the buffer is full. Returns whether a read is pending, which
    /// wakes the task.
    fn fill_input(&mut self, cx: &mut Context<'_>) -> bool {
        while let Some(buf) = self.pipeline.input_buf() {
            buf.reserve(READ_CHUNK_BYTES);
            match pin!(self.stream.read_buf(buf)).poll(cx) {
                Poll::Pending => return true,
                Poll::Ready(Ok(0)) => self.pipeline.on_eof(),
                Poll::Ready(Ok(_)) => {}
                Poll::Ready(Err(e)) => {
                    log::debug!("read from caller: {e}");
                    self.pipeline.on_eof();
                }
            }
        }
        false
    }

    fn poll_read(&mut self, cx: &mut Context<'_>, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let is_read_pending = self.fill_input(cx);
        let Some(bytes) = self.pipeline.take_bytes(buf.remaining()) else {
            return Poll::Pending;
        };
        buf.put_slice(&bytes);
        if !is_read_pending {
            // The buffer was full or the connection had ended, so that no read is pending and
            // nothing else wakes the task.
            cx.waker().wake_by_ref();
        }
        Poll::Ready(Ok(()))
    }
}

/// The stream that hyper serves: one request at a time.
pub(crate) struct CallerStream(Rc<RefCell<Shared>>);

impl CallerStream {
    /// Returns the connection itself once the handle has been dropped.
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

/// Access to the requests behind the one that hyper serves.
pub(crate) struct PipelineHandle(Rc<RefCell<Shared>>);

impl PipelineHandle {
    /// Reads ahead, and returns whether the caller has disconnected before the response to the
    /// current request.
    pub(crate) fn has_disconnected(&self, cx: &mut Context<'_>) -> bool {
        let mut shared = self.0.borrow_mut();
        if shared.pipeline.awaits_response() {
            let before = shared.pipeline.buffered_len();
            shared.fill_input(cx);
            if shared.pipeline.buffered_len() > before {
                // Hyper's stream may have found nothing to read just before.
                cx.waker().wake_by_ref();
            }
        }
        shared.pipeline.is_disconnected()
    }

    /// Returns the buffer of the connection's requests.
    pub(crate) fn pipeline(&self) -> RefMut<'_, PipelineBuffer> {
        RefMut::map(self.0.borrow_mut(), |shared| &mut shared.pipeline)
    }

    /// Returns whether bytes of a response are waiting for space in the socket's buffer.
    pub(crate) fn write_blocked(&self) -> bool {
        self.0.borrow().write_blocked
    }
}
