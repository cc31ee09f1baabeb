//! Validated request headers.

use engine::Header;
use http::HeaderMap;

use crate::fault::Fault;

/// headers that may occur only once in a request
const SINGLE_HEADERS: [&str; 9] = [
    "authorization",
    "content-length",
    "content-type",
    "host",
    "idempotency-key",
    "last-event-id",
    "x-deadline-ms",
    "x-first-token-ms",
    "x-priority",
];
/// most headers of one request
const MAX_HEADERS: usize = 64;

/// validated headers of a request, names in lower case
#[derive(Debug, Clone, Default)]
pub struct Headers(Vec<Header>);

impl Headers {
    /// validates the headers of a request; `max_bytes` limits the sum of names and values
    ///
    /// # Errors
    /// When there are too many, they are too large, one is not visible ASCII, or one that may
    /// occur only once is repeated.
    pub fn read(raw: &HeaderMap, max_bytes: u64) -> Result<Headers, Fault> {
        if raw.len() > MAX_HEADERS {
            let message = format!("The request has more than {MAX_HEADERS} headers.");
            return Err(Fault::not_run(431, "headers", message));
        }
        let mut headers = Vec::with_capacity(raw.len());
        for (name, value) in raw {
            let Ok(value) = value.to_str() else {
                let message = format!("The value of the header {name} is no visible ASCII text.");
                return Err(Fault::not_run(400, "header", message));
            };
            headers.push(Header::new(name.as_str(), value));
        }
        let size: usize = headers.iter().map(|h| h.name.len() + h.value.len()).sum();
        if size as u64 > max_bytes {
            let message = format!("The headers are larger than {max_bytes} bytes.");
            return Err(Fault::not_run(431, "headers", message));
        }
        let headers = Headers(headers);
        headers.check_duplicates()?;
        Ok(headers)
    }

    /// value of a header
    pub fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|header| header.name == name)
            .map(|header| header.value.as_str())
    }

    /// all headers
    pub fn all(&self) -> &[Header] {
        &self.0
    }

    /// value of a header as an integer; none if the header is missing
    ///
    /// # Errors
    /// When the value is not an integer from 0 to `u64::MAX`.
    pub fn number(&self, name: &'static str) -> Result<Option<u64>, Fault> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        let message = || format!("The header {name} must be a whole number, not {value:?}.");
        let number = value
            .parse()
            .map_err(|_| Fault::not_run(400, "header", message()))?;
        Ok(Some(number))
    }

    fn check_duplicates(&self) -> Result<(), Fault> {
        for name in SINGLE_HEADERS {
            if self.0.iter().filter(|header| header.name == name).count() > 1 {
                let message = format!("The header {name} stands more than once.");
                return Err(Fault::not_run(400, "header", message));
            }
        }
        if self.get("transfer-encoding").is_some() && self.get("content-length").is_some() {
            let message = "The request has both Transfer-Encoding and Content-Length.";
            return Err(Fault::not_run(400, "header", message));
        }
        Ok(())
    }
}
