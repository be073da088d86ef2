//! Case: what a database host still gives of a value is cut off, because the host was silent for a while.

use crate::agent::{self, Entry};
use crate::client::{Answer, Client};
use crate::host::{self, data_row, description, field, row_end, Behaviour, HostConnection};
use crate::rec;
use crate::settings;
use crate::util::{finish, free_tcp_port, ms, unix_ms, Gateway};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// Values go up to 4 MiB.
const LONG_VALUE: usize = 1 << 20;
/// A host gives a value in pieces.
const PIECE: usize = 64 << 10;
const PIECE_EVERY: Duration = Duration::from_millis(25);
const WORK_MS: f64 = 100.0;
/// One of six hosts hangs (USER: up to 18%).
const HOSTS: usize = 6;
const HANGING: usize = 1;
/// USER: databases take requests and answer none for 7.9 to 23 s.
const HANG: Duration = Duration::from_millis(14_000);
const CLIENTS: usize = 40;
const CLIENT_EVERY: Duration = Duration::from_millis(25);
/// When the host hangs, after the first client.
const HANG_AT: Duration = Duration::from_millis(800);

struct Member {
    name: String,
    primary: bool,
    /// Until then the host does nothing at all.
    hangs_until: Mutex<Option<Instant>>,
    in_flight: AtomicU64,
}

impl Member {
    fn wait_while_hanging(&self) {
        loop {
            let until = *self.hangs_until.lock().unwrap();
            let left = until.map_or(Duration::ZERO, |until| {
                until.saturating_duration_since(Instant::now())
            });
            if left.is_zero() {
                return;
            }
            thread::sleep(left);
        }
    }
}

impl Behaviour for Member {
    fn connect_delay(&self) -> Duration {
        self.wait_while_hanging();
        ms(5.0)
    }

    fn usage(&self) -> String {
        self.wait_while_hanging();
        let position = if self.primary {
            unix_ms()
        } else {
            unix_ms() - 8.0
        };
        format!(
            "x0={:.3},x1={},inflight={}",
            position / 1e3,
            u8::from(self.primary),
            self.in_flight.load(Ordering::SeqCst)
        )
    }

    fn statement(&self, text: &str, connection: &mut HostConnection) -> io::Result<()> {
        self.in_flight.fetch_add(1, Ordering::SeqCst);
        let result = self.give_value(text, connection);
        self.in_flight.fetch_sub(1, Ordering::SeqCst);
        result
    }
}

impl Member {
    fn give_value(&self, text: &str, connection: &mut HostConnection) -> io::Result<()> {
        let id = field(text, "id").unwrap_or_default();
        let role = if self.primary { "writer" } else { "reader" };
        rec!("{}: id={id} runs", self.name);
        thread::sleep(ms(WORK_MS));
        let position = Some((unix_ms() - 8.0) as i64);
        let mut out = description();
        out.extend(data_row(&vec![b'x'; LONG_VALUE]));
        out.extend(row_end(role, position));
        let mut given = 0;
        for piece in out.chunks(PIECE) {
            self.wait_while_hanging();
            if let Err(error) = connection.stream.write_all(piece) {
                rec!(
                    "{}: id={id}: {given} bytes given, then the gateway's end is gone: {error}",
                    self.name
                );
                return Err(error);
            }
            given += piece.len();
            thread::sleep(PIECE_EVERY);
        }
        rec!("{}: id={id}: all {given} bytes given", self.name);
        Ok(())
    }
}

pub fn run(trouble: bool) -> ! {
    let hosts: Vec<Arc<Member>> = (0..HOSTS)
        .map(|number| {
            Arc::new(Member {
                name: format!("s-{number}"),
                primary: number == 0,
                hangs_until: Mutex::new(None),
                in_flight: AtomicU64::new(0),
            })
        })
        .collect();
    let entries: Vec<Entry> = hosts
        .iter()
        .map(|member| Entry {
            id: member.name.clone(),
            zone: "gasan",
            kind: "std-3core",
            access: Some(if member.primary { "writer" } else { "reader" }),
            address: host::start(Arc::clone(member) as Arc<dyn Behaviour>),
        })
        .collect();
    let members = agent::members(&entries);
    let listen = free_tcp_port();
    let agent = agent::start(members.clone());
    let settings = settings::tours(1, 0);
    let config = settings::config(
        "n0",
        &listen.to_string(),
        &agent.to_string(),
        &members,
        &settings,
    );
    let gateway = Gateway::start("n0", listen, &config);
    gateway.wait_ready();
    if trouble {
        let host = Arc::clone(&hosts[HANGING]);
        thread::spawn(move || {
            thread::sleep(HANG_AT);
            *host.hangs_until.lock().unwrap() = Some(Instant::now() + HANG);
            rec!("{} hangs for {HANG:?}", host.name);
            host.wait_while_hanging();
            rec!("{} goes on", host.name);
        });
    }
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            thread::sleep(CLIENT_EVERY);
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(listen) else { return None };
                let id = format!("c{number}");
                let text = format!(
                    "SELECT payload FROM entries WHERE ref = 'tour{number}' /* id={id},c=tour-pages,d=1200,cluster=1 */"
                );
                client.send(&text).ok()?;
                rec!("client: {id} sent");
                let answer = client.answer(Duration::from_secs(40));
                let (told, held) = match &answer {
                    Answer::Row(value) => {
                        (format!("served, {} bytes", value.len()), value.len() == LONG_VALUE)
                    }
                    Answer::Ended(partial) => {
                        (format!("the connection ended after {partial} bytes"), false)
                    }
                    other => (format!("{other:?}"), matches!(other, Answer::Error(..))),
                };
                rec!("client: {id}: {told}");
                Some(held)
            })
        })
        .collect();
    let results: Vec<Option<bool>> = clients
        .into_iter()
        .map(|c| c.join().unwrap_or(None))
        .collect();
    // The hanging host goes on before the end.
    if trouble {
        thread::sleep(HANG);
    }
    thread::sleep(ms(1000.0));
    gateway.record_log();
    if !gateway.runs() {
        finish(2, "the gateway has ended");
    }
    let cut = results.iter().filter(|held| **held == Some(false)).count();
    if results.contains(&None) {
        finish(2, "a client could not send");
    }
    if cut > 0 {
        finish(
            1,
            &format!("{cut} of {} values were cut off", results.len()),
        );
    }
    finish(
        0,
        "every value came whole, or its request was refused or failed before it",
    );
}
