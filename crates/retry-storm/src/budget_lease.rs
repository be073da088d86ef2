//! A cold host's budget, shared by gateways that may not hear each other.
//!
//! Of each such host's budget every gateway owns the same part, and lends what it does not use until a stated time. What
//! is lent its owner does not use before the loan has lapsed, whether or not the message arrives; so the sum of what all
//! may send never exceeds the budget, under any loss, delay, repetition or death. It needs a clock that all read, with a
//! margin for its error, and nothing else.

use crate::{Ns, MS};
use std::collections::BTreeMap;

/// Longest loan. A gateway that has started waits so long before it uses its own part: an earlier process of it may have
/// lent it, and does not remember.
pub const LONGEST: Ns = 500 * MS;
/// Most by which two gateways' clocks differ.
pub const MARGIN: Ns = 20 * MS;
/// Loans that are kept from all senders together. Danger: what comes from outside is bounded.
const MOST: usize = 1024;

/// A part of a host's budget, lent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Loan {
    /// The borrower.
    pub to: u16,
    /// The lender's number for it, never used twice within the longest loan.
    pub number: u32,
    /// How much, in the units of the owners' parts.
    pub amount: u32,
    /// Until when.
    pub until: Ns,
}

/// Why a loan is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// It is for another gateway.
    Misled,
    /// It has lapsed.
    Lapsed,
    /// It runs longer than any may.
    TooLong,
    /// More than its sender has.
    TooMuch,
    /// It is known already.
    Known,
    /// No room for more.
    Full,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lent {
    amount: u32,
    /// When it is its owner's again.
    back: Ns,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Borrowed {
    amount: u32,
    until: Ns,
}

/// What one gateway may send to one host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Part {
    me: u16,
    own: u32,
    quiet_until: Ns,
    lent: Vec<Lent>,
    borrowed: BTreeMap<(u16, u32), Borrowed>,
    next: u32,
}

impl Part {
    /// A gateway that starts: it owns this much, and uses none of it before what it may have lent has lapsed. `first` is
    /// the first number of its loans; a random one, so that an earlier process's are not taken for these.
    pub fn new(me: u16, own: u32, now: Ns, first: u32) -> Self {
        Part {
            me,
            own,
            quiet_until: now + LONGEST + MARGIN,
            lent: Vec::new(),
            borrowed: BTreeMap::new(),
            next: first,
        }
    }

    /// One for a host of which this gateway was told at a time when it had run for long: nothing of it can be lent yet.
    pub fn fresh(me: u16, own: u32, now: Ns, first: u32) -> Self {
        Part {
            quiet_until: now,
            ..Part::new(me, own, now, first)
        }
    }

    /// Of its own part what it may use or lend.
    pub fn free(&self, now: Ns) -> u32 {
        if now < self.quiet_until {
            return 0;
        }
        let out: u32 = self
            .lent
            .iter()
            .filter(|l| now < l.back)
            .map(|l| l.amount)
            .sum();
        self.own.saturating_sub(out)
    }

    /// What it may use in all.
    pub fn may(&self, now: Ns) -> u32 {
        let borrowed = self
            .borrowed
            .values()
            .filter(|b| now < b.until)
            .map(|b| b.amount);
        self.free(now) + borrowed.sum::<u32>()
    }

    /// Lends a part; from this moment it is not used here. Nothing where there is not so much.
    pub fn lend(&mut self, now: Ns, to: u16, amount: u32, long: Ns) -> Option<Loan> {
        self.tidy(now);
        if to == self.me
            || amount == 0
            || amount > self.free(now)
            || !(1..=LONGEST).contains(&long)
            || self.lent.len() >= MOST
        {
            return None;
        }
        let until = now + long;
        self.lent.push(Lent {
            amount,
            back: until + MARGIN,
        });
        self.lent.sort_by_key(|l| (l.back, l.amount));
        let loan = Loan {
            to,
            number: self.next,
            amount,
            until,
        };
        self.next = self.next.wrapping_add(1);
        Some(loan)
    }

