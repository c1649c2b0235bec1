//! Keeps an address reserved while nothing listens at it, so that a process that was killed can be
//! restarted at the same address: meanwhile the system gives the port to no other socket.

use std::io;
use std::net::SocketAddr;

use socket2::{Domain, SockAddr, Socket, Type};
use tokio::net::TcpListener;

/// Maximum number of connections that are waiting to be accepted.
const BACKLOG: i32 = 1024;

/// An address at which a process can stop listening and start again.
pub struct ReservedAddress {
    /// A socket that is bound but never listens: it only reserves the port.
    _reserving_socket: Socket,
    /// The reserved address.
    pub address: SocketAddr,
}

fn bind_reusable(address: SocketAddr) -> io::Result<Socket> {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&SockAddr::from(address))?;
    Ok(socket)
}

impl ReservedAddress {
    /// Reserves the requested address, or a port on loopback that the system chooses.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn reserve(requested: Option<SocketAddr>) -> io::Result<Self> {
        let reserving_socket =
            bind_reusable(requested.unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0))))?;
        let address = reserving_socket
            .local_addr()?
            .as_socket()
            .ok_or(io::ErrorKind::AddrNotAvailable)?;
        Ok(ReservedAddress {
            _reserving_socket: reserving_socket,
            address,
        })
    }

    /// Listens until the returned listener is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound or listened at.
    pub fn listen(&self) -> io::Result<TcpListener> {
        let socket = bind_reusable(self.address)?;
        socket.listen(BACKLOG)?;
        socket.set_nonblocking(true)?;
        TcpListener::from_std(socket.into())
    }
}
