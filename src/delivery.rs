//! Decides to which instances of a data centre a message goes that one of them passes on to the
//! others, until one has confirmed it.
//!
//! Answers instances that are gone, frozen or cut off, of which nobody tells: the first instance by
//! name, which the others of its data centre are linked to, may be any of these. One that has not
//! confirmed a message in time is passed over, except for one attempt in [`RETRY_INTERVAL_MS`], and the
//! message goes to the next ones, to twice as many in each round.
//!
//! Points in time are readings of the boot clock in milliseconds.

use crate::{clock::Millis, collections::HashMap};
use std::sync::Arc;

/// Time in milliseconds for an instance to confirm a message: a link is opened within 400 ms.
pub const CONFIRM_TIMEOUT_MS: Millis = 600;
/// Time in milliseconds after which an instance that has not confirmed a message is tried again.
pub const RETRY_INTERVAL_MS: Millis = 10_000;
/// Maximum number of instances that are tried again beside one that is not in doubt.
const MAX_RETRIED: usize = 2;
/// Maximum number of copies in a round.
const MAX_COPIES: usize = 8;

/// A copy of a message for one instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct MessageCopy {
    /// Number of the copy, by which the instance confirms it.
    pub id: u64,
    /// Name of the instance.
    pub instance: Arc<str>,
}

/// A message that no instance of a data centre has confirmed, and whose copies have all failed.
#[derive(Debug, PartialEq, Eq)]
pub struct Undelivered<M> {
    /// Number of the delivery, for [`Deliveries::retry`].
    pub id: u64,
    /// The data centre.
    pub data_center: Arc<str>,
    /// The message.
    pub message: M,
}

#[derive(Debug)]
struct Delivery<M> {
    data_center: Arc<str>,
    message: M,
    tried: Vec<Arc<str>>,
    round: u32,
    /// Copies that have neither been confirmed nor failed.
    open_copies: usize,
}

#[derive(Debug)]
struct OpenCopy {
    delivery: u64,
    instance: Arc<str>,
    until: Millis,
}

/// Messages that are under way, and the instances that have not confirmed one.
#[derive(Debug)]
pub struct Deliveries<M> {
    under_way: HashMap<u64, Delivery<M>>,
    copies: HashMap<u64, OpenCopy>,
    /// When each instance that has not confirmed a message, or to which no link could be opened, is
    /// tried again.
    doubtful: HashMap<Arc<str>, Millis>,
    last_id: u64,
}

impl<M> Default for Deliveries<M> {
    fn default() -> Self {
        Self {
            under_way: HashMap::default(),
            copies: HashMap::default(),
            doubtful: HashMap::default(),
            last_id: 0,
        }
    }
}

impl<M: Clone> Deliveries<M> {
    /// Begins to deliver a message to the data centre of the named instances; returns the copies to
    /// send.
    pub fn begin(
        &mut self,
        now: Millis,
        data_center: Arc<str>,
        message: M,
        names: Vec<Arc<str>>,
    ) -> Vec<MessageCopy> {
        let delivery =
            Delivery { data_center, message, tried: Vec::new(), round: 0, open_copies: 0 };
        let id = self.next_id();
        self.under_way.insert(id, delivery);
        self.retry(now, id, names)
    }

    /// Returns the copies of the next round, to instances that have not been tried; the message is
    /// dropped if there is none.
    pub fn retry(&mut self, now: Millis, id: u64, names: Vec<Arc<str>>) -> Vec<MessageCopy> {
        let Some(delivery) = self.under_way.get_mut(&id) else {
            return Vec::new();
        };
        let mut untried: Vec<Arc<str>> =
            names.into_iter().filter(|n| !delivery.tried.contains(n)).collect();
        untried.sort();
        let chosen = choose(&mut self.doubtful, now, &untried, delivery.round);
        delivery.round += 1;
        delivery.tried.extend(chosen.iter().cloned());
        delivery.open_copies = chosen.len();
        if chosen.is_empty() {
            self.under_way.remove(&id);
        }
        let new_copy = |instance: Arc<str>| {
            let copy = MessageCopy { id: self.next_id(), instance };
            let until = now + CONFIRM_TIMEOUT_MS;
            let open = OpenCopy { delivery: id, instance: copy.instance.clone(), until };
            self.copies.insert(copy.id, open);
            copy
        };
        chosen.into_iter().map(new_copy).collect()
    }

    /// Records that an instance has confirmed a copy.
    pub fn on_confirmed(&mut self, instance: &Arc<str>, id: u64) {
        self.doubtful.remove(instance);
        if let Some(copy) = self.copies.remove(&id) {
            self.under_way.remove(&copy.delivery);
        }
    }

    /// Records that an instance has sent something.
    pub fn on_heard(&mut self, instance: &Arc<str>) {
        self.doubtful.remove(instance);
    }

    /// Records that no link to an instance could be opened.
    pub fn on_unreachable(&mut self, now: Millis, instance: &Arc<str>) {
        self.doubtful.insert(instance.clone(), now + RETRY_INTERVAL_MS);
        self.on_broken_link(now, instance);
    }

    /// Records that the link to an instance broke off, as when it has been started again; its copies
    /// have failed.
    pub fn on_broken_link(&mut self, now: Millis, instance: &Arc<str>) {
        for copy in self.copies.values_mut().filter(|c| c.instance == *instance) {
            copy.until = now;
        }
    }

    /// Returns whether an instance has not confirmed a message since it was last heard from.
    #[must_use]
    pub fn is_doubtful(&self, instance: &Arc<str>) -> bool {
        self.doubtful.contains_key(instance)
    }

    /// Returns the messages whose copies have all failed; each is to be sent again with
    /// [`Self::retry`].
    pub fn take_undelivered(&mut self, now: Millis) -> Vec<Undelivered<M>> {
        let failed: Vec<OpenCopy> =
            self.copies.extract_if(|_, c| now >= c.until).map(|(_, c)| c).collect();
        let mut undelivered = Vec::new();
        for copy in failed {
            self.doubtful.insert(copy.instance, now + RETRY_INTERVAL_MS);
            let Some(delivery) = self.under_way.get_mut(&copy.delivery) else {
                // Another instance has confirmed the message.
                continue;
            };
            delivery.open_copies = delivery.open_copies.saturating_sub(1);
            if delivery.open_copies == 0 {
                let (data_center, message) =
                    (delivery.data_center.clone(), delivery.message.clone());
                undelivered.push(Undelivered { id: copy.delivery, data_center, message });
            }
        }
        undelivered
    }

    fn next_id(&mut self) -> u64 {
        self.last_id += 1;
        self.last_id
    }
}

/// Chooses the first `count` instances that are not in doubt, and those before them that are due to be
/// tried again. While all are in doubt, as in a data centre that is cut off, only the first one gets a
/// copy, and only in the first round.
fn choose(
    doubtful: &mut HashMap<Arc<str>, Millis>,
    now: Millis,
    names: &[Arc<str>],
    round: u32,
) -> Vec<Arc<str>> {
    let count = (1 << round.min(8)).min(MAX_COPIES);
    let (mut chosen, mut retried, mut clean) = (Vec::new(), 0, 0);
    for name in names {
        match doubtful.get_mut(name) {
            Some(retry_at) if now >= *retry_at && retried < MAX_RETRIED => {
                *retry_at = now + RETRY_INTERVAL_MS;
                retried += 1;
            }
            Some(_) => continue,
            None => clean += 1,
        }
        chosen.push(name.clone());
        if clean == count {
            return chosen;
        }
    }
    if chosen.is_empty() && round == 0 {
        chosen.extend(names.first().cloned());
    }
    chosen
}
