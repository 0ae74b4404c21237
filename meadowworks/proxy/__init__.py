"""The data-plane proxy: serves clients and follows the control plane.

`request_handler` processes a client's request from its headers to its response, and `forwarder` runs the
attempts of a request. `control_plane_client` keeps `control_plane_view` up to date. `server` assembles the
parts.
"""
