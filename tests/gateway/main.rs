//! The real program as a process: its conversations with clients, database hosts and discovery.

#![allow(clippy::too_many_lines, clippy::unwrap_used)]

mod endings;
mod harness;
use harness::*;
use insta::assert_snapshot;
use serde_json::json;
use std::io::Read;
use std::net::{Shutdown, UdpSocket};

pub(crate) fn row(_: usize, _: &str) -> Say {
    Say::Row("a1b2")
}

#[test]
fn a_request_is_passed_on_byte_for_byte_and_its_row_comes_back() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.raw();
    client.send(&[0, 0, 0, 8, 0x04, 0xd2, 0x16, 0x2f]);
    assert_eq!(client.byte(), b'N', "no encryption here");
    // The first query rides behind the startup message.
    let first = "SELECT payload FROM entries WHERE ref = 'it''s /* d=1 */' /* id=9b1f,x=1, c=read ,d=9000,cluster=2 */ ;";
    client.send(&[startup(), query(first)].concat());
    assert_snapshot!(client.until_ready(), @r"
    AuthenticationOk
    ReadyForQuery
    ");
    assert_snapshot!(client.until_ready(), @r"
    RowDescription
    DataRow a1b2
    CommandComplete SELECT 1
    ReadyForQuery
    ");
    assert_snapshot!(client.ask(" ; "), @r"
    EmptyQueryResponse
    ReadyForQuery
    ");
    // Sent ahead of their answers: these come in order, on the connection that is warm.
    client.send(
        &[
            query(&statement("once", 9_000)),
            query(""),
            query(&statement("read", 9_000)),
        ]
        .concat(),
    );
    let answers: Vec<String> = (0..3).map(|_| client.until_ready()).collect();
    assert!(
        answers[0].contains("a1b2")
            && answers[1].starts_with("Empty")
            && answers[2].contains("a1b2")
    );
    let lines = host.statements();
    let seen: Vec<&str> = lines
        .iter()
        .map(|l| l.split_once(": ").unwrap().1)
        .collect();
    assert_snapshot!(seen.join("\n"), @r"
    SELECT payload FROM entries WHERE ref = 'it''s /* d=1 */' /* id=9b1f,x=1, c=read ,d=LEFT,cluster=2 */ ;
    SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c=once,d=LEFT,k=5c0f,cluster=2 */
    SELECT payload FROM entries WHERE ref = '7f3a' /* id=9b1f,c=read,d=LEFT,k=5c0f,cluster=2 */
    ");
}

#[test]
fn bad_input_gets_an_error_and_the_gateway_goes_on() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    let good = statement("read", 9_000);
    let statements = [
        "SELECT 1".to_string(),
        good.replace("c=read", "c=unheard-of"),
        good.replace("c=read", "c=own,after=1e300"),
        good.replace("cluster=2", "cluster=77"),
        good.replace("cluster=2", "cluster=two"),
        good.replace("d=9000", "d=-1"),
        good.replace("d=9000", "d=NaN"),
        good.replace("id=9b1f,", ""),
        good.replace("k=5c0f", "d=5"),
        statement("order", 9_000).replace("k=5c0f,", ""),
        good.replace("*/", "*"),
    ];
    let answers: Vec<String> = statements.iter().map(|s| client.ask(s)).collect();
    assert_snapshot!(answers.join("\n").replace("\nReadyForQuery", ""), @r"
    ErrorResponse SERROR VERROR C42601 Ma statement that does not end with its comment
    ErrorResponse SERROR VERROR C42601 Man unknown class
    ErrorResponse SERROR VERROR C42601 Mafter is a position that is not there yet
    ErrorResponse SERROR VERROR C42601 Man unknown cluster
    ErrorResponse SERROR VERROR C42601 Mno cluster in the comment
    ErrorResponse SERROR VERROR C42601 Md is no time in milliseconds
    ErrorResponse SERROR VERROR C42601 Md is no time in milliseconds
    ErrorResponse SERROR VERROR C42601 Mno id in the comment
    ErrorResponse SERROR VERROR C42601 Ma name that stands twice in the comment
    ErrorResponse SERROR VERROR C42601 Mno k in the comment of a keyed class
    ErrorResponse SERROR VERROR C42601 Ma statement that does not end with its comment
    ");
    // The extended protocol is declined up to its Sync, and simple queries go on.
    client.send(
        &[
            b"P\0\0\0\x08a\0b\0" as &[u8],
            b"B\0\0\0\x06a\0",
            b"S\0\0\0\x04",
        ]
        .concat(),
    );
    assert_snapshot!(client.until_ready(), @r"
    ErrorResponse SERROR VERROR C0A000 Monly simple queries are spoken here
    ReadyForQuery
    ");
    assert!(client.ask(&good).contains("a1b2"));
    // What breaks the protocol ends its connection, and no other.
    let breaches: [&[u8]; 5] = [
        b"Q\0\0\0\x06xx",
        b"Q\0\0\0\x03",
        b"Q\x7f\xff\xff\xff",
        b"Q\0\0\0\x07x\0\0",
        b"?\0\0\0\x04",
    ];
    for breach in breaches {
        let mut c = gateway.client();
        c.send(breach);
        let told = c.until_ready();
        assert!(
            told.starts_with("ErrorResponse SFATAL VFATAL C08P01"),
            "{told}"
        );
        assert!(told.ends_with("closed"));
    }
    for start in [
        b"\0\0\0\x01nonsense" as &[u8],
        b"GET / HTTP/1.1\r\n\r\n",
        b"\0\0\0\x08\0\x02\0\0",
    ] {
        let mut c = gateway.raw();
        c.send(start);
        assert!(c
            .until_ready()
            .starts_with("ErrorResponse SFATAL VFATAL C08P01"));
    }
    // A frame that never gets whole.
    let mut cut = gateway.client();
    cut.send(&query(&good)[..20]);
    cut.stream.shutdown(Shutdown::Both).unwrap();
    assert!(client.ask(&good).contains("a1b2"));
}

#[test]
fn a_garbled_answer_is_an_error_and_never_a_row() {
    // Two columns, a length that lies, a row after an error, bytes that are no messages; then the true row.
    let host = Host::start("s-1", true, |n, _| match n {
        0 => Say::Raw(b"D\0\0\0\x10\0\x02\0\0\0\x01x\0\0\0\x01yZ\0\0\0\x05I"),
        1 => Say::Raw(b"D\0\0\0\x0b\0\x01\0\0\0\x09xC\0\0\0\x0dSELECT 1\0Z\0\0\0\x05I"),
        2 => Say::Raw(b"!!!!!!!!!!!!"),
        3 => Say::Raw(b"C\0\0\0\x0dSELECT 0\0Z\0\0\0\x05I"),
        _ => Say::Row("true"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let answer = gateway.client().ask(&statement("read", 9_000));
    assert!(answer.contains("DataRow true"), "{answer}");
    assert_eq!(host.statements().len(), 5);
}

/// Guards against the worst case, a wrong value: what comes behind a good answer read as the next request's.
#[test]
fn a_second_copy_behind_a_good_answer_is_nobodys_answer() {
    let host = Host::start("s-1", true, |n, _| {
        if n % 2 == 0 {
            Say::Twice("first")
        } else {
            Say::Row("second")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    for n in 1..=5 {
        assert!(client.ask(&statement("once", 9_000)).contains("first"));
        host.seen.wait("the copy", |s| {
            (s.iter().filter(|l| *l == "copied").count() == n).then_some(())
        });
        let second = client.ask(&statement("once", 9_000));
        assert!(second.contains("second"), "{second}");
    }
}

/// Guards against long values that are held back, held as a whole, or taken from a host faster than their client reads;
/// and against one that is cut off and looks whole, or is asked for again after its first bytes.
#[test]
fn a_long_value_is_passed_on_while_it_comes_at_its_clients_pace() {
    const LENGTH: usize = 30 << 20;
    // RowDescription, and what stands before the value in DataRow.
    const HEAD: usize = 33 + 11;
    let host = Host::start("s-1", true, |_, text| match text {
        _ if text.contains("half") => Say::Half(LENGTH),
        _ if text.contains("long") => Say::Long(LENGTH),
        _ => Say::Row("a1b2"),
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let long = |id: &str| {
        query(
            &statement("read", 9_000)
                .replace("7f3a", "long")
                .replace("9b1f", id),
        )
    };
    let first = |client: &mut Client| {
        let mut bytes = vec![0; 100_000];
        client.stream.read_exact(&mut bytes).unwrap();
        assert!(
            bytes.ends_with(b"vvv"),
            "while its host waits to be told to go on"
        );
    };
    let (mut whole, mut gone, mut half) = (gateway.client(), gateway.client(), gateway.client());
    whole.send(&long("1"));
    first(&mut whole);
    // One whose client reads no more and then leaves: its host has sent no more than fits in between.
    gone.send(&long("2"));
    first(&mut gone);
    host.seen.change(|s| s.push("go on".into()));
    drop(gone);
    host.wait_for("closed");
    host.seen
        .change(|s| assert!(!s.iter().any(|l| l.ends_with("sent")), "{s:?}"));
    // Whole, and both its connections can be used again.
    let mut rest = vec![0; LENGTH + HEAD - 100_000];
    whole.stream.read_exact(&mut rest).unwrap();
    assert!(rest.iter().all(|&b| b == b'v'));
    assert_eq!(
        whole.until_ready(),
        "CommandComplete SELECT 1\nReadyForQuery"
    );
    host.wait_for("sent");
    assert!(whole.ask(&statement("read", 9_000)).contains("a1b2"));

    half.send(&query(&statement("read", 9_000).replace("7f3a", "half")));
    let mut rest = Vec::new();
    half.stream.read_to_end(&mut rest).unwrap();
    assert!(
        rest.len() > LENGTH / 4 && rest.len() < LENGTH,
        "{}",
        rest.len()
    );
    assert_eq!(
        host.statements()
            .iter()
            .filter(|s| s.contains("half"))
            .count(),
        1
    );
    gateway.signal("-USR1");
    gateway.wait_for_log(" served=4 truncated=2 ");
}

/// Guards against a client that bears another's open request's id: a host takes it for the same request.
#[test]
fn the_id_of_an_open_request_is_turned_down_until_that_is_over() {
    let host = Host::start("s-1", true, |_, text| {
        if text.contains("slow") {
            Say::Silence
        } else {
            Say::Row("a1b2")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let (mut owner, mut other) = (gateway.client(), gateway.client());
    owner.send(&query(&statement("once", 9_000).replace("7f3a", "slow")));
    host.wait_for("slow");
    let told = other.ask(&statement("read", 9_000));
    assert!(
        told.contains("C42601 Mthe id of a request that is open"),
        "{told}"
    );
    assert_eq!(host.statements().len(), 1, "it reaches no host");
    drop(owner);
    host.wait_for("closed");
    assert!((0..1_000_000).any(|_| other.ask(&statement("read", 9_000)).contains("a1b2")));
}

#[test]
fn what_may_have_run_is_not_sent_again() {
    // The connection that has served the first breaks on the second: that is a reset, which may have run.
    let host = Host::start("s-1", true, |n, _| {
        if n == 1 {
            Say::End
        } else {
            Say::Row("a1b2")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    assert!(client.ask(&statement("once", 9_000)).contains("a1b2"));
    assert_snapshot!(client.ask(&statement("once", 9_000)), @r"
    ErrorResponse SERROR VERROR CXX000 Mno answer could be had, and it may have run
    ReadyForQuery
    ");
    assert_eq!(host.statements().len(), 2);
    assert!(client.ask(&statement("once", 9_000)).contains("a1b2"));
}

#[test]
fn what_never_ran_is_tried_again() {
    for code in ["25006", "72000", "53300"] {
        let script = match code {
            "25006" => |n, _: &str| {
                if n == 0 {
                    Say::Error("25006")
                } else {
                    Say::Row("a1b2")
                }
            },
            "72000" => |n, _: &str| {
                if n == 0 {
                    Say::Error("72000")
                } else {
                    Say::Row("a1b2")
                }
            },
            _ => |n, _: &str| {
                if n == 0 {
                    Say::Error("53300")
                } else {
                    Say::Row("a1b2")
                }
            },
        };
        let host = Host::start("s-1", true, script);
        let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
        let gateway = Gateway::start(&discovery, &[&host]);
        assert!(
            gateway
                .client()
                .ask(&statement("once", 19_000))
                .contains("a1b2"),
            "{code}"
        );
        assert_eq!(host.statements().len(), 2, "{code}");
    }
}

#[test]
fn a_write_that_meets_a_former_primary_goes_to_the_new_one() {
    let one = Host::start("s-1", true, |n, _| {
        if n == 0 {
            Say::Row("old")
        } else {
            Say::Error("25006")
        }
    });
    let two = Host::start("s-2", false, |_, _| Say::Row("new"));
    let discovery = Discovery::start(vec![one.entry("in_service", 0), two.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&one, &two]);
    let mut client = gateway.client();
    assert!(
        client.ask(&statement("order", 9_000)).contains("old"),
        "its report says that it is the primary"
    );
    one.primary.change(|p| *p = false);
    two.primary.change(|p| *p = true);
    assert!(client.ask(&statement("order", 9_000)).contains("new"));
}

#[test]
fn an_abandoned_connection_is_closed_and_not_used_again() {
    let host = Host::start("s-1", true, |n, _| {
        if n == 0 {
            Say::Silence
        } else {
            Say::Row("late")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut gone = gateway.client();
    gone.send(&query(&statement("once", 9_000)));
    host.seen.wait("the statement", |s| {
        s.iter().any(|l| l.contains("c=once")).then_some(())
    });
    let number = host.statements()[0].split_once(':').unwrap().0.to_string();
    // The client leaves: so does its attempt.
    drop(gone);
    host.wait_for(&format!("{number}: closed"));
    gateway.signal("-USR1");
    gateway.log.wait("the counters", |l| {
        l.iter()
            .any(|l| l.contains(" client_gone=1 "))
            .then_some(())
    });
    assert!(gateway
        .client()
        .ask(&statement("read", 9_000))
        .contains("late"));
    assert!(!host.statements()[1].starts_with(&format!("{number}:")));
}

#[test]
fn a_request_that_no_host_answers_gets_one_answer_in_time() {
    let host = Host::start("s-1", true, |_, _| Say::Silence);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    assert_snapshot!(client.ask(&statement("once", 300)), @r"
    ErrorResponse SERROR VERROR CXX000 Mno answer could be had, and it may have run
    ReadyForQuery
    ");
    // A read may be repeated: it is refused, with a pause to keep.
    assert_snapshot!(client.ask(&statement("read", 300)), @r"
    ErrorResponse SERROR VERROR C53300 Mturned away, trying again is harmless D1000
    ReadyForQuery
    ");
    // Nothing more comes for either: the next answer is that of the next command.
    assert!(client.ask("").starts_with("Empty"));
}

/// Guards against a client that says that it waits for a day: its request would be held as long.
#[test]
fn nobody_waits_longer_than_its_class_has() {
    let host = Host::start("s-1", true, |n, _| {
        if n == 0 {
            Say::Row("a1b2")
        } else {
            Say::Silence
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let short =
        |c: &mut serde_json::Value| c["settings"]["Classes"][2]["DeadlineNs"] = json!(300_000_000);
    let gateway = Gateway::with(&discovery, &[&host], short);
    // The primary is known by then: on a busy machine it would not be found in the short time.
    assert!(gateway
        .client()
        .ask(&statement("order", 9_000))
        .contains("a1b2"));
    assert!(gateway
        .client()
        .ask(&statement("once", 80_000_000))
        .contains("XX000"));
}

#[test]
fn a_change_of_the_list_holds_from_the_next_request_on() {
    let (one, two) = (
        Host::start("s-1", true, row),
        Host::start("s-2", false, row),
    );
    let discovery = Discovery::start(vec![one.entry("in_service", 0), two.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&one, &two]);
    let mut client = gateway.client();
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    discovery.publish(EndpointList::Is(both("terminating")));
    let before = two.statements().len();
    for _ in 0..10 {
        assert!(client.ask(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        before,
        "nothing new to one that drains"
    );
    discovery.calls.change(|c| {
        assert!(
            c.iter().all(|c| c.starts_with("0: ")),
            "one connection: {c:?}"
        )
    });
    // A malformed list changes nothing, and the next call comes on a new connection.
    discovery
        .list
        .change(|l| *l = (l.0 + 1, EndpointList::Garbage));
    let first = discovery.calls.wait("a new connection", |c| {
        let again = c
            .iter()
            .find(|c| c.split_once(':').is_some_and(|(n, _)| n != "0"));
        again.cloned()
    });
    assert!(first.contains("from=2&"), "{first}");
    assert!(client.ask(&statement("read", 9_000)).contains("a1b2"));
    assert_eq!(two.statements().len(), before);
    // A new process at an address of its own: the old connections lead nowhere.
    let three = Host::start("s-1", true, |_, _| Say::Row("new"));
    discovery.publish(EndpointList::Is(json!([
        three.entry("in_service", 1_700_000_000_000u64)
    ])));
    assert!(client.ask(&statement("once", 9_000)).contains("new"));
}

/// Guards against a SIGHUP that kills, that cuts requests off, or that leaves the gateway with the old discovery
/// or with the older list of a new one.
#[test]
fn on_sighup_the_new_discovery_is_called_for_the_whole_list_and_an_older_one_undoes_nothing() {
    let slow = |_, text: &str| {
        if text.contains("slow") {
            Say::Silence
        } else {
            Say::Row("a1b2")
        }
    };
    let (one, two) = (
        Host::start("s-1", true, slow),
        Host::start("s-2", false, row),
    );
    let both = |phase: &str| json!([one.entry("in_service", 0), two.entry(phase, 0)]);
    let (old, new) = (
        Discovery::start(vec![]),
        Discovery::start(vec![one.entry("in_service", 0)]),
    );
    let mut gateway = Gateway::start(&old, &[&one, &two]);
    old.publish(EndpointList::Is(both("terminating")));
    let (mut client, mut busy) = (gateway.client(), gateway.client());
    busy.send(&query(
        &statement("once", 4_000)
            .replace("7f3a", "slow")
            .replace("9b1f", "51"),
    ));
    one.wait_for("slow");

    // The environment still names the old address: the file wins. Its `known` is older than what has been told.
    let mut config = gateway.config.clone();
    config["discovery"] = json!(new.address.to_string());
    config["known"]["members"] = both("in_service");
    config["limits"]["sockets"] = json!(500);
    new.list
        .change(|l| *l = (1, EndpointList::Is(both("in_service"))));
    gateway.reload(&config.to_string());
    new.calls.wait("the whole list", |c| {
        (c.first()? == "0: /discovery/hosts").then_some(())
    });
    new.calls.wait("what is newer", |c| {
        c.get(1)?.contains("from=2&").then_some(())
    });
    gateway.wait_for_log("what waits for the next start: limits");
    let before = two.statements().len();
    for _ in 0..10 {
        assert!(client.ask(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        before,
        "a drain undone by an older list"
    );

    // Neither an unusable file nor the old address changes anything any more.
    old.list.change(|l| *l = (9, EndpointList::Is(json!([]))));
    for unusable in ["{", "", "{}"] {
        gateway.reload(unusable);
    }
    gateway.wait_for_log("the old configuration holds");
    new.list
        .change(|l| *l = (2, EndpointList::Is(both("in_service"))));
    new.publish(EndpointList::Is(both("in_service")));
    while two.statements().len() == before {
        assert!(client.ask(&statement("read", 9_000)).contains("a1b2"));
    }
    assert!(
        busy.until_ready().contains("XX000"),
        "its time was over, and no earlier"
    );

    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    gateway.signal("-HUP");
    gateway.reload(&config.to_string());
    assert!(client.ask(&statement("read", 9_000)).contains("a1b2"));
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Guards against new settings that wait for a restart, that move a request under way to another class, or that hold in
/// part where a file is broken.
#[test]
fn on_sighup_new_settings_hold_for_new_requests_and_a_broken_file_changes_nothing() {
    let slow = |_, text: &str| {
        if text.contains("slow") {
            Say::Silence
        } else {
            Say::Error("25006")
        }
    };
    let host = Host::start("s-1", true, slow);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let (mut client, mut busy) = (gateway.client(), gateway.client());
    busy.send(&query(
        &statement("once", 6_000)
            .replace("7f3a", "slow")
            .replace("9b1f", "51"),
    ));
    host.wait_for("slow");

    let changed = |change: &dyn Fn(&mut serde_json::Value)| {
        let mut config = gateway.config.clone();
        change(&mut config);
        config
    };
    let good = changed(&|c| {
        let classes = c["settings"]["Classes"].as_array_mut().unwrap();
        classes[1]["Name"] = json!("new");
        classes[2]["DeadlineNs"] = json!(300_000_000);
        c["settings"]["Bounds"]["MostTries"] = json!(2);
    });
    gateway.reload(&good.to_string());
    gateway.wait_for_log("configuration read again");
    let tries = |c: &mut Client, class: &str| {
        let before = host.statements().len();
        let answer = c.ask(&statement(class, 19_000));
        (host.statements().len() - before, answer)
    };
    let (tried, answer) = tries(&mut client, "new");
    assert!(
        tried == 2 && answer.contains("C53300"),
        "as often as is allowed now: {tried} {answer}"
    );
    assert!(client
        .ask(&statement("order", 9_000))
        .contains("an unknown class"));

    // Each of these names another discovery as well, which must not be called.
    let elsewhere = Discovery::start(vec![]);
    let broken = |path: &str, value: serde_json::Value| {
        let mut config = good.clone();
        config["discovery"] = json!(elsewhere.address.to_string());
        let (parent, key) = path.rsplit_once('/').unwrap();
        let object = config.pointer_mut(parent).unwrap().as_object_mut().unwrap();
        match value.is_null() {
            true => drop(object.remove(key).unwrap()),
            false => drop(object.insert(key.to_string(), value)),
        }
        config.to_string()
    };
    let whole = good.to_string();
    let files = [
        broken("/settings/Classes/0/DeadlineNs", json!(0)),
        broken("/settings/Classes/3/DeadlineNs", json!(-5)),
        broken("/settings/Bounds/MostTries", json!(0)),
        broken("/settings/Classes/0/Name", json!("own")),
        broken("/settings/Classes/3/WindowNs", json!(null)),
        broken("/settings/Bounds/IdleCloseNs", json!(null)),
        broken("/settings/LoadInfo/Fields", json!(null)),
        broken("/settings", json!(null)),
        broken("/listen", json!(null)),
        broken("/limits", json!(null)),
        whole[..whole.len() / 2].to_string(),
        String::new(),
    ];
    for (n, file) in files.iter().enumerate() {
        gateway.reload(file);
        let told = |l: &mut Vec<String>| {
            let told = l
                .iter()
                .filter(|l| l.contains("the old configuration holds"))
                .count();
            assert!(!l.iter().any(|l| l.contains("newly")), "{file}");
            (told > n).then_some(())
        };
        gateway.log.wait(file, told);
    }
    assert_eq!(
        tries(&mut client, "new").0,
        2,
        "the last good file holds, whole"
    );
    elsewhere.calls.change(|c| assert!(c.is_empty(), "{c:?}"));
    // Its class has 0.3 s now, and the one under way keeps the time that its own had.
    assert!(client
        .ask(&statement("once", 9_000).replace("7f3a", "slow"))
        .starts_with("ErrorResponse"));
    busy.stream.set_nonblocking(true).unwrap();
    assert!(busy.stream.peek(&mut [0]).is_err());
    busy.stream.set_nonblocking(false).unwrap();
    assert!(busy.until_ready().contains("XX000"));
}

#[test]
fn a_gateway_starts_from_the_list_it_knew() {
    let host = Host::start("s-1", true, row);
    // Discovery has nothing newer to say: it is silent.
    let discovery = Discovery::start(vec![]);
    let gateway = Gateway::start(&discovery, &[&host]);
    assert!(gateway
        .client()
        .ask(&statement("once", 9_000))
        .contains("a1b2"));
    let call = discovery.calls.wait("a call", |c| c.first().cloned());
    assert!(call.contains("from=1&hold_ms="), "{call}");
    // Silence is given up, and the same asked again on a new connection.
    let again = discovery.calls.wait("a second call", |c| c.get(1).cloned());
    assert!(
        again.starts_with("1: ") && again.contains("from=1&hold_ms="),
        "{again}"
    );
}

#[test]
fn idle_connections_are_retired_before_their_host_closes_them() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let idle =
        |c: &mut serde_json::Value| c["settings"]["Bounds"]["IdleCloseNs"] = json!(1_000_000_000);
    let gateway = Gateway::with(&discovery, &[&host], idle);
    assert!(gateway
        .client()
        .ask(&statement("read", 9_000))
        .contains("a1b2"));
    host.wait_for("closed");
}

#[test]
fn beyond_its_connections_a_gateway_says_so_and_goes_on_accepting() {
    let host = Host::start("s-1", true, |_, _| Say::Silence);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let few = |c: &mut serde_json::Value| c["limits"]["sockets"] = json!(70);
    let gateway = Gateway::with(&discovery, &[&host], few);
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    let asks = clients.iter_mut().enumerate();
    asks.for_each(|(n, c)| {
        c.send(&query(
            &statement("read", 19_000).replace("9b1f", &n.to_string()),
        ))
    });
    let mut beyond = gateway.raw();
    beyond.send(&[startup(), query(&statement("read", 9_000))].concat());
    assert_snapshot!(beyond.until_ready(), @r"
    ErrorResponse SFATAL VFATAL C53300 Mtoo many connections D250
    closed
    ");
    // One has left: there is room again as soon as the gateway has noticed.
    clients.pop();
    let mut welcome = gateway.welcomed();
    assert!(welcome.ask("").starts_with("Empty"));
}

/// Guards against clients that ask once and stay: they would hold all places, and the next be turned away.
#[test]
fn where_places_run_short_the_connection_that_has_been_quiet_longest_makes_room() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let few = |c: &mut serde_json::Value| c["limits"]["sockets"] = json!(70);
    let gateway = Gateway::with(&discovery, &[&host], few);
    let mut clients: Vec<Client> = (0..4).map(|_| gateway.client()).collect();
    clients
        .iter_mut()
        .for_each(|c| assert!(c.ask(&statement("read", 9_000)).contains("a1b2")));
    assert!(
        clients[0].ask("").starts_with("Empty"),
        "the first to come, but not the first to be quiet"
    );
    let mut welcome = gateway.welcomed();
    assert_eq!(
        clients.remove(1).stream.read(&mut [0]).unwrap(),
        0,
        "closed between two requests"
    );
    clients.push(
        welcome
            .ask("")
            .starts_with("Empty")
            .then_some(welcome)
            .unwrap(),
    );
    clients
        .iter_mut()
        .for_each(|c| assert!(c.ask(&statement("read", 9_000)).contains("a1b2")));
}

/// Guards against crowds that ask once and stay: they would use up the third of the descriptors that all clients have
/// together, while there are places left.
#[test]
fn in_a_crowd_quiet_connections_make_room_before_places_run_short() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    // 38 places, of which 20 are used on usual days.
    let few = |c: &mut serde_json::Value| c["limits"]["sockets"] = json!(120);
    let gateway = Gateway::with(&discovery, &[&host], few);
    let mut clients: Vec<Client> = (0..30).map(|_| gateway.client()).collect();
    clients
        .iter_mut()
        .for_each(|c| assert!(c.ask(&statement("read", 9_000)).contains("a1b2")));
    let mut usual = clients.split_off(10);
    for c in &mut clients {
        assert_eq!(
            c.stream.read(&mut [0]).unwrap(),
            0,
            "those that have been quiet longest"
        );
    }
    usual
        .iter_mut()
        .for_each(|c| assert!(c.ask(&statement("read", 9_000)).contains("a1b2")));
}

/// Guards against clients that say nothing, or half of something, and hold their places for ever.
#[test]
fn whoever_does_not_say_what_it_wants_is_told_so_and_closed() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let (mut idle, mut half) = (gateway.client(), gateway.client());
    let (mute, mut begun) = (gateway.raw(), gateway.raw());
    half.send(&query(&statement("read", 9_000))[..20]);
    begun.send(&startup()[..6]);
    let told = [mute, half, begun].map(|mut c| c.until_ready());
    assert_snapshot!(told.join("\n"), @r"
    ErrorResponse SFATAL VFATAL C08P01 Ma message that does not become whole
    closed
    ErrorResponse SFATAL VFATAL C08P01 Ma message that does not become whole
    closed
    ErrorResponse SFATAL VFATAL C08P01 Ma message that does not become whole
    closed
    ");
    assert!(
        idle.ask(&statement("read", 9_000)).contains("a1b2"),
        "between two requests it may be quiet"
    );
}

/// Guards against a reset that takes the last word along: closing with bytes unread resets a connection.
#[test]
fn the_last_word_arrives_though_more_has_been_sent_than_was_read() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    client.send(&[b"Q\x03\x93\x87\0" as &[u8], &vec![b'x'; 400_000]].concat());
    assert!(client
        .until_ready()
        .starts_with("ErrorResponse SFATAL VFATAL C08P01 Ma message is too large"));
    assert_eq!(
        client.stream.read(&mut [0]).unwrap(),
        0,
        "an end and no reset"
    );
}

/// Guards against clients that are kept, or cut off, while a gateway is drained, and against one that stays so.
#[test]
fn a_drained_gateway_sends_clients_away_behind_their_answers_until_it_is_activated() {
    let host = Host::start("s-1", true, |_, text| {
        if text.contains("slow") {
            std::thread::sleep(std::time::Duration::from_millis(600));
        }
        Say::Row("a1b2")
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let mut gateway = Gateway::start(&discovery, &[&host]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    let slow = query(
        &statement("once", 9_000)
            .replace("7f3a", "slow")
            .replace("9b1f", "51"),
    );
    busy.send(&[slow, query("")].concat());
    host.wait_for("slow");
    assert_snapshot!(gateway.call("readyz\n"), @"+OK ready");
    assert_snapshot!(gateway.call("evacuate\r\n"), @"+OK clients are sent away");
    assert_snapshot!(gateway.call("evacuate\n"), @"+OK clients are sent away");
    assert_snapshot!(gateway.call("readyz\n"), @"-ERR drained");
    let mut new = gateway.raw();
    new.send(&[startup(), query(&statement("once", 9_000))].concat());
    new.until_ready();
    assert!(
        new.until_ready().contains("a1b2"),
        "what still comes is served"
    );
    assert_eq!(new.until_ready(), "closed");
    assert_eq!(idle.until_ready(), "closed");
    assert!(
        busy.until_ready().contains("a1b2"),
        "what is under way is finished"
    );
    assert_snapshot!(busy.until_ready(), @r"
    ErrorResponse SERROR VERROR C57P03 Mclients are sent away
    ReadyForQuery
    ");
    assert_eq!(busy.until_ready(), "closed");
    assert_snapshot!(gateway.call("activate\n"), @"+OK clients are welcome");
    let mut back = gateway.client();
    assert!(back.ask("").starts_with("Empty"));
    assert!(back.ask(&statement("once", 9_000)).contains("a1b2"));
    gateway.signal("-TERM");
    gateway.wait_for_log("stopping");
    assert_snapshot!(gateway.call("readyz\n"), @"-ERR stopping");
    assert_snapshot!(gateway.call("activate\n"), @"-ERR stopping");
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Guards against callers that say nothing or too much: the console has few places, and others wait for an answer.
#[test]
fn the_console_answers_every_line_whoever_else_holds_a_connection() {
    let discovery = Discovery::start(vec![]);
    let gateway = Gateway::start(&discovery, &[]);
    let mut silent: Vec<_> = (0..40)
        .map(|_| std::net::TcpStream::connect(gateway.console()).unwrap())
        .collect();
    assert!(silent
        .iter_mut()
        .all(|s| std::io::Write::write_all(s, b"evac").is_ok()));
    assert_snapshot!(gateway.call("readyz\n"), @"+OK ready");
    for wrong in ["\n", "READYZ\n", "readyz now\n", "\u{0}\r\n"] {
        assert!(
            gateway.call(wrong).starts_with("-ERR unknown call"),
            "{wrong:?}"
        );
    }
    assert_snapshot!(gateway.call(&"x".repeat(4_000)), @"-ERR the line is too long");
    let left = silent.iter_mut().map(|s| s.read(&mut [0]));
    assert!(
        left.into_iter().all(|end| !matches!(end, Ok(1))),
        "half a call has no answer, and an end"
    );
}

#[test]
fn after_sigterm_all_that_comes_is_served_and_what_was_taken_is_finished() {
    let host = Host::start("s-1", true, |_, text| {
        if text.contains("slow") {
            Say::Silence
        } else {
            Say::Row("a1b2")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let mut gateway = Gateway::start(&discovery, &[&host]);
    let (mut idle, mut busy) = (gateway.client(), gateway.client());
    busy.send(&query(
        &statement("once", 3_000)
            .replace("7f3a", "slow")
            .replace("9b1f", "51"),
    ));
    host.wait_for("slow");
    gateway.signal("-TERM");
    gateway.log.wait("the signal", |l| {
        l.iter().any(|l| l.contains("stopping")).then_some(())
    });
    assert!(
        gateway
            .client()
            .ask(&statement("once", 9_000))
            .contains("a1b2"),
        "new connections are still taken"
    );
    assert!(
        idle.ask(&statement("once", 9_000)).contains("a1b2"),
        "and old ones served"
    );
    assert_eq!(
        idle.stream.read(&mut [0]).unwrap(),
        0,
        "then closed between requests"
    );
    let last = busy.until_ready();
    assert!(
        last.starts_with("ErrorResponse SERROR VERROR CXX000"),
        "finished before it is closed: {last}"
    );
    assert_eq!(gateway.exit_code(), Some(0));
    let counters = gateway.log.wait("the counters", |l| {
        l.iter().find(|l| l.contains("counters")).cloned()
    });
    let counts: Vec<&str> = counters
        .split(' ')
        .filter(|c| !c.starts_with("health_checks") && !c.starts_with("upstream_opened"))
        .collect();
    assert_snapshot!(counts.join(" "), @"irisrouter: counters received=3 served=2 truncated=0 rejected=0 failed=1 client_gone=0 malformed=0 gossip_sent=0 gossip_received=0 datagrams_ignored=0 downstream_accepted=3 downstream_rejected=0 downstream_evicted=0 attempt_ok=2 attempt_timed_out=1");
}

/// Guards against clients that are refused, reset or left unheard while one version follows another.
#[test]
fn a_passed_socket_outlives_each_process_and_its_queue_is_the_next_ones() {
    let host = Host::start("s-1", true, |_, text| {
        if text.contains("slow") {
            std::thread::sleep(std::time::Duration::from_millis(300));
        }
        Say::Row("a1b2")
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = Passed::new();
    let mut old = Gateway::at(Some(&socket), &discovery, &[&host], |_| {});
    assert_eq!(old.address, socket.listener.local_addr().unwrap());
    let (mut busy, mut idle) = (old.client(), old.client());
    busy.send(&query(
        &statement("once", 9_000)
            .replace("7f3a", "slow")
            .replace("9b1f", "51"),
    ));
    host.wait_for("slow");
    old.signal("-TERM");
    old.wait_for_log("stopping");
    // Nobody accepts now.
    let mut queued = old.raw();
    queued.send(&[startup(), query(&statement("read", 9_000))].concat());
    assert!(busy.until_ready().contains("a1b2"));
    assert_eq!(
        (busy.until_ready(), idle.until_ready()),
        ("closed".into(), "closed".into())
    );
    assert_eq!(old.exit_code(), Some(0));
    let new = Gateway::at(Some(&socket), &discovery, &[&host], |_| {});
    assert!(queued.until_ready().starts_with("AuthenticationOk"));
    assert!(queued.until_ready().contains("a1b2"));
    assert_snapshot!(new.call("readyz\n"), @"+OK ready");
}

/// Guards against a process that takes clients before it knows which hosts drain: that binds both processes.
#[test]
fn a_process_beside_another_says_yes_once_discovery_has_answered() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = Passed::new();
    let new = Gateway::at(Some(&socket), &discovery, &[&host], |_| {});
    let called = discovery.calls.wait("a call", |c| c.first().cloned());
    assert_eq!(
        called, "0: /discovery/hosts",
        "the whole list, which comes at once"
    );
    discovery.calls.wait("what is newer", |c| c.get(1).cloned());
    assert!((0..1_000_000).any(|_| new.call("readyz\n").starts_with("+OK")));
    // An agent that has nothing keeps nobody out for long.
    let silent = Discovery::start(vec![]);
    silent.list.change(|l| l.0 = 0);
    let socket = Passed::new();
    let new = Gateway::at(Some(&socket), &silent, &[&host], |_| {});
    assert!(new.client().ask(&statement("read", 9_000)).contains("a1b2"));
}

/// Guards against two processes that hold twice what one may, and against a new one that undoes what the old one knows.
#[test]
fn an_older_process_hands_its_list_over_and_both_share_their_descriptors() {
    let (one, two) = (
        Host::start("s-1", true, row),
        Host::start("s-2", false, row),
    );
    let discovery = Discovery::start(vec![one.entry("in_service", 0), two.entry("in_service", 0)]);
    // Of 76 descriptors, 51 are for clients, and another process takes 64 for itself.
    let few = |c: &mut serde_json::Value| c["limits"]["sockets"] = json!(140);
    let passed = Passed::new();
    let mut old = Gateway::at(Some(&passed), &discovery, &[&one, &two], few);
    discovery.publish(EndpointList::Is(json!([
        one.entry("in_service", 0),
        two.entry("terminating", 0)
    ])));
    assert!(old.client().ask(&statement("once", 9_000)).contains("a1b2"));
    // The new process knows an old list, and its discovery has nothing to say.
    let silent = Discovery::start(vec![]);
    silent.list.change(|l| l.0 = 0);
    let beside = passed.beside();
    let new = Gateway::at(Some(&beside), &silent, &[&one, &two], few);
    new.wait_for_log("an older process hands over a list of 2");
    let mut turned_away = new.raw();
    turned_away.send(&startup());
    assert!(turned_away.until_ready().contains("too many connections"));
    old.signal("-TERM");
    assert_eq!(old.exit_code(), Some(0));
    let before = two.statements().len();
    let mut client = new.welcomed();
    for _ in 0..10 {
        assert!(client.ask(&statement("read", 9_000)).contains("a1b2"));
    }
    assert_eq!(
        two.statements().len(),
        before,
        "a drain that the older list does not hold"
    );
    // Whoever comes next finds this one.
    let last = Gateway::at(Some(&beside), &silent, &[], few);
    last.wait_for_log("an older process hands over");
}

#[test]
fn a_bad_configuration_is_told_plainly() {
    let whole = json!({"listen": "127.0.0.1:0", "discovery": "127.0.0.1:1", "seed": "1", "settings": settings()});
    let without = |key: &str, value: serde_json::Value| {
        let mut c = whole.clone();
        c[key] = value;
        c.to_string()
    };
    let bad = [
        "{".to_string(),
        without("listen", json!(null)),
        without("discovery", json!("nowhere")),
        without("seed", json!("xyz")),
        without("settings", json!({})),
        without("limits", json!({"sockets": 10})),
    ];
    let told = bad.map(|c| {
        let (exit, words) = refuses(&c);
        assert_eq!(exit, Some(1), "{words}");
        words
    });
    assert_snapshot!(told.join(""), @r"
    irisrouter: CONFIG: EOF while parsing an object at line 1 column 1
    irisrouter: CONFIG: no address: neither BALANCER_LISTEN nor the configuration has one
    irisrouter: CONFIG: BALANCER_DISCOVERY: nowhere: invalid socket address syntax
    irisrouter: CONFIG: seed xyz: invalid digit found in string
    irisrouter: CONFIG: settings: missing field `Balancers`
    irisrouter: 10 descriptors are too few
    ");
}

#[test]
fn where_only_drains_bind_a_gone_host_is_still_asked() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let alone = |c: &mut serde_json::Value| c["settings"]["Rules"]["DrainBindsAlone"] = json!(true);
    let gateway = Gateway::with(&discovery, &[&host], alone);
    discovery.publish(EndpointList::Is(json!([])));
    assert!(gateway
        .client()
        .ask(&statement("once", 9_000))
        .contains("a1b2"));
}

/// A gateway among sixteen, the second of which is this socket, as is the way to all.
fn among_sixteen(config: &mut serde_json::Value, peer: &UdpSocket) {
    let at = peer.local_addr().unwrap().to_string();
    let own = UdpSocket::bind("127.0.0.3:0")
        .unwrap()
        .local_addr()
        .unwrap()
        .to_string();
    let mut peers = vec![own.clone(), at.clone()];
    // The others are silent: nobody listens at the port 1 of these.
    peers.extend((2..16).map(|n| format!("127.0.1.{n}:1")));
    config["peer_listen"] = json!(own);
    config["peers"] = json!(peers);
    config["peers_all"] = json!(at);
    config["settings"]["Balancers"] = json!(16);
    config["settings"]["Me"] = json!(0);
    config["settings"]["Bounds"]["Peers"] = json!(true);
}

#[test]
fn what_a_gateway_finds_it_tells_and_bad_datagrams_change_nothing() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let peer = UdpSocket::bind("127.0.0.4:0").unwrap();
    peer.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut gateway = Gateway::with(&discovery, &[&host], |config| among_sixteen(config, &peer));
    let mut datagram = [0; 512];
    let (length, from) = peer.recv_from(&mut datagram).expect("a finding");
    // The version, the time, and one host of six bytes that is a primary.
    assert_eq!((length, datagram[0], datagram[10] & 0x80), (11, 1, 0x80));
    let stranger = UdpSocket::bind("127.0.0.5:0").unwrap();
    for bad in [
        &b""[..],
        b"no message",
        &[1; 11],
        &[2; 11],
        &[0xff; 256],
        &[0; 400],
    ] {
        peer.send_to(bad, from).unwrap();
        stranger.send_to(&datagram[..length], from).unwrap();
    }
    gateway.wait_for_log("is ignored");
    assert!(gateway
        .client()
        .ask(&statement("read", 9_000))
        .contains("a1b2"));
    assert!(peer.recv_from(&mut datagram).is_ok(), "it goes on telling");
    gateway.signal("-TERM");
    assert_eq!(gateway.exit_code(), Some(0));
}

/// Guards against a new version that never shares: the older process has the peers' address while both run.
#[test]
fn a_process_beside_another_shares_once_the_older_has_ended() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let socket = Passed::new();
    let peer = UdpSocket::bind("127.0.0.6:0").unwrap();
    peer.set_read_timeout(Some(PATIENCE)).unwrap();
    let mut old = Gateway::at(Some(&socket), &discovery, &[&host], |config| {
        among_sixteen(config, &peer)
    });
    let mut datagram = [0; 512];
    peer.recv_from(&mut datagram)
        .expect("a finding of the older");
    let own = old.config["peer_listen"].clone();
    let new = Gateway::at(Some(&socket), &discovery, &[&host], |config| {
        among_sixteen(config, &peer);
        config["peers"][0] = own.clone();
        config["peer_listen"] = own;
    });
    new.wait_for_log("peer socket: not open yet");
    old.signal("-TERM");
    assert_eq!(old.exit_code(), Some(0));
    new.wait_for_log("peer socket: open at");
    peer.set_nonblocking(true).unwrap();
    while peer.recv_from(&mut datagram).is_ok() {}
    peer.set_nonblocking(false).unwrap();
    peer.recv_from(&mut datagram)
        .expect("a finding of the newer");
}

#[test]
fn peers_that_cannot_be_read_are_told_and_the_gateway_serves() {
    let host = Host::start("s-1", true, row);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let peer = UdpSocket::bind("127.0.0.4:0").unwrap();
    let gateway = Gateway::with(&discovery, &[&host], |config| {
        among_sixteen(config, &peer);
        config["peers"] = json!(["nowhere"]);
    });
    gateway.wait_for_log("nothing is shared with other gateways: peers");
    assert!(gateway
        .client()
        .ask(&statement("read", 9_000))
        .contains("a1b2"));
}
