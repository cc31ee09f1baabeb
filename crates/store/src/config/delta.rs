//! A change of the configuration, small enough to be pushed.
//!
//! The patch is a JSON patch (RFC 6902) and not a merge patch: the declaration
//! is made of lists, which a merge patch repeats whole.

use std::fmt;

use json_patch::Patch;
use schema::objects::Edit;
use serde::{Deserialize, Serialize};

use super::revision::{Revision, digest};

/// the way from one revision to a later one
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delta {
    /// revision it starts from
    pub from: u64,
    /// digest of the declaration it starts from
    pub from_digest: String,
    /// edit it leads to
    pub edit: Edit,
    /// digest of the declaration it leads to
    pub digest: String,
    /// change of the declaration
    pub patch: Patch,
}

/// why a delta does not fit
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mismatch {
    /// it starts from another revision
    Start,
    /// what came out is not what was meant
    Result,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Mismatch::Start => f.write_str("The change starts from another revision."),
            Mismatch::Result => f.write_str("The change led to another declaration than meant."),
        }
    }
}

impl std::error::Error for Mismatch {}

/// the change from one revision to another
pub fn diff(old: &Revision, new: &Revision) -> Delta {
    Delta {
        from: old.number(),
        from_digest: old.digest.clone(),
        edit: new.edit.clone(),
        digest: new.digest.clone(),
        patch: json_patch::diff(old.document(), new.document()),
    }
}

/// the revision that a change leads to, checked by its digest
///
/// # Errors
/// When the change starts from another revision or leads elsewhere; pull the
/// whole body then.
pub fn patch(old: &Revision, delta: &Delta) -> Result<Revision, Mismatch> {
    if old.number() != delta.from || old.digest != delta.from_digest {
        return Err(Mismatch::Start);
    }
    let mut document = old.document().clone();
    json_patch::patch(&mut document, &delta.patch).map_err(|_| Mismatch::Result)?;
    if digest(&document) != delta.digest {
        return Err(Mismatch::Result);
    }
    Revision::new(delta.edit.clone(), document).map_err(|_| Mismatch::Result)
}
