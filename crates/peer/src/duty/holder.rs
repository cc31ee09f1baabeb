use std::cmp::Reverse;

use schema::member::{Member, State};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// the members that hold a duty, best first; at most `n`
///
/// `members` are those of one data centre; members that leave or are gone are
/// passed over.
pub fn holders<'a>(members: &'a [Member], name: &str, n: usize) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.iter().filter(|m| can_hold(m)).collect();
    ranked.sort_by_key(|member| Reverse((score(member, name), member.instance)));
    ranked.truncate(n);
    ranked
}

/// whether the member with this instance is among the first `n` holders
pub fn holds(members: &[Member], instance: u64, name: &str, n: usize) -> bool {
    holders(members, name, n)
        .iter()
        .any(|member| member.instance == instance)
}

fn can_hold(member: &Member) -> bool {
    matches!(member.state, State::Live | State::Suspect)
}

fn score(member: &Member, name: &str) -> u64 {
    xxh3_64_with_seed(name.as_bytes(), member.instance)
}
