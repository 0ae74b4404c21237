"""The model ``connection``: the fleet controller's connections.

It runs the product's `ConnectionState`, `ConnectionLimit`, `ProxyStreams`, `TableUpdates` and `Mailbox` with
remote ends that send messages and stop reading in every order. An older and a newer connection identify as
the same proxy; others never identify themselves. The mailboxes of the actors and of the controller are queues
from which the explorer takes an item at any time, so that messages in flight can be overtaken. The model's
policy only assigns a table to a proxy that joins, and changes its weight.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.connection.model import model

__all__ = ["model"]
