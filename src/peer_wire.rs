//! Binary form of heartbeats.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use smallvec::SmallVec;

use crate::peer_capnp as capnp_schema;
use crate::{member_age, member_digest, member_row, peer_message};

/// Milliseconds that stand for an absent age.
const NO_AGE_MS: u32 = u32::MAX;

/// Writes a heartbeat.
pub fn write_heartbeat(
    heartbeat: &peer_message::Heartbeat,
    mut builder: capnp_schema::heartbeat::Builder<'_>,
) {
    builder.set_sender(&*heartbeat.sender);
    write_status(&heartbeat.status, builder.reborrow().init_status());
    write_rows(&heartbeat.rows, builder.reborrow().init_rows(list_length(heartbeat.rows.len())));
    let mut digests = builder.init_digests(list_length(heartbeat.digests.len()));
    for (index, &digest) in (0..).zip(&heartbeat.digests) {
        digests.set(index, digest);
    }
}

/// Reads a heartbeat.
///
/// # Errors
/// When a field is missing or malformed.
pub fn read_heartbeat(
    reader: capnp_schema::heartbeat::Reader<'_>,
) -> capnp::Result<peer_message::Heartbeat> {
    let list = reader.get_digests()?;
    let mut digests: member_digest::TableDigest = [0; member_digest::DIGEST_BUCKETS];
    if list.len() != list_length(digests.len()) {
        return Err(capnp::Error::failed(format!("{} digests", list.len())));
    }
    for (digest, value) in digests.iter_mut().zip(list) {
        *digest = value;
    }
    Ok(peer_message::Heartbeat {
        sender: read_text(reader.get_sender()?)?,
        status: read_status(reader.get_status()?),
        rows: read_rows(reader.get_rows()?)?,
        digests,
    })
}

/// Writes the reply to a heartbeat.
pub fn write_reply(
    reply: &peer_message::HeartbeatReply,
    mut builder: capnp_schema::heartbeat_reply::Builder<'_>,
) {
    write_status(&reply.status, builder.reborrow().init_status());
    write_rows(&reply.rows, builder.reborrow().init_rows(list_length(reply.rows.len())));
    builder.set_matching(reply.matching);
    builder.set_ages(&reply.ages);
    let mut keyed_ages = builder.init_keyed_ages(list_length(reply.keyed_ages.len()));
    for (index, &keyed) in (0..).zip(&reply.keyed_ages) {
        keyed_ages.set(index, keyed);
    }
}

/// Reads the reply to a heartbeat.
///
/// # Errors
/// When a field is missing or malformed.
pub fn read_reply(
    reader: capnp_schema::heartbeat_reply::Reader<'_>,
) -> capnp::Result<peer_message::HeartbeatReply> {
    Ok(peer_message::HeartbeatReply {
        status: read_status(reader.get_status()?),
        rows: read_rows(reader.get_rows()?)?,
        matching: reader.get_matching(),
        ages: reader.get_ages()?.to_vec(),
        keyed_ages: reader.get_keyed_ages()?.iter().collect(),
    })
}

/// Bytes of a heartbeat as a message of its own, without the frame of the call.
pub fn heartbeat_bytes(heartbeat: &peer_message::Heartbeat) -> usize {
    let mut message = capnp::message::Builder::new_default();
    write_heartbeat(heartbeat, message.init_root());
    capnp::serialize::compute_serialized_size_in_words(&message) * size_of::<u64>()
}

/// Bytes of a reply as a message of its own, without the frame of the call.
pub fn reply_bytes(reply: &peer_message::HeartbeatReply) -> usize {
    let mut message = capnp::message::Builder::new_default();
    write_reply(reply, message.init_root());
    capnp::serialize::compute_serialized_size_in_words(&message) * size_of::<u64>()
}

fn write_status(
    status: &peer_message::NodeStatus,
    mut builder: capnp_schema::node_status::Builder<'_>,
) {
    builder.set_sequence(status.sequence);
    builder.set_confirmation_age_ms(age_ms(status.confirmation_age));
    builder.set_list_digest(status.list_digest);
    builder.set_list_age_ms(age_ms(status.list_age));
}

