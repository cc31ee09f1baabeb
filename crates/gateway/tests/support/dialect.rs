use std::time::Duration;

use gateway::adapter::{Attempt, Dialect, Malformed, Notice, Reply};
use gateway::model::{Call, Part};
use http::{HeaderMap, HeaderValue, StatusCode, request, response};

/// dialect with the minimum set of headers
#[derive(Debug, Clone, Copy)]
pub struct TestDialect;

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}

/// parts of a prompt from their ids, separated by commas
fn parts(list: &str) -> Vec<Part> {
    let ids = list.split(',').filter_map(|id| id.parse().ok());
    ids.map(|id| Part { id, tokens: 10 }).collect()
}

impl Dialect for TestDialect {
    fn decode_call(&self, head: &request::Parts) -> Result<Call, Malformed> {
        let headers = &head.headers;
        let time_limit = text(headers, "x-time-limit-ms").map(str::parse);
        Ok(Call {
            id: text(headers, "x-id")
                .ok_or(Malformed("x-id is missing"))?
                .to_owned(),
            key: text(headers, "x-key").map(str::to_owned),
            time_limit: match time_limit {
                Some(Ok(ms)) => Some(Duration::from_millis(ms)),
                Some(Err(_)) => return Err(Malformed("x-time-limit-ms is not a number")),
                None => None,
            },
            tokens: None,
            parts: text(headers, "x-parts").map(parts).unwrap_or_default(),
            resume_after: text(headers, "last-event-id").map(str::to_owned),
            first_attempt: text(headers, "x-first-attempt").map(str::to_owned),
        })
    }

    fn request_headers(
        &self,
        head: &request::Parts,
        call: &Call,
        attempt: &Attempt<'_>,
    ) -> HeaderMap {
        let mut headers = HeaderMap::new();
        let mut set = |name: &'static str, value: &str| {
            headers.insert(
                name,
                HeaderValue::from_str(value).expect("a valid header value"),
            );
        };
        set("x-id", &call.id);
        set("x-instance", attempt.instance);
        set("x-time-left-ms", &attempt.time_left.as_millis().to_string());
        if let Some(workspace) = attempt.workspace {
            set("x-workspace", workspace);
        }
        if let Some(last) = attempt.resume_after {
            set("last-event-id", last);
        }
        if let Some(parts) = head.headers.get("x-parts") {
            headers.insert("x-parts", parts.clone());
        }
        if let Some(host) = head.headers.get("host") {
            headers.insert("host", host.clone());
        }
        headers
    }

    fn classify_response(&self, call: &Call, head: &response::Parts) -> Reply {
        if text(&head.headers, "x-id").is_some_and(|id| id != call.id) {
            return Reply::Invalid;
        }
        if head.headers.contains_key("x-not-run") {
            return Reply::NotRun;
        }
        if head.status == StatusCode::MISDIRECTED_REQUEST {
            return Reply::OtherVm;
        }
        if text(&head.headers, "x-id") != Some(&call.id) {
            return Reply::Invalid;
        }
        Reply::Valid
    }

    fn states_id(&self, call: &Call, head: &response::Parts) -> bool {
        text(&head.headers, "x-id") == Some(&call.id)
    }

    fn notice(&self, head: &response::Parts) -> Notice {
        let back_off_ms = text(&head.headers, "x-back-off-ms").and_then(|ms| ms.parse().ok());
        Notice {
            is_draining: head.headers.contains_key("x-draining"),
            back_off: back_off_ms.map(Duration::from_millis),
            limit: text(&head.headers, "x-request-limit").and_then(|text| text.parse().ok()),
        }
    }

    fn response_headers(&self, head: &response::Parts) -> HeaderMap {
        let mut headers = head.headers.clone();
        for name in ["connection", "content-length", "transfer-encoding"] {
            headers.remove(name);
        }
        headers
    }

    fn condition_path(&self) -> &'static str {
        "/condition"
    }

    fn started_at_ms(&self, condition: &[u8]) -> Option<u64> {
        std::str::from_utf8(condition).ok()?.parse().ok()
    }

    fn is_readiness_check(&self, path: &str) -> bool {
        path == "/ready"
    }
}
