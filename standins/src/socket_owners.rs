//! Finds the process that owns the client side of a local TCP connection.
//!
//! It matches `/proc/net/tcp` with the open sockets of the registered processes.

use std::{
    fs,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use indexmap::IndexMap;

use crate::{clock, forwarder::lock};

/// The minimum time between two reads of the kernel's tables, which are expensive.
const MIN_REFRESH: Duration = Duration::from_millis(25);

/// The registered processes and the most recent read of their connections.
#[derive(Clone, Debug, Default)]
pub struct SocketOwners {
    processes: Arc<Mutex<IndexMap<String, u32>>>,
    table: Arc<Mutex<Table>>,
}

/// A read of the kernel's tables: process names by the local and remote port.
#[derive(Debug, Default)]
struct Table {
    read_at: Duration,
    names: IndexMap<(u16, u16), String>,
}

impl SocketOwners {
    /// Registers a process under a name.
    pub fn insert(&self, name: &str, id: u32) {
        lock(&self.processes).insert(name.to_owned(), id);
    }

    /// Removes a process.
    pub fn remove(&self, name: &str) {
        lock(&self.processes).shift_remove(name);
    }

    /// Returns the name of the process at the `local` end of a connection opened at `since`.
    ///
    /// The name is empty for a process that isn't registered; `None` means that the tables have not
    /// been read since the connection was opened.
    pub fn find(&self, local: SocketAddr, remote: SocketAddr, since: Duration) -> Option<String> {
        let mut table = lock(&self.table);
        if table.read_at <= since && clock::now() >= table.read_at + MIN_REFRESH {
            *table = self.read_tables();
        }
        if table.read_at <= since {
            return None;
        }
        let name = table.names.get(&(local.port(), remote.port()));
        Some(name.cloned().unwrap_or_default())
    }

    fn read_tables(&self) -> Table {
        let read_at = clock::now();
        let sockets = self.sockets();
        let tcp = fs::read_to_string("/proc/net/tcp").unwrap_or_default();
        let names = tcp.lines().filter_map(|line| {
            let columns: Vec<&str> = line.split_whitespace().collect();
            let name = sockets.get(*columns.get(9)?)?;
            Some(((port(columns[1])?, port(columns[2])?), name.clone()))
        });
        Table {
            read_at,
            names: names.collect(),
        }
    }

    /// Returns the names of the processes by the inode numbers of their sockets.
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
                let inode = link.strip_prefix("socket:[");
                if let Some(inode) = inode.and_then(|text| text.strip_suffix(']')) {
                    sockets.insert(inode.to_owned(), name.clone());
                }
            }
        }
        sockets
    }
}

/// Parses the port of an address in the kernel's table, which is hexadecimal.
fn port(address: &str) -> Option<u16> {
    let (_, port) = address.rsplit_once(':')?;
    u16::from_str_radix(port, 16).ok()
}
