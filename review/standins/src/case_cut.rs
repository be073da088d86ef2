//! Case: what a database host still gives of a value is cut off, because the host was silent for a while.

use crate::agent::{self, Entry};
use crate::client::{Answer, Client};
use crate::host::{self, data_row, description, field, row_end, Behaviour, HostConnection};
use crate::rec;
use crate::settings;
use crate::util::{finish, free_tcp_port, ms, unix_ms, Gateway};
use std::io::{self, Write};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

const LONG_VALUE: usize = 1 << 20;
const BEFORE_HANG: usize = 300_000;
const WORK_MS: f64 = 100.0;
/// Requests; one of six hosts (USER: up to 18%) hangs.
const CLIENTS: usize = 24;
/// USER: databases take requests and answer none for 7.9 to 23 s.
const HANG: Duration = Duration::from_millis(14_000);

struct Member {
    name: String,
    primary: bool,
    hangs: bool,
}

impl Behaviour for Member {
    fn usage(&self) -> String {
        let position = if self.primary {
            unix_ms()
        } else {
            unix_ms() - 8.0
        };
        format!(
            "x0={:.3},x1={},inflight=1",
            position / 1e3,
            u8::from(self.primary)
        )
    }

    fn statement(&self, text: &str, connection: &mut HostConnection) -> io::Result<()> {
        let id = field(text, "id").unwrap_or_default();
        let role = if self.primary { "writer" } else { "reader" };
        thread::sleep(ms(WORK_MS));
        let position = Some((unix_ms() - 8.0) as i64);
        let mut out = description();
        out.extend(data_row(&vec![b'x'; LONG_VALUE]));
        out.extend(row_end(role, position));
        let (head, rest) = out.split_at(BEFORE_HANG);
        connection.stream.write_all(head)?;
        rec!("{}: id={id}: {BEFORE_HANG} bytes given", self.name);
        if self.hangs {
            thread::sleep(HANG);
        }
        let result = connection.stream.write_all(rest);
        rec!("{}: id={id}: the rest given, {result:?}", self.name);
        result
    }
}

pub fn run(trouble: bool) -> ! {
    let entries: Vec<Entry> = (0..6)
        .map(|number| {
            let member = Member {
                name: format!("s-{number}"),
                primary: number == 0,
                hangs: trouble && number == 1,
            };
            Entry {
                id: member.name.clone(),
                zone: "gasan",
                kind: "std-3core",
                access: Some(if number == 0 { "writer" } else { "reader" }),
                address: host::start(Arc::new(member)),
            }
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
        "",
    );
    let gateway = Gateway::start("n0", listen, &config, None);
    gateway.wait_ready();
    let clients: Vec<_> = (0..CLIENTS)
        .map(|number| {
            thread::sleep(ms(60.0));
            thread::spawn(move || {
                let Ok(mut client) = Client::connect(listen) else { return None };
                let id = format!("c{number}");
                let text = format!(
                    "SELECT payload FROM entries WHERE ref = 'tour{number}' /* id={id},c=tour-pages,d=1200,cluster=1 */"
                );
                client.send(&text).ok()?;
                let answer = client.answer(Duration::from_secs(40));
                let (told, whole) = match answer {
                    Answer::Row(value) => (format!("served, {} bytes", value.len()), value.len() == LONG_VALUE),
                    Answer::Ended(partial) => (format!("the connection ended after {partial} bytes"), false),
                    other => (format!("{other:?}"), matches!(other, Answer::Error(..))),
                };
                rec!("client: {id}: {told}");
                Some(whole)
            })
        })
        .collect();
    let results: Vec<Option<bool>> = clients
        .into_iter()
        .map(|c| c.join().unwrap_or(None))
        .collect();
    thread::sleep(ms(1000.0));
    gateway.record_log();
    let cut = results
        .iter()
        .filter(|whole| **whole == Some(false))
        .count();
    if results.contains(&None) {
        finish(2, "a client could not send");
    }
    if cut > 0 {
        finish(
            1,
            &format!("{cut} of {} values were cut off", results.len()),
        );
    }
    finish(0, "all values came whole");
}
