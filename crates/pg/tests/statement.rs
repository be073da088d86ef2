//! The parser for statements and the comment at their end.

use irisrouter_pg::statement;

const READ_STATEMENT: &str = "SELECT payload FROM entries WHERE ref = 'k''1' \
    /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";

#[test]
fn statement_has_the_fields_of_its_comment() {
    let parsed = statement(READ_STATEMENT.as_bytes()).expect("a statement");
    assert_eq!(&READ_STATEMENT[parsed.timeout_range.clone()], "480");
    assert_eq!(
        (parsed.class, parsed.group, parsed.after_ms),
        ("basket", 2, Some(1_767_225_600_123.0))
    );
    assert_eq!(
        (parsed.session_key, parsed.idempotency, parsed.retry),
        (Some(b"k''1" as &[u8]), None, false)
    );
    let repeated = READ_STATEMENT
        .replace("cluster", "r=1,k=5c,cluster")
        .replace("after=1767225600123", "after=0");
    let parsed = statement(repeated.as_bytes()).expect("a statement");
    assert_eq!(
        (parsed.idempotency.is_some(), parsed.retry, parsed.after_ms),
        (true, true, None)
    );
}
