//! Terms that are in force ahead of the bench's next edition, each forced over loopback sockets.

use corkhollow_test_support::*;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// What discovery has counts as told after this, from when it could be reached.
const TOLD: Duration = Duration::from_secs(6);

/// Lists are pushed, or asked for with long deadlines.
fn pushed(discovery: SocketAddr) -> String {
    platform_config(discovery, &NodeOptions { max_sockets: 64, ..NodeOptions::default() })
}

fn asked(discovery: SocketAddr) -> String {
    pushed(discovery)
        .replace("\"automatic\"", "\"subscribe\"")
        .replace("\"giveUpNs\":3000000000", "\"giveUpNs\":20000000000")
}

type Configured = fn(SocketAddr) -> String;
const BOTH: [(&str, Configured); 2] = [("pushed", pushed), ("asked", asked)];

/// What calls meet while discovery cannot be reached.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Met {
    Refused,
    Reset,
    Ended,
    Silence,
    Status,
    HalfAHead,
    Nonsense,
    AnEmptyWatch,
    HalfAList,
}

const MET: [Met; 9] = [
    Met::Refused,
    Met::Reset,
    Met::Ended,
    Met::Silence,
    Met::Status,
    Met::HalfAHead,
    Met::Nonsense,
    Met::AnEmptyWatch,
    Met::HalfAList,
];