fn read_status(reader: capnp_schema::node_status::Reader<'_>) -> peer_message::NodeStatus {
    peer_message::NodeStatus {
        sequence: reader.get_sequence(),
        confirmation_age: age_from_ms(reader.get_confirmation_age_ms()),
        list_digest: reader.get_list_digest(),
        list_age: age_from_ms(reader.get_list_age_ms()),
    }
}

fn write_rows(
    rows: &[peer_message::AgedRow],
    mut builder: capnp::struct_list::Builder<'_, capnp_schema::member_row::Owned>,
) {
    for (index, aged) in (0..).zip(rows) {
        let mut target = builder.reborrow().get(index);
        target.set_name(&*aged.row.name);
        target.set_data_centre(&*aged.row.data_centre);
        target.set_addresses(&write_addresses(&aged.row));
        target.set_incarnation(aged.row.incarnation);
        target.set_leaving(aged.row.leaving);
        target.set_age(aged.age.byte());
    }
}

fn read_rows(
    list: capnp::struct_list::Reader<'_, capnp_schema::member_row::Owned>,
) -> capnp::Result<Vec<peer_message::AgedRow>> {
    list.iter().map(read_row).collect()
}

fn read_row(reader: capnp_schema::member_row::Reader<'_>) -> capnp::Result<peer_message::AgedRow> {
    let (address, peer_address) = read_addresses(reader.get_addresses()?)?;
    let row = member_row::MemberRow {
        incarnation: reader.get_incarnation(),
        leaving: reader.get_leaving(),
        name: read_text(reader.get_name()?)?,
        address,
        peer_address,
        data_centre: read_text(reader.get_data_centre()?)?,
    };
    Ok(peer_message::AgedRow { row, age: member_age::MemberAge::from_byte(reader.get_age()) })
}

/// Addresses, each after its length in bytes.
fn write_addresses(row: &member_row::MemberRow) -> SmallVec<[u8; 38]> {
    let mut bytes = SmallVec::new();
    for address in [&row.address, &row.peer_address] {
        let address = member_row::address_bytes(address);
        bytes.extend(u8::try_from(address.len()));
        bytes.extend_from_slice(&address);
    }
    bytes
}

fn read_addresses(bytes: &[u8]) -> capnp::Result<(SocketAddr, SocketAddr)> {
    let parsed =
        take_address(bytes).and_then(|(address, rest)| Some((address, take_address(rest)?.0)));
    parsed.ok_or_else(|| capnp::Error::failed(format!("addresses of {} bytes", bytes.len())))
}

fn take_address(bytes: &[u8]) -> Option<(SocketAddr, &[u8])> {
    let (&length, rest) = bytes.split_first()?;
    let (address, rest) = rest.split_at_checked(usize::from(length))?;
    Some((read_address(address)?, rest))
}

fn read_address(bytes: &[u8]) -> Option<SocketAddr> {
    let (ip, port) = bytes.split_last_chunk::<2>()?;
    let ip = match ip.len() {
        4 => IpAddr::from(<[u8; 4]>::try_from(ip).ok()?),
        16 => IpAddr::from(<[u8; 16]>::try_from(ip).ok()?),
        _ => return None,
    };
    Some(SocketAddr::new(ip, u16::from_be_bytes(*port)))
}

fn read_text(reader: capnp::text::Reader<'_>) -> capnp::Result<Arc<str>> {
    Ok(Arc::from(reader.to_str()?))
}

/// Age in milliseconds, rounded up so that it never looks younger.
fn age_ms(age: Option<Duration>) -> u32 {
    age.map_or(NO_AGE_MS, |age| {
        u32::try_from(age.as_nanos().div_ceil(1_000_000)).unwrap_or(NO_AGE_MS)
    })
}

fn age_from_ms(age_ms: u32) -> Option<Duration> {
    (age_ms != NO_AGE_MS).then(|| Duration::from_millis(u64::from(age_ms)))
}

fn list_length(length: usize) -> u32 {
    u32::try_from(length).expect("lists in heartbeats are short")
}
