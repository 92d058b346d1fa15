//! Tests of reserved addresses for processes that start later.

use std::collections::BTreeSet;
use std::net::TcpListener;

use googletest::prelude::*;

use crate::setup::ReservedAddress;

/// Enough sockets that the system would assign the reserved port to one of them if it were free.
const OTHER_SOCKETS: usize = 2_000;

#[googletest::test]
#[tokio::test]
async fn a_reserved_address_is_assigned_to_no_other_socket_and_can_be_listened_on() {
    let reserved = ReservedAddress::new();
    let others: Vec<_> = (0..OTHER_SOCKETS)
        .map(|_| TcpListener::bind("127.0.0.1:0").expect("a free port"))
        .collect();
    let others: BTreeSet<_> = others
        .iter()
        .map(|other| other.local_addr().expect("the socket is bound").to_string())
        .collect();
    expect_that!(others.contains(&reserved.address), eq(false));
    let owner = TcpListener::bind(&reserved.address);
    expect_that!(owner.is_ok(), eq(true));
}
