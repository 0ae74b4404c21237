"""The HTTP endpoint for peers: pulls, consensus requests, coordination calls, status and metrics."""

from __future__ import annotations

import json
import sqlite3

from meadowworks.controlplane.compressed_config import MAX_CONFIG_BYTES
from meadowworks.controlplane.node import ControlPlaneNode
from meadowworks.controlplane.node_status import node_status
from meadowworks.controlplane.pull_handler import PullHandler
from meadowworks.gossip.messages import DECODE_ERRORS, decode_pull_request
from meadowworks.runtime import logging as logs
from meadowworks.runtime import metrics_endpoint
from meadowworks.runtime.asgi import Receive, Scope, Send
from meadowworks.runtime.metrics_endpoint import MetricsSender
from meadowworks.runtime.request_body import BodyError, read_body
from meadowworks.runtime.response_writer import send_response

log = logs.get_logger("peers")


class PeerEndpoint:
    """The ASGI application on a node's peer port.

    :param send_metrics: sends the response to a metrics scrape.
    """

    def __init__(self, node: ControlPlaneNode, send_metrics: MetricsSender) -> None:
        self._node = node
        self._send_metrics = send_metrics
        self._pull_handler = PullHandler(node)

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Respond to one request.

        Errors: 400 for a malformed body, 404 for an unknown path, 413 if the body can't be read, 503 if the
        disk fails.
        """
        path = scope["path"]
        body = await read_body(receive, MAX_CONFIG_BYTES)
        if isinstance(body, BodyError):
            return await send_response(send, 413)
        try:
            match path:
                case "/pull":
                    reply = await self._pull_handler.handle(decode_pull_request(body))
                    return await send_response(send, 200, reply.encode(), [])
                case "/letter":
                    return await send_response(
                        send, 200, await self._node.config_service.handle_request(body), []
                    )
                case "/coordination":
                    reply_body = await self._node.coordination.service.answer_forwarded(body)
                    return await send_response(send, 200, reply_body, [])
                case "/status":
                    return await send_response(send, 200, json.dumps(node_status(self._node)).encode())
                case metrics_endpoint.METRICS_PATH:
                    return await self._send_metrics(send)
        except DECODE_ERRORS as error:
            log.warning("malformed_peer_call", path=path, reason=str(error))
            return await send_response(send, 400)
        except sqlite3.Error as error:
            log.warning("call_failed_by_disk", call=path, reason=str(error))
            return await send_response(send, 503)
        return await send_response(send, 404)
