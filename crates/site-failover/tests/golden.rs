//! Golden tests of the datagrams that carry failover plans, and of those that carry the load reports
//! from which plans are made.
//!
//! The tests pin the exact bytes of plans and load reports, the rounding and clamping of numbers,
//! the results of decoding these bytes and malformed ones, and the task id of the planner. A fleet
//! is upgraded one gateway at a time, so gateways of the old and the new version exchange these
//! datagrams, and have to agree on the planner: after a change of a single byte or of the task id
//! they would follow different plans and send a site more load than its capacity. A refactoring
//! must leave every literal in this file unchanged; an intended change of the format needs a new
//! first byte.
//!
//! Expected bytes are written as groups of hex digits, one group per field of the layout; white
//! space is ignored.

use irisrouter_cluster_types::{Epoch, Milliseconds, TaskId};
use irisrouter_site_failover::codec::{
    decode, encode_load_report, encode_plan, Message, WireError, MAGIC, MAX_DATAGRAM_BYTES,
};
use irisrouter_site_failover::load_report::{SiteLoadReport, SiteReachability};
use irisrouter_site_failover::{
    recognizes, Plan, PlanVersion, SiteIndex, SitePlan, SiteState, MAX_CLASSES, MAX_SITES, TASK_ID,
};

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

// Test values: all pinned plans and load reports are built in this section.

/// Returns the share whose encoded value is `units`.
fn share(units: u16) -> f64 {
    f64::from(units) / 65_535.0
}

fn site(
    state: SiteState,
    budget_per_s: f64,
    recovery_ramp: f64,
    load_distribution: &[f64],
) -> SitePlan {
    SitePlan {
        budget_per_s,
        state,
        recovery_ramp,
        load_distribution: load_distribution.to_vec(),
    }
}

fn plan(sites: Vec<SitePlan>, admitted_share: &[f64]) -> Plan {
    Plan {
        version: PlanVersion {
            epoch: Epoch(0x0102_0304_0506_0708),
            sequence: 0x1112_1314,
        },
        gateway_count: 0x2122_2324,
        sites,
        admitted_share: admitted_share.to_vec(),
        retry_after: Milliseconds(0x3132_3334),
    }
}

/// Builds a plan with one site of each state, and budgets of 1,500.25, 0 and 70,000.5 requests per
/// second.
fn plan_of_three_sites() -> Plan {
    let sites = vec![
        site(
            SiteState::Up,
            1_500.25,
            share(0x4142),
            &[share(0x5152), share(0x5354), share(0x0556)],
        ),
        site(
            SiteState::Lost,
            0.0,
            share(0x4344),
            &[share(0x6162), share(0x0364), share(0x6566)],
        ),
        site(
            SiteState::Recovering,
            70_000.5,
            share(0x4546),
            &[share(0x0172), share(0x7374), share(0x7576)],
        ),
    ];
    plan(sites, &[share(0x8182), share(0x8384)])
}

/// Builds a plan with one recovering site that has these values, and one class.
fn plan_with(budget: f64, ramp: f64, load_share: f64, admitted: f64) -> Plan {
    plan(
        vec![site(SiteState::Recovering, budget, ramp, &[load_share])],
        &[admitted],
    )
}

fn empty_plan() -> Plan {
    plan(Vec::new(), &[])
}

fn plan_with_largest_numbers() -> Plan {
    Plan {
        version: PlanVersion {
            epoch: Epoch(u64::MAX),
            sequence: u32::MAX,
        },
        gateway_count: u32::MAX,
        retry_after: Milliseconds(u64::from(u32::MAX)),
        ..plan_with(4_294_967.295, 1.0, 1.0, 1.0)
    }
}

/// Builds a plan whose sites and classes differ in every number. Each site's load is distributed to
/// `targets` sites.
fn distinct_plan(sites: u16, classes: u16, targets: u16) -> Plan {
    let states = [SiteState::Up, SiteState::Lost, SiteState::Recovering];
    let site_plan = |n: u16| SitePlan {
        budget_per_s: f64::from(1_000 + n),
        state: states[usize::from(n) % states.len()],
        recovery_ramp: share(0x8000 + n),
        load_distribution: (0..targets).map(|to| share(0x0100 + 16 * n + to)).collect(),
    };
    let admitted: Vec<f64> = (0..classes).map(|class| share(0xf000 + class)).collect();
    plan((0..sites).map(site_plan).collect(), &admitted)
}

