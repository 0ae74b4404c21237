"""What Linux knows of a TCP connection (`TCP_INFO`, tcp(7)): whether its peer lives, what it has taken."""

from __future__ import annotations

import socket
import struct
from typing import NamedTuple

# Offsets in `struct tcp_info` of linux/tcp.h, which only ever grows at its end.
PROBES_OFFSET = 3
UNACKED_OFFSET = 24
LAST_ACK_OFFSET = 56
NOT_SENT_OFFSET = 144
TCP_INFO_BYTES = NOT_SENT_OFFSET + 4
# Of a closed window, that mean that the peer is gone: the first may be counted for a while after its answer.
MIN_UNANSWERED_PROBES = 2


class TcpInfo(NamedTuple):
    """The state of a connection's sending side.

    :ivar unanswered_probes: unanswered probes of a closed window.
    :ivar unacked_segments: sent, and not acknowledged yet.
    :ivar last_ack_ms: how long ago the peer acknowledged anything.
    :ivar not_sent_bytes: in the send buffer of the system.
    """

    unanswered_probes: int
    unacked_segments: int
    last_ack_ms: int
    not_sent_bytes: int

    @property
    def all_acknowledged(self) -> bool:
        """Whether the peer has taken all that was handed to the system."""
        return not self.unacked_segments and not self.not_sent_bytes

    def is_peer_lost(self, timeout_ms: int) -> bool:
        """Whether the peer answers nothing any more.

        A peer that does not read answers the probes of its closed window, and is not lost.

        :param timeout_ms: how long it may be silent.
        """
        awaits_answer = bool(self.unacked_segments) or self.unanswered_probes >= MIN_UNANSWERED_PROBES
        return awaits_answer and self.last_ack_ms >= timeout_ms


def read_tcp_info(sock: socket.socket) -> TcpInfo | None:
    """Read a connection's state; None where the system does not tell it."""
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
