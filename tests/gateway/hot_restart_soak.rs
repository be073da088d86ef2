//! A soak of hot restarts, drawn from a seed: processes of one gateway start, stop for a while, end and are killed, while
//! clients send bookings and others send copies of them with the same ids.
//!
//! CI plays a few seeds. `IRISROUTER_SOAK_SEEDS=1..200` plays others.

use crate::harness::client::Client;
use crate::harness::discovery::Discovery;
use crate::harness::gateway::{Gateway, InheritedSocket};
use crate::harness::host::{Host, HostReply};
use crate::harness::messages::{query_message, statement};
use oorandom::Rand64;
use std::collections::{BTreeMap, HashMap};
use std::env;
use std::io::Write;
use std::net::SocketAddr;
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn, JoinHandle};
use std::time::{Duration, Instant};

/// Environment variable with the seeds to play.
const SEEDS_VARIABLE: &str = "IRISROUTER_SOAK_SEEDS";
/// The seeds that CI plays, a few seconds each.
const CI_SEEDS: Range<u64> = 1..13;
/// How many seeds are played at once.
const AT_ONCE: usize = 4;

/// The tag of the client to which an id belongs.
const OWNER: &str = "owner";
const CLIENTS: usize = 6;
const COPIERS: usize = 3;
/// How long clients send requests.
const PLAY_TIME: Duration = Duration::from_millis(3_000);
/// The platform kills a process no sooner than this after SIGTERM: the classes' deadlines count as 3 s.
const KILL_DELAY: Duration = Duration::from_millis(3_700);
/// How long clients wait for an answer, in milliseconds.
const WAIT_MS: u64 = 800;
/// How long a host works at most, in milliseconds.
const MAX_WORK_MS: u64 = 60;
/// Longest pause of a copier before it sends its copy, in milliseconds.
const MAX_COPY_DELAY_MS: u64 = 40;

/// Who sent a request, and how often that sender had sent one before.
type SenderTag = String;

/// The execution of a statement by a host.
#[derive(Debug, Clone)]
struct Run {
    sender: SenderTag,
    received_at: Instant,
    /// `None` while the host works.
    finished_at: Option<Instant>,
}

/// How a request ended for its sender.
#[derive(Debug, Clone, PartialEq, Eq)]
enum SenderEnd {
    /// The sender had an answer other than the next one.
    Answered,
    /// The sender was told that the id is taken.
    IdTaken,
    /// The connection ended without an answer.
    Unanswered,
    /// The sender left without waiting for its answer.
    Left,
}

/// What happened to the requests with one id.
#[derive(Debug, Default, Clone)]
struct IdHistory {
    runs: Vec<Run>,
    ends: HashMap<SenderTag, SenderEnd>,
    copies: usize,
}

/// What happened in all plays, by id. Ids contain the seed, because the hosts of all plays record here.
static HISTORY: Mutex<BTreeMap<String, IdHistory>> = Mutex::new(BTreeMap::new());

fn record(id: &str, change: impl FnOnce(&mut IdHistory)) {
    let mut history = HISTORY.lock().unwrap();
    change(history.entry(id.to_string()).or_default());
}

fn record_end(id: &str, sender: &str, end: SenderEnd) {
    record(id, |history| {
        history.ends.insert(sender.to_string(), end);
    });
}

/// The part of the text between two others.
fn between<'a>(text: &'a str, before: &str, after: &str) -> &'a str {
    let rest = text.split_once(before).unwrap().1;
    rest.split_once(after).unwrap().0
}

/// A host: records the statement, works for a time that depends on its id, and answers.
fn reply_after_work(_: usize, text: &str) -> HostReply {
    let id = between(text, "id=", ",");
    let run = Run {
        sender: between(text, "ref = '", "'").to_string(),
        received_at: Instant::now(),
        finished_at: None,
    };
    let mut number = 0;
    record(id, |history| {
        number = history.runs.len();
        history.runs.push(run);
    });
    let hash = id
        .bytes()
        .fold(7_u64, |hash, byte| hash * 31 % 1_009 + u64::from(byte));
    sleep(Duration::from_millis(hash % MAX_WORK_MS));
    record(id, |history| {
        history.runs[number].finished_at = Some(Instant::now());
    });
    HostReply::Row("a1b2")
}

/// What the threads of one play share.
struct Play {
    seed: u64,
    is_over: AtomicBool,
    /// The addresses of the processes that accept clients.
    addresses: Mutex<Vec<SocketAddr>>,
    /// The last id of each client.
    last_ids: Mutex<HashMap<usize, String>>,
}

