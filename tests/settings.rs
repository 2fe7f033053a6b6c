//! Settings of mulberryd: what is accepted, and what the errors say.

use expect_test::{Expect, expect};
use mulberryspur::settings::{Secret, Settings};

const VALID_SETTINGS: &str = r#"{
  // Where this instance runs.
  "instance": "entry-1",
  "data_center": "kano-1",
  "listen": "127.0.0.1:8080",
  "admin": "127.0.0.1:8081",
  "peer": "127.0.0.1:8082",
  "platform": "127.0.0.1:7000",
  "secret": "not-a-secret" /* shared */
}"#;

fn check(text: &str, expected: &Expect) {
    let actual = match Settings::parse("entry.jsonc", text) {
        Ok(_) => "accepted".to_owned(),
        Err(e) => e.to_string(),
    };
    expected.assert_eq(&actual);
}

macro_rules! cases {
    ($($name:ident: $from:expr, $to:expr => $expected:expr;)*) => {
        $(#[test] fn $name() { check(&VALID_SETTINGS.replace($from, $to), &$expected); })*
    };
}

cases! {
    good: "", "" => expect!["accepted"];
    unknown_field: "\"peer\":", "\"pear\":" => expect!["read JSON: entry.jsonc:7: field `pear`: unknown field `pear`, expected one of `instance`, `data_center`, `rack`, `listen`, `admin`, `peer`, `peers`, `platform`, `secret`, `timing`, `limits`, `log`"];
    wrong_type: "\"entry-1\"", "7" => expect!["read JSON: entry.jsonc:3: field `instance`: invalid type: integer `7`, expected a string"];
    bad_address: "127.0.0.1:8081", "localhost" => expect!["read JSON: entry.jsonc:6: field `admin`: invalid socket address syntax"];
    missing_field: "  \"instance\": \"entry-1\",\n", "" => expect!["read JSON: entry.jsonc:1: field `.`: missing field `instance`"];
    short_secret: "not-a-secret", "short" => expect!["check settings: entry.jsonc:9: field `secret`: accepts at least 8 bytes"];
    same_address_twice: "127.0.0.1:8082", "127.0.0.1:8080" => expect!["check settings: entry.jsonc:5: field `listen`: accepts an address that differs from admin and peer"];
    not_json: "\"instance\":", "\"instance\"" => expect!["read JSON: entry.jsonc:3: Expected colon after the string or word in object property"];
    short_lease: "\"secret\":", "\"timing\": { \"lease_ms\": 500 },\n  \"secret\":" => expect!["check settings: entry.jsonc:9: field `lease_ms`: accepts at least promise_ms + renew_ms"];
    unknown_nested: "\"secret\":", "\"limits\": {\n \"queues\": 5 },\n  \"secret\":" => expect!["read JSON: entry.jsonc:10: field `limits.queues`: unknown field `queues`, expected one of `connections`, `header_bytes`, `header_read_ms`, `drain_ms`, `replay_bytes`, `queue`"];
}

#[test]
fn secret_does_not_show() {
    let cfg = Settings::parse("entry.jsonc", VALID_SETTINGS).unwrap();
    assert!(!format!("{cfg:?}").contains("not-a-secret"));
    assert!(cfg.secret.matches(b"not-a-secret"));
    assert!(!cfg.secret.matches(b"not-a-secreu"));
    assert!(!Secret::new("abc").matches(b"abcd"));
}