    /// A loan comes from a gateway, whose address has been checked.
    ///
    /// # Errors
    /// Where it is not taken: why.
    pub fn hear(&mut self, now: Ns, from: u16, loan: Loan) -> Result<(), Refused> {
        self.tidy(now);
        if loan.to != self.me || from == self.me {
            return Err(Refused::Misled);
        }
        if loan.until <= now {
            return Err(Refused::Lapsed);
        }
        if loan.until > now + LONGEST + MARGIN {
            return Err(Refused::TooLong);
        }
        if self.borrowed.contains_key(&(from, loan.number)) {
            return Err(Refused::Known);
        }
        let of_sender = self
            .borrowed
            .range((from, 0)..=(from, u32::MAX))
            .map(|(_, b)| b.amount);
        // Whatever a sender says, it has no more than its part.
        if loan.amount == 0 || of_sender.sum::<u32>().saturating_add(loan.amount) > self.own {
            return Err(Refused::TooMuch);
        }
        if self.borrowed.len() >= MOST {
            return Err(Refused::Full);
        }
        self.borrowed.insert(
            (from, loan.number),
            Borrowed {
                amount: loan.amount,
                until: loan.until,
            },
        );
        Ok(())
    }

    fn tidy(&mut self, now: Ns) {
        self.lent.retain(|l| now < l.back);
        self.borrowed.retain(|_, b| now < b.until);
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::SECOND;

    #[test]
    fn what_is_lent_is_used_by_one_of_the_two() {
        let (mut a, mut b) = (
            Part::fresh(0, 100, SECOND, 7),
            Part::fresh(1, 100, SECOND, 9),
        );
        let loan = a.lend(SECOND, 1, 60, 300 * MS).expect("a loan");
        assert_eq!((a.may(SECOND), b.may(SECOND)), (40, 100));
        assert_eq!(b.hear(SECOND + 5 * MS, 0, loan), Ok(()));
        assert_eq!(b.hear(SECOND + 6 * MS, 0, loan), Err(Refused::Known));
        assert_eq!(b.may(SECOND + 6 * MS), 160);
        let end = loan.until;
        assert_eq!((a.may(end - 1), b.may(end - 1)), (40, 160));
        assert_eq!(
            (a.may(end), b.may(end)),
            (40, 100),
            "neither, for the margin"
        );
        assert_eq!(a.may(end + MARGIN), 100);
    }

    #[test]
    fn a_loan_that_cannot_be_is_refused() {
        let mut b = Part::fresh(1, 100, 0, 0);
        let loan = Loan {
            to: 1,
            number: 1,
            amount: 50,
            until: 100 * MS,
        };
        assert_eq!(b.hear(0, 0, Loan { to: 2, ..loan }), Err(Refused::Misled));
        assert_eq!(b.hear(0, 1, loan), Err(Refused::Misled), "from itself");
        assert_eq!(b.hear(100 * MS, 0, loan), Err(Refused::Lapsed));
        assert_eq!(
            b.hear(
                0,
                0,
                Loan {
                    until: SECOND,
                    ..loan
                }
            ),
            Err(Refused::TooLong)
        );
        assert_eq!(
            b.hear(
                0,
                0,
                Loan {
                    amount: 101,
                    ..loan
                }
            ),
            Err(Refused::TooMuch)
        );
        assert_eq!(b.hear(0, 0, loan), Ok(()));
        assert_eq!(
            b.hear(
                0,
                0,
                Loan {
                    number: 2,
                    amount: 51,
                    ..loan
                }
            ),
            Err(Refused::TooMuch),
            "in all"
        );
        assert_eq!(
            b.hear(0, 2, Loan { number: 1, ..loan }),
            Ok(()),
            "another sender's"
        );
    }

    #[test]
    fn who_has_started_uses_nothing_until_its_loans_have_lapsed() {
        let mut a = Part::new(0, 100, SECOND, 0);
        assert_eq!(
            (a.may(SECOND + LONGEST), a.lend(SECOND, 1, 1, MS)),
            (0, None)
        );
        assert_eq!(a.may(SECOND + LONGEST + MARGIN), 100);
        assert_eq!(a.lend(2 * SECOND, 1, 1, LONGEST + 1), None);
        assert_eq!(a.lend(2 * SECOND, 0, 1, MS), None, "to itself");
    }
}
