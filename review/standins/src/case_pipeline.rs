//! Case: requests that were sent behind another one on a connection are never answered.

use crate::agent::{self, Entry};
use crate::client::{query, Answer, Client};
use crate::host::{self, data_row, description, field, row_end, Behaviour, HostConnection};
use crate::rec;
use crate::settings;
use crate::util::{finish, free_tcp_port, ms, unix_ms, Gateway};
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::thread;
use std::time::Duration;

/// Values go up to 4 MiB.
const LONG_VALUE: usize = 1 << 20;
/// Bytes of the long value before its connection breaks.
const BEFORE_BREAK: usize = 300_000;
const WORK_MS: f64 = 40.0;
const ROUNDS: usize = 5;

struct Member {
    name: String,
    primary: bool,
    breaks: bool,
    statements: AtomicU64,
}

impl Behaviour for Member {
    fn usage(&self) -> String {
        let position = if self.primary {
            unix_ms()
        } else {
            unix_ms() - 8.0
        };
        format!(
            "x0={:.3},x1={},util=0.40",
            position / 1e3,
            u8::from(self.primary)
        )
    }

    fn statement(&self, text: &str, connection: &mut HostConnection) -> io::Result<()> {
        self.statements.fetch_add(1, Ordering::SeqCst);
        let id = field(text, "id").unwrap_or_default();
        let class = field(text, "c").unwrap_or_default();
        let role = if self.primary { "writer" } else { "reader" };
        rec!("{}: id={id} c={class} has come", self.name);
        if class == "count-write" && !self.primary {
            return connection.error("25006", role, None);
        }
        thread::sleep(ms(WORK_MS));
        if !text.contains("'long") {
            let commit = (class == "count-write").then(|| unix_ms() as i64);
            rec!("{}: id={id}: run, answered", self.name);
            return connection.row(id.as_bytes(), role, commit);
        }
        let mut out = description();
        out.extend(data_row(&vec![b'x'; LONG_VALUE]));
        out.extend(row_end(role, None));
        if !self.breaks {
            return connection.stream.write_all(&out);
        }
        connection.stream.write_all(&out[..BEFORE_BREAK])?;
        thread::sleep(ms(20.0));
        rec!(
            "{}: id={id}: the connection is reset within the value",
            self.name
        );
        connection.reset_at_end()?;
        Err(io::ErrorKind::ConnectionReset.into())
    }
}

pub fn run(trouble: bool) -> ! {
    let hosts: Vec<Arc<Member>> = (0..5)
        .map(|number| {
            Arc::new(Member {
                name: format!("s-{number}"),
                primary: number == 0,
                breaks: trouble,
                statements: AtomicU64::new(0),
            })
        })
        .collect();
    let entries: Vec<Entry> = hosts
        .iter()
        .map(|member| Entry {
            id: member.name.clone(),
            address: host::start(Arc::clone(member) as Arc<dyn Behaviour>),
            zone: "amman-1",
            kind: "std-5",
            access: None,
        })
        .collect();
    let members = agent::members(&entries);
    let listen = free_tcp_port();
    let agent = agent::start(members.clone());
    let settings = settings::amman(1, 0);
    let config = settings::config(
        "n0",
        &listen.to_string(),
        &agent.to_string(),
        &members,
        &settings,
    );
    let gateway = Gateway::start("n0", listen, &config);
    gateway.wait_ready();
    let mut lost = Vec::new();
    let mut answered = 0;
    for round in 0..ROUNDS {
        let Ok(mut client) = Client::connect(listen) else {
            finish(2, "no connection")
        };
        let comment = |number: usize, class: &str, wait: u64, more: &str| {
            format!("/* id=r{round}q{number},c={class},d={wait},cluster=1{more} */")
        };
        let statements = [
            format!("SELECT payload FROM entries WHERE ref = 'long{round}' {}", comment(0, "page-read", 1000, "")),
            format!("SELECT payload FROM entries WHERE ref = 'a{round}' {}", comment(1, "page-read", 1000, "")),
            format!(
                "INSERT INTO entries (ref, payload) VALUES ('b{round}', '\\x9f03') RETURNING payload {}",
                comment(2, "count-write", 2000, &format!(",k=key{round}"))
            ),
            format!("SELECT payload FROM entries WHERE ref = 'c{round}' {}", comment(3, "page-read", 1000, "")),
        ];
        for text in &statements {
            rec!("client: sent: {text}");
        }
        let bytes: Vec<u8> = statements.iter().flat_map(|text| query(text)).collect();
        if client.stream.write_all(&bytes).is_err() {
            finish(2, "the client cannot send");
        }
        rec!(
            "client: {} commands sent at once, round {round}",
            statements.len()
        );
        for number in 0..statements.len() {
            let answer = client.answer(Duration::from_secs(4));
            let told = match &answer {
                Answer::Row(value) => format!("served, {} bytes", value.len()),
                Answer::Ended(partial) => {
                    format!("the connection ended, {partial} bytes of an unfinished message")
                }
                other => format!("{other:?}"),
            };
            rec!("client: r{round}q{number}: {told}");
            match answer {
                Answer::Row(_) | Answer::Error(..) => answered += 1,
                // A value that breaks off has failed and is not lost, as the client can tell.
                Answer::Ended(partial) if number == 0 && partial > 0 => {}
                _ => lost.push(format!("r{round}q{number}")),
            }
        }
        thread::sleep(ms(1200.0));
    }
    gateway.record_log();
    if !gateway.runs() {
        finish(2, "the gateway has ended");
    }
    if lost.is_empty() {
        finish(0, &format!("{answered} requests answered, none lost"));
    }
    finish(
        1,
        &format!(
            "{answered} answered, {} never: {}",
            lost.len(),
            lost.join(" ")
        ),
    );
}
