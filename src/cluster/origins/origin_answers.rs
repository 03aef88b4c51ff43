use {
    crate::{cluster::*, gateway::Gateway, policy::AttemptKey},
    std::net::SocketAddr,
};

/// Applies another daemon's announcement of the versions that began streams.
pub(in crate::cluster) fn apply_origins(gateway: &Gateway, part: &OriginsPart) {
    gateway.record_origins(part);
    if part.is_to_log {
        gateway.add_origins_to_log(part.keys());
    }
}

/// Answers a daemon's query for the version that began a stream.
pub(in crate::cluster) async fn answer_origin_query(
    gateway: &Gateway,
    query: &OriginQuery,
    from: SocketAddr,
) {
    let version = gateway.known_origin(AttemptKey(query.attempt));
    let versions = gateway.known_versions(&query.service.as_str().into());
    let answer = OriginAnswer {
        incarnation: query.incarnation,
        id: query.id,
        version: version.map(|v| v.to_string()),
        seen: OriginAnswer::code_of(versions.seen),
    };
    let mut packet = Packet::from(Extension::OriginAnswer(answer));
    if let Some(alone) = versions.alone {
        packet = packet.with(Extension::AloneVersion(alone.to_string()));
    }
    gateway.send_packet(&packet, from).await;
}
