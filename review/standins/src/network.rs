//! Loopback addresses of one run.

use std::net::Ipv4Addr;
use std::net::SocketAddrV4;
use std::net::TcpListener;

/// Ports of the processes, the same on every instance.
pub const PEER_PORT: u16 = 7500;
pub const GATEWAY_PORT: u16 = 7515;
pub const OPERATOR_PORT: u16 = 8367;
pub const CLIENT_PORT: u16 = 8360;
pub const READINESS_PORT: u16 = 8365;
pub const LIST_PORT: u16 = 8361;
pub const WORKER_PORT: u16 = 8080;

/// A /24 of the loopback network that no other run uses.
#[derive(Clone, Copy, Debug)]
pub struct Subnet([u8; 2]);

impl Subnet {
    /// Finds a subnet whose list address is free; the list stand-in binds it for the whole run.
    pub fn find() -> Result<(Self, TcpListener), String> {
        let start = std::process::id();
        for attempt in 0..200 {
            let number = start.wrapping_mul(31).wrapping_add(attempt * 7919);
            let subnet = Self([1 + (number % 200) as u8, (number / 200 % 250) as u8]);
            if let Ok(listener) = TcpListener::bind(subnet.address(200, LIST_PORT)) {
                return Ok((subnet, listener));
            }
        }
        Err("no free loopback subnet".to_owned())
    }

    pub fn ip(self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.0[0], self.0[1], host)
    }

    pub fn address(self, host: u8, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), port)
    }
}
