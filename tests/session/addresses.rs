//! Addresses that are reserved for processes which start later.

use std::collections::BTreeSet;
use std::net::TcpListener;

use googletest::prelude::*;

use crate::setup::ReservedAddress;

/// More than the ports that the system would give out before it repeats one by chance.
const OTHERS: usize = 2_000;

#[googletest::test]
#[tokio::test]
async fn a_reserved_address_is_given_to_no_one_else_and_can_be_listened_at() {
    let reserved = ReservedAddress::new();
    let others: Vec<_> = (0..OTHERS)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let others: BTreeSet<_> = others
        .iter()
        .map(|other| other.local_addr().expect("a bound address").to_string())
        .collect();
    expect_that!(others.contains(&reserved.address), eq(false));
    let owner = TcpListener::bind(&reserved.address);
    expect_that!(owner.is_ok(), eq(true));
}
