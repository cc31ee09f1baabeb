//! The first revision of a daemon that starts while the object API is unavailable.

use schema::member::Member;

use super::message::{Body, NO_REVISION, Update};

/// the newest complete revision that one of the sources has
///
/// `call` asks a source, with the number of the revision known so far and whether there is one; it
/// returns none if the source does not answer. A source that is one change ahead may answer with
/// the change, which can't be applied yet; it is then asked for the complete revision.
pub fn pull_newest(
    sources: &[Member],
    mut call: impl FnMut(&Member, u64, bool) -> Option<Update>,
) -> Option<Body> {
    let mut newest: Option<Body> = None;
    for source in sources {
        let have = newest
            .as_ref()
            .map_or(NO_REVISION, |body| body.edit.revision);
        let mut update = call(source, have, newest.is_some());
        if let Some(Update::Changes(_)) = update {
            update = call(source, NO_REVISION, newest.is_some());
        }
        if let Some(Update::Body(body)) = update
            && body.edit.revision > have
        {
            newest = Some(body);
        }
    }
    newest
}
