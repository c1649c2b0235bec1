//! An engine, a bulletin and a client whose connections a test controls step by step. Every wait
//! ends after [`PATIENCE`], so that a failing test doesn't hang.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::Duration;

mod client;

pub use client::{call, forget, parse_answer, read_answer, Answer, Client};

/// Timeout of every read, and of accepting a connection.
pub const PATIENCE: Duration = Duration::from_secs(20);

/// Returns an address on loopback at which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
    listener
        .local_addr()
        .expect("a listening socket has an address")
}

fn configure_stream(stream: TcpStream) -> io::Result<TcpStream> {
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(PATIENCE))?;
    Ok(stream)
}

/// Returns whether an error means that a read or an accept has timed out.
pub fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Asserts that a read failed because the gateway has closed the connection, not because it timed
/// out.
fn assert_closed(error: &io::Error) {
    assert!(
        !is_timeout(error),
        "the gateway should have closed the connection: {error}"
    );
}

// ---- Engines ----

/// An engine that a test controls.
pub struct Engine {
    /// The listening socket. Accepting on it times out after [`PATIENCE`].
    pub listener: TcpListener,
}

/// The engine's end of a connection that a gateway has opened.
pub struct EngineConnection {
    stream: BufReader<TcpStream>,
}

/// A command that a gateway has sent to an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Command {
    /// The words in the first line of the command, without the spaces between them.
    pub words: Vec<String>,
    /// The bytes after the first line: the statement of a `serve`, empty otherwise.
    pub payload: Vec<u8>,
}

impl Command {
    /// Returns the first word, such as `serve` or `cancel`.
    pub fn verb(&self) -> &str {
        &self.words[0]
    }

    /// Returns the id of the attempt that the command refers to.
    pub fn id(&self) -> &str {
        &self.words[1]
    }

    /// Returns the value of a field in a `serve`; `None` if the command has no such field.
    pub fn field(&self, name: &str) -> Option<&str> {
        let pairs = self
            .words
            .get(2)?
            .split(',')
            .filter_map(|pair| pair.split_once('='));
        pairs
            .into_iter()
            .find(|(field_name, _)| *field_name == name)
            .map(|(_, value)| value)
    }
}

impl Engine {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(address: &str) -> io::Result<Self> {
        Self::from_listener(TcpListener::bind(address)?)
    }

    fn from_listener(listener: TcpListener) -> io::Result<Self> {
        // Accepted connections inherit the timeout.
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE))?;
        Ok(Engine { listener })
    }

    /// Creates an engine whose queue of new connections is full: connecting to the engine succeeds
    /// only after [`FullQueueEngine::free_queue`].
    ///
    /// # Errors
    ///
    /// Returns an error if the socket can't be created or bound, or the queue can't be filled.
    pub fn with_full_queue() -> io::Result<FullQueueEngine> {
        let socket = socket2::Socket::new(socket2::Domain::IPV4, socket2::Type::STREAM, None)?;
        socket.bind(&SocketAddr::from(([127, 0, 0, 1], 0)).into())?;
        // The operating system queues one connection more than the given number.
        socket.listen(0)?;
        let mut full_queue_engine = FullQueueEngine {
            engine: Engine::from_listener(socket.into())?,
            queue_filler: None,
        };
        full_queue_engine.fill_queue()?;
        Ok(full_queue_engine)
    }

    /// Returns the address at which the socket listens.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a listening socket has an address")
    }

    /// Answers all commands in background threads, until no connection has arrived for
    /// [`PATIENCE`]. Each query's result has the given number of pages, which are all the same.
    pub fn answer_all(self, pages: usize, page: String) {
        self.answer_until(Arc::new(AtomicBool::new(true)), pages, page);
    }

    /// Answers all commands like [`Engine::answer_all`], but ends only when no connection has
    /// arrived for [`PATIENCE`] and `stop` is set.
    pub fn answer_until(self, stop: Arc<AtomicBool>, pages: usize, page: String) {
        std::thread::spawn(move || loop {
            let mut end = match self.accept() {
                Ok(end) => end,
                Err(e) if is_timeout(&e) && !stop.load(Ordering::Relaxed) => continue,
                Err(_) => return,
            };
            let page = page.clone();
            std::thread::spawn(move || while end.answer_next(pages, &page).is_ok() {});
        });
    }

    /// Accepts the next connection.
    ///
    /// # Errors
    ///
    /// Returns an error if none arrives within [`PATIENCE`].
    pub fn accept(&self) -> io::Result<EngineConnection> {
        let (stream, _) = self.listener.accept()?;
        Ok(EngineConnection {
            stream: BufReader::new(configure_stream(stream)?),
        })
    }
}

/// An engine whose queue of new connections is full, so connection attempts to it wait.
pub struct FullQueueEngine {
    /// The engine, which can accept connections once the queue is free.
    pub engine: Engine,
    /// The connection that fills the queue; `None` while the queue is free.
    queue_filler: Option<TcpStream>,
}