impl Play {
    fn is_over(&self) -> bool {
        self.is_over.load(Ordering::Relaxed)
    }

    /// Connects to one of the processes. `None` if it has ended.
    fn connect(&self, random: &mut Rand64) -> Option<Client> {
        let address = {
            let addresses = self.addresses.lock().unwrap();
            addresses[random.rand_range(0..addresses.len() as u64) as usize]
        };
        std::net::TcpStream::connect(address).ok()?;
        let mut client = Client::connect(address);
        client
            .start_session()
            .contains("ReadyForQuery")
            .then_some(client)
    }
}

fn booking(id: &str, sender: &str) -> Vec<u8> {
    let text = statement("once", WAIT_MS);
    query_message(&text.replace("9b1f", id).replace("7f3a", sender))
}

/// Sends a booking and waits for its answer. Returns whether the connection is still open.
fn ask(client: &mut Client, id: &str, sender: &str) -> bool {
    if client.stream.write_all(&booking(id, sender)).is_err() {
        record_end(id, sender, SenderEnd::Unanswered);
        return false;
    }
    let answer = client.read_until_ready();
    let end = if answer.contains("C42601") {
        SenderEnd::IdTaken
    } else if answer.contains("DataRow") || answer.contains("ErrorResponse") {
        SenderEnd::Answered
    } else {
        SenderEnd::Unanswered
    };
    record_end(id, sender, end);
    !answer.contains("closed")
}

/// A client sends bookings of its own, each with a new id, and keeps its connection for as long as it stays open. Some
/// leave before their answer.
fn play_client(play: &Play, number: usize) {
    let mut random = Rand64::new(u128::from(play.seed) << 8 | number as u128);
    let mut connection = None;
    let mut count = 0;
    while !play.is_over() {
        let Some(client) = connection.as_mut() else {
            connection = play.connect(&mut random);
            continue;
        };
        count += 1;
        let id = format!("{}-{number}-{count}", play.seed);
        record(&id, |_| {});
        play.last_ids.lock().unwrap().insert(number, id.clone());
        let leaves = random.rand_range(0..12) == 0;
        if leaves {
            record_end(&id, OWNER, SenderEnd::Left);
            let _ = client.stream.write_all(&booking(&id, OWNER));
            sleep(Duration::from_millis(random.rand_range(0..30)));
            connection = None;
        } else if !ask(client, &id, OWNER) {
            connection = None;
        }
    }
}

/// A copier sends what another client has just sent, with its id.
fn play_copier(play: &Play, number: usize) {
    let mut random = Rand64::new(u128::from(play.seed) << 8 | (100 + number as u128));
    let mut count = 0;
    while !play.is_over() {
        let Some(mut client) = play.connect(&mut random) else {
            continue;
        };
        for _ in 0..5 {
            sleep(Duration::from_millis(
                random.rand_range(0..MAX_COPY_DELAY_MS),
            ));
            let owner = random.rand_range(0..CLIENTS as u64) as usize;
            let Some(id) = play.last_ids.lock().unwrap().get(&owner).cloned() else {
                continue;
            };
            record(&id, |history| history.copies += 1);
            count += 1;
            if !ask(&mut client, &id, &format!("copier-{number}-{count}")) {
                break;
            }
        }
    }
}

/// Starts, disturbs and ends the processes of the gateway.
fn play_processes(play: &Play, discovery: &Discovery, host: &Host, directory: &InheritedSocket) {
    let mut random = Rand64::new(u128::from(play.seed) << 8 | 255);
    let mut sockets = Vec::new();
    let mut processes: Vec<Gateway> = Vec::new();
    let mut ending: Vec<(Instant, Gateway)> = Vec::new();
    let started = Instant::now();
    while started.elapsed() < PLAY_TIME {
        if processes.len() < 2 || (processes.len() < 3 && random.rand_range(0..4) == 0) {
            let socket = directory.with_new_listener();
            let process = Gateway::start_with_socket(Some(&socket), discovery, &[host], |_| {});
            play.addresses.lock().unwrap().push(process.address);
            sockets.push(socket);
            processes.push(process);
        }
        sleep(Duration::from_millis(random.rand_range(20..250)));
        let index = random.rand_range(0..processes.len() as u64) as usize;
        match random.rand_range(0..6) {
            0 => {
                processes[index].signal("-STOP");
                sleep(Duration::from_millis(random.rand_range(10..300)));
                processes[index].signal("-CONT");
            }
            1 => {
                for name in ["-HUP", "-USR1", "-HUP"] {
                    processes[index].signal(name);
                }
            }
            2 if processes.len() > 1 => {
                let oldest = processes.remove(0);
                play.addresses.lock().unwrap().remove(0);
                oldest.signal("-TERM");
                ending.push((Instant::now() + KILL_DELAY, oldest));
            }
            3 if processes.len() > 1 => {
                play.addresses.lock().unwrap().remove(index);
                let mut killed = processes.remove(index);
                killed.signal("-KILL");
                killed.exit_code();
            }
            _ => {}
        }
    }
    // Clients use the connections of the processes that end until these are killed.
    for (kill_at, process) in ending {
        sleep(kill_at.saturating_duration_since(Instant::now()));
        drop(process);
    }
    play.is_over.store(true, Ordering::Relaxed);
}

