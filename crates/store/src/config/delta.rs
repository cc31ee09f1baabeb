//! A change of the configuration as a patch, which is smaller than the declaration.
//!
//! It is a JSON patch (RFC 6902) and not a merge patch: the declaration
//! consists of lists, which a merge patch can only replace completely.

use std::fmt;

use json_patch::Patch;
use schema::objects::Edit;
use serde::{Deserialize, Serialize};

use super::revision::{Revision, digest};

/// the change from one revision to a later one
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub struct Delta {
    /// base revision
    pub from: u64,
    /// digest of the base declaration
    pub from_digest: String,
    /// edit of the resulting revision
    pub edit: Edit,
    /// digest of the resulting declaration
    pub digest: String,
    /// patch of the declaration
    pub patch: Patch,
}

/// why a delta can't be applied
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Mismatch {
    /// it is based on another revision
    Base,
    /// the patch fails, or its result is not the declaration that the digest identifies
    Result,
}

impl fmt::Display for Mismatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Mismatch::Base => f.write_str("The delta is based on another revision."),
            Mismatch::Result => f.write_str(
                "The delta does not produce the declaration that its digest identifies.",
            ),
        }
    }
}

impl std::error::Error for Mismatch {}

/// the delta from one revision to another
pub fn diff(old: &Revision, new: &Revision) -> Delta {
    Delta {
        from: old.number(),
        from_digest: old.digest.clone(),
        edit: new.edit.clone(),
        digest: new.digest.clone(),
        patch: json_patch::diff(old.document(), new.document()),
    }
}

/// applies a delta and checks the digest of the result
///
/// # Errors
/// When the delta is based on another revision, or its result has another digest. The caller
/// then needs the complete declaration.
pub fn patch(old: &Revision, delta: &Delta) -> Result<Revision, Mismatch> {
    if old.number() != delta.from || old.digest != delta.from_digest {
        return Err(Mismatch::Base);
    }
    let mut document = old.document().clone();
    json_patch::patch(&mut document, &delta.patch).map_err(|_| Mismatch::Result)?;
    if digest(&document) != delta.digest {
        return Err(Mismatch::Result);
    }
    Revision::new(delta.edit.clone(), document).map_err(|_| Mismatch::Result)
}
