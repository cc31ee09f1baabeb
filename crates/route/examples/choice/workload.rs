//! Requests as the two deployments send them.

use rand::Rng;

/// blocks of the system prompt that all requests share
const SYSTEM_BLOCKS: u64 = 4;

/// documents that requests share as prefixes
const DOCUMENTS: u64 = 200;

/// prompts of one kind
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// long shared documents with a short question
    Shared,
    /// conversations whose prompts grow from turn to turn
    Turns,
    /// short prompts of their own
    Short,
}

/// a request
pub struct Request {
    pub blocks: Vec<u64>,
    pub prompt_tokens: u32,
    pub output_tokens: u32,
}

/// makes requests of one kind
pub struct Source {
    kind: Kind,
    serial: u64,
    talks: Vec<Vec<u64>>,
}

impl Source {
    pub fn new(kind: Kind) -> Source {
        Source {
            kind,
            serial: 0,
            talks: Vec::new(),
        }
    }

    pub fn next(&mut self, rng: &mut impl Rng) -> Request {
        let mut blocks: Vec<u64> = (1..=SYSTEM_BLOCKS).collect();
        match self.kind {
            Kind::Shared => {
                let document = zipf(rng);
                let length = 32 + document * 37 % 97;
                blocks.extend((0..length).map(|place| (document + 1) << 32 | place));
                let own = rng.random_range(2..=8);
                self.add_own(&mut blocks, own);
            }
            Kind::Turns => blocks = self.turn(blocks, rng),
            Kind::Short => {
                blocks.clear();
                let own = rng.random_range(2..=4);
                self.add_own(&mut blocks, own);
            }
        }
        Request {
            prompt_tokens: blocks.len() as u32 * 16 + rng.random_range(0..16),
            output_tokens: rng.random_range(60..=240),
            blocks,
        }
    }

    /// goes on with a conversation or starts one; each ends at 100 blocks
    fn turn(&mut self, system: Vec<u64>, rng: &mut impl Rng) -> Vec<u64> {
        if self.talks.len() < 400 {
            self.talks.push(system.clone());
        }
        let talk = rng.random_range(0..self.talks.len());
        let mut blocks = std::mem::take(&mut self.talks[talk]);
        if blocks.len() > 100 {
            blocks = system;
        }
        let own = rng.random_range(6..=20);
        self.add_own(&mut blocks, own);
        self.talks[talk].clone_from(&blocks);
        blocks
    }

    fn add_own(&mut self, blocks: &mut Vec<u64>, count: u64) {
        for _ in 0..count {
            self.serial += 1;
            blocks.push(1 << 60 | self.serial);
        }
    }
}

/// draws a document, the first most often
fn zipf(rng: &mut impl Rng) -> u64 {
    let draw: f64 = rng.random();
    let document = (DOCUMENTS as f64 + 1.0).powf(draw) - 1.0;
    (document as u64).min(DOCUMENTS - 1)
}
