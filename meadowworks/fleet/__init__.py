"""The fleet controller: the policy behind sockets, with one actor for each peer and each task."""
