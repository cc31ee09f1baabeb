//! Parsing of the path and query of a call.

use std::time::Duration;

use url::Url;

/// path up to the namespace
const NAMESPACES_PATH: &str = "/apis/agateloom.dev/v1/namespaces/";

/// duration of a watch without `timeoutSeconds`
const DEFAULT_WATCH_TIMEOUT: Duration = Duration::from_secs(60);

/// object, collection or control that a call addresses
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum Target {
    /// all objects of a kind
    Collection { plural: String, query: Query },
    /// one object
    Object { plural: String, name: String },
    /// `POST /control/faults`
    Faults,
    /// `GET /control/counts`
    Counts,
    /// unknown path
    Unknown,
}

/// query of a list or a watch
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub(super) struct Query {
    pub(super) watch: bool,
    /// version to watch from; 0 if none was given
    pub(super) version: u64,
    pub(super) timeout: Option<Duration>,
    pub(super) name: Option<String>,
}

impl Query {
    /// time after which the watch ends
    pub(super) fn timeout(&self) -> Duration {
        self.timeout.unwrap_or(DEFAULT_WATCH_TIMEOUT)
    }
}

impl Target {
    /// parses a request target
    pub(super) fn parse(text: &str) -> Target {
        let Ok(url) = Url::parse("http://standin").and_then(|base| base.join(text)) else {
            return Target::Unknown;
        };
        match url.path() {
            "/control/faults" => return Target::Faults,
            "/control/counts" => return Target::Counts,
            _ => {}
        }
        let Some(rest) = url.path().strip_prefix(NAMESPACES_PATH) else {
            return Target::Unknown;
        };
        let segments: Vec<&str> = rest.split('/').collect();
        match segments.as_slice() {
            [_, plural] => Target::Collection {
                plural: (*plural).to_owned(),
                query: parse_query(&url),
            },
            [_, plural, name] => Target::Object {
                plural: (*plural).to_owned(),
                name: (*name).to_owned(),
            },
            _ => Target::Unknown,
        }
    }
}

fn parse_query(url: &Url) -> Query {
    let mut query = Query::default();
    for (key, value) in url.query_pairs() {
        match key.as_ref() {
            "watch" => query.watch = value == "true" || value == "1",
            "resourceVersion" => query.version = value.parse().unwrap_or(0),
            "timeoutSeconds" => query.timeout = value.parse().ok().map(Duration::from_secs),
            "fieldSelector" => {
                query.name = value.strip_prefix("metadata.name=").map(str::to_owned);
            }
            _ => {}
        }
    }
    query
}
