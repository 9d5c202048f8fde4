//! Removes the credentials of callers from forwarded requests.
//!
//! No backend server may see a caller's API key. Header fields and query
//! parameters that usually carry credentials are removed by name, and so is every
//! other one that contains the presented key.

use hyper::HeaderMap;
use hyper::header::{self, HeaderName};

/// Header fields that carry credentials.
const CREDENTIAL_FIELDS: &[&str] = &[
    "authorization",
    "proxy-authorization",
    "cookie",
    "x-api-key",
    "api-key",
    "x-auth-token",
    "x-access-token",
    "x-forwarded-authorization",
    "x-original-authorization",
];

/// Hop-by-hop header fields, and fields that the HTTP client sets itself.
const CONNECTION_FIELDS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "expect",
];

/// Query parameters that carry credentials.
const CREDENTIAL_PARAMETERS: &[&str] = &["api_key", "api-key", "apikey", "key", "access_token"];

/// Returns the key of an `Authorization: Bearer` field.
#[must_use]
pub fn bearer_key(fields: &HeaderMap) -> Option<&str> {
    let text = fields.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = text.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim())
}

/// Returns the header fields that are forwarded to a backend server.
#[must_use]
pub fn forwarded_headers(fields: &HeaderMap, key: Option<&str>) -> HeaderMap {
    let hop_by_hop = connection_options(fields);
    let mut forwarded = HeaderMap::with_capacity(fields.len());
    for (name, value) in fields {
        let dropped = is_listed(name, CREDENTIAL_FIELDS)
            || is_listed(name, CONNECTION_FIELDS)
            || hop_by_hop.contains(name)
            || contains_key(value.as_bytes(), key);
        if !dropped {
            forwarded.append(name.clone(), value.clone());
        }
    }
    forwarded
}

/// Returns the query that is forwarded to a backend server, without its question
/// mark.
#[must_use]
pub fn forwarded_query(query: &str, key: Option<&str>) -> String {
    let kept = query.split('&').filter(|parameter| {
        let name = parameter.split('=').next().unwrap_or_default();
        let credential = CREDENTIAL_PARAMETERS
            .iter()
            .any(|listed| name.eq_ignore_ascii_case(listed));
        !credential && !contains_key(parameter.as_bytes(), key)
    });
    kept.collect::<Vec<_>>().join("&")
}

/// Returns the header fields that the `Connection` field declares as hop-by-hop.
fn connection_options(fields: &HeaderMap) -> Vec<HeaderName> {
    fields
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect()
}

fn is_listed(name: &HeaderName, list: &[&str]) -> bool {
    list.contains(&name.as_str())
}

fn contains_key(bytes: &[u8], key: Option<&str>) -> bool {
    let key = key.unwrap_or_default().as_bytes();
    !key.is_empty() && bytes.windows(key.len()).any(|window| window == key)
}
