//! One stream: its prompt, the tokens generated so far and its reader.

use std::sync::{Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use schema::engine::{Completion, Finish, Usage};

use super::run::Run;
use super::token::{prompt_hash, token_for_hash};

/// finish reason of a stream that has all its tokens
const LENGTH: &str = "length";

/// finish reason of a cancelled stream
const CANCELLED: &str = "cancelled";

/// a stream; its lock is acquired after the batch's
#[derive(Debug)]
pub struct Stream {
    /// the request
    pub completion: Completion,
    /// number of words in the prompt
    pub prompt_tokens: u32,
    prompt_hash: u64,
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

/// what a reader has to do next
#[derive(Debug)]
pub enum Next {
    /// send these tokens, the first of which has the requested index
    Tokens(Vec<String>),
    /// send the last event
    Finish(Finish),
    /// send a keep-alive comment: no token came within the time limit
    TimedOut,
    /// stop: another reader has replaced this one
    Replaced,
}

impl Stream {
    /// a stream for `completion`; `None` if its prior tokens are not those of its prompt
    pub fn new(completion: Completion) -> Option<Self> {
        let hash = prompt_hash(&completion.prompt);
        let prior = (0..).zip(&completion.prior);
        if prior
            .clone()
            .any(|(index, text)| *text != token_for_hash(hash, index))
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
            prompt_hash: hash,
            started_at: since_epoch.as_millis() as u64,
            progress: Mutex::new(progress),
            changed: Condvar::new(),
            completion,
        })
    }

    /// the prompt and the tokens so far as one text
    pub fn text(&self) -> String {
        format!("{}{}", self.completion.prompt, self.lock().tokens.concat())
    }

    /// number of tokens to prefill if nothing is cached
    pub fn prefill_tokens(&self) -> u32 {
        self.prompt_tokens + self.completion.prior.len() as u32
    }

    /// records how many of its tokens were found in the prefix cache
    pub fn record_cached(&self, cached: u32) {
        let mut progress = self.lock();
        progress.cached = cached;
        progress.recomputed = self.prefill_tokens().saturating_sub(cached);
    }

    /// generates the next token
    pub fn generate_token(&self) {
        let mut progress = self.lock();
        if progress.finish.is_some() {
            return;
        }
        let index = progress.tokens.len() as u32;
        if index < self.completion.max_tokens {
            progress
                .tokens
                .push(token_for_hash(self.prompt_hash, index));
        }
        if index + 1 >= self.completion.max_tokens {
            progress.finish(LENGTH);
        }
        self.changed.notify_all();
    }

    /// cancels the stream, unless it has ended
    pub fn cancel(&self) {
        let mut progress = self.lock();
        if progress.finish.is_none() {
            progress.finish(CANCELLED);
            self.changed.notify_all();
        }
    }

    /// cancels the stream if its last reader disconnected longer than `grace` ago
    pub fn cancel_if_abandoned(&self, grace: Duration) {
        let detached_at = self.lock().detached_at;
        if detached_at.is_some_and(|at| at.elapsed() > grace) {
            self.cancel();
        }
    }

    /// whether it has ended
    pub fn is_ended(&self) -> bool {
        self.lock().finish.is_some()
    }

    /// whether it ended longer than `retention` ago
    pub fn is_expired(&self, retention: Duration) -> bool {
        self.lock()
            .finished_at
            .is_some_and(|at| at.elapsed() > retention)
    }

    /// makes the caller the only reader and returns its reader number
    pub fn attach(&self) -> u64 {
        let mut progress = self.lock();
        progress.reader += 1;
        progress.detached_at = None;
        self.changed.notify_all();
        progress.reader
    }

    /// records that the connection of a reader is lost
    pub fn detach(&self, reader: u64) {
        let mut progress = self.lock();
        if progress.reader == reader {
            progress.detached_at = Some(Instant::now());
        }
    }

    /// waits up to `time` for tokens from index `from` on, or for the end of the stream
    pub fn next(&self, reader: u64, from: usize, time: Duration) -> Next {
        let progress = self.lock();
        let has_nothing = |progress: &mut Progress| {
            progress.reader == reader && progress.tokens.len() <= from && progress.finish.is_none()
        };
        let (progress, _) = self
            .changed
            .wait_timeout_while(progress, time, has_nothing)
            .expect("stream lock poisoned");
        if progress.reader != reader {
            return Next::Replaced;
        }
        if progress.tokens.len() > from {
            return Next::Tokens(progress.tokens[from..].to_vec());
        }
        match progress.finish {
            Some(reason) => Next::Finish(self.build_finish(&progress, reason)),
            None => Next::TimedOut,
        }
    }

    /// the last event; `None` if the stream has not ended
    pub fn finish_event(&self) -> Option<Finish> {
        let progress = self.lock();
        progress
            .finish
            .map(|reason| self.build_finish(&progress, reason))
    }

    /// what this engine ran of it so far
    pub fn to_run(&self) -> Run {
        let progress = self.lock();
        let from = self.completion.prior.len() as u32;
        Run {
            request_id: self.completion.request_id.clone(),
            prompt_hash: self.prompt_hash,
            from,
            generated: progress.tokens.len() as u32 - from,
            recomputed: progress.recomputed,
            cached: progress.cached,
            cancelled: progress.finish == Some(CANCELLED),
            ended: progress.finish.is_some(),
            started_at: self.started_at,
        }
    }

    fn build_finish(&self, progress: &Progress, reason: &str) -> Finish {
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
        self.progress.lock().expect("stream lock poisoned")
    }
}

impl Progress {
    fn finish(&mut self, reason: &'static str) {
        self.finish = Some(reason);
        self.finished_at = Some(Instant::now());
    }
}
