//! Takeovers of the lease with instances of unequal size: the largest ones that are alive come
//! first, and the whole takeover ends before grants do, whichever instances are lost.

use mulberryspur::{
    lease::{Lease, MIN_READ_INTERVAL_MS},
    succession::{Candidate, Place, SILENCE_LIMIT_MS},
};

const SERVICES: [&str; 4] = ["paperdesk", "foldbook", "batchbook", "s3"];
/// Time in milliseconds that a call to the store takes.
const STORE_MS: u64 = 30;
/// Time in milliseconds until a message from the coordinator has reached all instances.
const NOTICE_MS: u64 = 60;
/// Time in milliseconds between two polls of a coordinator task.
const POLL_MS: u64 = 40;
/// Time in milliseconds to read the lease, to write it and to read the owners.
const TAKING_MS: u64 = 3 * STORE_MS + POLL_MS;
/// Longest takeover in milliseconds after a planned stop.
const STOP_LIMIT_MS: u64 = 1_000;
/// Longest takeover in milliseconds after a loss.
const LOSS_LIMIT_MS: u64 = 3_500;

#[derive(Debug, Clone)]
struct Instance {
    name: String,
    data_center: String,
    cpu_cores: f64,
}

impl Instance {
    fn candidate(&self) -> Candidate<'_> {
        let (name, data_center, cpu_cores) = (&self.name, &self.data_center, self.cpu_cores);
        Candidate { name, data_center, cpu_cores }
    }
}

/// Returns instances in three data centres, of which `large` have the first size and the others the
/// other ones in turn.
fn instances(count: usize, large: usize, sizes: &[f64]) -> Vec<Instance> {
    let size = |n: usize| if n < large { sizes[0] } else { sizes[1 + n % (sizes.len() - 1)] };
    (0..count)
        .map(|n| Instance {
            name: format!("e{n:03}"),
            data_center: format!("dc{}", n % 3),
            cpu_cores: size(n),
        })
        .collect()
}

fn place(service: &str, all: &[Instance], own: &Instance) -> Place {
    Place::find(service, own.candidate(), all.iter().map(Instance::candidate))
}

/// Returns when an instance that learns at 0 that the lease was given back has taken it and read the
/// owners.
fn taken_after_stop(place: Place) -> u64 {
    // It waits for what is left of its silence limit; the longest ones were heard from long ago.
    NOTICE_MS + POLL_MS + (place.silence_limit_ms() - SILENCE_LIMIT_MS) + TAKING_MS
}

/// Returns when an instance that heard from the coordinator at 0, when it was lost, has taken the
/// lease and read the owners.
fn taken_after_loss(place: Place) -> u64 {
    let row = Lease::new("lost", 1).next_row(0);
    let mut lease = Lease::new("e", 2);
    let mut now = place.silence_limit_ms() + POLL_MS;
    while lease.on_read(now, Some(&row), 7).is_none() {
        let delay = lease.read_delay(now);
        assert!(delay >= MIN_READ_INTERVAL_MS);
        now += delay.max(STORE_MS) + POLL_MS;
    }
    now + TAKING_MS
}

/// Returns the instance among those for which `is_alive` that takes the lease first, and when.
fn takeover<'a>(
    service: &str,
    all: &'a [Instance],
    is_alive: impl Fn(&Instance) -> bool,
    taken: fn(Place) -> u64,
) -> (&'a Instance, u64) {
    let alive = all.iter().filter(|i| is_alive(i));
    alive.map(|i| (i, taken(place(service, all, i)))).min_by_key(|(_, at)| *at).expect("one")
}

/// What is lost, whether it leaves large instances, and which instances are alive.
type Loss<'a> = (&'a str, bool, &'a dyn Fn(&Instance) -> bool);

/// Checks all losses in a deployment whose largest instances have `sizes[0]` cores.
fn check(count: usize, large: usize, sizes: &[f64]) {
    let all = instances(count, large, sizes);
    let is_large = |i: &Instance| i.cpu_cores >= sizes[0];
    for service in SERVICES {
        let coordinator = all
            .iter()
            .find(|i| {
                let place = place(service, &all, i);
                place.position == 0 && place.larger_classes == 0
            })
            .expect("a first one");
        let in_one = |i: &Instance| i.data_center == coordinator.data_center;
        let losses: [Loss<'_>; 4] = [
            ("coordinator", true, &|i| i.name != coordinator.name),
            ("large of its data centre", true, &|i| !(in_one(i) && is_large(i))),
            ("data centre", true, &|i| !in_one(i)),
            ("all large", false, &|i| !is_large(i)),
        ];
        for (lost, leaves_large, is_alive) in losses {
            if !all.iter().any(is_alive) {
                continue;
            }
            for (taken, limit) in [
                (taken_after_stop as fn(Place) -> u64, STOP_LIMIT_MS),
                (taken_after_loss, LOSS_LIMIT_MS),
            ] {
                let (next, at) = takeover(service, &all, is_alive, taken);
                assert!(at <= limit, "{lost}, {count} instances: {next:?} takes it after {at} ms");
                assert!(!leaves_large || is_large(next), "{lost}: {next:?}");
            }
        }
    }
}

/// Names a deployment.
macro_rules! deployments {
    ($($name:ident($count:expr, $large:expr, $sizes:expr);)*) => {
        $(#[test]
        fn $name() {
            check($count, $large, &$sizes);
        })*
    };
}

deployments! {
    twelve_equal_instances(12, 12, [0.5, 0.5]);
    twelve_equal_small_instances(12, 12, [0.1, 0.1]);
    six_large_of_85(85, 6, [0.5, 0.1]);
    instances_of_four_sizes(90, 12, [0.5, 0.25, 0.1, 0.075]);
    three_large_of_195(195, 3, [0.5, 0.1]);
    hundred_large_of_300(300, 100, [0.5, 0.1]);
    three_hundred_small(300, 300, [0.1, 0.1]);
}

/// Instances of unknown size, which run an earlier version, count as of the own size, so that an
/// upgrade neither delays a takeover nor lets all instances read the lease at once.
#[test]
fn sizes_of_some_instances_are_not_known() {
    let mut all = instances(85, 6, &[0.5, 0.1]);
    for i in all.iter_mut().skip(40) {
        i.cpu_cores = 0.0;
    }
    let place = place("paperdesk", &all, &all[0]);
    assert_eq!((place.larger_classes, place.classes), (0, 2));
    assert!(place.rank < 6 + 45);
}

/// Each rank is given once within a class.
#[test]
fn two_instances_have_one_rank() {
    let all = instances(85, 6, &[0.5, 0.1]);
    let mut ranks: Vec<u64> = all.iter().map(|i| place("paperdesk", &all, i).position).collect();
    ranks.sort_unstable();
    assert_eq!(ranks, (0..85).collect::<Vec<u64>>());
}