fn load_report() -> SiteLoadReport {
    SiteLoadReport {
        site: SiteIndex(5),
        period: Milliseconds(0x0102),
        arrived: vec![0x3132, 0x3334, 0x3536],
        sites: vec![
            SiteReachability {
                hosts: 0x1112,
                silent: 0x1314,
                sent: 0x1516,
                answered: 0x1718,
            },
            SiteReachability {
                hosts: 0x2122,
                silent: 0x2324,
                sent: 0x2526,
                answered: 0x2728,
            },
        ],
    }
}

fn empty_load_report() -> SiteLoadReport {
    SiteLoadReport {
        site: SiteIndex(0),
        period: Milliseconds(1),
        arrived: Vec::new(),
        sites: Vec::new(),
    }
}

fn load_report_with_largest_numbers() -> SiteLoadReport {
    let largest = SiteReachability {
        hosts: u16::MAX,
        silent: u16::MAX,
        sent: u16::MAX,
        answered: u16::MAX,
    };
    SiteLoadReport {
        site: SiteIndex(7),
        period: Milliseconds(u64::from(u16::MAX)),
        arrived: vec![u16::MAX],
        sites: vec![largest],
    }
}

/// Builds a load report whose sites and classes differ in every number.
fn distinct_load_report(sites: u16, classes: u16) -> SiteLoadReport {
    let reachability = |n| SiteReachability {
        hosts: 0x1100 + n,
        silent: 0x1200 + n,
        sent: 0x1300 + n,
        answered: 0x1400 + n,
    };
    SiteLoadReport {
        site: SiteIndex(7),
        period: Milliseconds(0x0102),
        arrived: (0..classes).map(|class| 0x2100 + class).collect(),
        sites: (0..sites).map(reachability).collect(),
    }
}

// Helpers.

fn without_whitespace(expected: &str) -> String {
    expected.split_whitespace().collect()
}

/// Asserts that a plan is encoded as the `expected` hex digits, and that the bytes are decoded as
/// `decoded`.
#[track_caller]
fn assert_plan_bytes_and_decoded(plan: &Plan, expected: &str, decoded: &Plan) {
    let bytes = encode_plan(plan);
    assert_eq!(hex(&bytes), without_whitespace(expected));
    assert_eq!(decode(&bytes), Ok(Message::Plan(decoded.clone())));
}

#[track_caller]
fn assert_plan_bytes(plan: &Plan, expected: &str) {
    assert_plan_bytes_and_decoded(plan, expected, plan);
}

/// Asserts that a load report is encoded as the `expected` hex digits, and that the bytes are
/// decoded as `decoded`.
#[track_caller]
fn assert_load_report_bytes_and_decoded(
    report: &SiteLoadReport,
    expected: &str,
    decoded: &SiteLoadReport,
) {
    let bytes = encode_load_report(report);
    assert_eq!(hex(&bytes), without_whitespace(expected));
    assert_eq!(decode(&bytes), Ok(Message::SiteLoadReport(decoded.clone())));
}

#[track_caller]
fn assert_load_report_bytes(report: &SiteLoadReport, expected: &str) {
    assert_load_report_bytes_and_decoded(report, expected, report);
}

#[track_caller]
fn assert_rejected(bytes: &[u8], expected: WireError, text: &str) {
    let error = decode(bytes).expect_err("the datagram is rejected");
    assert_eq!(
        (error, error.to_string().as_str()),
        (expected, text),
        "{}",
        hex(bytes)
    );
}

/// Returns the bytes with the byte at offset `at` replaced by `value`.
fn with_byte(mut bytes: Vec<u8>, at: usize, value: u8) -> Vec<u8> {
    bytes[at] = value;
    bytes
}

fn valid_datagrams() -> [Vec<u8>; 2] {
    [
        encode_plan(&plan_of_three_sites()),
        encode_load_report(&load_report()),
    ]
}

// Encoded plans.

#[test]
fn bounds_and_first_byte_keep_their_values() {
    assert_eq!(
        (MAX_DATAGRAM_BYTES, MAX_SITES, MAX_CLASSES, MAGIC),
        (256, 8, 16, 0xd2)
    );
}

