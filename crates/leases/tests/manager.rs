//! Tests of a single [`LeaseManager`]. The test itself answers in place of the peers.

use irisrouter_cluster_types::{
    Epoch, GatewayId, GatewayProcess, Generation, Milliseconds, TaskId, Timestamp, UnixMilliseconds,
};
use irisrouter_leases::codec::{self, LeaseMessage, MessageKind};
use irisrouter_leases::{rendezvous, Action, LeaseManager, PartitionSide, Settings};

const LEASE: Milliseconds = Milliseconds(1_000);
/// Wall clock time at the origin of the gateways' clock.
const CLOCK_ORIGIN: UnixMilliseconds = UnixMilliseconds(1_000);

fn at(since_start: Milliseconds) -> Timestamp {
    Timestamp::ZERO + since_start
}

fn manager(local: GatewayProcess, fleet: u32) -> LeaseManager {
    let settings = Settings {
        fleet,
        lease_duration: LEASE,
    };
    LeaseManager::new(local, settings, Timestamp::ZERO).expect("settings")
}

#[test]
fn voter_grants_nothing_for_one_lease_duration_after_its_socket_opened() {
    let local = GatewayProcess {
        gateway: GatewayId(0),
        generation: Generation(1),
    };
    let mut manager = manager(local, 3);
    manager.on_socket_opened(at(LEASE * 10));
    let request = LeaseMessage {
        round: 1,
        ..LeaseMessage::new(MessageKind::Request, TaskId(1), Epoch(50))
    };
    let mut answer_at = |now: Timestamp| {
        let datagram = codec::encode(Generation(0), &[request]);
        manager
            .receive(now, GatewayId(1), &datagram)
            .expect("decodes");
        let sent = manager.drain_actions().find_map(|action| match action {
            Action::Send { bytes, .. } => Some(codec::decode(&bytes).expect("decodes")),
            _ => None,
        });
        sent.expect("an answer").messages[0].kind
    };
    assert_eq!(
        answer_at(at(LEASE * 10 + Milliseconds(1))),
        MessageKind::Refused
    );
    assert_eq!(answer_at(at(LEASE * 11)), MessageKind::Granted);
}

/// A message, and the gateway to which it is sent.
#[derive(Debug)]
struct SentMessage {
    to: GatewayId,
    message: LeaseMessage,
}

fn advance(manager: &mut LeaseManager, now: Timestamp) -> Vec<SentMessage> {
    manager.advance(now, CLOCK_ORIGIN + now.since_origin());
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

/// A manager of the second candidate of a task in a fleet of five, and the pre-votes that it has sent.
fn manager_in_pre_vote() -> (LeaseManager, Vec<SentMessage>) {
    let fleet: Vec<GatewayId> = (0..5).map(GatewayId).collect();
    let task = TaskId(3);
    let second = rendezvous::candidates(task, &fleet)[1];
    let mut manager = manager(GatewayProcess::first(second), 5);
    manager.on_socket_opened(Timestamp::ZERO);
    manager.update_view(Timestamp::ZERO, &fleet, PartitionSide::Majority);
    manager.set_tasks(Timestamp::ZERO, &[task]);
    let pre_votes = advance(&mut manager, at(LEASE / 5));
    (manager, pre_votes)
}

/// Delivers the answer of a voter that would grant a request.
fn answer_pre_vote(manager: &mut LeaseManager, now: Timestamp, pre_vote: &SentMessage) {
    let vacant = LeaseMessage {
        kind: MessageKind::Vacant,
        epoch: Epoch(7),
        ..pre_vote.message
    };
    let datagram = codec::encode(Generation(0), &[vacant]);
    let received = manager.receive(now, pre_vote.to, &datagram);
    received.expect("decodes");
}

fn is_claim(sent: &SentMessage) -> bool {
    matches!(
        sent.message.kind,
        MessageKind::PreVote | MessageKind::Request
    )
}

/// Guards against a gateway that is stopping and claims a lease: by late answers to its pre-vote, by an offer, or once
/// the duration of a lease has passed.
#[test]
fn stopped_gateway_claims_no_lease() {
    let (mut manager, pre_votes) = manager_in_pre_vote();
    let stopped_at = at(LEASE / 5 + Milliseconds(1));
    manager.stop(stopped_at);
    for pre_vote in &pre_votes {
        answer_pre_vote(&mut manager, stopped_at, pre_vote);
    }
    let offer = LeaseMessage::new(MessageKind::Offered, TaskId(3), Epoch(9));
    let datagram = codec::encode(Generation(0), &[offer]);
    let received = manager.receive(stopped_at, pre_votes[0].to, &datagram);
    received.expect("decodes");
    for step in 0..50 {
        let sent = advance(&mut manager, stopped_at + LEASE / 5 * step);
        assert!(!sent.iter().any(is_claim), "step {step}: {sent:?}");
    }
}

/// Guards against a gateway in a minority partition that claims a lease by late answers to its pre-vote.
#[test]
fn gateway_that_enters_a_minority_partition_claims_no_lease() {
    let (mut manager, pre_votes) = manager_in_pre_vote();
    let entered_at = at(LEASE / 5 + Milliseconds(1));
    let alone = [rendezvous::candidates(TaskId(3), &[0, 1, 2, 3, 4].map(GatewayId))[1]];
    manager.update_view(entered_at, &alone, PartitionSide::Minority);
    let due_at = at(LEASE);
    let sent = advance(&mut manager, due_at);
    assert!(!sent.iter().any(is_claim), "{sent:?}");
    for pre_vote in &pre_votes {
        answer_pre_vote(&mut manager, due_at, pre_vote);
    }
    let sent = advance(&mut manager, due_at);
    assert!(!sent.iter().any(is_claim), "{sent:?}");
}

/// Requests are sent only after a majority has answered the pre-vote that it would grant them. Without this, two
/// candidates on standby, each with the grant of a voter that had just been restarted, superseded every holder in turn,
/// and the task had no holder for six leases. The property test in `fleet.rs` found this failure.
#[test]
fn claim_starts_only_when_a_majority_answers_the_pre_vote() {
    let (mut manager, pre_votes) = manager_in_pre_vote();
    assert_eq!(pre_votes.len(), 4);
    let all_pre_votes = pre_votes
        .iter()
        .all(|sent| sent.message.kind == MessageKind::PreVote);
    assert!(all_pre_votes, "{pre_votes:?}");
    // The gateway's own vote does not count yet because it has just been started. Two votes of the other four gateways
    // are not a majority of five.
    let answered = at(LEASE / 5 + Milliseconds(1));
    for (index, pre_vote) in pre_votes.iter().enumerate() {
        answer_pre_vote(&mut manager, answered, pre_vote);
        let sent = advance(&mut manager, answered);
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
