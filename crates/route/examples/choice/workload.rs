//! Synthetic requests of the three kinds that the benchmark deployments send.

use rand::Rng;

/// blocks of the system prompt that shared and conversation prompts begin with
const SYSTEM_BLOCKS: u64 = 4;

/// number of documents used as shared prefixes
const DOCUMENTS: u64 = 200;

/// kind of prompts
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Workload {
    /// long shared documents, each followed by a short unique question
    Shared,
    /// conversations whose prompts grow from turn to turn
    Turns,
    /// short unique prompts
    Short,
}

/// a request
pub struct Request {
    pub blocks: Vec<u64>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// generates requests of one kind
pub struct Source {
    workload: Workload,
    last_unique: u64,
    conversations: Vec<Vec<u64>>,
}

impl Source {
    pub fn new(workload: Workload) -> Source {
        Source {
            workload,
            last_unique: 0,
            conversations: Vec::new(),
        }
    }

    pub fn next(&mut self, rng: &mut impl Rng) -> Request {
        let mut blocks: Vec<u64> = (1..=SYSTEM_BLOCKS).collect();
        match self.workload {
            Workload::Shared => {
                let document = zipf(rng);
                let length = 32 + document * 37 % 97;
                blocks.extend((0..length).map(|index| (document + 1) << 32 | index));
                let count = rng.random_range(2..=8);
                self.add_unique_blocks(&mut blocks, count);
            }
            Workload::Turns => blocks = self.turn(blocks, rng),
            Workload::Short => {
                blocks.clear();
                let count = rng.random_range(2..=4);
                self.add_unique_blocks(&mut blocks, count);
            }
        }
        Request {
            prompt_tokens: blocks.len() as u32 * 16 + rng.random_range(0..16),
            output_tokens: rng.random_range(60..=240),
            blocks,
        }
    }

    /// continues a random conversation, after adding a new one while there are fewer than 400;
    /// a conversation of more than 100 blocks starts again from the system prompt
    fn turn(&mut self, system: Vec<u64>, rng: &mut impl Rng) -> Vec<u64> {
        if self.conversations.len() < 400 {
            self.conversations.push(system.clone());
        }
        let conversation = rng.random_range(0..self.conversations.len());
        let mut blocks = std::mem::take(&mut self.conversations[conversation]);
        if blocks.len() > 100 {
            blocks = system;
        }
        let count = rng.random_range(6..=20);
        self.add_unique_blocks(&mut blocks, count);
        self.conversations[conversation].clone_from(&blocks);
        blocks
    }

    fn add_unique_blocks(&mut self, blocks: &mut Vec<u64>, count: u64) {
        for _ in 0..count {
            self.last_unique += 1;
            blocks.push(1 << 60 | self.last_unique);
        }
    }
}

/// draws a document from a Zipf-like distribution; lower numbers are more frequent
fn zipf(rng: &mut impl Rng) -> u64 {
    let draw: f64 = rng.random();
    let document = (DOCUMENTS as f64 + 1.0).powf(draw) - 1.0;
    (document as u64).min(DOCUMENTS - 1)
}
