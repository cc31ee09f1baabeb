//! Calls daemons as a caller behind a load balancer does.

use std::net::SocketAddr;
use std::thread;
use std::time::{Duration, Instant};

use attohttpc::{RequestBuilder, Response as HttpResponse};
use serde_json::json;

use super::{Completion, Error, Request, Response, Step, Stream};

/// limit for establishing a connection
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// idle time-out of a stream; daemons send keep-alive comments more often
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// pause before the next daemon is tried
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// path of requests in flight
const REQUESTS: &str = "/v1/requests";

/// a caller of one workspace
#[derive(Clone, Debug)]
pub struct Client {
    key: String,
    daemons: Vec<SocketAddr>,
    timeout: Duration,
}

/// a response that is still being received
#[derive(Debug)]
struct Partial {
    completion: Completion,
    last_event_id: String,
}

impl Client {
    /// a caller with a workspace's key that can reach these daemons
    pub fn new(key: &str, daemons: &[SocketAddr]) -> Self {
        let timeout = Duration::from_secs(120);
        Self {
            key: key.to_owned(),
            daemons: daemons.to_vec(),
            timeout,
        }
    }

    /// sets the limit for a complete response
    pub fn timeout(mut self, timeout: Duration) -> Self {
        self.timeout = timeout;
        self
    }

    /// opens a stream at the daemon `first` and reads it to its end, reattaching at the other
    /// daemons if it moves or the connection fails
    pub fn complete(&self, first: usize, request: &Request) -> Result<Completion, Error> {
        self.complete_with_progress(first, request, |_| {})
    }

    /// like [`Client::complete`]; calls `on_token` with the token count after each token
    pub fn complete_with_progress(
        &self,
        first: usize,
        request: &Request,
        mut on_token: impl FnMut(usize),
    ) -> Result<Completion, Error> {
        let sent_at = Instant::now();
        let mut stream = self.open(first, request)?;
        let completion = Completion {
            request_id: String::new(),
            text: String::new(),
            sent_at,
            token_times: Vec::new(),
            reattached: 0,
        };
        let mut partial = Partial {
            completion,
            last_event_id: String::new(),
        };
        let mut daemon = first;
        loop {
            match partial.follow(&mut stream, &mut on_token) {
                Ok(Step::Done) => return Ok(partial.completion),
                Ok(_) | Err(Error::Connection(_)) if !partial.completion.request_id.is_empty() => {}
                Ok(_) => {
                    return Err(Error::InvalidResponse(
                        "stream moved before it had a request id to reattach by".to_owned(),
                    ));
                }
                Err(error) => return Err(error),
            }
            daemon += 1;
            stream = self.reattach(&mut daemon, &partial)?;
            partial.completion.reattached += 1;
        }
    }

    /// opens a stream at one daemon
    pub fn open(&self, daemon: usize, request: &Request) -> Result<Stream, Error> {
        Stream::new(
            self.post(daemon, request, true)?,
            Instant::now() + self.timeout,
        )
    }

    /// requests an unstreamed response, follows redirects at the other daemons, and gives the text
    pub fn complete_unstreamed(&self, first: usize, request: &Request) -> Result<String, Error> {
        let mut response = self.post(first, request, false)?;
        let deadline = Instant::now() + self.timeout;
        let mut daemon = first;
        while response.status().as_u16() == 303 {
            if Instant::now() > deadline {
                return Err(Error::TimedOut);
            }
            let location = response
                .headers()
                .get("location")
                .and_then(|l| l.to_str().ok());
            let location = location.unwrap_or_default().to_owned();
            daemon += 1;
            let url = self.url(daemon, &location);
            let sent = self
                .prepare(attohttpc::get(url))
                .read_timeout(self.timeout)
                .send();
            match sent {
                Ok(next) => response = next,
                Err(_) => thread::sleep(RETRY_DELAY),
            }
        }
        let body = read_response(response)?;
        let value: serde_json::Value = serde_json::from_str(&body.body)
            .map_err(|error| Error::InvalidResponse(error.to_string()))?;
        let choice = &value["choices"][0];
        let text = choice["text"]
            .as_str()
            .or_else(|| choice["message"]["content"].as_str());
        text.map(str::to_owned)
            .ok_or_else(|| Error::InvalidResponse(body.body.clone()))
    }

