//! The ids of open requests while a hot restart lasts: the processes of a gateway are one gateway for them.
//!
//! Each process has a listening socket of its own here, so that a test chooses the process that a client connects to.

use crate::harness::client::Client;
use crate::harness::discovery::Discovery;
use crate::harness::gateway::{Gateway, InheritedSocket};
use crate::harness::host::{no_reply_to_slow, reply_with_row, Host, HostReply, ReplyScript};
use crate::harness::messages::{query_message, statement};
use std::cell::RefCell;
use std::fs::{self, File};
use std::io::{ErrorKind, Write};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// Log line of a process that publishes its ids.
const SHARED: &str = "claims: shared with another process";
/// Log line of a process that has noticed the end of the others.
const ALONE: &str = "claims: the other processes of this gateway have ended";
/// Classes whose requests must not run twice, or not twice outside of their window.
const WRITE_CLASSES: [&str; 2] = ["once", "order"];

/// A statement with this id. The host does not answer it if `value` contains "slow".
fn statement_with_id(class: &str, wait_ms: u64, id: &str, value: &str) -> String {
    statement(class, wait_ms)
        .replace("9b1f", id)
        .replace("7f3a", value)
}

fn slow_statement(class: &str, id: &str) -> String {
    statement_with_id(class, 9_000, id, "slow")
}

fn usual_statement(class: &str, id: &str) -> String {
    statement_with_id(class, 9_000, id, "usual")
}

fn assert_taken(answer: &str) {
    let is_taken = answer.contains("C42601 Mthe id of a request that is open");
    assert!(is_taken, "{answer}");
}

fn assert_served(answer: &str) {
    assert!(answer.contains("DataRow a1b2"), "{answer}");
}

/// A primary, and processes of one gateway in front of it.
struct Fixture {
    host: Host,
    discovery: Discovery,
    socket: InheritedSocket,
    /// The sockets of the processes, which share the directory of `socket` and remove it when they are dropped.
    process_sockets: RefCell<Vec<InheritedSocket>>,
}

impl Fixture {
    fn new(script: ReplyScript) -> Self {
        let host = Host::start("s-1", true, script);
        let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
        Fixture {
            host,
            discovery,
            socket: InheritedSocket::new(),
            process_sockets: RefCell::default(),
        }
    }

    fn start_process(&self) -> Gateway {
        let socket = self.socket.with_new_listener();
        let gateway =
            Gateway::start_with_socket(Some(&socket), &self.discovery, &[&self.host], |_| {});
        self.process_sockets.borrow_mut().push(socket);
        gateway
    }

    /// Starts a process, and waits until it and the older one share their ids.
    fn start_newer(&self, older: &Gateway) -> Gateway {
        let newer = self.start_process();
        older.wait_for_log(SHARED);
        newer
    }

    /// Sends a statement that the host does not answer, and waits until the host has it.
    fn send_slow(&self, gateway: &Gateway, class: &str, id: &str) -> Client {
        let mut client = gateway.client();
        client.send(&query_message(&slow_statement(class, id)));
        self.host.wait_for_event(&format!("id={id},"));
        client
    }

    /// How often the host has received a statement with this id.
    fn runs(&self, id: &str) -> usize {
        let id = format!("id={id},");
        let statements = self.host.statements();
        statements.iter().filter(|text| text.contains(&id)).count()
    }

    /// The names of the files in the shared directory that belong to claims.
    fn claim_files(&self) -> Vec<String> {
        let entries = fs::read_dir(&self.socket.directory).unwrap();
        let names = entries.map(|entry| entry.unwrap().file_name().into_string().unwrap());
        names.filter(|name| name.contains("claims")).collect()
    }

    fn lock_file(&self) -> File {
        let name = self
            .claim_files()
            .into_iter()
            .find(|name| name.ends_with(".lock"))
            .expect("a lock file");
        File::open(self.socket.directory.join(name)).unwrap()
    }
}

