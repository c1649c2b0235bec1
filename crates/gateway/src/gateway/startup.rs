//! Starts the gateway's components from the configurations of the platform and of the operator.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::io;

use eideryard::balancer::Balancer;
use eideryard::interface::{Event, Micros};
use eideryard_discovery::DiscoveryEvent;
use eideryard_operator_config::OperatorConfig;

use super::Gateway;
use crate::clients::{Clients, ClientsConfig};
use crate::clock::Clock;
use crate::config::Config;
use crate::connection::{EventLoopHandle, WakeReason};
use crate::counters::Counters;
use crate::deadlines::Deadlines;
use crate::discovery_watch::DiscoveryWatch;
use crate::engines::{Engines, Limits};
use crate::event_recorder::EventRecorder;
use crate::intent_durability::IntentDurability;
use crate::replication::ReplicationContext;
use crate::requests::{Names, Requests};
use crate::result_spool::ResultSpoolDriver;
use crate::shutdown::Shutdown;

/// File descriptors reserved for everything but client and engine connections: listener, service
/// discovery, event loop, signals, standard streams.
const OTHER_DESCRIPTORS: usize = 24;

/// A function that wakes the main loop from another thread.
type Waker = Box<dyn Fn() + Send>;

impl Gateway {
    /// Starts all components, restores the saved state and listens for clients.
    pub fn start(
        config: Config,
        operator: &OperatorConfig,
        clock: Clock,
        event_loop: &EventLoopHandle,
    ) -> io::Result<Self> {
        let now = clock.now();
        let names = Names::new(&config.settings, &config.host);
        let result_spool = start_result_spool(&config, operator, now, event_loop)?;
        let intent_durability = start_intent_durability(&config, operator, now, event_loop)?;
        let event_recorder = EventRecorder::start(
            &config.name,
            now,
            names.for_event_log(),
            operator.event_log.as_ref(),
        );
        let clients_config = ClientsConfig {
            listen_address: config.listen_address,
            max_descriptors: config.max_descriptors,
            memory_mb: config.memory_mb,
            records_changes: event_recorder.is_enabled(),
            accepts_result_queries: result_spool.is_some(),
        };
        let mut gateway = Gateway {
            clients: Clients::new(event_loop, &clients_config)?,
            engines: Engines::new(event_loop, engine_limits(&config)),
            discovery: DiscoveryWatch::new(
                event_loop,
                config.discovery_address,
                config.initial_endpoints.last_number,
                config.host.dial_timeout,
                config.seed,
            ),
            requests: Requests::new(config.memory_mb),
            names,
            deadlines: Deadlines::new(),
            counters: Counters::default(),
            event_recorder,
            result_spool,
            intent_durability,
            incoming_results: BTreeSet::new(),
            events: VecDeque::new(),
            actions: Vec::new(),
            may_send_retry_after: config.settings.may_send_retry_after,
            longest_wait: config.host.longest_wait,
            engine_names: BTreeMap::new(),
            last_listed: BTreeMap::new(),
            last_endpoints: BTreeMap::new(),
            client_events: Vec::new(),
            engine_events: Vec::new(),
            shutdown: Shutdown::default(),
            balancer: Balancer::new(config.settings, config.seed, now),
            clock,
        };
        gateway.load_initial_state(config.initial_endpoints.events, now);
        tracing::info!("{} listens on {}", config.name, gateway.clients.address()?);
        Ok(gateway)
    }

    /// Passes the engines listed in the configuration and the restored checkpoint to the balancer,
    /// and connects to service discovery.
    fn load_initial_state(&mut self, known_items: Vec<DiscoveryEvent>, now: Micros) {
        self.record_state();
        for item in known_items {
            self.handle_discovery_item(item);
        }
        self.discovery
            .connect(now, &mut self.deadlines, &mut self.counters);
        self.run_balancer();
        // The checkpoint follows the endpoints, because the balancer matches it with existing
        // engines.
        self.restore_checkpoint();
        self.run_balancer();
    }

    /// Passes the estimates that this gateway's previous process saved to the balancer.
    fn restore_checkpoint(&mut self) {
        let Some(intent_durability) = &mut self.intent_durability else {
            return;
        };
        if let Some((learned, age)) = intent_durability.take_restored_state() {
            self.events
                .push_back(Event::CheckpointRestored { learned, age });
        }
    }
}

fn engine_limits(config: &Config) -> Limits {
    let connections = (config.max_descriptors / 2).saturating_sub(OTHER_DESCRIPTORS);
    Limits {
        dial_timeout: config.host.dial_timeout,
        idle_timeout: config.host.idle_timeout,
        progress_interval: config.settings.progress_interval,
        max_streams: config.host.max_streams,
        max_connections: connections.max(1),
    }
}

fn start_result_spool(
    config: &Config,
    operator: &OperatorConfig,
    now: Micros,
    event_loop: &EventLoopHandle,
) -> io::Result<Option<Box<ResultSpoolDriver>>> {
    let Some(spool_config) = &operator.spool else {
        return Ok(None);
    };
    let waker = waker(event_loop, WakeReason::ResultSpool)?;
    let result_spool = ResultSpoolDriver::start(&config.name, now, spool_config, waker)?;
    Ok(Some(Box::new(result_spool)))
}

fn start_intent_durability(
    config: &Config,
    operator: &OperatorConfig,
    now: Micros,
    event_loop: &EventLoopHandle,
) -> io::Result<Option<Box<IntentDurability>>> {
    let Some(store_config) = &operator.store else {
        return Ok(None);
    };
    // The seed must differ between gateways and between starts. The configured seed alone is the
    // same after a restart.
    let seed = config.seed ^ now.rotate_left(23) ^ u64::from(std::process::id());
    let store_waker = waker(event_loop, WakeReason::IntentDurability)?;
    let (mut intent_durability, recovered) = IntentDurability::start(
        store_config,
        &config.settings,
        config.memory_mb,
        now,
        seed,
        store_waker,
    );
    if let Some(fleet_config) = &operator.fleet {
        let peers_waker = waker(event_loop, WakeReason::IntentDurability)?;
        let context = ReplicationContext {
            name: &config.name,
            settings: &config.settings,
            longest_wait: config.host.longest_wait,
            max_replicas: IntentDurability::max_replicas(config.memory_mb),
            now,
            seed,
        };
        intent_durability.join_fleet(
            fleet_config,
            store_config,
            context,
            recovered,
            peers_waker,
        )?;
    }
    Ok(Some(Box::new(intent_durability)))
}

/// Creates a function with which another thread can wake the main loop; `reason` is reported to
/// [`Gateway::poll`].
fn waker(event_loop: &EventLoopHandle, reason: WakeReason) -> io::Result<Waker> {
    let (ping, source) = calloop::ping::make_ping()?;
    event_loop
        .insert_source(source, move |(), _, wakes| wakes.push(reason))
        .map_err(io::Error::other)?;
    Ok(Box::new(move || ping.ping()))
}