/// Returns what is wrong with the requests of an id.
fn violation(history: &IdHistory) -> Option<&'static str> {
    for pair in history.runs.windows(2) {
        let [first, second] = pair else { continue };
        let finished_before = |finished_at: Instant| finished_at <= second.received_at;
        if !first.finished_at.is_some_and(finished_before) {
            return Some("ran while it was running");
        }
        // An id is free once its request is answered. If its process ended before that, it stays reserved for longer
        // than a play takes.
        let end = history.ends.get(&first.sender);
        if !matches!(end, Some(SenderEnd::Answered | SenderEnd::Left)) {
            return Some("ran again though its request was not answered");
        }
    }
    let is_refused = history.ends.values().any(|end| *end == SenderEnd::IdTaken);
    (history.copies == 0 && is_refused).then_some("is taken though nobody else has it")
}

/// Plays a seed. Returns the ids that broke a rule, and how many bookings were answered.
fn play(seed: u64) -> (Vec<String>, usize) {
    let host = Host::start("s-1", true, reply_after_work);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let directory = InheritedSocket::new();
    let first_socket = directory.with_new_listener();
    let first = Gateway::start_with_socket(Some(&first_socket), &discovery, &[&host], |_| {});
    let play = Arc::new(Play {
        seed,
        is_over: AtomicBool::new(false),
        addresses: Mutex::new(vec![first.address]),
        last_ids: Mutex::default(),
    });
    let mut threads: Vec<JoinHandle<()>> = Vec::new();
    for number in 0..CLIENTS + COPIERS {
        let play = Arc::clone(&play);
        threads.push(spawn(move || {
            if number < CLIENTS {
                play_client(&play, number);
            } else {
                play_copier(&play, number);
            }
        }));
    }
    play_processes(&play, &discovery, &host, &directory);
    drop(first);
    for thread in threads {
        thread.join().unwrap();
    }
    let history = HISTORY.lock().unwrap();
    let prefix = format!("{seed}-");
    let own: Vec<_> = history
        .iter()
        .filter(|(id, _)| id.starts_with(&prefix))
        .collect();
    let broken = own.iter().filter_map(|(id, history)| {
        violation(history).map(|what| format!("seed {seed}: {id} {what}: {history:?}"))
    });
    let answered = own
        .iter()
        .flat_map(|(_, history)| history.ends.values())
        .filter(|end| **end == SenderEnd::Answered);
    (broken.collect(), answered.count())
}

fn seeds() -> Range<u64> {
    let Ok(text) = env::var(SEEDS_VARIABLE) else {
        return CI_SEEDS;
    };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    first.parse().unwrap()..end.parse().unwrap()
}

/// Guards against any order of starts, stops, ends and kills in which a booking runs twice or a free id is taken.
#[test]
fn no_booking_runs_twice_in_a_soak_of_hot_restarts() {
    let seeds: Vec<u64> = seeds().collect();
    let mut broken = Vec::new();
    for seeds in seeds.chunks(AT_ONCE) {
        let plays: Vec<_> = seeds
            .iter()
            .map(|&seed| (seed, spawn(move || play(seed))))
            .collect();
        for (seed, play) in plays {
            let (violations, answered) = play.join().unwrap();
            println!(
                "seed {seed}: {answered} answered, {} violations",
                violations.len()
            );
            assert!(answered > 0, "seed {seed}: nothing was answered");
            broken.extend(violations);
        }
    }
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}