/// Guards against a write that runs twice because its id is free at the other process of a hot restart (review case 7):
/// opened at the older process before and after the newer one started, and at the newer one.
#[test]
fn id_of_an_open_request_is_taken_at_the_other_process() {
    let fixture = Fixture::new(no_reply_to_slow);
    let older = fixture.start_process();
    let _before =
        WRITE_CLASSES.map(|class| fixture.send_slow(&older, class, &format!("b-{class}")));
    let newer = fixture.start_newer(&older);
    let _after = WRITE_CLASSES.map(|class| fixture.send_slow(&older, class, &format!("a-{class}")));
    let _at_newer =
        WRITE_CLASSES.map(|class| fixture.send_slow(&newer, class, &format!("n-{class}")));
    for class in WRITE_CLASSES {
        for (id, other) in [("b", &newer), ("a", &newer), ("n", &older)] {
            let id = format!("{id}-{class}");
            assert_taken(&other.client().query(&usual_statement(class, &id)));
            // A read would be answered with the row of the write.
            assert_taken(&other.client().query(&usual_statement("read", &id)));
            assert_eq!(fixture.runs(&id), 1);
        }
    }
}

/// Guards against an id that is free again from SIGTERM on, while the older process still serves its connections.
#[test]
fn id_is_taken_at_the_other_process_after_sigterm_until_it_is_released() {
    let fixture = Fixture::new(|_, text| {
        if text.contains("slow") {
            sleep(Duration::from_millis(300));
        }
        HostReply::Row("a1b2")
    });
    let mut older = fixture.start_process();
    let mut owner = older.client();
    let newer = fixture.start_newer(&older);
    older.signal("-TERM");
    older.wait_for_log("stopping");
    owner.send(&query_message(&slow_statement("once", "51")));
    fixture.host.wait_for_event("id=51,");
    let mut other = newer.client();
    assert_taken(&other.query(&usual_statement("once", "51")));
    assert_served(&owner.read_until_ready());
    // The request has ended, so that its id is free.
    assert_served(&other.query(&usual_statement("once", "51")));
    assert_eq!(older.exit_code(), Some(0));
    newer.wait_for_log(ALONE);
    assert_served(&other.query(&usual_statement("once", "52")));
    assert_eq!(fixture.claim_files().len(), 2, "the lock and one table");
}

/// Guards against an id that a waiting request loses to a later one at the other process.
#[test]
fn id_of_a_request_that_waits_behind_another_one_is_taken_at_the_other_process() {
    let fixture = Fixture::new(no_reply_to_slow);
    let older = fixture.start_process();
    let newer = fixture.start_newer(&older);
    for (owner, other, first, waiting) in
        [(&older, &newer, "c1", "c2"), (&newer, &older, "d1", "d2")]
    {
        let mut client = owner.client();
        let pipelined = [
            query_message(&slow_statement("once", first)),
            query_message(&usual_statement("once", waiting)),
        ];
        client.send(&pipelined.concat());
        fixture.host.wait_for_event(&format!("id={first},"));
        assert_taken(&other.client().query(&usual_statement("once", waiting)));
        drop(client);
        owner.wait_for_counter(" client_gone=1 ");
        // The waiting request was not sent, so that its id is free; the first one may still run.
        assert_served(&other.client().query(&usual_statement("once", waiting)));
        assert_taken(&other.client().query(&usual_statement("once", first)));
        assert_eq!(fixture.runs(first), 1);
    }
}

/// Guards against an id that a request loses to the other process while it waits in the queue for a primary.
#[test]
fn id_of_a_queued_request_is_taken_at_the_other_process_until_its_client_leaves() {
    let fixture = Fixture::new(reply_with_row);
    fixture
        .host
        .is_primary
        .update(|is_primary| *is_primary = false);
    let older = fixture.start_process();
    let newer = fixture.start_newer(&older);
    // The newer process has received the last read of the first round.
    for (owner, other, id, received) in [(&older, &newer, "71", 1), (&newer, &older, "72", 2)] {
        let mut client = owner.client();
        client.send(&query_message(&usual_statement("once", id)));
        owner.wait_for_counter(&format!(" received={received} "));
        assert_taken(&other.client().query(&usual_statement("read", id)));
        drop(client);
        owner.wait_for_counter(" client_gone=1 ");
        assert_served(&other.client().query(&usual_statement("read", id)));
    }
}

