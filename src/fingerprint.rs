//! Fingerprints of requests: whether two requests of different identities are the same one, sent
//! again by its caller, at whatever instance of `mulberryspur-platform`.

use hyper::{Uri, header::HOST, http::request::Parts};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::{fmt, net::IpAddr};
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of the digest that are kept.
const DIGEST_BYTES: usize = 16;

/// Identity of a request by its method, host, path, query and body, from any caller or from one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Fingerprint {
    /// See [`path_hash`].
    pub path_hash: u64,
    /// Cryptographic, as callers who find two requests with one digest could have the requests of
    /// others rejected.
    digest: [u8; DIGEST_BYTES],
    /// Address of the caller, if only its requests are meant.
    caller: Option<IpAddr>,
}

/// The body of a request, as far as it is known.
#[derive(Debug, Clone, Copy)]
pub enum KnownBody<'a> {
    /// The whole body.
    Whole(&'a [u8]),
    /// One that is streamed, of which only the declared length counts.
    Streamed(Option<u64>),
}

/// Returns the hash of a request's path and query, which is cheap and tells most requests apart.
#[must_use]
pub fn path_hash(uri: &Uri) -> u64 {
    xxh3_64(uri.path_and_query().map_or("/", |p| p.as_str()).as_bytes())
}

impl Fingerprint {
    /// Computes the fingerprint of a request from any caller.
    #[must_use]
    pub fn new(head: &Parts, body: KnownBody) -> Self {
        let mut hash = Sha256::new();
        let mut add = |part: &[u8]| {
            hash.update((part.len() as u64).to_le_bytes());
            hash.update(part);
        };
        add(head.method.as_str().as_bytes());
        add(head.headers.get(HOST).map_or(b"", |h| h.as_bytes()));
        add(head.uri.to_string().as_bytes());
        match body {
            KnownBody::Whole(bytes) => add(bytes),
            KnownBody::Streamed(length) => add(&length.unwrap_or(u64::MAX).to_le_bytes()),
        }
        let mut digest = [0; DIGEST_BYTES];
        digest.copy_from_slice(&hash.finalize()[..DIGEST_BYTES]);
        Self { path_hash: path_hash(&head.uri), digest, caller: None }
    }

    /// Returns the fingerprint of the same request from one caller only.
    #[must_use]
    pub fn with_caller(self, caller: IpAddr) -> Self {
        Self { caller: Some(caller), ..self }
    }

    /// Returns the address of the caller, if only its requests are meant.
    #[must_use]
    pub fn caller(&self) -> Option<IpAddr> {
        self.caller
    }
}

/// Prints the digest, which is the same for all callers.
impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.digest.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}
