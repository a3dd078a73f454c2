//! Guarantees checked over loopback sockets: lists arrive in time after discovery was down, no attempt is
//! made for clients that left, cold servers are not overloaded, and restarted nodes are soon ready.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The node must follow discovery's list this long after discovery can be reached again.
const MAX_DISCOVERY_DELAY: Duration = Duration::from_secs(6);

/// Lists of servers are pushed by discovery. The node has 64 descriptors.
fn pushed_lists_config(discovery: SocketAddr) -> String {
    platform_config(discovery, &NodeOptions { max_sockets: 64, ..NodeOptions::default() })
}

/// Lists of servers are requested by the node, and deadlines are 20 s.
fn requested_lists_config(discovery: SocketAddr) -> String {
    pushed_lists_config(discovery)
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("\"giveUpNs\":3000000000", "\"giveUpNs\":20000000000")
}

type PlatformConfig = fn(SocketAddr) -> String;
const DISCOVERY_MODES: [(&str, PlatformConfig); 2] =
    [("pushed", pushed_lists_config), ("requested", requested_lists_config)];

/// How calls to discovery fail while it is down.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Outage {
    Refused,
    Reset,
    Closed,
    Silence,
    ErrorStatus,
    TruncatedHead,
    InvalidList,
    EmptyWatch,
    TruncatedList,
}

const OUTAGES: [Outage; 9] = [
    Outage::Refused,
    Outage::Reset,
    Outage::Closed,
    Outage::Silence,
    Outage::ErrorStatus,
    Outage::TruncatedHead,
    Outage::InvalidList,
    Outage::EmptyWatch,
    Outage::TruncatedList,
];

impl Outage {
    /// Lets a call fail this way; calls that stay open are kept in `open`.
    fn answer(self, mut call: ReceivedCall, open: &mut Vec<ReceivedCall>) {
        match self {
            Outage::Refused | Outage::Closed => drop(call),
            Outage::Reset => call.reset(),
            Outage::Silence => open.push(call),
            Outage::ErrorStatus => {
                call.write_raw(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
            }
            Outage::TruncatedHead => {
                call.write_raw(b"HTTP/1.1 200 OK\r\nTransfer-Enc");
                open.push(call);
            }
            Outage::InvalidList => call.start_watch("these are no hosts\n"),
            Outage::EmptyWatch => {
                call.write_raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
            }
            Outage::TruncatedList => {
                call.start_watch("{\"seq\":2,\"whole\":true,\"ho");
                open.push(call);
            }
        }
    }
}

/// A change of discovery's list: the old server drains and a new one is active.
struct ListChange {
    old: Servers,
    new: Servers,
}

impl ListChange {
    fn new() -> Self {
        ListChange {
            old: Servers::new(1, |_, _| ok_reply("old")),
            new: Servers::new(1, |_, _| ok_reply("new")),
        }
    }

    fn before(&self) -> String {
        self.old.list_json(1) + "\n"
    }

    fn after(&self) -> String {
        let hosts = [
            host_json("s-0", self.old.addresses[0], "leaving"),
            host_json("s-1", self.new.addresses[0], "active"),
        ];
        list_json(2, true, &hosts) + "\n"
    }

    /// Discovery is back: answers the newest call received so far, and each later one, with the changed list.
    fn answer_calls(&self, agent: &ManualDiscovery, open: &mut Vec<ReceivedCall>) {
        let mut next = Some(agent.newest_call(open));
        while let Some(mut call) = next {
            call.start_watch(&self.after());
            open.push(call);
            next = agent.next_call_within(Duration::from_millis(200));
        }
    }

