//! Cluster membership, and the messages and connections between hosts.

pub(crate) mod abandoned_connection;
pub(crate) mod cluster_view;
pub(crate) mod frame_codec;
mod held_connection;
pub(crate) mod host_record;
pub(crate) mod key_files;
pub(crate) mod member_rumor;
pub(crate) mod membership_service;
pub(crate) mod membership_table;
pub(crate) mod peer_error;
pub(crate) mod peer_message;
pub(crate) mod peer_service;
pub(crate) mod peer_transport;
mod quic_stream;
pub(crate) mod quic_transport;
pub(crate) mod rendezvous;
