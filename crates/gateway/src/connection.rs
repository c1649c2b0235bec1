//! One TCP connection: its socket, registered with the event loop as long as this lives, and a
//! buffer for each direction. What woke the event loop is appended to a list, which the main loop
//! works off after the wait.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

use crate::table::Key;
pub use buffer::Buffer;
use buffer::READ_CHUNK_BYTES;

mod buffer;

/// Why the event loop woke.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WakeReason {
    /// Clients wait to connect.
    Listener,
    /// A client's connection can be read or written.
    Client(Key),
    /// An engine's connection can be read or written.
    Engine(Key),
    /// The connection to service discovery can be read or written.
    Discovery,
    /// The disk worker of the result spool has done something.
    ResultSpool,
    /// The store's thread has made something durable, or peers have sent something.
    IntentDurability,
    /// SIGTERM or SIGINT.
    Stop,
    /// SIGHUP.
    Reload,
    /// SIGUSR1.
    LogCounters,
}

/// The state of the event loop: what woke it and was not handled yet.
pub type PendingWakes = Vec<WakeReason>;
/// By this, sockets and pings are registered with the event loop.
pub type EventLoopHandle = LoopHandle<'static, PendingWakes>;

/// Reads of one connection in a row, before others get their turn.
pub const MAX_READS_PER_TURN: usize = 16;

/// A descriptor that is registered with the event loop until this is dropped.
pub struct Watched<F: AsFd + 'static> {
    pub file: Rc<F>,
    token: RegistrationToken,
    event_loop: EventLoopHandle,
}

impl<F: AsFd + 'static> Watched<F> {
    /// Registers a descriptor, which wakes the event loop for this reason.
    pub fn new(
        event_loop: &EventLoopHandle,
        file: F,
        interest: Interest,
        wake: WakeReason,
    ) -> io::Result<Self> {
        let file = Rc::new(file);
        // Edges only: whoever is woken reads and writes until the socket would block.
        let source = Generic::new(file.clone(), interest, Mode::Edge);
        let token = event_loop
            .insert_source(source, move |_, _, wakes: &mut PendingWakes| {
                wakes.push(wake);
                Ok(PostAction::Continue)
            })
            .map_err(|e| io::Error::other(e.error.to_string()))?;
        Ok(Watched {
            file,
            token,
            event_loop: event_loop.clone(),
        })
    }
}

impl<F: AsFd + 'static> Drop for Watched<F> {
    fn drop(&mut self) {
        self.event_loop.remove(self.token);
    }
}

/// A TCP connection.
pub struct Connection {
    socket: Watched<TcpStream>,
    pub input: Buffer,
    pub output: Buffer,
    /// Bytes written to the socket since it was opened.
    pub written: u64,
    connecting: bool,
}

/// What a read brought.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    /// Bytes were appended to the input.
    Data,
    /// Nothing more for now.
    WouldBlock,
    /// The other end sends nothing more.
    Closed,
}

impl Connection {
    /// A connection that a client has made.
    pub fn accepted(
        event_loop: &EventLoopHandle,
        stream: TcpStream,
        wake: WakeReason,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::new(event_loop, stream, wake, false)
    }

    /// Begins to connect; after a wake, [`Connection::is_up`] tells whether that has succeeded.
    pub fn dial(
        event_loop: &EventLoopHandle,
        address: SocketAddr,
        wake: WakeReason,
    ) -> io::Result<Self> {
        let socket = socket2::Socket::new(
            socket2::Domain::for_address(address),
            socket2::Type::STREAM,
            None,
        )?;
        socket.set_nonblocking(true)?;
        socket.set_tcp_nodelay(true)?;
        match socket.connect(&address.into()) {
            Ok(()) => {}
            Err(e) if e.raw_os_error() == Some(rustix::io::Errno::INPROGRESS.raw_os_error()) => {}
            Err(e) => return Err(e),
        }
        Self::new(event_loop, socket.into(), wake, true)
    }

    fn new(
        event_loop: &EventLoopHandle,
        stream: TcpStream,
        wake: WakeReason,
        connecting: bool,
    ) -> io::Result<Self> {
        let socket = Watched::new(event_loop, stream, Interest::BOTH, wake)?;
        Ok(Connection {
            socket,
            input: Buffer::default(),
            output: Buffer::default(),
            written: 0,
            connecting,
        })
    }

    /// Whether the connection was established at the last check.
    pub fn was_up(&self) -> bool {
        !self.connecting
    }

    /// Checks whether the connection is established; an error if it never will be.
    pub fn is_up(&mut self) -> io::Result<bool> {
        if self.connecting {
            if let Some(error) = self.socket.file.take_error()? {
                return Err(error);
            }
            self.connecting = self.socket.file.peer_addr().is_err();
        }
        Ok(!self.connecting)
    }

    /// Reads at most one chunk and appends it to the input.
    pub fn read_available(&mut self) -> io::Result<ReadOutcome> {
        let input = self.input.tail();
        let before = input.len();
        input.resize(before + READ_CHUNK_BYTES, 0);
        let read = loop {
            match (&*self.socket.file).read(&mut input[before..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        input.truncate(before + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) => Ok(ReadOutcome::Closed),
            Ok(_) => Ok(ReadOutcome::Data),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
            Err(e) => Err(e),
        }
    }

    /// Writes as much of the output as the socket accepts.
    pub fn flush(&mut self) -> io::Result<()> {
        if self.connecting {
            return Ok(());
        }
        while !self.output.is_empty() {
            match (&*self.socket.file).write(self.output.filled()) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(count) => {
                    self.output.consume(count);
                    self.written += count as u64;
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(())
    }

    /// Half-closes the connection; what the other end sends can still be read.
    pub fn end_output(&self) {
        // It fails only where the connection has ended already, which the next read finds.
        let _ = self.socket.file.shutdown(std::net::Shutdown::Write);
    }

    /// The offset in everything that is ever written at which the buffered output ends.
    pub fn end_of_output(&self) -> u64 {
        self.written + self.output.len() as u64
    }
}

/// Whether an error states that this side has too few descriptors, addresses or memory.
pub fn is_shortage(error: &io::Error) -> bool {
    use rustix::io::Errno;
    let short = [
        Errno::MFILE,
        Errno::NFILE,
        Errno::ADDRNOTAVAIL,
        Errno::NOBUFS,
        Errno::NOMEM,
    ];
    short
        .iter()
        .any(|errno| error.raw_os_error() == Some(errno.raw_os_error()))
}

/// Listens with the longest queue that the system grants: clients that the system has accepted are
/// owed an answer.
pub fn listen(
    event_loop: &EventLoopHandle,
    address: SocketAddr,
) -> io::Result<Watched<TcpListener>> {
    let socket = socket2::Socket::new(
        socket2::Domain::for_address(address),
        socket2::Type::STREAM,
        None,
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::MAX)?;
    Watched::new(
        event_loop,
        socket.into(),
        Interest::READ,
        WakeReason::Listener,
    )
}
