//! No parser panics on random bytes.

use irisrouter_pg::{frame, long_row, query, startup, statement, Reply};
use proptest::prelude::{any, prop_assert, proptest};

const READ_STATEMENT: &str = "SELECT payload FROM entries WHERE ref = 'k''1' \
    /* id=9b1f,c=basket,d=480,cluster=2,after=1767225600123 */";

proptest! {
    #[test]
    fn no_bytes_make_a_parser_panic(
        bytes in proptest::collection::vec(any::<u8>(), 0..200),
        offset in 0..READ_STATEMENT.len(),
    ) {
        let _ = (long_row(&bytes), frame(&bytes), startup(&bytes), query(&bytes), statement(&bytes));
        for tag in [b'T', b'D', b'C', b'E', b'S', b'Z'] {
            let _ = Reply::default().read_message(tag, &bytes);
        }
        let mut almost_valid = READ_STATEMENT.as_bytes().to_vec();
        almost_valid.splice(offset..(offset + bytes.len() % 5).min(READ_STATEMENT.len()), bytes);
        if let Ok(parsed) = statement(&almost_valid) {
            let wait = std::str::from_utf8(&almost_valid[parsed.timeout_range]);
            prop_assert!(wait.is_ok_and(|wait| wait.parse::<f64>().is_ok()));
        }
    }
}
