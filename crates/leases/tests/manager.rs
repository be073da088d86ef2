//! Tests of one [`LeaseManager`], whose peers are played by the test.

use irisrouter_leases::codec::{self, LeaseMessage, MessageKind};
use irisrouter_leases::{
    rendezvous, Action, Holder, LeaseManager, Millis, PartitionSide, Settings, TaskId,
};

const LEASE: Millis = 1_000;

fn manager(number: u32, generation: u16, fleet: u32) -> LeaseManager {
    let settings = Settings {
        fleet,
        lease_ms: LEASE,
    };
    LeaseManager::new(Holder { number, generation }, settings, 0).expect("settings")
}

#[test]
fn voter_grants_nothing_for_a_lease_after_its_socket_opened() {
    let mut manager = manager(0, 1, 3);
    manager.on_socket_opened(10 * LEASE);
    let request = LeaseMessage {
        round: 1,
        ..LeaseMessage::new(MessageKind::Request, TaskId(1), 50)
    };
    let mut answer_at = |now: Millis| {
        let datagram = codec::encode(0, &[request]);
        manager.receive(now, 1, &datagram).expect("decodes");
        let sent = manager.drain_actions().find_map(|action| match action {
            Action::Send { bytes, .. } => Some(codec::decode(&bytes).expect("decodes")),
            _ => None,
        });
        sent.expect("an answer").messages[0].kind
    };
    assert_eq!(answer_at(10 * LEASE + 1), MessageKind::Refused);
    assert_eq!(answer_at(11 * LEASE), MessageKind::Granted);
}

/// A message, and the gateway to which it is sent.
#[derive(Debug)]
struct SentMessage {
    to: u32,
    message: LeaseMessage,
}

fn advance(manager: &mut LeaseManager, now: Millis) -> Vec<SentMessage> {
    manager.advance(now, 1_000 + now);
    let mut sent = Vec::new();
    for action in manager.drain_actions() {
        if let Action::Send { to, bytes } = action {
            let messages = codec::decode(&bytes).expect("decodes").messages;
            sent.extend(
                messages
                    .into_iter()
                    .map(|message| SentMessage { to, message }),
            );
        }
    }
    sent
}

/// Two candidates that stood by, each with the grant of a voter that had just been started again, superseded every holder
/// in turn, and the task had none for six leases. Found by the property test of the fleet. So nothing is requested before
/// a majority would grant it.
#[test]
fn claim_starts_only_when_a_majority_answers_the_pre_vote() {
    let fleet = [0, 1, 2, 3, 4];
    let task = TaskId(3);
    let second = rendezvous::candidates(task.0, &fleet)[1];
    let mut manager = manager(second, 0, 5);
    manager.on_socket_opened(0);
    manager.update_view(0, &fleet, PartitionSide::Majority);
    manager.set_tasks(0, &[task]);
    let pre_votes = advance(&mut manager, LEASE / 5);
    assert_eq!(pre_votes.len(), 4);
    let all_pre_votes = pre_votes
        .iter()
        .all(|sent| sent.message.kind == MessageKind::PreVote);
    assert!(all_pre_votes, "{pre_votes:?}");
    // Its own vote does not count yet, as it has just been started. Two of the four others are no majority of five.
    for (index, pre_vote) in pre_votes.iter().enumerate() {
        let vacant = LeaseMessage {
            kind: MessageKind::Vacant,
            epoch: 7,
            ..pre_vote.message
        };
        let datagram = codec::encode(0, &[vacant]);
        let received = manager.receive(LEASE / 5 + 1, pre_vote.to, &datagram);
        received.expect("decodes");
        let sent = advance(&mut manager, LEASE / 5 + 1);
        let requests = sent
            .iter()
            .filter(|sent| sent.message.kind == MessageKind::Request)
            .count();
        assert_eq!(
            requests,
            if index == 2 { 4 } else { 0 },
            "after {} vacant votes",
            index + 1
        );
    }
}
