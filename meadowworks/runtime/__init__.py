"""The plumbing under the gateway's programs, which decides nothing about traffic or state.

* Start: `lazy_imports`, `process`, `logging`, `node_settings` (with its schema), `address`.
* Server: `http_server` and its `server_connection`, `request_body`, `response_writer`, on uvicorn.
* Client: `http_connection` on `buffered_stream` and httpcore; `peer_client` for calls between the programs.
* Long work: `steps`, `cooperative`, `compression`.
* `errors` is the one tree of exceptions.
"""
