"""The data-plane program: serves clients, and follows the control plane.

`request_handler` is a client's request from its headers to its response, `forwarder` the attempts that it
takes; `control_plane_client` keeps `control_plane_view` up to date; `server` puts the parts together.
"""