impl Met {
    /// What a call gets; those that stay open are kept.
    fn answer(self, mut call: ReceivedCall, open: &mut Vec<ReceivedCall>) {
        match self {
            Met::Refused | Met::Ended => drop(call),
            Met::Reset => call.reset(),
            Met::Silence => open.push(call),
            Met::Status => call.write_raw(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"),
            Met::HalfAHead => {
                call.write_raw(b"HTTP/1.1 200 OK\r\nTransfer-Enc");
                open.push(call);
            }
            Met::Nonsense => call.start_watch("these are no hosts\n"),
            Met::AnEmptyWatch => {
                call.write_raw(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
            }
            Met::HalfAList => {
                call.start_watch("{\"seq\":2,\"whole\":true,\"ho");
                open.push(call);
            }
        }
    }
}

/// Two servers, of which the first has to go when discovery is back.
struct Change {
    old: Servers,
    new: Servers,
}

impl Change {
    fn new() -> Self {
        Change { old: Servers::new(1, |_, _| ok_reply("old")), new: Servers::new(1, |_, _| ok_reply("new")) }
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

    /// Discovery is back: calls that come are answered, one of those that have come by now among them.
    fn answers(&self, agent: &ManualDiscovery, open: &mut Vec<ReceivedCall>) {
        let mut next = Some(agent.newest_call(open));
        while let Some(mut call) = next {
            call.start_watch(&self.after());
            open.push(call);
            next = agent.next_call_within(Duration::from_millis(200));
        }
    }

    /// Waits until the node goes by the change; nothing goes to the old server from then on.
    fn is_told(&self, node: &Node, back: Instant, what: &str) {
        let served = |name: &[u8]| node.post("/once/1", b"").is_some_and(|m| m.body == name);
        wait_until(what, || served(b"new"));
        assert!(back.elapsed() < TOLD, "{what}: told after {:?}", back.elapsed());
        let seen = self.old.request_count();
        wait_until(what, || served(b"new"));
        assert_eq!(self.old.request_count(), seen, "{what}");
    }
}

/// Whatever calls met, and however many of them: 6 s after discovery can be reached again, what it has counts as told.
#[test]
fn a_change_is_told_in_time_whatever_calls_met() {
    let play = |name: &str, configured: Configured, met: Met| {
        let what = format!("{name}, {met:?}");
        let (change, mut agent) = (Change::new(), ManualDiscovery::listen());
        let node = Node::start_with_platform_file(&configured(agent.address));
        let mut watch = agent.next_call();
        watch.start_watch(&change.before());
        node.wait_until_ready();
        drop(watch);
        let (address, down, mut open) = (agent.address, Instant::now(), Vec::new());
        let until_back = || Duration::from_millis(3500).saturating_sub(down.elapsed());
        if met == Met::Refused {
            agent.close();
            thread::sleep(until_back());
            agent = ManualDiscovery::listen_at(address);
        } else {
            while let Some(call) = agent.next_call_within(until_back()) {
                met.answer(call, &mut open);
            }
        }
        let back = Instant::now();
        change.answers(&agent, &mut open);
        change.is_told(&node, back, &what);
    };
    thread::scope(|all| {
        for (name, configured) in BOTH {
            for met in MET {
                all.spawn(move || play(name, configured, met));
            }
        }
    });
}

/// Idle clients take all descriptors that the node gives them while discovery is down: the list is heard at its return.
#[test]
fn a_list_is_heard_while_idle_clients_hold_all_descriptors() {
    let play = |name: &str, configured: Configured, silent: bool| {
        let what = format!("{name}, {}", if silent { "silent" } else { "reset" });
        let (change, agent) = (Change::new(), ManualDiscovery::listen());
        let node = Node::start_with_platform_file(&configured(agent.address));
        let mut watch = agent.next_call();
        watch.start_watch(&change.before());
        node.wait_until_ready();
        drop(watch);
        let (down, mut open) = (Instant::now(), Vec::new());
        // Far more than the 64 descriptors that it may hold, and they go on coming.
        let mut idle: Vec<_> = (0..200).map(|_| node.connect()).collect();
        while let Some(call) = agent.next_call_within(Duration::from_secs(3).saturating_sub(down.elapsed())) {
            match silent {
                true => open.push(call),
                false => call.reset(),
            }
            idle.extend((0..5).map(|_| node.connect()));
        }
        let back = Instant::now();
        change.answers(&agent, &mut open);
        change.is_told(&node, back, &what);
        drop(idle);
    };
    thread::scope(|all| {
        for (name, configured) in BOTH {
            for silent in [true, false] {
                all.spawn(move || play(name, configured, silent));
            }
        }
    });
}

/// A client that has closed, or has ended its sending, gets no attempt more: neither the first, which waits for a new
/// process's first list, nor a second copy that was due.
#[test]
fn no_attempt_begins_for_a_client_that_has_gone() {
    let leave = |client: TcpStream, closes: bool| match closes {
        true => drop(client),
        false => {
            half_close(&client);
            // The other half stays open.
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
        wait_until("the request is there", || node.metric("gw_outstanding") == Some(1.0));
        leave(client, closes);
        wait_until("it is over", || node.metric("gw_outstanding") == Some(0.0));
        watch.start_watch(&servers.list_json(1));
        node.wait_until_ready();
        // One that comes behind it is served, and it alone.
        assert_eq!(node.post("/once/2", b"").unwrap().body, b"fine");
        assert_eq!(servers.request_count(), 1, "closes: {closes}");

        let servers = Servers::new(2, |_, _| Reply::NoAnswer);
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let text = platform_config(discovery.address, &NodeOptions::default());
        let node =
            Node::start_with_platform_file(&text.replace("\"secondCopies\":false", "\"secondCopies\":true"));
        node.wait_until_ready();
        let ask = || {
            let mut client = node.connect();
            client.write_all(&get_request("/safe/1", "")).unwrap();
            client
        };
        let (client, begun) = (ask(), Instant::now());
        wait_until("the first copy is there", || servers.request_count() == 1);
        leave(client, closes);
        // A second copy goes out half an aim after the first, which is 500 ms: that of another client tells when.
        let other = ask();
        wait_until("the other's first copy is there", || servers.request_count() >= 2);
        wait_until("the other's second copy is there", || servers.request_count() >= 3);
        assert!(begun.elapsed() > Duration::from_millis(450), "copies come at once");
        assert_eq!(servers.request_count(), 3, "closes: {closes}");
        drop(other);
    }
}

/// Processes that share a fleet, and how many requests a second come to each.
const PROCESSES: u32 = 20;
const RATE: f64 = 10.0;
const WARM: usize = 4;
const COLD: usize = 2;
/// How long a server takes over each request: the warm ones are busy for three quarters of their time.
const WORK: Duration = Duration::from_millis(15);
/// What the settings say of cold servers.
const RAMP: f64 = 23.0;
const COLD_FROM: f64 = 0.14;
const TIP: f64 = 3.0;
const FALL: f64 = 2.0;

/// Requests that came to each of the cold servers, in seconds from when they were listed, over 6 s; and which part of all requests was
/// served. They are listed so long behind the first list, with nothing but heartbeats in between; `born_ms` is how the list dates their start, by the wall clock of now, both in milliseconds.
fn twenty_processes(listed_after: Duration, born_ms: fn(u128) -> u128) -> (Vec<Vec<f64>>, f64) {
    // One request at a time: where all are idle, nobody needs a cold one.
    let work = || {
        let core = Mutex::new(());
        move || {
            let _core = core.lock().unwrap();
            thread::sleep(WORK);
            ok_reply("fine")
        }
    };
    let warm: Vec<_> = (0..WARM)
        .map(|_| {
            let work = work();
            Servers::new(1, move |_, _| work())
        })
        .collect();
    let hosts: Vec<_> = warm
        .iter()
        .enumerate()
        .map(|(k, s)| host_json(&format!("w-{k}"), s.addresses[0], "active"))
        .collect();
    let agents: Vec<_> =
        (0..PROCESSES).map(|_| Discovery::new(vec![list_json(1, true, &hosts)], true)).collect();
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
    let begun = Instant::now();
    let came: Vec<Arc<Mutex<Vec<Instant>>>> = (0..COLD).map(|_| Arc::default()).collect();
    let new: Vec<_> = came
        .iter()
        .map(|came| {
            let (came, work) = (came.clone(), work());
            Servers::new(1, move |_, _| {
                came.lock().unwrap().push(Instant::now());
                work()
            })
        })
        .collect();
    let over = listed_after + Duration::from_secs(6);
    let asked = |node: &Node| {
        let mut client = node.connect();
        let mut served = 0;
        for k in 1.. {
            thread::sleep(Duration::from_secs_f64(f64::from(k) / RATE).saturating_sub(begun.elapsed()));
            if begun.elapsed() > over {
                return served;
            }
            client.write_all(&get_request("/safe/1", "")).unwrap();
            served += usize::from(read_message(&mut client).expect("an answer").status() == 200);
        }
        served
    };
    thread::scope(|all| {
        let clients: Vec<_> = nodes.iter().map(|node| all.spawn(|| asked(node))).collect();
        thread::sleep(listed_after.saturating_sub(begun.elapsed()));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let born = format!("\"born_ms\":{}", born_ms(now));
        let host = |(k, s): (usize, &Servers)| {
            host_json(&format!("c-{k}"), s.addresses[0], "active").replace("\"born_ms\":0", &born)
        };
        let hosts: Vec<_> = new.iter().enumerate().map(host).collect();
        let told = Instant::now();
        agents.iter().for_each(|agent| agent.push_line(list_json(2, false, &hosts)));
        let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
        let asked = f64::from(PROCESSES) * RATE * over.as_secs_f64();
        let since = |came: &Arc<Mutex<Vec<Instant>>>| {
            came.lock().unwrap().iter().map(|at| at.duration_since(told).as_secs_f64()).collect()
        };
        (came.iter().map(since).collect(), served as f64 / asked)
    })
}

/// The most that came to a cold server in a window of the time that the settings name, as a part of what pushes it over:
/// N + 2 x root of N + 2, N being what the settings allow it then.
fn nearest(came: &[Vec<f64>]) -> f64 {
    let usual = f64::from(PROCESSES) * RATE / (WARM + COLD) as f64;
    let mut nearest = 0.0f64;
    for times in came {
        for (k, first) in times.iter().enumerate() {
            let within = times[k..].iter().take_while(|t| **t < first + FALL).count() as f64;
            let share = (COLD_FROM + (1.0 - COLD_FROM) * (first + FALL / 2.0) / RAMP).min(1.0);
            let allowed = TIP * share * usual * FALL;
            nearest = nearest.max(within / (allowed + 2.0 * allowed.sqrt() + 2.0));
        }
    }
    nearest
}

/// What all processes together send a server that has just started does not push it over; what they send one that is told
/// as long started would.
#[test]
fn twenty_processes_push_no_cold_server_over() {
    let (came, served) = twenty_processes(Duration::from_secs(3), |now| now);
    let part = nearest(&came);
    assert!(part <= 1.0, "{part} of what pushes it over");
    assert!(came.iter().all(|times| times.len() >= 10), "they are used: {:?}", came.iter().map(Vec::len));
    assert!(served > 0.95, "{served} of all are served");
    let (came, _) = twenty_processes(Duration::from_secs(3), |_| 0);
    assert!(nearest(&came) > 1.0, "the check finds nothing: {}", nearest(&came));
}

/// The wall clock of new servers is an hour behind that of the processes, or was set back when they started: they have just started all
/// the same, for the list did not hold them a moment before.
#[test]
fn twenty_processes_push_no_cold_server_over_whose_clock_was_set_back() {
    let (came, served) = twenty_processes(Duration::from_secs(11), |now| now - 3_600_000);
    let part = nearest(&came);
    assert!(part <= 1.0, "{part} of what pushes it over");
    assert!(came.iter().all(|times| times.len() >= 10), "they are used: {:?}", came.iter().map(Vec::len));
    assert!(served > 0.95, "{served} of all are served");
}

/// Processes are restarted while the others hold as many clients and connections as they can: nine in ten of them take
/// clients again within 10 s.
#[test]
fn restarted_processes_are_soon_ready() {
    let servers = Servers::new(4, |_, _| Reply::NoAnswer);
    for (name, configured) in BOTH {
        let discovery = Discovery::new(vec![servers.list_json(1)], true);
        let mut nodes: Vec<_> =
            (0..10).map(|_| Node::start_with_platform_file(&configured(discovery.address))).collect();
        nodes.iter().for_each(Node::wait_until_ready);
        // Requests that hang, and idle clients beside them, far beyond the 64 descriptors of each.
        let hold = |node: &Node| -> Vec<TcpStream> {
            let client = |k: usize| {
                let mut client = node.connect();
                if k < 20 {
                    let _ = client.write_all(&get_request("/safe/1", ""));
                }
                client
            };
            (0..100).map(client).collect()
        };
        let mut held: Vec<_> = nodes.iter().map(hold).collect();
        let mut took = Vec::new();
        for wave in [0..5, 5..10] {
            for node in &nodes[wave.clone()] {
                node.signal("-TERM");
            }
            for at in wave.clone() {
                held[at].clear();
                assert!(nodes[at].wait_for_exit().success());
            }
            for at in wave {
                let begun = Instant::now();
                nodes[at] = Node::start_with_platform_file(&configured(discovery.address));
                nodes[at].wait_until_ready();
                took.push(begun.elapsed());
                held[at] = hold(&nodes[at]);
            }
        }
        let late = took.iter().filter(|t| **t > Duration::from_secs(10)).count();
        assert!(late <= 1, "{name}: {took:?}");
    }
}