#[test]
fn plan_with_a_site_of_each_state_keeps_its_bytes() {
    assert_plan_bytes(
        &plan_of_three_sites(),
        "d2 00 0102030405060708 11121314 21222324 31323334 03 02
        00 0016e45a 4142 5152 5354 0556
        01 00000000 4344 6162 0364 6566
        02 042c1f74 4546 0172 7374 7576
        8182 8384",
    );
}

#[test]
fn plan_without_sites_and_classes_keeps_its_bytes() {
    assert_plan_bytes(
        &empty_plan(),
        "d2 00 0102030405060708 11121314 21222324 31323334 00 00",
    );
}

#[test]
fn plan_with_the_largest_numbers_keeps_its_bytes() {
    assert_plan_bytes(
        &plan_with_largest_numbers(),
        "d2 00 ffffffffffffffff ffffffff ffffffff ffffffff 01 01  02 ffffffff ffff ffff  ffff",
    );
}

#[test]
fn shares_and_budgets_of_a_plan_are_rounded_down() {
    assert_plan_bytes_and_decoded(
        &plan_with(1_234.567_89, 0.15, 1.0 / 3.0, 0.999_999),
        "d2 00 0102030405060708 11121314 21222324 31323334 01 01  02 0012d687 2666 5555  fffe",
        &plan_with(1_234.567, share(0x2666), share(0x5555), share(0xfffe)),
    );
    // In binary floating point this budget is slightly less than 1.001, so it is rounded down to 1.
    assert_plan_bytes_and_decoded(
        &plan_with(1.001, 0.5, 0.5, 0.85),
        "d2 00 0102030405060708 11121314 21222324 31323334 01 01  02 000003e8 7fff 7fff  d998",
        &plan_with(1.0, share(0x7fff), share(0x7fff), share(0xd998)),
    );
}

#[test]
fn shares_and_budgets_of_a_plan_beyond_their_range_are_clamped() {
    assert_plan_bytes_and_decoded(
        &plan_with(5_000_000.0, 1.5, f64::INFINITY, 2.0),
        "d2 00 0102030405060708 11121314 21222324 31323334 01 01  02 ffffffff ffff ffff  ffff",
        &plan_with(4_294_967.295, 1.0, 1.0, 1.0),
    );
    assert_plan_bytes_and_decoded(
        &plan_with(-1.0, -0.5, f64::NEG_INFINITY, -2.0),
        "d2 00 0102030405060708 11121314 21222324 31323334 01 01  02 00000000 0000 0000  0000",
        &plan_with(0.0, 0.0, 0.0, 0.0),
    );
    assert_plan_bytes_and_decoded(
        &plan_with(f64::NAN, f64::NAN, f64::NAN, f64::NAN),
        "d2 00 0102030405060708 11121314 21222324 31323334 01 01  02 00000000 0000 0000  0000",
        &plan_with(0.0, 0.0, 0.0, 0.0),
    );
}

#[test]
fn plan_is_encoded_with_one_share_for_each_site_when_it_has_fewer_or_more() {
    let expected_of = |shares: &str| {
        format!(
            "d2 00 0102030405060708 11121314 21222324 31323334 02 00  00 000f4240 8000 {shares}"
        )
    };
    assert_plan_bytes_and_decoded(
        &distinct_plan(2, 0, 1),
        &(expected_of("0100 0000") + "01 000f4628 8001 0110 0000"),
        &{
            let mut decoded = distinct_plan(2, 0, 1);
            decoded
                .sites
                .iter_mut()
                .for_each(|site| site.load_distribution.push(0.0));
            decoded
        },
    );
    assert_plan_bytes_and_decoded(
        &distinct_plan(2, 0, 3),
        &(expected_of("0100 0101") + "01 000f4628 8001 0110 0111"),
        &distinct_plan(2, 0, 2),
    );
}

#[test]
fn longest_plan_keeps_its_bytes_and_sites_and_classes_beyond_it_are_left_out() {
    assert_plan_bytes_and_decoded(
        &distinct_plan(9, 17, 9),
        "d2 00 0102030405060708 11121314 21222324 31323334 08 10
        00 000f4240 8000 0100 0101 0102 0103 0104 0105 0106 0107
        01 000f4628 8001 0110 0111 0112 0113 0114 0115 0116 0117
        02 000f4a10 8002 0120 0121 0122 0123 0124 0125 0126 0127
        00 000f4df8 8003 0130 0131 0132 0133 0134 0135 0136 0137
        01 000f51e0 8004 0140 0141 0142 0143 0144 0145 0146 0147
        02 000f55c8 8005 0150 0151 0152 0153 0154 0155 0156 0157
        00 000f59b0 8006 0160 0161 0162 0163 0164 0165 0166 0167
        01 000f5d98 8007 0170 0171 0172 0173 0174 0175 0176 0177
        f000 f001 f002 f003 f004 f005 f006 f007 f008 f009 f00a f00b f00c f00d f00e f00f",
        &distinct_plan(8, 16, 8),
    );
}