/// Guards against an attempt that goes on at its host after its process has ended, and runs a second time through the
/// process that is left.
#[test]
fn id_with_an_attempt_in_flight_outlasts_its_process() {
    // Both processes are killed; the older one also ends by itself, with an id whose client has left.
    for (ends, signal) in [("older", "-KILL"), ("newer", "-KILL"), ("older", "-TERM")] {
        let fixture = Fixture::new(no_reply_to_slow);
        let older = fixture.start_process();
        let newer = fixture.start_newer(&older);
        let (mut ending, staying) = if ends == "older" {
            (older, newer)
        } else {
            (newer, older)
        };
        let mut owner = fixture.send_slow(&ending, "once", "51");
        owner.send(&query_message(&usual_statement("once", "52")));
        if signal == "-TERM" {
            drop(owner);
            ending.wait_for_counter(" client_gone=1 ");
        }
        ending.signal(signal);
        ending.exit_code();
        let mut other = staying.client();
        assert_taken(&other.query(&usual_statement("once", "51")));
        // It was never sent, and its process is gone.
        assert_served(&other.query(&usual_statement("once", "52")));
        // A third process respects it as well.
        let third = fixture.start_process();
        assert_taken(&third.client().query(&usual_statement("once", "51")));
        assert_eq!(fixture.runs("51"), 1, "{ends} {signal}");
    }
}

/// Guards against two processes that both take an id which reaches them at the same time.
#[test]
fn exactly_one_of_two_simultaneous_requests_with_the_same_id_is_sent() {
    const ROUNDS: usize = 100;
    let fixture = Fixture::new(|_, _| {
        sleep(Duration::from_millis(20));
        HostReply::Row("a1b2")
    });
    let older = fixture.start_process();
    let newer = fixture.start_newer(&older);
    let mut clients = [older.client(), newer.client()];
    for round in 0..ROUNDS {
        let id = format!("s{round}");
        let message = query_message(&usual_statement("once", &id));
        for client in &mut clients {
            client.send(&message);
        }
        let answers = clients.each_mut().map(Client::read_until_ready);
        let served = answers.iter().filter(|answer| answer.contains("DataRow"));
        assert_eq!(served.count(), fixture.runs(&id), "{answers:?}");
        let taken = answers.iter().filter(|answer| answer.contains("C42601"));
        // The second one may arrive after the first one has been answered, and is then a request of its own.
        assert_eq!(taken.count() + fixture.runs(&id), 2, "{answers:?}");
        assert!(fixture.runs(&id) >= 1, "{answers:?}");
    }
    let single_runs = (0..ROUNDS).filter(|round| fixture.runs(&format!("s{round}")) == 1);
    assert!(single_runs.count() > 0, "no round was simultaneous");
}

/// Guards against a newer process that is of no use while the older one is stopped, and against one that takes the
/// silence of the older one for a free id.
#[test]
fn stopped_process_keeps_its_ids_and_blocks_no_others() {
    const REQUESTS: usize = 2_000;
    let fixture = Fixture::new(no_reply_to_slow);
    let older = fixture.start_process();
    let newer = fixture.start_newer(&older);
    let _owner = fixture.send_slow(&older, "once", "51");
    older.signal("-STOP");
    let mut other = newer.client();
    assert_taken(&other.query(&usual_statement("once", "51")));
    for number in 0..REQUESTS {
        assert_served(&other.query(&usual_statement("once", &format!("f{number}"))));
    }
    assert_eq!(fixture.runs("51"), 1);
    older.signal("-CONT");
    assert_taken(&other.query(&usual_statement("once", "51")));
}

