//! One TCP connection: its socket, known to the event loop as long as this lives, and a buffer each
//! way. What woke the loop is put on a list, which the host works off after the wait.

use calloop::generic::Generic;
use calloop::{Interest, LoopHandle, Mode, PostAction, RegistrationToken};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::os::fd::AsFd;
use std::rc::Rc;

use crate::table::Key;

/// What there is to look at.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WakeReason {
    Listener,
    Client(Key),
    Engine(Key),
    Discovery,
    /// The spool's worker has done something.
    ResultSpool,
    /// The store's thread has made something durable.
    IntentDurability,
    Stop,
    Reload,
    LogCounters,
}

/// The state of the event loop: what woke it.
pub type PendingWakes = Vec<WakeReason>;
pub type EventLoopHandle = LoopHandle<'static, PendingWakes>;

/// The most that is read at once, and the capacity that an emptied buffer keeps.
const READ_CHUNK_BYTES: usize = 16 << 10;
/// Reads of one connection in a row, before others get their turn.
pub const MAX_READS_PER_TURN: usize = 16;

/// Bytes that came in and weren't used yet, or are to go out; one allocation, compacted in place.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
    start: usize,
}

impl Buffer {
    pub fn filled(&self) -> &[u8] {
        &self.bytes[self.start..]
    }

    pub fn len(&self) -> usize {
        self.bytes.len() - self.start
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    pub fn clear(&mut self) {
        self.consume(self.len());
    }

    /// To write behind what is there.
    pub fn tail(&mut self) -> &mut Vec<u8> {
        &mut self.bytes
    }

    /// Takes bytes out of the middle, counted from the start of what is there.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.bytes.drain(self.start + from..self.start + to);
    }

    pub fn consume(&mut self, count: usize) {
        self.start += count;
        if self.start == self.bytes.len() {
            self.start = 0;
            self.bytes.clear();
            self.bytes.shrink_to(READ_CHUNK_BYTES);
        } else if self.start >= self.bytes.len() / 2 {
            self.bytes.copy_within(self.start.., 0);
            self.bytes.truncate(self.bytes.len() - self.start);
            self.start = 0;
        }
    }
}

/// What the event loop knows of a descriptor; dropping this ends that.
pub struct Watched<F: AsFd + 'static> {
    pub file: Rc<F>,
    token: RegistrationToken,
    event_loop: EventLoopHandle,
}

impl<F: AsFd + 'static> Watched<F> {
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

pub struct Connection {
    socket: Watched<TcpStream>,
    pub input: Buffer,
    pub output: Buffer,
    /// Bytes written to the socket since it was opened.
    pub written: u64,
    connecting: bool,
}

/// What a read found.
#[derive(Debug, PartialEq)]
pub enum ReadOutcome {
    Data,
    /// Nothing more for now.
    WouldBlock,
    Closed,
}

impl Connection {
    pub fn accepted(
        event_loop: &EventLoopHandle,
        stream: TcpStream,
        wake: WakeReason,
    ) -> io::Result<Self> {
        stream.set_nonblocking(true)?;
        stream.set_nodelay(true)?;
        Self::new(event_loop, stream, wake, false)
    }

    /// Begins to connect; the end of that shows in [`Connection::is_up`] after a wake.
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

    /// Whether the connection stood at the last look.
    pub fn was_up(&self) -> bool {
        !self.connecting
    }

    /// Whether the connection stands; an error where it never will.
    pub fn is_up(&mut self) -> io::Result<bool> {
        if self.connecting {
            if let Some(error) = self.socket.file.take_error()? {
                return Err(error);
            }
            self.connecting = self.socket.file.peer_addr().is_err();
        }
        Ok(!self.connecting)
    }

    pub fn read_available(&mut self) -> io::Result<ReadOutcome> {
        let before = self.input.bytes.len();
        self.input.bytes.resize(before + READ_CHUNK_BYTES, 0);
        let read = loop {
            match (&*self.socket.file).read(&mut self.input.bytes[before..]) {
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                read => break read,
            }
        };
        self.input
            .bytes
            .truncate(before + *read.as_ref().unwrap_or(&0));
        match read {
            Ok(0) => Ok(ReadOutcome::Closed),
            Ok(_) => Ok(ReadOutcome::Data),
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => Ok(ReadOutcome::WouldBlock),
            Err(e) => Err(e),
        }
    }

    /// Writes what it can.
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

    /// Tells the other end that nothing more comes; what it says can still be read.
    pub fn end_output(&self) {
        // It fails only where the connection has ended already, which the next read finds.
        let _ = self.socket.file.shutdown(std::net::Shutdown::Write);
    }

    /// The place in the stream at which what is buffered ends.
    pub fn end_of_output(&self) -> u64 {
        self.written + self.output.len() as u64
    }
}

/// Whether an error says that this side has too few descriptors, addresses or memory.
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

/// Listens with the deepest queue that the system grants: what the system accepted is owed an
/// answer.
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

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_buffer_is_compacted_in_place_and_shrinks_when_emptied() {
        let mut buffer = Buffer::default();
        buffer.tail().extend_from_slice(b"abcdefgh");
        buffer.consume(3);
        assert_eq!((buffer.filled(), buffer.start), (&b"defgh"[..], 3));
        buffer.cut(1, 3);
        assert_eq!(buffer.filled(), b"dgh");
        buffer.consume(1);
        assert_eq!((buffer.filled(), buffer.start), (&b"gh"[..], 0));
        buffer.tail().resize(100 * READ_CHUNK_BYTES, 0);
        buffer.clear();
        assert!(
            buffer.is_empty() && buffer.bytes.capacity() <= 2 * READ_CHUNK_BYTES,
            "{}",
            buffer.bytes.capacity()
        );
    }
}
