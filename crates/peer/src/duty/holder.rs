use std::cmp::Reverse;

use schema::member::{Member, State};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// the members that hold a duty, by descending score; at most `n`
///
/// `members` are those of one data centre; members that are leaving or gone hold none.
pub fn holders<'a>(members: &'a [Member], duty: &str, n: usize) -> Vec<&'a Member> {
    let mut ranked: Vec<&Member> = members.iter().filter(|m| is_eligible(m)).collect();
    ranked.sort_by_key(|member| Reverse((score(member, duty), member.instance)));
    ranked.truncate(n);
    ranked
}

/// whether the member with this instance is among the first `n` holders
pub fn holds(members: &[Member], instance: u64, duty: &str, n: usize) -> bool {
    holders(members, duty, n)
        .iter()
        .any(|member| member.instance == instance)
}

fn is_eligible(member: &Member) -> bool {
    matches!(member.state, State::Live | State::Suspect)
}

fn score(member: &Member, duty: &str) -> u64 {
    xxh3_64_with_seed(duty.as_bytes(), member.instance)
}