// Encoded load reports.

#[test]
fn load_report_keeps_its_bytes() {
    assert_load_report_bytes(
        &load_report(),
        "d2 01 05 0102 02 03
        1112 1314 1516 1718
        2122 2324 2526 2728
        3132 3334 3536",
    );
}

#[test]
fn load_report_without_sites_and_classes_keeps_its_bytes() {
    assert_load_report_bytes(&empty_load_report(), "d2 01 00 0001 00 00");
}

#[test]
fn load_report_with_the_largest_numbers_keeps_its_bytes() {
    assert_load_report_bytes(
        &load_report_with_largest_numbers(),
        "d2 01 07 ffff 01 01  ffff ffff ffff ffff  ffff",
    );
}

#[test]
fn longest_load_report_keeps_its_bytes_and_sites_and_classes_beyond_it_are_left_out() {
    assert_load_report_bytes_and_decoded(
        &distinct_load_report(9, 17),
        "d2 01 07 0102 08 10
        1100 1200 1300 1400
        1101 1201 1301 1401
        1102 1202 1302 1402
        1103 1203 1303 1403
        1104 1204 1304 1404
        1105 1205 1305 1405
        1106 1206 1306 1406
        1107 1207 1307 1407
        2100 2101 2102 2103 2104 2105 2106 2107 2108 2109 210a 210b 210c 210d 210e 210f",
        &distinct_load_report(8, 16),
    );
}

// Rejected datagrams.

const PLAN_VALUE_FIELDS: &str = "the number of sites, classes or gateways";
const LOAD_REPORT_VALUE_FIELDS: &str = "the number of sites or classes, the site or the period";
const PLAN_VALUE_MESSAGE: &str = "the number of sites, classes or gateways can't be so";
const LOAD_REPORT_VALUE_MESSAGE: &str =
    "the number of sites or classes, the site or the period can't be so";

#[test]
fn empty_datagram_is_rejected_as_short() {
    assert_rejected(&[], WireError::Short, "the datagram ends inside a field");
}

#[test]
fn other_first_byte_is_rejected_as_another_kind_or_version() {
    assert_rejected(
        &[0xd1],
        WireError::Version(0xd1),
        "first byte 0xd1 is of another kind or version",
    );
    for bytes in valid_datagrams() {
        let text = "first byte 0xc1 is of another kind or version";
        assert_rejected(&with_byte(bytes, 0, 0xc1), WireError::Version(0xc1), text);
    }
}

#[test]
fn datagram_of_either_kind_cut_anywhere_is_rejected_as_short() {
    for bytes in valid_datagrams() {
        for end in 0..bytes.len() {
            assert_rejected(
                &bytes[..end],
                WireError::Short,
                "the datagram ends inside a field",
            );
        }
    }
}

#[test]
fn trailing_bytes_are_rejected_as_long() {
    let text = "the datagram is longer than what it says";
    for bytes in valid_datagrams() {
        assert_rejected(&[&bytes[..], &[0]].concat(), WireError::Long, text);
        assert_rejected(&[&bytes[..], &[0; 200]].concat(), WireError::Long, text);
    }
    assert_rejected(
        &[encode_plan(&distinct_plan(8, 16, 8)), vec![0]].concat(),
        WireError::Long,
        text,
    );
    assert_rejected(
        &[encode_load_report(&distinct_load_report(8, 16)), vec![0]].concat(),
        WireError::Long,
        text,
    );
}

#[test]
fn unknown_kind_is_rejected_with_its_number() {
    for bytes in valid_datagrams() {
        assert_rejected(
            &with_byte(bytes.clone(), 1, 2),
            WireError::Unknown("kind", 2),
            "unknown kind 2",
        );
        assert_rejected(
            &with_byte(bytes, 1, 255),
            WireError::Unknown("kind", 255),
            "unknown kind 255",
        );
    }
}

