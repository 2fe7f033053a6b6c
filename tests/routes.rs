//! Matching of requests to routes and extraction of their keys.

use hyper::Request;
use mulberryspur::{
    resource::{KeySource, Resource},
    route::{RouteTable, is_idempotent, key_of},
};
use serde_json::json;

fn table() -> RouteTable {
    let resource = |v: serde_json::Value| serde_json::from_value::<Resource>(v).unwrap();
    RouteTable::new(&[
        resource(json!({"kind": "Route", "name": "all", "service": "s", "path": "/"})),
        resource(json!({"kind": "Route", "name": "orders", "service": "s", "path": "/orders"})),
        resource(json!({"kind": "Route", "name": "post", "service": "s", "path": "/orders",
                     "methods": ["POST"]})),
        resource(json!({"kind": "Route", "name": "host", "service": "s", "path": "/orders",
                     "host": "kano.example"})),
        resource(json!({"kind": "Route", "name": "header", "service": "s", "path": "/orders",
                     "headers": [{"name": "x-tier", "value": "gold"}], "methods": ["GET"]})),
    ])
}

fn matched_route(method: &str, host: &str, path: &str, tier: &str) -> String {
    let req = Request::builder().method(method).uri(path).header("host", host);
    let (head, ()) = req.header("x-tier", tier).body(()).unwrap().into_parts();
    table().find(&head).map_or_else(String::new, |r| r.name.to_string())
}

macro_rules! route_matches {
    ($($name:ident: $method:literal $host:literal $path:literal $tier:literal => $route:literal;)*) => {
        $(#[test] fn $name() { assert_eq!(matched_route($method, $host, $path, $tier), $route); })*
    };
}

route_matches! {
    longest_path: "GET" "h" "/orders/1" "" => "orders";
    segment_boundary: "GET" "h" "/ordersfoo" "" => "all";
    method: "POST" "h" "/orders" "" => "post";
    host_with_port: "GET" "KANO.example:80" "/orders" "" => "host";
    header: "GET" "h" "/orders" "gold" => "header";
    query_is_ignored: "GET" "h" "/orders?x=/y" "" => "orders";
}

fn extract_key(source: &KeySource, uri: &str) -> Option<String> {
    let (head, ()) = Request::get(uri).header("x-key", "hk").body(()).unwrap().into_parts();
    key_of(source, &head)
}

macro_rules! extracted_keys {
    ($($name:ident: $source:expr, $uri:literal => $key:expr;)*) => {
        $(#[test] fn $name() {
            let expected: Option<&str> = $key;
            assert_eq!(extract_key(&$source, $uri).as_deref(), expected);
        })*
    };
}

extracted_keys! {
    from_segment: KeySource::PathSegment(1), "/patterns/crane/x" => Some("crane");
    from_segment_escaped: KeySource::PathSegment(1), "/p/caf%C3%A9" => Some("café");
    from_segment_missing: KeySource::PathSegment(3), "/p/a" => None;
    from_segment_empty: KeySource::PathSegment(1), "/p/" => None;
    from_segment_bad_escape: KeySource::PathSegment(1), "/p/a%Z" => None;
    from_header: KeySource::Header("x-key".into()), "/" => Some("hk");
    from_query: KeySource::Query("k".into()), "/?a=1&k=v" => Some("v");
    from_query_missing: KeySource::Query("k".into()), "/?kk=v" => None;
}

#[test]
fn idempotence_follows_the_method_unless_the_route_sets_it() {
    let mut route: mulberryspur::resource::Route =
        serde_json::from_value(json!({"name": "r", "service": "s", "path": "/"})).unwrap();
    assert!(is_idempotent(&route, &hyper::Method::PUT));
    assert!(!is_idempotent(&route, &hyper::Method::POST));
    route.idempotent = Some(true);
    assert!(is_idempotent(&route, &hyper::Method::POST));
}
