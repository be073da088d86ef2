//! Parsing of the console's calls, and the texts of its answers.

use super::*;

#[test]
fn call_with_its_exact_name_is_parsed() {
    let calls = [
        ("readyz", ConsoleCall::Readiness),
        ("evacuate", ConsoleCall::Evacuate),
        ("activate\r", ConsoleCall::Activate),
        ("members", ConsoleCall::Members),
        ("duties", ConsoleCall::Leases),
        ("plan", ConsoleCall::FailoverPlan),
        ("drains", ConsoleCall::Drains),
        (
            "drain s-1",
            ConsoleCall::Drain {
                host: "s-1".to_string(),
            },
        ),
        (
            "undrain s 2\r",
            ConsoleCall::Undrain {
                host: "s 2".to_string(),
            },
        ),
    ];
    for (line, call) in calls {
        assert_eq!(ConsoleCall::parse(line.as_bytes()), Ok(call), "{line:?}");
    }
}

#[test]
fn call_with_any_other_text_is_unknown() {
    for line in ["", "READYZ", "readyz ", " readyz", "drain", "undrain", "\r"] {
        let call = ConsoleCall::parse(line.as_bytes());
        assert_eq!(call, Err(CallError::Unknown), "{line:?}");
    }
    let not_utf8 = ConsoleCall::parse(b"drain \xff");
    assert_eq!(not_utf8, Err(CallError::Unknown));
}

#[test]
fn answer_texts_are_those_that_operators_scripts_match() {
    let answers = [
        (Ok(ConsoleAnswer::Ready), "+OK ready\n"),
        (Ok(ConsoleAnswer::Evacuated), "+OK clients are sent away\n"),
        (Ok(ConsoleAnswer::Activated), "+OK clients are welcome\n"),
        (
            Ok(ConsoleAnswer::Status("drains".to_string())),
            "+OK drains\n",
        ),
        (Err(CallError::Starting), "-ERR starting\n"),
        (Err(CallError::Drained), "-ERR drained\n"),
        (Err(CallError::Stopping), "-ERR stopping\n"),
        (Err(CallError::MembershipOff), "-ERR membership is off\n"),
        (Err(CallError::LeasesOff), "-ERR takeover is off\n"),
        (Err(CallError::SiteFailoverOff), "-ERR site plans are off\n"),
        (Err(CallError::LineTooLong), "-ERR the line is too long\n"),
        (
            Err(CallError::Unknown),
            "-ERR unknown call: readyz, evacuate, activate, members, duties, plan, drains, \
             drain HOST or undrain HOST\n",
        ),
    ];
    for (answer, line) in answers {
        assert_eq!(format_answer(&answer), line);
    }
}
