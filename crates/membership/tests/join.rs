//! The processing of member lists by a joining member, including lists that a correct member never sends.

use irisrouter_cluster_types::{GatewayId, GatewayProcess, Timestamp};
use irisrouter_membership::codec::{decode, encode};
use irisrouter_membership::{
    Action, Datagram, Incarnation, MemberUpdate, Membership, Message, Settings,
};

const NOW: Timestamp = Timestamp::from_millis(10);

fn alive_update(number: u32) -> MemberUpdate {
    MemberUpdate {
        process: GatewayProcess::first(GatewayId(number)),
        incarnation: Incarnation::FIRST,
        down: false,
    }
}

/// Returns the messages that member 0 of five sends when it receives a member list from member 1.
fn answers_to_member_list(updates: Vec<MemberUpdate>) -> Vec<Message> {
    let local = GatewayProcess::first(GatewayId(0));
    let mut member =
        Membership::new(local, Settings::for_fleet(5), 1, Timestamp::ZERO).expect("settings");
    let member_list = Datagram {
        source: GatewayProcess::first(GatewayId(1)),
        incarnation: Incarnation::FIRST,
        destination: local,
        message: Message::MemberList,
        updates,
    };
    let received = member.receive(NOW, &encode(&member_list));
    assert_eq!(received, Ok(()));
    let sent = member.drain_actions().filter_map(|action| match action {
        Action::Send { bytes, .. } => Some(decode(&bytes).expect("a datagram").message),
        Action::Changed(_) | Action::Refuted(_) | Action::Renewed(_) => None,
    });
    sent.collect()
}

#[test]
fn joining_member_requests_the_members_after_the_end_of_the_list() {
    let answers = answers_to_member_list(vec![alive_update(2), alive_update(3)]);
    let list_from = Some(GatewayId(4));
    assert_eq!(answers, [Message::Join { list_from }]);
}

#[test]
fn member_list_that_ends_with_the_largest_number_is_continued_at_the_start() {
    let answers = answers_to_member_list(vec![alive_update(2), alive_update(u32::MAX)]);
    let list_from = Some(GatewayId(3));
    assert_eq!(answers, [Message::Join { list_from }]);
}
