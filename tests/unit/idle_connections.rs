//! Idle connections, against a plain list of them.

use super::*;
use proptest::prelude::*;

/// What happens to idle connections, which are numbers here.
#[derive(Clone, Debug)]
enum Step {
    Inserted { member: u32 },
    Taken { member: u32, may_be_used: bool },
    LongestIdleClosed,
    MultiplesClosed { divisor: u32, member: Option<u32> },
}

fn step() -> impl Strategy<Value = Step> {
    let closed = (2..5_u32, prop::option::of(0..4_u32));
    prop_oneof![
        4 => (0..4_u32).prop_map(|member| Step::Inserted { member }),
        2 => (0..4_u32, any::<bool>())
            .prop_map(|(member, may_be_used)| Step::Taken { member, may_be_used }),
        1 => Just(Step::LongestIdleClosed),
        1 => closed.prop_map(|(divisor, member)| Step::MultiplesClosed { divisor, member }),
    ]
}

proptest! {
    #[test]
    fn connections_are_taken_and_closed_as_from_a_plain_list(
        steps in prop::collection::vec(step(), 1..100),
    ) {
        let mut idle = IdleConnections::<u32>::default();
        let mut list: Vec<(u32, u32)> = Vec::new();
        for (number, step) in (0..).zip(&steps) {
            match *step {
                Step::Inserted { member } => {
                    idle.insert(MemberId(member), number);
                    list.push((member, number));
                }
                Step::Taken { member, may_be_used } => {
                    let fits = |connection: u32| may_be_used || connection.is_multiple_of(2);
                    let position = list
                        .iter()
                        .rposition(|&(of, connection)| of == member && fits(connection));
                    let expected = position.map(|position| list.remove(position).1);
                    let taken = idle.take_last(MemberId(member), |&connection| fits(connection));
                    prop_assert_eq!(taken, expected);
                }
                Step::LongestIdleClosed => {
                    prop_assert_eq!(idle.close_longest_idle(), !list.is_empty());
                    if !list.is_empty() {
                        list.remove(0);
                    }
                }
                Step::MultiplesClosed { divisor, member } => {
                    let keep = |connection: &u32| !connection.is_multiple_of(divisor);
                    match member {
                        Some(member) => idle.retain_of(MemberId(member), keep),
                        None => idle.retain(keep),
                    }
                    let concerned = |of: u32| member.is_none_or(|member| member == of);
                    list.retain(|&(of, connection)| !concerned(of) || keep(&connection));
                }
            }
        }
        let mut rest = Vec::new();
        while let Some(&member) = idle.order.values().next() {
            rest.push((member.0, idle.take(member, 0).expect("it is idle")));
        }
        prop_assert_eq!(rest, list);
        prop_assert!(idle.by_host.is_empty());
    }
}