    /// Waits until the node follows the changed list, which must be in time; no request reaches the old
    /// server from then on.
    fn wait_until_followed(&self, node: &Node, reachable_since: Instant, what: &str) {
        let served = |name: &[u8]| node.post("/once/1", b"").is_some_and(|m| m.body == name);
        wait_until(what, || served(b"new"));
        assert!(
            reachable_since.elapsed() < MAX_DISCOVERY_DELAY,
            "{what}: followed after {:?}",
            reachable_since.elapsed()
        );
        let seen = self.old.request_count();
        wait_until(what, || served(b"new"));
        assert_eq!(self.old.request_count(), seen, "{what}");
    }
}

/// However calls to discovery failed during an outage of 3.5 s, its list is followed within 6 s of its return.
#[test]
fn a_list_change_is_followed_in_time_after_each_kind_of_outage() {
    let run_case = |name: &str, platform_file: PlatformConfig, outage: Outage| {
        let what = format!("{name}, {outage:?}");
        let (change, mut agent) = (ListChange::new(), ManualDiscovery::listen());
        let node = Node::start_with_platform_file(&platform_file(agent.address));
        let mut watch = agent.next_call();
        watch.start_watch(&change.before());
        node.wait_until_ready();
        drop(watch);
        let (address, down_since, mut open) = (agent.address, Instant::now(), Vec::new());
        let time_left = || Duration::from_millis(3500).saturating_sub(down_since.elapsed());
        if outage == Outage::Refused {
            agent.close();
            thread::sleep(time_left());
            agent = ManualDiscovery::listen_at(address);
        } else {
            while let Some(call) = agent.next_call_within(time_left()) {
                outage.answer(call, &mut open);
            }
        }
        let reachable_since = Instant::now();
        change.answer_calls(&agent, &mut open);
        change.wait_until_followed(&node, reachable_since, &what);
    };
    thread::scope(|all| {
        for (name, platform_file) in DISCOVERY_MODES {
            for outage in OUTAGES {
                all.spawn(move || run_case(name, platform_file, outage));
            }
        }
    });
}

/// Idle clients use all descriptors that the node has for clients while discovery is down: the list is still
/// received at its return.
#[test]
fn a_list_is_received_while_idle_clients_use_all_descriptors() {
    let run_case = |name: &str, platform_file: PlatformConfig, silent: bool| {
        let what = format!("{name}, {}", if silent { "silent" } else { "reset" });
        let (change, agent) = (ListChange::new(), ManualDiscovery::listen());
        let node = Node::start_with_platform_file(&platform_file(agent.address));
        let mut watch = agent.next_call();
        watch.start_watch(&change.before());
        node.wait_until_ready();
        drop(watch);
        let (down_since, mut open) = (Instant::now(), Vec::new());
        // Far more than the node's 64 descriptors, and more connections follow.
        let mut idle: Vec<_> = (0..200).map(|_| node.connect()).collect();
        while let Some(call) =
            agent.next_call_within(Duration::from_secs(3).saturating_sub(down_since.elapsed()))
        {
            match silent {
                true => open.push(call),
                false => call.reset(),
            }
            idle.extend((0..5).map(|_| node.connect()));
        }
        let reachable_since = Instant::now();
        change.answer_calls(&agent, &mut open);
        change.wait_until_followed(&node, reachable_since, &what);
        drop(idle);
    };
    thread::scope(|all| {
        for (name, platform_file) in DISCOVERY_MODES {
            for silent in [true, false] {
                all.spawn(move || run_case(name, platform_file, silent));
            }
        }
    });
}

/// For a client that has closed or half-closed its connection no attempt starts: neither the first, which
/// waits for a new process's first list, nor a hedge that was due.
#[test]
fn no_attempt_starts_for_a_client_that_has_left() {
    let leave = |client: TcpStream, closes: bool| match closes {
        true => drop(client),
        false => {
            half_close(&client);
            // Keep the reading half open.
            std::mem::forget(client);
        }
    };
    for closes in [true, false] {
        let servers = Servers::new(2, |_, _| ok_reply("fine"));
        let agent = ManualDiscovery::listen();
        let node = Node::start(agent.address, &NodeOptions::default());
        let mut watch = agent.next_call();
        let mut client = node.connect();
        client.write_all(&get_request("/safe/1", "")).unwrap();
        wait_until("the request is received", || node.metric("gw_outstanding") == Some(1.0));
        leave(client, closes);
        wait_until("the request has ended", || node.metric("gw_outstanding") == Some(0.0));
        watch.start_watch(&servers.list_json(1));
        node.wait_until_ready();
        // A later request is served, and is the only one that reaches a server.
        assert_eq!(node.post("/once/2", b"").unwrap().body, b"fine");
        assert_eq!(servers.request_count(), 1, "closes: {closes}");

        let servers = Servers::new(2, |_, _| Reply::NoAnswer);
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let text = platform_config(discovery.address, &NodeOptions::default());
        let node =
            Node::start_with_platform_file(&text.replace("\"secondCopies\":false", "\"secondCopies\":true"));
        node.wait_until_ready();
        let send_request = || {
            let mut client = node.connect();
            client.write_all(&get_request("/safe/1", "")).unwrap();
            client
        };
        let (client, sent_at) = (send_request(), Instant::now());
        wait_until("the first attempt has arrived", || servers.request_count() == 1);
        leave(client, closes);
        // A hedge starts half an aim, 500 ms, after the first attempt; that of another client shows when it
        // would have come.
        let other_client = send_request();
        wait_until("the other client's first attempt has arrived", || servers.request_count() >= 2);
        wait_until("the other client's hedge has arrived", || servers.request_count() >= 3);
        assert!(sent_at.elapsed() > Duration::from_millis(450), "hedges start too early");
        assert_eq!(servers.request_count(), 3, "closes: {closes}");
        drop(other_client);
    }
}

/// Processes of one fleet.
const PROCESSES: u32 = 20;
/// Requests that clients send to each process.
const REQUESTS_PER_SECOND: f64 = 10.0;
/// Servers that have long been in the list.
const WARM_SERVERS: usize = 4;
/// Servers that are added later and have just started.
const COLD_SERVERS: usize = 2;
/// How long a server works on a request: the warm servers are busy for three quarters of the time.
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// The settings' `rampTimeNs`: how long a server is cold.
const RAMP_SECONDS: f64 = 23.0;
/// The settings' `coldFrom`: the fraction of a warm server's load that a server may get at its start.
const INITIAL_SHARE: f64 = 0.14;
/// The settings' `tipMultiple`: this multiple of its share overloads a cold server.
const OVERLOAD_MULTIPLE: f64 = 3.0;
/// The settings' `fallNs`: the window in which the requests to a cold server are counted.
const OVERLOAD_WINDOW_SECONDS: f64 = 2.0;

/// Sends requests to 20 processes until 6 s after cold servers are listed, which is `listed_after` the start.
/// Returns the arrival times of the requests at each cold server, in seconds since it was listed, and the
/// fraction of all requests that was served. `born_ms` gives the start time of the cold servers in the list,
/// from the present wall-clock time, both in milliseconds.
fn run_twenty_processes(listed_after: Duration, born_ms: fn(u128) -> u128) -> (Vec<Vec<f64>>, f64) {
    // One request at a time: were the warm servers idle, no request would need a cold one.
    let new_server_script = || {
        let core = Mutex::new(());
        move || {
            let _core = core.lock().unwrap();
            thread::sleep(SERVICE_TIME);
            ok_reply("fine")
        }
    };
    let warm: Vec<_> = (0..WARM_SERVERS)
        .map(|_| {
            let reply = new_server_script();
            Servers::new(1, move |_, _| reply())
        })
        .collect();
    let host_list: Vec<_> = warm
        .iter()
        .enumerate()
        .map(|(k, s)| host_json(&format!("w-{k}"), s.addresses[0], "active"))
        .collect();
    let agents: Vec<_> =
        (0..PROCESSES).map(|_| Discovery::new(vec![list_json(1, true, &host_list)], true)).collect();
    let node = |(ordinal, agent): (usize, &Discovery)| {
        let text = platform_config(agent.address, &NodeOptions::default());
        Node::start_with_platform_file(
            &text
                .replace(
                    "\"groupSize\":1,\"ordinal\":0",
                    &format!("\"groupSize\":{PROCESSES},\"ordinal\":{ordinal}"),
                )
                .replace("8c1f30d27a5be964", &format!("8c1f30d27a5be9{:02x}", 7 * ordinal)),
        )
    };
    let nodes: Vec<_> = agents.iter().enumerate().map(node).collect();
    nodes.iter().for_each(Node::wait_until_ready);
    let started_at = Instant::now();
    let arrivals: Vec<Arc<Mutex<Vec<Instant>>>> = (0..COLD_SERVERS).map(|_| Arc::default()).collect();
    let cold: Vec<_> = arrivals
        .iter()
        .map(|arrivals| {
            let (arrivals, reply) = (arrivals.clone(), new_server_script());
            Servers::new(1, move |_, _| {
                arrivals.lock().unwrap().push(Instant::now());
                reply()
            })
        })
        .collect();
    let end = listed_after + Duration::from_secs(6);
    let send_requests = |node: &Node| {
        let mut client = node.connect();
        let mut served = 0;
        for k in 1.. {
            thread::sleep(
                Duration::from_secs_f64(f64::from(k) / REQUESTS_PER_SECOND)
                    .saturating_sub(started_at.elapsed()),
            );
            if started_at.elapsed() > end {
                return served;
            }
            client.write_all(&get_request("/safe/1", "")).unwrap();
            served += usize::from(read_message(&mut client).expect("an answer").status() == 200);
        }
        served
    };
    thread::scope(|all| {
        let clients: Vec<_> = nodes.iter().map(|node| all.spawn(|| send_requests(node))).collect();
        thread::sleep(listed_after.saturating_sub(started_at.elapsed()));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let born_field = format!("\"born_ms\":{}", born_ms(now));
        let host = |(k, s): (usize, &Servers)| {
            host_json(&format!("c-{k}"), s.addresses[0], "active").replace("\"born_ms\":0", &born_field)
        };
        let host_list: Vec<_> = cold.iter().enumerate().map(host).collect();
        let listed_at = Instant::now();
        agents.iter().for_each(|agent| agent.push_line(list_json(2, false, &host_list)));
        let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
        let sent = f64::from(PROCESSES) * REQUESTS_PER_SECOND * end.as_secs_f64();
        let seconds_since_listed = |arrivals: &Arc<Mutex<Vec<Instant>>>| {
            arrivals.lock().unwrap().iter().map(|at| at.duration_since(listed_at).as_secs_f64()).collect()
        };
        (arrivals.iter().map(seconds_since_listed).collect(), served as f64 / sent)
    })
}

/// The largest number of requests that came to a cold server within the overload window, as a fraction of
/// what overloads it: N + 2 sqrt(N) + 2, where N is the overload multiple of the server's share in that
/// window.
fn worst_overload_ratio(arrivals: &[Vec<f64>]) -> f64 {
    let even_rate = f64::from(PROCESSES) * REQUESTS_PER_SECOND / (WARM_SERVERS + COLD_SERVERS) as f64;
    let mut worst = 0.0f64;
    for times in arrivals {
        for (k, first) in times.iter().enumerate() {
            let in_window =
                times[k..].iter().take_while(|t| **t < first + OVERLOAD_WINDOW_SECONDS).count() as f64;
            let share = (INITIAL_SHARE
                + (1.0 - INITIAL_SHARE) * (first + OVERLOAD_WINDOW_SECONDS / 2.0) / RAMP_SECONDS)
                .min(1.0);
            let allowed = OVERLOAD_MULTIPLE * share * even_rate * OVERLOAD_WINDOW_SECONDS;
            worst = worst.max(in_window / (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
    }
    worst
}

/// What all processes together send to a server that has just started does not overload it. What they send to
/// one that the list dates as started long ago would.
#[test]
fn twenty_processes_do_not_overload_a_cold_server() {
    let (arrivals, served) = run_twenty_processes(Duration::from_secs(3), |now| now);
    let ratio = worst_overload_ratio(&arrivals);
    assert!(ratio <= 1.0, "{ratio} of what overloads a cold server");
    assert!(
        arrivals.iter().all(|times| times.len() >= 10),
        "the cold servers are used: {:?}",
        arrivals.iter().map(Vec::len)
    );
    assert!(served > 0.95, "{served} of all requests are served");
    let (arrivals, _) = run_twenty_processes(Duration::from_secs(3), |_| 0);
    assert!(
        worst_overload_ratio(&arrivals) > 1.0,
        "the check detects no overload: {}",
        worst_overload_ratio(&arrivals)
    );
}

/// New servers whose wall clock is an hour behind count as just started, since the list did not hold them
/// before.
#[test]
fn twenty_processes_do_not_overload_a_cold_server_whose_clock_is_behind() {
    let (arrivals, served) = run_twenty_processes(Duration::from_secs(11), |now| now - 3_600_000);
    let ratio = worst_overload_ratio(&arrivals);
    assert!(ratio <= 1.0, "{ratio} of what overloads a cold server");
    assert!(
        arrivals.iter().all(|times| times.len() >= 10),
        "the cold servers are used: {:?}",
        arrivals.iter().map(Vec::len)
    );
    assert!(served > 0.95, "{served} of all requests are served");
}

/// Five of ten processes at a time are restarted while the others hold as many connections as they can: nine
/// in ten are ready within 10 s.
#[test]
fn restarted_processes_are_ready_within_ten_seconds() {
    let servers = Servers::new(4, |_, _| Reply::NoAnswer);
    for (name, platform_file) in DISCOVERY_MODES {
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let mut nodes: Vec<_> =
            (0..10).map(|_| Node::start_with_platform_file(&platform_file(discovery.address))).collect();
        nodes.iter().for_each(Node::wait_until_ready);
        // Requests without an answer, and idle clients: more connections than the 64 descriptors of each
        // process.
        let open_clients = |node: &Node| -> Vec<TcpStream> {
            let client = |k: usize| {
                let mut client = node.connect();
                if k < 20 {
                    let _ = client.write_all(&get_request("/safe/1", ""));
                }
                client
            };
            (0..100).map(client).collect()
        };
        let mut clients: Vec<_> = nodes.iter().map(open_clients).collect();
        let mut ready_times = Vec::new();
        for wave in [0..5, 5..10] {
            for node in &nodes[wave.clone()] {
                node.signal("-TERM");
            }
            for number in wave.clone() {
                clients[number].clear();
                assert!(nodes[number].wait_for_exit().success());
            }
            for number in wave {
                let restarted_at = Instant::now();
                nodes[number] = Node::start_with_platform_file(&platform_file(discovery.address));
                nodes[number].wait_until_ready();
                ready_times.push(restarted_at.elapsed());
                clients[number] = open_clients(&nodes[number]);
            }
        }
        let late = ready_times.iter().filter(|t| **t > Duration::from_secs(10)).count();
        assert!(late <= 1, "{name}: {ready_times:?}");
    }
}
