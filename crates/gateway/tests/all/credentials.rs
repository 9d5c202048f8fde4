//! No credential of a caller is forwarded to a backend server.

use chicoryladder_gateway::{bearer_key, forwarded_headers, forwarded_query};
use hyper::HeaderMap;
use hyper::header::{HeaderName, HeaderValue};
use proptest::prelude::*;

const KEY: &str = "ck_0123456789abcdef_secret";

fn fields(pairs: &[(&str, &str)]) -> HeaderMap {
    let mut fields = HeaderMap::new();
    for (name, value) in pairs {
        let name: HeaderName = name.parse().unwrap();
        fields.append(name, value.parse().unwrap());
    }
    fields
}

#[test]
fn reads_only_bearer_keys() {
    let bearer = format!("bearer {KEY}");
    assert_eq!(
        bearer_key(&fields(&[("authorization", &bearer)])),
        Some(KEY)
    );
    assert_eq!(bearer_key(&fields(&[("authorization", "Basic abc")])), None);
    assert_eq!(bearer_key(&fields(&[])), None);
}

#[test]
fn drops_credentials_and_connection_fields() {
    let bearer = format!("Bearer {KEY}");
    let cookie = format!("a=1; key={KEY}");
    let sent = fields(&[
        ("authorization", &bearer),
        ("proxy-authorization", "Basic abc"),
        ("cookie", &cookie),
        ("x-api-key", "other"),
        ("x-forwarded-authorization", "other"),
        ("x-copy", KEY),
        ("connection", "keep-alive, x-hop"),
        ("x-hop", "1"),
        ("te", "trailers"),
        ("content-type", "application/json"),
    ]);
    let forwarded = forwarded_headers(&sent, Some(KEY));
    assert_eq!(forwarded, fields(&[("content-type", "application/json")]));
}

#[test]
fn drops_credentials_from_the_query() {
    let query = format!("a=1&API_KEY=x&b=2&copy={KEY}&access_token=y&c");
    assert_eq!(forwarded_query(&query, Some(KEY)), "a=1&b=2&c");
    assert_eq!(forwarded_query("", None), "");
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    #[test]
    fn the_key_is_never_forwarded(
        name in "[a-z][a-z-]{0,20}",
        before in "[ -~]{0,20}",
        after in "[ -~]{0,20}",
        query in "[a-z=&]{0,30}",
    ) {
        let mut sent = HeaderMap::new();
        let name: HeaderName = name.parse().unwrap();
        let value = HeaderValue::from_str(&format!("{before}{KEY}{after}")).unwrap();
        sent.append(name, value);
        let forwarded = format!("{:?}", forwarded_headers(&sent, Some(KEY)));
        prop_assert!(!forwarded.contains(KEY));
        let query = format!("{query}&x={KEY}");
        prop_assert!(!forwarded_query(&query, Some(KEY)).contains(KEY));
    }
}
