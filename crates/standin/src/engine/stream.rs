//! One stream: its prompt, its tokens so far and its reader.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use schema::engine::{Completion, Finish, Usage};

use super::run::Run;
use super::token::{prompt_hash, word};

/// finish reason of a stream with all its tokens
const LENGTH: &str = "length";

/// finish reason of a stream that was given up
const CANCELLED: &str = "cancelled";

/// a stream; its lock comes after the batch's
#[derive(Debug)]
pub struct Stream {
    /// what was asked for
    pub completion: Completion,
    /// words of the prompt
    pub prompt_tokens: u32,
    hash: u64,
    started_at: u64,
    progress: Mutex<Progress>,
    changed: Condvar,
}

#[derive(Debug, Default)]
struct Progress {
    tokens: Vec<String>,
    cached: u32,
    recomputed: u32,
    reader: u64,
    detached_at: Option<Instant>,
    finish: Option<&'static str>,
    finished_at: Option<Instant>,
}

/// what a reader does next
#[derive(Debug)]
pub enum Next {
    /// sends these tokens, the first of them at the reader's place
    Tokens(Vec<String>),
    /// sends the last event
    Finish(Finish),
    /// nothing came in time
    Silence,
    /// leaves: another reader took over
    Replaced,
}

impl Stream {
    /// takes a completion; none if its prior tokens are not this engine's answer
    pub fn new(completion: Completion) -> Option<Self> {
        let hash = prompt_hash(&completion.prompt);
        let prior = (0..).zip(&completion.prior);
        if prior
            .clone()
            .any(|(index, text)| *text != word(hash, index))
        {
            return None;
        }
        let progress = Progress {
            tokens: completion.prior.clone(),
            ..Progress::default()
        };
        let since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Some(Self {
            prompt_tokens: completion.prompt.split_whitespace().count() as u32,
            hash,
            started_at: since_epoch.as_millis() as u64,
            progress: Mutex::new(progress),
            changed: Condvar::new(),
            completion,
        })
    }

    /// words of the prompt and of the tokens so far, joined as text
    pub fn text(&self) -> String {
        format!("{}{}", self.completion.prompt, self.lock().tokens.concat())
    }

    /// tokens to prefill if nothing is cached
    pub fn prefill_tokens(&self) -> u32 {
        self.prompt_tokens + self.completion.prior.len() as u32
    }

    /// notes what the prefix cache spared
    pub fn admit(&self, cached: u32) {
        let mut progress = self.lock();
        progress.cached = cached;
        progress.recomputed = self.prefill_tokens().saturating_sub(cached);
    }

    /// generates the next token
    pub fn step(&self) {
        let mut progress = self.lock();
        if progress.finish.is_some() {
            return;
        }
        let index = progress.tokens.len() as u32;
        if index < self.completion.max_tokens {
            progress.tokens.push(word(self.hash, index));
        }
        if index + 1 >= self.completion.max_tokens {
            progress.end(LENGTH);
        }
        self.changed.notify_all();
    }

    /// gives the stream up, unless it has ended
    pub fn cancel(&self) {
        let mut progress = self.lock();
        if progress.finish.is_none() {
            progress.end(CANCELLED);
            self.changed.notify_all();
        }
    }

    /// gives the stream up if its last reader left longer than `grace` ago
    pub fn expire(&self, grace: Duration) {
        let detached_at = self.lock().detached_at;
        if detached_at.is_some_and(|at| at.elapsed() > grace) {
            self.cancel();
        }
    }

    /// true once it ended
    pub fn is_ended(&self) -> bool {
        self.lock().finish.is_some()
    }

    /// true if it ended longer than `keep` ago
    pub fn is_stale(&self, keep: Duration) -> bool {
        self.lock()
            .finished_at
            .is_some_and(|at| at.elapsed() > keep)
    }

    /// makes the caller the only reader and returns its number
    pub fn attach(&self) -> u64 {
        let mut progress = self.lock();
        progress.reader += 1;
        progress.detached_at = None;
        self.changed.notify_all();
        progress.reader
    }

    /// notes that a reader's connection is gone
    pub fn detach(&self, reader: u64) {
        let mut progress = self.lock();
        if progress.reader == reader {
            progress.detached_at = Some(Instant::now());
        }
    }

    /// waits up to `time` for what follows the token before `from`
    pub fn next(&self, reader: u64, from: usize, time: Duration) -> Next {
        let progress = self.lock();
        let idle = |progress: &mut Progress| {
            progress.reader == reader && progress.tokens.len() <= from && progress.finish.is_none()
        };
        let (progress, _) = self
            .changed
            .wait_timeout_while(progress, time, idle)
            .expect("stream lock");
        if progress.reader != reader {
            return Next::Replaced;
        }
        if progress.tokens.len() > from {
            return Next::Tokens(progress.tokens[from..].to_vec());
        }
        match progress.finish {
            Some(reason) => Next::Finish(self.finish(&progress, reason)),
            None => Next::Silence,
        }
    }

    /// the last event of an ended stream
    pub fn last(&self) -> Option<Finish> {
        let progress = self.lock();
        progress.finish.map(|reason| self.finish(&progress, reason))
    }

    /// the judge's record
    pub fn run(&self) -> Run {
        let progress = self.lock();
        let from = self.completion.prior.len() as u32;
        Run {
            request_id: self.completion.request_id.clone(),
            prompt_hash: self.hash,
            from,
            generated: progress.tokens.len() as u32 - from,
            recomputed: progress.recomputed,
            cached: progress.cached,
            cancelled: progress.finish == Some(CANCELLED),
            ended: progress.finish.is_some(),
            started_at: self.started_at,
        }
    }

    fn finish(&self, progress: &Progress, reason: &str) -> Finish {
        let usage = Usage {
            prompt_tokens: self.prompt_tokens,
            completion_tokens: progress.tokens.len() as u32,
            cached_tokens: progress.cached,
            recomputed_tokens: progress.recomputed,
        };
        Finish {
            finish_reason: reason.to_owned(),
            usage,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().expect("stream lock")
    }
}

impl Progress {
    fn end(&mut self, reason: &'static str) {
        self.finish = Some(reason);
        self.finished_at = Some(Instant::now());
    }
}
