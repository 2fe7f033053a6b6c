//! Delivery of messages to data centres of which some instances are gone.

use mulberryspur::delivery::{CONFIRM_TIMEOUT_MS, Deliveries, MessageCopy, RETRY_INTERVAL_MS};
use std::sync::Arc;

fn names(count: usize) -> Vec<Arc<str>> {
    (0..count).map(|n| format!("b{n:03}").into()).collect()
}

fn begin(deliveries: &mut Deliveries<&'static str>, now: u64, count: usize) -> Vec<MessageCopy> {
    deliveries.begin(now, "b".into(), "news", names(count))
}

/// Sends a message to a data centre whose first `gone` instances never confirm one; returns the time
/// until another has, and the number of copies.
fn deliver(
    deliveries: &mut Deliveries<&'static str>,
    start: u64,
    gone: usize,
    count: usize,
) -> Option<(u64, usize)> {
    let all = names(count);
    let mut copies = begin(deliveries, start, count);
    let mut sent = copies.len();
    for now in (start..start + 60_000).step_by(20) {
        for copy in std::mem::take(&mut copies) {
            if all[gone..].contains(&copy.instance) {
                deliveries.on_confirmed(&copy.instance, copy.id);
                return Some((now - start, sent));
            }
        }
        for failed in deliveries.take_undelivered(now) {
            copies.extend(deliveries.retry(now, failed.id, all.clone()));
        }
        sent += copies.len();
    }
    None
}

macro_rules! deliveries {
    ($($name:ident: $gone:expr, $count:expr;)*) => {$(
        // News must be at all instances 3 s after an event; the last 0.5 s are for passing it on.
        #[test]
        fn $name() {
            let mut deliveries = Deliveries::default();
            let (took, _) = deliver(&mut deliveries, 0, $gone, $count).expect("delivered");
            assert!(took <= 2_500, "took {took} ms");
            // A later one goes straight to an instance that is there.
            let now = took + CONFIRM_TIMEOUT_MS;
            assert_eq!(deliveries.take_undelivered(now), []);
            let (took, copies) = deliver(&mut deliveries, now, $gone, $count).expect("delivered");
            assert_eq!((took, copies), (0, 1));
        }
    )*};
}

deliveries! {
    news_is_sent_to_an_instance_that_is_gone: 1, 4;
    news_is_sent_to_ten_instances_that_are_gone: 10, 30;
    news_is_sent_to_all_but_the_last_of_a_few: 7, 8;
}

/// An instance that was in doubt is tried again beside one that is not, and is the first again.
#[test]
fn instance_that_is_back_stays_in_doubt() {
    let mut deliveries = Deliveries::default();
    deliver(&mut deliveries, 0, 1, 4).expect("delivered");
    let now = CONFIRM_TIMEOUT_MS + RETRY_INTERVAL_MS + 100;
    let copies = begin(&mut deliveries, now, 4);
    let instances: Vec<&str> = copies.iter().map(|c| &*c.instance).collect();
    assert_eq!(instances, ["b000", "b001"]);
    for copy in &copies {
        deliveries.on_confirmed(&copy.instance, copy.id);
    }
    let copies = begin(&mut deliveries, now, 4);
    assert_eq!(copies.len(), 1);
    assert_eq!(&*copies[0].instance, "b000");
}

#[test]
fn message_to_nobody_is_kept() {
    let mut deliveries = Deliveries::default();
    assert_eq!(deliver(&mut deliveries, 0, 4, 4), None);
    assert_eq!(deliveries.take_undelivered(u64::MAX), []);
}

/// A data centre is cut off: of the messages for it, each is sent to one instance and then dropped.
#[test]
fn messages_to_a_data_centre_that_is_cut_off_multiply() {
    let mut deliveries = Deliveries::default();
    assert_eq!(deliver(&mut deliveries, 0, 30, 30), None);
    // Before any of them is due to be tried again.
    let now = 60_000 + CONFIRM_TIMEOUT_MS;
    for n in names(30) {
        deliveries.on_unreachable(now, &n);
    }
    assert_eq!(begin(&mut deliveries, now, 30).len(), 1);
    let failed = deliveries.take_undelivered(now + CONFIRM_TIMEOUT_MS);
    assert_eq!(failed.len(), 1);
    assert_eq!(deliveries.retry(now + CONFIRM_TIMEOUT_MS, failed[0].id, names(30)), []);
}

/// The instance was started again, and is still the relay of the others.
#[test]
fn broken_link_leaves_an_instance_in_doubt() {
    let mut deliveries = Deliveries::<&str>::default();
    deliveries.on_broken_link(0, &"b000".into());
    assert!(!deliveries.is_doubtful(&"b000".into()));
}

/// The copy has waited for a slow link.
#[test]
fn late_confirmation_leaves_an_instance_in_doubt() {
    let mut deliveries = Deliveries::default();
    let copies = begin(&mut deliveries, 0, 4);
    assert_eq!(deliveries.take_undelivered(CONFIRM_TIMEOUT_MS).len(), 1);
    assert!(deliveries.is_doubtful(&copies[0].instance));
    deliveries.on_confirmed(&copies[0].instance, copies[0].id);
    assert!(!deliveries.is_doubtful(&copies[0].instance));
}
