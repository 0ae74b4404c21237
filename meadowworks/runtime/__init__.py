"""Infrastructure shared by the gateway's programs: processes, HTTP, settings, logs and metrics.

* Startup: `lazy_imports`, `process`, `logging`, `node_settings` (with its schema), `address`.
* Server: `http_server` with `server_connection`, `request_body` and `response_writer`, based on uvicorn.
* Client: `http_connection`, based on `buffered_stream` and httpcore; `peer_client` for calls between nodes.
* Long computations: `steps`, `cooperative`, `compression`.
* `errors` defines the exception hierarchy.

Routing decisions and replicated state belong to other packages.
"""
