//! Parts of a state that many states have in common, with their cached fingerprints.

use std::{
    hash::{Hash, Hasher},
    ops::Deref,
    sync::Arc,
};

/// A value shared between states; it is copied and fingerprinted again when edited.
#[derive(Debug, Clone)]
pub struct HashedArc<T> {
    value: Arc<T>,
    fingerprint: u128,
}

impl<T: Clone + Hash> HashedArc<T> {
    pub fn new(value: T) -> Self {
        let fingerprint = fingerprint(&value);
        Self { value: Arc::new(value), fingerprint }
    }

    pub fn edit<R>(&mut self, f: impl FnOnce(&mut T) -> R) -> R {
        let result = f(Arc::make_mut(&mut self.value));
        self.fingerprint = fingerprint(&*self.value);
        result
    }

    pub fn fingerprint(&self) -> u128 {
        self.fingerprint
    }
}

impl<T> Deref for HashedArc<T> {
    type Target = T;

    fn deref(&self) -> &T {
        &self.value
    }
}

impl<T> Hash for HashedArc<T> {
    fn hash<H: Hasher>(&self, h: &mut H) {
        h.write_u128(self.fingerprint);
    }
}

/// Returns the fingerprint of a value, which stands for the value in comparisons.
pub fn fingerprint(value: &impl Hash) -> u128 {
    struct Fingerprint(xxhash_rust::xxh3::Xxh3);

    impl Hasher for Fingerprint {
        fn write(&mut self, bytes: &[u8]) {
            self.0.update(bytes);
        }

        fn finish(&self) -> u64 {
            self.0.digest()
        }
    }

    let mut h = Fingerprint(xxhash_rust::xxh3::Xxh3::new());
    value.hash(&mut h);
    h.0.digest128()
}