/// Guards against a write that is sent on a guess: the older process hangs when the newer one starts, so that it hands
/// over nothing, and has not said which ids are open.
#[test]
fn write_waits_for_a_process_that_has_not_published_its_ids() {
    const WAIT: Duration = Duration::from_millis(300);
    let fixture = Fixture::new(no_reply_to_slow);
    let older = fixture.start_process();
    let _owner = fixture.send_slow(&older, "once", "51");
    older.signal("-STOP");
    let newer = fixture.start_process();
    let mut client = newer.client();
    for class in WRITE_CLASSES {
        for id in ["51", "52"] {
            let started = Instant::now();
            let wait_ms = WAIT.as_millis() as u64;
            let answer = client.query(&statement_with_id(class, wait_ms, id, "usual"));
            assert!(answer.contains("C53300"), "{class} {id}: {answer}");
            let late = started.elapsed().saturating_sub(WAIT);
            assert!(late < Duration::from_millis(500), "{late:?} late");
        }
    }
    // Reads are harmless to repeat.
    assert_served(&client.query(&usual_statement("read", "53")));
    assert_eq!((fixture.runs("51"), fixture.runs("52")), (1, 0));
    client.send(&query_message(&usual_statement("once", "54")));
    older.signal("-CONT");
    assert_served(&client.read_until_ready());
    assert_taken(&client.query(&usual_statement("once", "51")));
    assert_served(&client.query(&usual_statement("once", "52")));
}

/// Guards against requests that wait for a process that has ended.
#[test]
fn write_does_not_wait_for_a_process_that_was_killed_before_it_published_its_ids() {
    let fixture = Fixture::new(no_reply_to_slow);
    let mut older = fixture.start_process();
    older.signal("-STOP");
    let newer = fixture.start_process();
    let mut client = newer.client();
    client.send(&query_message(&usual_statement("once", "51")));
    older.signal("-KILL");
    older.exit_code();
    assert_served(&client.read_until_ready());
}

/// Guards against a chain of processes that lose sight of each other when the middle one ends.
#[test]
fn ids_are_shared_by_three_processes_and_by_the_outer_two_when_the_middle_one_is_killed() {
    let fixture = Fixture::new(no_reply_to_slow);
    let first = fixture.start_process();
    let mut second = fixture.start_newer(&first);
    let third = fixture.start_process();
    let _at_first = fixture.send_slow(&first, "once", "51");
    let _at_third = fixture.send_slow(&third, "once", "53");
    assert_taken(&second.client().query(&usual_statement("once", "51")));
    assert_taken(&second.client().query(&usual_statement("once", "53")));
    second.signal("-KILL");
    second.exit_code();
    assert_taken(&third.client().query(&usual_statement("once", "51")));
    assert_taken(&first.client().query(&usual_statement("once", "53")));
    assert_eq!((fixture.runs("51"), fixture.runs("53")), (1, 1));
}

/// Guards against a write that is sent although its id could not be claimed, and against a process that waits for ever
/// for one that is stopped in the middle of a claim.
#[test]
fn write_is_answered_in_time_while_another_process_holds_the_lock() {
    const WAIT: Duration = Duration::from_millis(300);
    let fixture = Fixture::new(reply_with_row);
    let older = fixture.start_process();
    let newer = fixture.start_newer(&older);
    let lock = fixture.lock_file();
    lock.lock().unwrap();
    let started = Instant::now();
    let answer = newer
        .client()
        .query(&statement_with_id("once", 300, "51", "usual"));
    assert!(answer.contains("C53300"), "{answer}");
    assert!(started.elapsed() < WAIT + Duration::from_millis(500));
    assert_served(&newer.client().query(&usual_statement("read", "52")));
    let mut waiting = newer.client();
    waiting.send(&query_message(&usual_statement("once", "53")));
    let mut leaving = newer.client();
    leaving.send(&query_message(&usual_statement("once", "54")));
    drop(leaving);
    newer.wait_for_counter(" client_gone=1 ");
    lock.unlock().unwrap();
    assert_served(&waiting.read_until_ready());
    assert_eq!((fixture.runs("51"), fixture.runs("54")), (0, 0));
}

