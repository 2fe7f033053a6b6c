//! Limits the memory of all responses that `mulberryspur-platform` reads whole before it passes them on.

use crate::error::{Cause, Error, Result};
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use std::{sync::Arc, time::Duration};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Part of a body that is buffered without a permit, in bytes: most bodies are smaller.
const FREE_BUFFER_BYTES: usize = 64 * 1024;

/// Time for which a body waits for others to be passed on. Each holds what it has while it waits for
/// more, so that all may wait for each other.
const BUFFER_WAIT: Duration = Duration::from_millis(300);

/// Limits the memory of all bodies that a process buffers.
///
/// Answers many large bodies at once, such as those of upstreams that send without end: while the
/// limit is reached, a body that needs more than [`FREE_BUFFER_BYTES`] waits, and then fails.
#[derive(Debug)]
pub(crate) struct BufferLimit(Arc<Semaphore>);

/// A buffered body, which counts towards the limit until its last byte has been passed on.
struct LimitedBuffer {
    bytes: BytesMut,
    permit: Option<OwnedSemaphorePermit>,
}

impl AsRef<[u8]> for LimitedBuffer {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl LimitedBuffer {
    fn add_permit(&mut self, new: OwnedSemaphorePermit) {
        match &mut self.permit {
            Some(permit) => permit.merge(new),
            None => self.permit = Some(new),
        }
    }
}

impl BufferLimit {
    pub fn new(bytes: usize) -> Self {
        Self(Arc::new(Semaphore::new(bytes)))
    }

    /// Reads a whole body of at most `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Fails if the body is longer or ends early, or if there was no memory for it in time.
    pub async fn read_body(
        &self,
        step: &'static str,
        peer: &str,
        body: Incoming,
        max_bytes: usize,
    ) -> Result<Bytes> {
        let interrupted =
            |e: &dyn std::fmt::Display| Error::new(step, peer, Cause::Interrupted(e.to_string()));
        let mut buffer = LimitedBuffer { bytes: BytesMut::new(), permit: None };
        let mut body = Limited::new(body, max_bytes);
        while let Some(frame) = body.frame().await {
            let Ok(data) = frame.map_err(|e| interrupted(&e))?.into_data() else {
                continue;
            };
            let needed = buffer.bytes.len() + data.len();
            if needed > buffer.bytes.capacity() {
                let capacity = needed.next_power_of_two();
                let free = buffer.bytes.capacity().max(FREE_BUFFER_BYTES);
                let counted = u32::try_from(capacity.saturating_sub(free)).unwrap_or(u32::MAX);
                if counted > 0 {
                    let acquiring = self.0.clone().acquire_many_owned(counted);
                    let acquired = tokio::time::timeout(BUFFER_WAIT, acquiring).await;
                    let permit = acquired.map_err(|_| interrupted(&"no memory for it"))?;
                    buffer.add_permit(permit.map_err(|e| interrupted(&e))?);
                }
                buffer.bytes.reserve(capacity - buffer.bytes.len());
            }
            buffer.bytes.extend_from_slice(&data);
        }
        if buffer.permit.is_none() {
            return Ok(buffer.bytes.freeze());
        }
        Ok(Bytes::from_owner(buffer))
    }
}
