//! The path and query of a request.

use std::str::FromStr;

use url::Url;
use web::Request;

/// a parsed request target
#[derive(Clone, Debug)]
pub struct Target {
    url: Url,
}

impl Target {
    /// parses the target of a request; `None` if it is malformed
    pub fn from_request(request: &Request) -> Option<Self> {
        let base = Url::parse("http://standin").ok()?;
        base.join(request.target()).ok().map(|url| Self { url })
    }

    /// full path
    pub fn path(&self) -> &str {
        self.url.path()
    }

    /// segments of the path, without the slashes
    pub fn segments(&self) -> Vec<&str> {
        self.url
            .path_segments()
            .map(Iterator::collect)
            .unwrap_or_default()
    }

    /// a query parameter; `None` if it is missing or does not parse
    pub fn query<T: FromStr>(&self, name: &str) -> Option<T> {
        let mut pairs = self.url.query_pairs();
        let (_, value) = pairs.find(|(key, _)| key == name)?;
        value.parse().ok()
    }
}
