//! How a customer's quota is kept over hundreds of gateways that each see little of it.
//!
//! A few gateways, its homes, keep the quota in parts ([`Keeper`]); who sees a try asks one. What a home says is remembered by
//! who asked ([`Memory`]): until when nothing can be had, so that tries till then are turned away here and at once, without
//! a word; and how full the part was, so that a home that has lost its state, or a gateway that hears no home, can go by that.
//!
//! A home also lends: a rate, for a while, to who has asked often ([`Lease`]), which is used without a word and goes on
//! where no home is heard.
//!
//! No input or output; time, in µs, is an argument.
//!
//! ```
//! use saffronpaddle_quota::{Ask, Keeper, Start, Terms, Verdict};
//! let terms = Terms { rate: 2.0, depth: 4.0, at_once: None, ceiling: None };
//! let mut home = Keeper::open(0, Start::Full, 0, &terms);
//! let ask = |serial| Ask { from: 7, serial, units: 3.0 };
//! assert_eq!(home.ask(0, ask(1), &terms, 200_000).verdict, Verdict::Granted);
//! let said = home.ask(0, ask(2), &terms, 200_000);
//! assert_eq!((said.verdict, said.wait), (Verdict::Short, 1_000_000), "two of three units are missing, at two a second");
//! ```
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod keeper;
mod lease;
mod memory;

pub use keeper::{Ask, Keeper, Said, Start, Terms, Verdict, GRANT_LIFE};
pub use lease::{Held, Lease, Lender, Wish, DRIFT, LEASE};
pub use memory::Memory;

/// A time or a span, in microseconds.
pub type Micros = u64;
