//! The revision with which a daemon starts while the object API is unavailable.

use std::cell::RefCell;

use daemon::config::{Body, NO_REVISION, Update, pull_newest};
use schema::member::{Member, State};
use schema::objects::Edit;
use serde_json::json;
use store::config::Delta;

fn source(number: u64) -> Member {
    Member {
        callers: String::new(),
        control: String::new(),
        data_centre: "piedmont-a".to_owned(),
        instance: number,
        region: "piedmont".to_owned(),
        state: State::Live,
        vm: format!("vm-{number}"),
    }
}

fn body(revision: u64) -> Body {
    Body {
        edit: Edit {
            at_ms: 0,
            author: "operator".to_owned(),
            change: String::new(),
            revision,
        },
        document: json!({}),
    }
}

/// pulls from sources that have these revisions; none does not answer
fn pull(revisions: &[Option<u64>]) -> Option<u64> {
    let sources: Vec<Member> = (0..revisions.len() as u64).map(source).collect();
    let answer = |source: &Member, have: u64, _: bool| {
        let revision = revisions[source.instance as usize]?;
        Some(if revision <= have {
            Update::Nothing
        } else if have == NO_REVISION {
            Update::Body(body(revision))
        } else {
            Update::Changes(Vec::<Delta>::new())
        })
    };
    pull_newest(&sources, answer).map(|body| body.edit.revision)
}

#[test]
fn newest_revision_of_all_sources_is_used_wherever_it_is() {
    assert_eq!(pull(&[Some(25), Some(26), Some(25)]), Some(26));
    assert_eq!(pull(&[Some(26), Some(25)]), Some(26));
    assert_eq!(pull(&[Some(25), None, Some(24), Some(27)]), Some(27));
}

#[test]
fn sources_without_a_revision_or_an_answer_are_passed_over() {
    assert_eq!(pull(&[None, Some(NO_REVISION), Some(3), None]), Some(3));
    assert_eq!(pull(&[None, None]), None);
    assert_eq!(pull(&[]), None);
}

#[test]
fn sources_are_told_what_is_known_already() {
    let known = RefCell::new(Vec::new());
    let sources: Vec<Member> = (0..3).map(source).collect();
    pull_newest(&sources, |_, have, has_revision| {
        known.borrow_mut().push((have, has_revision));
        (have == NO_REVISION).then(|| Update::Body(body(7)))
    });
    assert_eq!(*known.borrow(), [(0, false), (7, true), (7, true)]);
}