    /// calls a plain service by POST; no idempotency key is sent if `key` is empty
    pub fn call_service(
        &self,
        daemon: usize,
        path: &str,
        key: &str,
        body: &str,
    ) -> Result<Response, Error> {
        let url = self.url(daemon, &format!("/services/{path}"));
        let mut builder = self
            .prepare(attohttpc::post(url))
            .read_timeout(self.timeout);
        if !key.is_empty() {
            builder = builder.header("Idempotency-Key", key);
        }
        read_response(builder.text(body).send()?)
    }

    /// response of a daemon to a GET
    pub fn get(&self, daemon: usize, path: &str) -> Result<Response, Error> {
        let builder = self.prepare(attohttpc::get(self.url(daemon, path)));
        read_response(builder.read_timeout(self.timeout).send()?)
    }

    fn post(&self, daemon: usize, request: &Request, stream: bool) -> Result<HttpResponse, Error> {
        let path = if request.chat {
            "/v1/chat/completions"
        } else {
            "/v1/completions"
        };
        let mut body = json!({
            "model": request.service,
            "max_tokens": request.max_tokens,
            "stream": stream,
        });
        match request.chat {
            true => body["messages"] = json!([{ "role": "user", "content": request.prompt }]),
            false => body["prompt"] = json!(request.prompt),
        }
        let idle_timeout = if stream { IDLE_TIMEOUT } else { self.timeout };
        let builder = attohttpc::post(self.url(daemon, path));
        let mut builder = self.prepare(builder).read_timeout(idle_timeout);
        if let Some(priority) = request.priority {
            builder = builder.header("X-Priority", priority.to_string());
        }
        if let Some(deadline) = request.deadline {
            builder = builder.header("X-Deadline-Ms", deadline.as_millis().to_string());
        }
        Ok(builder.json(&body)?.send()?)
    }

    /// tries the daemons in turn until one continues the stream
    fn reattach(&self, daemon: &mut usize, partial: &Partial) -> Result<Stream, Error> {
        let deadline = partial.completion.sent_at + self.timeout;
        loop {
            let opened = self.try_reattach(*daemon, partial);
            let error = match opened {
                Ok(stream) => return Ok(stream),
                Err(error) => error,
            };
            if Instant::now() > deadline {
                return Err(error);
            }
            *daemon += 1;
            thread::sleep(RETRY_DELAY);
        }
    }

    fn try_reattach(&self, daemon: usize, partial: &Partial) -> Result<Stream, Error> {
        let url = self.url(
            daemon,
            &format!("{REQUESTS}/{}", partial.completion.request_id),
        );
        let mut builder = self.prepare(attohttpc::get(url)).read_timeout(IDLE_TIMEOUT);
        builder = builder.header("Accept", "text/event-stream");
        if !partial.last_event_id.is_empty() {
            builder = builder.header("Last-Event-ID", &partial.last_event_id);
        }
        Stream::new(builder.send()?, partial.completion.sent_at + self.timeout)
    }

    fn url(&self, daemon: usize, path: &str) -> String {
        let address = self.daemons[daemon % self.daemons.len()];
        format!("http://{address}{path}")
    }

    fn prepare(&self, builder: RequestBuilder) -> RequestBuilder {
        builder
            .connect_timeout(CONNECT_TIMEOUT)
            .follow_redirects(false)
            .bearer_auth(&self.key)
    }
}

impl Partial {
    /// receives tokens until the response is complete or the stream moves to another daemon
    fn follow(
        &mut self,
        stream: &mut Stream,
        on_token: &mut impl FnMut(usize),
    ) -> Result<Step, Error> {
        self.record_ids(stream);
        loop {
            let step = stream.next_step();
            self.record_ids(stream);
            match step? {
                Step::Token { text, at } => {
                    self.completion.text.push_str(&text);
                    self.completion.token_times.push(at);
                    on_token(self.completion.token_times.len());
                }
                step => return Ok(step),
            }
        }
    }

    fn record_ids(&mut self, stream: &Stream) {
        if !stream.request_id.is_empty() {
            self.completion.request_id.clone_from(&stream.request_id);
        }
        if !stream.last_event_id.is_empty() {
            self.last_event_id.clone_from(&stream.last_event_id);
        }
    }
}

fn read_response(response: HttpResponse) -> Result<Response, Error> {
    let status = response.status().as_u16();
    let body = response.text()?;
    if status >= 400 {
        return Err(Error::ErrorResponse {
            status,
            body: serde_json::from_str(&body).ok(),
        });
    }
    Ok(Response { status, body })
}
