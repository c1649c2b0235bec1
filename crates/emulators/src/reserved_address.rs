//! An address that stays this process's own while nobody listens on it: what was killed starts
//! again there, and no other socket of the machine can have been given its port meanwhile.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, SockAddr, Socket, Type};
use tokio::net::TcpListener;

/// Connections that may wait to be accepted.
const BACKLOG: i32 = 1024;

/// A listening place that can close and open again.
pub struct ReservedAddress {
    /// Bound and never listening: it only holds the port.
    _held: Socket,
    /// Where it is.
    pub address: SocketAddr,
}

fn bound(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(address))?;
    Ok(socket)
}

impl ReservedAddress {
    /// The address that is wanted, or a port that the system chooses.
    pub fn reserve(wanted: Option<SocketAddr>) -> io::Result<Self> {
        let held = bound(wanted.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))))?;
        let address = held
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress {
            _held: held,
            address,
        })
    }

    /// Listens from now on, until what it gives is dropped.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bound(self.address)?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    }
}
