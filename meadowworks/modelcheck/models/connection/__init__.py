"""The model of the fleet controller's connections.

What is real here: `ConnectionState`, `ConnectionLimit`, `ProxyStreams`, `TableUpdates` and `Mailbox`, among
peers that say and read what they like, in every order. Two connections say that they are the same proxy, an
older and a newer one; a third never says who it is. Both actors' mailboxes and the controller's are queues
that are taken from whenever the explorer likes, so that whatever is in flight may be overtaken. The policy
here only assigns tables to who joins, and changes weights.
"""

from __future__ import annotations

from meadowworks.modelcheck.models.connection.model import model

__all__ = ["model"]
