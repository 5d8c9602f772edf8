//! Which process owns the client's end of a connection on this machine.

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;

use crate::{clock, forwarder::lock};

/// The least time between two readings of the system's tables, which are costly.
const REFRESH: Duration = Duration::from_millis(25);

/// The processes that are told apart, with what is known of their connections.
#[derive(Clone, Debug, Default)]
pub struct SocketOwners {
    processes: Arc<Mutex<IndexMap<String, u32>>>,
    table: Arc<Mutex<Table>>,
}

/// A reading of the system's tables: names by the ports of both ends.
#[derive(Debug, Default)]
struct Table {
    read: Duration,
    names: IndexMap<(u16, u16), String>,
}

impl SocketOwners {
    /// Names a process.
    pub fn insert(&self, name: &str, id: u32) {
        lock(&self.processes).insert(name.to_owned(), id);
    }

    /// Forgets a process.
    pub fn remove(&self, name: &str) {
        lock(&self.processes).shift_remove(name);
    }

    /// Returns the name of the process at the `local` end of a connection that has been there
    /// since a time: empty for one that is not named here, none while it isn't known.
    pub fn find(&self, local: SocketAddr, remote: SocketAddr, since: Duration) -> Option<String> {
        let mut table = lock(&self.table);
        if table.read <= since && clock::now() >= table.read + REFRESH {
            *table = self.read();
        }
        if table.read <= since {
            return None;
        }
        let name = table.names.get(&(local.port(), remote.port()));
        Some(name.cloned().unwrap_or_default())
    }

    fn read(&self) -> Table {
        let read = clock::now();
        let sockets = self.sockets();
        let tcp = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let names = tcp.lines().filter_map(|line| {
            let words: Vec<&str> = line.split_whitespace().collect();
            let name = sockets.get(*words.get(9)?)?;
            Some(((port(words[1])?, port(words[2])?), name.clone()))
        });
        Table {
            read,
            names: names.collect(),
        }
    }

    /// Returns the names by the numbers of the processes' sockets.
    fn sockets(&self) -> IndexMap<String, String> {
        let processes = lock(&self.processes).clone();
        let mut sockets = IndexMap::new();
        for (name, id) in processes {
            let Ok(files) = fs::read_dir(format!("/proc/{id}/fd")) else {
                continue;
            };
            let links = files.filter_map(|file| fs::read_link(file.ok()?.path()).ok());
            for link in links {
                let link = link.to_string_lossy();
                let number = link.strip_prefix("socket:[");
                if let Some(number) = number.and_then(|text| text.strip_suffix(']')) {
                    sockets.insert(number.to_owned(), name.clone());
                }
            }
        }
        sockets
    }
}

/// Returns the port of an address as the system's table writes it, in hexadecimal.
fn port(address: &str) -> Option<u16> {
    let (_, port) = address.rsplit_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
