//! Concurrent streams, direct or through a daemon.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use rand::Rng;
use schema::engine::{Chunk, Completion};

use super::options::Options;
use super::sample::Sample;
use crate::client::{Client, Error, Event, Events, Request};

/// idle time-out of a direct stream
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);

/// counter that makes prompts and request ids unique
static NEXT_ID: AtomicU64 = AtomicU64::new(0);

/// an endpoint that streams are opened at
pub trait Target: Sync {
    /// streams one completion and gives the arrival time of each token
    fn stream(&self, request: &Request) -> Result<Vec<Instant>, Error>;
}

/// an engine, called directly
pub struct Direct {
    /// address of the engine
    pub address: SocketAddr,
}

/// a daemon in front of the engine
pub struct ViaDaemon {
    /// client of the daemon
    pub client: Client,
}

impl Target for Direct {
    fn stream(&self, request: &Request) -> Result<Vec<Instant>, Error> {
        let completion = Completion {
            model: request.service.clone(),
            prompt: request.prompt.clone(),
            max_tokens: request.max_tokens,
            request_id: format!("direct-{}", NEXT_ID.fetch_add(1, Ordering::Relaxed)),
            priority: 5,
            prior: Vec::new(),
            stream: true,
        };
        let response = attohttpc::post(format!("http://{}/v1/completions", self.address))
            .read_timeout(IDLE_TIMEOUT)
            .json(&completion)?
            .send()?;
        if !response.is_success() {
            return Err(Error::ErrorResponse {
                status: response.status().as_u16(),
                body: None,
            });
        }
        let (_, _, body) = response.split();
        read_direct(&mut Events::new(body), request)
    }
}

fn read_direct<R: std::io::Read>(
    events: &mut Events<R>,
    request: &Request,
) -> Result<Vec<Instant>, Error> {
    let mut times = Vec::new();
    let mut text = String::new();
    loop {
        let event = events
            .next_event()
            .map_err(|error| Error::Connection(error.to_string()))?;
        let Some(Event { name, data, .. }) = event else {
            return Err(Error::Connection(
                "stream ended before its finish event".to_owned(),
            ));
        };
        if name == "finish" {
            break;
        }
        if data.is_empty() {
            continue;
        }
        let chunk: Chunk = serde_json::from_str(&data)
            .map_err(|error| Error::InvalidResponse(error.to_string()))?;
        times.push(Instant::now());
        text.push_str(&chunk.text);
    }
    check(&text, request)?;
    Ok(times)
}

impl Target for ViaDaemon {
    fn stream(&self, request: &Request) -> Result<Vec<Instant>, Error> {
        let completion = self.client.complete(0, request)?;
        check(&completion.text, request)?;
        Ok(completion.token_times)
    }
}

fn check(text: &str, request: &Request) -> Result<(), Error> {
    if text == request.expected(&request.prompt) {
        return Ok(());
    }
    Err(Error::InvalidResponse(
        "response text differs from the expected completion".to_owned(),
    ))
}

/// keeps `streams` streams open for the duration of one round
pub fn round<T: Target>(target: &T, service: &str, streams: u32, options: &Options) -> Sample {
    let end = Instant::now() + Duration::from_secs(options.seconds);
    let mut sample = Sample::new();
    thread::scope(|scope| {
        let workers: Vec<_> = (0..streams)
            .map(|_| scope.spawn(|| work(target, service, options, end)))
            .collect();
        for worker in workers {
            sample.merge(&worker.join().expect("stream worker panicked"));
        }
    });
    sample
}

fn work<T: Target>(target: &T, service: &str, options: &Options, end: Instant) -> Sample {
    let mut sample = Sample::new();
    let mut random = rand::rng();
    while Instant::now() < end {
        // Streams that start at the same moment would all wait for the same engine step.
        thread::sleep(Duration::from_millis(random.random_range(0..100)));
        let request = Request::new(service, &prompt(options.words), options.tokens);
        let started_at = Instant::now();
        match target.stream(&request) {
            Ok(times) if !times.is_empty() => {
                let gaps: Vec<_> = times.windows(2).map(|pair| pair[1] - pair[0]).collect();
                sample.add(times[0] - started_at, &gaps);
            }
            Ok(_) => sample.failed += 1,
            Err(error) => {
                if sample.failed == 0 {
                    eprintln!("stream failed: {error}");
                }
                sample.failed += 1;
            }
        }
    }
    sample
}

/// a unique prompt, so that no prefix is cached
fn prompt(words: u32) -> String {
    let number = NEXT_ID.fetch_add(1, Ordering::Relaxed);
    let words: Vec<String> = (0..words).map(|word| format!("{number}-{word}")).collect();
    words.join(" ")
}
