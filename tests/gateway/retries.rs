//! Retries: which requests are retried, on which hosts, and until when.

use crate::harness::discovery::Discovery;
use crate::harness::gateway::Gateway;
use crate::harness::host::{Host, HostReply, ReplyScript};
use crate::harness::messages::statement;
use insta::assert_snapshot;
use serde_json::{json, Value};

#[test]
fn request_that_may_have_run_is_not_retried() {
    // The host closes the connection on the second statement, which may have run by then.
    let host = Host::start("s-1", true, |n, _| {
        if n == 1 {
            HostReply::CloseConnection
        } else {
            HostReply::Row("a1b2")
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    assert!(client.query(&statement("once", 9_000)).contains("a1b2"));
    assert_snapshot!(client.query(&statement("once", 9_000)), @r"
    ErrorResponse SERROR VERROR CXX000 Mno answer could be had, and it may have run
    ReadyForQuery
    ");
    assert_eq!(host.statements().len(), 2);
    assert!(client.query(&statement("once", 9_000)).contains("a1b2"));
}

/// An error for the first statement, and a row for all others.
fn error_once(statement_number: usize, code: &'static str) -> HostReply {
    if statement_number == 0 {
        HostReply::Error(code)
    } else {
        HostReply::Row("a1b2")
    }
}

#[test]
fn request_that_did_not_run_is_retried() {
    let scripts: [(&str, ReplyScript); 3] = [
        ("25006", |number, _| error_once(number, "25006")),
        ("72000", |number, _| error_once(number, "72000")),
        ("53300", |number, _| error_once(number, "53300")),
    ];
    for (code, script) in scripts {
        let host = Host::start("s-1", true, script);
        let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
        let gateway = Gateway::start(&discovery, &[&host]);
        assert!(
            gateway
                .client()
                .query(&statement("once", 19_000))
                .contains("a1b2"),
            "{code}"
        );
        assert_eq!(host.statements().len(), 2, "{code}");
    }
}

#[test]
fn write_rejected_by_a_former_primary_goes_to_the_new_primary() {
    let one = Host::start("s-1", true, |n, _| {
        if n == 0 {
            HostReply::Row("old")
        } else {
            HostReply::Error("25006")
        }
    });
    let two = Host::start("s-2", false, |_, _| HostReply::Row("new"));
    let discovery = Discovery::start(vec![one.entry("in_service", 0), two.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&one, &two]);
    let mut client = gateway.client();
    assert!(
        client.query(&statement("order", 9_000)).contains("old"),
        "the load report names the host as the primary"
    );
    one.is_primary.update(|p| *p = false);
    two.is_primary.update(|p| *p = true);
    assert!(client.query(&statement("order", 9_000)).contains("new"));
}

#[test]
fn request_without_a_host_answer_gets_one_error_at_its_deadline() {
    let host = Host::start("s-1", true, |_, _| HostReply::NoReply);
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let gateway = Gateway::start(&discovery, &[&host]);
    let mut client = gateway.client();
    assert_snapshot!(client.query(&statement("once", 300)), @r"
    ErrorResponse SERROR VERROR CXX000 Mno answer could be had, and it may have run
    ReadyForQuery
    ");
    // A read may be repeated safely: it is rejected with a retry delay.
    assert_snapshot!(client.query(&statement("read", 300)), @r"
    ErrorResponse SERROR VERROR C53300 Mturned away, trying again is harmless D1000
    ReadyForQuery
    ");
    // Neither request gets a second answer: the next answer belongs to the next query.
    assert!(client.query("").starts_with("Empty"));
}

/// Guards against a client that states a wait of one day: its request would stay queued for that long.
#[test]
fn client_wait_is_capped_by_the_deadline_of_its_class() {
    let host = Host::start("s-1", true, |n, _| {
        if n == 0 {
            HostReply::Row("a1b2")
        } else {
            HostReply::NoReply
        }
    });
    let discovery = Discovery::start(vec![host.entry("in_service", 0)]);
    let short_deadline =
        |config: &mut Value| config["settings"]["Classes"][2]["DeadlineNs"] = json!(300_000_000);
    let gateway = Gateway::start_with_config(&discovery, &[&host], short_deadline);
    // Makes the primary known first: on a busy machine it would not be found within the short deadline.
    assert!(gateway
        .client()
        .query(&statement("order", 9_000))
        .contains("a1b2"));
    assert!(gateway
        .client()
        .query(&statement("once", 80_000_000))
        .contains("XX000"));
}
