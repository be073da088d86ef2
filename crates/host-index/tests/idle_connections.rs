//! Compares the index of idle connections with a plain list.

use irisrouter_host_index::IdleConnections;
use proptest::prelude::*;

/// An operation on the idle connections. The test uses numbers as connections.
#[derive(Clone, Debug)]
enum Step {
    Inserted { member: u32 },
    Taken { member: u32, may_be_used: bool },
    LongestIdleTaken,
    MultiplesClosed { divisor: u32, member: Option<u32> },
}

fn step() -> impl Strategy<Value = Step> {
    let closed = (2..5_u32, prop::option::of(0..4_u32));
    prop_oneof![
        4 => (0..4_u32).prop_map(|member| Step::Inserted { member }),
        2 => (0..4_u32, any::<bool>())
            .prop_map(|(member, may_be_used)| Step::Taken { member, may_be_used }),
        1 => Just(Step::LongestIdleTaken),
        1 => closed.prop_map(|(divisor, member)| Step::MultiplesClosed { divisor, member }),
    ]
}

proptest! {
    #[test]
    fn connections_are_taken_and_closed_as_from_a_plain_list(
        steps in prop::collection::vec(step(), 1..100),
    ) {
        let mut idle = IdleConnections::<u32, u32>::default();
        let mut list: Vec<(u32, u32)> = Vec::new();
        for (number, step) in (0..).zip(&steps) {
            match *step {
                Step::Inserted { member } => {
                    idle.insert(member, number);
                    list.push((member, number));
                }
                Step::Taken { member, may_be_used } => {
                    let is_usable = |connection: u32| may_be_used || connection.is_multiple_of(2);
                    let position = list
                        .iter()
                        .rposition(|&(of, connection)| of == member && is_usable(connection));
                    let expected = position.map(|position| list.remove(position).1);
                    let taken = idle.take_last(member, |&connection| is_usable(connection));
                    prop_assert_eq!(taken, expected);
                }
                Step::LongestIdleTaken => {
                    let expected = (!list.is_empty()).then(|| list.remove(0).1);
                    prop_assert_eq!(idle.take_longest_idle(), expected);
                }
                Step::MultiplesClosed { divisor, member } => {
                    let keep = |connection: &u32| !connection.is_multiple_of(divisor);
                    match member {
                        Some(member) => idle.retain_for_host(member, keep),
                        None => idle.retain(keep),
                    }
                    let is_affected = |of: u32| member.is_none_or(|member| member == of);
                    list.retain(|&(of, connection)| !is_affected(of) || keep(&connection));
                }
            }
        }
        let rest: Vec<u32> = std::iter::from_fn(|| idle.take_longest_idle()).collect();
        let expected: Vec<u32> = list.into_iter().map(|(_, connection)| connection).collect();
        prop_assert_eq!(rest, expected);
    }
}