#[test]
fn unknown_state_of_a_site_is_rejected_with_its_number() {
    let bytes = encode_plan(&plan_of_three_sites());
    assert_rejected(
        &with_byte(bytes.clone(), 24, 3),
        WireError::Unknown("state", 3),
        "unknown state 3",
    );
    assert_rejected(
        &with_byte(bytes, 24, 255),
        WireError::Unknown("state", 255),
        "unknown state 255",
    );
}

#[test]
fn plan_with_too_large_counts_or_without_gateways_is_rejected_for_its_value() {
    let bytes = encode_plan(&plan_of_three_sites());
    for (at, value) in [(22, 9), (22, 255), (23, 17), (23, 255)] {
        assert_rejected(
            &with_byte(bytes.clone(), at, value),
            WireError::Value(PLAN_VALUE_FIELDS),
            PLAN_VALUE_MESSAGE,
        );
    }
    let without_gateways = encode_plan(&Plan {
        gateway_count: 0,
        ..plan_of_three_sites()
    });
    assert_rejected(
        &without_gateways,
        WireError::Value(PLAN_VALUE_FIELDS),
        PLAN_VALUE_MESSAGE,
    );
}

#[test]
fn plan_with_valid_counts_that_differ_from_its_content_is_rejected() {
    let bytes = encode_plan(&plan_of_three_sites());
    for (at, value) in [(23, 3), (23, 16)] {
        assert_rejected(
            &with_byte(bytes.clone(), at, value),
            WireError::Short,
            "the datagram ends inside a field",
        );
    }
    let text = "the datagram is longer than what it says";
    assert_rejected(&with_byte(bytes, 23, 1), WireError::Long, text);
}

#[test]
fn plan_whose_shares_of_a_load_add_up_to_more_than_one_is_rejected_for_its_value() {
    let plan_with_shares = |units: &[u16]| {
        let shares: Vec<f64> = units.iter().map(|&units| share(units)).collect();
        encode_plan(&plan(
            vec![
                site(SiteState::Up, 1.0, 1.0, &shares),
                site(SiteState::Up, 1.0, 1.0, &shares),
            ],
            &[],
        ))
    };
    assert!(
        decode(&plan_with_shares(&[0x7fff, 0x8000])).is_ok(),
        "65,535 of 65,535 units"
    );
    let text = "where a site's load goes can't be so";
    assert_rejected(
        &plan_with_shares(&[0x8000, 0x8000]),
        WireError::Value("where a site's load goes"),
        text,
    );
}

#[test]
fn load_report_with_too_large_counts_or_site_or_without_a_period_is_rejected_for_its_value() {
    let bytes = encode_load_report(&load_report());
    for (at, value) in [(2, 8), (2, 255), (5, 9), (5, 255), (6, 17), (6, 255)] {
        assert_rejected(
            &with_byte(bytes.clone(), at, value),
            WireError::Value(LOAD_REPORT_VALUE_FIELDS),
            LOAD_REPORT_VALUE_MESSAGE,
        );
    }
    let without_period = encode_load_report(&SiteLoadReport {
        period: Milliseconds(0),
        ..load_report()
    });
    assert_rejected(
        &without_period,
        WireError::Value(LOAD_REPORT_VALUE_FIELDS),
        LOAD_REPORT_VALUE_MESSAGE,
    );
}

#[test]
fn load_report_with_valid_counts_that_differ_from_its_content_is_rejected() {
    let bytes = encode_load_report(&load_report());
    for (at, value) in [(5, 3), (5, 8), (6, 4), (6, 16)] {
        assert_rejected(
            &with_byte(bytes.clone(), at, value),
            WireError::Short,
            "the datagram ends inside a field",
        );
    }
    for (at, value) in [(5, 1), (6, 2)] {
        let text = "the datagram is longer than what it says";
        assert_rejected(&with_byte(bytes.clone(), at, value), WireError::Long, text);
    }
}

#[test]
fn datagram_is_recognized_by_the_high_half_of_its_first_byte() {
    assert!(recognizes(&[0xd2]) && recognizes(&[0xd0]) && recognizes(&[0xdf, 0x00]));
    assert!(!recognizes(&[]) && !recognizes(&[0x01, 0xd2]) && !recognizes(&[0xc2]));
}

// Values that have to be the same at all gateways.

#[test]
fn planning_task_id_keeps_its_value() {
    assert_eq!(TASK_ID, TaskId(0x5349_5445_0000_0000));
}