/// Sends bookings with ever new ids as fast as the gateway takes them, until told to stop. Never reads an answer.
fn flood(mut client: Client, flooder: usize, is_over: &AtomicBool) {
    let timeout = Some(Duration::from_millis(100));
    client.stream.set_write_timeout(timeout).unwrap();
    let mut number = 0;
    while !is_over.load(Ordering::Relaxed) {
        number += 1;
        let text = usual_statement("once", &format!("x{flooder}-{number}"));
        let mut rest = &query_message(&text)[..];
        while !rest.is_empty() && !is_over.load(Ordering::Relaxed) {
            match client.stream.write(rest) {
                Ok(length) => rest = &rest[length..],
                Err(error) if error.kind() == ErrorKind::WouldBlock => {}
                Err(_) => return,
            }
        }
    }
}

/// Lets a process run for a part of each 20 ms, until told to stop.
fn limit_processor(process: &Gateway, percent: u64, is_over: &AtomicBool) {
    const PERIOD_MS: u64 = 20;
    let run_ms = PERIOD_MS * percent / 100;
    while !is_over.load(Ordering::Relaxed) {
        process.signal("-STOP");
        sleep(Duration::from_millis(PERIOD_MS - run_ms));
        process.signal("-CONT");
        sleep(Duration::from_millis(run_ms));
    }
}

/// Guards against ids that fill the shared table or use up the processor: what a flood of new ids costs is bounded, and
/// others are answered in time by both processes.
#[test]
fn client_that_sends_ever_new_ids_costs_the_others_nothing() {
    const FLOODERS: usize = 4;
    const FLOOD_TIME: Duration = Duration::from_secs(2);
    const WAIT_MS: u64 = 500;
    /// A request is lost if its answer comes later than this after its due time.
    const MAX_LATENESS: Duration = Duration::from_millis(500);
    for percent in [100, 40] {
        let fixture = Fixture::new(reply_with_row);
        let older = fixture.start_process();
        let newer = fixture.start_newer(&older);
        let mut clients = [older.client(), newer.client()];
        let floods: Vec<Client> = (0..FLOODERS).map(|_| newer.client()).collect();
        let is_over = AtomicBool::new(false);
        let mut served = [0, 0];
        scope(|threads| {
            let is_over = &is_over;
            for (number, client) in floods.into_iter().enumerate() {
                threads.spawn(move || flood(client, number, is_over));
            }
            if percent < 100 {
                threads.spawn(|| limit_processor(&newer, percent, is_over));
            }
            let started = Instant::now();
            let mut round = 0;
            while started.elapsed() < FLOOD_TIME {
                round += 1;
                for (number, client) in clients.iter_mut().enumerate() {
                    let id = format!("u{number}-{round}");
                    let sent_at = Instant::now();
                    let answer = client.query(&statement_with_id("once", WAIT_MS, &id, "usual"));
                    let late = sent_at
                        .elapsed()
                        .saturating_sub(Duration::from_millis(WAIT_MS));
                    if late >= MAX_LATENESS {
                        is_over.store(true, Ordering::Relaxed);
                    }
                    assert!(late < MAX_LATENESS, "{percent} percent: {late:?} late");
                    served[number] += usize::from(answer.contains("DataRow a1b2"));
                }
            }
            is_over.store(true, Ordering::Relaxed);
        });
        newer.signal("-CONT");
        assert!(
            served[0] > 0 && served[1] > 0,
            "{percent} percent: {served:?}"
        );
        let files = fs::read_dir(&fixture.socket.directory).unwrap();
        let largest = files.map(|entry| entry.unwrap().metadata().unwrap().len());
        assert!(
            largest.max().unwrap() <= 2 << 20,
            "a table has a fixed size"
        );
    }
}
