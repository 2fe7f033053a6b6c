//! Messages as they are sent: encoded once, whatever the number of receivers.

use super::Message;
use bytes::Bytes;

/// An encoded message.
#[derive(Debug, Clone)]
pub(super) struct Frame {
    /// Kind of the message, for the metric.
    pub kind: &'static str,
    pub bytes: Bytes,
}

impl Frame {
    /// Encodes a message; `None` if it cannot be encoded.
    pub(super) fn new(message: &Message) -> Option<Self> {
        let (kind, mut bytes) = (message.kind(), Vec::new());
        if let Err(e) = ciborium::into_writer(message, &mut bytes) {
            log::error!(kind; "message cannot be encoded: {e}");
            return None;
        }
        Some(Self { kind, bytes: bytes.into() })
    }

    /// Counts the bytes of a message that is sent.
    pub(super) fn count_sent(&self, same_data_center: bool) {
        let same_data_center = if same_data_center { "true" } else { "false" };
        let labels = [("kind", self.kind), ("same_data_center", same_data_center)];
        let bytes = u64::try_from(self.bytes.len()).unwrap_or(u64::MAX);
        metrics::counter!("mulberryspur_gossip_bytes_total", &labels).increment(bytes);
    }
}
