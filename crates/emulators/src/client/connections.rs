//! Connections of a load: choosing and opening them, and reading answers.

use super::*;

impl Load {
    /// Returns the running gateways that the load may use, in the order in which the client tries
    /// to connect to them.
    pub(super) fn candidate_gateways(
        &self,
        retry_target: Option<(SharedName, RetryTarget)>,
    ) -> Vec<(SharedName, SocketAddr)> {
        let gateways = self.gateways.borrow();
        let is_allowed = |name: &str| {
            self.spec
                .gateway
                .as_ref()
                .is_none_or(|gateway| gateway == name)
        };
        let mut gateways: Vec<(SharedName, SocketAddr)> = gateways
            .iter()
            .filter(|(name, _)| is_allowed(name))
            .map(|(name, at)| (name.as_str().into(), *at))
            .collect();
        rand::seq::SliceRandom::shuffle(&mut gateways[..], &mut *self.rng.borrow_mut());
        match retry_target {
            Some((gateway, RetryTarget::Same)) => gateways.retain(|(name, _)| *name == gateway),
            // The previous gateway is tried last.
            Some((gateway, RetryTarget::Other)) => {
                gateways.sort_by_key(|(name, _)| *name == gateway);
            }
            _ => {}
        }
        gateways
    }

    /// Returns a connection that has room for a request, to a randomly chosen gateway. If a gateway
    /// can't be reached, nothing was sent to it, and the client connects to the next one.
    pub(super) async fn acquire_connection(
        self: &Rc<Self>,
        retry_target: Option<(SharedName, RetryTarget)>,
    ) -> Option<Rc<Connection>> {
        self.connections
            .borrow_mut()
            .retain(|connection| !connection.is_closed.get());
        let candidates = self.candidate_gateways(retry_target);
        let max_per_gateway = self.spec.connections.div_ceil(candidates.len().max(1));
        let has_room = |connection: &Rc<Connection>| {
            connection.open_requests.borrow().len() < MAX_OPEN_REQUESTS
        };
        for (gateway, address) in candidates {
            let existing: Vec<Rc<Connection>> = self
                .connections
                .borrow()
                .iter()
                .filter(|connection| connection.gateway == gateway)
                .cloned()
                .collect();
            if existing.len() >= max_per_gateway {
                self.next_connection.set(self.next_connection.get() + 1);
                let from = self.next_connection.get() % existing.len();
                let mut connections = existing.iter().cycle().skip(from).take(existing.len());
                match connections.find(|connection| has_room(connection)) {
                    Some(connection) => return Some(connection.clone()),
                    None => continue,
                }
            }
            let Ok(stream) = self.connect(address).await else {
                continue;
            };
            let (read, write) = stream.into_split();
            let connection = Rc::new(Connection {
                gateway,
                write: tokio::sync::Mutex::new(write),
                open_requests: RefCell::new(BTreeMap::new()),
                last_number: Cell::new(0),
                is_closed: Cell::new(false),
                cancelled: RefCell::default(),
            });
            self.connections.borrow_mut().push(connection.clone());
            let (load, read_connection) = (self.clone(), connection.clone());
            spawn_local(async move {
                // Whether by an error or by the end of the stream, no more answers arrive.
                let _ = load.read_answers(read, &read_connection).await;
                read_connection.close();
            });
            return Some(connection);
        }
        None
    }

    pub(super) async fn connect(&self, address: SocketAddr) -> io::Result<TcpStream> {
        let socket = TcpSocket::new_v4()?;
        socket.bind(SocketAddr::new(self.spec.from, 0))?;
        let stream = timeout(CONNECT_TIMEOUT, socket.connect(address)).await??;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    pub(super) async fn read_answers(
        &self,
        mut read: OwnedReadHalf,
        connection: &Connection,
    ) -> io::Result<()> {
        let (mut bytes, mut chunk) = (Vec::new(), vec![0; 64 << 10]);
        loop {
            let count = read.read(&mut chunk).await?;
            if count == 0 {
                return Ok(());
            }
            bytes.extend_from_slice(&chunk[..count]);
            while let Some((answer, used)) = parse_answer(&bytes)? {
                bytes.drain(..used);
                self.handle_answer(connection, answer);
            }
        }
    }

    pub(super) fn handle_answer(&self, connection: &Connection, answer: Answer) {
        let number = match &answer {
            Answer::Result { id, .. }
            | Answer::Part { id, .. }
            | Answer::Error { id, .. }
            | Answer::Health { id, .. } => *id,
        };
        let Some((id, rows, end_sender)) = connection.open_requests.borrow_mut().remove(&number)
        else {
            if connection.cancelled.borrow_mut().remove(&number) {
                return;
            }
            let text = format!("{}: an answer that nothing waits for", self.spec.name);
            let mut ledger = self.ledger.borrow_mut();
            let (load, gateway) = (self.name.clone(), connection.gateway.clone());
            ledger.record_event(|| Event::UnexpectedAnswer { load, gateway });
            return ledger.record_violation(text);
        };
        let end = match answer {
            Answer::Result { body, .. } => {
                if body != pages(&id, rows).concat().into_bytes() {
                    let text = format!("{}: {id} got what no engine made for it", self.spec.name);
                    let mut ledger = self.ledger.borrow_mut();
                    ledger.record_event(|| Event::WrongResult { id: parse_id(&id) });
                    ledger.record_violation(text);
                }
                self.update_answers(|answers| answers.served += 1);
                self.record_try_end(&id, TryOutcome::Served, None);
                TryEnd::Final
            }
            Answer::Error { word, fields, .. } if word == "TryLater" => {
                let wait = fields
                    .iter()
                    .find(|(name, _)| name == "w")
                    .and_then(|(_, value)| value.parse().ok());
                self.update_answers(|answers| {
                    answers.refused += 1;
                    answers.advised += wait.is_some() as u64;
                });
                self.record_try_end(&id, TryOutcome::Refused, wait);
                TryEnd::Refused(wait)
            }
            _ => {
                self.update_answers(|answers| answers.failed += 1);
                self.record_try_end(&id, TryOutcome::Failed, None);
                TryEnd::Final
            }
        };
        // The request's task may have timed out meanwhile.
        let _ = end_sender.send(end);
    }
}
