"""The kernel's state of a TCP connection (`TCP_INFO`, tcp(7)), by which an unreachable peer is detected."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

# Offsets in `struct tcp_info` of linux/tcp.h. New kernel versions only append fields.
PROBES_OFFSET = 3
UNACKED_OFFSET = 24
LAST_ACK_OFFSET = 56
NOT_SENT_OFFSET = 144
TCP_INFO_BYTES = NOT_SENT_OFFSET + 4
# Window probes after which the peer may be unreachable. One is not enough: the kernel counts the first probe
# for a while even after the peer has answered it.
MIN_UNANSWERED_PROBES = 2


class TcpInfo(NamedTuple):
    """The state of the sending side of a connection.

    :ivar unanswered_probes: the number of unanswered window probes.
    :ivar unacked_segments: the number of segments sent but not acknowledged.
    :ivar last_ack_ms: the time since the last acknowledgement.
    :ivar not_sent_bytes: the number of unsent bytes in the kernel's send buffer.
    """

    unanswered_probes: int
    unacked_segments: int
    last_ack_ms: int
    not_sent_bytes: int

    @property
    def all_acknowledged(self) -> bool:
        """Whether the peer has acknowledged all data passed to the kernel."""
        return not self.unacked_segments and not self.not_sent_bytes

    def is_peer_lost(self, timeout_ms: int) -> bool:
        """Whether the peer has stopped acknowledging data.

        A peer that does not read its input still answers window probes, and is not lost.

        :param timeout_ms: the time without an acknowledgement after which the peer is lost.
        """
        awaits_ack = bool(self.unacked_segments) or self.unanswered_probes >= MIN_UNANSWERED_PROBES
        return awaits_ack and self.last_ack_ms >= timeout_ms


def read_tcp_info(sock: socket.socket) -> TcpInfo | None:
    """Return the state of a connection, or None if the kernel does not provide it."""
    try:
        data = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES)
    except OSError:
        return None
    if len(data) < TCP_INFO_BYTES:
        return None
    unacked, last_ack, not_sent = (
        struct.unpack_from("=I", data, offset)[0]
        for offset in (UNACKED_OFFSET, LAST_ACK_OFFSET, NOT_SENT_OFFSET)
    )
    return TcpInfo(data[PROBES_OFFSET], unacked, last_ack, not_sent)
