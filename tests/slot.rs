//! All versions must map keys to slots alike (mulberryd): these values must never change.

use mulberryspur::slot::{hashed_slot, key_hash, slot_of};

macro_rules! test_vectors {
    ($($name:ident: $service:literal, $key:literal => $hash:literal;)*) => {
        $(#[test] fn $name() {
            assert_eq!(format!("{:016x}", key_hash($service, $key)), $hash);
        })*
    };
}

test_vectors! {
    empty_service_and_key: "", "" => "d927163a708ea9bd";
    ascii: "foldbook", "crane" => "a1924aaf05f782b1";
    separator_is_hashed: "foldbookc", "rane" => "7d535df098724588";
    not_ascii: "vitrina", "café-leche" => "4680f0f9e3b52f5a";
}

#[test]
fn pinned_key_has_its_own_slot() {
    let pins = ["".into(), "crane".into()];
    assert_eq!(slot_of("foldbook", "crane", 64, &pins), 65);
    assert_eq!(slot_of("foldbook", "crane", 64, &[]), hashed_slot("foldbook", "crane", 64));
    assert!(slot_of("foldbook", "", 64, &pins) < 64, "a removed pin matches no key");
}

#[test]
fn keys_spread_over_slots() {
    let mut counts = [0_u32; 64];
    for n in 0..64_000 {
        counts[hashed_slot("foldbook", &format!("key-{n}"), 64) as usize] += 1;
    }
    assert!(counts.iter().all(|c| (800..1_200).contains(c)), "{counts:?}");
}