impl FullQueueEngine {
    /// Fills the queue: from now on connection attempts wait.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection that fills it can't be opened.
    pub fn fill_queue(&mut self) -> io::Result<()> {
        self.queue_filler = Some(TcpStream::connect(self.engine.address())?);
        Ok(())
    }

    /// Frees the queue: waiting connection attempts succeed.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection that fills the queue can't be accepted.
    pub fn free_queue(&mut self) -> io::Result<()> {
        self.queue_filler = None;
        self.engine.listener.accept().map(|_| ())
    }
}

impl EngineConnection {
    /// Reads the next command.
    ///
    /// # Errors
    ///
    /// Returns an error if no command arrives within [`PATIENCE`] or the command is malformed; an
    /// error of kind `UnexpectedEof` means that the gateway has closed the connection.
    pub fn command(&mut self) -> io::Result<Command> {
        let mut line = String::new();
        if self.stream.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let words: Vec<String> = line.trim_end().split(' ').map(str::to_string).collect();
        let mut payload = Vec::new();
        if words[0] == "serve" {
            let length: usize = words[3].parse().map_err(io::Error::other)?;
            payload.resize(length + 2, 0);
            self.stream.read_exact(&mut payload)?;
            payload.truncate(length);
        }
        Ok(Command { words, payload })
    }

    /// Answers a command.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn answer(&mut self, id: &str, word: &str, fields: &str, payload: &str) -> io::Result<()> {
        let text = format!("{id} {word} {fields} {}\r\n{payload}\r\n", payload.len());
        self.stream.get_mut().write_all(text.as_bytes())
    }

    /// Reads the next command and answers it. Results have the given number of pages.
    fn answer_next(&mut self, pages: usize, page: &str) -> io::Result<()> {
        let command = self.command()?;
        match command.verb() {
            "serve" => self.answer(command.id(), "OK", &format!("count={pages}"), page),
            "gauges" | "health" => self.answer(command.id(), "UP", "report=inflight:0", ""),
            "read" => self.answer(
                command.id(),
                "ROWS",
                &format!("pos={}", command.words[2]),
                page,
            ),
            _ => Ok(()),
        }
    }

    /// Writes the given bytes unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.get_mut().write_all(bytes)
    }

    /// Skips commands until the gateway closes the connection.
    ///
    /// # Panics
    ///
    /// If the gateway doesn't close the connection within [`PATIENCE`] after a command.
    pub fn until_closed(&mut self) {
        loop {
            if let Err(e) = self.command() {
                return assert_closed(&e);
            }
        }
    }
}

// ---- The bulletin ----

/// Service discovery that a test controls.
pub struct Bulletin {
    /// The listening socket. Accepting on it times out after [`PATIENCE`].
    pub listener: TcpListener,
}

/// A streamed response to a gateway that watches the endpoint list.
pub struct BulletinStream {
    stream: TcpStream,
    /// The `Last-Event-ID` in the gateway's request; 0 if there was none.
    pub after: u64,
}

impl Bulletin {
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub fn listen(address: &str) -> io::Result<Self> {
        let listener = TcpListener::bind(address)?;
        socket2::SockRef::from(&listener).set_read_timeout(Some(PATIENCE))?;
        Ok(Bulletin { listener })
    }

    /// Returns the address at which the socket listens.
    pub fn address(&self) -> SocketAddr {
        self.listener
            .local_addr()
            .expect("a listening socket has an address")
    }

    /// Accepts the next connection, reads its request and begins the response.
    ///
    /// # Errors
    ///
    /// Returns an error if none arrives within [`PATIENCE`] or the connection is broken.
    pub fn accept(&self) -> io::Result<BulletinStream> {
        let (stream, _) = self.listener.accept()?;
        let mut lines = BufReader::new(configure_stream(stream)?);
        let mut after = 0;
        loop {
            let mut line = String::new();
            if lines.read_line(&mut line)? <= 2 {
                break;
            }
            if let Some(("Last-Event-ID", number)) = line.trim_end().split_once(": ") {
                after = number.parse().map_err(io::Error::other)?;
            }
        }
        let mut stream = lines.into_inner();
        stream
            .write_all(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: hello\n\n")?;
        Ok(BulletinStream { stream, after })
    }
}

impl BulletinStream {
    /// Sends an event of the endpoint list.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn event(&mut self, number: u64, data: &str) -> io::Result<()> {
        self.stream
            .write_all(format!("id: {number}\ndata: {data}\n\n").as_bytes())
    }

    /// Writes the given bytes unchanged.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn write_raw(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes a comment, which keeps the stream alive.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection is broken.
    pub fn comment(&mut self) -> io::Result<()> {
        self.stream.write_all(b": still here\n\n")
    }

    /// Waits until the gateway closes the connection. Returns false if it sends something or
    /// doesn't close it within [`PATIENCE`].
    pub fn wait_for_close(&mut self) -> bool {
        matches!(self.stream.read(&mut [0]), Ok(0))
    }
}
