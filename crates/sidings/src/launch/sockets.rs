//! Which process holds a socket of this machine, by the kernel's tables.

use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};

/// Table of TCP sockets over IPv4.
const TABLE: &str = "/proc/net/tcp";
/// Fields of a line of the table.
const LOCAL_FIELD: usize = 1;
const REMOTE_FIELD: usize = 2;
const INODE_FIELD: usize = 9;

/// The kernel's number of the socket with these ends; `None` if there is no such socket any more.
pub(super) fn inode_of(local: SocketAddrV4, remote: SocketAddrV4) -> Option<u64> {
    let table = fs::read_to_string(TABLE).ok()?;
    let wanted = (Some(local), Some(remote));
    let fields = table.lines().skip(1).map(|line| line.split_whitespace().collect::<Vec<&str>>());
    let mut of_ends = fields.filter(|fields| {
        let end = |field: usize| fields.get(field).copied().and_then(parse_end);
        (end(LOCAL_FIELD), end(REMOTE_FIELD)) == wanted
    });
    of_ends.next()?.get(INODE_FIELD)?.parse().ok().filter(|inode| *inode != 0)
}

/// Whether a process holds a socket.
pub(super) fn holds(process: u32, inode: u64) -> bool {
    let wanted = format!("socket:[{inode}]");
    let Ok(files) = fs::read_dir(format!("/proc/{process}/fd")) else { return false };
    files
        .flatten()
        .any(|file| fs::read_link(file.path()).is_ok_and(|target| target.as_os_str() == wanted.as_str()))
}

/// An end as the table writes it: the address as a number of the machine's byte order, and the port.
fn parse_end(text: &str) -> Option<SocketAddrV4> {
    let (address, port) = text.split_once(':')?;
    let address = u32::from_str_radix(address, 16).ok()?;
    Some(SocketAddrV4::new(Ipv4Addr::from(address.to_ne_bytes()), u16::from_str_radix(port, 16).ok()?))
}
